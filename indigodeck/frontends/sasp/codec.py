"""The bytes of the Server/Application State Protocol, version 1 (RFC 4678).

`dispatch` reads one whole message and calls the method of a handler that is named for it; the
functions at the end write messages. Numbers are big-endian. docs/sasp.md names the section for
each layout, and the readings that were chosen where the text was not at hand.
"""

import ipaddress
import struct
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, NoReturn, TypeVar

from ...errors import MalformedMessageError

VERSION = 1
HEADER = struct.Struct("!HHBII")  # type, length, version, message length, message id
HEADER_TYPE = 0x2010
COMPONENT_HEADER = struct.Struct("!HH")  # type, length

# Types of messages.
REGISTER = 0x1010
REGISTERED = 0x1015
DEREGISTER = 0x1020
DEREGISTERED = 0x1025
GET_WEIGHTS = 0x1030
WEIGHTS = 0x1035
SEND_WEIGHTS = 0x1040
SET_BALANCER = 0x1050
BALANCER_SET = 0x1055
SET_MEMBERS = 0x1060
MEMBERS_SET = 0x1065

# Types of components.
MEMBER = 0x3010
GROUP = 0x3011
WEIGHT_ENTRY = 0x3012
MEMBER_STATE = 0x3013
GROUP_OF_MEMBERS = 0x4010
GROUP_OF_WEIGHTS = 0x4011
GROUP_OF_STATES = 0x4012

# Return codes.
DONE = 0x00
NOT_UNDERSTOOD = 0x10
NOT_ACCEPTED = 0x11
ALREADY_REGISTERED = 0x40
NOT_REGISTERED = 0x41
UNKNOWN_GROUP = 0x42
UNKNOWN_BALANCER = 0x43
DUPLICATE_MEMBER = 0x44
INVALID_GROUP = 0x45
DUPLICATE_GROUP = 0x46
GROUP_NAME_SIZE = 0x50
BALANCER_SIZE = 0x51
BALANCER_ABSENT = 0x61
MEANINGS = {
    DONE: "successful",
    NOT_UNDERSTOOD: "message not understood",
    NOT_ACCEPTED: "the manager will not accept this message from the sender",
    ALREADY_REGISTERED: "member already registered",
    NOT_REGISTERED: "application or system not registered",
    UNKNOWN_GROUP: "unknown group name",
    UNKNOWN_BALANCER: "unknown load balancer",
    DUPLICATE_MEMBER: "duplicate member in request",
    INVALID_GROUP: "invalid group",
    DUPLICATE_GROUP: "duplicate group in request",
    GROUP_NAME_SIZE: "invalid group name size",
    BALANCER_SIZE: "invalid load balancer id size",
    BALANCER_ABSENT: "the load balancer of this member has not yet contacted the manager",
}

# Flags are read from the most significant bit down, as RFCs number bits (docs/sasp.md).
PUSH = 0x80
TRUST = 0x40
NO_CHANGE = 0x20
CONTACT = 0x80
QUIESCED = 0x40
BY_BALANCER = 0x20
CONFIDENT = 0x10
FROM_BALANCER = 0x80
QUIESCE = 0x80

TCP = 6  # of IP's protocol numbers
IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"
IPV4_COMPATIBLE_PREFIX = bytes(12)
LONGEST_COMPONENT = 0xFFFF
LONGEST_TEXT = 0xFF

GroupName = tuple[bytes, bytes]  # the load balancer's id, the group's name
Address = tuple[str, int]
_Item = TypeVar("_Item")


class MalformedSaspMessageError(MalformedMessageError):
    """Bytes that are no message of this protocol.

    `return_code` is the code that says so, `offset` where it was found, and `reply_type` the type
    of the reply that the message would have had, or None.
    """

    def __init__(
        self,
        text: str,
        offset: int = 0,
        return_code: int = NOT_UNDERSTOOD,
        reply_type: int | None = None,
    ) -> None:
        super().__init__(f"{text} (byte {offset})")
        self.return_code = return_code
        self.offset = offset
        self.reply_type = reply_type


class Bounds(NamedTuple):
    """What one peer may send: bytes in a message, groups in it, members in a group."""

    message_bytes: int = 1 << 20
    groups: int = 64
    members: int = 1024


