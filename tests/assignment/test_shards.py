"""The servers in the shards of tables."""

import dataclasses
import unittest

from harness import RecordingHost, TraceTestCase, deployment_settings, server

from assignment.scenarios import fleet, large_deployment, zone_bound_host
from indigodeck.assignment.interface import DemandReport, ServerState
from indigodeck.assignment.outlier_detection import EjectionCause
from indigodeck.clock import SECOND


class ShardDrawTest(TraceTestCase):
    """Draws follow demand and the endpoint list, and use all servers."""

    def test_shards_cover_the_fleet_and_follow_demand(self):
        """Every server is in a shard, and a class with more demand gets a larger one."""
        host = RecordingHost()
        host.start(fleet())
        host.run(8, lambda host: host.report(demand=(40, 10)))
        host.recorded = [line for line in host.recorded if "log" not in line]
        self.assert_matches_trace("shards", host)
        self.assertEqual(set().union(*host.tables.values()), set(range(12)))

    def test_many_classes_leave_no_server_out(self):
        """All servers are used, even with many small shards."""
        read = deployment_settings().classes[0]
        classes = tuple(dataclasses.replace(read, name=f"class {k}") for k in range(9))
        host = RecordingHost(deployment_settings(classes=classes))
        host.start(fleet(60))
        self.assertEqual(set().union(*host.tables.values()), set(range(60)))

    def test_draws_do_not_depend_on_the_seed(self):
        """Every planner draws the same shards from the same list."""
        one = RecordingHost(seed=1)
        other = RecordingHost(seed=2)
        for host in (one, other):
            host.start(fleet())
        self.assertEqual(one.recorded, other.recorded)

    def test_full_fleet_serves_every_class_on_every_server(self):
        """While all servers are busy, classes are not kept on separate servers."""
        host = RecordingHost()
        host.start(fleet())
        host.run(16, lambda host: host.report(demand=(45, 5)))
        narrow = sum(1 for weight in host.tables[2].values() if weight)
        host.run(5, lambda host: host.report(lambda index: 900_000, demand=(45, 5)))
        self.assertLess(narrow, 12)
        self.assertEqual(sum(1 for weight in host.tables[2].values() if weight), 12)

    def test_classes_leave_servers_that_a_zone_bound_class_loads(self):
        """A class that may be served anywhere avoids a zone that a zone-bound class loads."""
        host = zone_bound_host()

        def reports(host):
            host.report(demand=(10, 10))
            host.assigner.on_demand_report(DemandReport(1, 1, 90, 0, SECOND))

        host.run(14, reports)
        used = {index % 2 for index, weight in host.tables[0].items() if weight}
        self.assertEqual(used, {0})


class ProxyGroupTest(unittest.TestCase):
    """The proxy groups of a large deployment have shards in their own zone."""

    def test_groups_are_served_in_their_zone_and_load_servers_evenly(self):
        """Each group's shard has servers of its zone only, and planned load is even."""
        host = large_deployment()
        loads = [0.0] * 90
        for table in host.assigner.state.tables:
            self.assertTrue(all(index % 3 == table.zone for index in table.members))
            for index in table.members:
                loads[index] += host.assigner.state.proxies.table_rates(host.clock)[
                    table.number
                ] / len(table.members)
        self.assertLess(max(loads), 1.7 * sum(loads) / 90)

    def test_planned_load_includes_proxies_that_have_not_joined(self):
        """Proxies that have not joined yet count with the average demand."""
        host = large_deployment(joined=1)
        table = host.assigner.state.proxies.tables_of(0)[0]
        self.assertTrue(all(index % 3 == 0 for index in table.members))


class EjectionFromGroupShardsTest(unittest.TestCase):
    """Proxy groups of deployments that have no eligible server in any other zone."""

    def run_until_ejected(self, host, failing):
        """Let a server fail all of its requests until it has been ejected."""
        host.run(3, lambda host: host.report(failed=lambda index: 20 if index == failing else 0))
        self.assertTrue(host.assigner.state.health[failing].fully_ejected)

    def test_ejection_in_one_zone_does_not_stop_the_updates(self):
        """Guards against review/1: a shard divided by the empty set of remote servers."""
        host = RecordingHost(deployment_settings(proxy_count=10))
        host.start(fleet(), proxies=10)
        host.run(6, lambda host: host.report())
        self.run_until_ejected(host, failing=4)
        host.update_servers(server(7, ServerState.DRAINING))
        self.assertEqual(host.assigner.state.ejected, {7})

    def test_shards_of_one_zone_keep_their_size_after_an_ejection(self):
        """Guards against review/1: what no remote server can hold must stay with local ones."""
        read = deployment_settings().classes[0]
        classes = tuple(dataclasses.replace(read, name=f"class {k}") for k in range(8))
        host = RecordingHost(deployment_settings(proxy_count=10, classes=classes))
        host.start(fleet(32), proxies=10)
        reports = {"demand": (50,) * 8, "servers": 32}
        host.run(20, lambda host: host.report(**reports))
        tables = host.assigner.state.tables
        sizes_before = [len(table.members) for table in tables]
        for failing in (4, 9, 13):
            host.assigner.outliers.eject(
                failing, range(8), EjectionCause.FAILING, host.assigner.state.ready_servers()
            )
        host.run(7, lambda host: host.report(**reports))
        self.assertTrue(host.assigner.state.health[13].fully_ejected)
        self.assertFalse({4, 9, 13} & set().union(*(table.members for table in tables)))
        self.assertEqual([len(table.members) for table in tables], sizes_before)

    def test_restart_of_a_whole_zone_does_not_stop_the_updates(self):
        """Guards against review/1 with two zones, one of which is ejected as a whole."""
        host = RecordingHost(deployment_settings(zone_count=2, proxy_count=20))
        host.clock = 60 * SECOND
        servers = [server(index, zone=int(index >= 8), started=50 * SECOND) for index in range(14)]
        host.start(servers, proxies=16)
        for proxy in range(16, 20):
            host.assigner.on_proxy_joined(proxy, 1, 50.0, True)
        host.run(5, lambda host: host.report(servers=14))
        restarted = [entry._replace(started=host.clock) for entry in servers if entry.zone]
        host.update_servers(*restarted)
        self.assertTrue(
            all(host.assigner.state.health[entry.index].fully_ejected for entry in restarted)
        )
        host.run(3, lambda host: host.report(servers=14))
        for table in host.assigner.state.tables:
            self.assertTrue(table.members)
            self.assertTrue(all(member < 8 for member in table.members))
        host.update_servers(server(3, ServerState.DRAINING))
        self.assertEqual(host.assigner.state.ejected, {3})
