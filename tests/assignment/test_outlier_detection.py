"""Outlier detection: which servers are ejected, and when they return."""

from harness import RecordingHost, TraceTestCase, server

from assignment.scenarios import fleet, zone_bound_host
from indigodeck.clock import SECOND


class EjectionTest(TraceTestCase):
    """Failing servers are ejected from all shards, slow ones from a single shard."""

    def run_with_reports(self, seconds, warm=6, **report):
        """Return a host that has run for some seconds with these reports, after a warm-up."""
        host = RecordingHost()
        host.start(fleet())
        host.run(warm, lambda host: host.report())
        host.recorded.clear()
        host.run(seconds, lambda host: host.report(**report))
        return host

    def test_failing_server_is_ejected_and_tried_again(self):
        """It returns with slow start, and is ejected at once when it fails again."""
        self.assert_matches_trace(
            "failing", self.run_with_reports(14, failed=lambda index: 15 if index == 4 else 0)
        )

    def test_slow_server_is_replaced_in_one_shard(self):
        """Another server replaces it in that shard; it stays in its other shards."""
        host = RecordingHost()
        host.start(fleet())
        host.run(8, lambda host: host.report(demand=(45, 5)))
        host.recorded.clear()
        slow = min(host.tables[2].keys() & host.tables[0].keys())
        host.run(
            6,
            lambda host: host.report(
                lambda index: 900_000 if index == slow else 200_000, demand=(45, 5)
            ),
        )
        self.assert_matches_trace("slow", host)

    def test_common_cause_ejects_no_server(self):
        """If most servers fail, no server is ejected: moving work would spread the failure."""
        host = self.run_with_reports(5, failed=lambda index: 15 if index % 3 else 0)
        self.assertFalse([line for line in host.recorded if "server_ejected" in line])

    def test_zone_keeps_ejected_servers_when_too_few_are_left(self):
        """A zone-bound table keeps ejected servers when too few others are left."""
        host = zone_bound_host()
        host.run(6, lambda host: host.report())
        host.run(
            3, lambda host: host.report(failed=lambda index: 20 if index % 2 and index > 1 else 0)
        )
        self.assertTrue([line for line in host.recorded if "server_ejected" in line])
        self.assertEqual(sum(1 for weight in host.tables[5].values() if weight), 6)
        self.assertLess(sum(1 for weight in host.tables[0].values() if weight), 12)


class RestartTest(TraceTestCase):
    """Servers that restart repeatedly."""

    def test_server_that_restarts_before_it_is_warm_is_ejected(self):
        """It is ejected for longer after each such restart."""
        host = RecordingHost()
        host.clock = 200 * SECOND
        host.start(fleet())
        host.recorded.clear()
        for _ in range(2):
            host.run(5)
            host.update_servers(server(3, started=host.clock))
        host.run(25)
        host.recorded = [
            line
            for line in host.recorded
            if "server_ejected" in line or "table 0: server 3" in line
        ]
        self.assert_matches_trace("restarts", host)
