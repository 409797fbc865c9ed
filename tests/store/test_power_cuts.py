"""Power cuts at every disk operation of commits, compactions and recovery."""

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
    """Acknowledged commits survive every power cut, and no other values appear."""

    def test_acknowledged_commits_survive_a_power_cut_at_every_operation(self) -> None:
        """Cut the power at each operation of a run, with four seeds."""
        operation_count = CrashScenario(seed=1).run().operation_count
        self.assertGreater(operation_count, 100)
        for cut_at in range(operation_count):
            for seed in range(1, 5):
                self.assertIsNone(CrashScenario(seed, cut_at).run().problem)

    def test_a_power_cut_during_recovery_loses_nothing(self) -> None:
        """Cut the power, and cut it again at each of the first operations of the restart."""
        for cut_at in range(0, 120, 3):
            for restart_cut_at in range(6):
                self.assertIsNone(CrashScenario(cut_at, cut_at, restart_cut_at).run().problem)

    def test_a_process_crash_before_a_power_cut_loses_nothing(self) -> None:
        """End the process, then cut the power after a restart has read unsynced bytes."""
        for cut_at in range(0, 120, 2):
            scenario = CrashScenario(cut_at, cut_at, process_crash_only=True)
            self.assertIsNone(scenario.run().problem)
            scenario = CrashScenario(cut_at, cut_at, restart_cut_at=2, process_crash_only=True)
            self.assertIsNone(scenario.run().problem)

    def test_disk_errors_fail_commits_but_lose_no_acknowledged_ones(self) -> None:
        """Fail operations with ENOSPC and EIO, with and without a power cut."""
        for seed in range(60):
            random = SeededRandom(seed)
            errors = {
                random.randbelow(150): (errno.ENOSPC, errno.EIO)[random.randbelow(2)]
                for _ in range(12)
            }
            self.assertIsNone(CrashScenario(seed, errors=errors).run().problem)
            self.assertIsNone(CrashScenario(seed, cut_at=30 + seed, errors=errors).run().problem)


class MutantTest(SmallLimitsCase):
    """Mutation tests: each mutant breaks one safety measure, and power cuts must reveal it."""

    def is_detected(self) -> bool:
        """Return whether any scenario finds a problem."""
        return any(
            CrashScenario(seed, cut_at).run().problem
            for seed in range(40)
            for cut_at in range(3 + seed % 3, 130, 7)
        )

    def assert_detected(self, owner: Any, name: str, mutant: Callable) -> None:
        """Check that the scenarios find a problem when `mutant` replaces a function."""
        with unittest.mock.patch.object(owner, name, mutant):
            self.assertTrue(self.is_detected(), name)

    def test_every_mutant_is_detected(self) -> None:
        """The scenarios find no problem without a mutant, and a problem with each mutant."""
        self.assertFalse(self.is_detected())
        self.assert_detected(FaultyDisk, "sync", sync_bases_only)
        self.assert_detected(FaultyDisk, "sync", sync_segments_only)
        self.assert_detected(FaultyDisk, "sync_folder", lambda disk: None)
        self.assert_detected(WriteAheadLog, "_begin_segment", append_to_last_segment)
        self.assert_detected(WriteAheadLog, "_install_base", remove_segments_before_rename)
        self.assert_detected(
            _Recovery,
            "_report_gap",
            lambda recovery, segment, last_missing, acknowledged_sequence: True,
        )
        self.assert_detected(framing, "decode_frame", decode_frame_without_checksum)


real_sync = FaultyDisk.sync
real_begin_segment = WriteAheadLog._begin_segment
real_install_base = WriteAheadLog._install_base


def sync_bases_only(disk: FaultyDisk, name: str) -> None:
    """Mutant of `FaultyDisk.sync` that does not sync segments."""
    if name.endswith(FileType.UNFINISHED_BASE):
        real_sync(disk, name)


def sync_segments_only(disk: FaultyDisk, name: str) -> None:
    """Mutant of `FaultyDisk.sync` that does not sync bases."""
    if not name.endswith(FileType.UNFINISHED_BASE):
        real_sync(disk, name)


def append_to_last_segment(log: WriteAheadLog) -> None:
    """Mutant of `WriteAheadLog._begin_segment` that appends to a segment with a torn end."""
    found = segments.numbered_files(log.files.names(), FileType.SEGMENT)
    started = log._segment_name != ""
    if not found or started or log._stop_reason is not None or log._compaction is not None:
        real_begin_segment(log)
        return
    log._last_file_number = max(found)
    log._segment_name = found[log._last_file_number]
    log._segments[log._last_file_number] = log._segment_name
    log._segment_size = len(log.files.read(log._segment_name))
    log._sequence = log._synced_sequence


def remove_segments_before_rename(log: WriteAheadLog, compaction: Compaction) -> None:
    """Mutant of `WriteAheadLog._install_base` that removes segments too early."""
    for number in [number for number in log._segments if number <= compaction.base_number]:
        log.files.remove(log._segments.pop(number))
    real_install_base(log, compaction)


def decode_frame_without_checksum(salt: bytes, data: bytes, offset: int = 0) -> Frame | None:
    """Mutant of `framing.decode_frame` that accepts any frame of a valid length."""
    if len(data) - offset < framing.FRAME_HEADER.size:
        return None
    magic, length, _, sequence, synced = framing.FRAME_HEADER.unpack_from(data, offset)
    end = offset + framing.FRAME_HEADER.size + length
    if magic != framing.FRAME_MAGIC or not 0 < length <= framing.MAX_BODY_BYTES or end > len(data):
        return None
    body = bytes(data[offset + framing.FRAME_HEADER.size : end])
    try:
        framing.unpack_value(body)
    except framing.UnreadableRecordError:
        return None
    return Frame(offset, end, sequence, synced, body)


if __name__ == "__main__":
    unittest.main()
