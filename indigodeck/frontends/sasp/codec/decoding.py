"""Decodes complete messages: `dispatch` calls the handler method for the type of a message."""

import struct
from collections.abc import Callable
from typing import Any, NamedTuple

from .constants import (
    BALANCER_SET,
    COMPONENT_HEADER,
    DEREGISTER,
    DEREGISTERED,
    GET_WEIGHTS,
    HEADER,
    HEADER_TYPE,
    MEMBERS_SET,
    NO_CHANGE,
    PUSH,
    REGISTER,
    REGISTERED,
    SEND_WEIGHTS,
    SET_BALANCER,
    SET_MEMBERS,
    TRUST,
    VERSION,
    WEIGHTS,
)
from .model import (
    Bounds,
    MalformedSaspMessageError,
)
from .reader import MessageReader

# For each message type, a function that reads the message and returns the name of the handler
# method and the arguments after the message id.


def _read_register(reader: MessageReader) -> tuple[str, tuple[Any, ...]]:
    by_balancer = reader.by_balancer()
    return "register", (by_balancer, reader.member_groups())


def _read_deregister(reader: MessageReader) -> tuple[str, tuple[Any, ...]]:
    by_balancer = reader.by_balancer()
    reason = reader.number(1, "reason")
    return "deregister", (by_balancer, reason, reader.member_groups())


def _read_get_weights(reader: MessageReader) -> tuple[str, tuple[Any, ...]]:
    return "get_weights", (reader.group_names(),)


def _read_set_balancer(reader: MessageReader) -> tuple[str, tuple[Any, ...]]:
    load_balancer_id = reader.text("load balancer's id")
    health = reader.number(1, "health")
    flags = reader.number(1, "flags")
    return "set_balancer", (
        load_balancer_id,
        health,
        bool(flags & PUSH),
        bool(flags & TRUST),
        bool(flags & NO_CHANGE),
    )


def _read_set_members(reader: MessageReader) -> tuple[str, tuple[Any, ...]]:
    by_balancer = reader.by_balancer()
    return "set_members", (by_balancer, reader.state_groups())


def _read_weights(reader: MessageReader) -> tuple[str, tuple[Any, ...]]:
    return_code = reader.number(1, "return code")
    interval = reader.number(2, "interval")
    return "weights", (return_code, interval, reader.weight_groups())


def _read_send_weights(reader: MessageReader) -> tuple[str, tuple[Any, ...]]:
    return "sent_weights", (reader.weight_groups(),)


def _answer_reader(reply_type: int) -> Callable[[MessageReader], tuple[str, tuple[Any, ...]]]:
    return lambda reader: ("answered", (reply_type, reader.number(1, "return code")))


class _MessageLayout(NamedTuple):
    """The layout of one message type.

    `read` reads the message, `reply_type` is the type of its reply, and `fixed_length` the length
    of its component up to the groups.
    """

    read: Callable[[MessageReader], tuple[str, tuple[Any, ...]]]
    reply_type: int | None = None
    fixed_length: int | None = None


_LAYOUTS = {
    REGISTER: _MessageLayout(_read_register, REGISTERED, 7),
    DEREGISTER: _MessageLayout(_read_deregister, DEREGISTERED, 8),
    GET_WEIGHTS: _MessageLayout(_read_get_weights, WEIGHTS, 6),
    WEIGHTS: _MessageLayout(_read_weights, None, 9),
    SEND_WEIGHTS: _MessageLayout(_read_send_weights, None, 6),
    SET_BALANCER: _MessageLayout(_read_set_balancer, BALANCER_SET),
    SET_MEMBERS: _MessageLayout(_read_set_members, MEMBERS_SET, 7),
    REGISTERED: _MessageLayout(_answer_reader(REGISTERED)),
    DEREGISTERED: _MessageLayout(_answer_reader(DEREGISTERED)),
    BALANCER_SET: _MessageLayout(_answer_reader(BALANCER_SET)),
    MEMBERS_SET: _MessageLayout(_answer_reader(MEMBERS_SET)),
}


def read_header(data: bytes, bounds: Bounds) -> tuple[int, int]:
    """Return the length and the id of the message that begins with these 13 bytes.

    Raises
    ------
    MalformedSaspMessageError
        If they are not a valid header, or the message is longer than `bounds` allows.
    """
    header_type, header_length, version, length, message_id = HEADER.unpack(data)
    if header_type != HEADER_TYPE or header_length != HEADER.size:
        raise MalformedSaspMessageError(
            f"no message header: type {header_type:#06x}, length {header_length}"
        )
    if version != VERSION:
        raise MalformedSaspMessageError(f"version {version}, only {VERSION} is supported", 4)
    if not HEADER.size + COMPONENT_HEADER.size <= length <= bounds.message_bytes:
        raise MalformedSaspMessageError(
            f"message of {length} bytes is too short or exceeds {bounds.message_bytes}", 5
        )
    return length, message_id


def dispatch(data: bytes, handler: Any, bounds: Bounds | None = None) -> None:
    """Decode one complete message, including the header, and call the handler method for its type.

    The message id is the first argument. A handler has the methods `register(id, by_balancer,
    member groups)`, `deregister(id, by_balancer, reason, member groups)`, `get_weights(id, group
    names)`, `set_balancer(id, load balancer's id, health, push, trust, no_change)`,
    `set_members(id, by_balancer, state groups)`; and for messages to a load balancer `answered(id,
    reply type, return code)`, `weights(id, return code, interval in seconds, weight groups)`,
    `sent_weights(id, weight groups)`.

    Raises
    ------
    MalformedSaspMessageError
        If the bytes are not a valid message, or exceed a bound. No method is called then.
    """
    bounds = bounds or Bounds()
    length, message_id = read_header(data[: HEADER.size], bounds)
    if length != len(data):
        raise MalformedSaspMessageError(
            f"message has {len(data)} bytes, but its header states {length}", 5
        )
    message_type, component_length = COMPONENT_HEADER.unpack_from(data, HEADER.size)
    layout = _LAYOUTS.get(message_type)
    reader = MessageReader(data, bounds, layout.reply_type if layout else None)
    reader.offset = HEADER.size + COMPONENT_HEADER.size
    # The length of a message component is accepted with and without the groups in it. All other
    # lengths must be exact.
    fixed_length = layout.fixed_length if layout else None
    if component_length not in (length - HEADER.size, fixed_length):
        reader.fail(
            f"message component states {component_length} bytes,"
            f" but {length - HEADER.size} follow the header"
        )
    if layout is None:
        reader.fail(f"unknown message type {message_type:#06x}")
    method_name, arguments = layout.read(reader)
    if reader.offset != reader.end:
        reader.fail(f"{reader.end - reader.offset} extra bytes after the end of the message")
    getattr(handler, method_name)(message_id, *arguments)


def message_id_of(data: bytes) -> int:
    """Return the id of a complete message, which its reply repeats."""
    return int.from_bytes(data[HEADER.size - 4 : HEADER.size], "big")


def is_set_balancer(data: bytes) -> bool:
    """Return whether a message, complete or not, is a load balancer's statement of its identity."""
    return data[HEADER.size : HEADER.size + 2] == struct.pack("!H", SET_BALANCER)
