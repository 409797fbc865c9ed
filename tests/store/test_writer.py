"""The thread that writes the store: group commit, rejected changes and disk errors."""

import errno
import threading
import unittest
import unittest.mock

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.store.write_ahead_log import StoreStoppedError, WriteAheadLog
from indigodeck.store.writer import StoreWriter
from indigodeck.testbed.faulty_disk import FaultyDisk


class SlowDisk(FaultyDisk):
    """A disk whose syncs block until the `syncs_allowed` event is set."""

    def __init__(self) -> None:
        super().__init__(SeededRandom(1))
        self.syncs_allowed = threading.Event()
        self.syncs_allowed.set()
        self.sync_count = 0

    def sync(self, name: str) -> None:
        """Wait until syncs are allowed, then sync the file."""
        self.sync_count += 1
        self.syncs_allowed.wait()
        super().sync(name)


class StoreWriterTest(unittest.TestCase):
    """A writer on an in-memory disk whose syncs a test can block."""

    def setUp(self) -> None:
        """Open a writer on a new disk."""
        self.disk = SlowDisk()
        self.events: list[str] = []
        self.writer = StoreWriter(self.disk, lambda event, **facts: self.events.append(event))

    def durable_values(self) -> dict:
        """Return the values that a start after a power cut finds."""
        return WriteAheadLog(self.disk.after_power_cut()).read_all()

    def test_changes_that_wait_during_a_sync_share_the_next_sync(self) -> None:
        """200 changes need at most three syncs, and a closed writer rejects further changes."""
        self.disk.syncs_allowed.clear()
        futures = [self.writer.put([(f"k{number}", number)]) for number in range(200)]
        sync_count = self.disk.sync_count
        self.disk.syncs_allowed.set()
        for future in futures:
            future.result(10)
        self.assertLessEqual(self.disk.sync_count - sync_count, 3)
        self.writer.close()
        self.assertEqual(self.durable_values(), {f"k{number}": number for number in range(200)})
        with self.assertRaisesRegex(StoreStoppedError, "closed"):
            self.writer.put([("a", 1)]).result(1)

    def test_an_invalid_change_does_not_affect_others_in_its_group(self) -> None:
        """A key that is too long fails only its own future."""
        self.disk.syncs_allowed.clear()
        futures = [self.writer.put([("a" * length, 1)]) for length in (3, 4, 600, 5)]
        self.disk.syncs_allowed.set()
        self.assertEqual(
            [type(future.exception(10)) for future in futures],
            [type(None), type(None), ValueError, type(None)],
        )
        self.writer.close()

    def test_a_full_disk_rejects_changes_until_writing_resumes(self) -> None:
        """The stop and the resumption are logged, and no part of the failed change is stored."""
        next_operation = self.disk.operation_count
        self.disk.errors = {
            number: errno.ENOSPC for number in range(next_operation, next_operation + 6)
        }
        self.assertFalse(self.writer.put_and_wait([("a", 1), ("b", 1)]))
        while not self.writer.put_and_wait([("a", 2)]):
            pass
        self.assertEqual((self.writer.get("a"), self.writer.get("b")), (2, None))
        self.assertEqual(self.events, ["store_stopped", "store_resumed"])
        self.writer.close()
        self.assertEqual(self.durable_values(), {"a": 2})

    def test_writing_continues_after_a_failed_compaction(self) -> None:
        """The failure is logged once, and all values survive a power cut."""
        with (
            unittest.mock.patch.object(WriteAheadLog, "compact", side_effect=IndexError),
            unittest.mock.patch.object(
                WriteAheadLog, "compaction_due", lambda log: log.compaction_error is None
            ),
        ):
            for number in range(3):
                self.assertTrue(self.writer.put_and_wait([("a", number)]))
            self.writer.close()
        self.assertEqual(self.events, ["store_compaction_failed"])
        self.assertEqual(self.durable_values(), {"a": 2})

    def test_the_number_of_queued_changes_is_limited(self) -> None:
        """Changes beyond the limit are rejected immediately."""
        self.disk.syncs_allowed.clear()
        futures = [self.writer.put([("a", number)]) for number in range(5000)]
        rejected = [future for future in futures if future.done()]
        self.assertTrue(
            any("the write queue is full" in str(future.exception()) for future in rejected)
        )
        self.disk.syncs_allowed.set()
        self.writer.close()


if __name__ == "__main__":
    unittest.main()
