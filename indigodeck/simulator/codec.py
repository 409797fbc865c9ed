"""The simulator's binary frames: layouts, bounds, and the codes of events and actions.

A frame is a header, a number of records of one size and a tail that records point into. All
numbers are little-endian; times are milliseconds on the wire and microseconds here.
"""

import struct
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import Any, BinaryIO, NamedTuple

from ..assignment.interface import HealthCheckOutcome, ServerState, UpdateKind
from ..errors import MalformedMessageError
from ..settings import microseconds_or_zero

HEADER = struct.Struct("<IId")  # records, bytes after the header, clock
REPLY_HEADER = struct.Struct("<II")  # records, bytes after the header
EVENT_SIZE = 56
ACTION_SIZE = 24
LARGEST_FRAME = 1 << 30
LATEST_CLOCK_MS = 1e15
ALL_PEERS = 0xFFFFFFFF
EVERY_TABLE = 65535

LIST_ENTRY = struct.Struct("<HBf6sdBB")
LOAD_FIGURES = struct.Struct("<4f")


class EventCode(IntEnum):
    """What the simulator tells."""

    ENDPOINT_LIST = 1000
    ENDPOINT_UPDATE = 1010
    PROXY_LEFT = 1020
    STOP = 1030
    PEER_MESSAGE = 1040
    START = 1050
    ACK = 1060
    KEY_RANGE_SERVER = 1070
    KEY_RANGE_DEMAND = 1080
    HEALTH_CHECK = 1090
    TIMER = 1100
    KEY_RANGE_ASSIGNED = 1110
    LOAD_REPORT = 1120
    DEMAND_REPORT = 1130
    PROXY_JOINED = 1140
    SELECT_INSTANCE = 1150


EVENT_LAYOUTS = {
    EventCode.ENDPOINT_LIST: struct.Struct("<III"),
    EventCode.ENDPOINT_UPDATE: struct.Struct("<IIB"),
    EventCode.PROXY_LEFT: struct.Struct("<H"),
    EventCode.STOP: struct.Struct("<"),
    EventCode.PEER_MESSAGE: struct.Struct("<HII"),
    EventCode.START: struct.Struct("<QII"),
    EventCode.ACK: struct.Struct("<HId"),
    EventCode.KEY_RANGE_SERVER: struct.Struct("<6sfH"),
    EventCode.KEY_RANGE_DEMAND: struct.Struct("<HBIId"),
    EventCode.HEALTH_CHECK: struct.Struct("<6sHd17s"),
    EventCode.TIMER: struct.Struct("<Q"),
    EventCode.KEY_RANGE_ASSIGNED: struct.Struct("<BH"),
    EventCode.LOAD_REPORT: struct.Struct("<B6sIIdd17s"),
    EventCode.DEMAND_REPORT: struct.Struct("<BdIHI"),
    EventCode.PROXY_JOINED: struct.Struct("<HBfB"),
    EventCode.SELECT_INSTANCE: struct.Struct("<H"),
}

SERVER_STATES = {0: ServerState.DRAINING, 1: ServerState.READY, 2: ServerState.GONE}
LIST_FAILED = 0
UPDATE_KINDS = {1: UpdateKind.INCREMENTAL, 3: UpdateKind.CACHED, 4: UpdateKind.FULL}
HEALTH_CHECK_OUTCOMES = {
    0: HealthCheckOutcome.OK,
    1: HealthCheckOutcome.ERROR,
    2: HealthCheckOutcome.OVERLOADED,
    3: HealthCheckOutcome.TIMED_OUT,
    4: HealthCheckOutcome.UNREACHABLE,
    5: HealthCheckOutcome.CONNECTION_LOST,
}


