"""The record of granted leases on a disk: in the planner's store, or else in a file of its own.

The file is written whole to a new one, synced, and put in place of the old one. It is one line, the
CRC-32C in hex before JSON: a torn or flipped one is no record at all, and counts as a lost disk.
What relays rejected is kept in the same two ways.
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

    What was not decided is left out: programs from before there were memberships read that.
    """
    document: dict[str, Any] = {"serial": record.serial, "wards": record.epochs}
    if record.membership:
        document["fleet"] = record.membership
    if record.proposal:
        document["plan"] = record.proposal
    return document


def record_from_document(document: Any) -> LeaseRecord | None:
    """Return the record in plain values, or None if they are none."""
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
    """Return the bytes of a file that holds a record."""
    return _seal(json.dumps(record_to_document(record), sort_keys=True).encode())


def unpack_record(data: bytes) -> LeaseRecord | None:
    """Return the record in these bytes, or None if they are not one whole record."""
    body = _unseal(data)
    try:
        return None if body is None else record_from_document(json.loads(body))
    except ValueError:
        return None


def rejections_from_document(document: Any) -> list[Rejection]:
    """Return the rejections in plain values; none where any is malformed."""
    try:
        return [
            Rejection(str(relay), str(class_name), str(content))
            for relay, class_name, content in document
        ]
    except (ValueError, TypeError):
        return []


def pack_rejections(rejections: Iterable[Rejection]) -> bytes:
    """Return the bytes of a file that holds what relays rejected."""
    return _seal(json.dumps(rejections).encode())


def unpack_rejections(data: bytes) -> list[Rejection]:
    """Return the rejections as `pack_rejections` was given them; none where they are not whole."""
    body = _unseal(data)
    try:
        return [] if body is None else rejections_from_document(json.loads(body))
    except ValueError:
        return []


def _seal(body: bytes) -> bytes:
    return b"%08x %s\n" % (crc32c(body), body)


def _unseal(data: bytes) -> bytes | None:
    """Return what was sealed in these bytes, or None if that is not whole."""
    checksum, _, line = data.partition(b" ")
    body = line[:-1]
    is_whole = line.endswith(b"\n") and checksum == b"%08x" % crc32c(body)
    return body if is_whole else None


class RecordStore(Protocol[RecordT]):
    """Where one record is kept."""

    def read(self) -> RecordT | None:
        """Return the record, or None: lost, torn or never written."""

    def save(self, record: RecordT) -> bool:
        """Write the record; True once it would outlast a power cut, False if that failed."""


class RecordFile(Generic[RecordT]):
    """A file that holds one record, in the form of `pack` and `unpack`."""

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
        """Return the record, or None: lost, torn or never written."""
        try:
            return self._unpack(self._path.read_bytes())
        except OSError:
            return None

    def save(self, record: RecordT) -> bool:
        """Write the record; True once the file, its name and its folder's entry are synced."""
        written = self._path.with_name(self._path.name + ".new")
        try:
            with open(written, "wb") as file:
                file.write(self._pack(record))
                file.flush()
                os.fsync(file.fileno())
            os.replace(written, self._path)
            folder = os.open(self._path.parent, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
            return True
        except OSError:
            return False


class RecordWriter(Protocol):
    """What is needed of a planner's store (store.writer.StoreWriter)."""

    def put_and_wait(self, changes: list[tuple[str, Any]]) -> bool:
        """Write values by key and wait until they are synced; False if that failed."""


class StoredRecord(Generic[RecordT]):
    """A record under one key of a planner's store.

    `held` is what the store held at the start. `file` is where the record lay before there was a
    store; it is read if the store has none.
    """

    def __init__(
        self,
        store: RecordWriter,
        held: Mapping[str, Any],
        key: str,
        file: RecordFile[RecordT],
        to_document: Callable[[Any], Any] = record_to_document,
        from_document: Callable[[Any], Any] = record_from_document,
    ) -> None:
        self._store = store
        self._held = held
        self._key = key
        self._file = file
        self._to_document = to_document
        self._from_document = from_document

    def read(self) -> RecordT | None:
        """Return the record that the store held, or else that of the file."""
        document = self._held.get(self._key)
        return self._file.read() if document is None else self._from_document(document)

    def save(self, record: RecordT) -> bool:
        """Write the record; True once it would outlast a power cut."""
        return self._store.put_and_wait([(self._key, self._to_document(record))])
