"""How many messages one proxy may be written (`planner.message_quota`)."""

import copy
import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.planner.message_quota import MessageQuota


class MessageQuotaTest(unittest.TestCase):
    """At most seven messages in a window, three of them answers."""

    @settings(max_examples=200, deadline=None)
    @given(some.lists(some.tuples(some.integers(0, 3000), some.booleans()), max_size=80))
    def test_no_window_holds_more_than_is_allowed(self, messages):
        """Whatever the order, and each wait that is stated is enough."""
        quota = MessageQuota(7, 1000, 3)
        clock = 0
        written = []
        for gap, answer in messages:
            clock += gap
            wait = quota.answer_wait(clock) if answer else quota.order_wait(clock)
            if wait == 0:
                quota.on_written(clock, answer)
                written.append((clock, answer))
            else:
                self.assertTrue(0 < wait <= 1000)
                later = copy.deepcopy(quota)
                self.assertEqual(
                    (later.answer_wait if answer else later.order_wait)(clock + wait), 0
                )
        for at, _ in written:
            within = [answer for other, answer in written if at - 1000 < other <= at]
            self.assertLessEqual(len(within), 7)
            self.assertLessEqual(sum(within), 3)