class Frame(NamedTuple):
    """One batch of events at one moment, with the tail its records point into."""

    clock: int
    record_count: int
    body: bytes

    def events(self) -> Iterator[tuple[int, EventCode, tuple]]:
        """Yield the index, code and fields of each record."""
        for index in range(self.record_count):
            offset = index * EVENT_SIZE
            number = self.body[offset] | self.body[offset + 1] << 8
            try:
                code = EventCode(number)
            except ValueError:
                raise MalformedMessageError(f"record {index}: unknown code {number}") from None
            yield index, code, EVENT_LAYOUTS[code].unpack_from(self.body, offset + 2)

    def tail(self, offset: int, length: int, what: str) -> bytes:
        """Return a part of the tail; `what` names it in the error if it lies outside."""
        start = self.record_count * EVENT_SIZE + offset
        if start + length > len(self.body):
            raise MalformedMessageError(
                f"{what}: bytes {offset} to {offset + length} lie outside the tail"
            )
        return self.body[start : start + length]


class ListEntry(NamedTuple):
    """One server as an endpoint list on the wire states it; `started` in microseconds."""

    cell: int
    machine_type: int
    weight: float
    server_id: bytes
    started: int
    state: ServerState
    zone: int


def read_frame(stream: BinaryIO) -> Frame | None:
    """Return the next frame, or None at the end of the input.

    Raises
    ------
    MalformedMessageError
        If the input ends within a frame, or its header cannot be true.
    """
    first = stream.read(1)
    if not first:
        return None
    rest = _read_exactly(stream, HEADER.size - 1, "a header")
    count, length, clock_ms = HEADER.unpack(first + rest)
    if length > LARGEST_FRAME or count * EVENT_SIZE > length:
        raise MalformedMessageError(f"a header states {count} records in {length} bytes")
    if not 0 <= clock_ms < LATEST_CLOCK_MS:
        raise MalformedMessageError(f"a header states the clock as {clock_ms}")
    body = _read_exactly(stream, length, f"a frame of {length} bytes")
    return Frame(microseconds_or_zero(clock_ms), count, body)


def _read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise MalformedMessageError(f"input ends within {what}: {len(data)} of {size} bytes")
    return data


def read_list_entries(data: bytes, count: int) -> Iterator[ListEntry]:
    """Yield the entries of an endpoint list."""
    for index in range(count):
        fields = LIST_ENTRY.unpack_from(data, index * LIST_ENTRY.size)
        cell, machine_type, weight, server_id, started_ms, state, zone = fields
        if state not in SERVER_STATES:
            raise MalformedMessageError(f"list entry {index}: unknown state {state}")
        yield ListEntry(
            cell,
            machine_type,
            weight,
            server_id,
            microseconds_or_zero(started_ms),
            SERVER_STATES[state],
            zone,
        )


def read_load(columns: tuple[str, ...], data: bytes) -> dict[str, float] | None:
    """Return a server's own load report by column, or None where it sent none."""
    count = data[0]
    if not count:
        return None
    figures = LOAD_FIGURES.unpack_from(data, 1)[:count]
    return dict(zip(columns, figures, strict=False))  # a report may hold more than is named


def _action(layout: str) -> Callable[..., bytes]:
    """Return a function that packs one action record, zero-filled to its size."""
    packed = struct.Struct("<" + layout)
    padding = bytes(ACTION_SIZE - packed.size)

    def pack(*fields: Any) -> bytes:
        return packed.pack(*fields) + padding

    return pack


# Each starts with its code; offsets and lengths point into the reply's tail.
pack_eject = _action("H6sB")
pack_peer_message = _action("HIII")
pack_ack_request = _action("HIB")
pack_speaker = _action("HH")
pack_timer = _action("HdQ")
pack_crash = _action("HII")
pack_list_request = _action("H")
pack_admission = _action("HHBHf")
pack_list_subscription = _action("HB")
pack_table_assignment = _action("HHHH")
pack_clear_table = _action("HH")
pack_log = _action("HII")
pack_weight = _action("HH6sf")
pack_health_check = _action("H6s")


class ActionCode(IntEnum):
    """What the assigner orders."""

    EJECT = 1000
    PEER_MESSAGE = 1010
    ACK_REQUEST = 1020
    SPEAKER = 1030
    TIMER = 1040
    CRASH = 1050
    LIST_REQUEST = 1060
    ADMISSION = 1070
    LIST_SUBSCRIPTION = 1080
    TABLE_ASSIGNMENT = 1090
    CLEAR_TABLE = 1100
    LOG = 1110
    WEIGHT = 1120
    HEALTH_CHECK = 1130
