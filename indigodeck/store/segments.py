"""The files of the log: their names, and the header at the start of each file.

A segment, `NNNNNNNN.log`, holds committed records; it is only ever appended to. A base file,
`NNNNNNNN.base`, holds a copy of all records that were live in the segments up to its number; until
it is complete, it is named `NNNNNNNN.new`. Each file starts with a magic number, the store's id,
and a header frame. The header frame has sequence number 0; its synced sequence number is the last
sequence number that precedes the file, or, in a base file, the last one that the base covers.
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
    """The kind of a log file, which is the suffix of its name."""

    SEGMENT = "log"
    BASE = "base"
    UNFINISHED_BASE = "new"


def file_name(number: int, file_type: FileType) -> str:
    """Return the name of a file of this type and number."""
    return f"{number:0{NUMBER_DIGITS}d}.{file_type}"


def numbered_files(names: Iterable[str], file_type: FileType) -> dict[int, str]:
    """Map file numbers to the names of the files of one type, in ascending order."""
    found = {
        int(name[:NUMBER_DIGITS]): name
        for name in names
        if name[NUMBER_DIGITS:] == f".{file_type}" and name[:NUMBER_DIGITS].isdigit()
    }
    return dict(sorted(found.items()))


def encode_header(store_id: bytes, name: str, synced_sequence: int) -> bytes:
    """Return the header of a file that follows `synced_sequence`."""
    salt = framing.frame_salt(store_id, name)
    return FILE_MAGIC + store_id + framing.encode_frame(salt, 0, synced_sequence, {})


def read_store_id(name: str, data: bytes) -> bytes | None:
    """Return the store's id from the header of a file, or None if the header is not complete.

    The id needs no further check: the header frame's checksum is salted with it.
    """
    if data[: len(FILE_MAGIC)] != FILE_MAGIC:
        return None
    store_id = data[len(FILE_MAGIC) : PREFIX_BYTES]
    salt = framing.frame_salt(store_id, name)
    return store_id if framing.decode_frame(salt, data, PREFIX_BYTES) else None


def scan_file(store_id: bytes, name: str, data: bytes) -> framing.ScannedFrames:
    """Find all complete frames of a file, and the byte ranges that belong to no frame."""
    scanned = framing.scan_frames(framing.frame_salt(store_id, name), data, PREFIX_BYTES)
    if data[:PREFIX_BYTES] != FILE_MAGIC + store_id:
        scanned.bad_ranges.insert(0, framing.ByteRange(0, min(PREFIX_BYTES, len(data))))
    return scanned
