"""Reads the components of one message, and never past the end of a component."""

from collections.abc import Callable
from typing import NoReturn, TypeVar

from .constants import (
    COMPONENT_HEADER,
    FROM_BALANCER,
    GROUP,
    GROUP_OF_MEMBERS,
    GROUP_OF_STATES,
    GROUP_OF_WEIGHTS,
    MEMBER,
    MEMBER_STATE,
    NOT_ACCEPTED,
    NOT_UNDERSTOOD,
    QUIESCE,
    WEIGHT_ENTRY,
)
from .model import (
    Bounds,
    Entry,
    GroupName,
    MalformedSaspMessageError,
    Member,
    MemberGroup,
    MemberState,
    StateGroup,
    WeightGroup,
)

_Item = TypeVar("_Item")


class MessageReader:
    """A read position in one message, limited to the innermost component that is open."""

    def __init__(self, data: bytes, bounds: Bounds, reply_type: int | None = None) -> None:
        self.data = data
        self.offset = 0
        self.end = len(data)
        self.bounds = bounds
        self.reply_type = reply_type

    def fail(self, text: str, return_code: int = NOT_UNDERSTOOD) -> NoReturn:
        """Raise an error for this message at the current offset."""
        raise MalformedSaspMessageError(text, self.offset, return_code, self.reply_type)

    def take(self, size: int, what: str) -> bytes:
        """Return the next bytes of the open component."""
        if self.offset + size > self.end:
            self.fail(f"{what} needs {size} bytes, {self.end - self.offset} are left")
        taken = self.data[self.offset : self.offset + size]
        self.offset += size
        return taken

    def number(self, size: int, what: str) -> int:
        """Read an unsigned number of `size` bytes."""
        return int.from_bytes(self.take(size, what), "big")

    def text(self, what: str) -> bytes:
        """Read a text that is preceded by its length."""
        return bytes(self.take(self.number(1, f"length of {what}"), what))

    def open(self, component_type: int, what: str) -> int:
        """Enter a component, and return the end of the enclosing one, which `close` restores."""
        start = self.offset
        outer_end = self.end
        found = self.number(2, f"type of {what}")
        length = self.number(2, f"length of {what}")
        if found != component_type:
            self.offset = start
            self.fail(f"{what} should have type {component_type:#06x}, not {found:#06x}")
        if length < COMPONENT_HEADER.size or start + length > outer_end:
            self.fail(f"{what} states {length} bytes, but {outer_end - start} are left")
        self.end = start + length
        return outer_end

    def close(self, outer_end: int, what: str) -> None:
        """Leave a component, which must have been read to its end."""
        if self.offset != self.end:
            self.fail(f"{what} has {self.end - self.offset} bytes more than its content needs")
        self.end = outer_end

    def count(self, limit: int, what: str) -> int:
        """Read a count, which must not exceed `limit`."""
        count = self.number(2, f"count of {what}")
        if count > limit:
            self.fail(f"{count} {what}, {limit} at most", NOT_ACCEPTED)
        return count

    def member(self) -> Member:
        """Read a member."""
        outer_end = self.open(MEMBER, "a member")
        protocol = self.number(1, "protocol")
        port = self.number(2, "port")
        member = Member(protocol, port, bytes(self.take(16, "address")), self.text("label"))
        self.close(outer_end, "a member")
        return member

    def group_name(self) -> GroupName:
        """Read the id of a group's load balancer and the group's name."""
        outer_end = self.open(GROUP, "a group")
        name = (self.text("load balancer's id"), self.text("group's name"))
        self.close(outer_end, "a group")
        return name

    def entry(self) -> Entry:
        """Read a weight entry."""
        outer_end = self.open(WEIGHT_ENTRY, "a weight entry")
        member = self.member()
        state = self.number(1, "state")
        flags = self.number(1, "flags")
        weight = self.number(2, "weight")
        self.close(outer_end, "a weight entry")
        return Entry(member, weight, flags, state)

    def member_state(self) -> MemberState:
        """Read the stated condition of a member."""
        outer_end = self.open(MEMBER_STATE, "a member's state")
        member = self.member()
        state = self.number(1, "state")
        quiesce = bool(self.number(1, "quiesce flag") & QUIESCE)
        self.close(outer_end, "a member's state")
        return MemberState(member, state, quiesce)

    def groups(
        self, component_type: int, read_item: Callable[[], _Item], what: str
    ) -> list[tuple[GroupName, list[_Item]]]:
        """Read groups, each with its name and items."""
        groups = []
        for _ in range(self.count(self.bounds.groups, "groups")):
            outer_end = self.open(component_type, what)
            count = self.count(self.bounds.members, "members")
            name = self.group_name()
            groups.append((name, [read_item() for _ in range(count)]))
            self.close(outer_end, what)
        return groups

    def group_names(self) -> list[GroupName]:
        """Read a list of group names."""
        return [self.group_name() for _ in range(self.count(self.bounds.groups, "groups"))]

    def by_balancer(self) -> bool:
        """Read the flags of a request, and return whether a load balancer sent it, not a member."""
        return bool(self.number(1, "flags") & FROM_BALANCER)

    def member_groups(self) -> list[MemberGroup]:
        """Read groups of members."""
        return self.groups(GROUP_OF_MEMBERS, self.member, "a group of members")

    def weight_groups(self) -> list[WeightGroup]:
        """Read groups of weight entries."""
        return self.groups(GROUP_OF_WEIGHTS, self.entry, "a group of weights")

    def state_groups(self) -> list[StateGroup]:
        """Read groups of member states."""
        return self.groups(GROUP_OF_STATES, self.member_state, "a group of states")
