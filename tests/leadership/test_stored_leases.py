"""Tests that lease records written by commit bb80827 stay readable (tests/data/README.md)."""

import unittest

from stored_data import DATA_FOLDER, STORE_CONTENT, StoredFolderCase

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.leadership.election import LeaderElection
from indigodeck.leadership.lease_record import (
    RecordFile,
    StoredRecord,
    pack_rejections,
    rejections_from_document,
    unpack_rejections,
)
from indigodeck.leadership.state import (
    ElectionSettings,
    KnownEpoch,
    LeaseRecord,
    Membership,
    Proposal,
)

MEMBERS = {"c1": "10.0.0.1:3900", "c2": "10.0.0.2:3900", "c3": "10.0.0.3:3900"}
PROPOSED_MEMBERS = {**MEMBERS, "c4": "10.0.0.4:3900"}
LEASES = LeaseRecord(
    serial=42,
    epochs={
        "fleet": KnownEpoch(33, "c2"),
        "north": KnownEpoch(48, "c3"),
        "south": KnownEpoch(18, None),
    },
    membership=Membership(5, MEMBERS),
    proposal=Proposal(6, 33, PROPOSED_MEMBERS),
)
LEASES_WITHOUT_MEMBERSHIP = LeaseRecord(
    serial=7, epochs={"fleet": KnownEpoch(16, "c1"), "south": KnownEpoch(2, None)}
)
REJECTIONS = [("relay-1", "read", "00c0ffee00c0ffee"), ("relay-é", "write", "0123456789abcdef")]


class StoredLeases(StoredFolderCase):
    """Lease records and rejected tables, in a store and in files."""

    def test_leases_and_rejections_are_read_from_the_store(self):
        """Both are read from their keys, and written back unchanged."""
        reader = self.open_store()
        leases = StoredRecord(
            reader.store, reader.values, "charge", RecordFile(self.folder / "none")
        )
        rejections = StoredRecord(
            reader.store,
            reader.values,
            "refused",
            RecordFile(self.folder / "none"),
            list,
            rejections_from_document,
        )
        self.assertEqual((leases.read(), rejections.read()), (LEASES, REJECTIONS))
        self.assertTrue(leases.save(LEASES) and rejections.save(REJECTIONS))
        reader.reopen()
        self.assertEqual(reader.values, STORE_CONTENT["records"])

    def test_leases_and_rejections_are_read_from_files_and_written_back_unchanged(self):
        """Each file is decoded to the expected record, which is written as the same bytes."""
        for name, record, codec in (
            ("leases.record", LEASES, ()),
            ("leases-without-fleet.record", LEASES_WITHOUT_MEMBERSHIP, ()),
            ("leases.record.refused", REJECTIONS, (pack_rejections, unpack_rejections)),
        ):
            with self.subTest(name=name):
                self.assertEqual(RecordFile(DATA_FOLDER / name, *codec).read(), record)
                copy = RecordFile(self.folder / name, *codec)
                self.assertTrue(copy.save(record))
                self.assertEqual(
                    (self.folder / name).read_bytes(), (DATA_FOLDER / name).read_bytes()
                )

    def test_the_file_is_read_if_the_store_holds_no_record(self):
        """An installation from before the store existed has its record in a file."""
        reader = self.open_store()
        record = StoredRecord(
            reader.store, {}, "charge", RecordFile(DATA_FOLDER / "leases-without-fleet.record")
        )
        self.assertEqual(record.read(), LEASES_WITHOUT_MEMBERSHIP)

    def test_a_member_continues_from_the_stored_epochs_and_members(self):
        """The epochs and members of the record take precedence over the settings."""

        class SilentHost:
            """A host that neither fires timers nor sends messages."""

            def now(self):
                """Return a fixed time."""
                return 0

            def start_timer(self, delay):
                """Start no timer."""
                pass

            def send(self, member, message):
                """Send nothing."""
                pass

        for record, number, members in (
            (LEASES, 5, MEMBERS),
            (LEASES_WITHOUT_MEMBERSHIP, 0, {"c1": "a:1", "c2": "a:2"}),
        ):
            election = LeaderElection(
                SilentHost(),
                ElectionSettings(
                    "c1", {"c1": "a:1", "c2": "a:2"}, ("fleet", "north"), 3_000_000, 0.01, 1
                ),
                SeededRandom(1),
                record,
            )
            status = election.status()
            self.assertEqual(
                (
                    status.membership_number,
                    {name: member.address for name, member in status.members.items()},
                ),
                (number, members),
            )
            self.assertEqual(
                {group: lease.epoch for group, lease in status.leases.items()},
                {group: record.epochs.get(group, (0, None))[0] for group in ("fleet", "north")},
            )
            self.assertEqual(election.state.known_epochs, record.epochs)


if __name__ == "__main__":
    unittest.main()
