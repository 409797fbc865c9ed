"""Durable records of granted leases and of rejected tables, in the planner's store or in a file.

A file is replaced atomically: the new content is written to a second file, synced, and renamed over
the old one. It holds one line, the CRC-32C in hex followed by JSON. A file that is torn or has
flipped bits is treated like a lost disk.
"""

import json
import os
import pathlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, Protocol, TypeVar

from crc32c import crc32c

from .rejections import Rejection
from .state import KnownEpoch, LeaseRecord, Membership, Proposal

RecordT = TypeVar("RecordT")


def record_to_document(record: LeaseRecord) -> dict[str, Any]:
    """Return a record as plain values.

    The membership and the proposal are left out if they are None, so that versions of the program
    that know no memberships can read the document.
    """
    document: dict[str, Any] = {"serial": record.serial, "wards": record.epochs}
    if record.membership:
        document["fleet"] = record.membership
    if record.proposal:
        document["plan"] = record.proposal
    return document


def record_from_document(document: Any) -> LeaseRecord | None:
    """Return the record in these plain values, or None if they are malformed."""
    try:
        membership = document.get("fleet")
        proposal = document.get("plan")
        return LeaseRecord(
            serial=int(document["serial"]),
            epochs={
                str(group): KnownEpoch(int(epoch), holder)
                for group, (epoch, holder) in document["wards"].items()
            },
            membership=membership and Membership(int(membership[0]), dict(membership[1])),
            proposal=proposal and Proposal(int(proposal[0]), int(proposal[1]), dict(proposal[2])),
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def pack_record(record: LeaseRecord) -> bytes:
    """Return a record as the bytes of a file."""
    return _add_checksum(json.dumps(record_to_document(record), sort_keys=True).encode())


def unpack_record(data: bytes) -> LeaseRecord | None:
    """Return the record in these bytes, or None if they are incomplete or damaged."""
    body = _strip_checksum(data)
    try:
        return None if body is None else record_from_document(json.loads(body))
    except ValueError:
        return None


def rejections_from_document(document: Any) -> list[Rejection]:
    """Return the rejections in these plain values; an empty list if any is malformed."""
    try:
        return [
            Rejection(str(relay), str(class_name), str(content))
            for relay, class_name, content in document
        ]
    except (ValueError, TypeError):
        return []


def pack_rejections(rejections: Iterable[Rejection]) -> bytes:
    """Return rejections as the bytes of a file."""
    return _add_checksum(json.dumps(rejections).encode())


def unpack_rejections(data: bytes) -> list[Rejection]:
    """Return the rejections in these bytes; an empty list if they are incomplete or damaged."""
    body = _strip_checksum(data)
    try:
        return [] if body is None else rejections_from_document(json.loads(body))
    except ValueError:
        return []


def _add_checksum(body: bytes) -> bytes:
    return b"%08x %s\n" % (crc32c(body), body)


def _strip_checksum(data: bytes) -> bytes | None:
    """Return the body without its checksum, or None if it is incomplete or damaged."""
    checksum, _, line = data.partition(b" ")
    body = line[:-1]
    is_valid = line.endswith(b"\n") and checksum == b"%08x" % crc32c(body)
    return body if is_valid else None


class RecordStore(Protocol[RecordT]):
    """Durable storage of one record."""

    def read(self) -> RecordT | None:
        """Return the record, or None if it is lost, damaged or was never written."""

    def save(self, record: RecordT) -> bool:
        """Write the record; return True once it would survive a power cut, False on failure."""


class RecordFile(Generic[RecordT]):
    """A file that holds one record, encoded by `pack` and decoded by `unpack`."""

    def __init__(
        self,
        path: str | os.PathLike[str],
        pack: Callable[[Any], bytes] = pack_record,
        unpack: Callable[[bytes], Any] = unpack_record,
    ) -> None:
        self._path = pathlib.Path(path)
        self._pack = pack
        self._unpack = unpack

    def read(self) -> RecordT | None:
        """Return the record, or None if it is lost, damaged or was never written."""
        try:
            return self._unpack(self._path.read_bytes())
        except OSError:
            return None

    def save(self, record: RecordT) -> bool:
        """Write the record; return True once file and directory are synced, False on failure."""
        new_path = self._path.with_name(self._path.name + ".new")
        try:
            with open(new_path, "wb") as file:
                file.write(self._pack(record))
                file.flush()
                os.fsync(file.fileno())
            os.replace(new_path, self._path)
            folder = os.open(self._path.parent, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
            return True
        except OSError:
            return False


class RecordWriter(Protocol):
    """The part of the planner's store that records use (store.writer.StoreWriter)."""

    def put_and_wait(self, changes: list[tuple[str, Any]]) -> bool:
        """Write values by key and wait until they are synced; return False on failure."""


class StoredRecord(Generic[RecordT]):
    """A record under one key of the planner's store.

    `stored_documents` is the content of the store at startup. `file` may hold the record of an
    installation that had no store; it is read if the store has no record.
    """

    def __init__(
        self,
        store: RecordWriter,
        stored_documents: Mapping[str, Any],
        key: str,
        file: RecordFile[RecordT],
        to_document: Callable[[Any], Any] = record_to_document,
        from_document: Callable[[Any], Any] = record_from_document,
    ) -> None:
        self._store = store
        self._stored_documents = stored_documents
        self._key = key
        self._file = file
        self._to_document = to_document
        self._from_document = from_document

    def read(self) -> RecordT | None:
        """Return the record in the store at startup, or else the one in the file."""
        document = self._stored_documents.get(self._key)
        return self._file.read() if document is None else self._from_document(document)

    def save(self, record: RecordT) -> bool:
        """Write the record; return True once it would survive a power cut, False on failure."""
        return self._store.put_and_wait([(self._key, self._to_document(record))])
