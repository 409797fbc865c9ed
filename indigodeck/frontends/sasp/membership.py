"""Requests that change what is registered: checked as a whole, then carried out; free of I/O."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from ...errors import RejectedError
from . import codec
from .codec import (
    ALREADY_REGISTERED,
    BALANCER_ABSENT,
    BALANCER_SIZE,
    DUPLICATE_GROUP,
    DUPLICATE_MEMBER,
    GROUP_NAME_SIZE,
    INVALID_GROUP,
    NOT_ACCEPTED,
    NOT_REGISTERED,
    UNKNOWN_BALANCER,
    UNKNOWN_GROUP,
    Address,
    GroupName,
    Member,
    MemberGroup,
    MemberState,
    StateGroup,
)
from .registration import Group, RegistrationRegistry

if TYPE_CHECKING:
    from .conversation import Conversation

# The weights of a group must fit one component, whose length is 16 bits: long labels fill that
# with few members.
ENTRY_BYTES = 44  # of an entry without its label, rounded up
GROUP_BYTES = 1024  # what a component of weights holds beside its entries, rounded up


class SaspRequestRejectedError(RejectedError):
    """A request that can't be carried out; `return_code` says why."""

    def __init__(self, return_code: int) -> None:
        super().__init__(codec.RETURN_CODE_MEANINGS[return_code])
        self.return_code = return_code


class _Deregistration(NamedTuple):
    """What leaves a group; no addresses: the whole group."""

    owner: "Conversation"
    class_index: int
    addresses: list[Address]


class GroupMembership:
    """Carries out the requests that one conversation makes: about its own groups, or as a member.

    Each method raises SaspRequestRejectedError before it changes anything.
    """

    def __init__(self, registry: RegistrationRegistry, speaker: "Conversation") -> None:
        self._registry = registry
        self._conversation = speaker

    def register(self, by_balancer: bool, groups: Sequence[MemberGroup]) -> "Conversation":
        """Add members, and return the conversation whose groups they are in."""
        additions: dict[int, Sequence[Member]] = {}
        owner = self._conversation
        for name, members in groups:
            owner = self._owner_of(by_balancer, name)
            class_index = self._registry.class_indices.get(name[1])
            if class_index is None:
                raise SaspRequestRejectedError(INVALID_GROUP)
            if class_index in additions:
                raise SaspRequestRejectedError(DUPLICATE_MEMBER)
            self._check_addition(owner.groups.get(class_index, Group()), members)
            additions[class_index] = members
        for class_index, added in additions.items():
            group = owner.groups.setdefault(class_index, Group())
            for member in added:
                group.members[member.endpoint()] = member
                if by_balancer:
                    group.registered_by_balancer.add(member.endpoint())
        return owner

    def _check_addition(self, group: Group, members: Sequence[Member]) -> None:
        addresses = [member.endpoint() for member in members]
        if len(set(addresses)) < len(addresses):
            raise SaspRequestRejectedError(DUPLICATE_MEMBER)
        if any(address in group.members for address in addresses):
            raise SaspRequestRejectedError(ALREADY_REGISTERED)
        all_members = [*group.members.values(), *members]
        needed_bytes = sum(ENTRY_BYTES + len(member.label) for member in all_members)
        if (
            len(all_members) > self._registry.bounds.members
            or needed_bytes > codec.MAX_COMPONENT_BYTES - GROUP_BYTES
        ):
            raise SaspRequestRejectedError(NOT_ACCEPTED)

    def deregister(self, by_balancer: bool, groups: Sequence[MemberGroup]) -> None:
        """Remove members, whole groups where no member is named, or all groups."""
        if not groups:
            if not by_balancer or self._conversation.proxy is None:
                raise SaspRequestRejectedError(UNKNOWN_BALANCER)
            self._conversation.groups.clear()
            return
        leaving: list[_Deregistration] = []
        for name, members in groups:
            deregistration = self._check_deregistration(by_balancer, name, members)
            if any(deregistration.class_index == other.class_index for other in leaving):
                raise SaspRequestRejectedError(DUPLICATE_GROUP)
            group = deregistration.owner.groups[deregistration.class_index]
            if any(address not in group.members for address in deregistration.addresses):
                raise SaspRequestRejectedError(NOT_REGISTERED)
            leaving.append(deregistration)
        for owner, class_index, addresses in leaving:
            for address in addresses:
                owner.groups[class_index].remove(address)
            if not addresses:
                del owner.groups[class_index]
            elif owner.push:
                owner.connection.request_write()

    def _check_deregistration(
        self, by_balancer: bool, name: GroupName, members: Sequence[Member]
    ) -> _Deregistration:
        owner = self._owner_of(by_balancer, name)
        class_index = self._registry.class_indices.get(name[1])
        if class_index is None or class_index not in owner.groups:
            raise SaspRequestRejectedError(UNKNOWN_GROUP)
        addresses = [member.endpoint() for member in members]
        if len(set(addresses)) < len(addresses):
            raise SaspRequestRejectedError(DUPLICATE_MEMBER)
        return _Deregistration(owner, class_index, addresses)

    def set_states(self, by_balancer: bool, groups: Sequence[StateGroup]) -> None:
        """Take states of members, told by their load balancer or by themselves."""
        changes: list[tuple[Conversation, Group, Sequence[MemberState]]] = []
        for name, states in groups:
            owner = self._owner_of(by_balancer, name)
            class_index = self._registry.class_indices.get(name[1])
            if class_index is None or class_index not in owner.groups:
                raise SaspRequestRejectedError(UNKNOWN_GROUP)
            group = owner.groups[class_index]
            known = owner.known_addresses(class_index)
            if any(stated.member.endpoint() not in known for stated in states):
                raise SaspRequestRejectedError(NOT_REGISTERED)
            changes.append((owner, group, states))
        for owner, group, stated_members in changes:
            for stated in stated_members:
                self._set_state(group, stated, by_balancer)
            if owner.push:
                owner.connection.request_write()

    def _set_state(self, group: Group, stated: MemberState, by_balancer: bool) -> None:
        address = stated.member.endpoint()
        group.states[address] = stated.state
        if not by_balancer:
            # What a member says of itself holds for all load balancers.
            self._registry.environment.on_host_quiesced(address, stated.quiesce)
        elif stated.quiesce:
            group.quiesced.add(address)
        else:
            group.quiesced.discard(address)

    def _owner_of(self, by_balancer: bool, name: GroupName) -> "Conversation":
        """Return whose groups are spoken of: members have connections of their own."""
        load_balancer_id, group_name = name
        if not load_balancer_id:
            raise SaspRequestRejectedError(BALANCER_SIZE)
        if not group_name:
            raise SaspRequestRejectedError(GROUP_NAME_SIZE)
        if by_balancer:
            speaker = self._conversation
            if load_balancer_id != speaker.load_balancer_id or speaker.proxy is None:
                raise SaspRequestRejectedError(UNKNOWN_BALANCER)
            return speaker
        owner = self._registry.conversations.get(load_balancer_id)
        if owner is None:
            raise SaspRequestRejectedError(BALANCER_ABSENT)
        return owner
