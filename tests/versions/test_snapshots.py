"""Tests of snapshots of tables, and of the deltas between them."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.versions.codec import decode_delta, encode_delta
from indigodeck.versions.model import TableDelta
from indigodeck.versions.snapshots import (
    SnapshotMismatchError,
    apply_delta,
    line_count,
    snapshot_delta,
    table_snapshot,
)

from .support import SERVER_IDS

Weights = some.dictionaries(some.sampled_from(SERVER_IDS), some.floats(0.01, 5), max_size=8)
Snapshots = some.dictionaries(
    some.sampled_from(["0", "1", "2", "3"]),
    some.builds(
        table_snapshot,
        some.sampled_from(["read", "write"]),
        Weights,
        some.sampled_from([1.0, 0.5]),
        some.just(1),
    ),
    max_size=4,
)


class SnapshotDeltaTest(unittest.TestCase):
    """A delta is exact and short, and applies only to the tables that it was computed from."""

    @settings(max_examples=300, deadline=None)
    @given(Snapshots, Snapshots, Snapshots)
    def test_delta_applies_only_to_the_snapshot_it_was_made_from(self, old, new, other):
        """Applied to its base, a delta gives the new snapshot; applied to another, it fails."""
        delta = decode_delta(json.loads(json.dumps(encode_delta(snapshot_delta(old, new)))))
        self.assertEqual(apply_delta(old, delta), new)
        self.assertLessEqual(
            line_count(delta.values()), line_count(new.values()) + line_count(old.values()) + 8
        )
        for table, change in delta.items():
            if isinstance(change, TableDelta) and other.get(table) != old[table]:
                with self.assertRaises(SnapshotMismatchError):
                    apply_delta(other, delta)


if __name__ == "__main__":
    unittest.main()
