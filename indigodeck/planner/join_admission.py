"""Limits how fast proxies join, by the free capacity of the update channel; free of I/O.

After a change of leader, all proxies of a fleet connect to the new leader within a second, and each
must be sent a full table. When proxies were admitted on arrival, 303 of them queued 15,500 lines in
a channel that may hold 4,500 (docs/leadership.md). A proxy that waits here continues with the
tables it has, and what it sends meanwhile stays in its socket. Proxies are admitted in order of
arrival.
"""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Protocol

from ..clock import SECOND

# Share of the queue that joining proxies may fill. The rest is reserved for drains and replacements
# of servers.
MAX_JOIN_SHARE = 0.4
# Time between two rounds of admission while proxies wait. The assigner processes all proxies of one
# round together and scans its tables once for them. When proxies were admitted one by one, 303 xDS
# proxies joined at 50 a second, and drains were delayed.
ADMISSION_INTERVAL = SECOND // 20
# A stalled proxy can keep the queue long. So that it does not block all others, one proxy may join
# per this interval while the queue has space at all.
FORCED_ADMISSION_INTERVAL = SECOND // 5
MAX_WAITING_PROXIES = 65_535


class Environment(Protocol):
    """What join admission needs from the program that runs it."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` microseconds."""

    def waiting_lines(self) -> float:
        """Return the number of lines queued for all proxies."""

    def lines_per_join(self) -> float:
        """Return how many lines one joining proxy can add to the queue."""

    def admit(self, candidate: Hashable) -> None:
        """Let a candidate join now."""

    def reject(self, candidate: Hashable) -> None:
        """Turn a candidate away, because too many are waiting."""


class JoinAdmission:
    """Queues candidates until the channel has capacity for them.

    `max_waiting_lines` is the number of lines that the channel may queue. A candidate is any
    hashable object that identifies one joining proxy.
    """

    def __init__(self, environment: Environment, max_waiting_lines: float) -> None:
        self.environment = environment
        self.max_waiting_lines = max_waiting_lines
        self._candidates: OrderedDict[Hashable, bool] = OrderedDict()
        self._is_scheduled = False
        self._last_admitted_at = environment.now() - FORCED_ADMISSION_INTERVAL
        self._last_round_at = environment.now() - ADMISSION_INTERVAL
        self._lines_of_this_round: float = 0

    def on_arrival(self, candidate: Hashable) -> None:
        """Enqueue a candidate; it is admitted or rejected later, or rejected at once."""
        if len(self._candidates) >= MAX_WAITING_PROXIES:
            self.environment.reject(candidate)
            return
        self._candidates[candidate] = True
        if not self._is_scheduled:
            self._is_scheduled = True
            next_round_at = self._last_round_at + ADMISSION_INTERVAL
            self.environment.call_later(
                max(0, next_round_at - self.environment.now()), self._admit_candidates
            )

    def on_departure(self, candidate: Hashable) -> None:
        """Remove a candidate that no longer waits, whether it was admitted or not."""
        self._candidates.pop(candidate, None)

    def _admit_candidates(self) -> None:
        now = self.environment.now()
        # By now, the lines of the last round are counted in the queue or have been written.
        self._lines_of_this_round = 0
        self._last_round_at = now
        while self._candidates and self._has_room(now):
            candidate, _ = self._candidates.popitem(last=False)
            self._lines_of_this_round += self.environment.lines_per_join()
            self._last_admitted_at = now
            self.environment.admit(candidate)
        self._is_scheduled = bool(self._candidates)
        if self._is_scheduled:
            self.environment.call_later(ADMISSION_INTERVAL, self._admit_candidates)

    def _has_room(self, now: int) -> bool:
        waiting = self.environment.waiting_lines() + self._lines_of_this_round
        needed = self.environment.lines_per_join()
        if not waiting:
            # An empty channel admits any proxy, even if one join exceeds its stated capacity.
            return True
        if waiting + needed <= MAX_JOIN_SHARE * self.max_waiting_lines:
            return True
        is_overdue = now - self._last_admitted_at >= FORCED_ADMISSION_INTERVAL
        return is_overdue and waiting + needed <= self.max_waiting_lines
