"""Tests of the state of operator requests."""

import json
import unittest

from indigodeck.errors import RejectedError
from indigodeck.versions.codec import decode_requests, encode_requests
from indigodeck.versions.model import VersionNumber
from indigodeck.versions.operator_requests import OperatorRequests


class OperatorRequestsTest(unittest.TestCase):
    """The versions that requests refer to, and the stored form of requests."""

    def test_requests_survive_encoding_and_limit_pinned_versions(self):
        """Decoding restores the encoded state; only a limited number of versions can be pinned."""
        requests = OperatorRequests()
        self.assertTrue(requests.set_version_pinned(VersionNumber(1, 4), True, 1))
        self.assertFalse(requests.set_version_pinned(VersionNumber(1, 4), True, 1))
        requests.roll_back(VersionNumber(1, 9), ["read"], "duty", "", 0, 1)
        self.assertEqual(requests.needed_versions(), {(1, 4), (1, 9)})
        document = json.loads(json.dumps(encode_requests(requests.state())))
        self.assertEqual(
            encode_requests(OperatorRequests(decode_requests(document)).state()),
            encode_requests(requests.state()),
        )
        for serial in range(255):
            requests.set_version_pinned(VersionNumber(2, serial), True, 2)
        with self.assertRaises(RejectedError):
            requests.set_version_pinned(VersionNumber(3, 1), True, 2)


if __name__ == "__main__":
    unittest.main()
