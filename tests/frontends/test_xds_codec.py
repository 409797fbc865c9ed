"""The resources of the xDS protocol as bytes."""

import unittest

from indigodeck.client.xds_session import read_assignment
from indigodeck.frontends.xds import codec
from indigodeck.frontends.xds.codec import ENDPOINTS


class EndpointsTest(unittest.TestCase):
    """The endpoints of a class as bytes, written by the planner and read by the client."""

    def test_endpoints_carry_weights_zones_drains_and_admission(self):
        """What is read is what was written, and its order does not matter."""
        version, data = codec.endpoints(
            "read",
            [("hall-a", "h1", "10.0.0.1", 80, 300), ("hall-b", "h2", "::1", 81, 1)],
            [("hall-a", "h3", "10.0.0.3", 80, 0)],
            0.25,
        )
        again, _ = codec.endpoints(
            "read",
            [("hall-b", "h2", "::1", 81, 1), ("hall-a", "h1", "10.0.0.1", 80, 300)],
            [("hall-a", "h3", "10.0.0.3", 80, 0)],
            0.25,
        )
        self.assertEqual(version, again)
        response = codec.delta_response(ENDPOINTS, "1", "n", [("read", version, data)], [])
        name, entries, level, names = read_assignment(response.resources[0].resource.value)
        self.assertEqual((name, level), ("read", 0.25))
        self.assertEqual(
            entries,
            [
                (("10.0.0.1", 80), 300, True, False),
                (("::1", 81), 1, True, False),
                (("10.0.0.3", 80), 0, True, True),
            ],
        )
        self.assertEqual(names["::1", 81], ("hall-b", "h2"))


if __name__ == "__main__":
    unittest.main()
