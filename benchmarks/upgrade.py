"""A rolling upgrade from an earlier version: python benchmarks/upgrade.py FOLDER.

FOLDER holds the earlier version (a worktree of this project). All three controllers start with it;
each is then replaced by the current version, the leader last, while relays of both protocols are
connected. After each replacement a host drains and all relays must learn of it. At the end the
leader is stopped until another controller has taken over.
"""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Callable

from common import example_document, wait_until, write_result

from indigodeck.testbed.controller_fleet import (
    FIRST_HOST_PORT,
    HOST_COUNT,
    ConnectedRelay,
    ControllerFleet,
)

TIMEOUT_S = 30
PROTOCOLS = ("sasp", "xds")


class Upgrade:
    """A fleet that is upgraded, and its relays."""

    def __init__(self, fleet: ControllerFleet, earlier_version: pathlib.Path) -> None:
        self.drain_known_s: list[float] = []
        self.empty_tables: list[str] = []  # the class of each table that became empty at some time
        self._fleet = fleet
        self._earlier_version = earlier_version
        self._relays: list[ConnectedRelay] = []
        self._ready_hosts = set(range(HOST_COUNT))

    async def start(self) -> None:
        """Start all controllers with the earlier version, and connect the relays."""
        fleet = self._fleet
        for name in fleet.member_ports:
            await fleet.start(name, self._earlier_version)
        await self._wait(fleet.leader, "a leader")
        self._relays = [
            fleet.connect_relay(protocol, f"hall-a/{protocol}-{index}")
            for index in range(3)
            for protocol in PROTOCOLS
        ]
        await self._wait(self._all_relays_are_current, "all relays to hold tables")
        for relay in self._relays:
            relay.tables.changed = self._empty_table_recorder(relay)

    async def upgrade_all(self) -> None:
        """Replace all controllers, the initial leader last."""
        leader = self._fleet.leader()
        names = sorted(self._fleet.member_ports, key=lambda name: name == leader)
        for index, name in enumerate(names):
            await self._fleet.kill(name)
            await self._fleet.start(name)
            await self._wait(self._is_led, "a running leader")
            started = time.monotonic()
            self._fleet.set_host_states(**{f"h{index}": "draining"})
            self._ready_hosts -= {index}
            await self._wait(
                self._all_relays_are_current,
                f"all relays to learn of a drain after {name} was replaced",
            )
            self.drain_known_s.append(round(time.monotonic() - started, 2))

    async def stop_leader(self) -> None:
        """Stop the leader until another controller has taken over."""
        fleet = self._fleet
        leader = fleet.leader()
        assert leader is not None
        fleet.signal(leader, signal.SIGSTOP)
        await self._wait(lambda: fleet.leader() not in (None, leader), "another leader")
        fleet.signal(leader, signal.SIGCONT)

    def stop_relays(self) -> None:
        """Disconnect all relays."""
        for relay in self._relays:
            relay.client.stop()

    async def _wait(self, condition: Callable[[], object], what: str) -> None:
        await wait_until(condition, what, TIMEOUT_S, interval_s=0.02)

    def _is_led(self) -> bool:
        leader = self._fleet.leader()
        return leader is not None and self._fleet.processes[leader].returncode is None

    def _all_relays_are_current(self) -> bool:
        return all(
            {port - FIRST_HOST_PORT for _, port in lines} == self._ready_hosts
            for relay in self._relays
            for lines in relay.tables.lines.values()
        )

    def _empty_table_recorder(self, relay: ConnectedRelay) -> Callable[[str], None]:
        def on_change(class_name: str) -> None:
            if not relay.tables.lines[class_name]:
                self.empty_tables.append(class_name)

        return on_change


async def main(earlier_version: pathlib.Path) -> None:
    """Upgrade a fleet, and write the result."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ControllerFleet(folder, example_document("charter.json"))
        upgrade = Upgrade(fleet, earlier_version)
        try:
            await upgrade.start()
            await upgrade.upgrade_all()
            await upgrade.stop_leader()
        finally:
            upgrade.stop_relays()
            await fleet.stop()
    result = {
        "what": "an upgrade one by one from an earlier version",
        "relays": 2 * 3,
        "drain_known_s_after_each": upgrade.drain_known_s,
        "bare": len(upgrade.empty_tables),
    }
    print(json.dumps(result))
    write_result("upgrade", result)


if __name__ == "__main__":
    asyncio.run(main(pathlib.Path(sys.argv[1])))
