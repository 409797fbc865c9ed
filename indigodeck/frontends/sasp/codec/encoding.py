"""Encodes messages.

Each public function returns one complete message, or for `entry_bytes` one component. It raises
ValueError if a part is too long for its length field.
"""

import struct
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from .constants import (
    COMPONENT_HEADER,
    DEREGISTER,
    FROM_BALANCER,
    GET_WEIGHTS,
    GROUP,
    GROUP_OF_MEMBERS,
    GROUP_OF_STATES,
    GROUP_OF_WEIGHTS,
    HEADER,
    HEADER_TYPE,
    MAX_COMPONENT_BYTES,
    MAX_TEXT_BYTES,
    MEMBER,
    MEMBER_STATE,
    NO_CHANGE,
    PUSH,
    QUIESCE,
    REGISTER,
    SEND_WEIGHTS,
    SET_BALANCER,
    SET_MEMBERS,
    TRUST,
    VERSION,
    WEIGHT_ENTRY,
    WEIGHTS,
)
from .model import (
    Entry,
    GroupName,
    Member,
    MemberGroup,
    WeightGroup,
)

_Item = TypeVar("_Item")


def register(message_id: int, by_balancer: bool, groups: Iterable[MemberGroup]) -> bytes:
    """Encode a registration of members, by their load balancer or by themselves."""
    return message(
        message_id,
        REGISTER,
        _by_balancer_flags(by_balancer),
        _groups(GROUP_OF_MEMBERS, groups, _member),
    )


def deregister(
    message_id: int, by_balancer: bool, reason: int, groups: Iterable[MemberGroup]
) -> bytes:
    """Encode a deregistration of members.

    A group without members is deregistered as a whole; without any group, all are.
    """
    return message(
        message_id,
        DEREGISTER,
        _by_balancer_flags(by_balancer),
        bytes([reason]),
        _groups(GROUP_OF_MEMBERS, groups, _member),
    )


def get_weights(message_id: int, names: Sequence[GroupName]) -> bytes:
    """Encode a request for the weights of groups; without names, of all groups."""
    return message(message_id, GET_WEIGHTS, struct.pack("!H", len(names)), *map(_group_name, names))


def set_balancer(
    message_id: int, load_balancer_id: bytes, health: int, push: bool, trust: bool, no_change: bool
) -> bytes:
    """Encode a load balancer's own state: its id, its health and how it wants to get weights."""
    flags = (PUSH if push else 0) | (TRUST if trust else 0) | (NO_CHANGE if no_change else 0)
    return message(message_id, SET_BALANCER, _text(load_balancer_id), bytes([health, flags]))


def set_members(
    message_id: int,
    by_balancer: bool,
    groups: Iterable[tuple[GroupName, Sequence[tuple[Member, int, bool]]]],
) -> bytes:
    """Encode a statement of the states of members."""
    return message(
        message_id,
        SET_MEMBERS,
        _by_balancer_flags(by_balancer),
        _groups(GROUP_OF_STATES, groups, _member_state),
    )


def answer(message_id: int, reply_type: int, return_code: int) -> bytes:
    """Encode the reply to a request; a reply to a request for weights holds no groups."""
    if reply_type == WEIGHTS:
        return weights(message_id, return_code, 0, [])
    return message(message_id, reply_type, bytes([return_code]))


def weights(
    message_id: int, return_code: int, interval: int, groups: Iterable[WeightGroup]
) -> bytes:
    """Encode the reply to a request for weights; `interval` is the poll interval in seconds."""
    return message(
        message_id,
        WEIGHTS,
        struct.pack("!BH", return_code, interval),
        _groups(GROUP_OF_WEIGHTS, groups, entry_bytes),
    )


def send_weights(message_id: int, groups: Iterable[WeightGroup]) -> bytes:
    """Encode weights that are pushed without a request."""
    return message(message_id, SEND_WEIGHTS, _groups(GROUP_OF_WEIGHTS, groups, entry_bytes))


def message(message_id: int, message_type: int, *parts: bytes) -> bytes:
    """Encode a message of any type, with its header."""
    body = _component(message_type, *parts)
    length = HEADER.size + len(body)
    return HEADER.pack(HEADER_TYPE, HEADER.size, VERSION, length, message_id) + body


def entry_bytes(entry: Entry) -> bytes:
    """Encode the component of one weight entry."""
    return _component(
        WEIGHT_ENTRY,
        _member(entry.member),
        struct.pack("!BBH", entry.state, entry.flags, entry.weight),
    )


def _component(component_type: int, *parts: bytes) -> bytes:
    body = b"".join(parts)
    length = COMPONENT_HEADER.size + len(body)
    if length > MAX_COMPONENT_BYTES:
        raise ValueError(f"component of {length} bytes exceeds {MAX_COMPONENT_BYTES}")
    return COMPONENT_HEADER.pack(component_type, length) + body


def _text(text: bytes) -> bytes:
    if len(text) > MAX_TEXT_BYTES:
        raise ValueError(f"text of {len(text)} bytes exceeds {MAX_TEXT_BYTES}")
    return bytes([len(text)]) + text


def _by_balancer_flags(by_balancer: bool) -> bytes:
    return bytes([FROM_BALANCER if by_balancer else 0])


def _member(member: Member) -> bytes:
    return _component(
        MEMBER,
        struct.pack("!BH", member.protocol, member.port),
        member.address,
        _text(member.label),
    )


def _group_name(name: GroupName) -> bytes:
    return _component(GROUP, _text(name[0]), _text(name[1]))


def _member_state(member_state: tuple[Member, int, bool]) -> bytes:
    member, state, quiesce = member_state
    return _component(MEMBER_STATE, _member(member), bytes([state, QUIESCE if quiesce else 0]))


def _groups(
    component_type: int,
    groups: Iterable[tuple[GroupName, Sequence[_Item]]],
    item_bytes: Callable[[_Item], bytes],
) -> bytes:
    parts = [
        _component(
            component_type,
            struct.pack("!H", len(items)),
            _group_name(name),
            *map(item_bytes, items),
        )
        for name, items in groups
    ]
    return struct.pack("!H", len(parts)) + b"".join(parts)
