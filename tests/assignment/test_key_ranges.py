"""Key ranges and the servers that hold them."""

import unittest

from harness import RecordingHost, deployment_settings, server

from assignment.scenarios import fleet
from indigodeck.assignment.interface import LoadReport, ServerState, UpdateKind
from indigodeck.clock import SECOND


class KeyRangeTest(unittest.TestCase):
    """Key ranges move only when their server drains or is gone."""

    def test_key_ranges_keep_their_server_until_it_drains_or_is_gone(self):
        """Load and failures do not move a key range."""
        host = RecordingHost(deployment_settings(key_range_count=8))
        host.assigner.on_endpoint_update(UpdateKind.INCREMENTAL, fleet(4))
        host.assigner.on_key_range_assigned(2, True)
        host.assigner.on_key_range_server(2, 1, 1.0)
        host.assigner.on_key_range_demand(2, 0, 9, 1, SECOND)
        host.run(
            4,
            lambda host: [
                host.assigner.on_load_report(LoadReport(0, index, 20, 19, 900_000, SECOND))
                for index in range(4)
            ],
        )
        self.assertFalse(host.tables)
        host.update_servers(server(1, ServerState.GONE))
        self.assertEqual(len(host.tables[2]), 2)

    def test_single_owner_hands_over_after_a_delay(self):
        """A new exclusive owner is named only when no write can still reach the old one."""
        host = RecordingHost(deployment_settings(key_range_count=8, exclusive_ownership=True))
        host.assigner.on_endpoint_update(UpdateKind.INCREMENTAL, fleet(4))
        host.assigner.on_key_range_assigned(2, True)
        host.assigner.on_key_range_server(2, 1, 1.0)
        host.update_servers(server(1, ServerState.DRAINING))
        self.assertFalse(host.tables)
        host.run(2)
        self.assertEqual(len(host.tables[2]), 1)
