"""Sums of the proxies' own load reports (`planner.demand_aggregation`)."""

import unittest

from indigodeck.clock import SECOND
from indigodeck.planner.demand_aggregation import (
    DemandAggregator,
    ProxyReport,
    ServerFigures,
)


class DemandAggregatorTest(unittest.TestCase):
    """At most ten reports a second are handed on; the test takes them in."""

    def setUp(self):
        """Start at time 0."""
        self.clock = 0
        self.lines = []
        self.aggregator = DemandAggregator(self, 10, SECOND)

    def now(self):
        """Return the test's time."""
        return self.clock

    def on_load_report(self, report):
        """Keep what is reported of a server."""
        self.lines.append(
            ("load", report.server, report.attempts, report.failures, report.mean_latency)
        )

    def on_demand_report(self, report):
        """Keep what is reported of a proxy."""
        self.lines.append(("demand", report.proxy, report.requests, report.failures))

    def report(self, proxy, zone, class_index, span, figures, rejected, stream):
        """Have a proxy report."""
        servers = tuple(ServerFigures(*one) for one in figures)
        return self.aggregator.on_proxy_report(
            ProxyReport(proxy, zone, class_index, span, servers, rejected, stream)
        )

    def turn(self, seconds=1):
        """Let time pass, and return what is handed on then."""
        self.clock += round(seconds * SECOND)
        self.aggregator.forward_reports(lambda server: server != 9, lambda server: 77)
        lines, self.lines = self.lines, []
        return lines

    def test_reports_add_up_over_proxies_and_servers_long_gone_are_left_out(self):
        """One report a server, one a proxy and class; untimed attempts take the usual latency."""
        self.clock = SECOND
        self.report(1, 0, 0, SECOND, [(3, 10, 1, 200), (9, 5, 5, 0)], 2, "s1")
        self.report(2, 0, 0, SECOND, [(3, 10, 0, 400), (4, 6, 0, 0)], 0, "s2")
        self.assertEqual(
            sorted(self.turn()),
            [
                ("demand", 1, 17, 6),
                ("demand", 2, 16, 0),
                ("load", 3, 20, 1, 305),
                ("load", 4, 6, 0, 77),
            ],
        )

    def test_reports_sent_twice_or_by_a_fast_clock_are_left_out_by_their_time(self):
        """A stream can't report on more time than it has been open."""
        told = [self.report(1, 0, 0, SECOND, [(3, 10, 0, 0)], 0, "s1") for _ in range(6)]
        self.assertEqual(told, [True, True, True, False, False, False])
        self.clock += 10 * SECOND
        self.assertTrue(self.report(1, 0, 0, SECOND, [(3, 1, 9, 0)], 0, "s1"))
        self.assertFalse(self.report(1, 0, 0, 3600 * SECOND, [(3, 10, 0, 0)], 0, "s1"))
        self.assertFalse(self.report(1, 0, 0, 0, [(3, 10, 0, 0)], 0, "s1"))

    def test_what_is_over_the_limit_waits_oldest_first_and_adds_up(self):
        """Nothing is lost and nothing is queued twice."""
        for proxy in range(30):
            self.clock += 1
            self.report(proxy, 0, 0, SECOND, [], 5, proxy)
        first = self.turn(0.5)
        self.assertEqual([line[1] for line in first], list(range(len(first))))
        self.assertLessEqual(len(first), 10)
        self.report(29, 0, 0, SECOND, [], 5, 29)
        rest = [line for _ in range(6) for line in self.turn()]
        self.assertEqual([line[1] for line in first + rest], list(range(30)))
        self.assertEqual(rest[-1], ("demand", 29, 10, 0))
        self.assertEqual(self.aggregator.waiting_count(), 0)
