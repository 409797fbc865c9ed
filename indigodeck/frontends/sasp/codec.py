"""The bytes of the Server/Application State Protocol, version 1 (RFC 4678).

`dispatch` reads one whole message and calls the method of a handler that is named for it; the functions at
the end write messages. Numbers are big-endian. docs/sasp.md names the section for each layout, and the
readings that were chosen where the text was not at hand.
"""

import ipaddress
import struct
from typing import NamedTuple

VERSION = 1
HEADER = struct.Struct("!HHBII")  # type, length, version, message length, message id
HEADER_TYPE = 0x2010
(
    REGISTER,
    REGISTERED,
    DEREGISTER,
    DEREGISTERED,
    GET_WEIGHTS,
    WEIGHTS,
    SEND_WEIGHTS,
    SET_BALANCER,
    BALANCER_SET,
    SET_MEMBERS,
    MEMBERS_SET,
) = (0x1010, 0x1015, 0x1020, 0x1025, 0x1030, 0x1035, 0x1040, 0x1050, 0x1055, 0x1060, 0x1065)
MEMBER, GROUP, WEIGHT_ENTRY, MEMBER_STATE = 0x3010, 0x3011, 0x3012, 0x3013
GROUP_OF_MEMBERS, GROUP_OF_WEIGHTS, GROUP_OF_STATES = 0x4010, 0x4011, 0x4012

DONE, NOT_UNDERSTOOD, NOT_ACCEPTED = 0x00, 0x10, 0x11
ALREADY_REGISTERED, NOT_REGISTERED, UNKNOWN_GROUP, UNKNOWN_BALANCER = 0x40, 0x41, 0x42, 0x43
DUPLICATE_MEMBER, INVALID_GROUP, DUPLICATE_GROUP = 0x44, 0x45, 0x46
GROUP_NAME_SIZE, BALANCER_SIZE, BALANCER_ABSENT = 0x50, 0x51, 0x61
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

# Flags are read from the most significant bit down, as the diagrams of RFCs number bits (docs/sasp.md).
PUSH, TRUST, NO_CHANGE = 0x80, 0x40, 0x20
CONTACT, QUIESCED, BY_BALANCER, CONFIDENT = 0x80, 0x40, 0x20, 0x10
FROM_BALANCER = 0x80
QUIESCE = 0x80
MAPPED = bytes(10) + b"\xff\xff"
MOST_WEIGHT = LONGEST = 0xFFFF


class MalformedMessageError(Exception):
    """Bytes that are no message of this protocol. `code`: the return code that says so; `at`: the offset;
    `reply`: the type of the reply that the message would have had, or None.
    """

    def __init__(self, text, at=0, code=NOT_UNDERSTOOD, reply=None):
        super().__init__(f"{text} (byte {at})")
        self.code, self.at, self.reply = code, at, reply


class Bounds(NamedTuple):
    """What one peer may send: bytes in a message, groups in it, members in a group."""

    message_bytes: int = 1 << 20
    groups: int = 64
    members: int = 1024


class Member(NamedTuple):
    """A member: IP protocol number, port, address as 16 bytes (IPv4 as ::ffff:a.b.c.d), and a label."""

    protocol: int
    port: int
    address: bytes
    label: bytes = b""

    @classmethod
    def at(cls, address, port, label=b"", protocol=6):
        parsed = ipaddress.ip_address(address)
        return cls(
            protocol, port, MAPPED + parsed.packed if parsed.version == 4 else parsed.packed, label
        )

    def place(self):
        """(address, port): an IPv4 address is the same in its mapped and in its older compatible form."""
        mapped = self.address[:12] == MAPPED or (
            self.address[:12] == bytes(12) and self.address[12:] > b"\0\0\0\1"
        )
        packed = self.address[12:] if mapped else self.address
        return str(ipaddress.ip_address(packed)), self.port


class Entry(NamedTuple):
    """A member's weight: 0 to 65535, the opaque state that its agent last gave, and flags."""

    member: Member
    weight: int
    flags: int
    state: int = 0


# Reading.


