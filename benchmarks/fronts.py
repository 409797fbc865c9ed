"""What outcomes and levels are worth: the bad day over SASP and over xDS side by side, also overloaded: python benchmarks/fronts.py

Each has a fleet of its own; both play at the same time. Over SASP the planner knows hosts' reports and probes alone and can't
set levels; over xDS relays tell what they met (LRS) and heed levels.
"""

import asyncio
import json
import os
import pathlib
import platform
import sys
import tempfile

os.environ.setdefault("GRPC_VERBOSITY", "NONE")
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.testbed.scenario import ScenarioRunner  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent


async def main():
    kept = {
        "what": "SASP beside xDS",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "results": [],
    }
    for name, rate, seconds in (
        ("bad day", 180, 60),
        ("overloaded, 1.2 times what hosts can do", 400, 40),
    ):
        script = json.loads((ROOT / "examples/bad-day.json").read_text())
        script.update(
            seconds=seconds, troubles=script["troubles"] if rate < 300 else script["troubles"][:1]
        )
        script["charter"]["relays"]["rate"] = rate / script["relays"]["many"]
        with tempfile.TemporaryDirectory() as folder:
            plays = [
                ScenarioRunner(
                    dict(script, relays=dict(script["relays"], rate=rate, wire=wire)),
                    pathlib.Path(folder) / wire,
                )
                for wire in ("sasp", "xds")
            ]
            results = await asyncio.gather(*(play.play() for play in plays))
        for result in results:
            kept["results"].append(
                {
                    "day": name,
                    "rate": rate,
                    "wire": result["wire"],
                    "service": result["service"]["whole"],
                    "worst_10_s": result["service"]["worst_10_s"],
                    "worst_class": result["service"]["worst_class"],
                    "outcomes": result["service"]["outcomes"],
                    "messages": result["wire_messages"],
                    "bytes": result["wire_bytes"],
                    "rules_broken": [rule["rule"] for rule in result["rules"] if not rule["kept"]],
                }
            )
            print(json.dumps(kept["results"][-1]))
    (ROOT / "benchmarks/results/fronts.json").write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
