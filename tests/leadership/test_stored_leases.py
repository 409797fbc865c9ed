"""Lease records that commit bb80827 wrote stay readable (tests/data/README.md)."""

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
PLANNED_MEMBERS = {**MEMBERS, "c4": "10.0.0.4:3900"}
LEASES = LeaseRecord(
    serial=42,
    epochs={
        "fleet": KnownEpoch(33, "c2"),
        "north": KnownEpoch(48, "c3"),
        "south": KnownEpoch(18, None),
    },
    membership=Membership(5, MEMBERS),
    proposal=Proposal(6, 33, PLANNED_MEMBERS),
)
LEASES_WITHOUT_MEMBERSHIP = LeaseRecord(
    serial=7, epochs={"fleet": KnownEpoch(16, "c1"), "south": KnownEpoch(2, None)}
)
REJECTIONS = [("relay-1", "read", "00c0ffee00c0ffee"), ("relay-é", "write", "0123456789abcdef")]


class StoredLeases(StoredFolderCase):
    """The record of leases and what relays rejected, in a store and in files."""

    def test_leases_and_rejections_are_read_from_the_store(self):
        """Both are found under their keys, and written back alike."""
        reader = self.open_store()
        leases = StoredRecord(reader.store, reader.held, "charge", RecordFile(self.folder / "none"))
        rejections = StoredRecord(
            reader.store,
            reader.held,
            "refused",
            RecordFile(self.folder / "none"),
            list,
            rejections_from_document,
        )
        self.assertEqual((leases.read(), rejections.read()), (LEASES, REJECTIONS))
        self.assertTrue(leases.save(LEASES) and rejections.save(REJECTIONS))
        reader.reopen()
        self.assertEqual(reader.held, STORE_CONTENT["records"])

    def test_leases_and_rejections_are_read_from_files_and_written_as_the_same_bytes(self):
        """Each file is read as it was meant, and written byte for byte."""
        for name, record, form in (
            ("leases.record", LEASES, ()),
            ("leases-without-fleet.record", LEASES_WITHOUT_MEMBERSHIP, ()),
            ("leases.record.refused", REJECTIONS, (pack_rejections, unpack_rejections)),
        ):
            with self.subTest(name=name):
                self.assertEqual(RecordFile(DATA_FOLDER / name, *form).read(), record)
                again = RecordFile(self.folder / name, *form)
                self.assertTrue(again.save(record))
                self.assertEqual(
                    (self.folder / name).read_bytes(), (DATA_FOLDER / name).read_bytes()
                )

    def test_a_file_from_before_there_was_a_store_is_read_where_the_store_has_none(self):
        """The file counts while the store holds no record."""
        reader = self.open_store()
        before = StoredRecord(
            reader.store, {}, "charge", RecordFile(DATA_FOLDER / "leases-without-fleet.record")
        )
        self.assertEqual(before.read(), LEASES_WITHOUT_MEMBERSHIP)

    def test_a_member_goes_on_from_the_epochs_holders_and_members_that_were_kept(self):
        """Epochs and members of the record count above the settings."""

        class SilentHost:
            """An environment in which nothing happens."""

            def now(self):
                """Return the start of time."""
                return 0

            def start_timer(self, delay):
                """Start nothing."""
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
