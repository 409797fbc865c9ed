"""Rate limit of the messages written to one proxy, counted at its socket; free of I/O.

A deployment limits how many messages a planner writes to one proxy within a time window. The
assigner accounts for its own orders. This quota covers all messages, including responses to the
proxy's own requests, and is the limit that is enforced. Responses have a share of their own, so
that a proxy that sends too many requests delays its responses but no drain.
"""

from collections import deque
from collections.abc import Sequence


class MessageQuota:
    """Allows `max_messages` (0: no limit) per `window`, `max_answers` of them responses.

    Messages are also counted where they are received, after varying delays, so the two counts can
    differ. The window is extended by `margin` to allow for that. Times are microseconds.
    """

    def __init__(self, max_messages: int, window: int, max_answers: int, margin: int = 0) -> None:
        self.max_messages = max_messages
        self.max_answers = min(max_answers, max_messages)
        self.window = window + margin
        self.written: deque[tuple[int, bool]] = deque()  # (time, whether it was a response)

    def order_wait(self, now: int) -> int:
        """Return the time until an order may be written, 0 for now."""
        self._discard_expired(now)
        if not self.max_messages:
            return 0
        return self._wait(now, [at for at, _ in self.written], self.max_messages)

    def answer_wait(self, now: int) -> int:
        """Return the time until a request may be answered, 0 for now."""
        self._discard_expired(now)
        if not self.max_messages:
            return 0
        answers = [at for at, is_answer in self.written if is_answer]
        return max(self._wait(now, answers, self.max_answers), self.order_wait(now))

    def on_written(self, now: int, is_answer: bool = False) -> None:
        """Count a message that was written."""
        self.written.append((now, is_answer))

    def is_idle(self, now: int) -> bool:
        """Return whether no message counts any more, so that the quota object can be dropped."""
        self._discard_expired(now)
        return not self.written

    def _discard_expired(self, now: int) -> None:
        while self.written and self.written[0][0] <= now - self.window:
            self.written.popleft()

    def _wait(self, now: int, times: Sequence[int], limit: int) -> int:
        if len(times) < limit:
            return 0
        return times[len(times) - limit] + self.window - now
