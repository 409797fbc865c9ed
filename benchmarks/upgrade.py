"""An upgrade controller by controller from an earlier version of this program: python benchmarks/upgrade.py FOLDER

FOLDER holds the earlier version (a worktree of this project). All three start as it; each is replaced by the present one, those not in charge
first, while relays of both wires follow; after each, a host drains and all relays must learn it. Then one of the new is stopped.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

os.environ.setdefault("GRPC_VERBOSITY", "NONE")
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.testbed.controller_fleet import ControllerFleet  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent


async def until(true, what, seconds=30):
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            raise RuntimeError(f"it did not come true: {what}")
        await asyncio.sleep(0.02)


async def main(earlier):
    bare, steps = [], []
    with tempfile.TemporaryDirectory() as folder:
        fleet = ControllerFleet(folder, json.loads((ROOT / "examples/charter.json").read_text()))
        relays = []
        try:
            for name in fleet.member_ports:
                await fleet.start(name, earlier)
            await until(fleet.leader, "somebody is in charge")
            relays = [
                fleet.connect_relay(wire, f"hall-a/{wire}-{nth}")
                for nth in range(3)
                for wire in ("sasp", "xds")
            ]
            hosts = set(range(8))

            def learned():
                return all(
                    {port - 9000 for _, port in lines} == hosts
                    for tables, *_ in relays
                    for lines in tables.lines.values()
                )

            await until(learned, "relays hold tables")
            for tables, *_ in relays:
                tables.changed = lambda name, tables=tables: tables.lines[name] or bare.append(name)
            first = fleet.leader()
            for nth, name in enumerate(sorted(fleet.member_ports, key=lambda name: name == first)):
                await fleet.kill(name)
                await fleet.start(name)
                await until(
                    lambda: fleet.leader() and fleet.processes[fleet.leader()].returncode is None,
                    "somebody in charge",
                )
                began = time.monotonic()
                fleet.set_host_states(**{f"h{nth}": "draining"})
                hosts -= {nth}
                await until(learned, f"a drain after {name} was replaced")
                steps.append(round(time.monotonic() - began, 2))
            old = fleet.leader()
            fleet.signal(old, signal.SIGSTOP)
            await until(lambda: fleet.leader() not in (None, old), "another is in charge")
            fleet.signal(old, signal.SIGCONT)
        finally:
            for _, client, _ in relays:
                client.stop()
            await fleet.stop()
    result = {
        "what": "an upgrade one by one from an earlier version",
        "relays": 6,
        "drain_known_s_after_each": steps,
        "bare": len(bare),
    }
    print(json.dumps(result))
    (ROOT / "benchmarks/results/upgrade.json").write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main(pathlib.Path(sys.argv[1])))
