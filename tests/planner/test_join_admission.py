"""The rate at which proxies may join (`planner.join_admission`)."""

import unittest

from harness import SECOND, SimulatedLoop

from indigodeck.planner.join_admission import MAX_WAITING_PROXIES, JoinAdmission


class JoinAdmissionTest(unittest.TestCase):
    """Each joining proxy queues 50 lines; the channel may queue 1000."""

    def setUp(self):
        """Start with an empty channel."""
        self.loop = SimulatedLoop()
        self.now = self.loop.now
        self.call_later = self.loop.call_later
        self.queued_lines = 0
        self.admitted = []
        self.rejected = []
        self.join_admission = JoinAdmission(self, 1000)

    def waiting_lines(self):
        """Return the number of queued lines, which the test sets."""
        return self.queued_lines

    def lines_per_join(self):
        """Return how many lines one joining proxy queues."""
        return 50

    def admit(self, proxy):
        """Record an admitted proxy, whose lines are queued from now on."""
        self.admitted.append(proxy)
        self.queued_lines += 50

    def reject(self, proxy):
        """Record a rejected proxy."""
        self.rejected.append(proxy)

    def test_proxies_are_admitted_in_order_as_the_channel_empties(self):
        """The queue stays within the share for joins; candidates that left are skipped."""
        for proxy in range(100):
            self.join_admission.on_arrival(proxy)
        self.join_admission.on_departure(5)
        self.join_admission.on_departure(90)
        longest = self.queued_lines
        while len(self.admitted) < 98 and self.loop.clock < 110 * SECOND:
            self.loop.run(0.02)
            longest, self.queued_lines = (
                max(longest, self.queued_lines),
                max(0, self.queued_lines - 100),
            )
        self.assertEqual(self.admitted, [proxy for proxy in range(100) if proxy not in (5, 90)])
        self.assertLessEqual(longest, 400)

    def test_a_long_queue_still_admits_proxies_slowly_until_the_channel_is_full(self):
        """One proxy joins every 0.2 s until the channel is full."""
        self.queued_lines = 700  # lines of proxies that do not read
        for proxy in range(20):
            self.join_admission.on_arrival(proxy)
        self.loop.run(10)
        self.assertEqual((self.admitted, self.queued_lines), (list(range(6)), 1000))

    def test_candidates_over_the_limit_are_rejected(self):
        """Two candidates over the limit are rejected immediately."""
        self.queued_lines = 1000
        for proxy in range(MAX_WAITING_PROXIES + 2):
            self.join_admission.on_arrival(proxy)
        self.assertEqual(len(self.rejected), 2)
