"""Tests of the encoding of xDS resources."""

import unittest

from indigodeck.client.xds_session import read_assignment
from indigodeck.frontends.xds import codec
from indigodeck.frontends.xds.codec import ENDPOINTS


class EndpointsTest(unittest.TestCase):
    """The endpoints of a class, as encoded by the planner and decoded by the client."""

    def test_endpoints_carry_weights_zones_drains_and_admission(self):
        """Decoding returns the encoded values; the order of servers does not affect the version."""
        version, data = codec.endpoints(
            "read",
            [("hall-a", "h1", "10.0.0.1", 80, 300), ("hall-b", "h2", "::1", 81, 1)],
            [("hall-a", "h3", "10.0.0.3", 80, 0)],
            0.25,
        )
        reordered_version, _ = codec.endpoints(
            "read",
            [("hall-b", "h2", "::1", 81, 1), ("hall-a", "h1", "10.0.0.1", 80, 300)],
            [("hall-a", "h3", "10.0.0.3", 80, 0)],
            0.25,
        )
        self.assertEqual(version, reordered_version)
        response = codec.delta_response(ENDPOINTS, "1", "n", [("read", version, data)], [])
        name, entries, admitted_share, localities = read_assignment(
            response.resources[0].resource.value
        )
        self.assertEqual((name, admitted_share), ("read", 0.25))
        self.assertEqual(
            entries,
            [
                (("10.0.0.1", 80), 300, True, False),
                (("::1", 81), 1, True, False),
                (("10.0.0.3", 80), 0, True, True),
            ],
        )
        self.assertEqual(localities["::1", 81], ("hall-b", "h2"))


if __name__ == "__main__":
    unittest.main()
