"""The log of published versions, without I/O: numbering, records, and pruning.

A version number is EPOCH.SERIAL. The epoch is the one that the controller leads under. A planner
without peers uses the count of its starts as its epoch; it stores each start before it publishes
anything. No epoch is used twice, so no version number is, even if a version was sent to relays and
its record was lost: the versions after it have a higher epoch. Until a planner without peers has
stored its start, it has no epoch, and the tables that it publishes get no version number.

A version is stored as the delta from its parent, or as a complete snapshot: every `CHAIN_LENGTH`
versions, and whenever the delta would be no shorter. A snapshot starts a new chain. Pruning drops
complete chains, oldest first, and skips those with a version that a relay holds, that a class is
rolled back to, or that is pinned.
"""

import json
from collections.abc import Iterable, Set
from typing import Any, Protocol

from ..clock import SECOND
from . import codec
from .model import Snapshot, SnapshotDelta, Version, VersionNumber
from .snapshots import (
    SnapshotMismatchError,
    apply_delta,
    combined_hash,
    line_count,
    snapshot_delta,
    snapshot_hash,
    table_hash,
)

CHAIN_LENGTH = 32  # versions in one chain, which limits the deltas to apply to restore a version
MAX_CAUSE_LENGTH = 1000  # characters of a cause that are kept
DAY = 86_400 * SECOND
DEFAULT_MAX_VERSIONS = 2000
DEFAULT_MAX_AGE = 7 * DAY


class VersionLogStore(Protocol):
    """The store and the clock of a version log."""

    def wall_clock(self) -> int:
        """Return the microseconds since 1970."""

    def save(self, changes: list[tuple[str, Any]]) -> None:
        """Store values by key, soon and all or none of them; None removes a key."""

    def load(self, key: str) -> Any:
        """Return the value stored under a key, or None."""