class Member(NamedTuple):
    """A member of a group; an IPv4 address is written as ::ffff:a.b.c.d, in 16 bytes."""

    protocol: int
    port: int
    address: bytes
    label: bytes = b""

    @classmethod
    def at(cls, address: str, port: int, label: bytes = b"", protocol: int = TCP) -> "Member":
        """Return the member at an address in text form."""
        parsed = ipaddress.ip_address(address)
        packed = IPV4_MAPPED_PREFIX + parsed.packed if parsed.version == 4 else parsed.packed
        return cls(protocol, port, packed, label)

    def endpoint(self) -> Address:
        """Return address and port; IPv4 is the same in its mapped and its older compatible form."""
        prefix = self.address[:12]
        rest = self.address[12:]
        is_ipv4 = prefix == IPV4_MAPPED_PREFIX or (
            prefix == IPV4_COMPATIBLE_PREFIX and rest > b"\0\0\0\1"
        )
        return str(ipaddress.ip_address(rest if is_ipv4 else self.address)), self.port


class Entry(NamedTuple):
    """A member's weight, 0 to 65535, with flags and the opaque state that its agent last gave."""

    member: Member
    weight: int
    flags: int
    state: int = 0


class StatedMember(NamedTuple):
    """What is stated of a member: an opaque state, and whether it wants no new work."""

    member: Member
    state: int
    quiesce: bool


MemberGroup = tuple[GroupName, list[Member]]
WeightGroup = tuple[GroupName, list[Entry]]
StateGroup = tuple[GroupName, list[StatedMember]]


class _Reader:
    """Steps through one message and never past the end of the component that is open."""

    def __init__(self, data: bytes, bounds: Bounds, reply_type: int | None = None) -> None:
        self.data = data
        self.offset = 0
        self.end = len(data)
        self.bounds = bounds
        self.reply_type = reply_type

    def fail(self, text: str, return_code: int = NOT_UNDERSTOOD) -> NoReturn:
        raise MalformedSaspMessageError(text, self.offset, return_code, self.reply_type)

    def take(self, size: int, what: str) -> bytes:
        if self.offset + size > self.end:
            self.fail(f"{what} needs {size} bytes, {self.end - self.offset} are left")
        piece = self.data[self.offset : self.offset + size]
        self.offset += size
        return piece

    def number(self, size: int, what: str) -> int:
        return int.from_bytes(self.take(size, what), "big")

    def text(self, what: str) -> bytes:
        return bytes(self.take(self.number(1, f"length of {what}"), what))

    def open(self, component_type: int, what: str) -> int:
        """Enter a component; return what `close` needs to check that it was filled exactly."""
        start = self.offset
        outer_end = self.end
        found = self.number(2, f"type of {what}")
        length = self.number(2, f"length of {what}")
        if found != component_type:
            self.offset = start
            self.fail(f"{what} should have type {component_type:#06x}, not {found:#06x}")
        if length < COMPONENT_HEADER.size or start + length > outer_end:
            self.fail(f"{what} states {length} bytes, {outer_end - start} are left")
        self.end = start + length
        return outer_end

    def close(self, outer_end: int, what: str) -> None:
        if self.offset != self.end:
            self.fail(f"{what} states {self.end - self.offset} bytes more than it holds")
        self.end = outer_end

    def count(self, limit: int, what: str) -> int:
        count = self.number(2, f"count of {what}")
        if count > limit:
            self.fail(f"{count} {what}, {limit} at most", NOT_ACCEPTED)
        return count

    def member(self) -> Member:
        outer_end = self.open(MEMBER, "a member")
        protocol = self.number(1, "protocol")
        port = self.number(2, "port")
        member = Member(protocol, port, bytes(self.take(16, "address")), self.text("label"))
        self.close(outer_end, "a member")
        return member

    def group_name(self) -> GroupName:
        outer_end = self.open(GROUP, "a group")
        name = (self.text("load balancer's id"), self.text("group's name"))
        self.close(outer_end, "a group")
        return name

    def entry(self) -> Entry:
        outer_end = self.open(WEIGHT_ENTRY, "a weight entry")
        member = self.member()
        state = self.number(1, "state")
        flags = self.number(1, "flags")
        weight = self.number(2, "weight")
        self.close(outer_end, "a weight entry")
        return Entry(member, weight, flags, state)

    def stated_member(self) -> StatedMember:
        outer_end = self.open(MEMBER_STATE, "a member's state")
        member = self.member()
        state = self.number(1, "state")
        quiesce = bool(self.number(1, "quiesce flag") & QUIESCE)
        self.close(outer_end, "a member's state")
        return StatedMember(member, state, quiesce)

    def groups(
        self, component_type: int, read_item: Callable[[], _Item], what: str
    ) -> list[tuple[GroupName, list[_Item]]]:
        """Read groups with what they hold."""
        groups = []
        for _ in range(self.count(self.bounds.groups, "groups")):
            outer_end = self.open(component_type, what)
            count = self.count(self.bounds.members, "members")
            name = self.group_name()
            groups.append((name, [read_item() for _ in range(count)]))
            self.close(outer_end, what)
        return groups

    def group_names(self) -> list[GroupName]:
        return [self.group_name() for _ in range(self.count(self.bounds.groups, "groups"))]

    def by_balancer(self) -> bool:
        return bool(self.number(1, "flags") & FROM_BALANCER)

    def member_groups(self) -> list[MemberGroup]:
        return self.groups(GROUP_OF_MEMBERS, self.member, "a group of members")

    def weight_groups(self) -> list[WeightGroup]:
        return self.groups(GROUP_OF_WEIGHTS, self.entry, "a group of weights")

    def state_groups(self) -> list[StateGroup]:
        return self.groups(GROUP_OF_STATES, self.stated_member, "a group of states")


