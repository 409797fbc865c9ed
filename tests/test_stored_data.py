"""Stores, lease records and messages written by commit bb80827 stay readable (tests/data/README.md)."""

import json
import pathlib
import shutil
import tempfile
import unittest

from versions.support import StubStore

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.leadership import message_codec
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
from indigodeck.planner.endpoint_list import EndpointList
from indigodeck.store.files import StoreFolder
from indigodeck.store.write_ahead_log import WriteAheadLog
from indigodeck.store.writer import StoreWriter

DATA = pathlib.Path(__file__).parent / "data"
STORED = json.loads((DATA / "store.json").read_text(encoding="utf-8"))
MESSAGES = json.loads((DATA / "messages.json").read_text(encoding="utf-8"))
STARTED_AT = 1_750_000_000_000_000  # wall clock of the first version

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
LEASES_WITHOUT_FLEET = LeaseRecord(
    serial=7, epochs={"fleet": KnownEpoch(16, "c1"), "south": KnownEpoch(2, None)}
)
REFUSALS = [("relay-1", "read", "00c0ffee00c0ffee"), ("relay-é", "write", "0123456789abcdef")]

NUMBERS = [*((3, serial) for serial in range(1, 37)), (17, 1), (17, 2), (33, 1), (33, 2), (33, 3)]
OTHER_KEYS = ["charge", "refused", "relays", "roster", "starts", "wishes"]
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


def plain(value):
    """As it would come back from JSON: lists in place of tuples."""
    return json.loads(json.dumps(value))


class StoreShelf(StubStore):
    """A shelf on a real store, which is opened as a controller opens it."""

    def __init__(self, folder):
        self.folder, self.clock, self.notes = folder, STARTED_AT + 86_400_000_000, []
        self.open()

    def open(self):
        self.store = StoreWriter(
            StoreFolder(self.folder), lambda event, **facts: self.notes.append((event, facts))
        )
        self.held = self.store.query(WriteAheadLog.read_all).result()

    def save(self, changes):
        if not self.store.put_and_wait(changes):
            raise AssertionError("the store can't be written")

    def reopen(self):
        self.store.close()
        self.open()


class StoredFolder(unittest.TestCase):
    """A copy of the store's folder that a test may change."""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name) / "store"
        shutil.copytree(DATA / "store", self.folder)

    def opened(self):
        shelf = StoreShelf(self.folder)
        self.addCleanup(lambda: shelf.store.close())
        return shelf


