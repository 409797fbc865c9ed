"""Messages between controllers on the wire; those that bb80827 wrote stay readable."""

import unittest
import unittest.mock

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.leadership import message_codec

PLACES = {name: f"127.0.0.1:{nth}" for nth, name in enumerate("abc", 1)}


class WireFormat(unittest.TestCase):
    """Bytes of messages: sealed, bounded, versioned."""

    KEY = b"a key that all of them share"

    def test_messages_are_rejected_with_a_reason(self):
        """Seal, source, version, kind, fields and their shapes are checked, and named."""

        def said(data, key=self.KEY):
            with self.assertRaises(message_codec.MessageRejectedError) as caught:
                message_codec.unpack(key, data[message_codec.LENGTH_BYTES :], {"c1"}.__contains__)
            return str(caught.exception)

        good = message_codec.pack(self.KEY, "c1", "release", ward="fleet", epoch=3)
        self.assertEqual(
            message_codec.unpack(self.KEY, good[4:], {"c1"}.__contains__),
            ("c1", 3, "release", {"ward": "fleet", "epoch": 3}),
        )
        self.assertEqual(said(good, b"another key"), "not sealed with the key of this fleet")
        self.assertEqual(
            said(message_codec.pack(self.KEY, "c9", "release", ward="fleet", epoch=3)),
            "'c9' is none of this fleet",
        )
        self.assertEqual(
            said(message_codec.pack(self.KEY, "c1", "release", ward="fleet")),
            "'release' with fields ['ward']",
        )
        self.assertEqual(
            said(message_codec.pack(self.KEY, "c1", "release", ward="fleet", epoch=-1)),
            "epoch is -1",
        )
        self.assertEqual(
            said(
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
            "epochs are not numbers by ward",
        )
        self.assertEqual(
            said(
                message_codec.pack(
                    self.KEY, "c1", "members", number=1, members={"c1": 5}, epochs={}
                )
            ),
            "members are not places by id",
        )
        self.assertEqual(
            said(
                message_codec.pack(self.KEY, "c1", "release", 3, ward="fleet", epoch=3).replace(
                    b'"version": 3', b'"version": 4'
                )
            ),
            "not sealed with the key of this fleet",
        )
        with unittest.mock.patch.dict(
            message_codec.FIELDS_BY_VERSION, {4: message_codec.FIELDS_BY_VERSION[3]}
        ):
            newer = message_codec.pack(self.KEY, "c1", "release", 4, ward="fleet", epoch=3)
        self.assertEqual(said(newer), "version 4; spoken here are 1, 2, 3")
        self.assertEqual(
            said(message_codec.pack(self.KEY, "c1", "noted", serial=[3])),
            "'noted': serial is of no known shape",
        )
        self.assertEqual(
            said(
                message_codec.pack(
                    self.KEY,
                    "c1",
                    "wishes",
                    wishes={"serial": [1, 1], "pins": [], "holds": {"read": 7}},
                )
            ),
            "'wishes': wishes is of no known shape",
        )
        self.assertEqual(
            said(
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
            "'sheets': sheets is of no known shape",
        )
        with self.assertRaises(message_codec.MessageRejectedError):
            message_codec.remaining_bytes((1 << 30).to_bytes(4, "big"))

    def test_an_older_version_says_what_it_can_and_is_understood(self):
        """Version 1 leaves fields out, and a member is spoken to in what it spoke."""
        told = dict(
            hello=1, epochs={"fleet": [7, "c2"]}, serial=0, number=0, members=PLACES, plan=None
        )
        old = message_codec.pack(self.KEY, "c1", "tell", 1, **told)
        self.assertEqual(
            message_codec.unpack(self.KEY, old[4:], {"c1"}.__contains__),
            ("c1", 1, "tell", dict(told, epochs={"fleet": [7, None]}, members=None)),
        )
        self.assertFalse(message_codec.can_say("propose", 1, {}))
        self.assertFalse(message_codec.can_say("ask", 1, {"number": 3}))
        spoken = message_codec.SpokenVersion()
        spoken.on_message("old", 1)
        self.assertEqual(spoken.version, 1)
        spoken.on_message("new", 2)  # replaced by a newer program
        spoken.on_message("new", 1)  # which has just read what was sent to the one before
        self.assertEqual(spoken.version, 2)

    @settings(max_examples=300, deadline=None)
    @given(some.integers(0, 200), some.binary(min_size=1, max_size=8))
    def test_damage_anywhere_is_rejected(self, at, put):
        """No damaged byte passes the seal."""
        good = message_codec.pack(
            self.KEY, "c1", "ask", ward="fleet", epoch=3, round=1 << 40, serial=2, number=0
        )[4:]
        at %= len(good)
        damaged = good[:at] + put + good[at + len(put) :]
        if damaged != good:
            with self.assertRaises(message_codec.MessageRejectedError):
                message_codec.unpack(self.KEY, damaged, {"c1"}.__contains__)


if __name__ == "__main__":
    unittest.main()