class Reader:
    """Steps through one message and never past the end of what is open."""

    def __init__(self, data, bounds, reply=None):
        self.data, self.at, self.end, self.bounds, self.reply = data, 0, len(data), bounds, reply

    def fail(self, text, code=NOT_UNDERSTOOD):
        raise MalformedMessageError(text, self.at, code, self.reply)

    def take(self, size, what):
        if self.at + size > self.end:
            self.fail(f"{what} needs {size} bytes, {self.end - self.at} are left")
        piece = self.data[self.at : self.at + size]
        self.at += size
        return piece

    def number(self, size, what):
        return int.from_bytes(self.take(size, what), "big")

    def text(self, what):
        return bytes(self.take(self.number(1, f"length of {what}"), what))

    def open(self, kind, what):
        """Enters a component; returns what `close` needs to check that it was filled exactly."""
        start, outer = self.at, self.end
        found, length = self.number(2, f"type of {what}"), self.number(2, f"length of {what}")
        if found != kind:
            self.at = start
            self.fail(f"{what} should have type {kind:#06x}, not {found:#06x}")
        if length < 4 or start + length > outer:
            self.fail(f"{what} states {length} bytes, {outer - start} are left")
        self.end = start + length
        return outer

    def close(self, outer, what):
        if self.at != self.end:
            self.fail(f"{what} states {self.end - self.at} bytes more than it holds")
        self.end = outer

    def count(self, most, what):
        count = self.number(2, f"count of {what}")
        if count > most:
            self.fail(f"{count} {what}, {most} at most", NOT_ACCEPTED)
        return count

    def member(self):
        outer = self.open(MEMBER, "a member")
        protocol, port = self.number(1, "protocol"), self.number(2, "port")
        member = Member(protocol, port, bytes(self.take(16, "address")), self.text("label"))
        self.close(outer, "a member")
        return member

    def group(self):
        """(load balancer's id, group's name)"""
        outer = self.open(GROUP, "a group")
        named = self.text("load balancer's id"), self.text("group's name")
        self.close(outer, "a group")
        return named

    def entry(self):
        outer = self.open(WEIGHT_ENTRY, "a weight entry")
        member = self.member()
        state, flags, weight = (
            self.number(1, "state"),
            self.number(1, "flags"),
            self.number(2, "weight"),
        )
        self.close(outer, "a weight entry")
        return Entry(member, weight, flags, state)

    def state(self):
        """(member, opaque state, quiesce)"""
        outer = self.open(MEMBER_STATE, "a member's state")
        member = self.member()
        stated = member, self.number(1, "state"), bool(self.number(1, "quiesce flag") & QUIESCE)
        self.close(outer, "a member's state")
        return stated

    def groups(self, kind, one, what):
        """Groups with what they hold: [((id, name), [..]), ..]"""
        found = []
        for _ in range(self.count(self.bounds.groups, "groups")):
            outer = self.open(kind, what)
            count = self.count(self.bounds.members, "members")
            named = self.group()
            found.append((named, [one() for _ in range(count)]))
            self.close(outer, what)
        return found

    def names(self):
        return [self.group() for _ in range(self.count(self.bounds.groups, "groups"))]


REPLIES = {
    REGISTER: REGISTERED,
    DEREGISTER: DEREGISTERED,
    GET_WEIGHTS: WEIGHTS,
    SET_BALANCER: BALANCER_SET,
    SET_MEMBERS: MEMBERS_SET,
}


def head(data, bounds):
    """(length, id) of the message that begins with these 13 bytes."""
    kind, length, version, whole, number = HEADER.unpack(data)
    if kind != HEADER_TYPE or length != HEADER.size:
        raise MalformedMessageError(f"no message header: type {kind:#06x}, length {length}")
    if version != VERSION:
        raise MalformedMessageError(f"version {version}, only {VERSION} is spoken", 4)
    if not HEADER.size + 4 <= whole <= bounds.message_bytes:
        raise MalformedMessageError(
            f"a message of {whole} bytes, {bounds.message_bytes} at most", 5
        )
    return whole, number


def dispatch(data, handler, bounds=Bounds()):
    """Reads one whole message, header included, and calls the handler's method for it; the id goes first.

    Methods: register(id, by_balancer, groups of members), deregister(id, by_balancer, reason, groups),
    get_weights(id, group names), set_balancer(id, uid, health, push, trust, no_change),
    set_members(id, by_balancer, groups of states); and for a load balancer: answered(id, reply type, code),
    weights(id, code, interval in seconds, groups of entries), sent_weights(id, groups of entries).
    """
    whole, number = head(data[: HEADER.size], bounds)
    if whole != len(data):
        raise MalformedMessageError(f"a message of {len(data)} bytes states {whole}", 5)
    kind, length = struct.unpack_from("!HH", data, HEADER.size)
    reader = Reader(data, bounds, REPLIES.get(kind))
    reader.at = HEADER.size + 4
    # Whether a message component counts the groups in it is read both ways; nothing else is.
    fixed = {
        REGISTER: 7,
        DEREGISTER: 8,
        GET_WEIGHTS: 6,
        WEIGHTS: 9,
        SEND_WEIGHTS: 6,
        SET_MEMBERS: 7,
    }.get(kind)
    if length not in (whole - HEADER.size, fixed):
        reader.fail(
            f"a message component states {length} bytes, {whole - HEADER.size} follow the header"
        )
    if kind == REGISTER:
        by_balancer = bool(reader.number(1, "flags") & FROM_BALANCER)
        call = (
            handler.register,
            by_balancer,
            reader.groups(GROUP_OF_MEMBERS, reader.member, "a group of members"),
        )
    elif kind == DEREGISTER:
        by_balancer, reason = (
            bool(reader.number(1, "flags") & FROM_BALANCER),
            reader.number(1, "reason"),
        )
        groups = reader.groups(GROUP_OF_MEMBERS, reader.member, "a group of members")
        call = handler.deregister, by_balancer, reason, groups
    elif kind == GET_WEIGHTS:
        call = handler.get_weights, reader.names()
    elif kind == SET_BALANCER:
        uid, health, flags = (
            reader.text("load balancer's id"),
            reader.number(1, "health"),
            reader.number(1, "flags"),
        )
        call = (
            handler.set_balancer,
            uid,
            health,
            bool(flags & PUSH),
            bool(flags & TRUST),
            bool(flags & NO_CHANGE),
        )
    elif kind == SET_MEMBERS:
        by_balancer = bool(reader.number(1, "flags") & FROM_BALANCER)
        call = (
            handler.set_members,
            by_balancer,
            reader.groups(GROUP_OF_STATES, reader.state, "a group of states"),
        )
    elif kind in (REGISTERED, DEREGISTERED, BALANCER_SET, MEMBERS_SET):
        call = handler.answered, kind, reader.number(1, "return code")
    elif kind == WEIGHTS:
        code, interval = reader.number(1, "return code"), reader.number(2, "interval")
        call = (
            handler.weights,
            code,
            interval,
            reader.groups(GROUP_OF_WEIGHTS, reader.entry, "a group of weights"),
        )
    elif kind == SEND_WEIGHTS:
        call = (
            handler.sent_weights,
            reader.groups(GROUP_OF_WEIGHTS, reader.entry, "a group of weights"),
        )
    else:
        reader.fail(f"unknown message type {kind:#06x}")
    if reader.at != reader.end:
        reader.fail(f"{reader.end - reader.at} bytes after the end of the message")
    method, *fields = call
    method(number, *fields)


