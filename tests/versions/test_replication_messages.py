"""The messages of replication keep the form that commit bb80827 sent (tests/data/README.md)."""

import json
import unittest

from stored_data import STORED_MESSAGES

from indigodeck.leadership import message_codec
from indigodeck.versions.replication_messages import MESSAGE_KINDS, decode, encode

KEY = STORED_MESSAGES["key"].encode()


class ReplicationMessagesTest(unittest.TestCase):
    """Messages of each kind, as bb80827 packed them."""

    def setUp(self):
        """Choose the recorded messages of replication."""
        self.recorded = [one for one in STORED_MESSAGES["messages"] if one["kind"] in MESSAGE_KINDS]

    def test_each_kind_is_recorded(self):
        """The recorded messages show all kinds of replication."""
        self.assertEqual({one["kind"] for one in self.recorded}, MESSAGE_KINDS)

    def test_each_message_is_read_and_sent_as_the_same_bytes(self):
        """A recorded message is decoded, and encoded again, to the bytes that it had."""
        for one in self.recorded:
            with self.subTest(kind=one["kind"]):
                data = bytes.fromhex(one["bytes"])
                fields = message_codec.unpack(
                    KEY, data[message_codec.LENGTH_BYTES :], lambda name: True
                )[3]
                kind, sent = encode(decode(one["kind"], fields))
                self.assertEqual(kind, one["kind"])
                self.assertEqual(json.loads(json.dumps(sent)), one["fields"])
                packed = message_codec.pack(KEY, one["from"], kind, one["version"], **sent)
                self.assertEqual(packed.hex(), one["bytes"])


if __name__ == "__main__":
    unittest.main()
