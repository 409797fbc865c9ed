"""The simulator's binary frames: layouts, limits, and the codes of events and actions.

A frame consists of a header, records of a fixed size, and a tail that records point into. All
numbers are little-endian. Times are milliseconds on the wire and microseconds in this package.
"""

import struct
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import Any, BinaryIO, NamedTuple

from ..assignment.interface import HealthCheckOutcome, ServerState, UpdateKind
from ..errors import MalformedMessageError
from ..settings import microseconds_or_zero

HEADER = struct.Struct("<IId")  # number of records, bytes after the header, clock
REPLY_HEADER = struct.Struct("<II")  # number of records, bytes after the header
EVENT_SIZE = 56
ACTION_SIZE = 24
MAX_FRAME_SIZE = 1 << 30
MAX_CLOCK_MS = 1e15
ALL_PEERS = 0xFFFFFFFF
ALL_TABLES = 65535

LIST_ENTRY = struct.Struct("<HBf6sdBB")
LOAD_VALUES = struct.Struct("<4f")


class EventCode(IntEnum):
    """The codes of the simulator's events."""

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
    """A batch of events at one time, with the tail that its records point into."""

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

    def tail(self, offset: int, length: int, label: str) -> bytes:
        """Return a part of the tail; `label` names it in the error message if it lies outside."""
        start = self.record_count * EVENT_SIZE + offset
        if start + length > len(self.body):
            raise MalformedMessageError(
                f"{label}: bytes {offset} to {offset + length} are outside the tail"
            )
        return self.body[start : start + length]


class ListEntry(NamedTuple):
    """One server of an endpoint list on the wire; `started` is in microseconds."""

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
        If the input ends within a frame, or the header's values are out of range.
    """
    first = stream.read(1)
    if not first:
        return None
    rest = _read_exactly(stream, HEADER.size - 1, "a header")
    count, length, clock_ms = HEADER.unpack(first + rest)
    if length > MAX_FRAME_SIZE or count * EVENT_SIZE > length:
        raise MalformedMessageError(f"frame header: {count} records in {length} bytes")
    if not 0 <= clock_ms < MAX_CLOCK_MS:
        raise MalformedMessageError(f"frame header: clock {clock_ms} ms is out of range")
    body = _read_exactly(stream, length, f"a frame of {length} bytes")
    return Frame(microseconds_or_zero(clock_ms), count, body)


def _read_exactly(stream: BinaryIO, size: int, label: str) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise MalformedMessageError(f"input ends within {label}: got {len(data)} of {size} bytes")
    return data


def read_list_entries(data: bytes, count: int) -> Iterator[ListEntry]:
    """Yield the entries of an endpoint list."""
    for index in range(count):
        fields = LIST_ENTRY.unpack_from(data, index * LIST_ENTRY.size)
        cell, machine_type, weight, server_id, started_ms, state, zone = fields
        if state not in SERVER_STATES:
            raise MalformedMessageError(f"endpoint list entry {index}: unknown state {state}")
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
    """Return a server's own load report by column, or None if it sent none."""
    count = data[0]
    if not count:
        return None
    values = LOAD_VALUES.unpack_from(data, 1)[:count]
    return dict(zip(columns, values, strict=False))  # a report may have more values than columns


def _action(layout: str) -> Callable[..., bytes]:
    """Return a function that packs an action record and pads it with zeros to the record size."""
    layout_struct = struct.Struct("<" + layout)
    padding = bytes(ACTION_SIZE - layout_struct.size)

    def pack(*fields: Any) -> bytes:
        return layout_struct.pack(*fields) + padding

    return pack


# The first field is the action code; offsets and lengths refer to the reply's tail.
pack_eject = _action("H6sB")
pack_peer_message = _action("HIII")
pack_ack_request = _action("HIB")
pack_select_instance = _action("HH")
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
    """The codes of the actions in replies."""

    EJECT = 1000
    PEER_MESSAGE = 1010
    ACK_REQUEST = 1020
    SELECT_INSTANCE = 1030
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