# What a message of each type calls: the handler's method, and its arguments after the message id.


def _read_register(reader: _Reader) -> tuple[str, tuple[Any, ...]]:
    by_balancer = reader.by_balancer()
    return "register", (by_balancer, reader.member_groups())


def _read_deregister(reader: _Reader) -> tuple[str, tuple[Any, ...]]:
    by_balancer = reader.by_balancer()
    reason = reader.number(1, "reason")
    return "deregister", (by_balancer, reason, reader.member_groups())


def _read_get_weights(reader: _Reader) -> tuple[str, tuple[Any, ...]]:
    return "get_weights", (reader.group_names(),)


def _read_set_balancer(reader: _Reader) -> tuple[str, tuple[Any, ...]]:
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


def _read_set_members(reader: _Reader) -> tuple[str, tuple[Any, ...]]:
    by_balancer = reader.by_balancer()
    return "set_members", (by_balancer, reader.state_groups())


def _read_weights(reader: _Reader) -> tuple[str, tuple[Any, ...]]:
    return_code = reader.number(1, "return code")
    interval = reader.number(2, "interval")
    return "weights", (return_code, interval, reader.weight_groups())


def _read_send_weights(reader: _Reader) -> tuple[str, tuple[Any, ...]]:
    return "sent_weights", (reader.weight_groups(),)


def _answer_reader(reply_type: int) -> Callable[[_Reader], tuple[str, tuple[Any, ...]]]:
    return lambda reader: ("answered", (reply_type, reader.number(1, "return code")))


class _MessageLayout(NamedTuple):
    """How a message is read, the type of its reply, and the length that leaves its groups out."""

    read: Callable[[_Reader], tuple[str, tuple[Any, ...]]]
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
    """Return length and id of the message that begins with these 13 bytes.

    Raises
    ------
    MalformedSaspMessageError
        If they are no header, or the message is longer than `bounds` allow.
    """
    header_type, header_length, version, length, message_id = HEADER.unpack(data)
    if header_type != HEADER_TYPE or header_length != HEADER.size:
        raise MalformedSaspMessageError(
            f"no message header: type {header_type:#06x}, length {header_length}"
        )
    if version != VERSION:
        raise MalformedSaspMessageError(f"version {version}, only {VERSION} is spoken", 4)
    if not HEADER.size + COMPONENT_HEADER.size <= length <= bounds.message_bytes:
        raise MalformedSaspMessageError(
            f"a message of {length} bytes, {bounds.message_bytes} at most", 5
        )
    return length, message_id


def dispatch(data: bytes, handler: Any, bounds: Bounds | None = None) -> None:
    """Read one whole message, header included, and call the handler's method for it.

    The message id is the first argument. A handler has the methods `register(id, by_balancer,
    member groups)`, `deregister(id, by_balancer, reason, member groups)`, `get_weights(id, group
    names)`, `set_balancer(id, load balancer's id, health, push, trust, no_change)`,
    `set_members(id, by_balancer, state groups)`; and for a load balancer `answered(id, reply type,
    return code)`, `weights(id, return code, interval in seconds, weight groups)`,
    `sent_weights(id, weight groups)`.

    Raises
    ------
    MalformedSaspMessageError
        If the bytes are no message, or it exceeds a bound; nothing was called then.
    """
    bounds = bounds or Bounds()
    length, message_id = read_header(data[: HEADER.size], bounds)
    if length != len(data):
        raise MalformedSaspMessageError(f"a message of {len(data)} bytes states {length}", 5)
    message_type, component_length = COMPONENT_HEADER.unpack_from(data, HEADER.size)
    layout = _LAYOUTS.get(message_type)
    reader = _Reader(data, bounds, layout.reply_type if layout else None)
    reader.offset = HEADER.size + COMPONENT_HEADER.size
    # Whether a message component counts the groups in it is read both ways; nothing else is.
    fixed_length = layout.fixed_length if layout else None
    if component_length not in (length - HEADER.size, fixed_length):
        reader.fail(
            f"a message component states {component_length} bytes,"
            f" {length - HEADER.size} follow the header"
        )
    if layout is None:
        reader.fail(f"unknown message type {message_type:#06x}")
    method_name, arguments = layout.read(reader)
    if reader.offset != reader.end:
        reader.fail(f"{reader.end - reader.offset} bytes after the end of the message")
    getattr(handler, method_name)(message_id, *arguments)


