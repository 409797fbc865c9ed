"""Time without a controller, on real processes: python benchmarks/takeover.py [TAKEOVERS] [RELAYS ..]

Three controllers with a lease of 0.6 s, half of the relays over SASP, half over xDS, all with the client library in this process. The
one in charge is stopped (SIGSTOP), and goes on after another has taken over. Elected: until another says that it is in charge.
Served: until a relay holds what the new one says (a host drains right after the stop).
"""

import asyncio
import json
import os
import pathlib
import platform
import signal
import sys
import tempfile
import time

os.environ.setdefault("GRPC_VERBOSITY", "NONE")
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.clock import now  # noqa: E402
from indigodeck.testbed.controller_fleet import ControllerFleet  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent


def quantile(values, part):
    return round(sorted(values)[min(len(values) - 1, int(part * len(values)))], 3)


async def until(true, seconds=40):
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            raise RuntimeError("it did not come true")
        await asyncio.sleep(0.01)


async def measure(takeovers, many):
    elected, served = [], {"sasp": [], "xds": []}
    with tempfile.TemporaryDirectory() as folder:
        fleet = ControllerFleet(folder, json.loads((ROOT / "examples/charter.json").read_text()))
        relays = []
        try:
            for name in fleet.member_ports:
                await fleet.start(name)
            await until(fleet.leader)
            for nth in range(many):
                wire = ("sasp", "xds")[nth % 2]
                relays.append((wire, *fleet.connect_relay(wire, f"hall-a/{wire}-{nth}")))
            out = 9000
            holds = lambda tables: (
                ("127.0.0.1", out) not in tables.lines["reading"] and tables.lines["reading"]
            )  # noqa: E731
            await until(
                lambda: all(tables.updated_at["reading"] is not None for _, tables, *_ in relays)
            )
            for nth in range(takeovers):
                old, began, out = fleet.leader(), now(), 9000 + nth % 2
                fleet.set_host_states(**{f"h{nth % 2}": "draining", f"h{1 - nth % 2}": "ready"})
                fleet.signal(old, signal.SIGSTOP)
                await until(lambda: fleet.leader() not in (None, old))
                elected.append((now() - began) / 1e6)
                left = list(relays)
                while left:
                    for relay in [relay for relay in left if holds(relay[1])]:
                        served[relay[0]].append((now() - began) / 1e6)
                        left.remove(relay)
                    if now() - began > 40e6:
                        raise RuntimeError(f"{len(left)} relays follow nobody")
                    await asyncio.sleep(0.01)
                fleet.signal(old, signal.SIGCONT)
                await asyncio.sleep(2)
        finally:
            for _, _, client, _ in relays:
                client.stop()
            await fleet.stop()
    return {
        "relays": many,
        "takeovers": takeovers,
        "elected_s": {"p50": quantile(elected, 0.5), "p99": quantile(elected, 0.99)},
        **{
            f"served_{wire}_s": {"p50": quantile(times, 0.5), "p99": quantile(times, 0.99)}
            for wire, times in served.items()
            if times
        },
    }


async def main(takeovers, sizes):
    results = []
    for many in sizes:
        results.append(await measure(takeovers, many))
        print(json.dumps(results[-1]), flush=True)
    size = "-".join(map(str, sizes))
    kept = {
        "what": "takeovers of a stopped controller",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "lease_s": 0.6,
        "results": results,
    }
    (ROOT / f"benchmarks/results/takeover-{size}.json").write_text(
        json.dumps(kept, indent=1) + "\n"
    )


if __name__ == "__main__":
    asyncio.run(
        main(
            int(sys.argv[1]) if len(sys.argv) > 1 else 200,
            [int(word) for word in sys.argv[2:]] or [31, 103, 303],
        )
    )
