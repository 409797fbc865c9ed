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
    """Versions, rollbacks and relays' versions in the store that bb80827 wrote."""

    def log(self, store):
        """Return the version log of a store."""
        return VersionLog(store, store.keys())

    def test_numbers_causes_authors_and_times_are_those_that_were_published(self):
        """All versions are found, with what is known of them."""
        log = self.log(self.open_store())
        self.assertEqual([tuple(one) for one in sorted(log.versions)], VERSION_NUMBERS)
        self.assertEqual(log.newest, VersionNumber(33, 3))
        found = [
            {
                "number": list(one.number),
                "parent": one.parent and list(one.parent),
                "at": one.published_at,
                "cause": one.cause,
                "author": one.author,
                "content": one.content_hash,
                "first": list(one.chain_start),
            }
            for _, one in sorted(log.versions.items())
        ]
        self.assertEqual(
            found,
            [
                {name: value for name, value in one.items() if name != "sheets"}
                for one in STORE_CONTENT["versions"]
            ],
        )
        some = {
            str(number): (one.published_at - FIRST_PUBLISHED_AT, one.author, one.cause)
            for number, one in log.versions.items()
        }
        self.assertEqual(some["3.1"], (0, "", "in charge under epoch 3"))
        self.assertEqual(some["3.36"], (9_000_000, "", "server 11 changes its weight"))
        self.assertEqual(some["17.2"], (3_600_500_000, "", "server 4 leaves classes [1]: failing"))
        self.assertEqual(
            some["33.1"],
            (3_601_500_000, "night shift", "rollback of read to 3.20: exchanges fail since 17.1"),
        )
        self.assertEqual({str(one.chain_start) for one in log.versions.values()}, {"3.1", "3.33"})
        self.assertEqual(
            (log.versions[VersionNumber(3, 1)].parent, log.versions[VersionNumber(17, 1)].parent),
            (None, VersionNumber(3, 36)),
        )

    def test_the_snapshot_of_each_version_are_those_that_were_published(self):
        """Each version's tables are those that were published then."""
        log = self.log(self.open_store())
        for one in STORE_CONTENT["versions"]:
            with self.subTest(number=one["number"]):
                snapshot = log.snapshot_of(VersionNumber(*one["number"]))
                self.assertEqual(encode_snapshot(snapshot), one["sheets"])
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

    def test_the_rollback_and_the_pinned_versions_are_kept(self):
        """Operator requests are read, and written in the same form."""
        requests = OperatorRequests(decode_requests(self.open_store().held["wishes"]))
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

    def test_a_new_version_follows_under_a_higher_epoch_while_the_rollback_goes_on(self):
        """The log goes on where the old program left it, in records that it can read."""
        store = self.open_store()
        planner = StubPlanner(store, epoch=0)
        self.assertEqual(
            planner.publisher.relay_versions.remembered,
            dict.fromkeys(["relay-0", "relay-1", "relay-2"], VersionNumber(33, 2)),
        )
        planner.publisher.become_leader(49)
        planner.change(3, "server 9 is back", h9=3.0)
        self.assertEqual(str(planner.publisher.newest()), "49.1")
        self.assertEqual(planner.published()["3"], {"host-9": 3.0})
        self.assertEqual(
            planner.published()["4"], {"host-4": 1.25, "host-5": 1.25, "host-6": 1.25}
        )  # of 3.20, pinned
        store.reopen()
        log = self.log(store)
        self.assertEqual([tuple(one) for one in sorted(log.versions)], [*VERSION_NUMBERS, (49, 1)])
        self.assertEqual(
            (log.newest, log.versions[VersionNumber(49, 1)].parent),
            (VersionNumber(49, 1), VersionNumber(33, 3)),
        )
        self.assertEqual(
            log.snapshot_of(VersionNumber(49, 1)), planner.publisher.version_log.snapshot
        )
        # It is stored in the form of the ones before, which older programs read.
        written = store.held["version/000000000049.000000000001"]
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

    def test_what_relays_hold_is_kept_in_the_same_form(self):
        """Versions of relays are added to those that were stored."""
        store = self.open_store()
        planner = StubPlanner(store, epoch=49)
        planner.publisher.relay_versions.on_taken(7, planner.publisher.newest())
        planner.clock += 20_000_000
        planner.publisher.publish("turn")
        store.reopen()
        self.assertEqual(
            store.held["relays"],
            {**STORE_CONTENT["records"]["relays"], "relay-7": list(planner.publisher.newest())},
        )

    def test_the_rollback_can_be_released(self):
        """A stored rollback is released, and the pinned versions stay."""
        store = self.open_store()
        planner = StubPlanner(store, epoch=49)
        self.assertEqual(planner.commands.release(["read"], "day shift", "mended"), "read released")
        store.reopen()
        self.assertEqual(
            store.held["wishes"], {"serial": [49, 1], "pins": [[3, 12], [17, 1]], "holds": {}}
        )


if __name__ == "__main__":
    unittest.main()
