"""Test of controllers with stores: an operator's rollback survives the leader that accepted it."""

import json
import signal

from support import until

from indigodeck.versions.model import VersionNumber

from .controllers import ControllersTestCase

SETTLE_SECONDS = 20  # for relays to hold the expected servers, also on a busy machine
TAKEOVER_SECONDS = 15


class RollbackBeforeTakeoverTest(ControllersTestCase):
    """Controllers as processes, each with a store of its own."""

    async def settle(self, servers):
        """Wait until the tables of all relays name exactly these servers."""
        await until(lambda: self.all_relays_hold(servers), SETTLE_SECONDS)

    async def versions(self, *arguments):
        """Run `versions list` with further arguments, and return what it prints as JSON."""
        _, output = await self.fleet.command("versions", "--format", "json", "list", *arguments)
        return json.loads(output)

    async def version_without(self, server):
        """Return the number of the newest version whose tables do not name a server."""
        numbers = [version["number"] for version in (await self.versions())["versions"]]
        shown = {
            number: (await self.fleet.command("versions", "show", number))[1] for number in numbers
        }
        return next(number for number in numbers if f"{server} " not in shown[number])

    async def test_a_rollback_just_before_a_takeover_takes_effect_once(self) -> None:
        """The successor keeps the rollback, and does not publish it a second time."""
        await self.set_up(store=True)
        self.fleet.set_host_states(h0="draining")
        await self.settle(range(1, 8))
        self.fleet.set_host_states(h0="ready")
        await self.settle(range(8))
        number = await self.version_without("host-0")
        leader = self.fleet.leader()
        code, output = await self.fleet.command(
            "versions", "rollback", number, "--author", "duty", "--reason", "host-0 fails"
        )
        self.assertEqual((code, output), (0, f"reading, setpoint held at {number}"))
        self.fleet.signal(leader, signal.SIGSTOP)
        await self.settle(range(1, 8))
        await until(lambda: self.fleet.leader() not in (None, leader), TAKEOVER_SECONDS)
        self.fleet.signal(leader, signal.SIGCONT)
        self.fleet.set_host_states(h7="draining")
        await self.settle(range(1, 7))
        listed = await self.versions("--most", "100")
        rollbacks = listed["holds"].values()
        self.assertEqual({rollback["number"] for rollback in rollbacks}, {number})
        published = [
            version
            for version in listed["versions"]
            if version["author"] == "duty" and version["cause"].startswith("rollback")
        ]
        # The successor's history may lack the rollback's version, if only the other member of the
        # majority received it. No controller carries out the rollback a second time.
        self.assertLessEqual(len(published), 1)
        self.assertEqual({rollback["author"] for rollback in rollbacks}, {"duty"})
        numbers = [VersionNumber.parse(version["number"]) for version in listed["versions"]]
        self.assertEqual(sorted(set(numbers), reverse=True), numbers)
        logs = "".join(
            (self.fleet.folder / f"{name}.log").read_text() for name in self.fleet.member_ports
        )
        self.assertNotIn("Exception", logs)
        self.assertNotIn("controller_rejected", logs)
