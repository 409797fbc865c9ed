"""The table publisher of one planner, without I/O: it publishes tables as numbered versions.

The host calls `publish` after each call into the assigner, once its orders are applied. The tables
after rollback pins become a new version if they differ from the last one.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from ..clock import SECOND
from . import codec
from .model import (
    AssignedTable,
    RequestState,
    Snapshot,
    SnapshotDelta,
    TableSnapshot,
    Version,
    VersionNumber,
)
from .operator_requests import OperatorRequests
from .relay_versions import RelayVersions, RelayVersionsHost
from .rollback_pins import RollbackPins, RollbackPinsHost, Weights
from .snapshots import table_snapshot
from .version_log import VersionLog, VersionLogStore

SAVE_RELAYS_PERIOD = 10 * SECOND
PRUNE_PERIOD = 60 * SECOND
# For this long after a start or takeover, tables that no relay is assigned to yet stay published:
# their relays may still be connecting.
TABLE_RETENTION = 60 * SECOND
MAX_CAUSES = 20  # texts that make up the cause of one version
MAX_LOGGED_CAUSE_LENGTH = 200  # characters


class PublisherHost(VersionLogStore, RelayVersionsHost, RollbackPinsHost, Protocol):
    """The environment of a publisher and its components.

    Servers and proxies are identified by indices.
    """

    def now(self) -> int:
        """Return the time of a monotonic clock, in microseconds."""

    def keys(self, prefix: str) -> list[str]:
        """Return the keys in the store that start with a prefix."""

    def assigned_tables(self) -> dict[int, AssignedTable]:
        """Return the current state of all the assigner's tables."""

    def server_id(self, server: int) -> str:
        """Return the deployment's own id of a server."""

    def server_index(self, server_id: str) -> int | None:
        """Return the index of a server, or None if it was never listed here."""

    def ejected_servers(self) -> frozenset[int]:
        """Return the servers that no relay may use, whatever its tables say."""

    def resume_tables(self, tables: dict[int, list[int]]) -> None:
        """Let the assigner continue with the servers of each table as last published."""

    def on_version_published(self, version: Version, delta: SnapshotDelta) -> None:
        """Handle a new version, and its delta from its parent."""

    def on_requests_changed(self, state: RequestState) -> None:
        """Handle a change of the operator requests that was made on this controller."""

    def log(self, event: str, **fields: object) -> None:
        """Write a log event."""


class _CachedTable(NamedTuple):
    """A table snapshot and its inputs; it is rebuilt when one of them changes."""

    revision: int
    ejected: frozenset[int]
    pinned_weights: Weights | None
    snapshot: TableSnapshot


