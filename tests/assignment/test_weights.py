"""Table weights: slow start, and the load limit of cold servers."""

from harness import RecordingHost, TraceTestCase, deployment_settings, server

from assignment.scenarios import fleet, zone_bound_host
from indigodeck.assignment.interface import ServerState, UpdateKind
from indigodeck.clock import SECOND


class SlowStartTest(TraceTestCase):
    """A server that was just started receives its weight in steps."""

    def test_new_server_gets_its_weight_in_doublings(self):
        """It starts at a quarter of its weight, which then doubles in steps."""
        host = RecordingHost()
        host.start(fleet())
        host.run(2)
        host.recorded.clear()
        host.update_servers(server(12, started=2 * SECOND))
        host.run(20)
        self.assert_matches_trace("slow-start", host)


class ColdServerTest(TraceTestCase):
    """The planned load of cold servers stays below what would overload them."""

    def test_cold_fleet_is_kept_below_overload(self):
        """Levels are cut while all servers are cold, and raised as they warm up."""
        host = RecordingHost()
        host.start(fleet())
        host.run(5, lambda host: host.report())
        host.recorded.clear()
        host.update_servers(*[server(index, started=host.clock) for index in range(12)])
        host.run(3)
        self.assert_matches_trace("all-cold", host)

    def test_restarted_planner_limits_the_load_of_cold_servers(self):
        """Before any report, cold servers are planned for half of the declared rates."""
        host = RecordingHost()
        host.clock = 60 * SECOND
        host.assigner.on_endpoint_update(
            UpdateKind.INCREMENTAL,
            [server(index, started=57 * SECOND if index % 2 else 0) for index in range(8)],
        )
        for proxy in range(4):
            host.assigner.on_proxy_joined(proxy, 0, 80.0, False)
        host.run(3)
        self.assert_matches_trace("starting-over", host)

    def test_planner_that_restarts_in_an_outage_keeps_working_when_all_servers_return_cold(self):
        """Guards against review/7: nothing completed yet was taken for servers without capacity."""
        host = RecordingHost()
        host.clock = 60 * SECOND
        host.start(fleet(), rate=20.0)
        host.run(6, lambda host: host.report(failed=lambda index: 20))
        self.assertEqual(host.assigner.admission.fleet.sustained_rate(), 0)
        host.update_servers(*[server(index, started=host.clock) for index in range(12)])
        host.run(1)
        host.update_servers(*[server(index, ServerState.DRAINING) for index in range(3)])
        self.assertLessEqual({0, 1, 2}, host.assigner.state.ejected)
        for table in host.assigner.state.tables:
            self.assertTrue(any(host.tables[table.number].values()))
            self.assertGreater(table.cold_level, 0)

    def test_servers_without_any_budget_keep_their_lines(self):
        """With nobody to take their load, only the level refuses it, and updates go on."""
        host = RecordingHost(deployment_settings(cold_capacity_share=0.0))
        host.clock = 60 * SECOND
        host.start(fleet(started=61 * SECOND))
        host.update_servers(server(0, ServerState.DRAINING, started=61 * SECOND))
        self.assertEqual(host.assigner.state.ejected, {0})
        for table in host.assigner.state.tables:
            self.assertTrue(any(host.tables[table.number].values()))
            self.assertEqual(table.cold_level, 0)

    def test_cold_zone_is_planned_for_the_peak_of_its_zone_bound_class(self):
        """Levels depend on the peak of the latest demand reports."""
        host = zone_bound_host()
        host.run(6, lambda host: host.report(demand=(30, 30 if host.clock // SECOND % 3 else 150)))
        host.recorded.clear()
        host.update_servers(
            *[server(index, zone=1, started=host.clock) for index in range(1, 12, 2)]
        )
        host.recorded = [line for line in host.recorded if "level" in line]
        self.assert_matches_trace("cold-zone", host)

    def test_cold_server_waits_beside_few_warm_ones(self):
        """It gets no load for half of its warm-up time."""
        host = RecordingHost()
        host.start(fleet(4))
        host.run(4)
        host.recorded.clear()
        host.update_servers(server(3, started=host.clock))
        host.run(12)
        self.assert_matches_trace("few-warm", host)

    def test_cold_server_waits_while_less_than_all_is_admitted(self):
        """It gets no load while admission is cut."""
        host = RecordingHost()
        host.start(fleet())
        host.run(6, lambda host: host.report())
        host.run(4, lambda host: host.report(lambda index: 900_000, lambda index: 15))
        host.update_servers(server(12, started=host.clock))
        host.run(3, lambda host: host.report(lambda index: 900_000, lambda index: 15))
        self.assertFalse(any(lines.get(12) for lines in host.tables.values()))
        host.run(8, lambda host: host.report())
        self.assertTrue(all(lines.get(12) for lines in host.tables.values()))

    def test_cold_server_waits_while_proxies_that_avoid_servers_lose_many_attempts(self):
        """Where proxies avoid failing servers, a cold server would get the load of others."""
        # Simulated day ha35910: reports were late and the median server was healthy, so cold
        # servers received the load that failing servers had lost.
        for failure_limit, gets_weight in ((0, True), (3, False)):
            host = RecordingHost(deployment_settings(proxy_failure_limit=failure_limit))
            host.start(fleet())
            host.run(6, lambda host: host.report(failed=lambda index: 4 if index % 2 else 2))
            host.update_servers(server(12, started=host.clock))
            host.run(3, lambda host: host.report(failed=lambda index: 4 if index % 2 else 2))
            self.assertEqual(any(lines.get(12) for lines in host.tables.values()), gets_weight)