def introduces(data):
    """Whether this message, whole or not, is one in which a load balancer says who it is."""
    return data[HEADER.size : HEADER.size + 2] == struct.pack("!H", SET_BALANCER)


# Writing.


def component(kind, *parts):
    body = b"".join(parts)
    if len(body) > LONGEST - 4:
        raise ValueError(f"a component of {len(body) + 4} bytes; its length can state {LONGEST}")
    return struct.pack("!HH", kind, len(body) + 4) + body


def short(text):
    if len(text) > 255:
        raise ValueError(f"{len(text)} bytes, 255 at most")
    return bytes([len(text)]) + text


def message(number, kind, *parts):
    body = component(kind, *parts)
    return HEADER.pack(HEADER_TYPE, HEADER.size, VERSION, HEADER.size + len(body), number) + body


def member_bytes(member):
    return component(
        MEMBER,
        struct.pack("!BH", member.protocol, member.port),
        member.address,
        short(member.label),
    )


def group_bytes(named):
    return component(GROUP, short(named[0]), short(named[1]))


def entry_bytes(entry):
    return component(
        WEIGHT_ENTRY,
        member_bytes(entry.member),
        struct.pack("!BBH", entry.state, entry.flags, entry.weight),
    )


def state_bytes(stated):
    member, state, quiesce = stated
    return component(MEMBER_STATE, member_bytes(member), bytes([state, QUIESCE if quiesce else 0]))


def many(kind, groups, one):
    parts = [
        component(kind, struct.pack("!H", len(held)), group_bytes(named), *map(one, held))
        for named, held in groups
    ]
    return struct.pack("!H", len(parts)) + b"".join(parts)


def register(number, by_balancer, groups):
    return message(
        number,
        REGISTER,
        bytes([FROM_BALANCER if by_balancer else 0]),
        many(GROUP_OF_MEMBERS, groups, member_bytes),
    )


def deregister(number, by_balancer, reason, groups):
    return message(
        number,
        DEREGISTER,
        bytes([FROM_BALANCER if by_balancer else 0, reason]),
        many(GROUP_OF_MEMBERS, groups, member_bytes),
    )


def get_weights(number, names):
    return message(number, GET_WEIGHTS, struct.pack("!H", len(names)), *map(group_bytes, names))


def set_balancer(number, uid, health, push, trust, no_change):
    flags = (PUSH if push else 0) | (TRUST if trust else 0) | (NO_CHANGE if no_change else 0)
    return message(number, SET_BALANCER, short(uid), bytes([health, flags]))


def set_members(number, by_balancer, groups):
    return message(
        number,
        SET_MEMBERS,
        bytes([FROM_BALANCER if by_balancer else 0]),
        many(GROUP_OF_STATES, groups, state_bytes),
    )


def answer(number, kind, code):
    """The reply to a registration, deregistration or state message; to a request for weights, one without any."""
    if kind == WEIGHTS:
        return weights(number, code, 0, [])
    return message(number, kind, bytes([code]))


def weights(number, code, interval, groups):
    return message(
        number,
        WEIGHTS,
        struct.pack("!BH", code, interval),
        many(GROUP_OF_WEIGHTS, groups, entry_bytes),
    )


def send_weights(number, groups):
    return message(number, SEND_WEIGHTS, many(GROUP_OF_WEIGHTS, groups, entry_bytes))