class TablePublisher:
    """Publishes the assigned or pinned tables as versions while this planner leads.

    Parameters
    ----------
    host
        The environment of the publisher.
    class_names
        The names of the traffic classes, by class index.
    max_versions, max_age
        The limits of the `VersionLog`.
    """

    def __init__(
        self, host: PublisherHost, class_names: Sequence[str], max_versions: int, max_age: int
    ):
        stored_requests = host.load(codec.REQUESTS_KEY)
        self.class_names = class_names
        self.version_log = VersionLog(host, host.keys(codec.VERSION_PREFIX), max_versions, max_age)
        self.requests = OperatorRequests(
            codec.decode_requests(stored_requests) if stored_requests else None
        )
        self.rollback_pins = RollbackPins(host)
        self.relay_versions = RelayVersions(host)
        self.epoch: int | None = None  # None while this planner does not lead
        self.assigned_tables: dict[int, AssignedTable] = {}
        self.retain_tables_until = host.now()
        self._host = host
        self._table_cache: dict[int, _CachedTable] = {}
        self._causes: list[str] = []
        # The author and the description of the operator request that is being carried out.
        self._author = ""
        self._request_text = ""
        self._force_publish = False
        self._relays_saved_at = host.now()
        self._pruned_at = host.now()
        self.apply_rollback_pins()

    @property
    def is_leader(self) -> bool:
        """Whether this planner may publish versions and accept operator requests."""
        return self.epoch is not None

    def become_leader(self, epoch: int, after_other_leader: bool = False) -> None:
        """Publish versions under this epoch from now on.

        `after_other_leader` means that another controller led before, and that its last versions
        may not have been replicated here. The next tables are then published as a new version even
        if they equal the last known ones, because a relay that holds an unknown version must get a
        newer one.
        """
        self._force_publish = self._force_publish or after_other_leader
        self.epoch = epoch if self.epoch is None else max(epoch, self.epoch)
        self.version_log.start_epoch(self.epoch)
        self._causes.append(f"in charge under epoch {epoch}")
        self.retain_tables_until = self._host.now() + TABLE_RETENTION
        self.resume_tables()

    def resume_tables(self) -> None:
        """Continue with the tables published last, by this controller or its predecessor."""
        snapshot = self.version_log.snapshot
        if snapshot:
            self._host.resume_tables(
                {
                    int(name): self._listed_server_indices(table.weights)
                    for name, table in snapshot.items()
                }
            )

    def lose_leadership(self) -> None:
        """Stop publishing versions."""
        self.epoch = None
        self.version_log.stop_epoch()
        self.relay_versions.clear()

    def add_cause(self, text: str) -> None:
        """Add a cause, as the assigner logs it, to the next version."""
        if len(self._causes) < MAX_CAUSES:
            self._causes.append(text)

    def publish(self, event: str) -> None:
        """Publish the current tables after the assigner handled an event."""
        self.assigned_tables = self._host.assigned_tables()
        self.rollback_pins.update(self.assigned_tables)
        if self.epoch is None:
            self._causes = []
            return
        snapshot = self._current_snapshot()
        if not snapshot:
            return  # no relay is assigned to a table yet, and no table was ever published
        self._publish_snapshot(snapshot, event)
        # A rollback or release may take several versions. Each of them has the operator as author.
        if self._author and self.rollback_pins.has_pending_tables(self.assigned_tables):
            self._causes = [f"on the way: {self._request_text}"]
        else:
            self._author = ""
            self._causes = []
        self._force_publish = False
        self._run_maintenance()

    def publish_for_operator(self, author: str, text: str) -> None:
        """Publish the result of an operator request as a new version, even if no table changes."""
        self._author = author
        self._request_text = text
        self._force_publish = True
        self._causes = [text]
        self.apply_rollback_pins()
        self.save_requests()
        self.publish("an operator's word")

    def newest_version(self) -> VersionNumber | None:
        """Return the version that a message built now brings a relay to; None if there is none."""
        return self.version_log.newest if self.is_leader else None

    def apply_rollback_pins(self) -> None:
        """Pin the classes that operators have rolled back, and unpin all others."""
        for class_index, name in enumerate(self.class_names):
            pin = self.requests.rollbacks.get(name)
            if pin is None:
                self.rollback_pins.unpin(class_index)
            else:
                self.rollback_pins.pin(class_index, self._old_tables(pin.version, name))

    def save_requests(self) -> None:
        """Store the operator requests, and send them to peers."""
        state = self.requests.state()
        self._host.save([(codec.REQUESTS_KEY, codec.encode_requests(state))])
        self._host.on_requests_changed(state)

    def on_peer_requests(self, state: RequestState) -> bool:
        """Adopt a peer's operator requests if they are newer; return whether they were."""
        if not self.requests.replace_if_newer(state):
            return False
        self._host.save([(codec.REQUESTS_KEY, codec.encode_requests(state))])
        self.apply_rollback_pins()
        return True

    def on_peer_version(self, version: Version, snapshot: Snapshot) -> None:
        """Add a peer's version, received as a snapshot, and apply it if a class is pinned to it."""
        self.version_log.insert_from_peer(version, snapshot)
        if any(pin.version == version.number for pin in self.requests.rollbacks.values()):
            self.apply_rollback_pins()
            self.publish("a version that is held")

    def _current_snapshot(self) -> Snapshot:
        ejected = self._host.ejected_servers()
        snapshot = {
            str(table): self._table_snapshot(table, assigned, ejected)
            for table, assigned in self.assigned_tables.items()
        }
        if self._host.now() >= self.retain_tables_until:
            return snapshot
        retained = {
            name: table
            for name, table in self.version_log.snapshot.items()
            if table.class_name in self.class_names
        }
        return {**retained, **snapshot}

    def _table_snapshot(
        self, table: int, assigned: AssignedTable, ejected: frozenset[int]
    ) -> TableSnapshot:
        pinned_weights = self.rollback_pins.published_weights.get(table)
        cached = self._table_cache.get(table)
        if cached is not None and cached[:3] == (assigned.revision, ejected, pinned_weights):
            return cached.snapshot
        weights = assigned.weights if pinned_weights is None else pinned_weights
        snapshot = table_snapshot(
            self.class_names[assigned.class_index],
            {
                self._host.server_id(server): weight
                for server, weight in weights.items()
                if server not in ejected
            },
            assigned.admitted_share,
            assigned.retry_policy,
        )
        self._table_cache[table] = _CachedTable(
            assigned.revision, ejected, pinned_weights, snapshot
        )
        return snapshot

    def _publish_snapshot(self, snapshot: Snapshot, event: str) -> None:
        before = self.version_log.table_hashes
        version = self.version_log.publish(
            snapshot, "; ".join(self._causes) or event, self._author, self._force_publish
        )
        if version is None:
            return
        after = self.version_log.table_hashes
        self.relay_versions.on_published(
            version.number,
            [
                table
                for table in before.keys() | after.keys()
                if before.get(table) != after.get(table)
            ],
        )
        self._host.on_version_published(version, self.version_log.last_delta)
        self._host.log(
            "version_published",
            version=str(version.number),
            cause=version.cause[:MAX_LOGGED_CAUSE_LENGTH],
        )

    def _run_maintenance(self) -> None:
        now = self._host.now()
        if now - self._relays_saved_at >= SAVE_RELAYS_PERIOD:
            self._relays_saved_at = now
            self.relay_versions.save()
        if now - self._pruned_at >= PRUNE_PERIOD:
            self._pruned_at = now
            self.version_log.prune(
                self.requests.needed_versions() | self.relay_versions.held_versions()
            )

    def _old_tables(self, number: VersionNumber, class_name: str) -> dict[int, Weights]:
        """Return the weights of one class's tables in a version, with servers as indices."""
        snapshot = self.version_log.snapshot_of(number) or {}
        return {
            int(name): self._weights_by_index(table.weights)
            for name, table in snapshot.items()
            if table.class_name == class_name
        }

    def _weights_by_index(self, weights: Mapping[str, float]) -> Weights:
        by_index: dict[int, float] = {}
        for position, (server_id, weight) in enumerate(weights.items()):
            server = self._host.server_index(server_id)
            # A server that was never listed here gets a unique negative index. Its weight then
            # counts as weight that is no longer available.
            by_index[-1 - position if server is None else server] = weight
        return by_index

    def _listed_server_indices(self, server_ids: Iterable[str]) -> list[int]:
        indices = (self._host.server_index(server_id) for server_id in server_ids)
        return [server for server in indices if server is not None]
