"""Shared by the benchmarks: the import path, example documents, waiting, and results.

Import this module before the project's own packages: it puts them on the import path.
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
# By default grpcio logs every connection that ends, and benchmarks end many.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")


def machine() -> str:
    """Describe the machine: its cores and the version of Python."""
    return f"{os.cpu_count()} cores, {platform.python_version()}"


def example_document(name: str) -> dict[str, Any]:
    """Read a document in the folder `examples`; callers may change the returned copy."""
    return json.loads((ROOT / "examples" / name).read_text())


def write_result(name: str, result: dict[str, Any]) -> None:
    """Write a result to the file of its name."""
    (RESULTS_FOLDER / f"{name}.json").write_text(json.dumps(result, indent=1) + "\n")


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which the given share of all values lies."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """Return the median and the 99th percentile in the form of results."""
    return {"p50": round(quantile(values, 0.5), 3), "p99": round(quantile(values, 0.99), 3)}


def broken_rules(result: dict[str, Any]) -> list[str]:
    """Return the names of the rules that a scenario broke."""
    return [rule["rule"] for rule in result["rules"] if not rule["kept"]]


async def wait_until(
    condition: Callable[[], object], what: str, timeout_s: float, interval_s: float = 0.01
) -> None:
    """Wait until a condition holds; `what` describes it in the error.

    Raises
    ------
    RuntimeError
        If the condition does not hold before the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out after {timeout_s} s waiting for: {what}")
        await asyncio.sleep(interval_s)


def command_line_argument(position: int, default: Any, convert: Callable[[str], Any] = int) -> Any:
    """Return the command line argument at a position, counted from 1, or its default."""
    return convert(sys.argv[position]) if len(sys.argv) > position else default


def host_entries(
    count: int, zones: Sequence[str], first_port: int, **fields: object
) -> list[dict[str, Any]]:
    """Return entries of an endpoint list: hosts in alternating zones, each with `fields`."""
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
