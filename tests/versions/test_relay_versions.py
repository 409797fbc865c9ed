"""Tests of the record of which version each relay holds."""

import unittest

from indigodeck.clock import SECOND
from indigodeck.versions.model import VersionNumber

from .support import StubPlanner

FIRST = VersionNumber(1, 1)
SECOND_VERSION = VersionNumber(1, 2)


class RelayVersionsTest(unittest.TestCase):
    """Deliveries that transports report in order, late, or twice."""

    def test_relay_status_follows_deliveries_and_is_stored(self):
        """Statuses follow deliveries and confirmations, and are stored periodically."""
        planner = StubPlanner()
        first = planner.publisher.newest_version()
        relay_versions = planner.publisher.relay_versions
        for proxy in range(3):
            relay_versions.on_delivered(proxy, first)
        planner.change_table(0, h8=1.0, h9=1.0)
        self.assertEqual(
            relay_versions.statuses(),
            [
                ("relay-0", FIRST, False, True),
                ("relay-1", FIRST, True, True),
                ("relay-2", FIRST, True, True),
            ],
        )
        relay_versions.on_delivered(0, planner.publisher.newest_version(), confirmed=False)
        self.assertEqual(relay_versions.statuses()[0], ("relay-0", SECOND_VERSION, True, False))
        relay_versions.on_proxy_request(0)
        relay_versions.on_delivered(0, first)  # reported late or twice: the newer version stays
        self.assertEqual(relay_versions.statuses()[0], ("relay-0", SECOND_VERSION, True, True))
        planner.time_us += 20 * SECOND
        planner.publisher.publish("turn")
        self.assertEqual(
            planner.store.values["relays"],
            {"relay-0": [1, 2], "relay-1": [1, 1], "relay-2": [1, 1]},
        )


if __name__ == "__main__":
    unittest.main()
