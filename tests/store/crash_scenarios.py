"""Scenarios that commit and compact on a disk that may lose power at any operation."""

import contextlib
import unittest
import unittest.mock
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.store import write_ahead_log
from indigodeck.store.index import Changes
from indigodeck.store.write_ahead_log import StoreStoppedError, WriteAheadLog
from indigodeck.testbed.faulty_disk import FaultyDisk, PowerCutError

StoreState: TypeAlias = dict[str, Any]

KEYS = [f"key/{number}" for number in range(7)]
COMMIT_COUNT = 40
COMPACTION_STEP_BYTES = 200
MAX_RESTARTS = 3  # one that loses power too, one that succeeds, and one spare

# So small that a few commits fill several segments and cause several compactions.
SMALL_LIMITS: dict[str, Any] = {
    "MAX_SEGMENT_BYTES": 700,
    "MIN_COMPACTED_BYTES": 900,
    "COMPACTION_RATIO": 1,
}


class SmallLimitsCase(unittest.TestCase):
    """Test case in which segments and compactions are a few hundred bytes long."""

    def setUp(self) -> None:
        """Apply the limits for one test."""
        limits = unittest.mock.patch.multiple(write_ahead_log, **SMALL_LIMITS)
        limits.start()
        self.addCleanup(limits.stop)


class ExpectedStates:
    """The states that a store may be in.

    The store must be in one of `possible_states`; only one is left once all commits are
    acknowledged. `all_states` are all states since the beginning.
    """

    def __init__(self, random: SeededRandom) -> None:
        self.possible_states: list[StoreState] = [{}]
        self.all_states: list[StoreState] = [{}]
        self._random = random
        self._change_count = 0

    def commit(self, log: WriteAheadLog) -> None:
        """Commit some random batches to a log."""
        batches = [self._batch() for _ in range(1 + self._random.randbelow(3))]
        states = self.possible_states[:1]
        for changes in batches:
            states.append(_apply_changes(states[-1], changes))
        self.possible_states += states[1:]
        self.all_states += states[1:]
        log.commit(batches)
        self.possible_states = states[-1:]

    def _batch(self) -> Changes:
        changes = []
        count = 1 + self._random.randbelow(3)
        keys = {KEYS[self._random.randbelow(len(KEYS))] for _ in range(count)}
        for key in sorted(keys):  # a set's order depends on the interpreter's hash seed
            self._change_count += 1
            value = None
            if self._random.randbelow(5):
                value = {"nth": self._change_count, "fill": "x" * self._random.randbelow(60)}
            changes.append((key, value))
        return sorted(changes, key=lambda change: change[0])


def _apply_changes(state: StoreState, changes: Changes) -> StoreState:
    state = dict(state)
    for key, value in changes:
        state.pop(key, None)
        if value is not None:
            state[key] = value
    return state


class ScenarioResult(NamedTuple):
    """The problem that was found, or None, and the number of operations on the first disk."""

    problem: str | None
    operation_count: int


@dataclass(frozen=True, slots=True)
class CrashScenario:
    """Commits and compacts until the power is cut or to the end, then restarts after a cut.

    `cut_at` and `errors` apply to the first disk (`FaultyDisk`); the first restart loses power at
    its operation `restart_cut_at`. With `process_crash_only` the process ends, but the machine
    keeps running.
    """

    seed: int
    cut_at: int | None = None
    restart_cut_at: int | None = None
    errors: Mapping[int, int] | None = None
    process_crash_only: bool = False

    def run(self) -> ScenarioResult:
        """Run the scenario."""
        random = SeededRandom(self.seed)
        expected = ExpectedStates(SeededRandom(self.seed + 1))
        disk = FaultyDisk(random, self.cut_at, self.errors)
        try:
            problem = self._commit_and_compact(disk, expected)
        except PowerCutError:
            return ScenarioResult(self._check_restart(disk, expected), disk.operation_count)
        return ScenarioResult(problem, disk.operation_count)

    def _commit_and_compact(self, disk: FaultyDisk, expected: ExpectedStates) -> str | None:
        log = WriteAheadLog(disk)
        for _ in range(COMMIT_COUNT):
            with contextlib.suppress(StoreStoppedError):
                expected.commit(log)
            while log.compaction_due() and disk.random.randbelow(4):
                log.compact(COMPACTION_STEP_BYTES)
            if len(expected.possible_states) == 1 and log.read_all() != expected.possible_states[0]:
                return f"{self}: read {log.read_all()}, acknowledged {expected.possible_states[0]}"
        return None

    def _check_restart(self, disk: FaultyDisk, expected: ExpectedStates) -> str | None:
        disk, log = self._recover(disk)
        values = log.read_all()
        if values not in expected.possible_states:
            return (
                f"{self}: read {values}, expected one of {expected.possible_states}; {log.damage}"
            )
        if log.data_lost:
            return f"{self}: data loss reported although no data is lost; {log.damage}"
        # Further commits build on the recovered state, and discarded records must not reappear.
        expected.possible_states = [values]
        expected.commit(log)
        values = WriteAheadLog(disk.after_power_cut()).read_all()
        if values != expected.possible_states[0]:
            return f"{self}: wrong values after a further commit: {values}"
        return None

    def _recover(self, disk: FaultyDisk) -> tuple[FaultyDisk, WriteAheadLog]:
        cut_at = self.restart_cut_at
        for _ in range(MAX_RESTARTS):
            next_disk = disk.after_process_end if self.process_crash_only else disk.after_power_cut
            disk = next_disk(cut_at)
            cut_at = None
            try:
                log = WriteAheadLog(disk)
            except PowerCutError:
                continue
            disk.cut_at = None
            return disk, log
        raise AssertionError(f"{self}: all {MAX_RESTARTS} restarts failed")


class FilledDisk(NamedTuple):
    """A disk with two bases and the segments since the first, and all states of its store."""

    disk: FaultyDisk
    states: list[StoreState]


def filled_disk(commits: int = 30, seed: int = 5) -> FilledDisk:
    """Return a disk after commits and compactions without faults."""
    disk = FaultyDisk(SeededRandom(seed))
    expected = ExpectedStates(SeededRandom(seed + 1))
    log = WriteAheadLog(disk)
    for _ in range(commits):
        expected.commit(log)
        while log.compaction_due():
            log.compact(COMPACTION_STEP_BYTES)
    return FilledDisk(disk, expected.all_states)
