"""Record framing: encodes values as numbered, checksummed and optionally compressed frames.

A frame consists of:

- a magic number (4 bytes),
- the length of the body,
- a CRC-32C (RFC 3720, B.4) over salt, length, sequence numbers and body,
- the frame's sequence number,
- the highest sequence number that was synced when the frame was written,
- the body: one byte for its encoding, then MessagePack, either plain or compressed with Zstandard
  (RFC 8878).

The salt consists of the store's id and the file's name, so that bytes from another file, from
another store or from inside a value are never taken for a frame of this file.

`synced_sequence` distinguishes damage from an interrupted write. If a later frame states that an
unreadable frame was synced, the unreadable frame has been damaged. If none does, that frame was
never acknowledged, and losing it is harmless.

This module does no I/O.
"""

import struct
from enum import IntEnum
from typing import Any, NamedTuple

import msgpack
import zstandard
from crc32c import crc32c

from ..errors import IndigodeckError

FRAME_MAGIC = b"\xc5\x1d\xec\x0d"
# magic number, body length, checksum, sequence number, synced sequence number
FRAME_HEADER = struct.Struct("<4sIIQQ")
CHECKSUMMED_FIELDS = struct.Struct("<IQQ")  # body length, sequence number, synced sequence number
MAX_BODY_BYTES = 16 << 20
MAX_UNPACKED_BYTES = 8 * MAX_BODY_BYTES  # limits what a compressed body may expand to
MIN_BYTES_TO_COMPRESS = 256  # compression does not pay for shorter bodies
MAX_COMPRESSED_RATIO = 0.9  # of the uncompressed size; above it the body is stored plain
COMPRESSION_LEVEL = 3


class BodyEncoding(IntEnum):
    """The first byte of a body, which states how the rest is encoded."""

    PLAIN = 1
    COMPRESSED = 2


_PLAIN_PREFIX = bytes([BodyEncoding.PLAIN])
_COMPRESSED_PREFIX = bytes([BodyEncoding.COMPRESSED])


class UnreadableRecordError(IndigodeckError):
    """A complete frame has a body that this version of the program can't decode.

    The likely cause is that a newer version of the program wrote it.
    """


class Frame(NamedTuple):
    """A frame in a file: its start offset, the offset after its end, and its encoded body."""

    start: int
    end: int
    sequence: int
    synced_sequence: int
    body: bytes


class ByteRange(NamedTuple):
    """The bytes of a file from offset `start` up to, but not including, offset `end`."""

    start: int
    end: int


class ScannedFrames(NamedTuple):
    """The complete frames of a file in order, and the byte ranges that belong to no frame."""

    frames: list[Frame]
    bad_ranges: list[ByteRange]


def frame_salt(store_id: bytes, file_name: str) -> bytes:
    """Return the salt for the checksums of a file.

    `file_name` is the file's final name, even while it is written under a temporary name.
    """
    return store_id + file_name.encode()


def pack_value(value: Any) -> bytes:
    """Encode a value as the body of a frame."""
    data = msgpack.packb(value, use_bin_type=True)
    if len(data) >= MIN_BYTES_TO_COMPRESS:
        compressed = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(data)
        if len(compressed) < len(data) * MAX_COMPRESSED_RATIO:
            return _COMPRESSED_PREFIX + compressed
    return _PLAIN_PREFIX + data


def unpack_value(body: bytes) -> Any:
    """Decode the value in the body of a complete frame.

    Raises `UnreadableRecordError` if the body's encoding is unknown or the body can't be decoded.
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
        raise UnreadableRecordError(f"record body can't be decoded: {error}") from error
    raise UnreadableRecordError(f"unknown body encoding {encoding}: written by a newer program")


def encode_frame(salt: bytes, sequence: int, synced_sequence: int, value: Any) -> bytes:
    """Return the bytes of one frame. Raises ValueError if the encoded value is too long."""
    body = pack_value(value)
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"record of {len(body)} bytes exceeds the maximum of {MAX_BODY_BYTES}")
    checksum = frame_checksum(salt, sequence, synced_sequence, body)
    return FRAME_HEADER.pack(FRAME_MAGIC, len(body), checksum, sequence, synced_sequence) + body


def decode_frame(salt: bytes, data: bytes, offset: int = 0) -> Frame | None:
    """Return the frame that starts at `offset` in `data`, or None if no complete one does."""
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
    """Find all complete frames of a file from `offset` to its end."""
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
    """Return the offset of the next complete frame, or the length of `data` if there is none."""
    while (offset := data.find(FRAME_MAGIC, offset)) >= 0:
        if decode_frame(salt, data, offset) is not None:
            return offset
        offset += 1
    return len(data)


def frame_checksum(salt: bytes, sequence: int, synced_sequence: int, body: bytes) -> int:
    """Return the CRC-32C for the header of a frame."""
    fields = CHECKSUMMED_FIELDS.pack(len(body), sequence, synced_sequence)
    return crc32c(body, crc32c(fields, crc32c(salt)))
