"""Truncated, corrupted and unreadable files: readable records are used and damage is reported."""

import errno
import unittest
import unittest.mock
from collections.abc import Callable

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.store import segments
from indigodeck.store.segments import FileType
from indigodeck.store.write_ahead_log import WriteAheadLog
from indigodeck.testbed.faulty_disk import FaultyDisk

from .crash_scenarios import KEYS, SmallLimitsCase, filled_disk


class DamagedFileTest(SmallLimitsCase):
    """Damage to one file of a store after everything was synced."""

    def setUp(self) -> None:
        """Fill a disk with the default commits."""
        super().setUp()
        self.fill()

    def fill(self, commits: int = 30, seed: int = 5) -> None:
        """Fill a disk, and keep its files and every value that each key ever had."""
        disk, self.states = filled_disk(commits, seed)
        self.files = {name: disk.read(name) for name in disk.names()}
        self.history = {key: [state.get(key) for state in self.states] for key in KEYS}

    def undamaged_disk(self) -> FaultyDisk:
        """Return a new disk with the undamaged files."""
        disk = FaultyDisk(SeededRandom(3))
        for name, data in self.files.items():
            disk.put(name, data)
        return disk

    def open_with(self, name: str, data: bytes) -> WriteAheadLog:
        """Open the store with the contents of one file replaced."""
        disk = self.undamaged_disk()
        disk.put(name, data)
        return WriteAheadLog(disk)

    def assert_undamaged(self) -> None:
        """Check that the store opens in its last state and has several bases and segments."""
        log = WriteAheadLog(self.undamaged_disk())
        self.assertEqual((log.read_all(), log.damage, log.data_lost), (self.states[-1], [], False))
        for file_type in (FileType.BASE, FileType.SEGMENT):
            self.assertGreater(len(segments.numbered_files(self.files, file_type)), 1, file_type)

    def assert_only_reported_loss(self, log: WriteAheadLog, name: str, case: object) -> None:
        """Check that no value is invented, and that lost data is reported with the file's name.

        Every value must be one that its key had, and values that match no state of the store must
        be reported as a loss.
        """
        values = log.read_all()
        for key in KEYS:
            self.assertIn(values.get(key), [None, *self.history[key]], (name, case))
        if values not in self.states:
            self.assertTrue(log.data_lost, (name, case))
            self.assertIn(name, [damage.file_name for damage in log.damage], case)

    def test_each_file_cut_at_every_byte(self) -> None:
        """A truncated base loses nothing, and a truncated last segment only its newest records."""
        self.assert_undamaged()
        last_segment = max(name for name in self.files if name.endswith(FileType.SEGMENT))
        for name, data in self.files.items():
            for size in range(len(data)):
                log = self.open_with(name, data[:size])
                self.assert_only_reported_loss(log, name, size)
                if name == last_segment:
                    # Truncation may lose only the end of the log: its newest records.
                    self.assertIn(log.read_all(), self.states, size)
                elif name.endswith(FileType.BASE):
                    self.assertEqual(log.read_all(), self.states[-1], (name, size))

    def test_each_file_with_a_bit_flipped_anywhere(self) -> None:
        """A flipped bit in a base loses nothing; elsewhere the loss is reported."""
        for name, data in self.files.items():
            for offset in range(len(data)):
                flipped = bytearray(data)
                flipped[offset] ^= 1 << offset % 8
                log = self.open_with(name, bytes(flipped))
                self.assert_only_reported_loss(log, name, offset)
                if name.endswith(FileType.BASE):
                    self.assertEqual(log.read_all(), self.states[-1], (name, offset))

    def test_an_unreadable_file_is_reported_and_other_files_are_still_used(self) -> None:
        """The store opens without the file and accepts commits."""
        for name in self.files:
            disk = self.undamaged_disk()
            with unittest.mock.patch.object(disk, "read", read_all_but(disk, name)):
                log = WriteAheadLog(disk)
                self.assert_only_reported_loss(log, name, "unreadable")
            log.commit([[("key/0", {"nth": 10_000, "fill": ""})]])
            self.assertEqual(log.get("key/0")["nth"], 10_000)


def read_all_but(disk: FaultyDisk, unreadable: str) -> Callable[[str], bytes]:
    """Return a replacement for `disk.read` that raises an error for one file."""
    real_read = disk.read

    def read(name: str) -> bytes:
        if name == unreadable:
            raise OSError(errno.EIO, "input/output error")
        return real_read(name)

    return read


class DamagedRecordTest(SmallLimitsCase):
    """Damage to one record."""

    def test_damage_within_a_segment_is_distinguished_from_a_torn_end(self) -> None:
        """A bad record is lost data if a later record says that it was synced.

        A bad last record was never acknowledged and is not lost data.
        """
        disk = FaultyDisk(SeededRandom(4))
        log = WriteAheadLog(disk)
        for number in range(3):
            log.commit([[("a", number)], [("b", number)]])
        name = "00000001.log"
        data = disk.read(name)
        frames, _ = segments.scan_file(log.store_id, name, data)
        for damaged, data_lost in ((3, True), (6, False)):
            flipped = bytearray(data)
            flipped[frames[damaged].start + 20] ^= 4
            disk = FaultyDisk(SeededRandom(4))
            disk.put(name, bytes(flipped))
            recovered = WriteAheadLog(disk)
            self.assertEqual(
                (recovered.data_lost, {damage.file_name for damage in recovered.damage}),
                (data_lost, {name}),
            )
            self.assertEqual(recovered.get("b"), 2 if data_lost else 1)

    def test_a_record_damaged_while_the_store_is_open_is_not_returned(self) -> None:
        """Each read verifies the record's checksum again."""
        disk = FaultyDisk(SeededRandom(4))
        log = WriteAheadLog(disk)
        log.commit([[("a", "x" * 50)], [("b", 2)]])
        entry = log.index["a"]
        disk.files[entry.file_name].data[entry.end - 3] ^= 1
        self.assertEqual((log.get("a"), log.get("b")), (None, 2))
        self.assertEqual(log.damage[0][:2], (entry.file_name, entry.start))


if __name__ == "__main__":
    unittest.main()
