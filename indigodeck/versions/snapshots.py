"""Functions that build, hash, compare, and apply deltas to snapshots of the published tables.

They are pure and do no I/O. The delta of a table contains the hash of the table that it was
computed from, and is not applied to any other.
"""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import xxhash

from ..errors import IndigodeckError
from .codec import encode_table
from .model import Snapshot, SnapshotDelta, TableDelta, TableSnapshot

WEIGHT_DIGITS = 6  # decimal places of a weight; relays cannot be sent a higher precision


class SnapshotMismatchError(IndigodeckError):
    """A delta does not match the table that it is applied to; the message names the table."""


def table_snapshot(
    class_name: str, weights: Mapping[str, float], admitted_share: float, retry_policy: int
) -> TableSnapshot:
    """Return a table with sorted servers and rounded numbers, so that equal tables hash equally."""
    return TableSnapshot(
        class_name,
        {server: round(weight, WEIGHT_DIGITS) for server, weight in sorted(weights.items())},
        round(admitted_share, WEIGHT_DIGITS),
        retry_policy,
    )


def table_hash(table: TableSnapshot) -> str:
    """Return the hash of a table as 16 hexadecimal digits."""
    return _hash(encode_table(table))


def combined_hash(table_hashes: Mapping[str, str]) -> str:
    """Return a snapshot's hash, given its tables' hashes: unchanged tables are not hashed again."""
    return _hash(table_hashes)


def snapshot_hash(snapshot: Snapshot) -> str:
    """Return the hash of a snapshot, computed from all its tables."""
    return combined_hash({name: table_hash(table) for name, table in snapshot.items()})


def snapshot_delta(old: Snapshot, new: Snapshot) -> SnapshotDelta:
    """Return the delta from the snapshot `old` to `new`."""
    return {
        name: _table_delta(old.get(name), new.get(name))
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    }


def apply_delta(old: Snapshot, delta: SnapshotDelta) -> Snapshot:
    """Return the result of applying a delta to `old`, which is not modified.

    Raises
    ------
    SnapshotMismatchError
        If a table's delta was computed from a table other than the one in `old`.
    """
    new = dict(old)
    for name, change in delta.items():
        if change is None:
            new.pop(name, None)
        elif isinstance(change, TableSnapshot):
            new[name] = change
        else:
            new[name] = _apply_table_delta(name, old.get(name), change)
    return new


def line_count(changes: Iterable[TableSnapshot | TableDelta | None]) -> int:
    """Return the size of a delta or snapshot in lines, counting one header line for each table."""
    return sum(1 + len(change.weights) if change else 1 for change in changes)


def _table_delta(
    old: TableSnapshot | None, new: TableSnapshot | None
) -> TableSnapshot | TableDelta | None:
    """Return the change from the table `old` to `new`: a delta if it is shorter than `new`."""
    if new is None or old is None or old.class_name != new.class_name:
        return new
    weights: dict[str, float | None] = {
        server: weight
        for server, weight in new.weights.items()
        if old.weights.get(server) != weight
    }
    weights.update((server, None) for server in old.weights if server not in new.weights)
    if len(weights) >= len(new.weights):
        return new
    return TableDelta(table_hash(old), weights, new.admitted_share, new.retry_policy)


def _apply_table_delta(name: str, old: TableSnapshot | None, delta: TableDelta) -> TableSnapshot:
    if old is None or table_hash(old) != delta.base_hash:
        raise SnapshotMismatchError(f"table {name} is not the one that its delta was computed from")
    weights = {**old.weights, **delta.weights}
    return TableSnapshot(
        old.class_name,
        {server: weight for server in sorted(weights) if (weight := weights[server]) is not None},
        delta.admitted_share,
        delta.retry_policy,
    )


def _hash(document: Any) -> str:
    return xxhash.xxh3_64_hexdigest(
        json.dumps(document, sort_keys=True, separators=(",", ":")).encode()
    )
