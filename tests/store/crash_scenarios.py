"""Scenarios that commit and compact on a disk whose power may be cut at any operation."""

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

Values: TypeAlias = dict[str, Any]

KEYS = [f"key/{number}" for number in range(7)]
COMMIT_COUNT = 40
COMPACTION_STEP_BYTES = 200
MAX_RESTARTS = 3  # one that is cut as well, and one that succeeds, with one to spare

# So that every case of segments and compactions is met within some commits.
SMALL_LIMITS: dict[str, Any] = {
    "MAX_SEGMENT_BYTES": 700,
    "MIN_COMPACTED_BYTES": 900,
    "COMPACTION_RATIO": 1,
}


class SmallLimitsCase(unittest.TestCase):
    """Segments and compactions of a few hundred bytes."""

    def setUp(self) -> None:
        """Set the limits for one test."""
        limits = unittest.mock.patch.multiple(write_ahead_log, **SMALL_LIMITS)
        limits.start()
        self.addCleanup(limits.stop)


class ExpectedStates:
    """The values that a store may hold.

    `possible` are the states of which it must hold one; there is one alone as soon as everything is
    acknowledged. `all` are those that there ever were.
    """

    def __init__(self, random: SeededRandom) -> None:
        self.possible: list[Values] = [{}]
        self.all: list[Values] = [{}]
        self._random = random
        self._change_count = 0

    def commit(self, log: WriteAheadLog) -> None:
        """Commit some random batches to a log."""
        batches = [self._batch() for _ in range(1 + self._random.randbelow(3))]
        states = self.possible[:1]
        for changes in batches:
            states.append(_changed(states[-1], changes))
        self.possible += states[1:]
        self.all += states[1:]
        log.commit(batches)
        self.possible = states[-1:]

    def _batch(self) -> Changes:
        changes = []
        count = 1 + self._random.randbelow(3)
        for key in {KEYS[self._random.randbelow(len(KEYS))] for _ in range(count)}:
            self._change_count += 1
            value = None
            if self._random.randbelow(5):
                value = {"nth": self._change_count, "fill": "x" * self._random.randbelow(60)}
            changes.append((key, value))
        return sorted(changes, key=lambda change: change[0])


def _changed(state: Values, changes: Changes) -> Values:
    state = dict(state)
    for key, value in changes:
        state.pop(key, None)
        if value is not None:
            state[key] = value
    return state


class Outcome(NamedTuple):
    """What was wrong, or None, and how many operations were done before the power was cut."""

    problem: str | None
    operation_count: int


@dataclass(frozen=True, slots=True)
class CrashScenario:
    """Commits and compactions until the power is cut, or to the end; then restarts.

    `cut_at` and `errors` are of the first disk (`FaultyDisk`); the first restart is cut at its
    operation `restart_cut_at`. With `process_only` the process ends and the machine runs on.
    """

    seed: int
    cut_at: int | None = None
    restart_cut_at: int | None = None
    errors: Mapping[int, int] | None = None
    process_only: bool = False

    def run(self) -> Outcome:
        """Play the scenario."""
        random = SeededRandom(self.seed)
        expected = ExpectedStates(SeededRandom(self.seed + 1))
        disk = FaultyDisk(random, self.cut_at, self.errors)
        try:
            problem = self._commit_and_compact(disk, expected)
        except PowerCutError:
            return Outcome(self._restart(disk, expected), disk.operation_count)
        return Outcome(problem, disk.operation_count)

    def _commit_and_compact(self, disk: FaultyDisk, expected: ExpectedStates) -> str | None:
        log = WriteAheadLog(disk)
        for _ in range(COMMIT_COUNT):
            with contextlib.suppress(StoreStoppedError):
                expected.commit(log)
            while log.compaction_due() and disk.random.randbelow(4):
                log.compact(COMPACTION_STEP_BYTES)
            if len(expected.possible) == 1 and log.read_all() != expected.possible[0]:
                return f"{self}: {log.read_all()} held, {expected.possible[0]} acknowledged"
        return None

    def _restart(self, disk: FaultyDisk, expected: ExpectedStates) -> str | None:
        disk, log = self._recovered(disk)
        values = log.read_all()
        if values not in expected.possible:
            return f"{self}: {values} is none of {expected.possible}; {log.damage}"
        if log.data_lost:
            return f"{self}: data reported lost that is there; {log.damage}"
        # The log goes on with what it found, and does not come back to what it had left out.
        expected.possible = [values]
        expected.commit(log)
        values = WriteAheadLog(disk.after_power_cut()).read_all()
        if values != expected.possible[0]:
            return f"{self}: {values} after going on"
        return None

    def _recovered(self, disk: FaultyDisk) -> tuple[FaultyDisk, WriteAheadLog]:
        cut_at = self.restart_cut_at
        for _ in range(MAX_RESTARTS):
            next_disk = disk.after_process_end if self.process_only else disk.after_power_cut
            disk = next_disk(cut_at)
            cut_at = None
            try:
                log = WriteAheadLog(disk)
            except PowerCutError:
                continue
            disk.cut_at = None
            return disk, log
        raise AssertionError(f"{self}: no restart succeeded")


class FilledDisk(NamedTuple):
    """A disk with two bases and the segments since the first, and each state it was ever in."""

    disk: FaultyDisk
    states: list[Values]


def filled_disk(commits: int = 30, seed: int = 5) -> FilledDisk:
    """Commit and compact on a disk without faults."""
    disk = FaultyDisk(SeededRandom(seed))
    expected = ExpectedStates(SeededRandom(seed + 1))
    log = WriteAheadLog(disk)
    for _ in range(commits):
        expected.commit(log)
        while log.compaction_due():
            log.compact(COMPACTION_STEP_BYTES)
    return FilledDisk(disk, expected.all)
