"""Replication of versions and operator requests among the controllers of one fleet, free of I/O.

A follower gets all that it needs to go on as leader. Messages may be lost, late, twice or out of
order; nothing here depends on one that came. Each version is sent as its delta to its parent, and
taken where that is the newest here. The leader announces now and then which version is the newest,
and what operators want; a follower that lacks one of them asks for it, and gets it in parts that
each fit a message. A snapshot is taken only complete, with the hash that was announced; versions
in between that were missed are missing from this history and no other.

An operator request is called kept once a majority has it, and a new leader asks all peers before it
trusts its own copy, so a request that was called kept is never forgotten.
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

MAX_PART_BYTES = 24 << 10  # of JSON: what a delta or one part of a snapshot may fill of a message
TABLE_OVERHEAD_BYTES = 8  # quotes and separators around a table's name in that JSON
ANNOUNCE_PERIOD = SECOND
QUERY_RETRY_DELAY = ANNOUNCE_PERIOD // 2
QUERY_RECORD_LIFETIME = 10 * ANNOUNCE_PERIOD
MAX_PARTS = 4096  # of one snapshot: what claims more is no answer of ours
MAX_INCOMPLETE_SNAPSHOTS = 4  # whose parts are kept at once

NO_REQUESTS = RequestSerial(0, 0)


class ReplicatorHost(Protocol):
    """What the replicator asks of the program around it."""

    def now(self) -> int:
        """Return the time on a clock that never goes back, in microseconds."""

    def call_later(self, after: int, call: Callable[[], None]) -> Any:
        """Call back after so many microseconds."""

    def send(self, member: str, kind: str, **fields: Any) -> None:
        """Send a message to another controller; it may be lost."""

    def peer_ids(self) -> list[str]:
        """Return the other controllers' ids."""

    def is_leader(self) -> bool:
        """Return whether this controller leads."""


class VersionReplicator:
    """Copies what one controller's publisher holds to its peers, and theirs to it."""

    def __init__(self, host: ReplicatorHost, publisher: TablePublisher):
        self._host = host
        self._publisher = publisher
        # Parts of snapshots that have not come complete, by part.
        self._parts: dict[VersionNumber, dict[int, Snapshot]] = {}
        # The serial of the operator requests that each peer is known to have stored.
        self._stored_serials: dict[str, RequestSerial] = {}
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
        """Send peers a version that was published here.

        A delta that does not fit a message is not sent: peers ask when the version is announced.
        """
        if len(json.dumps(codec.encode_delta(delta))) <= MAX_PART_BYTES:
            self._send_to_all(VersionPublished(version, delta))

    def send_requests(self, state: RequestState) -> None:
        """Send peers what operators want."""
        self._send_to_all(RequestsState(state))

    def request_peer_states(self) -> None:
        """Ask all peers what operators want, before the copy here counts for sure."""
        self._send_to_all(RequestsQuery())

    def replica_count(self, serial: RequestSerial) -> int:
        """Return how many controllers, this one included, have the requests up to a serial."""
        return 1 + sum(
            self._stored_serials.get(member, NO_REQUESTS) >= serial
            for member in self._host.peer_ids()
        )

    def controller_count(self) -> int:
        """Return how many controllers there are, this one included."""
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
            # One before it was missed: this one may still be had complete.
            self._query_snapshot(member, message.version.number)

    def _on_requests_state(self, member: str, message: RequestsState) -> None:
        """Answer with the serial that is stored here now, which may be a newer one."""
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
        # Else these are parts of two answers, perhaps: it is asked for again when it is announced.
        if snapshot_hash(snapshot) == message.version.content_hash:
            self._publisher.on_peer_version(message.version, snapshot)

    def _adopt_requests(self, member: str, state: RequestState) -> None:
        if self._publisher.on_peer_requests(state):
            self._query_pinned_snapshots(member)

    def _query_pinned_snapshots(self, member: str) -> None:
        for pin in self._publisher.requests.rollbacks.values():
            self._query_snapshot(member, pin.version)

    def _query_snapshot(self, member: str, number: VersionNumber) -> None:
        """Ask a peer for a version that is not here, unless it was asked for a moment ago."""
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
    """Yield the tables in parts that each fit a message; one part where there are none."""
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
