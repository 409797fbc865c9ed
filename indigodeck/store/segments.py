"""The files of the log: their names, and the head that each of them begins with.

A segment, `NNNNNNNN.log`, holds commits; it is appended to and never changed. A base,
`NNNNNNNN.base`, holds what was live in all segments up to its number, and is written under the
name `NNNNNNNN.new`. Each file begins with a mark, the store's identity, and a head frame, which has
sequence number 0 and whose synced sequence number says which one the file follows.
"""

from collections.abc import Iterable
from enum import StrEnum

from . import framing
from .files import STORE_ID_BYTES

FILE_MAGIC = b"indigo 1"
PREFIX_BYTES = len(FILE_MAGIC) + STORE_ID_BYTES  # before the first frame
HEADER_BYTES = PREFIX_BYTES + framing.FRAME_HEADER.size + len(framing.pack_value({}))
NUMBER_DIGITS = 8


class FileType(StrEnum):
    """The suffix of a file's name."""

    SEGMENT = "log"
    BASE = "base"
    UNFINISHED_BASE = "new"


def file_name(number: int, file_type: FileType) -> str:
    """Return the name of the file with a number."""
    return f"{number:0{NUMBER_DIGITS}d}.{file_type}"


def numbered_files(names: Iterable[str], file_type: FileType) -> dict[int, str]:
    """Return the names of the files of one type under their numbers, in order."""
    found = {
        int(name[:NUMBER_DIGITS]): name
        for name in names
        if name[NUMBER_DIGITS:] == f".{file_type}" and name[:NUMBER_DIGITS].isdigit()
    }
    return dict(sorted(found.items()))


def encode_header(store_id: bytes, name: str, synced_sequence: int) -> bytes:
    """Return the bytes that a file begins with, if it follows a sequence number."""
    salt = framing.frame_salt(store_id, name)
    return FILE_MAGIC + store_id + framing.encode_frame(salt, 0, synced_sequence, {})


def read_store_id(name: str, data: bytes) -> bytes | None:
    """Return the store's identity if the head of a file is complete.

    A head vouches for itself, as its checksum is salted with the identity that it states.
    """
    if data[: len(FILE_MAGIC)] != FILE_MAGIC:
        return None
    store_id = data[len(FILE_MAGIC) : PREFIX_BYTES]
    salt = framing.frame_salt(store_id, name)
    return store_id if framing.decode_frame(salt, data, PREFIX_BYTES) else None


def scan_file(store_id: bytes, name: str, data: bytes) -> framing.ScannedFrames:
    """Find all complete frames of a file, and the ranges of bytes that are none."""
    scanned = framing.scan_frames(framing.frame_salt(store_id, name), data, PREFIX_BYTES)
    if data[:PREFIX_BYTES] != FILE_MAGIC + store_id:
        scanned.bad_ranges.insert(0, framing.ByteRange(0, min(PREFIX_BYTES, len(data))))
    return scanned
