"""The JSON encoding of versions and operator requests, as stored, hashed, and sent to peers.

The keys of this encoding are older than the names in the code and are translated only in this
module. Their order must not change: records are compared and hashed as bytes.
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

# Keys and key prefixes in the store.
VERSION_PREFIX = "version/"
REQUESTS_KEY = "wishes"
RELAYS_KEY = "relays"


def version_key(number: VersionNumber) -> str:
    """Return the store key of a version's record; keys sort in the order of version numbers."""
    return f"{VERSION_PREFIX}{number.epoch:012d}.{number.serial:012d}"


def encode_table(table: TableSnapshot) -> Document:
    """Encode a table as JSON; the hash of a table is computed over this form."""
    return {
        "class": table.class_name,
        "lines": table.weights,
        "level": [table.admitted_share, table.retry_policy],
    }


def decode_table(document: Document) -> TableSnapshot:
    """Decode a table."""
    return TableSnapshot(document["class"], document["lines"], *document["level"])


def encode_snapshot(snapshot: Snapshot) -> Document:
    """Encode all tables of a version as JSON."""
    return {name: encode_table(table) for name, table in snapshot.items()}


def decode_snapshot(document: Document) -> Snapshot:
    """Decode the tables of a version."""
    return {name: decode_table(table) for name, table in document.items()}


def encode_delta(delta: Mapping[str, TableSnapshot | TableDelta | None]) -> Document:
    """Encode a delta between two snapshots as JSON."""
    return {name: _encode_change(change) for name, change in delta.items()}


def decode_delta(document: Document) -> SnapshotDelta:
    """Decode a delta between two snapshots."""
    return {name: _decode_change(change) for name, change in document.items()}


def encode_version(version: Version) -> Document:
    """Encode a version's metadata, without `chain_start`, in the form sent to peers."""
    return {
        "number": list(version.number),
        "parent": version.parent and list(version.parent),
        "at": version.published_at,
        "cause": version.cause,
        "author": version.author,
        "content": version.content_hash,
    }


def decode_version(document: Document) -> Version:
    """Decode a version's metadata.

    Metadata from a peer has no `chain_start`: the version starts its own chain until it is added to
    the local version log.
    """
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
    """Encode a version's record in the store; `content` is its encoded delta or snapshot."""
    return {
        **encode_version(version),
        "first": list(version.chain_start),
        "sheets": content,
    }


def decode_record(document: Document) -> tuple[Version, Document]:
    """Return the version in a record of the store, and its encoded delta or snapshot."""
    return decode_version(document), document["sheets"]


def encode_requests(state: RequestState) -> Document:
    """Encode the active operator requests as JSON."""
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
    """Decode the active operator requests."""
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
    """Encode the versions that relays hold, by relay id, as JSON."""
    return {relay: list(number) for relay, number in versions.items()}


def decode_relay_versions(document: Document | None) -> dict[str, VersionNumber]:
    """Decode the versions that relays hold, by relay id; empty if none were stored."""
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
