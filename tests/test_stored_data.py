"""A store written by commit bb80827 stays readable (tests/data/README.md)."""

import json
import pathlib
import shutil
import tempfile
import unittest

from versions.support import StubStore

from indigodeck.planner.endpoint_list import EndpointList
from indigodeck.store.files import StoreFolder
from indigodeck.store.write_ahead_log import WriteAheadLog
from indigodeck.store.writer import StoreWriter

DATA = pathlib.Path(__file__).parent / "data"
STORED = json.loads((DATA / "store.json").read_text(encoding="utf-8"))
MESSAGES = json.loads((DATA / "messages.json").read_text(encoding="utf-8"))
STARTED_AT = 1_750_000_000_000_000  # wall clock of the first version

NUMBERS = [*((3, serial) for serial in range(1, 37)), (17, 1), (17, 2), (33, 1), (33, 2), (33, 3)]
OTHER_KEYS = ["charge", "refused", "relays", "roster", "starts", "wishes"]


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


if __name__ == "__main__":
    unittest.main()
