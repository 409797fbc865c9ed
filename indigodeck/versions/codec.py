"""The JSON forms in which versions and operator requests are stored, hashed, and sent to peers.

The keys and words of these forms are older than the names in the program and are translated here
only. Their order counts: records are compared and hashed as bytes.
"""

from collections.abc import Mapping
from typing import Any

from .model import (
    RequestSerial,
    RequestState,
    RollbackPin,
    Snapshot,
    SnapshotDelta,
    TableDelta,
    TableSnapshot,
    Version,
    VersionNumber,
)

Document = dict[str, Any]

# Keys in the store.
VERSION_PREFIX = "version/"
REQUESTS_KEY = "wishes"
RELAYS_KEY = "relays"


def version_key(number: VersionNumber) -> str:
    """Return the key of a version's record; keys sort as numbers do."""
    return f"{VERSION_PREFIX}{number.epoch:012d}.{number.serial:012d}"


def encode_table(table: TableSnapshot) -> Document:
    """Return the JSON form of a table, over which its hash is taken."""
    return {
        "class": table.class_name,
        "lines": table.weights,
        "level": [table.admitted_share, table.retry_policy],
    }


def decode_table(document: Document) -> TableSnapshot:
    """Return the table in its JSON form."""
    return TableSnapshot(document["class"], document["lines"], *document["level"])


def encode_snapshot(snapshot: Snapshot) -> Document:
    """Return the JSON form of all tables of a version."""
    return {name: encode_table(table) for name, table in snapshot.items()}


def decode_snapshot(document: Document) -> Snapshot:
    """Return the tables in their JSON form."""
    return {name: decode_table(table) for name, table in document.items()}


def encode_delta(delta: Mapping[str, TableSnapshot | TableDelta | None]) -> Document:
    """Return the JSON form of what turns one snapshot into another."""
    return {name: _encode_change(change) for name, change in delta.items()}


def decode_delta(document: Document) -> SnapshotDelta:
    """Return the delta in its JSON form."""
    return {name: _decode_change(change) for name, change in document.items()}


def encode_version(version: Version) -> Document:
    """Return the JSON form of a version without its chain, as peers are told of it."""
    return {
        "number": list(version.number),
        "parent": version.parent and list(version.parent),
        "at": version.published_at,
        "cause": version.cause,
        "author": version.author,
        "content": version.content_hash,
    }


def decode_version(document: Document) -> Version:
    """Return a version that a peer tells of; until it is logged here it starts its own chain."""
    number = VersionNumber(*document["number"])
    return Version(
        number,
        document["parent"] and VersionNumber(*document["parent"]),
        document["at"],
        document["cause"],
        document["author"],
        document["content"],
        VersionNumber(*document["first"]) if "first" in document else number,
    )


def encode_record(version: Version, content: Document) -> Document:
    """Return a version's record in the store; `content` is the form of its delta or snapshot."""
    return {
        **encode_version(version),
        "first": list(version.chain_start),
        "sheets": content,
    }


def decode_record(document: Document) -> tuple[Version, Document]:
    """Return the version in a record of the store, and the form of its delta or snapshot."""
    return decode_version(document), document["sheets"]


def encode_requests(state: RequestState) -> Document:
    """Return the JSON form of what operators want."""
    return {
        "serial": list(state.serial),
        "pins": [list(number) for number in sorted(state.pinned_versions)],
        "holds": {
            class_name: [
                list(pin.version),
                pin.author,
                pin.reason,
                pin.requested_at,
                list(pin.serial),
            ]
            for class_name, pin in sorted(state.rollbacks.items())
        },
    }


def decode_requests(document: Document) -> RequestState:
    """Return what operators want from its JSON form."""
    return RequestState(
        RequestSerial(*document["serial"]),
        {
            class_name: RollbackPin(
                VersionNumber(*number), author, reason, requested_at, RequestSerial(*serial)
            )
            for class_name, (number, author, reason, requested_at, serial) in document[
                "holds"
            ].items()
        },
        frozenset(VersionNumber(*number) for number in document["pins"]),
    )


def encode_relay_versions(versions: Mapping[str, VersionNumber]) -> Document:
    """Return the JSON form of the versions that relays hold."""
    return {relay: list(number) for relay, number in versions.items()}


def decode_relay_versions(document: Document | None) -> dict[str, VersionNumber]:
    """Return the versions that relays held when they were stored, if any were."""
    return {relay: VersionNumber(*number) for relay, number in (document or {}).items()}


def _encode_change(change: TableSnapshot | TableDelta | None) -> Document | None:
    if change is None:
        return None
    if isinstance(change, TableSnapshot):
        return encode_table(change)
    return {
        "of": change.base_hash,
        "lines": change.weights,
        "level": [change.admitted_share, change.retry_policy],
    }


def _decode_change(document: Document | None) -> TableSnapshot | TableDelta | None:
    if document is None:
        return None
    if "of" not in document:
        return decode_table(document)
    return TableDelta(document["of"], document["lines"], *document["level"])
