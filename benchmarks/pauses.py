"""Controllers that are stopped and wake at random, audited from sockets: python benchmarks/pauses.py [SECONDS] [SEED] [SASP|XDS]

Three controllers with a lease of 0.6 s, 18 hosts, 9 relays, 120 exchanges a second. Every 2 to 7 s one of them, by chance, is stopped for
0.1 to 6 s, so that two may stand at once; now and then one hands over. Hosts are replaced, slow down and come back meanwhile.
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

from indigodeck.assignment.seeded_random import SeededRandom  # noqa: E402
from indigodeck.testbed.fleet_scenario import FleetScenarioRunner  # noqa: E402
from indigodeck.testbed.scenario_result import printed  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent


async def main(seconds, seed, wire):
    script = json.loads((ROOT / "examples/bad-day.json").read_text())
    chance, at, troubles = SeededRandom(seed), 5.0, []
    while at < seconds - 10:
        draw = chance.below(100)
        if draw < 12:
            troubles.append({"at": at, "kind": "handover"})
        else:
            troubles.append(
                {"at": at, "kind": "stall", "seconds": (100 + chance.below(5900)) / 1000}
            )
        at += (2000 + chance.below(5000)) / 1000
    for nth in range(int(seconds // 60)):
        troubles += [
            {"at": 60 * nth + 12, "kind": "deploy", "part": 0.4, "size": 0.3, "seconds": 20},
            {"at": 60 * nth + 40, "kind": "slow", "part": 0.1, "size": 0.6, "seconds": 8},
        ]
    script.update(seconds=seconds, seed=seed, troubles=troubles)
    script["relays"].update(rate=120, wire=wire)
    script["charter"]["fronts"]["sasp"]["interval_s"] = 1
    script["charter"]["channel"].update(messages_most=60, answers_most=30)
    with tempfile.TemporaryDirectory() as folder:
        play = FleetScenarioRunner(script, folder)
        result = await play.play()
        acquisitions = play.lease_acquisitions()
    print(printed(result))
    print(
        f"  {len(acquisitions)} times in charge, {sum(trouble['kind'] == 'stall' for trouble in troubles)} stops"
    )
    kept = {
        "what": "random stops of controllers, audited from sockets",
        "seed": seed,
        "seconds": seconds,
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "controllers": 3,
        "lease_s": 0.6,
        "stops": sum(trouble["kind"] == "stall" for trouble in troubles),
        "charges": len(acquisitions),
        **result,
    }
    (ROOT / f"benchmarks/results/pauses-{wire}.json").write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(
        main(
            float(sys.argv[1]) if len(sys.argv) > 1 else 600.0,
            int(sys.argv[2]) if len(sys.argv) > 2 else 1,
            sys.argv[3] if len(sys.argv) > 3 else "sasp",
        )
    )
