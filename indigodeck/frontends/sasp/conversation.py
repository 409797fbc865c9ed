"""The protocol logic of one SASP connection, without I/O: requests, answers and pushed weights.

In the terms of SASP, a load balancer is a proxy, a group is a class, and a member is a server. The
weights of a group are the class's table for that proxy, as held by the planner host (docs/sasp.md).
"""

from collections.abc import Callable, Sequence
from typing import NoReturn, Protocol

from . import codec
from .codec import (
    BALANCER_SET,
    BALANCER_SIZE,
    DEREGISTERED,
    DUPLICATE_GROUP,
    MEMBERS_SET,
    NOT_ACCEPTED,
    REGISTERED,
    SUCCESSFUL,
    UNKNOWN_BALANCER,
    UNKNOWN_GROUP,
    Address,
    Entry,
    GroupName,
    MalformedSaspMessageError,
    MemberGroup,
    StateGroup,
    WeightGroup,
)
from .group_weights import GroupWeights
from .membership import GroupMembership, SaspRequestRejectedError
from .registration import Group, RegistrationRegistry, SentEntry


class ConnectionPort(Protocol):
    """The interface of a connection for its conversation."""

    def send(self, data: bytes) -> None:
        """Send an answer."""

    def request_write(self) -> None:
        """Have `next_message` called as soon as the message limits allow a write to the peer."""

    def close(self, reason: str) -> None:
        """Close the connection after the pending answers have been sent."""


