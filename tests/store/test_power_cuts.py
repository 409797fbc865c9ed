"""The power is cut at every operation of commits, compactions and recovery."""

import errno
import unittest
import unittest.mock
from collections.abc import Callable
from typing import Any

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.store import framing, segments
from indigodeck.store.compaction import Compaction
from indigodeck.store.framing import Frame
from indigodeck.store.recovery import _Recovery
from indigodeck.store.segments import FileType
from indigodeck.store.write_ahead_log import WriteAheadLog
from indigodeck.testbed.faulty_disk import FaultyDisk

from .crash_scenarios import CrashScenario, SmallLimitsCase


class PowerCutTest(SmallLimitsCase):
    """What was acknowledged outlasts every power cut, and nothing else is held."""

    def test_a_cut_at_every_operation_leaves_what_was_acknowledged(self) -> None:
        """Cut once in each operation of a run, by four seeds."""
        operation_count = CrashScenario(seed=1).run().operation_count
        self.assertGreater(operation_count, 100)
        for cut_at in range(operation_count):
            for seed in range(1, 5):
                self.assertIsNone(CrashScenario(seed, cut_at).run().problem)

    def test_a_cut_during_the_recovery_from_a_cut(self) -> None:
        """Cut, and cut again in each of the first operations of the restart."""
        for cut_at in range(0, 120, 3):
            for restart_cut_at in range(6):
                self.assertIsNone(CrashScenario(cut_at, cut_at, restart_cut_at).run().problem)

    def test_a_process_that_ends_before_the_power_is_cut(self) -> None:
        """End the process, then cut the power with bytes read that were not synced."""
        for cut_at in range(0, 120, 2):
            scenario = CrashScenario(cut_at, cut_at, process_only=True)
            self.assertIsNone(scenario.run().problem)
            scenario = CrashScenario(cut_at, cut_at, restart_cut_at=2, process_only=True)
            self.assertIsNone(scenario.run().problem)

    def test_disk_errors_stop_a_commit_and_lose_nothing_that_was_acknowledged(self) -> None:
        """Fail operations with ENOSPC and EIO, without and with a power cut."""
        for seed in range(60):
            random = SeededRandom(seed)
            errors = {
                random.randbelow(150): (errno.ENOSPC, errno.EIO)[random.randbelow(2)]
                for _ in range(12)
            }
            self.assertIsNone(CrashScenario(seed, errors=errors).run().problem)
            self.assertIsNone(CrashScenario(seed, cut_at=30 + seed, errors=errors).run().problem)


class MutantTest(SmallLimitsCase):
    """Each mutant leaves out one thing that the store must do; the power cuts must show it."""

    def is_caught(self) -> bool:
        """Whether any of some scenarios finds something wrong."""
        return any(
            CrashScenario(seed, cut_at).run().problem
            for seed in range(40)
            for cut_at in range(3 + seed % 3, 130, 7)
        )

    def assert_caught(self, owner: Any, name: str, mutant: Callable) -> None:
        """Check that the scenarios notice when `mutant` takes the place of a function."""
        with unittest.mock.patch.object(owner, name, mutant):
            self.assertTrue(self.is_caught(), name)

    def test_every_mutant_is_caught(self) -> None:
        """Without a mutant nothing is found wrong; with each one something is."""
        self.assertFalse(self.is_caught())
        self.assert_caught(FaultyDisk, "sync", sync_bases_only)
        self.assert_caught(FaultyDisk, "sync", sync_segments_only)
        self.assert_caught(FaultyDisk, "sync_folder", lambda disk: None)
        self.assert_caught(WriteAheadLog, "_begin_segment", append_to_the_last_segment)
        self.assert_caught(WriteAheadLog, "_install_base", remove_segments_before_the_rename)
        self.assert_caught(
            _Recovery, "_report_gap", lambda recovery, segment, last, acknowledged: True
        )
        self.assert_caught(framing, "decode_frame", decode_frame_without_checksum)


real_sync = FaultyDisk.sync
real_begin_segment = WriteAheadLog._begin_segment
real_install_base = WriteAheadLog._install_base


def sync_bases_only(disk: FaultyDisk, name: str) -> None:
    """Mutant of `FaultyDisk.sync`."""
    if name.endswith(FileType.UNFINISHED_BASE):
        real_sync(disk, name)


def sync_segments_only(disk: FaultyDisk, name: str) -> None:
    """Mutant of `FaultyDisk.sync`."""
    if not name.endswith(FileType.UNFINISHED_BASE):
        real_sync(disk, name)


def append_to_the_last_segment(log: WriteAheadLog) -> None:
    """Mutant of `WriteAheadLog._begin_segment`: a start goes on behind whatever was torn there."""
    found = segments.numbered_files(log.files.names(), FileType.SEGMENT)
    begun = log._segment_name != ""
    if not found or begun or log._stop_reason is not None or log._compaction is not None:
        real_begin_segment(log)
        return
    log._last_number = max(found)
    log._segment_name = found[log._last_number]
    log._segments[log._last_number] = log._segment_name
    log._segment_size = len(log.files.read(log._segment_name))
    log._sequence = log._synced_sequence


def remove_segments_before_the_rename(log: WriteAheadLog, compaction: Compaction) -> None:
    """Mutant of `WriteAheadLog._install_base`."""
    for number in [number for number in log._segments if number <= compaction.number]:
        log.files.remove(log._segments.pop(number))
    real_install_base(log, compaction)


def decode_frame_without_checksum(salt: bytes, data: bytes, offset: int = 0) -> Frame | None:
    """Mutant of `framing.decode_frame`: believes any frame whose length fits."""
    if len(data) - offset < framing.FRAME_HEAD.size:
        return None
    mark, length, _, sequence, synced = framing.FRAME_HEAD.unpack_from(data, offset)
    end = offset + framing.FRAME_HEAD.size + length
    if mark != framing.FRAME_MARK or not 0 < length <= framing.MAX_BODY_BYTES or end > len(data):
        return None
    body = bytes(data[offset + framing.FRAME_HEAD.size : end])
    try:
        framing.unpack_value(body)
    except framing.UnreadableRecordError:
        return None
    return Frame(offset, end, sequence, synced, body)


if __name__ == "__main__":
    unittest.main()
