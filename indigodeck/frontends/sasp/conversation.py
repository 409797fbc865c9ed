"""What is said on one SASP connection, free of I/O: who registers what, and what it is told.

A load balancer is a proxy, a group is a class, a member is a server; the weights of a group are the
class's table as the planner's host holds it for that proxy (docs/sasp.md).
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, NoReturn, Protocol

from ...errors import RejectedError
from . import codec
from .codec import (
    ALREADY_REGISTERED,
    BALANCER_ABSENT,
    BALANCER_SET,
    BALANCER_SIZE,
    DEREGISTERED,
    DONE,
    DUPLICATE_GROUP,
    DUPLICATE_MEMBER,
    GROUP_NAME_SIZE,
    INVALID_GROUP,
    MEMBERS_SET,
    NOT_ACCEPTED,
    NOT_REGISTERED,
    REGISTERED,
    UNKNOWN_BALANCER,
    UNKNOWN_GROUP,
    Address,
    Entry,
    GroupName,
    MalformedSaspMessageError,
    Member,
    MemberGroup,
    StatedMember,
    StateGroup,
    WeightGroup,
)
from .group_weights import GroupWeights
from .registration import Group, RegistrationRegistry, SentEntry

# The weights of a group must fit one component, whose length is 16 bits: long labels fill that
# with few members.
ENTRY_BYTES = 44  # of an entry without its label, rounded up
GROUP_BYTES = 1024  # what a component of weights holds beside its entries, rounded up


class ConnectionPort(Protocol):
    """What a conversation may do with its connection."""

    def send(self, data: bytes) -> None:
        """Send an answer."""

    def request_write(self) -> None:
        """Ask to be called for `next_message` as soon as the peer may be written to."""

    def close(self, reason: str) -> None:
        """Close the connection after what was answered has left."""


class _RequestRejectedError(RejectedError):
    """A request that can't be carried out; `return_code` says why."""

    def __init__(self, return_code: int) -> None:
        super().__init__(codec.MEANINGS[return_code])
        self.return_code = return_code


class _Deregistration(NamedTuple):
    """What leaves a group; no addresses: the whole group."""

    owner: "Conversation"
    class_index: int
    addresses: list[Address]


