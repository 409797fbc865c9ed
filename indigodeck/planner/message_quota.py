"""How many messages one proxy may still be written, counted at its socket; free of I/O.

The deployment limits what a planner writes to one proxy within a window. The assigner keeps an
account of its orders; this one is of all messages that leave, answers to the proxy's own requests
among them, and is what binds. Answers have a part of their own, so that a proxy that asks too often
delays itself and no drain.
"""

from collections import deque
from collections.abc import Sequence


class MessageQuota:
    """At most `max_messages` (0: any number) within `window`, `max_answers` of them answers.

    A message is counted where it is read as well, later by its way: `margin` is by how much two
    counts may differ. Times are microseconds.
    """

    def __init__(self, max_messages: int, window: int, max_answers: int, margin: int = 0) -> None:
        self.max_messages = max_messages
        self.max_answers = min(max_answers, max_messages)
        self.window = window + margin
        self.written: deque[tuple[int, bool]] = deque()  # (when, whether it was an answer)

    def order_wait(self, now: int) -> int:
        """Return the time until an order may be written; 0: now."""
        self._forget(now)
        if not self.max_messages:
            return 0
        return self._wait(now, [at for at, _ in self.written], self.max_messages)

    def answer_wait(self, now: int) -> int:
        """Return the time until a request may be answered; 0: now."""
        self._forget(now)
        if not self.max_messages:
            return 0
        answers = [at for at, is_answer in self.written if is_answer]
        return max(self._wait(now, answers, self.max_answers), self.order_wait(now))

    def on_written(self, now: int, is_answer: bool = False) -> None:
        """Count a message."""
        self.written.append((now, is_answer))

    def is_idle(self, now: int) -> bool:
        """Return whether nothing that was written counts, so that the quota may be dropped."""
        self._forget(now)
        return not self.written

    def _forget(self, now: int) -> None:
        while self.written and self.written[0][0] <= now - self.window:
            self.written.popleft()

    def _wait(self, now: int, times: Sequence[int], limit: int) -> int:
        if len(times) < limit:
            return 0
        return times[len(times) - limit] + self.window - now
