"""Which proxies may join now (`planner.join_admission`)."""

import unittest

from harness import SECOND, SimulatedLoop

from indigodeck.planner.join_admission import MAX_WAITING_PROXIES, JoinAdmission


class JoinAdmissionTest(unittest.TestCase):
    """Each proxy that joins has 50 lines waiting; the channel may hold 1000."""

    def setUp(self):
        """Start at time 0."""
        self.loop = SimulatedLoop()
        self.now = self.loop.now
        self.call_later = self.loop.call_later
        self.waiting = 0
        self.admitted = []
        self.rejected = []
        self.join_admission = JoinAdmission(self, 1000)

    def waiting_lines(self):
        """Return what waits, as the test sets it."""
        return self.waiting

    def lines_per_join(self):
        """Return what a proxy that joins has waiting."""
        return 50

    def admit(self, proxy):
        """Keep who joined; its tables wait from now on."""
        self.admitted.append(proxy)
        self.waiting += 50

    def reject(self, proxy):
        """Keep who was rejected."""
        self.rejected.append(proxy)

    def test_a_crowd_is_admitted_as_the_channel_empties_first_come_first(self):
        """The queue stays within the share of joins; who left is passed over."""
        for proxy in range(100):
            self.join_admission.on_arrival(proxy)
        self.join_admission.on_departure(5)
        self.join_admission.on_departure(90)
        most = self.waiting
        while len(self.admitted) < 98 and self.loop.clock < 110 * SECOND:
            self.loop.run(0.02)
            most, self.waiting = max(most, self.waiting), max(0, self.waiting - 100)
        self.assertEqual(self.admitted, [proxy for proxy in range(100) if proxy not in (5, 90)])
        self.assertLessEqual(most, 400)

    def test_a_queue_that_never_empties_admits_one_now_and_then_and_is_never_overfilled(self):
        """One in 0.2 s joins, until the channel is full."""
        self.waiting = 700  # of proxys that read nothing
        for proxy in range(20):
            self.join_admission.on_arrival(proxy)
        self.loop.run(10)
        self.assertEqual((self.admitted, self.waiting), (list(range(6)), 1000))

    def test_no_more_wait_than_there_is_room_for(self):
        """Two too many are rejected at once."""
        self.waiting = 1000
        for proxy in range(MAX_WAITING_PROXIES + 2):
            self.join_admission.on_arrival(proxy)
        self.assertEqual(len(self.rejected), 2)
