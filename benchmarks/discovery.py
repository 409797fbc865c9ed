"""Compares planner starts with and without the list service: python benchmarks/discovery.py.

Two scenarios run side by side, each with 18 hosts, 9 relays over SASP, 120 requests a second and a
store. Two hosts drain; in one scenario the list service then refuses connections until the end; a
host crashes, and the planner is killed and restarted 1 s later.
"""

import asyncio
import json
import pathlib
import tempfile
from typing import Any

from common import example_document, machine, write_result

from indigodeck.testbed.scenario import ScenarioRunner
from indigodeck.testbed.scenario_result import format_result

FAULTS = (
    {"at": 4, "kind": "shrink", "part": 0.12, "size": 1.0, "seconds": 2},
    {"at": 13, "kind": "crash", "part": 0.06, "seconds": 40},
    {"at": 14, "kind": "planner_killed", "size": 1.0},
)
LIST_SERVICE_DOWN = {"at": 12, "kind": "roster_down", "seconds": 30}
# Prefixes of the events that a planner logs when it starts from its cached list.
CACHED_LIST_EVENTS = ("cached_list_", "stale_list_names_more")


def scenario_script(with_list_down: bool) -> dict[str, Any]:
    """Return the script of one of the two scenarios."""
    script = example_document("bad-day.json")
    script["charter"]["store"] = {"folder": "store"}
    faults = [*FAULTS, LIST_SERVICE_DOWN] if with_list_down else list(FAULTS)
    script.update(seconds=40, seed=3, troubles=faults)
    script["relays"].update(rate=120)
    return script


def cached_list_events(log: pathlib.Path) -> list[dict[str, Any]]:
    """Return the log events of a planner about its cached list."""
    records = [json.loads(line) for line in log.read_text().splitlines() if line.startswith("{")]
    return [record for record in records if record["event"].startswith(CACHED_LIST_EVENTS)]


async def main() -> None:
    """Run both scenarios at the same time, and write the results."""
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
        runners = {
            name: ScenarioRunner(scenario_script(with_list_down), folder / name)
            for name, with_list_down in (("down", True), ("up", False))
        }
        scenario_results = await asyncio.gather(*(runner.run() for runner in runners.values()))
        events = cached_list_events(folder / "down" / "planner.log")
    results = dict(zip(runners, scenario_results, strict=True))
    for name, result in results.items():
        print(name, format_result(result))
    print("\n".join(map(str, events)))
    document = {
        "what": "a start without the list",
        "machine": machine(),
        **results,
        "belief": events,
    }
    write_result("discovery", document)


if __name__ == "__main__":
    asyncio.run(main())
