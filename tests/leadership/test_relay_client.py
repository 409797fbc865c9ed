"""Tests of relays that know several controllers: reconnection, and rejection of old epochs."""

import os
import unittest

# gRPC reads this variable when it is imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

from indigodeck.assignment.seeded_random import SeededRandom  # noqa: E402
from indigodeck.client import Tables  # noqa: E402
from indigodeck.client.reconnecting import ReconnectBackoff  # noqa: E402
from indigodeck.client.tables import RequestRejectedError  # noqa: E402
from indigodeck.client.xds_session import XdsSession  # noqa: E402
from indigodeck.frontends.xds import codec  # noqa: E402


class RelayClient(unittest.TestCase):
    """Behaviour of the client library while leaders change."""

    def test_backoff_grows_only_after_all_controllers_were_tried(self):
        """The backoff grows only after every controller was tried once."""
        backoff = ReconnectBackoff(SeededRandom(3))
        waits = [backoff.next_delay(3) for _ in range(15)]
        self.assertLess(max(waits[0], waits[1], waits[9], waits[10]), backoff.first_delay // 4)
        self.assertGreater(waits[14], backoff.first_delay)
        single = ReconnectBackoff(SeededRandom(3))
        self.assertGreaterEqual(min(single.next_delay() for _ in range(6)), single.first_delay // 4)

    def test_a_relay_rejects_an_epoch_below_the_highest_it_has_seen(self):
        """A response of a former leader is rejected and changes no table."""
        tables = Tables(["read"], lambda: 0)
        session = XdsSession(tables, {})

        def response(epoch, port):
            endpoints = codec.endpoints("read", [("a", "h", "127.0.0.1", port, 5)], [], 1.0)
            return codec.delta_response(
                codec.ENDPOINTS, f"{epoch}.1", "n", [("read", *endpoints)], []
            )

        session.on_response(response(7, 80))
        with self.assertRaises(RequestRejectedError):
            session.on_response(response(4, 81))
        self.assertEqual(tables.lines["read"], {("127.0.0.1", 80): 5})
        session.on_response(response(8, 82))
        self.assertEqual(tables.lines["read"], {("127.0.0.1", 82): 5})


if __name__ == "__main__":
    unittest.main()
