"""The version log: numbers that are never used twice, chains of deltas, and what is kept."""

import json
import unittest

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.versions.codec import decode_snapshot, encode_snapshot
from indigodeck.versions.model import VersionNumber
from indigodeck.versions.snapshots import apply_delta, table_snapshot
from indigodeck.versions.version_log import CHAIN_LENGTH, DAY, VersionLog

from .support import StubStore, random_snapshot


class VersionLogTest(unittest.TestCase):
    """A log on a store that outlasts it."""

    def setUp(self):
        """Set up an empty store."""
        self.store = StubStore()
        self.random = SeededRandom(4)

    def started(self, epoch, **options):
        """Return a log on the store, as a start under an epoch opens it."""
        log = VersionLog(self.store, self.store.keys(), **options)
        log.start_epoch(epoch)
        return log

    def test_versions_are_restored_after_restarts(self):
        """200 versions over four restarts, each with the tables that it was published with."""
        published = {}
        log = self.started(1)
        for nth in range(200):
            changed = dict(list(random_snapshot(self.random).items())[: 1 + nth % 3])
            snapshot = {**log.snapshot, **changed}
            version = log.publish(snapshot, f"change {nth}")
            if version:
                published[version.number] = snapshot
            if nth % 50 == 49:
                log = self.started(nth)
        self.assertGreater(len(published), 150)
        self.assertEqual({number: log.snapshot_of(number) for number in published}, published)
        first = min(published)
        last = max(published)
        self.assertEqual(
            apply_delta(published[first], log.delta_between(first, last)), published[last]
        )
        chain_starts = sum(
            version.chain_start == version.number for version in log.versions.values()
        )
        self.assertLessEqual(len(published) / CHAIN_LENGTH, chain_starts)

    def test_restart_publishes_no_version_and_reuses_no_number(self):
        """The same snapshot is no new version; a lost record's number is not used again."""
        log = self.started(3)
        snapshot = random_snapshot(self.random)
        first = log.publish(snapshot, "a")
        again = self.started(4)
        same = decode_snapshot(json.loads(json.dumps(encode_snapshot(snapshot))))
        self.assertIsNone(again.publish(same, "the same after a restart"))
        second = again.publish(random_snapshot(self.random), "b")
        self.assertEqual(
            (str(first.number), str(second.number), second.parent), ("3.1", "4.1", first.number)
        )
        # What was published and whose record was lost is not published under its number again.
        self.store.drops_writes = True
        lost = again.publish(random_snapshot(self.random), "c")
        self.store.drops_writes = False
        later = self.started(5)
        self.assertEqual((str(lost.number), later.newest), ("4.2", second.number))
        self.assertEqual(str(later.publish(random_snapshot(self.random), "d").number), "5.1")
        with self.assertRaises(ValueError):
            VersionNumber.parse("17")
        self.assertEqual(VersionNumber.parse("17.3"), VersionNumber(17, 3))

    def test_no_version_is_published_without_an_epoch(self):
        """Without an epoch there is no version."""
        log = self.started(3)
        log.stop_epoch()
        self.assertIsNone(log.publish(random_snapshot(self.random), "a"))
        log.start_epoch(19)
        self.assertEqual(str(log.publish(random_snapshot(self.random), "b").number), "19.1")

    def test_versions_after_a_damaged_record_are_not_returned(self):
        """Versions after a damaged record are not given out, those before it are."""
        log = self.started(1)
        numbers = []
        for nth in range(20):
            snapshot = dict(log.snapshot or random_snapshot(self.random))
            weights = {**snapshot["0"].weights, f"host-{nth % 12}": 10 + nth}
            snapshot["0"] = table_snapshot("read", weights, 1.0, 1)
            numbers.append(log.publish(snapshot, "x").number)
        key = sorted(self.store.values)[10]
        self.store.values[key]["sheets"]["0"]["lines"] = {"host-1": 999.0}
        again = self.started(2)
        good = [again.snapshot_of(number) is not None for number in numbers]
        self.assertEqual(good, [nth < 10 for nth in range(len(numbers))])
        self.assertEqual(again.newest, numbers[9])

    def test_old_chains_are_pruned_by_count_and_age_unless_needed(self):
        """Whole chains go, oldest first; a needed version keeps its chain."""
        log = self.started(1, max_versions=100, max_age=DAY)
        for _ in range(400):
            self.store.wall_time_us += DAY // 200
            self.assertIsNotNone(log.publish(random_snapshot(self.random), "x"))
        needed = {min(log.versions)}
        dropped = log.prune(needed)
        self.assertTrue(100 <= len(log.versions) < 260, len(log.versions))
        self.assertFalse(needed & set(dropped))
        self.assertEqual(len(self.store.keys()), len(log.versions))
        self.assertTrue(all(log.snapshot_of(number) for number in log.versions))
        self.assertEqual(log.prune(needed), [])
        # Young ones too, where there are twice as many as wanted.
        log = self.started(2, max_versions=20, max_age=1000 * DAY)
        log.prune()
        self.assertLess(len(log.versions), 40 + 2 * CHAIN_LENGTH)


if __name__ == "__main__":
    unittest.main()
