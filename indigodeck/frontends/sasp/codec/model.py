"""The values in messages of the Server/Application State Protocol, and the error of its codec."""

import ipaddress
from typing import NamedTuple

from ....errors import MalformedMessageError
from .constants import (
    NOT_UNDERSTOOD,
)

TCP = 6  # the IP protocol number
IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"
IPV4_COMPATIBLE_PREFIX = bytes(12)

GroupName = tuple[bytes, bytes]  # the id of the load balancer, the name of the group
Address = tuple[str, int]


class MalformedSaspMessageError(MalformedMessageError):
    """Bytes that are not a valid message of this protocol.

    `return_code` is the protocol's code for the problem, `offset` its position in the message, and
    `reply_type` the type of the reply to such a message, or None if no reply can be given.
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
    """Limits for messages of a peer: bytes and groups in a message, members in a group."""

    message_bytes: int = 1 << 20
    groups: int = 64
    members: int = 1024


class Member(NamedTuple):
    """A member of a group. `address` has 16 bytes; an IPv4 address is mapped to ::ffff:a.b.c.d."""

    protocol: int
    port: int
    address: bytes
    label: bytes = b""

    @classmethod
    def at(cls, address: str, port: int, label: bytes = b"", protocol: int = TCP) -> "Member":
        """Return the member at an IP address in text form."""
        parsed = ipaddress.ip_address(address)
        packed = IPV4_MAPPED_PREFIX + parsed.packed if parsed.version == 4 else parsed.packed
        return cls(protocol, port, packed, label)

    def endpoint(self) -> Address:
        """Return the address as text and the port.

        The mapped and the older "compatible" form of an IPv4 address give the same result.
        """
        prefix = self.address[:12]
        rest = self.address[12:]
        is_ipv4 = prefix == IPV4_MAPPED_PREFIX or (
            prefix == IPV4_COMPATIBLE_PREFIX and rest > b"\0\0\0\1"
        )
        return str(ipaddress.ip_address(rest if is_ipv4 else self.address)), self.port


class Entry(NamedTuple):
    """A member's weight, 0 to 65535, its flags, and the opaque state last stated for it."""

    member: Member
    weight: int
    flags: int
    state: int = 0


class MemberState(NamedTuple):
    """The stated condition of a member: an opaque state, and whether it wants no new requests."""

    member: Member
    state: int
    quiesce: bool


MemberGroup = tuple[GroupName, list[Member]]
WeightGroup = tuple[GroupName, list[Entry]]
StateGroup = tuple[GroupName, list[MemberState]]
