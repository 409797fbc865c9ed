"""Messages between controllers that commit bb80827 wrote stay readable (tests/data/README.md)."""

import unittest

from stored_data import STORED_MESSAGES, json_round_trip

from indigodeck.leadership import message_codec

PROPOSED_MEMBERS = {f"c{index}": f"10.0.0.{index}:3900" for index in range(1, 5)}
KINDS_OF_VERSION_1 = {
    "greet",
    "tell",
    "ask",
    "grant",
    "deny",
    "release",
    "fleet",
    "hand over",
    "answer",
}
KINDS_OF_VERSION_2 = KINDS_OF_VERSION_1 | {
    "here",
    "propose",
    "accept",
    "members",
    "refusals",
    "change",
    "force",
    "followers",
}
KINDS_OF_VERSION_3 = KINDS_OF_VERSION_2 | {
    "book",
    "version",
    "wishes",
    "ask wishes",
    "noted",
    "want",
    "sheets",
    "versions",
}


class StoredMessages(unittest.TestCase):
    """Each kind of message in each version: read as it was said, and packed as the same bytes."""

    KEY = STORED_MESSAGES["key"].encode()

    def test_each_kind_is_there_in_each_version_that_can_say_it(self):
        """The data holds all kinds of each version."""
        found = {
            version: {
                one["kind"] for one in STORED_MESSAGES["messages"] if one["version"] == version
            }
            for version in (1, 2, 3)
        }
        self.assertEqual(
            found, {1: KINDS_OF_VERSION_1, 2: KINDS_OF_VERSION_2, 3: KINDS_OF_VERSION_3}
        )

    def test_each_unpacks_to_the_fields_that_were_said(self):
        """Source, version, kind and fields are read as they were said."""
        for place, one in enumerate(STORED_MESSAGES["messages"]):
            with self.subTest(place=place, kind=one["kind"], version=one["version"]):
                data = bytes.fromhex(one["bytes"])
                head, rest = data[: message_codec.LENGTH_BYTES], data[message_codec.LENGTH_BYTES :]
                self.assertEqual(message_codec.remaining_bytes(head), len(rest))
                source, version, kind, fields = message_codec.unpack(
                    self.KEY, rest, lambda name, who=one["from"]: name == who
                )
                self.assertEqual(
                    (source, version, kind), (one["from"], one["version"], one["kind"])
                )
                self.assertEqual(json_round_trip(fields), one["fields"])

    def test_each_is_packed_as_the_same_bytes(self):
        """The same fields give the same bytes."""
        for place, one in enumerate(STORED_MESSAGES["messages"]):
            with self.subTest(place=place, kind=one["kind"], version=one["version"]):
                data = message_codec.pack(
                    self.KEY, one["from"], one["kind"], one["version"], **one["fields"]
                )
                self.assertEqual(data.hex(), one["bytes"])

    def test_a_proposal_unpacks_as_number_epoch_and_members(self):
        """A grant carries the proposal that was accepted last."""
        grants = [
            one
            for one in STORED_MESSAGES["messages"]
            if one["kind"] == "grant" and one["fields"]["plan"]
        ]
        self.assertEqual([one["version"] for one in grants], [2, 3])
        for one in grants:
            fields = message_codec.unpack(
                self.KEY,
                bytes.fromhex(one["bytes"])[message_codec.LENGTH_BYTES :],
                lambda name: True,
            )[3]
            self.assertEqual(
                (fields["plan"], fields["ward"], fields["epoch"], fields["number"]),
                ((6, 33, PROPOSED_MEMBERS), "north", 49, 5),
            )


if __name__ == "__main__":
    unittest.main()
