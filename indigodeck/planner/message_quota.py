"""How many messages one relay may still be written, counted at its socket: a decision of its own, free of I/O.

The fourth rule limits what a planner writes to one relay within a span. The assigner keeps an account of its
orders; this one is of all messages that leave, answers to the relay's own requests among them, and is what
binds. Answers have a part of their own, so that a relay that asks too often delays itself and no drain.
"""

from collections import deque


class MessageQuota:
    """`most` messages within `span` microseconds, of which at most `answers` reply to requests."""

    def __init__(self, most, span, answers, margin=0):
        self.most, self.answers = most, min(answers, most)
        # A message is counted where it is read as well, later by its way: two counts may differ by that.
        self.span = span + margin
        self.written = deque()

    def _forget(self, now):
        while self.written and self.written[0][0] <= now - self.span:
            self.written.popleft()

    def _wait(self, now, times, most):
        return 0 if len(times) < most else times[len(times) - most] + self.span - now

    def order_in(self, now):
        """Microseconds until an order may be written; 0: now."""
        self._forget(now)
        return self._wait(now, [at for at, _ in self.written], self.most) if self.most else 0

    def answer_in(self, now):
        """Microseconds until a request may be answered."""
        self._forget(now)
        own = (
            self._wait(now, [at for at, answer in self.written if answer], self.answers)
            if self.most
            else 0
        )
        return max(own, self.order_in(now))

    def wrote(self, now, answer=False):
        self.written.append((now, answer))

    def idle(self, now):
        """Whether nothing that was written still counts, so that the account may be dropped."""
        self._forget(now)
        return not self.written
