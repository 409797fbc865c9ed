"""The limit on messages to one proxy (`planner.message_quota`)."""

import copy
import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.planner.message_quota import MessageQuota


class MessageQuotaTest(unittest.TestCase):
    """At most seven messages in a window, three of them responses."""

    @settings(max_examples=200, deadline=None)
    @given(some.lists(some.tuples(some.integers(0, 3000), some.booleans()), max_size=80))
    def test_no_window_exceeds_the_limits(self, messages):
        """Any sequence keeps to the limits, and each returned wait is long enough."""
        quota = MessageQuota(7, 1000, 3)
        clock = 0
        written = []
        for gap, is_answer in messages:
            clock += gap
            wait = quota.answer_wait(clock) if is_answer else quota.order_wait(clock)
            if wait == 0:
                quota.on_written(clock, is_answer)
                written.append((clock, is_answer))
            else:
                self.assertTrue(0 < wait <= 1000)
                later = copy.deepcopy(quota)
                self.assertEqual(
                    (later.answer_wait if is_answer else later.order_wait)(clock + wait), 0
                )
        for at, _ in written:
            in_window = [
                is_answer for written_at, is_answer in written if at - 1000 < written_at <= at
            ]
            self.assertLessEqual(len(in_window), 7)
            self.assertLessEqual(sum(in_window), 3)
