"""Snapshots of all published tables: how they are made, hashed, compared, and changed by deltas.

Pure functions, free of I/O. A delta of a table names the hash of the table that it was made from,
and is applied to no other.
"""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import xxhash

from ..errors import IndigodeckError
from .codec import encode_table
from .model import Snapshot, SnapshotDelta, TableDelta, TableSnapshot

WEIGHT_DIGITS = 6  # decimal places of a weight: more would say nothing that a relay can be told


class SnapshotMismatchError(IndigodeckError):
    """A delta that was made from another table than the one at hand; the message names it."""


def table_snapshot(
    class_name: str, weights: Mapping[str, float], admitted_share: float, retry_policy: int
) -> TableSnapshot:
    """Return a table, servers sorted and figures rounded, so that equal ones hash alike."""
    return TableSnapshot(
        class_name,
        {server: round(weight, WEIGHT_DIGITS) for server, weight in sorted(weights.items())},
        round(admitted_share, WEIGHT_DIGITS),
        retry_policy,
    )


def table_hash(table: TableSnapshot) -> str:
    """Return 16 hexadecimal digits that stand for a table."""
    return _hash(encode_table(table))


def combined_hash(table_hashes: Mapping[str, str]) -> str:
    """Return a snapshot's hash from its tables' hashes, so that only changed tables are read."""
    return _hash(table_hashes)


def snapshot_hash(snapshot: Snapshot) -> str:
    """Return the hash of a whole snapshot."""
    return combined_hash({name: table_hash(table) for name, table in snapshot.items()})


def snapshot_delta(old: Snapshot, new: Snapshot) -> SnapshotDelta:
    """Return what turns the snapshot `old` into `new`, by table."""
    return {
        name: _table_delta(old.get(name), new.get(name))
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    }


def apply_delta(old: Snapshot, delta: SnapshotDelta) -> Snapshot:
    """Return the snapshot that a delta makes of `old`, which stays as it is.

    Raises
    ------
    SnapshotMismatchError
        If a table's delta was made from another table than the one in `old`.
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
    """Return how many lines a delta or snapshot takes to tell, with a head for each table."""
    return sum(1 + len(change.weights) if change else 1 for change in changes)


def _table_delta(
    old: TableSnapshot | None, new: TableSnapshot | None
) -> TableSnapshot | TableDelta | None:
    """Return what turns the table `old` into `new`: a delta where that is shorter."""
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
        raise SnapshotMismatchError(f"table {name} is not the one that was changed")
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
