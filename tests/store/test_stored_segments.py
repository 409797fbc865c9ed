"""Tests that segments and bases written by commit bb80827 stay readable."""

import unittest

from stored_data import NUMBERS, OTHER_KEYS, STORED, StoredFolder


class StoredSegmentsTest(StoredFolder):
    """The files of the store: bases, segments and records."""

    def test_the_folder_is_compacted_with_segments_after_its_base(self):
        """The names of the files, one by one."""
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
        """All keys and values are as they were put."""
        store = self.opened()
        self.assertEqual(
            (store.notes, store.store.log.damage, store.store.log.data_lost), ([], [], False)
        )
        self.assertEqual(
            sorted(store.values),
            sorted(
                [*OTHER_KEYS, *(f"version/{epoch:012d}.{serial:012d}" for epoch, serial in NUMBERS)]
            ),
        )
        self.assertEqual(store.values, STORED["records"])
        self.assertEqual(store.values["starts"], 4)
        self.assertEqual(
            store.values["relays"], {"relay-0": [33, 2], "relay-1": [33, 2], "relay-2": [33, 2]}
        )

    def test_a_damaged_base_is_replaced_by_the_base_and_the_segments_before(self):
        """A flipped bit in the newest base loses nothing."""
        base = self.folder / "00000003.base"
        data = bytearray(base.read_bytes())
        data[len(data) // 2] ^= 1
        base.write_bytes(data)
        store = self.opened()
        self.assertEqual([event for event, _ in store.notes], ["store_tail_truncated"])
        self.assertEqual(store.values, STORED["records"])

    def test_the_last_segment_holds_what_came_after_the_base(self):
        """Without it the values are those of the compaction."""
        (self.folder / "00000005.log").unlink()
        held = self.opened().values
        self.assertEqual(held["starts"], 3)
        self.assertEqual(held["charge"], {"serial": 11, "wards": {"fleet": [17, "c1"]}})
        self.assertEqual(held["second key to drop"], {"dropped": True})
        self.assertEqual(
            max(key for key in held if key.startswith("version/")),
            "version/000000000017.000000000002",
        )
        self.assertNotIn("key to drop", held)

    def test_the_store_is_written_to_and_compacted_again(self):
        """A change, a compaction and a restart lose nothing else."""
        store = self.opened()
        store.save([("starts", 5), ("relays", None)])
        self.assertTrue(store.store.query(lambda log: log.compact(1 << 20)).result())
        store.reopen()
        want = {**STORED["records"], "starts": 5}
        del want["relays"]
        self.assertEqual((store.notes, store.values), ([], want))


if __name__ == "__main__":
    unittest.main()
