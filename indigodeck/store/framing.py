"""Records as bytes, free of I/O: framed, numbered, checksummed, and compressed where that pays.

A frame is a mark (4 bytes), the length of its body, a CRC-32C (RFC 3720, B.4) over salt, length, numbers and body, its
sequence number, the highest sequence that was synced when it was written, and the body: one byte for its form, then
MessagePack, plain or within a Zstandard frame (RFC 8878). The salt is the store's own and the file's name, so that bytes of
another file, another store or within a value never pass for a frame of this one.

`synced` tells two ends apart that look alike: a frame that is bad though a later one says that it was synced has been
damaged; one that nothing vouches for was never acknowledged, and may be torn or missing without any harm.
"""

import struct
from typing import NamedTuple

import msgpack
import zstandard
from crc32c import crc32c

MARK = b"\xc5\x1d\xec\x0d"
HEAD = struct.Struct("<4sIIQQ")
NUMBERS = struct.Struct("<IQQ")
LONGEST = 16 << 20
PLAIN, COMPRESSED = 1, 2
WORTH_IT = 256  # shorter bodies gain nothing from compression


class UnreadableRecordError(Exception):
    """A whole frame that this program does not understand: of a newer one."""


class Frame(NamedTuple):
    """One frame as found: where it begins and ends, its numbers, and its body, still packed."""

    start: int
    end: int
    sequence: int
    synced: int
    body: bytes


def salt_of(store, name):
    """`store`: 16 bytes drawn when it was made; `name`: of the file as it is called once it counts."""
    return store + name.encode()


def packed(value):
    data = msgpack.packb(value, use_bin_type=True)
    if len(data) >= WORTH_IT:
        small = zstandard.ZstdCompressor(level=3).compress(data)
        if len(small) < len(data) * 0.9:
            return bytes([COMPRESSED]) + small
    return bytes([PLAIN]) + data


def unpacked(body):
    """The value in a whole frame's body."""
    try:
        if body[0] == COMPRESSED:
            return msgpack.unpackb(
                zstandard.ZstdDecompressor().decompress(body[1:], max_output_size=8 * LONGEST),
                strict_map_key=False,
            )
        if body[0] == PLAIN:
            return msgpack.unpackb(body[1:], strict_map_key=False)
    except (ValueError, msgpack.UnpackException, zstandard.ZstdError) as error:
        raise UnreadableRecordError(f"a body that can't be unpacked: {error}") from error
    raise UnreadableRecordError(f"form {body[0]}: written by a newer program")


def _sum(salt, length, sequence, synced, body):
    return crc32c(body, crc32c(NUMBERS.pack(length, sequence, synced), crc32c(salt)))


def frame(salt, sequence, synced, value):
    """One frame's bytes; ValueError if the value is too long."""
    body = packed(value)
    if len(body) > LONGEST:
        raise ValueError(f"a record of {len(body)} bytes, {LONGEST} at most")
    return (
        HEAD.pack(MARK, len(body), _sum(salt, len(body), sequence, synced, body), sequence, synced)
        + body
    )


def at(salt, data, start=0):
    """The whole frame that begins at this place of `data`, or None."""
    if len(data) - start < HEAD.size:
        return None
    mark, length, checksum, sequence, synced = HEAD.unpack_from(data, start)
    end = start + HEAD.size + length
    if mark != MARK or not 0 < length <= LONGEST or end > len(data):
        return None
    body = bytes(data[start + HEAD.size : end])
    if checksum != _sum(salt, length, sequence, synced, body):
        return None
    return Frame(start, end, sequence, synced, body)


def scan(salt, data, place):
    """All whole frames of a file from a place on, in order: [Frame], and where bytes stand that are none: [(start, end)]."""
    found, bad = [], []
    while place < len(data):
        whole = at(salt, data, place)
        if whole is not None:
            found.append(whole)
            place = whole.end
            continue
        start, place = place, place + 1
        while (place := data.find(MARK, place)) >= 0 and at(salt, data, place) is None:
            place += 1
        place = len(data) if place < 0 else place
        bad.append((start, place))
    return found, bad
