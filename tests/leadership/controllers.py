"""What tests on processes of several controllers share."""

import asyncio
import json
import os
import tempfile
import unittest

os.environ.setdefault("GRPC_VERBOSITY", "NONE")

from support import ROOT, until  # noqa: E402 - after the variable

from indigodeck.leadership.operator_client import send_operator_request  # noqa: E402 - after the variable
from indigodeck.testbed.controller_fleet import ControllerFleet  # noqa: E402 - after the variable


class ControllersTestCase(unittest.IsolatedAsyncioTestCase):
    """Controllers that run, and relays that know them."""

    async def set_up(self, gated=False, known=None, **given):
        """Start controllers and relays, and wait until the relays hold all servers."""
        folder = tempfile.TemporaryDirectory()
        self.fleet = ControllerFleet(
            folder.name, json.loads((ROOT / "examples/charter.json").read_text()), **given
        )
        self.addCleanup(folder.cleanup)
        self.addAsyncCleanup(self.fleet.stop)
        if gated:
            await self.fleet.add_links()
        for name in self.fleet.member_ports:
            await self.fleet.start(name)
        await until(self.fleet.leader, 20)
        wires = [
            {wire: ("127.0.0.1", ports[wire]) for wire in ports}
            for name, ports in self.fleet.frontend_ports.items()
            if name in (known or self.fleet.member_ports)
        ]
        self.relays = [
            self.fleet.connect_relay(wire, f"hall-a/{wire}-{nth}", [place[wire] for place in wires])
            for nth in range(3)
            for wire in ("sasp", "xds")
        ]
        self.bare = []
        if known is None:
            await until(lambda: self.all_hold(range(8)), 20)
            self.watch()

    def watch(self):
        """Note whenever a relay has nobody for a class."""
        for tables, *_ in self.relays:
            tables.changed = lambda name, tables=tables: (
                tables.lines[name] or self.bare.append(name)
            )

    async def followed(self):
        """Return the controllers that say they speak to it, by relay."""
        found, key = {}, b"a key for tests, shared by all of them"
        for name, port in self.fleet.member_ports.items():
            if self.fleet.processes[name].returncode is None:
                for relay, *_ in (
                    await send_operator_request(("127.0.0.1", port), key, "followers", after="")
                )["relays"]:
                    found.setdefault(relay, []).append(name)
        return found

    async def spoken_to_by_one(self, name):
        """Assert that all relays are spoken to by this controller alone."""
        found = await self.followed()
        self.assertEqual(set(map(tuple, found.values())), {(name,)}, found)
        self.assertEqual(len(found), len(self.relays))

    async def asyncTearDown(self):
        """Stop the relays."""
        for _, client, task in getattr(self, "relays", ()):
            client.stop()
            await asyncio.wait([task], timeout=3)

    def all_hold(self, hosts):
        """Return whether all relays hold just these servers."""
        return all(
            {port - 9000 for _, port in lines} == set(hosts)
            for tables, *_ in self.relays
            for lines in tables.lines.values()
        )
