"""Events with meaningless values."""

import unittest

from harness import RecordingHost, server

from indigodeck.assignment.interface import DemandReport, LoadReport, UpdateKind
from indigodeck.clock import SECOND


class MeaninglessInputTest(unittest.TestCase):
    """No event with meaningless content stops the assigner."""

    def test_zero_and_unknown_values_are_harmless(self):
        """Zeros, unknown indices and out-of-range numbers raise no error."""
        host = RecordingHost()
        host.assigner.on_endpoint_update(
            UpdateKind.INCREMENTAL, [server(0, weight=0.0), server(1, weight=float("nan"))]
        )
        host.start([])
        host.assigner.on_load_report(LoadReport(0, 7, 0, 0, 0, 0))
        host.assigner.on_load_report(LoadReport(3, 7, 5, 9, 0, SECOND, {}))
        host.assigner.on_demand_report(DemandReport(99, 0, 5, 0, 0))
        host.assigner.on_ack(99, 12, 0)
        host.assigner.on_health_check(7, "silent", 0, None)
        host.assigner.on_proxy_left(42)
        host.assigner.on_peer_message(3, b"?")
        host.run(5)
