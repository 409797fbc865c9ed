"""The thread that writes the store: group commit, rejections, and errors of the disk."""

import errno
import threading
import unittest
import unittest.mock

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.store.write_ahead_log import StoreStoppedError, WriteAheadLog
from indigodeck.store.writer import StoreWriter
from indigodeck.testbed.faulty_disk import FaultyDisk


class SlowDisk(FaultyDisk):
    """A disk whose syncs wait while the `syncs_allowed` event is not set."""

    def __init__(self) -> None:
        super().__init__(SeededRandom(1))
        self.syncs_allowed = threading.Event()
        self.syncs_allowed.set()
        self.sync_count = 0

    def sync(self, name: str) -> None:
        """Make the bytes of a file outlast a power cut, when that is allowed."""
        self.sync_count += 1
        self.syncs_allowed.wait()
        super().sync(name)


class StoreWriterTest(unittest.TestCase):
    """The writer on a disk in memory that a test may delay."""

    def setUp(self) -> None:
        """Open a writer."""
        self.disk = SlowDisk()
        self.events: list[str] = []
        self.writer = StoreWriter(self.disk, lambda event, **facts: self.events.append(event))

    def durable_values(self) -> dict:
        """Return what a start after a power cut would find."""
        return WriteAheadLog(self.disk.after_power_cut()).read_all()

    def test_all_changes_that_wait_for_one_sync_share_the_next(self) -> None:
        """200 changes take three syncs at most, and a closed writer rejects more."""
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

    def test_a_change_that_can_not_be_written_does_not_affect_the_others(self) -> None:
        """A key that is too long fails its own future alone."""
        self.disk.syncs_allowed.clear()
        futures = [self.writer.put([("a" * length, 1)]) for length in (3, 4, 600, 5)]
        self.disk.syncs_allowed.set()
        self.assertEqual(
            [type(future.exception(10)) for future in futures],
            [type(None), type(None), ValueError, type(None)],
        )
        self.writer.close()

    def test_a_full_disk_rejects_changes_and_writing_resumes_with_nothing_half_done(self) -> None:
        """Both events are logged, and the failed change is not there."""
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

    def test_a_failed_compaction_is_given_up_and_writing_goes_on(self) -> None:
        """It is logged once, and the values are there after a power cut."""
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

    def test_the_number_of_waiting_changes_is_bounded(self) -> None:
        """Further changes are rejected at once."""
        self.disk.syncs_allowed.clear()
        futures = [self.writer.put([("a", number)]) for number in range(5000)]
        rejected = [future for future in futures if future.done()]
        self.assertTrue(any("wait already" in str(future.exception()) for future in rejected))
        self.disk.syncs_allowed.set()
        self.writer.close()


if __name__ == "__main__":
    unittest.main()
