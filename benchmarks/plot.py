"""Curves of what is kept in results/, into docs/img: python benchmarks/plot.py (needs benchmarks/requirements.txt)"""

import json
import pathlib

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent


def orders():
    figure, (times, cost) = pyplot.subplots(1, 2, figsize=(10, 4))
    for wire in ("sasp", "xds"):
        results = json.loads((ROOT / f"benchmarks/results/orders-{wire}.json").read_text())[
            "results"
        ]
        sizes = [result["relays"] for result in results]
        (line,) = times.plot(
            sizes, [result["ack_p50_ms"] for result in results], marker="o", label=f"{wire}, median"
        )
        times.plot(
            sizes,
            [result["ack_p99_ms"] for result in results],
            marker="o",
            linestyle="--",
            color=line.get_color(),
            label=f"{wire}, p99",
        )
        cost.plot(
            sizes,
            [1000 * result["planner_cpu_s_per_drain"] for result in results],
            marker="o",
            label=wire,
        )
    for axes, title, unit in (
        (times, "from order to acknowledgement", "ms"),
        (cost, "planner's time for each drain", "ms of one core"),
    ):
        axes.set(title=title, xlabel="relays (105 hosts)", ylabel=unit, xscale="log", yscale="log")
        axes.legend()
        axes.grid(alpha=0.3)
    figure.tight_layout()
    (ROOT / "docs/img").mkdir(exist_ok=True)
    figure.savefig(ROOT / "docs/img/orders.png", dpi=90)


if __name__ == "__main__":
    orders()
