"""The values that messages of the Server/Application State Protocol carry, and its error."""

import ipaddress
from typing import NamedTuple

from ....errors import MalformedMessageError
from .constants import (
    NOT_UNDERSTOOD,
)

TCP = 6  # of IP's protocol numbers
IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"
IPV4_COMPATIBLE_PREFIX = bytes(12)

GroupName = tuple[bytes, bytes]  # the load balancer's id, the group's name
Address = tuple[str, int]


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


class MemberState(NamedTuple):
    """What is stated of a member: an opaque state, and whether it wants no new work."""

    member: Member
    state: int
    quiesce: bool


MemberGroup = tuple[GroupName, list[Member]]
WeightGroup = tuple[GroupName, list[Entry]]
StateGroup = tuple[GroupName, list[MemberState]]
