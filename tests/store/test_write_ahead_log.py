"""The limits of the log: what it rejects, and how much disk space it uses."""

import os
import unittest
from typing import Any

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.store import framing
from indigodeck.store.write_ahead_log import StoreStoppedError, WriteAheadLog
from indigodeck.testbed.faulty_disk import FaultyDisk

from .crash_scenarios import ExpectedStates, SmallLimitsCase


class LimitsTest(SmallLimitsCase):
    """Records of newer programs, invalid keys and records, and a long history."""

    def test_a_store_written_by_a_newer_program_is_read_only(self) -> None:
        """A record with an unknown body encoding prevents writing but not reading."""
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

    def test_a_commit_with_an_invalid_key_or_record_writes_nothing(self) -> None:
        """One invalid key or oversized record causes the whole commit to be rejected."""
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

    def test_size_on_disk_is_bounded_however_many_commits_were_made(self) -> None:
        """Ten times as many commits use less than twice the space."""
        sizes = []
        for commits in (300, 3000):
            disk = FaultyDisk(SeededRandom(6))
            expected = ExpectedStates(SeededRandom(7))
            log = WriteAheadLog(disk)
            for _ in range(commits):
                expected.commit(log)
                if log.compaction_due():
                    log.compact(500)
            self.assertEqual(WriteAheadLog(disk).read_all(), expected.possible_states[0])
            sizes.append(sum(len(disk.read(name)) for name in disk.names()))
        self.assertLess(sizes[1], 2 * sizes[0])


if __name__ == "__main__":
    unittest.main()
