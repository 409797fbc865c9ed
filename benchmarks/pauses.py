"""Pauses of random controllers: python benchmarks/pauses.py [SECONDS] [SEED] [SASP|XDS].

Three controllers with a lease of 0.6 s, 18 hosts, 9 relays, 120 requests a second. Every 2 to 7 s a
random controller is stopped for 0.1 to 6 s, so that two may run as leader at once; in 12% of cases
the leader hands over instead. Meanwhile hosts are replaced, slow down and recover. The rules are
checked on the traffic of the sockets.
"""

import asyncio
import tempfile
from typing import Any

from common import command_line_argument, example_document, machine, write_result

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.testbed.fleet_scenario import FleetScenarioRunner
from indigodeck.testbed.scenario_result import format_result

FIRST_FAULT_S = 5.0
FAULT_FREE_END_S = 10
HANDOVER_PERCENT = 12


def controller_faults(random: SeededRandom, seconds: float) -> list[dict[str, Any]]:
    """Return random stops and handovers over the whole run."""
    faults: list[dict[str, Any]] = []
    at = FIRST_FAULT_S
    while at < seconds - FAULT_FREE_END_S:
        if random.randbelow(100) < HANDOVER_PERCENT:
            faults.append({"at": at, "kind": "handover"})
        else:
            pause_s = (100 + random.randbelow(5900)) / 1000
            faults.append({"at": at, "kind": "stall", "seconds": pause_s})
        at += (2000 + random.randbelow(5000)) / 1000
    return faults


def host_faults(seconds: float) -> list[dict[str, Any]]:
    """Return a release and a slowdown of hosts for each minute."""
    faults = []
    for minute in range(int(seconds // 60)):
        start = 60 * minute
        faults += [
            {"at": start + 12, "kind": "deploy", "part": 0.4, "size": 0.3, "seconds": 20},
            {"at": start + 40, "kind": "slow", "part": 0.1, "size": 0.6, "seconds": 8},
        ]
    return faults


async def main(seconds: float, seed: int, protocol: str) -> None:
    """Run the scenario, and write the result."""
    faults = controller_faults(SeededRandom(seed), seconds) + host_faults(seconds)
    script = example_document("bad-day.json")
    script.update(seconds=seconds, seed=seed, troubles=faults)
    script["relays"].update(rate=120, wire=protocol)
    script["charter"]["fronts"]["sasp"]["interval_s"] = 1
    script["charter"]["channel"].update(messages_most=60, answers_most=30)
    with tempfile.TemporaryDirectory() as folder:
        runner = FleetScenarioRunner(script, folder)
        result = await runner.run()
        acquisitions = runner.lease_acquisitions()
    stops = sum(fault["kind"] == "stall" for fault in faults)
    print(format_result(result))
    print(f"  {len(acquisitions)} leases acquired, {stops} stops")
    document = {
        "what": "random stops of controllers, audited from sockets",
        "seed": seed,
        "seconds": seconds,
        "machine": machine(),
        "controllers": 3,
        "lease_s": 0.6,
        "stops": stops,
        "charges": len(acquisitions),
        **result,
    }
    write_result(f"pauses-{protocol}", document)


if __name__ == "__main__":
    asyncio.run(
        main(
            command_line_argument(1, 600.0, float),
            command_line_argument(2, 1),
            command_line_argument(3, "sasp", str),
        )
    )