def message_id_of(data: bytes) -> int:
    """Return the id of a whole message, which its reply repeats."""
    return int.from_bytes(data[HEADER.size - 4 : HEADER.size], "big")


def introduces(data: bytes) -> bool:
    """Return whether this message, whole or not, is one in which a load balancer says who it is."""
    return data[HEADER.size : HEADER.size + 2] == struct.pack("!H", SET_BALANCER)


# Writing. Each returns one whole message; ValueError if a part is longer than its length can state.


def register(message_id: int, by_balancer: bool, groups: Iterable[MemberGroup]) -> bytes:
    """Write a registration of members, by their load balancer or by themselves."""
    return message(
        message_id,
        REGISTER,
        _by_balancer_flags(by_balancer),
        _groups(GROUP_OF_MEMBERS, groups, _member),
    )


def deregister(
    message_id: int, by_balancer: bool, reason: int, groups: Iterable[MemberGroup]
) -> bytes:
    """Write a deregistration; a group without members goes whole, and no group means all."""
    return message(
        message_id,
        DEREGISTER,
        _by_balancer_flags(by_balancer),
        bytes([reason]),
        _groups(GROUP_OF_MEMBERS, groups, _member),
    )


def get_weights(message_id: int, names: Sequence[GroupName]) -> bytes:
    """Write a request for the weights of groups; none named means all."""
    return message(message_id, GET_WEIGHTS, struct.pack("!H", len(names)), *map(_group_name, names))


def set_balancer(
    message_id: int, load_balancer_id: bytes, health: int, push: bool, trust: bool, no_change: bool
) -> bytes:
    """Write a load balancer's own state: who it is and how it wants weights."""
    flags = (PUSH if push else 0) | (TRUST if trust else 0) | (NO_CHANGE if no_change else 0)
    return message(message_id, SET_BALANCER, _text(load_balancer_id), bytes([health, flags]))


def set_members(
    message_id: int,
    by_balancer: bool,
    groups: Iterable[tuple[GroupName, Sequence[tuple[Member, int, bool]]]],
) -> bytes:
    """Write states of members."""
    return message(
        message_id,
        SET_MEMBERS,
        _by_balancer_flags(by_balancer),
        _groups(GROUP_OF_STATES, groups, _stated_member),
    )


def answer(message_id: int, reply_type: int, return_code: int) -> bytes:
    """Write the reply to a request; to a request for weights, one without any."""
    if reply_type == WEIGHTS:
        return weights(message_id, return_code, 0, [])
    return message(message_id, reply_type, bytes([return_code]))


def weights(
    message_id: int, return_code: int, interval: int, groups: Iterable[WeightGroup]
) -> bytes:
    """Write the reply to a request for weights; `interval`, in seconds, is when to ask again."""
    return message(
        message_id,
        WEIGHTS,
        struct.pack("!BH", return_code, interval),
        _groups(GROUP_OF_WEIGHTS, groups, entry_bytes),
    )


def send_weights(message_id: int, groups: Iterable[WeightGroup]) -> bytes:
    """Write weights that nobody asked for."""
    return message(message_id, SEND_WEIGHTS, _groups(GROUP_OF_WEIGHTS, groups, entry_bytes))


def message(message_id: int, message_type: int, *parts: bytes) -> bytes:
    """Write a message of any type with its header."""
    body = _component(message_type, *parts)
    length = HEADER.size + len(body)
    return HEADER.pack(HEADER_TYPE, HEADER.size, VERSION, length, message_id) + body


def entry_bytes(entry: Entry) -> bytes:
    """Write the component of one weight entry."""
    return _component(
        WEIGHT_ENTRY,
        _member(entry.member),
        struct.pack("!BBH", entry.state, entry.flags, entry.weight),
    )


def _component(component_type: int, *parts: bytes) -> bytes:
    body = b"".join(parts)
    length = COMPONENT_HEADER.size + len(body)
    if length > LONGEST_COMPONENT:
        raise ValueError(f"a component of {length} bytes; its length can state {LONGEST_COMPONENT}")
    return COMPONENT_HEADER.pack(component_type, length) + body


def _text(text: bytes) -> bytes:
    if len(text) > LONGEST_TEXT:
        raise ValueError(f"{len(text)} bytes, {LONGEST_TEXT} at most")
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


def _stated_member(stated: tuple[Member, int, bool]) -> bytes:
    member, state, quiesce = stated
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
