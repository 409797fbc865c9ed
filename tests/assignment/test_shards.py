"""Which servers a table's shard holds."""

import dataclasses
import unittest

from rig import Rig, TraceCase, deployment_settings

from assignment.scenarios import fleet, large_deployment, zone_bound_rig
from indigodeck.assignment.interface import DemandReport
from indigodeck.clock import SECOND


class ShardDrawTest(TraceCase):
    """Draws follow demand and the list of servers, and leave no server out."""

    def test_shards_cover_the_fleet_and_follow_demand(self):
        """Each server is in a shard, and a class with more demand gets a larger one."""
        rig = Rig()
        rig.start(fleet())
        rig.run(8, lambda rig: rig.report(demand=(40, 10)))
        rig.printed = [line for line in rig.printed if "log" not in line]
        self.compare("shards", rig)
        self.assertEqual(set().union(*rig.tables.values()), set(range(12)))

    def test_many_classes_leave_no_server_out(self):
        """All servers are used, also with many small shards."""
        read = deployment_settings().classes[0]
        classes = tuple(dataclasses.replace(read, name=f"class {k}") for k in range(9))
        rig = Rig(deployment_settings(classes=classes))
        rig.start(fleet(60))
        self.assertEqual(set().union(*rig.tables.values()), set(range(60)))

    def test_draws_do_not_depend_on_the_seed(self):
        """Every planner draws the same shards from the same list."""
        one = Rig(seed=1)
        other = Rig(seed=2)
        for rig in (one, other):
            rig.start(fleet())
        self.assertEqual(one.printed, other.printed)

    def test_full_fleet_serves_every_class_on_every_server(self):
        """While all servers are busy, classes are not kept apart."""
        rig = Rig()
        rig.start(fleet())
        rig.run(16, lambda rig: rig.report(demand=(45, 5)))
        narrow = sum(1 for weight in rig.tables[2].values() if weight)
        rig.run(5, lambda rig: rig.report(lambda index: 900_000, demand=(45, 5)))
        self.assertLess(narrow, 12)
        self.assertEqual(sum(1 for weight in rig.tables[2].values() if weight), 12)

    def test_classes_leave_servers_that_a_zone_bound_class_loads(self):
        """A class that may be served anywhere leaves a zone to the class that can't."""
        rig = zone_bound_rig()

        def reports(rig):
            rig.report(demand=(10, 10))
            rig.assigner.on_demand_report(DemandReport(1, 1, 90, 0, SECOND))

        rig.run(14, reports)
        used = {index % 2 for index, weight in rig.tables[0].items() if weight}
        self.assertEqual(used, {0})


class ProxyGroupTest(unittest.TestCase):
    """Groups of proxies of a large deployment have shards of their own zone."""

    def test_groups_are_served_in_their_zone_and_load_servers_evenly(self):
        """Each group's shard is of its zone, and planned load is even."""
        rig = large_deployment()
        loads = [0.0] * 90
        for table in rig.assigner.state.tables:
            self.assertTrue(all(index % 3 == table.zone for index in table.members))
            for index in table.members:
                loads[index] += rig.assigner.state.proxies.table_rates(rig.clock)[
                    table.number
                ] / len(table.members)
        self.assertLess(max(loads), 1.7 * sum(loads) / 90)

    def test_first_proxy_to_join_does_not_stand_for_all(self):
        """Proxies that have not joined yet count as planned."""
        rig = large_deployment(joined=1)
        table = rig.assigner.state.proxies.tables_of(0)[0]
        self.assertTrue(all(index % 3 == 0 for index in table.members))
