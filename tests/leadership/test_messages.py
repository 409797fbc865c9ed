"""Tests of the wire format of messages between controllers.

`test_stored_messages` covers messages that commit bb80827 packed.
"""

import unittest
import unittest.mock

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.leadership import message_codec

ADDRESSES = {name: f"127.0.0.1:{index}" for index, name in enumerate("abc", 1)}


class WireFormat(unittest.TestCase):
    """Authentication, limits and versions of messages."""

    KEY = b"a key that all of them share"

    def test_messages_are_rejected_with_a_reason(self):
        """Authentication, source, version, kind and fields are checked; errors name the failure."""

        def rejection(data, key=self.KEY):
            with self.assertRaises(message_codec.MessageRejectedError) as caught:
                message_codec.unpack(key, data[message_codec.LENGTH_BYTES :], {"c1"}.__contains__)
            return str(caught.exception)

        good = message_codec.pack(self.KEY, "c1", "release", ward="fleet", epoch=3)
        self.assertEqual(
            message_codec.unpack(self.KEY, good[4:], {"c1"}.__contains__),
            ("c1", 3, "release", {"ward": "fleet", "epoch": 3}),
        )
        self.assertEqual(
            rejection(good, b"another key"), "not authenticated with the key of this fleet"
        )
        self.assertEqual(
            rejection(message_codec.pack(self.KEY, "c9", "release", ward="fleet", epoch=3)),
            "'c9' is not a controller of this fleet",
        )
        self.assertEqual(
            rejection(message_codec.pack(self.KEY, "c1", "release", ward="fleet")),
            "unknown kind or wrong fields: 'release' with ['ward']",
        )
        self.assertEqual(
            rejection(message_codec.pack(self.KEY, "c1", "release", ward="fleet", epoch=-1)),
            "epoch is -1",
        )
        self.assertEqual(
            rejection(
                message_codec.pack(
                    self.KEY,
                    "c1",
                    "tell",
                    hello=1,
                    epochs={"fleet": "x"},
                    serial=0,
                    number=0,
                    members=None,
                    plan=None,
                )
            ),
            "epochs are not pairs of epoch and holder by relay group",
        )
        self.assertEqual(
            rejection(
                message_codec.pack(
                    self.KEY, "c1", "members", number=1, members={"c1": 5}, epochs={}
                )
            ),
            "members are not addresses by id",
        )
        self.assertEqual(
            rejection(
                message_codec.pack(self.KEY, "c1", "release", 3, ward="fleet", epoch=3).replace(
                    b'"version": 3', b'"version": 4'
                )
            ),
            "not authenticated with the key of this fleet",
        )
        with unittest.mock.patch.dict(
            message_codec.FIELDS_BY_VERSION, {4: message_codec.FIELDS_BY_VERSION[3]}
        ):
            newer = message_codec.pack(self.KEY, "c1", "release", 4, ward="fleet", epoch=3)
        self.assertEqual(rejection(newer), "version 4; supported versions are 1, 2, 3")
        self.assertEqual(
            rejection(message_codec.pack(self.KEY, "c1", "noted", serial=[3])),
            "'noted': serial is malformed",
        )
        self.assertEqual(
            rejection(
                message_codec.pack(
                    self.KEY,
                    "c1",
                    "wishes",
                    wishes={"serial": [1, 1], "pins": [], "holds": {"read": 7}},
                )
            ),
            "'wishes': wishes is malformed",
        )
        self.assertEqual(
            rejection(
                message_codec.pack(
                    self.KEY,
                    "c1",
                    "sheets",
                    number=[1, 1],
                    part=0,
                    of=1,
                    parent=None,
                    about=[1, "", "", ""],
                    sheets={"0": {"class": "read", "lines": {"h": -1}, "level": [1, 1]}},
                )
            ),
            "'sheets': sheets is malformed",
        )
        with self.assertRaises(message_codec.MessageRejectedError):
            message_codec.remaining_bytes((1 << 30).to_bytes(4, "big"))

    def test_messages_in_older_versions_are_packed_and_unpacked(self):
        """Version 1 omits fields that it lacks; the version detected for a peer only grows."""
        fields = dict(
            hello=1, epochs={"fleet": [7, "c2"]}, serial=0, number=0, members=ADDRESSES, plan=None
        )
        old = message_codec.pack(self.KEY, "c1", "tell", 1, **fields)
        self.assertEqual(
            message_codec.unpack(self.KEY, old[4:], {"c1"}.__contains__),
            ("c1", 1, "tell", dict(fields, epochs={"fleet": [7, None]}, members=None)),
        )
        self.assertFalse(message_codec.can_encode("propose", 1, {}))
        self.assertFalse(message_codec.can_encode("ask", 1, {"number": 3}))
        tracker = message_codec.PeerVersionTracker()
        tracker.on_message("old", 1)
        self.assertEqual(tracker.version, 1)
        tracker.on_message("new", 2)  # the peer was upgraded
        tracker.on_message("new", 1)  # it replies to a message that was sent to its predecessor
        self.assertEqual(tracker.version, 2)

    @settings(max_examples=300, deadline=None)
    @given(some.integers(0, 200), some.binary(min_size=1, max_size=8))
    def test_a_damaged_message_is_rejected(self, position, replacement):
        """A message with changed or added bytes is not authenticated."""
        good = message_codec.pack(
            self.KEY, "c1", "ask", ward="fleet", epoch=3, round=1 << 40, serial=2, number=0
        )[4:]
        position %= len(good)
        damaged = good[:position] + replacement + good[position + len(replacement) :]
        if damaged != good:
            with self.assertRaises(message_codec.MessageRejectedError):
                message_codec.unpack(self.KEY, damaged, {"c1"}.__contains__)


if __name__ == "__main__":
    unittest.main()
