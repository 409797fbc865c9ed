"""Replication of versions and operator requests between the controllers of one fleet, without I/O.

A follower receives everything that it needs to continue as leader. Messages may be lost, delayed,
duplicated or reordered, and no single message is relied upon. Each version is sent as the delta
from its parent, and a follower appends it if that parent is its newest version. The leader
periodically announces its newest version and the operator requests. A follower that lacks the
newest version, or one that a class is pinned to, asks for it and receives its snapshot in parts
that each fit in a message. It accepts a snapshot only if it is complete and has the version's hash.
Versions in between that a follower missed are missing from its own history only.

An operator request is committed once a majority of the controllers has stored it. A new leader asks
all peers for their operator requests before it relies on its own copy, so that a committed request
is never lost.
"""

import json
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from ..clock import SECOND
from . import codec
from .model import RequestSerial, RequestState, Snapshot, SnapshotDelta, Version, VersionNumber
from .publisher import TablePublisher
from .replication_messages import (
    Announcement,
    Message,
    RequestsAck,
    RequestsQuery,
    RequestsState,
    SnapshotPart,
    SnapshotQuery,
    VersionPublished,
    decode,
    encode,
)
from .snapshots import snapshot_hash

MAX_PART_BYTES = 24 << 10  # of JSON for a delta or one part of a snapshot in a message
TABLE_OVERHEAD_BYTES = 8  # JSON quotes and separators around a table's name
ANNOUNCE_PERIOD = SECOND
QUERY_RETRY_DELAY = ANNOUNCE_PERIOD // 2
QUERY_RECORD_LIFETIME = 10 * ANNOUNCE_PERIOD
MAX_PARTS = 4096  # of one snapshot; messages that claim more parts are ignored
MAX_INCOMPLETE_SNAPSHOTS = 4  # whose parts are buffered at the same time

NO_REQUESTS = RequestSerial(0, 0)


