"""Time without a leader, on real processes: python benchmarks/takeover.py [TAKEOVERS] [RELAYS ..].

Three controllers have a lease of 0.6 s; half of the relays use SASP, half xDS, all with the client
library in this process. The leader is stopped (SIGSTOP), and continued after another controller has
taken over. A host starts to drain right at the stop. Elected: the time until another controller
acquired the lease. Served: the time until a relay holds a table of the new leader, without the
draining host.
"""

import asyncio
import json
import signal
import sys
import tempfile
from typing import Any, NamedTuple

from common import (
    command_line_argument,
    example_document,
    machine,
    quantiles,
    wait_until,
    write_result,
)

from indigodeck.clock import SECOND, now
from indigodeck.testbed.controller_fleet import FIRST_HOST_PORT, ConnectedRelay, ControllerFleet

PROTOCOLS = ("sasp", "xds")
TIMEOUT_S = 40


class FleetRelay(NamedTuple):
    """A relay and its protocol."""

    protocol: str
    relay: ConnectedRelay

    def has_tables_without(self, port: int) -> bool:
        """Return whether its table for `reading` has entries, but none for this host."""
        lines = self.relay.tables.lines["reading"]
        return bool(lines) and ("127.0.0.1", port) not in lines


class TakeoverMeasurement:
    """Stops the leaders of a fleet, and measures how long relays are without a leader."""

    def __init__(self, fleet: ControllerFleet, relays: list[FleetRelay]) -> None:
        self.elected_s: list[float] = []
        self.served_s: dict[str, list[float]] = {protocol: [] for protocol in PROTOCOLS}
        self._fleet = fleet
        self._relays = relays

    async def measure(self, index: int) -> None:
        """Stop the leader once; a different host drains at odd and even indexes."""
        fleet = self._fleet
        leader = fleet.leader()
        assert leader is not None
        started = now()
        drained = index % 2
        fleet.set_host_states(**{f"h{drained}": "draining", f"h{1 - drained}": "ready"})
        fleet.signal(leader, signal.SIGSTOP)
        await wait_until(lambda: fleet.leader() not in (None, leader), "another leader", TIMEOUT_S)
        self.elected_s.append((now() - started) / SECOND)
        await self._wait_for_relays(started, FIRST_HOST_PORT + drained)
        fleet.signal(leader, signal.SIGCONT)
        await asyncio.sleep(2)

    async def _wait_for_relays(self, started: int, drained_port: int) -> None:
        waiting = list(self._relays)
        while waiting:
            served = [relay for relay in waiting if relay.has_tables_without(drained_port)]
            for relay in served:
                self.served_s[relay.protocol].append((now() - started) / SECOND)
                waiting.remove(relay)
            if now() - started > TIMEOUT_S * SECOND:
                raise RuntimeError(
                    f"{len(waiting)} relays have no tables of the new leader after {TIMEOUT_S} s"
                )
            await asyncio.sleep(0.01)


async def measure(takeovers: int, relay_count: int) -> dict[str, Any]:
    """Measure a number of takeovers with a number of relays."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ControllerFleet(folder, example_document("charter.json"))
        relays: list[FleetRelay] = []
        try:
            for name in fleet.member_ports:
                await fleet.start(name)
            await wait_until(fleet.leader, "a leader", TIMEOUT_S)
            for index in range(relay_count):
                protocol = PROTOCOLS[index % 2]
                relay = fleet.connect_relay(protocol, f"hall-a/{protocol}-{index}")
                relays.append(FleetRelay(protocol, relay))
            await wait_until(
                lambda: all(
                    fleet_relay.relay.tables.updated_at["reading"] is not None
                    for fleet_relay in relays
                ),
                "tables at all relays",
                TIMEOUT_S,
            )
            measured = TakeoverMeasurement(fleet, relays)
            for index in range(takeovers):
                await measured.measure(index)
        finally:
            for fleet_relay in relays:
                fleet_relay.relay.client.stop()
            await fleet.stop()
    return {
        "relays": relay_count,
        "takeovers": takeovers,
        "elected_s": quantiles(measured.elected_s),
        **{
            f"served_{protocol}_s": quantiles(times)
            for protocol, times in measured.served_s.items()
            if times
        },
    }


async def main(takeovers: int, relay_counts: list[int]) -> None:
    """Measure takeovers for each number of relays, and write the results."""
    results = []
    for relay_count in relay_counts:
        results.append(await measure(takeovers, relay_count))
        print(json.dumps(results[-1]), flush=True)
    document = {
        "what": "takeovers of a stopped controller",
        "machine": machine(),
        "lease_s": 0.6,
        "results": results,
    }
    write_result(f"takeover-{'-'.join(map(str, relay_counts))}", document)


if __name__ == "__main__":
    asyncio.run(
        main(command_line_argument(1, 200), [int(word) for word in sys.argv[2:]] or [31, 103, 303])
    )
