"""Table weights: slow start, and the bound on the load of cold servers."""

from rig import Rig, TraceCase, deployment_settings, server

from assignment.scenarios import fleet, zone_bound_rig
from indigodeck.assignment.interface import UpdateKind
from indigodeck.clock import SECOND


class SlowStartTest(TraceCase):
    """A server that was just started gets its weight in steps."""

    def test_new_server_gets_its_weight_in_doublings(self):
        """It starts at a quarter of its weight and doubles."""
        rig = Rig()
        rig.start(fleet())
        rig.run(2)
        rig.printed.clear()
        rig.change(server(12, started=2 * SECOND))
        rig.run(20)
        self.compare("slow-start", rig)


class ColdServerTest(TraceCase):
    """Cold servers are planned for less than what would overload them."""

    def test_cold_fleet_is_kept_below_overload(self):
        """Levels go down while all servers are cold, and up as they warm."""
        rig = Rig()
        rig.start(fleet())
        rig.run(5, lambda rig: rig.report())
        rig.printed.clear()
        rig.change(*[server(index, started=rig.clock) for index in range(12)])
        rig.run(3)
        self.compare("all-cold", rig)

    def test_restarted_planner_is_careful_with_cold_servers(self):
        """Before any report, half of what proxies say is planned for."""
        rig = Rig()
        rig.clock = 60 * SECOND
        rig.assigner.on_endpoint_update(
            UpdateKind.CHANGES,
            [server(index, started=57 * SECOND if index % 2 else 0) for index in range(8)],
        )
        for proxy in range(4):
            rig.assigner.on_proxy_joined(proxy, 0, 80.0, False)
        rig.run(3)
        self.compare("starting-over", rig)

    def test_cold_zone_is_planned_for_the_peak_of_its_zone_bound_class(self):
        """Levels go by the peak of the last demand reports."""
        rig = zone_bound_rig()
        rig.run(6, lambda rig: rig.report(demand=(30, 30 if rig.clock // SECOND % 3 else 150)))
        rig.printed.clear()
        rig.change(*[server(index, zone=1, started=rig.clock) for index in range(1, 12, 2)])
        rig.printed = [line for line in rig.printed if "level" in line]
        self.compare("cold-zone", rig)

    def test_cold_server_waits_beside_few_warm_ones(self):
        """It gets nothing for half of its warm-up time."""
        rig = Rig()
        rig.start(fleet(4))
        rig.run(4)
        rig.printed.clear()
        rig.change(server(3, started=rig.clock))
        rig.run(12)
        self.compare("few-warm", rig)

    def test_cold_server_waits_while_less_than_all_is_admitted(self):
        """It gets nothing while admission is cut."""
        rig = Rig()
        rig.start(fleet())
        rig.run(6, lambda rig: rig.report())
        rig.run(4, lambda rig: rig.report(lambda index: 900_000, lambda index: 15))
        rig.change(server(12, started=rig.clock))
        rig.run(3, lambda rig: rig.report(lambda index: 900_000, lambda index: 15))
        self.assertFalse(any(lines.get(12) for lines in rig.tables.values()))
        rig.run(8, lambda rig: rig.report())
        self.assertTrue(all(lines.get(12) for lines in rig.tables.values()))

    def test_cold_server_waits_while_proxies_that_avoid_servers_lose_many_attempts(self):
        """Where proxies avoid failing servers, it would get what others lose."""
        # Day ha35910: reports came late, the median server was well, and cold ones got what others
        # had lost.
        for failure_limit, gets_weight in ((0, True), (3, False)):
            rig = Rig(deployment_settings(proxy_failure_limit=failure_limit))
            rig.start(fleet())
            rig.run(6, lambda rig: rig.report(failed=lambda index: 4 if index % 2 else 2))
            rig.change(server(12, started=rig.clock))
            rig.run(3, lambda rig: rig.report(failed=lambda index: 4 if index % 2 else 2))
            self.assertEqual(any(lines.get(12) for lines in rig.tables.values()), gets_weight)
