"""What all benchmarks share: the project on the import path, the machine, waiting, results.

Import this before the project's own packages.
"""

import asyncio
import json
import os
import pathlib
import platform
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent
RESULTS_FOLDER = ROOT / "benchmarks/results"

sys.path[:0] = [str(ROOT), str(ROOT / "tests")]
# grpcio logs every connection that ends; benchmarks end many.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")


def machine() -> str:
    """Return what a result says of the machine."""
    return f"{os.cpu_count()} cores, {platform.python_version()}"


def example_document(name: str) -> dict[str, Any]:
    """Return a document of the folder `examples`, to be changed at will."""
    return json.loads((ROOT / "examples" / name).read_text())


def write_result(name: str, result: dict[str, Any]) -> None:
    """Keep a result under its name."""
    (RESULTS_FOLDER / f"{name}.json").write_text(json.dumps(result, indent=1) + "\n")


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which this share of all values lies."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """Return the median and the 99th percentile, as they stand in results."""
    return {"p50": round(quantile(values, 0.5), 3), "p99": round(quantile(values, 0.99), 3)}


def broken_rules(result: dict[str, Any]) -> list[str]:
    """Return the rules that a played scenario broke."""
    return [rule["rule"] for rule in result["rules"] if not rule["kept"]]


async def wait_until(
    condition: Callable[[], object], what: str, timeout_s: float, interval_s: float = 0.01
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    RuntimeError
        If it does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"it did not come true: {what}")
        await asyncio.sleep(interval_s)


def command_line_argument(position: int, default: Any, convert: Callable[[str], Any] = int) -> Any:
    """Return a command line argument, the first at position 1, or its default."""
    return convert(sys.argv[position]) if len(sys.argv) > position else default


def host_entries(
    count: int, zones: Sequence[str], first_port: int, **fields: object
) -> list[dict[str, Any]]:
    """Return the endpoint list's entries of hosts, over all zones by turns; `fields` for each."""
    return [
        {
            "id": f"host-{index}",
            "address": "127.0.0.1",
            "port": first_port + index,
            "hall": zones[index % len(zones)],
            **fields,
            "weight": 4,
            "state": "ready",
        }
        for index in range(count)
    ]
