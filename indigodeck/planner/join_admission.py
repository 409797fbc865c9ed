"""Which proxies may join now, as the channel takes their tables; free of I/O.

After a change of leader every proxy of a fleet dials the successor within a second, and each has a
whole table coming. Admitted as they came, 303 of them put 15,500 lines into a channel that may hold
4,500 (docs/leadership.md). A proxy that waits here holds its tables and goes on; what it sends
meanwhile stays in its own socket. First come, first served.
"""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Protocol

from ..clock import SECOND

# Of the lines that may wait: what joining proxies fill; the rest is for drains and replacements.
JOIN_SHARE = 0.4
# Between two looks at the queue while somebody waits. All that a look admits are one moment to the
# assigner, which goes through all of its tables once for them: one by one, 303 xDS proxies were
# admitted at 50 a second, and drains came late.
ADMISSION_INTERVAL = SECOND // 20
# A queue that a stalled proxy's lines keep long must not shut everybody out: one in this time may
# join.
ADMIT_ONE_EVERY = SECOND // 5
MAX_WAITING_PROXIES = 65_535


class Environment(Protocol):
    """What join admission may ask of the program around it."""

    def now(self) -> int:
        """Return the time on a clock that never goes back."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call back after this time."""

    def waiting_lines(self) -> float:
        """Return the lines that wait for all proxies."""

    def lines_per_join(self) -> float:
        """Return the lines that one more proxy may have waiting at once."""

    def admit(self, candidate: Hashable) -> None:
        """Let a candidate join now."""

    def reject(self, candidate: Hashable) -> None:
        """Turn a candidate away: too many wait."""


class JoinAdmission:
    """Holds candidates back until the channel has room; `max_waiting_lines` may wait in it.

    A candidate is whatever the program hands over, one object for each proxy that comes.
    """

    def __init__(self, environment: Environment, max_waiting_lines: float) -> None:
        self.environment = environment
        self.max_waiting_lines = max_waiting_lines
        self._candidates: OrderedDict[Hashable, bool] = OrderedDict()
        self._is_scheduled = False
        self._last_admitted_at = environment.now() - ADMIT_ONE_EVERY
        self._last_look_at = environment.now() - ADMISSION_INTERVAL
        self._lines_of_this_look: float = 0

    def on_arrival(self, candidate: Hashable) -> None:
        """Line a candidate up; its admission or rejection follows."""
        if len(self._candidates) >= MAX_WAITING_PROXIES:
            self.environment.reject(candidate)
            return
        self._candidates[candidate] = True
        if not self._is_scheduled:
            self._is_scheduled = True
            next_look_at = self._last_look_at + ADMISSION_INTERVAL
            self.environment.call_later(max(0, next_look_at - self.environment.now()), self._look)

    def on_departure(self, candidate: Hashable) -> None:
        """Forget a candidate that waits no more, whether it was admitted or not."""
        self._candidates.pop(candidate, None)

    def _look(self) -> None:
        now = self.environment.now()
        # What the last look admitted shows in the queue by now, or has been written.
        self._lines_of_this_look = 0
        self._last_look_at = now
        while self._candidates and self._has_room(now):
            candidate, _ = self._candidates.popitem(last=False)
            self._lines_of_this_look += self.environment.lines_per_join()
            self._last_admitted_at = now
            self.environment.admit(candidate)
        self._is_scheduled = bool(self._candidates)
        if self._is_scheduled:
            self.environment.call_later(ADMISSION_INTERVAL, self._look)

    def _has_room(self, now: int) -> bool:
        waiting = self.environment.waiting_lines() + self._lines_of_this_look
        needed = self.environment.lines_per_join()
        if not waiting:
            return True  # an empty channel takes anybody, however small it is stated to be
        if waiting + needed <= JOIN_SHARE * self.max_waiting_lines:
            return True
        is_overdue = now - self._last_admitted_at >= ADMIT_ONE_EVERY
        return is_overdue and waiting + needed <= self.max_waiting_lines
