"""The messages that replicate versions between controllers, and their fields on the wire.

Their kinds and the names of their fields on the wire are defined only here. `leadership.messages`
transports them, and checks that a message has the fields of its kind.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from . import codec
from .model import (
    RequestSerial,
    RequestState,
    Snapshot,
    SnapshotDelta,
    Version,
    VersionNumber,
)

Fields = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Announcement:
    """The leader's periodic announcement; `content_hash` is empty if there is no version."""

    newest: VersionNumber | None
    content_hash: str
    requests: RequestState


@dataclass(frozen=True, slots=True)
class VersionPublished:
    """The leader's next version, as the delta from its parent."""

    version: Version
    delta: SnapshotDelta


@dataclass(frozen=True, slots=True)
class RequestsState:
    """The operator requests that the sender knows."""

    requests: RequestState


@dataclass(frozen=True, slots=True)
class RequestsQuery:
    """A query for the receiver's operator requests."""


@dataclass(frozen=True, slots=True)
class RequestsAck:
    """An acknowledgement that the sender has stored the operator requests up to a serial."""

    serial: RequestSerial


@dataclass(frozen=True, slots=True)
class SnapshotQuery:
    """A query for the snapshot of a version that the sender lacks."""

    number: VersionNumber


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a version's snapshot; parts are numbered from 0."""

    version: Version
    part: int
    part_count: int
    tables: Snapshot


Message = (
    Announcement
    | VersionPublished
    | RequestsState
    | RequestsQuery
    | RequestsAck
    | SnapshotQuery
    | SnapshotPart
)


def encode(message: Message) -> tuple[str, Fields]:
    """Encode a message as its kind and its fields on the wire."""
    match message:
        case Announcement(newest, content_hash, requests):
            return "book", {
                "newest": list(newest) if newest else None,
                "content": content_hash,
                "wishes": codec.encode_requests(requests),
            }
        case VersionPublished(version, delta):
            return "version", {
                "entry": codec.encode_version(version),
                "changes": codec.encode_delta(delta),
            }
        case RequestsState(requests):
            return "wishes", {"wishes": codec.encode_requests(requests)}
        case RequestsQuery():
            return "ask wishes", {}
        case RequestsAck(serial):
            return "noted", {"serial": list(serial)}
        case SnapshotQuery(number):
            return "want", {"number": list(number)}
        case SnapshotPart():
            return "sheets", _encode_part(message)


def decode(kind: str, fields: Fields) -> Message:
    """Decode a message from its kind and its fields on the wire."""
    return _DECODERS[kind](fields)


def _encode_part(message: SnapshotPart) -> Fields:
    version = message.version
    return {
        "number": list(version.number),
        "part": message.part,
        "of": message.part_count,
        "sheets": codec.encode_snapshot(message.tables),
        "about": [version.published_at, version.cause, version.author, version.content_hash],
        "parent": version.parent and list(version.parent),
    }


def _decode_announcement(fields: Fields) -> Announcement:
    newest = fields["newest"]
    return Announcement(
        None if newest is None else VersionNumber(*newest),
        fields["content"],
        codec.decode_requests(fields["wishes"]),
    )


def _decode_version(fields: Fields) -> VersionPublished:
    return VersionPublished(
        codec.decode_version(fields["entry"]), codec.decode_delta(fields["changes"])
    )


def _decode_requests_state(fields: Fields) -> RequestsState:
    return RequestsState(codec.decode_requests(fields["wishes"]))


def _decode_requests_query(_fields: Fields) -> RequestsQuery:
    return RequestsQuery()


def _decode_requests_ack(fields: Fields) -> RequestsAck:
    return RequestsAck(RequestSerial(*fields["serial"]))


def _decode_snapshot_query(fields: Fields) -> SnapshotQuery:
    return SnapshotQuery(VersionNumber(*fields["number"]))


def _decode_part(fields: Fields) -> SnapshotPart:
    number = VersionNumber(*fields["number"])
    parent = fields["parent"] and VersionNumber(*fields["parent"])
    published_at, cause, author, content_hash = fields["about"]
    return SnapshotPart(
        Version(number, parent, published_at, cause, author, content_hash, number),
        fields["part"],
        fields["of"],
        codec.decode_snapshot(fields["sheets"]),
    )


_DECODERS: dict[str, Callable[[Fields], Message]] = {
    "book": _decode_announcement,
    "version": _decode_version,
    "wishes": _decode_requests_state,
    "ask wishes": _decode_requests_query,
    "noted": _decode_requests_ack,
    "want": _decode_snapshot_query,
    "sheets": _decode_part,
}
MESSAGE_KINDS = frozenset(_DECODERS)