class StoreTest(StoredFolder):
    """The files of the store: bases, segments and records."""

    def test_the_folder_is_compacted_with_segments_after_its_base(self):
        self.assertEqual(
            sorted(entry.name for entry in self.folder.iterdir()),
            [
                "00000002.base",
                "00000003.base",
                "00000003.log",
                "00000004.log",
                "00000005.log",
                "lock",
            ],
        )

    def test_every_record_is_read_back_and_no_damage_is_found(self):
        shelf = self.opened()
        self.assertEqual(
            (shelf.notes, shelf.store.log.damage, shelf.store.log.data_lost), ([], [], False)
        )
        self.assertEqual(
            sorted(shelf.held),
            sorted(
                [*OTHER_KEYS, *(f"version/{epoch:012d}.{serial:012d}" for epoch, serial in NUMBERS)]
            ),
        )
        self.assertEqual(shelf.held, STORED["records"])
        self.assertEqual(shelf.held["starts"], 4)
        self.assertEqual(
            shelf.held["relays"], {"relay-0": [33, 2], "relay-1": [33, 2], "relay-2": [33, 2]}
        )

    def test_a_damaged_base_is_replaced_by_the_base_and_the_segments_before(self):
        base = self.folder / "00000003.base"
        data = bytearray(base.read_bytes())
        data[len(data) // 2] ^= 1
        base.write_bytes(data)
        shelf = self.opened()
        self.assertEqual([event for event, _ in shelf.notes], ["store_tail_truncated"])
        self.assertEqual(shelf.held, STORED["records"])

    def test_the_last_segment_holds_what_came_after_the_base(self):
        (self.folder / "00000005.log").unlink()
        held = self.opened().held
        self.assertEqual(held["starts"], 3)
        self.assertEqual(held["charge"], {"serial": 11, "wards": {"fleet": [17, "c1"]}})
        self.assertEqual(held["second key to drop"], {"dropped": True})
        self.assertEqual(
            max(key for key in held if key.startswith("version/")),
            "version/000000000017.000000000002",
        )
        self.assertNotIn("key to drop", held)

    def test_the_store_is_written_to_and_compacted_again(self):
        shelf = self.opened()
        shelf.save([("starts", 5), ("relays", None)])
        self.assertTrue(shelf.store.query(lambda log: log.compact(1 << 20)).result())
        shelf.reopen()
        want = {**STORED["records"], "starts": 5}
        del want["relays"]
        self.assertEqual((shelf.notes, shelf.held), ([], want))


class Leases(StoredFolder):
    def test_leases_and_rejections_are_read_from_the_store(self):
        shelf = self.opened()
        leases = StoredRecord(shelf.store, shelf.held, "charge", RecordFile(self.folder / "none"))
        refusals = StoredRecord(
            shelf.store,
            shelf.held,
            "refused",
            RecordFile(self.folder / "none"),
            list,
            rejections_from_document,
        )
        self.assertEqual((leases.read(), refusals.read()), (LEASES, REFUSALS))
        self.assertTrue(leases.save(LEASES) and refusals.save(REFUSALS))
        shelf.reopen()
        self.assertEqual(shelf.held, STORED["records"])

    def test_leases_and_rejections_are_read_from_files_and_written_as_the_same_bytes(self):
        for name, record, form in (
            ("leases.record", LEASES, ()),
            ("leases-without-fleet.record", LEASES_WITHOUT_FLEET, ()),
            ("leases.record.refused", REFUSALS, (pack_rejections, unpack_rejections)),
        ):
            with self.subTest(name=name):
                self.assertEqual(RecordFile(DATA / name, *form).read(), record)
                again = RecordFile(self.folder / name, *form)
                self.assertTrue(again.save(record))
                self.assertEqual((self.folder / name).read_bytes(), (DATA / name).read_bytes())

    def test_a_file_from_before_there_was_a_store_is_read_where_the_store_has_none(self):
        shelf = self.opened()
        before = StoredRecord(
            shelf.store, {}, "charge", RecordFile(DATA / "leases-without-fleet.record")
        )
        self.assertEqual(before.read(), LEASES_WITHOUT_FLEET)

    def test_a_member_goes_on_from_the_epochs_holders_and_members_that_were_kept(self):
        class Alone:
            def now(self):
                return 0

            def start_timer(self, delay):
                pass

            def send(self, member, message):
                pass

        for record, number, members in (
            (LEASES, 5, MEMBERS),
            (LEASES_WITHOUT_FLEET, 0, {"c1": "a:1", "c2": "a:2"}),
        ):
            election = LeaderElection(
                Alone(),
                ElectionSettings(
                    "c1", {"c1": "a:1", "c2": "a:2"}, ("fleet", "north"), 3_000_000, 0.01, 1
                ),
                SeededRandom(1),
                record,
            )
            told = election.status()
            self.assertEqual(
                (
                    told.membership_number,
                    {name: member.address for name, member in told.members.items()},
                ),
                (number, members),
            )
            self.assertEqual(
                {group: lease.epoch for group, lease in told.leases.items()},
                {group: record.epochs.get(group, (0, None))[0] for group in ("fleet", "north")},
            )
            self.assertEqual(election.state.known_epochs, record.epochs)


class KeptList(StoredFolder):
    def test_the_list_of_hosts_that_was_kept_is_taken_up_again(self):
        class Listener:
            def on_endpoint_update(self, kind, servers):
                self.servers = servers

        class IdRegistry:
            def index(self, name):
                return int(name.removeprefix("host-"))

        kept, listener = self.opened().held["roster"], Listener()
        roster = EndpointList(
            listener, IdRegistry(), ["north", "south"], ["small", "big"], 1_749_999_000_000_000 - 7
        )
        roster.restore(kept, kept["hosts"], True)
        self.assertEqual((roster.version, roster.epoch, roster.quiesced_ids), (1042, 2, {"host-7"}))
        self.assertEqual(
            [
                plain([one.index, one.cell, one.machine_type, one.zone, one.weight, one.started])
                for one in listener.servers
            ],
            [[3, 1, 1, 0, 2.5, 7], [7, 0, 2, 0, 1.0, 0], [9, 0, 2, 1, 1.0, 0]],
        )
        self.assertEqual({**roster.to_record(), "at": STARTED_AT}, kept)


class Messages(unittest.TestCase):
    KEY = MESSAGES["key"].encode()

    def test_each_kind_is_there_in_each_version_that_can_say_it(self):
        found = {
            version: {one["kind"] for one in MESSAGES["messages"] if one["version"] == version}
            for version in (1, 2, 3)
        }
        self.assertEqual(
            found, {1: KINDS_OF_VERSION_1, 2: KINDS_OF_VERSION_2, 3: KINDS_OF_VERSION_3}
        )

    def test_each_unpacks_to_the_fields_that_were_said(self):
        for place, one in enumerate(MESSAGES["messages"]):
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
                self.assertEqual(plain(fields), one["fields"])

    def test_each_is_packed_as_the_same_bytes(self):
        for place, one in enumerate(MESSAGES["messages"]):
            with self.subTest(place=place, kind=one["kind"], version=one["version"]):
                data = message_codec.pack(
                    self.KEY, one["from"], one["kind"], one["version"], **one["fields"]
                )
                self.assertEqual(data.hex(), one["bytes"])

    def test_a_plan_unpacks_as_number_epoch_and_members(self):
        grants = [
            one for one in MESSAGES["messages"] if one["kind"] == "grant" and one["fields"]["plan"]
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
                ((6, 33, PLANNED_MEMBERS), "north", 49, 5),
            )


if __name__ == "__main__":
    unittest.main()
