"""Tests of the table publisher: its versions, and what survives restarts and takeovers."""

import unittest

from indigodeck.errors import RejectedError
from indigodeck.versions.model import ServerReadiness

from .support import StubPlanner

PINNED_SERVERS = {"host-0", "host-1", "host-2", "host-3"}  # of table 0 in the first version


class TablePublisherTest(unittest.TestCase):
    """A publisher on a stub planner."""

    def test_each_change_publishes_a_version_with_its_cause_and_restart_publishes_none(self):
        """A version's cause is what the assigner logged, or else the event that led to it."""
        planner = StubPlanner()
        planner.change_table(0, "server 3 leaves classes [0]: slow", h0=1.0, h1=1.0)
        planner.publisher.publish("turn")
        planner.readiness_by_server[5] = ServerReadiness.UNAVAILABLE
        planner.publisher.publish("list")
        versions = list(planner.publisher.version_log.versions.values())
        self.assertEqual(
            [(str(version.number), version.cause) for version in versions],
            [
                ("1.1", "in charge under epoch 1"),
                ("1.2", "server 3 leaves classes [0]: slow"),
                ("1.3", "list"),
            ],
        )
        self.assertEqual(
            {
                table
                for table, weights in planner.published_weights().items()
                if "host-5" in weights
            },
            set(),
        )
        again = StubPlanner(planner.store, 2)
        again.weights = planner.weights
        again.readiness_by_server = planner.readiness_by_server
        again.publisher.publish("start")
        self.assertEqual(
            again.publisher.version_log.snapshot, planner.publisher.version_log.snapshot
        )

    def test_requests_survive_restart_and_takeover_and_are_applied_once(self):
        """A rollback stays active after a restart and on another controller."""
        planner = StubPlanner()
        first = planner.publisher.newest_version()
        planner.change_table(0, h8=1.0, h9=1.0)
        planner.commands.roll_back(first, ["read"], "duty", "a")
        again = StubPlanner(planner.store, 2)
        again.change_table(0, h8=1.0, h9=1.0)
        self.assertEqual(set(again.published_weights()["0"]), PINNED_SERVERS)
        # Another controller gets copies of the versions and requests. A second copy of the
        # requests changes nothing.
        other = StubPlanner(None, 0)
        log = planner.publisher.version_log
        for version in log.versions.values():
            other.publisher.version_log.insert_from_peer(version, log.snapshot_of(version.number))
        self.assertEqual(
            [other.publisher.on_peer_requests(planner.request_states[-1]) for _ in range(2)],
            [True, False],
        )
        other.publisher.become_leader(7)
        other.change_table(0, h8=1.0, h9=1.0)
        self.assertEqual(set(other.published_weights()["0"]), PINNED_SERVERS)
        # The new leader continues with the published tables, and publishes no version of its own
        # until something changes.
        self.assertEqual(other.publisher.newest_version(), planner.publisher.newest_version())
        other.commands.release([], "night", "")
        self.assertEqual(str(other.publisher.newest_version()), "7.1")
        # Requests from before the release are older than the current state.
        self.assertFalse(other.publisher.on_peer_requests(planner.request_states[-1]))
        with self.assertRaises(RejectedError):
            StubPlanner(None, 0).commands.roll_back(first, [], "duty", "")


if __name__ == "__main__":
    unittest.main()