class Conversation:
    """One connection, of a load balancer or of members. Each request is answered once.

    A request is checked as a whole before anything is changed: a rejected one changes nothing.
    """

    def __init__(self, registry: RegistrationRegistry, connection: ConnectionPort) -> None:
        self.registry = registry
        self.connection = connection
        self.planner_host = registry.planner_host
        self.load_balancer_id: bytes | None = None
        self.proxy: int | None = None
        self.push = False
        self.trust = False
        self.no_change = False
        self.groups: dict[int, Group] = {}  # by class
        self._weights = GroupWeights(registry.planner_host, registry.environment)

    def name(self) -> str | None:
        """Return the load balancer's id for the log, or None if it has not said who it is."""
        if not self.load_balancer_id:
            return None
        return self.load_balancer_id.decode("utf-8", "replace")

    def read(self, message: bytes) -> None:
        """Take one whole message in, and answer it or close the connection."""
        if self.proxy is not None:
            self.planner_host.on_proxy_request(self.proxy)
        try:
            codec.dispatch(message, self, self.registry.bounds)
        except MalformedSaspMessageError as error:
            self.registry.environment.note(
                "message_malformed", peer=self.name(), reason=str(error), code=error.return_code
            )
            if error.reply_type is None:
                self.connection.close(str(error))
                return
            message_id = codec.message_id_of(message)
            self.connection.send(codec.answer(message_id, error.reply_type, error.return_code))

    # The messages of load balancers and members, as `codec.dispatch` names them.

    def set_balancer(
        self,
        message_id: int,
        load_balancer_id: bytes,
        health: int,
        push: bool,
        trust: bool,
        no_change: bool,
    ) -> None:
        """Take who this load balancer is, and how it wants weights."""
        self._answer(message_id, BALANCER_SET, lambda: self._introduce(load_balancer_id))
        if self.load_balancer_id != load_balancer_id or self.proxy is None:
            return
        turned_on = push and not self.push
        self.push = push
        self.trust = trust
        self.no_change = no_change
        if turned_on and self.groups:
            self.connection.request_write()

    def _introduce(self, load_balancer_id: bytes) -> None:
        if not load_balancer_id:
            raise _RequestRejectedError(BALANCER_SIZE)
        if self.load_balancer_id not in (None, load_balancer_id):
            raise _RequestRejectedError(NOT_ACCEPTED)
        if self.load_balancer_id == load_balancer_id:
            return
        environment = self.registry.environment
        proxy = environment.proxy_index(load_balancer_id)
        if proxy is None:
            self._reject_proxy(load_balancer_id, "not in charge of it, or too many relays")
        if not self.registry.claim(load_balancer_id, self):
            self._reject_proxy(load_balancer_id, "its id is taken over by turns")
        self.load_balancer_id = load_balancer_id
        self.proxy = proxy
        environment.on_proxy_joined(proxy, load_balancer_id)

    def _reject_proxy(self, load_balancer_id: bytes, reason: str) -> NoReturn:
        self.registry.environment.note(
            "proxy_rejected", peer=load_balancer_id.decode("utf-8", "replace"), reason=reason
        )
        raise _RequestRejectedError(NOT_ACCEPTED)

    def register(self, message_id: int, by_balancer: bool, groups: Sequence[MemberGroup]) -> None:
        """Add members to groups."""
        owners: list[Conversation] = []
        self._answer(
            message_id, REGISTERED, lambda: owners.append(self._register(by_balancer, groups))
        )
        for owner in owners:
            if owner.push:
                owner.connection.request_write()

    def _register(self, by_balancer: bool, groups: Sequence[MemberGroup]) -> "Conversation":
        """Add members, and return the conversation whose groups they are in."""
        additions: dict[int, Sequence[Member]] = {}
        owner = self
        for name, members in groups:
            owner = self._owner_of(by_balancer, name)
            class_index = self.registry.class_indices.get(name[1])
            if class_index is None:
                raise _RequestRejectedError(INVALID_GROUP)
            if class_index in additions:
                raise _RequestRejectedError(DUPLICATE_MEMBER)
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
            raise _RequestRejectedError(DUPLICATE_MEMBER)
        if any(address in group.members for address in addresses):
            raise _RequestRejectedError(ALREADY_REGISTERED)
        all_members = [*group.members.values(), *members]
        needed_bytes = sum(ENTRY_BYTES + len(member.label) for member in all_members)
        if (
            len(all_members) > self.registry.bounds.members
            or needed_bytes > codec.LONGEST_COMPONENT - GROUP_BYTES
        ):
            raise _RequestRejectedError(NOT_ACCEPTED)

    def deregister(
        self, message_id: int, by_balancer: bool, reason: int, groups: Sequence[MemberGroup]
    ) -> None:
        """Remove members from groups, whole groups where no member is named, or all groups."""
        self._answer(message_id, DEREGISTERED, lambda: self._deregister(by_balancer, groups))

    def _deregister(self, by_balancer: bool, groups: Sequence[MemberGroup]) -> None:
        if not groups:
            if not by_balancer or self.proxy is None:
                raise _RequestRejectedError(UNKNOWN_BALANCER)
            self.groups.clear()
            return
        leaving: list[_Deregistration] = []
        for name, members in groups:
            deregistration = self._check_deregistration(by_balancer, name, members)
            if any(deregistration.class_index == other.class_index for other in leaving):
                raise _RequestRejectedError(DUPLICATE_GROUP)
            group = deregistration.owner.groups[deregistration.class_index]
            if any(address not in group.members for address in deregistration.addresses):
                raise _RequestRejectedError(NOT_REGISTERED)
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
        class_index = self.registry.class_indices.get(name[1])
        if class_index is None or class_index not in owner.groups:
            raise _RequestRejectedError(UNKNOWN_GROUP)
        addresses = [member.endpoint() for member in members]
        if len(set(addresses)) < len(addresses):
            raise _RequestRejectedError(DUPLICATE_MEMBER)
        return _Deregistration(owner, class_index, addresses)

    def get_weights(self, message_id: int, names: Sequence[GroupName]) -> None:
        """Answer with the weights of groups; none named means all."""
        if not names:
            own_id = self.load_balancer_id or b""
            names = [(own_id, self.registry.group_names[index]) for index in sorted(self.groups)]
        return_code = DONE
        class_indices: list[int | None] = []
        for name in names:
            class_index = self.registry.class_indices.get(name[1])
            found = self._polled_group_code(name, class_index, class_indices)
            if found != DONE:
                return_code = found  # the last of several is told
            class_indices.append(class_index)
        if return_code != DONE:
            self.connection.send(codec.answer(message_id, codec.WEIGHTS, return_code))
            return
        groups = [
            self._weight_group(class_index)
            for class_index in class_indices
            if class_index is not None
        ]
        self.connection.send(codec.weights(message_id, DONE, self.registry.poll_interval, groups))

    def _polled_group_code(
        self, name: GroupName, class_index: int | None, earlier: Sequence[int | None]
    ) -> int:
        load_balancer_id = name[0]
        if not load_balancer_id:
            return BALANCER_SIZE
        if load_balancer_id != self.load_balancer_id or self.proxy is None:
            return UNKNOWN_BALANCER
        if class_index not in self.groups:
            return UNKNOWN_GROUP
        if class_index in earlier:
            return DUPLICATE_GROUP
        return DONE

    def set_members(self, message_id: int, by_balancer: bool, groups: Sequence[StateGroup]) -> None:
        """Take states of members, told by their load balancer or by themselves."""
        self._answer(message_id, MEMBERS_SET, lambda: self._set_states(by_balancer, groups))

    def _set_states(self, by_balancer: bool, groups: Sequence[StateGroup]) -> None:
        changes: list[tuple[Conversation, Group, Sequence[StatedMember]]] = []
        for name, states in groups:
            owner = self._owner_of(by_balancer, name)
            class_index = self.registry.class_indices.get(name[1])
            if class_index is None or class_index not in owner.groups:
                raise _RequestRejectedError(UNKNOWN_GROUP)
            group = owner.groups[class_index]
            known = owner.known_addresses(class_index)
            if any(stated.member.endpoint() not in known for stated in states):
                raise _RequestRejectedError(NOT_REGISTERED)
            changes.append((owner, group, states))
        for owner, group, stated_members in changes:
            for stated in stated_members:
                self._set_state(group, stated, by_balancer)
            if owner.push:
                owner.connection.request_write()

    def known_addresses(self, class_index: int) -> set[Address | None]:
        """Return the addresses of a group's members, and of its table where that is trusted."""
        known: set[Address | None] = set(self.groups[class_index].members)
        if self.trust and self.proxy is not None:
            table = self.planner_host.table_for(self.proxy, class_index) or {}
            known.update(self.registry.environment.address_of(server) for server in table)
        return known

    def _set_state(self, group: Group, stated: StatedMember, by_balancer: bool) -> None:
        address = stated.member.endpoint()
        group.states[address] = stated.state
        if not by_balancer:
            # What a member says of itself holds for all load balancers.
            self.registry.environment.on_host_quiesced(address, stated.quiesce)
        elif stated.quiesce:
            group.quiesced.add(address)
        else:
            group.quiesced.discard(address)

    def answered(self, message_id: int, reply_type: int, return_code: int) -> None:
        """Reject a reply."""
        raise MalformedSaspMessageError(f"a reply ({reply_type:#06x}) to nothing that was asked")

    def weights(
        self, message_id: int, return_code: int, interval: int, groups: Sequence[WeightGroup]
    ) -> None:
        """Reject weights."""
        raise MalformedSaspMessageError("weights are sent to relays, not by them")

    def sent_weights(self, message_id: int, groups: Sequence[WeightGroup]) -> None:
        """Reject weights."""
        raise MalformedSaspMessageError("weights are sent to relays, not by them")

    def _owner_of(self, by_balancer: bool, name: GroupName) -> "Conversation":
        """Return whose groups are spoken of: members have connections of their own."""
        load_balancer_id, group_name = name
        if not load_balancer_id:
            raise _RequestRejectedError(BALANCER_SIZE)
        if not group_name:
            raise _RequestRejectedError(GROUP_NAME_SIZE)
        if by_balancer:
            if load_balancer_id != self.load_balancer_id or self.proxy is None:
                raise _RequestRejectedError(UNKNOWN_BALANCER)
            return self
        owner = self.registry.conversations.get(load_balancer_id)
        if owner is None:
            raise _RequestRejectedError(BALANCER_ABSENT)
        return owner

    def _answer(self, message_id: int, reply_type: int, carry_out: Callable[[], object]) -> None:
        """Carry a request out, and answer how that ended."""
        return_code = DONE
        try:
            carry_out()
        except _RequestRejectedError as error:
            return_code = error.return_code
        self.connection.send(codec.answer(message_id, reply_type, return_code))

    # What goes out.

    def next_message(self) -> bytes | None:
        """Return the message that brings a load balancer up to date.

        None where it wants no pushed weights, or nothing has changed.
        """
        if not self.push or self.proxy is None:
            return None
        groups: list[WeightGroup] = []
        for class_index in sorted(self.groups):
            sent_before = dict(self.groups[class_index].sent)
            name, entries = self._weight_group(class_index)
            if self.no_change:
                entries = [
                    entry
                    for entry in entries
                    if sent_before.get(entry.member.endpoint()) != _sent_entry(entry)
                ]
            if entries:
                groups.append((name, entries))
        return codec.send_weights(self.registry.next_message_id(), groups) if groups else None

    def _weight_group(self, class_index: int) -> WeightGroup:
        """Return all that a group's members are told, and keep it as sent."""
        assert self.proxy is not None and self.load_balancer_id is not None  # groups are a proxy's
        group = self.groups[class_index]
        table = self.planner_host.table_for(self.proxy, class_index)
        entries = self._weights.entries(group, table, self.trust)
        for entry in entries:
            group.sent[entry.member.endpoint()] = _sent_entry(entry)
        # A server that was never registered is told once to be out.
        told_out = [
            address
            for address, sent in group.sent.items()
            if sent.weight == 0 and address not in group.members
        ]
        for address in told_out:
            del group.sent[address]
        return (self.load_balancer_id, self.registry.group_names[class_index]), entries

    # How it ends.

    def on_replaced(self) -> None:
        """Stop: another connection, or another planner, speaks for this id; its proxy goes on."""
        self.proxy = None
        self.connection.close("its relay is spoken to elsewhere now")

    def on_closed(self) -> None:
        """Take note that the connection has ended."""
        if self.load_balancer_id is not None:
            self.registry.release(self.load_balancer_id, self)
        if self.proxy is not None:
            proxy = self.proxy
            self.proxy = None
            self.registry.environment.on_proxy_left(proxy)


def _sent_entry(entry: Entry) -> SentEntry:
    return SentEntry(entry.weight, entry.flags, entry.state)
