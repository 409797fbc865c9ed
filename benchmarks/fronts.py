"""Compares service over SASP and xDS: python benchmarks/fronts.py.

Shows the benefit of outcome reports and admission control in the bad day and in an overload. Each
protocol has its own fleet; both run at the same time. Over SASP the planner knows only hosts' load
reports and health checks and cannot limit admission; over xDS relays report outcomes (LRS) and
follow the admitted share.
"""

import asyncio
import json
import pathlib
import tempfile
from typing import Any, NamedTuple

from common import broken_rules, example_document, machine, write_result

from indigodeck.testbed.scenario import ScenarioRunner

PROTOCOLS = ("sasp", "xds")


class Load(NamedTuple):
    """A load: requests per second, duration, and how many faults occur."""

    name: str
    rate: int
    seconds: int
    fault_count: int | None = None  # None: all faults of the bad day


LOADS = (
    Load("bad day", 180, 60),
    Load("overloaded, 1.2 times what hosts can do", 400, 40, fault_count=1),
)


async def run_load(load: Load) -> list[dict[str, Any]]:
    """Run a load over both protocols at the same time; return the result of each."""
    script = example_document("bad-day.json")
    script.update(seconds=load.seconds, troubles=script["troubles"][: load.fault_count])
    script["charter"]["relays"]["rate"] = load.rate / script["relays"]["many"]
    with tempfile.TemporaryDirectory() as folder:
        runners = []
        for protocol in PROTOCOLS:
            relays = dict(script["relays"], rate=load.rate, wire=protocol)
            path = pathlib.Path(folder) / protocol
            runners.append(ScenarioRunner(dict(script, relays=relays), path))
        results = await asyncio.gather(*(runner.run() for runner in runners))
    return [
        {
            "day": load.name,
            "rate": load.rate,
            "wire": result["wire"],
            "service": result["service"]["whole"],
            "worst_10_s": result["service"]["worst_10_s"],
            "worst_class": result["service"]["worst_class"],
            "outcomes": result["service"]["outcomes"],
            "messages": result["wire_messages"],
            "bytes": result["wire_bytes"],
            "rules_broken": broken_rules(result),
        }
        for result in results
    ]


async def main() -> None:
    """Run all loads, and write the results."""
    results = []
    for load in LOADS:
        for result in await run_load(load):
            results.append(result)
            print(json.dumps(result))
    write_result("fronts", {"what": "SASP beside xDS", "machine": machine(), "results": results})


if __name__ == "__main__":
    asyncio.run(main())