class Conversation:
    """The exchange with one peer, a load balancer or an agent of members.

    Each request is answered once. It is checked completely before it changes anything, so that a
    rejected request has no effect.
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
        self._membership = GroupMembership(registry, self)  # carries out changes to groups
        self._weights = GroupWeights(registry.planner_host, registry.environment)

    def name(self) -> str | None:
        """Return the load balancer's id as text for the log, or None if it is not known yet."""
        if not self.load_balancer_id:
            return None
        return self.load_balancer_id.decode("utf-8", "replace")

    def on_message(self, message: bytes) -> None:
        """Handle one complete message: answer it, or close the connection."""
        if self.proxy is not None:
            self.planner_host.on_proxy_request(self.proxy)
        try:
            codec.dispatch(message, self, self.registry.bounds)
        except MalformedSaspMessageError as error:
            self.registry.environment.log_event(
                "message_malformed", peer=self.name(), reason=str(error), code=error.return_code
            )
            if error.reply_type is None:
                self.connection.close(str(error))
                return
            message_id = codec.message_id_of(message)
            self.connection.send(codec.answer(message_id, error.reply_type, error.return_code))

    # Handlers of the messages from load balancers and members, called by `codec.dispatch`.

    def set_balancer(
        self,
        message_id: int,
        load_balancer_id: bytes,
        health: int,
        push: bool,
        trust: bool,
        no_change: bool,
    ) -> None:
        """Handle a load balancer's statement of its id, and of how it wants to get weights."""
        self._answer(message_id, BALANCER_SET, lambda: self._identify(load_balancer_id))
        if self.load_balancer_id != load_balancer_id or self.proxy is None:
            return
        push_enabled = push and not self.push
        self.push = push
        self.trust = trust
        self.no_change = no_change
        if push_enabled and self.groups:
            self.connection.request_write()

    def _identify(self, load_balancer_id: bytes) -> None:
        if not load_balancer_id:
            raise SaspRequestRejectedError(BALANCER_SIZE)
        if self.load_balancer_id not in (None, load_balancer_id):
            raise SaspRequestRejectedError(NOT_ACCEPTED)
        if self.load_balancer_id == load_balancer_id:
            return
        environment = self.registry.environment
        proxy = environment.proxy_index(load_balancer_id)
        if proxy is None:
            self._reject_proxy(load_balancer_id, "another controller leads it, or too many relays")
        if not self.registry.claim(load_balancer_id, self):
            self._reject_proxy(load_balancer_id, "different connections took over its id too often")
        self.load_balancer_id = load_balancer_id
        self.proxy = proxy
        environment.on_proxy_joined(proxy, load_balancer_id)

    def _reject_proxy(self, load_balancer_id: bytes, reason: str) -> NoReturn:
        self.registry.environment.log_event(
            "proxy_rejected", peer=load_balancer_id.decode("utf-8", "replace"), reason=reason
        )
        raise SaspRequestRejectedError(NOT_ACCEPTED)

    def register(self, message_id: int, by_balancer: bool, groups: Sequence[MemberGroup]) -> None:
        """Handle a registration of members in groups."""
        owners: list[Conversation] = []
        self._answer(
            message_id,
            REGISTERED,
            lambda: owners.append(self._membership.register(by_balancer, groups)),
        )
        for owner in owners:
            if owner.push:
                owner.connection.request_write()

    def deregister(
        self, message_id: int, by_balancer: bool, reason: int, groups: Sequence[MemberGroup]
    ) -> None:
        """Handle a deregistration of members, of whole groups without members, or of all groups."""
        self._answer(
            message_id, DEREGISTERED, lambda: self._membership.deregister(by_balancer, groups)
        )

    def get_weights(self, message_id: int, names: Sequence[GroupName]) -> None:
        """Answer with the weights of the named groups, or of all groups if none is named."""
        if not names:
            own_id = self.load_balancer_id or b""
            names = [(own_id, self.registry.group_names[index]) for index in sorted(self.groups)]
        return_code = SUCCESSFUL
        class_indices: list[int | None] = []
        for name in names:
            class_index = self.registry.class_indices.get(name[1])
            group_return_code = self._polled_group_return_code(name, class_index, class_indices)
            if group_return_code != SUCCESSFUL:
                return_code = group_return_code  # of several problems, the last one is reported
            class_indices.append(class_index)
        if return_code != SUCCESSFUL:
            self.connection.send(codec.answer(message_id, codec.WEIGHTS, return_code))
            return
        groups = [
            self._weight_group(class_index)
            for class_index in class_indices
            if class_index is not None
        ]
        self.connection.send(
            codec.weights(message_id, SUCCESSFUL, self.registry.poll_interval, groups)
        )

    def _polled_group_return_code(
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
        return SUCCESSFUL

    def set_members(self, message_id: int, by_balancer: bool, groups: Sequence[StateGroup]) -> None:
        """Handle states of members, stated by their load balancer or by themselves."""
        self._answer(
            message_id, MEMBERS_SET, lambda: self._membership.set_states(by_balancer, groups)
        )

    def answered(self, message_id: int, reply_type: int, return_code: int) -> None:
        """Reject a reply, as the planner sends no requests."""
        raise MalformedSaspMessageError(
            f"unexpected reply of type {reply_type:#06x}: no request was sent"
        )

    def weights(
        self, message_id: int, return_code: int, interval: int, groups: Sequence[WeightGroup]
    ) -> None:
        """Reject a reply with weights, which only planners send."""
        raise MalformedSaspMessageError("weights are sent to relays, not by them")

    def sent_weights(self, message_id: int, groups: Sequence[WeightGroup]) -> None:
        """Reject pushed weights, which only planners send."""
        raise MalformedSaspMessageError("weights are sent to relays, not by them")

    def _answer(self, message_id: int, reply_type: int, execute: Callable[[], object]) -> None:
        """Execute a request, and answer with the return code of the outcome."""
        return_code = SUCCESSFUL
        try:
            execute()
        except SaspRequestRejectedError as error:
            return_code = error.return_code
        self.connection.send(codec.answer(message_id, reply_type, return_code))

    def next_message(self) -> bytes | None:
        """Return the message that brings the load balancer up to date.

        Returns None if it did not ask for pushed weights, or there is nothing to send.
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
        """Return the weight entries of a group, and record them as sent."""
        # Groups only exist on the connection of a proxy.
        assert self.proxy is not None and self.load_balancer_id is not None
        group = self.groups[class_index]
        table = self.planner_host.table_for(self.proxy, class_index)
        entries = self._weights.entries(group, table, self.trust)
        for entry in entries:
            group.sent[entry.member.endpoint()] = _sent_entry(entry)
        # Weight 0 is sent only once for a server that is not a member of the group.
        removed_addresses = [
            address
            for address, sent in group.sent.items()
            if sent.weight == 0 and address not in group.members
        ]
        for address in removed_addresses:
            del group.sent[address]
        return (self.load_balancer_id, self.registry.group_names[class_index]), entries

    def known_addresses(self, class_index: int) -> set[Address | None]:
        """Return the addresses of a group's members, and with `trust` also of its table."""
        known: set[Address | None] = set(self.groups[class_index].members)
        if self.trust and self.proxy is not None:
            table = self.planner_host.table_for(self.proxy, class_index) or {}
            known.update(self.registry.environment.address_of(server) for server in table)
        return known

    def on_replaced(self) -> None:
        """Close the connection, as its proxy is now served elsewhere, and keep the proxy joined.

        Another connection has taken over the load balancer's id, or another planner serves it.
        """
        self.proxy = None
        self.connection.close("another connection or planner serves this relay now")

    def on_closed(self) -> None:
        """Handle the end of the connection: the proxy leaves, unless it is served elsewhere."""
        if self.load_balancer_id is not None:
            self.registry.release(self.load_balancer_id, self)
        if self.proxy is not None:
            proxy = self.proxy
            self.proxy = None
            self.registry.environment.on_proxy_left(proxy)


def _sent_entry(entry: Entry) -> SentEntry:
    return SentEntry(entry.weight, entry.flags, entry.state)
