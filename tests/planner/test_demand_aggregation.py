"""Aggregation of proxies' own load reports (`planner.demand_aggregation`)."""

import unittest

from indigodeck.clock import SECOND
from indigodeck.planner.demand_aggregation import (
    DemandAggregator,
    ProxyReport,
    ServerStats,
)


class DemandAggregatorTest(unittest.TestCase):
    """Ten reports a second may be forwarded; the test case is the sink."""

    def setUp(self):
        """Start at time 0."""
        self.clock = 0
        self.forwarded = []
        self.aggregator = DemandAggregator(self, 10, SECOND)

    def now(self):
        """Return the test's time."""
        return self.clock

    def on_load_report(self, report):
        """Record a load report."""
        self.forwarded.append(
            ("load", report.server, report.attempts, report.failures, report.mean_latency)
        )

    def on_demand_report(self, report):
        """Record a demand report."""
        self.forwarded.append(("demand", report.proxy, report.requests, report.failures))

    def report(self, proxy, zone, class_index, span, stats, rejected, stream):
        """Send a report of a proxy; return whether it was accepted."""
        servers = tuple(ServerStats(*fields) for fields in stats)
        return self.aggregator.on_proxy_report(
            ProxyReport(proxy, zone, class_index, span, servers, rejected, stream)
        )

    def advance(self, seconds=1):
        """Let time pass, and return the reports that are forwarded then."""
        self.clock += round(seconds * SECOND)
        self.aggregator.forward_reports(lambda server: server != 9, lambda server: 77)
        forwarded, self.forwarded = self.forwarded, []
        return forwarded

    def test_reports_are_added_up_and_unlisted_servers_are_dropped(self):
        """There is one load report per server, and one demand report per proxy and class.

        Attempts that proxies did not time get the latency that the server itself reports, here 77.
        """
        self.clock = SECOND
        self.report(1, 0, 0, SECOND, [(3, 10, 1, 200), (9, 5, 5, 0)], 2, "s1")
        self.report(2, 0, 0, SECOND, [(3, 10, 0, 400), (4, 6, 0, 0)], 0, "s2")
        self.assertEqual(
            sorted(self.advance()),
            [
                ("demand", 1, 17, 6),
                ("demand", 2, 16, 0),
                ("load", 3, 20, 1, 305),
                ("load", 4, 6, 0, 77),
            ],
        )

    def test_reports_sent_twice_or_by_a_fast_clock_are_ignored(self):
        """The reports of a stream cannot cover more time than it has been open."""
        accepted = [self.report(1, 0, 0, SECOND, [(3, 10, 0, 0)], 0, "s1") for _ in range(6)]
        self.assertEqual(accepted, [True, True, True, False, False, False])
        self.clock += 10 * SECOND
        self.assertTrue(self.report(1, 0, 0, SECOND, [(3, 1, 9, 0)], 0, "s1"))
        self.assertFalse(self.report(1, 0, 0, 3600 * SECOND, [(3, 10, 0, 0)], 0, "s1"))
        self.assertFalse(self.report(1, 0, 0, 0, [(3, 10, 0, 0)], 0, "s1"))

    def test_sums_over_the_rate_limit_wait_and_the_oldest_are_forwarded_first(self):
        """No report is lost, and none is queued twice."""
        for proxy in range(30):
            self.clock += 1
            self.report(proxy, 0, 0, SECOND, [], 5, proxy)
        first = self.advance(0.5)
        self.assertEqual([line[1] for line in first], list(range(len(first))))
        self.assertLessEqual(len(first), 10)
        self.report(29, 0, 0, SECOND, [], 5, 29)
        rest = [line for _ in range(6) for line in self.advance()]
        self.assertEqual([line[1] for line in first + rest], list(range(30)))
        self.assertEqual(rest[-1], ("demand", 29, 10, 0))
        self.assertEqual(self.aggregator.pending_count(), 0)
