"""Record framing: values as bytes that are numbered, checksummed, and compressed where that pays.

A frame is a magic (4 bytes), the length of its body, a CRC-32C (RFC 3720, B.4) over salt, length,
numbers and body, its sequence number, the highest sequence number that was synced when it was
written, and the body: one byte for its form, then MessagePack, either plain or compressed with
Zstandard (RFC 8878). The salt is the store's identity and the file's name, so that bytes of
another file, of another store or from within a value never pass for a frame of this file.

`synced_sequence` tells apart two file ends that look alike. If a later frame says that a bad frame
was synced, then it has been damaged. If none does, it was never acknowledged, and it may be torn or
missing without harm.

No I/O.
"""

import struct
from enum import IntEnum
from typing import Any, NamedTuple

import msgpack
import zstandard
from crc32c import crc32c

from ..errors import IndigodeckError

FRAME_MAGIC = b"\xc5\x1d\xec\x0d"
# magic, length of the body, checksum, sequence number, synced sequence number
FRAME_HEADER = struct.Struct("<4sIIQQ")
CHECKSUMMED_FIELDS = struct.Struct("<IQQ")  # length, sequence number, synced sequence number
MAX_BODY_BYTES = 16 << 20
MAX_UNPACKED_BYTES = 8 * MAX_BODY_BYTES  # guards against a body that expands without bound
MIN_BYTES_TO_COMPRESS = 256  # shorter bodies gain nothing from compression
MAX_COMPRESSED_RATIO = 0.9  # of the plain length; compression that saves less is not used
COMPRESSION_LEVEL = 3


class BodyEncoding(IntEnum):
    """The first byte of a body: how the rest of it is encoded."""

    PLAIN = 1
    COMPRESSED = 2


_PLAIN_PREFIX = bytes([BodyEncoding.PLAIN])
_COMPRESSED_PREFIX = bytes([BodyEncoding.COMPRESSED])


class UnreadableRecordError(IndigodeckError):
    """A complete frame whose body this program does not understand: a newer program wrote it."""


class Frame(NamedTuple):
    """A frame as found in a file: its first offset, the offset after it, and its packed body."""

    start: int
    end: int
    sequence: int
    synced_sequence: int
    body: bytes


class ByteRange(NamedTuple):
    """The bytes of a file from offset `start` up to offset `end`, exclusive."""

    start: int
    end: int


class ScannedFrames(NamedTuple):
    """The complete frames of a file in order, and the ranges of bytes that are none."""

    frames: list[Frame]
    bad_ranges: list[ByteRange]


def frame_salt(store_id: bytes, file_name: str) -> bytes:
    """Return what the checksums of a file are salted with.

    `file_name` is the name under which the file counts, also while it is written under another.
    """
    return store_id + file_name.encode()


def pack_value(value: Any) -> bytes:
    """Return the body of a frame that holds a value."""
    data = msgpack.packb(value, use_bin_type=True)
    if len(data) >= MIN_BYTES_TO_COMPRESS:
        compressed = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(data)
        if len(compressed) < len(data) * MAX_COMPRESSED_RATIO:
            return _COMPRESSED_PREFIX + compressed
    return _PLAIN_PREFIX + data


def unpack_value(body: bytes) -> Any:
    """Return the value in the body of a complete frame.

    Raises `UnreadableRecordError` if the body is of a form that this program does not know.
    """
    encoding = body[0]
    try:
        if encoding == BodyEncoding.COMPRESSED:
            data = zstandard.ZstdDecompressor().decompress(
                body[1:], max_output_size=MAX_UNPACKED_BYTES
            )
            return msgpack.unpackb(data, strict_map_key=False)
        if encoding == BodyEncoding.PLAIN:
            return msgpack.unpackb(body[1:], strict_map_key=False)
    except (ValueError, msgpack.UnpackException, zstandard.ZstdError) as error:
        raise UnreadableRecordError(f"a body that can't be unpacked: {error}") from error
    raise UnreadableRecordError(f"body form {encoding}: written by a newer program")


def encode_frame(salt: bytes, sequence: int, synced_sequence: int, value: Any) -> bytes:
    """Return the bytes of one frame; raises ValueError if the value is too long."""
    body = pack_value(value)
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a record of {len(body)} bytes, {MAX_BODY_BYTES} at most")
    checksum = frame_checksum(salt, sequence, synced_sequence, body)
    return FRAME_HEADER.pack(FRAME_MAGIC, len(body), checksum, sequence, synced_sequence) + body


def decode_frame(salt: bytes, data: bytes, offset: int = 0) -> Frame | None:
    """Return the complete frame that begins at an offset of `data`, or None."""
    if len(data) - offset < FRAME_HEADER.size:
        return None
    magic, length, checksum, sequence, synced_sequence = FRAME_HEADER.unpack_from(data, offset)
    end = offset + FRAME_HEADER.size + length
    if magic != FRAME_MAGIC or not 0 < length <= MAX_BODY_BYTES or end > len(data):
        return None
    body = bytes(data[offset + FRAME_HEADER.size : end])
    if checksum != frame_checksum(salt, sequence, synced_sequence, body):
        return None
    return Frame(offset, end, sequence, synced_sequence, body)


def scan_frames(salt: bytes, data: bytes, offset: int) -> ScannedFrames:
    """Find all complete frames of a file from an offset on."""
    frames: list[Frame] = []
    bad_ranges: list[ByteRange] = []
    while offset < len(data):
        frame = decode_frame(salt, data, offset)
        if frame is not None:
            frames.append(frame)
            offset = frame.end
            continue
        next_offset = _next_frame_offset(salt, data, offset + 1)
        bad_ranges.append(ByteRange(offset, next_offset))
        offset = next_offset
    return ScannedFrames(frames, bad_ranges)


def _next_frame_offset(salt: bytes, data: bytes, offset: int) -> int:
    """Return where the next complete frame begins, or the length of `data`."""
    while (offset := data.find(FRAME_MAGIC, offset)) >= 0:
        if decode_frame(salt, data, offset) is not None:
            return offset
        offset += 1
    return len(data)


def frame_checksum(salt: bytes, sequence: int, synced_sequence: int, body: bytes) -> int:
    """Return the CRC-32C that stands in the head of a frame."""
    numbers = CHECKSUMMED_FIELDS.pack(len(body), sequence, synced_sequence)
    return crc32c(body, crc32c(numbers, crc32c(salt)))
