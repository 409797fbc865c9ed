"""A member on a thread of its own, beside a planner that is busy or hangs."""

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


class MemberBesideAPlanner(unittest.IsolatedAsyncioTestCase):
    """A member alone on its thread; the test's loop is the planner's."""

    def now(self):
        """Return the monotonic time."""
        return now()

    def log_event(self, event, **facts):
        """Write nothing."""
        pass

    def on_leadership_acquired(self, relay_group, epoch):
        """Keep the change."""
        self.changes.append(("in", epoch))

    def on_leadership_lost(self, relay_group, epoch, reason):
        """Keep the change."""
        self.changes.append(("out", epoch))

    def connected_relays(self):
        """Return one relay."""
        return [("r1", "sasp", "fleet")]

    async def test_a_planner_that_is_busy_keeps_its_lease_and_one_that_hangs_does_not(self):
        """A second of work costs no lease; seven seconds do, and then it leads anew."""
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
            time.sleep(1)  # the loop does nothing else meanwhile
            await asyncio.sleep(0.3)
        self.assertEqual(self.changes, [first])
        self.assertEqual(member.election.leading_epoch("fleet"), first[1])
        time.sleep(7)
        self.assertIsNone(member.election.leading_epoch("fleet"))
        await until(lambda: len(self.changes) == 3, 20)
        self.assertEqual([what for what, _ in self.changes], ["in", "out", "in"])
        self.assertGreater(self.changes[2][1], first[1])


if __name__ == "__main__":
    unittest.main()
