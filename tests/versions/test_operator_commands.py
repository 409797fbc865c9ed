"""Tests of operator commands: rollbacks subject to safety rules, releases, and their answers."""

import unittest

from indigodeck.errors import RejectedError
from indigodeck.versions.model import ServerReadiness, VersionNumber

from .support import StubPlanner


class RollBackTest(unittest.TestCase):
    """Rollbacks and releases on a stub planner."""

    def test_rollback_pins_class_until_release_subject_to_safety_rules(self):
        """Until its release, a pinned class keeps its old table as far as safety rules allow."""
        planner = StubPlanner()
        first = planner.publisher.newest_version()
        planner.change_table(0, h8=1.0, h9=1.0, h10=1.0)
        planner.change_table(1, h8=1.0, h9=1.0, h10=1.0)
        self.assertIn(
            "read held at 1.1",
            planner.commands.roll_back(first, ["read"], "duty", "exchanges fail"),
        )
        self.assertEqual(
            (set(planner.published_weights()["0"]), set(planner.published_weights()["1"])),
            ({"host-0", "host-1", "host-2", "host-3"}, {"host-8", "host-9", "host-10"}),
        )
        last = planner.publisher.version_log.versions[planner.publisher.newest_version()]
        self.assertEqual(
            (last.author, last.cause), ("duty", "rollback of read to 1.1: exchanges fail")
        )
        # Changes by the assigner are not published meanwhile, but a draining server is removed
        # nevertheless.
        planner.change_table(0, h8=2.0, h9=1.0)
        self.assertEqual(planner.publisher.newest_version(), last.number)
        planner.readiness_by_server[1] = ServerReadiness.UNAVAILABLE
        planner.publisher.publish("list")
        self.assertEqual(set(planner.published_weights()["0"]), {"host-0", "host-2", "host-3"})
        # A server that restarted is cold and limited to its assigned share, which is zero here.
        planner.readiness_by_server[2] = ServerReadiness.COLD
        planner.publisher.publish("list")
        self.assertEqual(set(planner.published_weights()["0"]), {"host-0", "host-3"})
        # Too few servers remain: the assigned table is published.
        planner.readiness_by_server[3] = ServerReadiness.UNAVAILABLE
        planner.publisher.publish("list")
        self.assertEqual(planner.published_weights()["0"], {"host-8": 2.0, "host-9": 1.0})
        self.assertEqual(
            planner.commands.describe_overrides(["read"]),
            ["tables 0 stay as assigned: too little of the old weight remains"],
        )
        planner.readiness_by_server.clear()
        planner.publisher.publish("list")
        self.assertEqual(len(planner.published_weights()["0"]), 4)
        self.assertEqual(planner.commands.release([], "duty", "mended"), "read released")
        self.assertEqual(planner.published_weights()["0"], {"host-8": 2.0, "host-9": 1.0})

    def test_repeated_command_changes_nothing_and_new_rollback_replaces_pin(self):
        """A repeated command changes nothing; a different one replaces the pin."""
        planner = StubPlanner()
        publisher = planner.publisher
        first = publisher.newest_version()
        planner.change_table(0, h8=1.0, h9=1.0)
        second = publisher.newest_version()
        planner.commands.roll_back(first, [], "duty", "a")
        pinned = publisher.newest_version()
        count = len(publisher.version_log.versions)
        for _ in range(3):
            self.assertIn("nothing changes", planner.commands.roll_back(first, [], "duty", "a"))
        self.assertEqual(
            (publisher.newest_version(), len(publisher.version_log.versions)), (pinned, count)
        )
        # Another operator rolls one class back to the version with the currently assigned tables:
        # the answer names the replaced pin, and the class is pinned to that version from then on.
        self.assertIn(
            "was held at 1.1 by duty", planner.commands.roll_back(second, ["read"], "night", "b")
        )
        self.assertEqual(publisher.requests.rollbacks["write"].author, "duty")
        self.assertEqual(len(planner.published_weights()["0"]), 2)
        self.assertIn("nothing changes", planner.commands.roll_back(second, ["read"], "night", "b"))
        for number, classes in ((VersionNumber(9, 9), []), (first, ["none"])):
            with self.assertRaises(RejectedError):
                planner.commands.roll_back(number, classes, "duty", "")
        planner.commands.release([], "duty", "")
        self.assertEqual(
            planner.commands.release([], "duty", ""), "nothing was held: nothing changes"
        )

    def test_rollback_to_unavailable_servers_reports_overridden_tables(self):
        """The answer names the tables that a safety rule keeps as assigned."""
        planner = StubPlanner()
        first = planner.publisher.newest_version()
        planner.change_table(0, h8=1.0, h9=1.0)
        planner.readiness_by_server.update(dict.fromkeys(range(4), ServerReadiness.UNAVAILABLE))
        planner.publisher.publish("list")
        before = planner.published_weights()["0"]
        self.assertIn(
            "tables 0 stay as assigned: no server of the old table is warm",
            planner.commands.roll_back(first, ["read"], "duty", ""),
        )
        self.assertEqual(planner.published_weights()["0"], before)


if __name__ == "__main__":
    unittest.main()