class ReplicatorHost(Protocol):
    """The environment of a replicator."""

    def now(self) -> int:
        """Return the time of a monotonic clock, in microseconds."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> Any:
        """Invoke a callback after this many microseconds."""

    def send(self, member: str, kind: str, **fields: Any) -> None:
        """Send a message to another controller; it may be lost."""

    def peer_ids(self) -> list[str]:
        """Return the ids of the other controllers."""

    def is_leader(self) -> bool:
        """Return whether this controller leads."""


class VersionReplicator:
    """Replicates versions and operator requests between a controller's publisher and its peers."""

    def __init__(self, host: ReplicatorHost, publisher: TablePublisher):
        self._host = host
        self._publisher = publisher
        # The received parts of incomplete snapshots, by version and part number.
        self._parts: dict[VersionNumber, dict[int, Snapshot]] = {}
        # The serial up to which each peer is known to have stored operator requests.
        self._stored_serials: dict[str, RequestSerial] = {}
        # When the snapshot of a version was last queried.
        self._queried_at: dict[VersionNumber, int] = {}
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            Announcement: self._on_announcement,
            VersionPublished: self._on_version_published,
            RequestsState: self._on_requests_state,
            RequestsQuery: self._on_requests_query,
            RequestsAck: self._on_requests_ack,
            SnapshotQuery: self._on_snapshot_query,
            SnapshotPart: self._on_snapshot_part,
        }
        host.call_later(ANNOUNCE_PERIOD, self._announce)

    def send_version(self, version: Version, delta: SnapshotDelta) -> None:
        """Send a version that was published here to all peers.

        If the delta does not fit in a message, nothing is sent: peers query the snapshot when the
        version is announced.
        """
        if len(json.dumps(codec.encode_delta(delta))) <= MAX_PART_BYTES:
            self._send_to_all(VersionPublished(version, delta))

    def send_requests(self, state: RequestState) -> None:
        """Send the operator requests to all peers."""
        self._send_to_all(RequestsState(state))

    def request_peer_states(self) -> None:
        """Ask all peers for their operator requests before the copy here is relied upon."""
        self._send_to_all(RequestsQuery())

    def replica_count(self, serial: RequestSerial) -> int:
        """Return how many controllers, including this one, have the requests up to a serial."""
        return 1 + sum(
            self._stored_serials.get(member, NO_REQUESTS) >= serial
            for member in self._host.peer_ids()
        )

    def controller_count(self) -> int:
        """Return the number of controllers, including this one."""
        return 1 + len(self._host.peer_ids())

    def on_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Handle a peer's message of one of `replication_messages.MESSAGE_KINDS`."""
        message = decode(kind, fields)
        self._handlers[type(message)](member, message)

    def _announce(self) -> None:
        self._host.call_later(ANNOUNCE_PERIOD, self._announce)
        if self._host.is_leader():
            newest = self._publisher.newest_version()
            content_hash = self._publisher.version_log.content_hash() if newest else ""
            self._send_to_all(Announcement(newest, content_hash, self._publisher.requests.state()))

    def _on_announcement(self, member: str, message: Announcement) -> None:
        self._adopt_requests(member, message.requests)
        self._send(member, RequestsAck(self._publisher.requests.serial))
        self._query_pinned_snapshots(member)
        if message.newest is not None and not self._host.is_leader():
            own = self._publisher.version_log.newest
            if own is None or own < message.newest:
                self._query_snapshot(member, message.newest)

    def _on_version_published(self, member: str, message: VersionPublished) -> None:
        if self._host.is_leader():
            return
        if not self._publisher.version_log.append_from_peer(message.version, message.delta):
            # An earlier version was missed, so query the complete snapshot of this one.
            self._query_snapshot(member, message.version.number)

    def _on_requests_state(self, member: str, message: RequestsState) -> None:
        """Answer with the serial that is stored here now, which may be newer than the message's."""
        self._adopt_requests(member, message.requests)
        self._send(member, RequestsAck(self._publisher.requests.serial))

    def _on_requests_query(self, member: str, _message: RequestsQuery) -> None:
        self._send(member, RequestsState(self._publisher.requests.state()))

    def _on_requests_ack(self, member: str, message: RequestsAck) -> None:
        known = self._stored_serials.get(member, NO_REQUESTS)
        self._stored_serials[member] = max(message.serial, known)

    def _on_snapshot_query(self, member: str, message: SnapshotQuery) -> None:
        snapshot = self._publisher.version_log.snapshot_of(message.number)
        if snapshot is None:
            return
        version = self._publisher.version_log.versions[message.number]
        parts = list(_split(snapshot))
        for position, tables in enumerate(parts):
            self._send(member, SnapshotPart(version, position, len(parts), tables))

    def _on_snapshot_part(self, _member: str, message: SnapshotPart) -> None:
        number = message.version.number
        if (
            number not in self._queried_at
            or number in self._publisher.version_log.versions
            or not 0 <= message.part < message.part_count <= MAX_PARTS
        ):
            return
        parts = self._parts.setdefault(number, {})
        parts[message.part] = message.tables
        while len(self._parts) > MAX_INCOMPLETE_SNAPSHOTS:
            del self._parts[next(iter(self._parts))]
        if len(parts) < message.part_count:
            return
        del self._parts[number]
        snapshot = {name: table for part in parts.values() for name, table in part.items()}
        # On a mismatch, the parts may be from different answers: the version is queried again when
        # it is announced.
        if snapshot_hash(snapshot) == message.version.content_hash:
            self._publisher.on_peer_version(message.version, snapshot)

    def _adopt_requests(self, member: str, state: RequestState) -> None:
        if self._publisher.on_peer_requests(state):
            self._query_pinned_snapshots(member)

    def _query_pinned_snapshots(self, member: str) -> None:
        for pin in self._publisher.requests.rollbacks.values():
            self._query_snapshot(member, pin.version)

    def _query_snapshot(self, member: str, number: VersionNumber) -> None:
        """Query a missing version's snapshot from a peer, unless it was queried a moment ago."""
        if number in self._publisher.version_log.versions:
            return
        now = self._host.now()
        queried_at = self._queried_at.get(number)
        if queried_at is not None and now - queried_at < QUERY_RETRY_DELAY:
            return
        self._queried_at = {
            other: at for other, at in self._queried_at.items() if now - at < QUERY_RECORD_LIFETIME
        }
        self._queried_at[number] = now
        self._send(member, SnapshotQuery(number))

    def _send(self, member: str, message: Message) -> None:
        kind, fields = encode(message)
        self._host.send(member, kind, **fields)

    def _send_to_all(self, message: Message) -> None:
        for member in self._host.peer_ids():
            self._send(member, message)


def _split(snapshot: Snapshot) -> Iterator[Snapshot]:
    """Yield the tables in parts that each fit in a message; one empty part if there are none."""
    part: Snapshot = {}
    size = 0
    for name, table in sorted(snapshot.items()):
        cost = len(json.dumps(codec.encode_table(table))) + len(name) + TABLE_OVERHEAD_BYTES
        if part and size + cost > MAX_PART_BYTES:
            yield part
            part = {}
            size = 0
        part[name] = table
        size += cost
    yield part
