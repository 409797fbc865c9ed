"""Inference from host reports and health checks (`planner.health_inference`)."""

import unittest

from harness import SECOND, deployment_settings, server

from indigodeck.planner.health_inference import HealthInference
from indigodeck.planner.host_reports import HostReport


class HealthInferenceTest(unittest.TestCase):
    """Six hosts, of which host 3 can hang; the test case is the sink."""

    def setUp(self):
        """Start at time 0."""
        self.clock = 0
        self.load_reports = {}
        self.demand = {}
        settings = deployment_settings(planner_zone=0)
        self.inference = HealthInference(self, settings, 40, 16)
        self.inference.on_endpoint_update([server(index) for index in range(6)])

    def now(self):
        """Return the test's time."""
        return self.clock

    def on_load_report(self, report):
        """Record a load report by server."""
        self.load_reports[report.server] = report.attempts, report.failures, report.mean_latency

    def on_demand_report(self, report):
        """Record a demand report by proxy and class."""
        self.demand[report.proxy, report.class_index] = report.requests

    def run_one_second(self):
        """Simulate a second in which host 3 hangs, then send the reports."""
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
        self.load_reports.clear()
        self.inference.send_reports()

    def test_requests_in_flight_at_a_hung_host_count_as_failed(self):
        """Unanswered checks together with a report of an idle host count as failures."""
        self.run_one_second()
        self.run_one_second()
        attempts, failures, mean_latency = self.load_reports[3]
        self.assertGreaterEqual(attempts, 8)
        self.assertEqual((failures, mean_latency), (attempts, 0))
        self.assertTrue(all(self.load_reports[index][1] == 0 for index in (0, 1, 2, 4, 5)))

    def test_latency_at_a_host_includes_queueing(self):
        """Little's law gives 3 s for 30 requests in flight at 10 completed a second."""
        self.inference.on_host_report(0, HostReport(1.0, 30, 200_000, 10.0), 1)
        self.clock = SECOND
        self.inference.send_reports()
        self.assertEqual(self.load_reports[0], (10, 0, 3 * SECOND))

    def test_demand_equals_what_hosts_complete(self):
        """Split over seven proxies, the demand of each class adds up to the reported rate."""
        for proxy in range(7):
            self.inference.on_proxy_joined(proxy)
        self.run_one_second()
        self.run_one_second()
        self.assertEqual(
            [
                sum(
                    count
                    for (_, class_index), count in self.demand.items()
                    if class_index == expected_class
                )
                for expected_class in (0, 1)
            ],
            [60, 20],
        )

    def test_suspects_are_checked_more_often_within_the_rate_limit(self):
        """All hosts are checked at 8 checks a second, and the suspect more often."""
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

    def test_checks_in_flight_while_the_planner_stalled_are_ignored(self):
        """Such checks count neither as failures nor as slow answers."""
        self.run_one_second()
        checked = self.inference.take_due_checks(self.clock + SECOND // 10)
        self.clock += 3 * SECOND  # the planner is stopped with checks in flight
        for index in checked:
            self.inference.on_check(index, "ok", 3 * SECOND, self.clock)
        self.inference.take_due_checks(self.clock)
        for index in range(6):
            self.inference.on_check(index, "silent", 2 * SECOND, self.clock + 1000)
        self.load_reports.clear()
        self.inference.send_reports()
        self.assertEqual(self.load_reports, {})
        self.run_one_second()
        self.assertLess(self.load_reports[0][2], SECOND // 2)

    def test_late_and_expired_reports_are_ignored(self):
        """A report is valid for three periods; an older one does not replace it."""
        self.inference.on_host_report(0, HostReport(0, 1, 1, 5.0), 10 * SECOND)
        self.inference.on_host_report(0, HostReport(0, 1, 1, 99.0), 9 * SECOND)
        self.clock = 20 * SECOND
        self.inference.send_reports()
        self.assertEqual(self.load_reports, {})
