"""Tests of rollback pins: the safety rules for old tables, and the rate limit of rollbacks."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.versions.model import ServerReadiness
from indigodeck.versions.rollback_pins import pinned_table

from .support import StubPlanner

COLD = ServerReadiness.COLD
UNAVAILABLE = ServerReadiness.UNAVAILABLE
WARM = ServerReadiness.WARM


class PinnedTableTest(unittest.TestCase):
    """An old table after the safety rules are applied."""

    @settings(max_examples=500, deadline=None)
    @given(
        some.dictionaries(some.integers(0, 9), some.floats(0.1, 4), min_size=1),
        some.dictionaries(some.integers(0, 9), some.floats(0.1, 4)),
        some.lists(some.sampled_from([UNAVAILABLE, COLD, WARM]), min_size=10, max_size=10),
    )
    def test_pinned_table_satisfies_safety_rules(self, old, drawn, states):
        """For any old table and server states, the published table satisfies the safety rules."""
        assigned = {
            server: weight for server, weight in drawn.items() if states[server] != UNAVAILABLE
        }
        weights, reason = pinned_table(old, assigned, states.__getitem__)
        if reason:
            return self.assertEqual(weights, assigned)
        self.assertTrue(weights)
        self.assertFalse(
            [server for server in weights if states[server] == UNAVAILABLE or server not in old]
        )
        self.assertTrue(any(states[server] == WARM for server in weights))
        for server in weights:
            if states[server] == COLD:
                share = weights[server] / sum(weights.values())
                assigned_share = assigned.get(server, 0) / sum(assigned.values())
                self.assertLessEqual(share, assigned_share + 1e-9)
            else:
                self.assertEqual(weights[server], old[server])

    def test_assigned_table_is_used_when_too_little_of_the_old_one_remains(self):
        """The assigned table is used if too little weight or no warm server remains."""
        old = {0: 1.0, 1: 1.0, 2: 1.0, 3: 1.0}
        assigned = {4: 1.0, 5: 1.0}
        self.assertEqual(
            pinned_table(old, assigned, lambda server: UNAVAILABLE if server < 2 else WARM)[0],
            {2: 1.0, 3: 1.0},
        )
        self.assertEqual(
            pinned_table(old, assigned, lambda server: UNAVAILABLE if server < 3 else WARM),
            (assigned, "too little of the old weight remains"),
        )
        self.assertEqual(
            pinned_table(old, assigned, lambda server: COLD if server < 3 else WARM),
            (assigned, "too little of the old weight remains"),
        )
        self.assertEqual(
            pinned_table(old, assigned, lambda server: COLD if server < 4 else WARM),
            (assigned, "no server of the old table is warm"),
        )


class RollbackRateTest(unittest.TestCase):
    """A rollback fills only part of the channel's queue."""

    def test_rollback_is_rate_limited_by_the_channel_queue(self):
        """A rollback of all tables takes two updates where the queue has room for four."""
        planner = StubPlanner()
        first = planner.publisher.newest_version()
        for table in range(6):
            planner.change_table(table, h8=1.0, h9=1.0)
        # Of 10,000 lines: little is left of the share that a rollback may fill.
        planner.free_line_count = 6100
        planner.changed_tables.clear()
        planner.commands.roll_back(first, [], "duty", "a")
        self.assertEqual(len(planner.changed_tables), 4)
        planner.publisher.publish("turn")
        self.assertEqual(sorted(planner.changed_tables), [0, 1, 2, 3, 4, 5])
        versions = list(planner.publisher.version_log.versions.values())
        self.assertEqual({version.author for version in versions[-2:]}, {"duty"})


if __name__ == "__main__":
    unittest.main()
