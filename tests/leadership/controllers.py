"""Base class of tests that run several controllers as processes, with relays."""

import asyncio
import json
import os
import tempfile
import unittest

# gRPC reads this variable when it is imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

from support import ROOT, until  # noqa: E402

from indigodeck.leadership.operator_client import send_operator_request  # noqa: E402
from indigodeck.testbed.controller_fleet import ControllerFleet  # noqa: E402


class ControllersTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs several controllers as processes, and six relays that connect to them."""

    async def set_up(self, with_links=False, known_controllers=None, **fleet_options):
        """Start controllers and relays.

        `with_links` puts links that can be blocked between the controllers. `known_controllers`
        are those that relays connect to; all of them if empty. If it is None, relays connect to all
        controllers, and this waits until they hold all servers. `fleet_options` are those of
        `ControllerFleet`.
        """
        folder = tempfile.TemporaryDirectory()
        self.fleet = ControllerFleet(
            folder.name, json.loads((ROOT / "examples/charter.json").read_text()), **fleet_options
        )
        self.addCleanup(folder.cleanup)
        self.addAsyncCleanup(self.fleet.stop)
        if with_links:
            await self.fleet.add_links()
        for name in self.fleet.member_ports:
            await self.fleet.start(name)
        await until(self.fleet.leader, 20)
        frontend_addresses = [
            {protocol: ("127.0.0.1", ports[protocol]) for protocol in ports}
            for name, ports in self.fleet.frontend_ports.items()
            if name in (known_controllers or self.fleet.member_ports)
        ]
        self.relays = [
            self.fleet.connect_relay(
                protocol,
                f"hall-a/{protocol}-{index}",
                [addresses[protocol] for addresses in frontend_addresses],
            )
            for index in range(3)
            for protocol in ("sasp", "xds")
        ]
        self.emptied_classes = []
        if known_controllers is None:
            await until(lambda: self.all_relays_hold(range(8)), 20)
            self.record_emptied_classes()

    def record_emptied_classes(self):
        """Record in `emptied_classes` every class for which a relay has no server left."""
        for tables, *_ in self.relays:
            tables.changed = lambda name, tables=tables: (
                tables.lines[name] or self.emptied_classes.append(name)
            )

    async def controllers_by_relay(self):
        """Return, for each relay, the running controllers that report to serve it."""
        found, key = {}, b"a key for tests, shared by all of them"
        for name, port in self.fleet.member_ports.items():
            if self.fleet.processes[name].returncode is None:
                for relay, *_ in (
                    await send_operator_request(("127.0.0.1", port), key, "followers", after="")
                )["relays"]:
                    found.setdefault(relay, []).append(name)
        return found

    async def assert_served_by(self, name):
        """Assert that all relays are served by this controller alone."""
        found = await self.controllers_by_relay()
        self.assertEqual(set(map(tuple, found.values())), {(name,)}, found)
        self.assertEqual(len(found), len(self.relays))

    async def asyncTearDown(self):
        """Stop the relays."""
        for _, client, task in getattr(self, "relays", ()):
            client.stop()
            await asyncio.wait([task], timeout=3)

    def all_relays_hold(self, hosts):
        """Return whether the tables of all relays name exactly these servers."""
        return all(
            {port - 9000 for _, port in lines} == set(hosts)
            for tables, *_ in self.relays
            for lines in tables.lines.values()
        )
