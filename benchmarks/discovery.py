"""A start while the list can't be had, against one while it can: python benchmarks/discovery.py

Two days side by side in one run, 18 hosts, 9 relays over SASP, 120 exchanges a second, a store. Two hosts drain; the list's keeper then
refuses connections until the end (or goes on); a host crashes, and the planner is killed and started anew 1 s later.
"""

import asyncio
import json
import os
import pathlib
import platform
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.testbed.scenario import ScenarioRunner  # noqa: E402
from indigodeck.testbed.scenario_result import printed  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent


def script(down):
    document = json.loads((ROOT / "examples/bad-day.json").read_text())
    document["charter"]["store"] = {"folder": "store"}
    troubles = [
        {"at": 4, "kind": "shrink", "part": 0.12, "size": 1.0, "seconds": 2},
        {"at": 13, "kind": "crash", "part": 0.06, "seconds": 40},
        {"at": 14, "kind": "planner_killed", "size": 1.0},
    ]
    if down:
        troubles.append({"at": 12, "kind": "roster_down", "seconds": 30})
    document.update(seconds=40, seed=3, troubles=troubles)
    document["relays"].update(rate=120)
    return document


async def main():
    with tempfile.TemporaryDirectory() as folder:
        plays = [
            ScenarioRunner(script(down), pathlib.Path(folder) / name)
            for name, down in (("down", True), ("up", False))
        ]
        results = await asyncio.gather(*(play.play() for play in plays))
        said = [
            json.loads(line)
            for line in (pathlib.Path(folder) / "down" / "planner.log").read_text().splitlines()
            if line.startswith("{")
        ]
    for name, result in zip(("down", "up"), results):
        print(name, printed(result))
    belief = [line for line in said if "that was kept" in line["event"]]
    print("\n".join(map(str, belief)))
    kept = {
        "what": "a start without the list",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        **dict(zip(("down", "up"), results)),
        "belief": belief,
    }
    (ROOT / "benchmarks/results/discovery.json").write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
