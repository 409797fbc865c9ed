"""The simulator's binary frames: layouts and bounds."""

import struct

from ..errors import MalformedMessageError
from ..settings import microseconds

HEADER = struct.Struct("<IId")
REPLY_HEADER = struct.Struct("<II")
EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 56, 24, 23
ENTRY = struct.Struct("<HBf6sdBB")
LARGEST_FRAME = 1 << 30


def read_exactly(stream, size, what):
    data = stream.read(size)
    if len(data) != size:
        raise MalformedMessageError(f"input ends within {what}: {len(data)} of {size} bytes")
    return data


def read_frame(stream):
    """The next batch as (clock in microseconds, record count, body), or None at the end of input."""
    first = stream.read(1)
    if not first:
        return None
    count, length, clock = HEADER.unpack(first + read_exactly(stream, HEADER.size - 1, "a header"))
    if length > LARGEST_FRAME or count * EVENT_SIZE > length:
        raise MalformedMessageError(f"a header states {count} records in {length} bytes")
    if not 0 <= clock < 1e15:
        raise MalformedMessageError(f"a header states the clock as {clock}")
    return microseconds(clock), count, read_exactly(stream, length, f"a frame of {length} bytes")


def tail_slice(body, count, offset, length, what):
    start = count * EVENT_SIZE + offset
    if start + length > len(body):
        raise MalformedMessageError(
            f"{what}: bytes {offset} to {offset + length} lie outside the tail"
        )
    return body[start : start + length]
