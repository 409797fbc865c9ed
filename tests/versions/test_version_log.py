"""Tests of the version log: unique numbers, chains of deltas, and pruning."""

import json
import unittest

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.versions.codec import decode_snapshot, encode_snapshot
from indigodeck.versions.model import VersionNumber
from indigodeck.versions.snapshots import apply_delta, table_snapshot
from indigodeck.versions.version_log import CHAIN_LENGTH, DAY, VersionLog

from .support import StubStore, random_snapshot


class VersionLogTest(unittest.TestCase):
    """A version log on a store that survives restarts."""

    def setUp(self):
        """Set up an empty store."""
        self.store = StubStore()
        self.random = SeededRandom(4)

    def open_log(self, epoch, **options):
        """Open a log on the store, and start an epoch."""
        log = VersionLog(self.store, self.store.keys(), **options)
        log.start_epoch(epoch)
        return log

    def test_versions_are_restored_after_restarts(self):
        """About 200 versions are published over four restarts; each keeps its tables."""
        published = {}
        log = self.open_log(1)
        for index in range(200):
            changed = dict(list(random_snapshot(self.random).items())[: 1 + index % 3])
            snapshot = {**log.snapshot, **changed}
            version = log.publish(snapshot, f"change {index}")
            if version:
                published[version.number] = snapshot
            if index % 50 == 49:
                log = self.open_log(index)
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
        """An unchanged snapshot gets no version; the number of a lost record is not reused."""
        log = self.open_log(3)
        snapshot = random_snapshot(self.random)
        first = log.publish(snapshot, "a")
        restarted = self.open_log(4)
        same = decode_snapshot(json.loads(json.dumps(encode_snapshot(snapshot))))
        self.assertIsNone(restarted.publish(same, "the same after a restart"))
        second = restarted.publish(random_snapshot(self.random), "b")
        self.assertEqual(
            (str(first.number), str(second.number), second.parent), ("3.1", "4.1", first.number)
        )
        # The number of a version that was published but whose record was lost is not reused.
        self.store.drops_writes = True
        lost = restarted.publish(random_snapshot(self.random), "c")
        self.store.drops_writes = False
        later = self.open_log(5)
        self.assertEqual((str(lost.number), later.newest), ("4.2", second.number))
        self.assertEqual(str(later.publish(random_snapshot(self.random), "d").number), "5.1")
        with self.assertRaises(ValueError):
            VersionNumber.parse("17")
        self.assertEqual(VersionNumber.parse("17.3"), VersionNumber(17, 3))

    def test_no_version_is_published_without_an_epoch(self):
        """Without an epoch, `publish` returns no version; a new epoch ends that."""
        log = self.open_log(3)
        log.stop_epoch()
        self.assertIsNone(log.publish(random_snapshot(self.random), "a"))
        log.start_epoch(19)
        self.assertEqual(str(log.publish(random_snapshot(self.random), "b").number), "19.1")

    def test_versions_after_a_damaged_record_are_not_returned(self):
        """Versions of a chain are returned up to a damaged record, and not after it."""
        log = self.open_log(1)
        numbers = []
        for index in range(20):
            snapshot = dict(log.snapshot or random_snapshot(self.random))
            weights = {**snapshot["0"].weights, f"host-{index % 12}": 10 + index}
            snapshot["0"] = table_snapshot("read", weights, 1.0, 1)
            numbers.append(log.publish(snapshot, "x").number)
        key = sorted(self.store.values)[10]
        self.store.values[key]["sheets"]["0"]["lines"] = {"host-1": 999.0}
        restarted = self.open_log(2)
        available = [restarted.snapshot_of(number) is not None for number in numbers]
        self.assertEqual(available, [index < 10 for index in range(len(numbers))])
        self.assertEqual(restarted.newest, numbers[9])

    def test_old_chains_are_pruned_by_count_and_age_unless_needed(self):
        """Complete chains are dropped, oldest first, except those with a needed version."""
        log = self.open_log(1, max_versions=100, max_age=DAY)
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
        # Recent versions are pruned too if there are more than twice `max_versions`.
        log = self.open_log(2, max_versions=20, max_age=1000 * DAY)
        log.prune()
        self.assertLess(len(log.versions), 40 + 2 * CHAIN_LENGTH)


if __name__ == "__main__":
    unittest.main()
