"""Which servers are ejected, and when they return."""

from rig import Rig, TraceCase, server

from assignment.scenarios import fleet, zone_bound_rig
from indigodeck.clock import SECOND


class EjectionTest(TraceCase):
    """Failing servers leave all shards, slow ones a single shard."""

    def play(self, seconds, warm=6, **report):
        """Play on after a warm-up, with reports as given."""
        rig = Rig()
        rig.start(fleet())
        rig.run(warm, lambda rig: rig.report())
        rig.printed.clear()
        rig.run(seconds, lambda rig: rig.report(**report))
        return rig

    def test_failing_server_is_ejected_and_tried_again(self):
        """It returns in slow start, and is ejected at once when it fails again."""
        self.compare("failing", self.play(14, failed=lambda index: 15 if index == 4 else 0))

    def test_slow_server_is_replaced_in_one_shard(self):
        """Another server takes its place, and it stays in its other shards."""
        rig = Rig()
        rig.start(fleet())
        rig.run(8, lambda rig: rig.report(demand=(45, 5)))
        rig.printed.clear()
        slow = min(rig.tables[2].keys() & rig.tables[0].keys())
        rig.run(
            6,
            lambda rig: rig.report(
                lambda index: 900_000 if index == slow else 200_000, demand=(45, 5)
            ),
        )
        self.compare("slow", rig)

    def test_common_cause_ejects_no_server(self):
        """Where most servers fail, moving work would spread it."""
        rig = self.play(5, failed=lambda index: 15 if index % 3 else 0)
        self.assertFalse([line for line in rig.printed if "server_ejected" in line])

    def test_zone_keeps_ejected_servers_when_too_few_are_left(self):
        """A zone-bound table goes on with ejected servers rather than with few."""
        rig = zone_bound_rig()
        rig.run(6, lambda rig: rig.report())
        rig.run(
            3, lambda rig: rig.report(failed=lambda index: 20 if index % 2 and index > 1 else 0)
        )
        self.assertTrue([line for line in rig.printed if "server_ejected" in line])
        self.assertEqual(sum(1 for weight in rig.tables[5].values() if weight), 6)
        self.assertLess(sum(1 for weight in rig.tables[0].values() if weight), 12)


class RestartTest(TraceCase):
    """Servers that start again and again."""

    def test_server_that_restarts_before_it_is_warm_is_ejected(self):
        """It is ejected for longer after each such restart."""
        rig = Rig()
        rig.clock = 200 * SECOND
        rig.start(fleet())
        rig.printed.clear()
        for _ in range(2):
            rig.run(5)
            rig.change(server(3, started=rig.clock))
        rig.run(25)
        rig.printed = [
            line for line in rig.printed if "server_ejected" in line or "table 0: server 3" in line
        ]
        self.compare("restarts", rig)
