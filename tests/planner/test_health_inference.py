"""What hosts' reports and health checks tell the assigner (`planner.health_inference`)."""

import unittest

from harness import SECOND, deployment_settings, server

from indigodeck.planner.health_inference import HealthInference
from indigodeck.planner.host_reports import HostReport


class HealthInferenceTest(unittest.TestCase):
    """Six hosts, of which host 3 may hang; the test takes in the reports."""

    def setUp(self):
        """Start at time 0."""
        self.clock = 0
        self.met = {}
        self.requests = {}
        settings = deployment_settings(planner_zone=0)
        self.inference = HealthInference(self, settings, 40, 16)
        self.inference.on_endpoint_update([server(index) for index in range(6)])

    def now(self):
        """Return the test's time."""
        return self.clock

    def on_load_report(self, report):
        """Keep what is reported of a server."""
        self.met[report.server] = report.attempts, report.failures, report.mean_latency

    def on_demand_report(self, report):
        """Keep what is reported of a proxy."""
        self.requests[report.proxy, report.class_index] = report.requests

    def second(self):
        """Play a second, in which host 3 hangs, and report."""
        for _ in range(20):
            self.clock += SECOND // 20
            for index in self.inference.take_due_checks(self.clock):
                hung = index == 3
                self.inference.on_check(
                    index, "silent" if hung else "ok", 2 * SECOND if hung else 300_000, self.clock
                )
        for index in range(6):
            self.inference.on_host_report(
                index,
                HostReport(
                    0.01 if index == 3 else 0.5,
                    9 if index == 3 else 4,
                    200_000,
                    0.0 if index == 3 else 16.0,
                    0.0,
                    {} if index == 3 else {0: 12.0, 1: 4.0},
                ),
                self.clock,
            )
        self.met.clear()
        self.inference.send_reports()

    def test_a_hung_host_with_the_least_load_fails_what_it_holds(self):
        """Unanswered checks beside an idle report count as failures."""
        self.second()
        self.second()
        attempts, failures, mean_latency = self.met[3]
        self.assertGreaterEqual(attempts, 8)
        self.assertEqual((failures, mean_latency), (attempts, 0))
        self.assertTrue(all(self.met[index][1] == 0 for index in (0, 1, 2, 4, 5)))

    def test_latency_at_a_host_counts_waiting(self):
        """Little's law gives three seconds for 30 in flight at 10 a second."""
        self.inference.on_host_report(0, HostReport(1.0, 30, 200_000, 10.0), 1)
        self.clock = SECOND
        self.inference.send_reports()
        self.assertEqual(self.met[0], (10, 0, 3 * SECOND))

    def test_demand_is_what_hosts_complete_and_its_sum_is_kept(self):
        """Parted over seven proxies, each class adds up to what hosts report."""
        for proxy in range(7):
            self.inference.on_proxy_joined(proxy)
        self.second()
        self.second()
        self.assertEqual(
            [
                sum(many for (_, place), many in self.requests.items() if place == wanted)
                for wanted in (0, 1)
            ],
            [60, 20],
        )

    def test_suspects_are_checked_more_closely_and_all_within_the_budget(self):
        """Everybody is checked, a suspect more often, at 8 checks a second."""
        self.inference.checks_per_second = 8
        sent = []
        for _ in range(40):
            self.clock += SECOND // 20
            chosen = self.inference.take_due_checks(self.clock)
            sent += chosen
            for index in chosen:
                self.inference.on_check(index, "silent" if index == 3 else "ok", 1000, self.clock)
        self.assertLessEqual(len(sent), 8 * 2 + 8)
        self.assertGreaterEqual(sent.count(3), 4)
        self.assertEqual(set(sent), set(range(6)))

    def test_checks_that_waited_for_a_stalled_planner_say_nothing_of_hosts(self):
        """What was in flight over a stall neither fails nor slows a host."""
        self.second()
        asked = self.inference.take_due_checks(self.clock + SECOND // 10)
        self.clock += 3 * SECOND  # stopped, with probes under way
        for index in asked:
            self.inference.on_check(index, "ok", 3 * SECOND, self.clock)
        self.inference.take_due_checks(self.clock)
        for index in range(6):
            self.inference.on_check(index, "silent", 2 * SECOND, self.clock + 1000)
        self.met.clear()
        self.inference.send_reports()
        self.assertEqual(self.met, {})
        self.second()
        self.assertLess(self.met[0][2], SECOND // 2)

    def test_late_reports_and_old_ones_say_nothing(self):
        """A report counts for three periods, and an older one not after it."""
        self.inference.on_host_report(0, HostReport(0, 1, 1, 5.0), 10 * SECOND)
        self.inference.on_host_report(0, HostReport(0, 1, 1, 99.0), 9 * SECOND)
        self.clock = 20 * SECOND
        self.inference.send_reports()
        self.assertEqual(self.met, {})
