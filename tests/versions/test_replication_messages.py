"""Replication messages keep the format of commit bb80827 (tests/data/README.md)."""

import json
import unittest

from stored_data import STORED_MESSAGES

from indigodeck.leadership import message_codec
from indigodeck.versions.replication_messages import MESSAGE_KINDS, decode, encode

KEY = STORED_MESSAGES["key"].encode()


class ReplicationMessagesTest(unittest.TestCase):
    """Recorded messages of each kind, as bb80827 encoded them."""

    def setUp(self):
        """Select the recorded replication messages."""
        self.recorded = [
            message for message in STORED_MESSAGES["messages"] if message["kind"] in MESSAGE_KINDS
        ]

    def test_recorded_messages_cover_every_kind(self):
        """There is a recorded message of each kind of replication message."""
        self.assertEqual({message["kind"] for message in self.recorded}, MESSAGE_KINDS)

    def test_recorded_messages_decode_and_encode_to_the_same_bytes(self):
        """Decoding a recorded message and encoding it again gives the recorded bytes."""
        for message in self.recorded:
            with self.subTest(kind=message["kind"]):
                data = bytes.fromhex(message["bytes"])
                fields = message_codec.unpack(
                    KEY, data[message_codec.LENGTH_BYTES :], lambda name: True
                )[3]
                kind, sent = encode(decode(message["kind"], fields))
                self.assertEqual(kind, message["kind"])
                self.assertEqual(json.loads(json.dumps(sent)), message["fields"])
                packed = message_codec.pack(KEY, message["from"], kind, message["version"], **sent)
                self.assertEqual(packed.hex(), message["bytes"])


if __name__ == "__main__":
    unittest.main()
