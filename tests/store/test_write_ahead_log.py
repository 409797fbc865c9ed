"""The bounds of the log: what it rejects, and how much it keeps."""

import os
import unittest
from typing import Any

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.store import framing
from indigodeck.store.write_ahead_log import StoreStoppedError, WriteAheadLog
from indigodeck.testbed.faulty_disk import FaultyDisk

from .crash_scenarios import ExpectedStates, SmallLimitsCase


class BoundsTest(SmallLimitsCase):
    """Records of newer programs, records that are too long, and a long history."""

    def test_a_store_of_a_newer_program_is_read_and_never_written_to(self) -> None:
        """An unknown body form forbids writing, and not reading."""
        disk = FaultyDisk(SeededRandom(4))
        log = WriteAheadLog(disk)
        log.commit([[("a", 1)]])
        segment = max(disk.names())
        salt = framing.frame_salt(log.store_id, segment)
        body = bytes([9]) + b"what is to come"
        checksum = framing.frame_checksum(salt, 2, 1, body)
        header = framing.FRAME_HEADER.pack(framing.FRAME_MAGIC, len(body), checksum, 2, 1)
        disk.append(segment, header + body)
        reopened = WriteAheadLog(disk)
        self.assertEqual(reopened.get("a"), 1)
        with self.assertRaisesRegex(StoreStoppedError, "newer program"):
            reopened.commit([[("a", 2)]])

    def test_what_is_too_long_is_rejected_and_nothing_is_written(self) -> None:
        """A key or record that is not allowed rejects the whole commit."""
        disk = FaultyDisk(SeededRandom(4))
        log = WriteAheadLog(disk)
        operation_count = disk.operation_count
        rejected: list[Any] = [
            [("k" * 600, 1)],
            [("k", os.urandom(framing.MAX_BODY_BYTES))],
            [(7, 1)],
        ]
        for changes in rejected:
            with self.assertRaises(ValueError):
                log.commit([[("a", 1)], changes])
        self.assertEqual((disk.operation_count, log.keys()), (operation_count, []))

    def test_what_a_start_reads_is_bounded_however_long_the_history(self) -> None:
        """Ten times the commits leave less than twice the bytes."""
        sizes = []
        for commits in (300, 3000):
            disk = FaultyDisk(SeededRandom(6))
            expected = ExpectedStates(SeededRandom(7))
            log = WriteAheadLog(disk)
            for _ in range(commits):
                expected.commit(log)
                if log.compaction_due():
                    log.compact(500)
            self.assertEqual(WriteAheadLog(disk).read_all(), expected.possible[0])
            sizes.append(sum(len(disk.read(name)) for name in disk.names()))
        self.assertLess(sizes[1], 2 * sizes[0])


if __name__ == "__main__":
    unittest.main()
