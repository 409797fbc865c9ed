"""Segments and bases that commit bb80827 wrote stay readable (tests/data/README.md)."""

import unittest

from stored_data import NON_VERSION_KEYS, STORE_CONTENT, VERSION_NUMBERS, StoredFolderCase


class StoredSegmentsTest(StoredFolderCase):
    """The bases, segments and records of the stored folder."""

    def test_the_stored_folder_has_two_bases_and_the_segments_since_the_first(self):
        """The folder has exactly these files."""
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

    def test_all_records_are_read_and_no_damage_is_found(self):
        """All keys and values are as they were written."""
        store = self.open_store()
        self.assertEqual(
            (store.events, store.store.log.damage, store.store.log.data_lost), ([], [], False)
        )
        self.assertEqual(
            sorted(store.values),
            sorted(
                [
                    *NON_VERSION_KEYS,
                    *(f"version/{epoch:012d}.{serial:012d}" for epoch, serial in VERSION_NUMBERS),
                ]
            ),
        )
        self.assertEqual(store.values, STORE_CONTENT["records"])
        self.assertEqual(store.values["starts"], 4)
        self.assertEqual(
            store.values["relays"], {"relay-0": [33, 2], "relay-1": [33, 2], "relay-2": [33, 2]}
        )

    def test_a_damaged_base_is_recovered_from_the_previous_base_and_segments(self):
        """A flipped bit in the newest base loses nothing."""
        base = self.folder / "00000003.base"
        data = bytearray(base.read_bytes())
        data[len(data) // 2] ^= 1
        base.write_bytes(data)
        store = self.open_store()
        self.assertEqual([event for event, _ in store.events], ["store_tail_truncated"])
        self.assertEqual(store.values, STORE_CONTENT["records"])

    def test_without_its_last_segment_the_store_holds_the_values_at_compaction(self):
        """Removing the last segment loses only the changes after the last compaction."""
        (self.folder / "00000005.log").unlink()
        values = self.open_store().values
        self.assertEqual(values["starts"], 3)
        self.assertEqual(values["charge"], {"serial": 11, "wards": {"fleet": [17, "c1"]}})
        self.assertEqual(values["second key to drop"], {"dropped": True})
        self.assertEqual(
            max(key for key in values if key.startswith("version/")),
            "version/000000000017.000000000002",
        )
        self.assertNotIn("key to drop", values)

    def test_the_stored_folder_can_be_written_to_and_compacted(self):
        """Nothing else is lost by a change, a compaction and a restart."""
        store = self.open_store()
        store.save([("starts", 5), ("relays", None)])
        self.assertTrue(store.store.query(lambda log: log.compact(1 << 20)).result())
        store.reopen()
        expected = {**STORE_CONTENT["records"], "starts": 5}
        del expected["relays"]
        self.assertEqual((store.events, store.values), ([], expected))


if __name__ == "__main__":
    unittest.main()