class VersionLog:
    """The retained versions, and the snapshot that was published last.

    Invariants: `newest` is the number of the last version, `snapshot` its tables, and
    `table_hashes` their hashes. Each version is in exactly one chain, that of its `chain_start`,
    and chains are ordered by version number.

    Parameters
    ----------
    store
        Where versions are stored.
    keys
        The keys of the versions in the store.
    max_versions
        At least this many versions are kept, regardless of their age.
    max_age
        The age in microseconds up to which twice `max_versions` are kept.
    """

    def __init__(
        self,
        store: VersionLogStore,
        keys: Iterable[str] = (),
        max_versions: int = DEFAULT_MAX_VERSIONS,
        max_age: int = DEFAULT_MAX_AGE,
    ):
        self.versions: dict[VersionNumber, Version] = {}
        self.newest: VersionNumber | None = None
        self.snapshot: Snapshot = {}
        self.table_hashes: dict[str, str] = {}
        # The change from the newest version's parent to the newest version.
        self.last_delta: SnapshotDelta = {}
        # The encoded delta or snapshot of each version is kept in memory as well, so that a disk
        # that hangs does not delay a rollback.
        self.records: dict[VersionNumber, bytes] = {}
        self._store = store
        self._max_versions = max_versions
        self._max_age = max_age
        self._chains: dict[VersionNumber, list[VersionNumber]] = {}
        self._epoch: int | None = None
        self._serial = 0
        self._load(keys)

    def start_epoch(self, epoch: int) -> None:
        """Assign version numbers under this epoch from now on."""
        if self._epoch is not None and epoch <= self._epoch:
            return
        last = self.newest
        self._epoch = epoch
        self._serial = last.serial if last is not None and last.epoch >= epoch else 0
        if last is not None and last.epoch > epoch:
            # The last version is of a relay group that another controller leads now; numbering
            # continues after it nevertheless.
            self._epoch = last.epoch

    def stop_epoch(self) -> None:
        """Stop assigning version numbers until another epoch is started."""
        self._epoch = None

    def content_hash(self) -> str:
        """Return the hash of the snapshot that was published last."""
        return combined_hash(self.table_hashes)

    def publish(
        self, snapshot: Snapshot, cause: str, author: str = "", force: bool = False
    ) -> Version | None:
        """Add the snapshot that is published now to the log.

        Return its version if it differs from the last snapshot, or if `force` is set. Return None
        if there is no new version, or while no epoch is started.
        """
        hashes = {
            name: self.table_hashes[name] if self.snapshot.get(name) is table else table_hash(table)
            for name, table in snapshot.items()
        }
        if self._epoch is None or (hashes == self.table_hashes and not force):
            return None
        before = self.snapshot
        self.snapshot = snapshot
        self.table_hashes = hashes
        self._serial += 1
        number = VersionNumber(self._epoch, self._serial)
        version = Version(
            number,
            self.newest,
            self._store.wall_clock(),
            cause[:MAX_CAUSE_LENGTH],
            author,
            combined_hash(hashes),
            number,
        )
        return self._append(version, before)

    def append_from_peer(self, version: Version, delta: SnapshotDelta) -> bool:
        """Add another controller's next version; return whether it applies to the newest here."""
        if version.parent != self.newest:
            return False
        try:
            snapshot = apply_delta(self.snapshot, delta)
        except SnapshotMismatchError:
            return False
        if snapshot_hash(snapshot) != version.content_hash:
            return False
        before = self.snapshot
        self._set_snapshot(snapshot)
        self._append(version, before)
        return True

    def insert_from_peer(self, version: Version, snapshot: Snapshot) -> None:
        """Add another controller's version as a complete snapshot.

        It can be rolled back to. If it is the newest, later versions can be appended to it.
        """
        if version.number in self.versions:
            return
        version = version._replace(chain_start=version.number)
        newest = self.newest
        content = codec.encode_snapshot(snapshot)
        self._add(version, content)
        if newest is None or version.number > newest:
            self._set_snapshot(snapshot)
        else:
            self.newest = newest
        self._save(version, content)

    def snapshot_of(self, number: VersionNumber) -> Snapshot | None:
        """Return the tables of a version, checked by its hash; None if missing or damaged."""
        version = self.versions.get(number)
        if version is None:
            return None
        if number == self.newest and self.snapshot and self.content_hash() == version.content_hash:
            return dict(self.snapshot)
        snapshot: Snapshot = {}
        try:
            for link in [link for link in self._chains[version.chain_start] if link <= number]:
                record = json.loads(self.records[link])
                if link == version.chain_start:
                    snapshot = codec.decode_snapshot(record)
                else:
                    snapshot = apply_delta(snapshot, codec.decode_delta(record))
        except SnapshotMismatchError:
            return None
        return snapshot if snapshot_hash(snapshot) == version.content_hash else None

    def delta_between(self, old: VersionNumber, new: VersionNumber) -> SnapshotDelta | None:
        """Return the delta from one version to another; None if either is missing or damaged."""
        before = self.snapshot_of(old)
        after = self.snapshot_of(new)
        return None if before is None or after is None else snapshot_delta(before, after)

    def prune(self, needed: Set[VersionNumber] = frozenset()) -> list[VersionNumber]:
        """Drop the oldest chains that exceed the limits; return the numbers of their versions.

        A chain with a version in `needed` is not dropped.
        """
        now = self._store.wall_clock()
        dropped: list[VersionNumber] = []
        for chain_start in sorted(self._chains)[:-1]:
            chain = self._chains[chain_start]
            remaining = len(self.versions) - len(dropped)
            youngest = max(self.versions[number].published_at for number in chain)
            is_old = now - youngest > self._max_age
            if remaining - len(chain) < self._max_versions * (1 if is_old else 2):
                break
            if not needed & set(chain):
                dropped += chain
        if dropped:
            self._discard(dropped)
            self._store.save([(codec.version_key(number), None) for number in dropped])
        return dropped

    def _load(self, keys: Iterable[str]) -> None:
        for key in sorted(keys):
            record = self._store.load(key)
            if record is not None:
                self._add(*codec.decode_record(record))
        # The next snapshot is compared with the last published one, so that a restart without a
        # change publishes no version.
        while self.newest is not None:
            snapshot = self.snapshot_of(self.newest)
            if snapshot is not None:
                self._set_snapshot(snapshot)
                return
            self._discard([self.newest])  # its chain is incomplete or damaged
            self.newest = max(self.versions, default=None)

    def _set_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.table_hashes = {name: table_hash(table) for name, table in snapshot.items()}

    def _append(self, version: Version, before: Snapshot) -> Version:
        """Add the newest version, with `self.snapshot`, as a delta if that is shorter."""
        parent = None if version.parent is None else self.versions.get(version.parent)
        delta = snapshot_delta(before, self.snapshot)
        if (
            parent is not None
            and len(self._chains[parent.chain_start]) < CHAIN_LENGTH
            and line_count(delta.values()) < line_count(self.snapshot.values())
        ):
            version = version._replace(chain_start=parent.chain_start)
            content = codec.encode_delta(delta)
        else:
            version = version._replace(chain_start=version.number)
            content = codec.encode_snapshot(self.snapshot)
        self._add(version, content)
        self._save(version, content)
        self.last_delta = delta
        return version

    def _add(self, version: Version, content: codec.Document) -> None:
        self.versions[version.number] = version
        self.records[version.number] = json.dumps(content, separators=(",", ":")).encode()
        self._chains.setdefault(version.chain_start, []).append(version.number)
        self.newest = version.number

    def _save(self, version: Version, content: codec.Document) -> None:
        record = codec.encode_record(version, content)
        self._store.save([(codec.version_key(version.number), record)])

    def _discard(self, numbers: Iterable[VersionNumber]) -> None:
        for number in numbers:
            chain_start = self.versions.pop(number).chain_start
            del self.records[number]
            self._chains[chain_start].remove(number)
            if not self._chains[chain_start]:
                del self._chains[chain_start]
