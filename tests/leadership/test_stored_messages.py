"""Tests that messages packed by commit bb80827 stay readable (tests/data/README.md)."""

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
    """Each kind of message in each version is unpacked, and packed as the same bytes."""

    KEY = STORED_MESSAGES["key"].encode()

    def test_the_data_holds_each_kind_in_each_version_that_has_it(self):
        """The stored messages include all kinds of each version."""
        found = {
            version: {
                stored["kind"]
                for stored in STORED_MESSAGES["messages"]
                if stored["version"] == version
            }
            for version in (1, 2, 3)
        }
        self.assertEqual(
            found, {1: KINDS_OF_VERSION_1, 2: KINDS_OF_VERSION_2, 3: KINDS_OF_VERSION_3}
        )

    def test_each_message_is_unpacked_to_its_fields(self):
        """Source, version, kind and fields are the stored ones."""
        for index, stored in enumerate(STORED_MESSAGES["messages"]):
            with self.subTest(index=index, kind=stored["kind"], version=stored["version"]):
                data = bytes.fromhex(stored["bytes"])
                length_field = data[: message_codec.LENGTH_BYTES]
                remainder = data[message_codec.LENGTH_BYTES :]
                self.assertEqual(message_codec.remaining_bytes(length_field), len(remainder))
                source, version, kind, fields = message_codec.unpack(
                    self.KEY, remainder, lambda name, expected=stored["from"]: name == expected
                )
                self.assertEqual(
                    (source, version, kind), (stored["from"], stored["version"], stored["kind"])
                )
                self.assertEqual(json_round_trip(fields), stored["fields"])

    def test_each_message_is_packed_as_the_same_bytes(self):
        """The stored fields give the stored bytes."""
        for index, stored in enumerate(STORED_MESSAGES["messages"]):
            with self.subTest(index=index, kind=stored["kind"], version=stored["version"]):
                data = message_codec.pack(
                    self.KEY, stored["from"], stored["kind"], stored["version"], **stored["fields"]
                )
                self.assertEqual(data.hex(), stored["bytes"])

    def test_a_proposal_unpacks_as_number_epoch_and_members(self):
        """A grant carries the last proposal that the grantor accepted."""
        grants = [
            stored
            for stored in STORED_MESSAGES["messages"]
            if stored["kind"] == "grant" and stored["fields"]["plan"]
        ]
        self.assertEqual([stored["version"] for stored in grants], [2, 3])
        for stored in grants:
            fields = message_codec.unpack(
                self.KEY,
                bytes.fromhex(stored["bytes"])[message_codec.LENGTH_BYTES :],
                lambda name: True,
            )[3]
            self.assertEqual(
                (fields["plan"], fields["ward"], fields["epoch"], fields["number"]),
                ((6, 33, PROPOSED_MEMBERS), "north", 49, 5),
            )


if __name__ == "__main__":
    unittest.main()
