"""Versions that commit bb80827 stored stay readable (tests/data/README.md)."""

import unittest

from stored_data import FIRST_PUBLISHED_AT, STORE_CONTENT, VERSION_NUMBERS, StoredFolderCase

from indigodeck.versions.codec import (
    decode_requests,
    encode_requests,
    encode_snapshot,
    encode_table,
)
from indigodeck.versions.model import VersionNumber
from indigodeck.versions.operator_requests import OperatorRequests
from indigodeck.versions.version_log import VersionLog

from .support import StubPlanner


class StoredVersionsTest(StoredFolderCase):
    """Versions, rollbacks and the versions of relays in the store that bb80827 wrote."""

    def log(self, store):
        """Return the version log of a store."""
        return VersionLog(store, store.keys())

    def test_stored_version_metadata_is_read(self):
        """All stored versions are loaded with their metadata."""
        log = self.log(self.open_store())
        self.assertEqual([tuple(number) for number in sorted(log.versions)], VERSION_NUMBERS)
        self.assertEqual(log.newest, VersionNumber(33, 3))
        loaded = [
            {
                "number": list(version.number),
                "parent": version.parent and list(version.parent),
                "at": version.published_at,
                "cause": version.cause,
                "author": version.author,
                "content": version.content_hash,
                "first": list(version.chain_start),
            }
            for _, version in sorted(log.versions.items())
        ]
        self.assertEqual(
            loaded,
            [
                {name: value for name, value in document.items() if name != "sheets"}
                for document in STORE_CONTENT["versions"]
            ],
        )
        metadata = {
            str(number): (version.published_at - FIRST_PUBLISHED_AT, version.author, version.cause)
            for number, version in log.versions.items()
        }
        self.assertEqual(metadata["3.1"], (0, "", "in charge under epoch 3"))
        self.assertEqual(metadata["3.36"], (9_000_000, "", "server 11 changes its weight"))
        self.assertEqual(
            metadata["17.2"], (3_600_500_000, "", "server 4 leaves classes [1]: failing")
        )
        self.assertEqual(
            metadata["33.1"],
            (3_601_500_000, "night shift", "rollback of read to 3.20: exchanges fail since 17.1"),
        )
        self.assertEqual(
            {str(version.chain_start) for version in log.versions.values()}, {"3.1", "3.33"}
        )
        self.assertEqual(
            (log.versions[VersionNumber(3, 1)].parent, log.versions[VersionNumber(17, 1)].parent),
            (None, VersionNumber(3, 36)),
        )

    def test_stored_snapshots_are_read(self):
        """Each version has the tables that it was published with."""
        log = self.log(self.open_store())
        for document in STORE_CONTENT["versions"]:
            with self.subTest(number=document["number"]):
                snapshot = log.snapshot_of(VersionNumber(*document["number"]))
                self.assertEqual(encode_snapshot(snapshot), document["sheets"])
        self.assertEqual(
            encode_table(log.snapshot_of(VersionNumber(17, 1))["0"]),
            {
                "class": "read",
                "level": [1.0, 1],
                "lines": {"host-0": 1.5, "host-1": 0.25, "host-2": 0.123457},
            },
        )
        self.assertEqual(
            log.snapshot_of(VersionNumber(3, 20))["4"].weights,
            {"host-4": 1.25, "host-5": 1.25, "host-6": 1.25},
        )
        self.assertEqual(
            log.snapshot_of(VersionNumber(33, 3))["4"].weights, {"host-5": 1.25, "host-6": 1.25}
        )

    def test_stored_operator_requests_are_read_and_written_unchanged(self):
        """Operator requests are read, and written again in the same form."""
        requests = OperatorRequests(decode_requests(self.open_store().values["wishes"]))
        self.assertEqual((requests.serial, requests.pinned_versions), ((33, 2), {(3, 12), (17, 1)}))
        self.assertEqual(
            {name: tuple(pin) for name, pin in requests.rollbacks.items()},
            {
                "read": (
                    (3, 20),
                    "night shift",
                    "exchanges fail since 17.1",
                    1_750_003_601_500_000,
                    (33, 2),
                )
            },
        )
        self.assertEqual(encode_requests(requests.state()), STORE_CONTENT["records"]["wishes"])

    def test_new_version_continues_stored_log_with_rollback_active(self):
        """The log continues where bb80827 left it, with records that bb80827 can read."""
        store = self.open_store()
        planner = StubPlanner(store, epoch=0)
        self.assertEqual(
            planner.publisher.relay_versions.last_known,
            dict.fromkeys(["relay-0", "relay-1", "relay-2"], VersionNumber(33, 2)),
        )
        planner.publisher.become_leader(49)
        planner.change_table(3, "server 9 is back", h9=3.0)
        self.assertEqual(str(planner.publisher.newest_version()), "49.1")
        self.assertEqual(planner.published_weights()["3"], {"host-9": 3.0})
        self.assertEqual(
            planner.published_weights()["4"], {"host-4": 1.25, "host-5": 1.25, "host-6": 1.25}
        )  # of version 3.20, which the class is pinned to
        store.reopen()
        log = self.log(store)
        self.assertEqual(
            [tuple(number) for number in sorted(log.versions)], [*VERSION_NUMBERS, (49, 1)]
        )
        self.assertEqual(
            (log.newest, log.versions[VersionNumber(49, 1)].parent),
            (VersionNumber(49, 1), VersionNumber(33, 3)),
        )
        self.assertEqual(
            log.snapshot_of(VersionNumber(49, 1)), planner.publisher.version_log.snapshot
        )
        # It is stored in the form of the earlier versions, which older releases can read.
        written = store.values["version/000000000049.000000000001"]
        self.assertEqual(
            written.keys(), STORE_CONTENT["records"]["version/000000000033.000000000003"].keys()
        )
        self.assertEqual(
            (written["number"], written["parent"], written["author"]), ([49, 1], [33, 3], "")
        )
        self.assertEqual(
            encode_snapshot(log.snapshot_of(VersionNumber(3, 36))),
            STORE_CONTENT["versions"][35]["sheets"],
        )

    def test_relay_versions_are_stored_in_the_same_form(self):
        """New versions of relays are added to the stored ones."""
        store = self.open_store()
        planner = StubPlanner(store, epoch=49)
        planner.publisher.relay_versions.on_delivered(7, planner.publisher.newest_version())
        planner.time_us += 20_000_000
        planner.publisher.publish("turn")
        store.reopen()
        self.assertEqual(
            store.values["relays"],
            {
                **STORE_CONTENT["records"]["relays"],
                "relay-7": list(planner.publisher.newest_version()),
            },
        )

    def test_stored_rollback_can_be_released(self):
        """Releasing a stored rollback leaves the pinned versions unchanged."""
        store = self.open_store()
        planner = StubPlanner(store, epoch=49)
        self.assertEqual(planner.commands.release(["read"], "day shift", "mended"), "read released")
        store.reopen()
        self.assertEqual(
            store.values["wishes"], {"serial": [49, 1], "pins": [[3, 12], [17, 1]], "holds": {}}
        )


if __name__ == "__main__":
    unittest.main()
