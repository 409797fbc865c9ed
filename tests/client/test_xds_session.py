"""Tests of the client's end of an xDS stream, without sockets."""

import unittest

from indigodeck.client import Tables
from indigodeck.client.xds_session import XdsSession
from indigodeck.frontends.xds import codec

CLASSES = ["read", "write"]


class XdsSessionTest(unittest.TestCase):
    """Which responses a proxy applies, ignores and rejects."""

    def test_duplicate_and_late_responses_are_ignored_and_a_wrong_version_is_rejected(self):
        """A response is applied once, in order, and only if its content matches its version."""
        tables = Tables(CLASSES, lambda: 0)
        session = XdsSession(tables, {})

        def response(serial, port):
            resource = codec.endpoints("read", [("a", "h", "127.0.0.1", port, 5)], [], 1.0)
            return codec.delta_response(
                codec.ENDPOINTS, f"7.{serial}", str(serial), [("read", *resource)], []
            )

        self.assertEqual(
            [session.on_response(response(serial, serial)) is None for serial in (1, 3, 2, 3, 4)],
            [False, False, True, True, False],
        )
        self.assertEqual(tables.lines["read"], {("127.0.0.1", 4): 5})
        wrong = response(5, 80)
        wrong.resources[0].version = "0" * 16
        self.assertIn("does not match its version", session.on_response(wrong).error_detail.message)
        self.assertEqual(tables.lines["read"], {("127.0.0.1", 4): 5})


if __name__ == "__main__":
    unittest.main()
