"""Test of a member on its own thread while the planner's loop is busy or hangs."""

import asyncio
import pathlib
import tempfile
import time
import unittest

from support import until

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.clock import SECOND, now
from indigodeck.leadership.lease_record import RecordFile, pack_rejections, unpack_rejections
from indigodeck.leadership.member_thread import MemberThread
from indigodeck.leadership.state import ElectionSettings
from indigodeck.leadership.transport import ControllerTransport


class MemberThreadTest(unittest.IsolatedAsyncioTestCase):
    """The only member of a group, on its thread; the test case is the planner's service."""

    def now(self):
        """Return the monotonic time."""
        return now()

    def log_event(self, event, **facts):
        """Discard the event."""
        pass

    def on_leadership_acquired(self, relay_group, epoch):
        """Record the change."""
        self.changes.append(("acquired", epoch))

    def on_leadership_lost(self, relay_group, epoch, reason):
        """Record the change."""
        self.changes.append(("lost", epoch))

    def connected_relays(self):
        """Return one relay."""
        return [("r1", "sasp", "fleet")]

    async def test_a_busy_planner_keeps_its_lease_and_a_hanging_one_loses_it(self):
        """Busy periods of 1 s do not lose the lease; one of 7 s does, and it is then reacquired."""
        self.changes = []
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        record = pathlib.Path(folder.name) / "r"
        lease = 2 * SECOND
        key = b"a key of sixteen bytes"

        def make_transport(service):
            return ControllerTransport(
                service,
                ElectionSettings("a", {"a": "127.0.0.1:0"}, ("fleet",), lease, 0.01, incarnation=1),
                key,
                RecordFile(record),
                RecordFile(record.with_name("f"), pack_rejections, unpack_rejections),
                SeededRandom(1),
                2,
            )

        member = MemberThread(self, make_transport, lease)
        self.addCleanup(member.close)
        await until(lambda: self.changes, 20)
        first = self.changes[0]
        for _ in range(3):
            time.sleep(1)  # blocks the planner's loop
            await asyncio.sleep(0.3)
        self.assertEqual(self.changes, [first])
        self.assertEqual(member.election.leading_epoch("fleet"), first[1])
        time.sleep(7)
        self.assertIsNone(member.election.leading_epoch("fleet"))
        await until(lambda: len(self.changes) == 3, 20)
        self.assertEqual([change for change, _ in self.changes], ["acquired", "lost", "acquired"])
        self.assertGreater(self.changes[2][1], first[1])


if __name__ == "__main__":
    unittest.main()
