"""Plots stored results to docs/img: python benchmarks/plot.py.

Needs the packages in benchmarks/requirements.txt.
"""

import json

import matplotlib
from common import RESULTS_FOLDER, ROOT

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend must be chosen first


def plot_orders() -> None:
    """Plot delivery times, and the CPU time of the planner, against the number of relays."""
    figure, (times, cost) = pyplot.subplots(1, 2, figsize=(10, 4))
    for protocol in ("sasp", "xds"):
        results = json.loads((RESULTS_FOLDER / f"orders-{protocol}.json").read_text())["results"]
        sizes = [result["relays"] for result in results]
        medians = [result["ack_p50_ms"] for result in results]
        percentiles = [result["ack_p99_ms"] for result in results]
        cpu_ms = [1000 * result["planner_cpu_s_per_drain"] for result in results]
        (line,) = times.plot(sizes, medians, marker="o", label=f"{protocol}, median")
        times.plot(
            sizes,
            percentiles,
            marker="o",
            linestyle="--",
            color=line.get_color(),
            label=f"{protocol}, p99",
        )
        cost.plot(sizes, cpu_ms, marker="o", label=protocol)
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
    plot_orders()
