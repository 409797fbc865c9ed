"""Requests that change registrations, first checked as a whole, then carried out, without I/O."""

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

# The weights of a group must fit in one component, whose length field has 16 bits. With long labels
# a few members can exceed that.
ENTRY_BYTES = 44  # the size of a weight entry without its label, rounded up
GROUP_BYTES = 1024  # the size of a group of weights without its entries, rounded up


class SaspRequestRejectedError(RejectedError):
    """A request that can't be carried out; `return_code` states the reason."""

    def __init__(self, return_code: int) -> None:
        super().__init__(codec.RETURN_CODE_MEANINGS[return_code])
        self.return_code = return_code


class _Deregistration(NamedTuple):
    """Members to remove from a group; without addresses, the whole group is removed."""

    owner: "Conversation"
    class_index: int
    addresses: list[Address]


class GroupMembership:
    """Carries out the requests of one conversation, of a load balancer or of members.

    If a method raises SaspRequestRejectedError, it has not changed anything.
    """

    def __init__(self, registry: RegistrationRegistry, conversation: "Conversation") -> None:
        self._registry = registry
        self._conversation = conversation

    def register(self, by_balancer: bool, groups: Sequence[MemberGroup]) -> "Conversation":
        """Add members to groups, and return the conversation that owns the groups."""
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
        for class_index, added_members in additions.items():
            group = owner.groups.setdefault(class_index, Group())
            for member in added_members:
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
        """Remove members, whole groups for which no members are named, or all groups."""
        if not groups:
            if not by_balancer or self._conversation.proxy is None:
                raise SaspRequestRejectedError(UNKNOWN_BALANCER)
            self._conversation.groups.clear()
            return
        deregistrations: list[_Deregistration] = []
        for name, members in groups:
            deregistration = self._check_deregistration(by_balancer, name, members)
            if any(deregistration.class_index == other.class_index for other in deregistrations):
                raise SaspRequestRejectedError(DUPLICATE_GROUP)
            group = deregistration.owner.groups[deregistration.class_index]
            if any(address not in group.members for address in deregistration.addresses):
                raise SaspRequestRejectedError(NOT_REGISTERED)
            deregistrations.append(deregistration)
        for owner, class_index, addresses in deregistrations:
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
        """Record states of members, stated by their load balancer or by themselves."""
        changes: list[tuple[Conversation, Group, Sequence[MemberState]]] = []
        for name, states in groups:
            owner = self._owner_of(by_balancer, name)
            class_index = self._registry.class_indices.get(name[1])
            if class_index is None or class_index not in owner.groups:
                raise SaspRequestRejectedError(UNKNOWN_GROUP)
            group = owner.groups[class_index]
            known_addresses = owner.known_addresses(class_index)
            if any(stated.member.endpoint() not in known_addresses for stated in states):
                raise SaspRequestRejectedError(NOT_REGISTERED)
            changes.append((owner, group, states))
        for owner, group, member_states in changes:
            for stated in member_states:
                self._set_state(group, stated, by_balancer)
            if owner.push:
                owner.connection.request_write()

    def _set_state(self, group: Group, stated: MemberState, by_balancer: bool) -> None:
        address = stated.member.endpoint()
        group.states[address] = stated.state
        if not by_balancer:
            # A member's own statement applies to all load balancers.
            self._registry.environment.on_host_quiesced(address, stated.quiesce)
        elif stated.quiesce:
            group.quiesced.add(address)
        else:
            group.quiesced.discard(address)

    def _owner_of(self, by_balancer: bool, name: GroupName) -> "Conversation":
        """Return the conversation of the load balancer that owns a group.

        Members have connections of their own, and name the load balancer in their requests.
        """
        load_balancer_id, group_name = name
        if not load_balancer_id:
            raise SaspRequestRejectedError(BALANCER_SIZE)
        if not group_name:
            raise SaspRequestRejectedError(GROUP_NAME_SIZE)
        if by_balancer:
            conversation = self._conversation
            if load_balancer_id != conversation.load_balancer_id or conversation.proxy is None:
                raise SaspRequestRejectedError(UNKNOWN_BALANCER)
            return conversation
        owner = self._registry.conversations.get(load_balancer_id)
        if owner is None:
            raise SaspRequestRejectedError(BALANCER_ABSENT)
        return owner
