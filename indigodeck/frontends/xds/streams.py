"""Versions, acknowledgements and subscriptions of one xDS stream, without I/O.

For each resource type, a stream keeps the names that the proxy subscribed to and the versions that
were sent, acknowledged and rejected. The protocol is "xDS REST and gRPC protocol", as published
with Envoy's data plane API; see docs/xds.md.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any, Protocol

from ...clock import SECOND
from ...errors import LimitExceededError
from ...planner.pending_updates import TableUpdate
from .codec import CLUSTER, ENDPOINTS, LISTENER, RESOURCE_TYPES, ROUTE, NamedResource, Resource
from .proxies import XdsProxy
from .subscription import WILDCARD, SentResponse, Subscription

# A proxy that takes longer to answer a response is disconnected; it reconnects and states the
# versions that it holds.
ANSWER_TIMEOUT = 10 * SECOND
# Unanswered responses of one type; with as many, nothing more of the type is sent until an answer.
MAX_UNANSWERED = 3
# Types that allow wildcard subscriptions. A state-of-the-world response of these types holds all
# resources, and a resource that is missing in it is thereby removed.
WILDCARD_TYPES = (CLUSTER, LISTENER)


class StreamConnection(Protocol):
    """The interface of a connection for its stream."""

    def send(
        self,
        type_url: str,
        version: str,
        nonce: str,
        resources: Sequence[NamedResource],
        removed: Sequence[str],
    ) -> None:
        """Send a response."""

    def request_write(self) -> None:
        """Have `send_next` called as soon as the message limits allow a write to the proxy."""

    def call_after(self, after: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function after this many microseconds."""

    def end(self) -> None:
        """End the stream."""


class Stream:
    """One aggregated stream of a proxy, incremental (`is_delta`) or state-of-the-world."""

    def __init__(self, proxy: XdsProxy, connection: StreamConnection, is_delta: bool) -> None:
        self.proxy = proxy
        self.connection = connection
        self.is_delta = is_delta
        self.subscriptions = {type_url: Subscription() for type_url in RESOURCE_TYPES}
        self._last_nonce = 0

    @classmethod
    def open(cls, proxy: XdsProxy, connection: StreamConnection, is_delta: bool) -> "Stream":
        """Add a stream to a proxy.

        Raises
        ------
        LimitExceededError
            If the proxy already has the maximum number of streams.
        """
        if len(proxy.streams) >= proxy.bounds.streams:
            raise LimitExceededError(f"{proxy.bounds.streams} streams are already open")
        stream = cls(proxy, connection, is_delta)
        proxy.streams.append(stream)
        return stream

    def on_full_request(
        self, type_url: str, names: Collection[str], nonce: str, error: str | None
    ) -> None:
        """Handle a state-of-the-world request.

        It is a subscription, an acknowledgement or a rejection (with `error`), or a subscription
        together with one of the others.

        Raises
        ------
        LimitExceededError
            If the proxy subscribes to too many names.
        """
        subscription = self.subscriptions.get(type_url)
        if subscription is None:
            return  # as the protocol requires, requests for unsupported types get no response
        self._check_name_count(len(names), subscription)
        if nonce and not self._on_answer(type_url, subscription, nonce, error):
            return  # an answer to an older response: its names predate the newest one
        if not subscription.started:
            subscription.rejected.update(self.proxy.rejected_before(type_url))
        if names:
            subscription.wildcard = type_url in WILDCARD_TYPES and WILDCARD in names
        elif not subscription.started:
            subscription.wildcard = type_url in WILDCARD_TYPES
        has_new_names = not subscription.names.issuperset(names)
        subscription.names = set(names)
        subscription.started = True
        subscription.forget_unsubscribed()
        subscription.answer_due = subscription.answer_due or has_new_names or not nonce
        self.connection.request_write()

    def on_delta_request(
        self,
        type_url: str,
        subscribe: Sequence[str],
        unsubscribe: Sequence[str],
        initial_versions: Mapping[str, str],
        nonce: str,
        error: str | None,
    ) -> None:
        """Handle an incremental request.

        `initial_versions` are the versions, by name, that the proxy holds from an earlier stream.

        Raises
        ------
        LimitExceededError
            If the proxy subscribes to too many names.
        """
        subscription = self.subscriptions.get(type_url)
        if subscription is None:
            return
        self._check_name_count(len(subscription.names) + len(subscribe), subscription)
        if nonce:
            self._on_answer(type_url, subscription, nonce, error)
        if not subscription.started:
            subscription.wildcard = type_url in WILDCARD_TYPES and not subscribe
            subscription.rejected.update(self.proxy.rejected_before(type_url))
            subscription.sent.update(initial_versions)
            subscription.acknowledged.update(initial_versions)
        subscription.started = True
        if WILDCARD in subscribe:
            subscription.wildcard = True
        if WILDCARD in unsubscribe:
            subscription.wildcard = False
        subscription.names |= set(subscribe) - {WILDCARD}
        subscription.names -= set(unsubscribe)
        # A new subscription to a name that does not exist has that reported again.
        subscription.reported_absent -= set(subscribe)
        subscription.forget(unsubscribe)
        self.connection.request_write()

    def _check_name_count(self, count: int, subscription: Subscription) -> None:
        total = count + sum(
            len(other.names) for other in self.subscriptions.values() if other is not subscription
        )
        if total > self.proxy.bounds.names:
            raise LimitExceededError(
                f"subscription to {total} names exceeds the limit of {self.proxy.bounds.names}"
            )

    def _on_answer(
        self, type_url: str, subscription: Subscription, nonce: str, error: str | None
    ) -> bool:
        """Handle the acknowledgement or rejection of one response.

        On a state-of-the-world stream the answer also covers earlier responses, which the proxy has
        read by then; on an incremental stream each response is answered on its own. Returns whether
        this was the newest response: otherwise a state-of-the-world subscription in the same
        request is ignored.
        """
        unanswered = subscription.unanswered
        if nonce not in unanswered:
            return False
        nonces = list(unanswered)
        earlier = nonces[: nonces.index(nonce)]
        uncertain_updates: list[TableUpdate] = []
        for earlier_nonce in earlier:
            response = unanswered.pop(earlier_nonce)
            if self.is_delta:
                uncertain_updates += self._on_skipped(subscription, response)
            else:
                # The answer to a newer response covers this one, whose content that one also held.
                subscription.on_acknowledged(response)
                self.proxy.on_updates_answered(response.updates, not error)
        response = unanswered.pop(nonce)
        updates = response.updates
        if uncertain_updates:
            # The proxy is up to date only when the resources that it may lack are answered as well.
            self.proxy.defer(uncertain_updates + updates)
            updates = []
        if error:
            subscription.on_rejected(response)
            self.proxy.on_resources_rejected(type_url, response.versions, error)
        else:
            subscription.on_acknowledged(response)
        self.proxy.on_updates_answered(updates, not error)
        self.connection.request_write()
        return not unanswered

    def _on_answer_timeout(self, subscription: Subscription, nonce: str) -> None:
        """End the stream if a response is still unanswered: others would wait behind it forever."""
        if nonce in subscription.unanswered:
            self.connection.end()

    def _on_skipped(self, subscription: Subscription, response: SentResponse) -> list[TableUpdate]:
        """Handle a response that was passed over by the answer to a later one; return its updates.

        Either the response was lost or the answer to it. As that is not known, its resources are
        sent again: otherwise the proxy could keep an old version of one class beside a new version
        of another for good.
        """
        subscription.on_uncertain(response)
        return response.updates

    def send_next(self, only: Collection[str] = RESOURCE_TYPES) -> str | None:
        """Send the next response that is due among these types, and return its type, if any.

        Resources are added before those that refer to them, and removed after them.
        """
        for type_url in RESOURCE_TYPES:
            if type_url in only and self._send(type_url):
                return type_url
        return None

    def _send(self, type_url: str) -> bool:
        subscription = self.subscriptions[type_url]
        if not subscription.started or len(subscription.unanswered) >= MAX_UNANSWERED:
            return False
        resources = self._subscribed_resources(type_url, subscription)
        changed = [
            name
            for name, resource in resources.items()
            if subscription.is_pending(name, resource.version)
        ]
        removed = self._removed_names(type_url, subscription)
        absent = self._absent_names(subscription)
        is_complete_set = not self.is_delta and type_url in WILDCARD_TYPES
        if not (changed or removed or absent or (subscription.answer_due and is_complete_set)):
            subscription.answer_due = False
            if type_url == ENDPOINTS:
                self._settle_held_updates(subscription, resources)
            return False
        if not (self.is_delta or is_complete_set or changed):
            for name in removed:
                # A state-of-the-world stream can't remove a resource of this type; clients drop it
                # together with its cluster or listener.
                del subscription.sent[name]
            return False
        included = [
            NamedResource(name, *resources[name])
            for name in (sorted(resources) if is_complete_set else changed)
            if subscription.rejected.get(name) != resources[name].version
        ]
        self._write(type_url, subscription, included, removed, absent)
        return True

    def _subscribed_resources(
        self, type_url: str, subscription: Subscription
    ) -> dict[str, Resource]:
        """Return the resources that exist and are subscribed to, sorted by name."""
        cache = self.proxy.cache
        return {
            name: resource
            for name in sorted(cache.names())
            if subscription.covers(name)
            and (resource := cache.resource(type_url, name, self.proxy.index))
        }

    def _removed_names(self, type_url: str, subscription: Subscription) -> list[str]:
        """Return the resources that were sent and no longer exist, once nothing refers to them."""
        names = self.proxy.cache.names()
        removed = sorted(name for name in subscription.sent if name not in names)
        return [] if removed and self._may_be_referenced(type_url) else removed

    def _may_be_referenced(self, type_url: str) -> bool:
        """Return whether resources of this type may still be referred to on the proxy.

        Listeners and routes refer to the other types. As long as one of them has changes to be sent
        or acknowledged, the proxy may use an old one.
        """
        if type_url in (LISTENER, ROUTE):
            return False
        return any(self._is_unsettled(referrer) for referrer in (LISTENER, ROUTE))

    def _is_unsettled(self, type_url: str) -> bool:
        subscription = self.subscriptions[type_url]
        if subscription.unanswered:
            return True
        resources = self._subscribed_resources(type_url, subscription)
        if any(subscription.is_pending(name, found.version) for name, found in resources.items()):
            return True
        return bool(subscription.sent.keys() - self.proxy.cache.names())

    def _absent_names(self, subscription: Subscription) -> list[str]:
        """Return the subscribed names that never existed and are not reported as absent yet.

        Only incremental responses can report such names.
        """
        if not self.is_delta:
            return []
        known = self.proxy.cache.names()
        return sorted(
            name
            for name in subscription.names
            if name not in known
            and name not in subscription.reported_absent
            and name not in subscription.sent
        )

    def _write(
        self,
        type_url: str,
        subscription: Subscription,
        resources: list[NamedResource],
        removed: list[str],
        absent: list[str],
    ) -> None:
        self._last_nonce += 1
        nonce = str(self._last_nonce)
        versions = {resource.name: resource.version for resource in resources}
        self.connection.send(
            type_url, self.proxy.next_version(), nonce, resources, removed + absent
        )
        self.connection.call_after(ANSWER_TIMEOUT, self._on_answer_timeout, subscription, nonce)
        subscription.answer_due = False
        subscription.sent.update(versions)
        subscription.reported_absent.update(absent + removed)
        for name in removed:
            subscription.sent.pop(name, None)
        updates = self.proxy.take_deferred() if type_url == ENDPOINTS else []
        subscription.unanswered[nonce] = SentResponse(versions, removed, updates)

    def _settle_held_updates(
        self, subscription: Subscription, resources: dict[str, Resource]
    ) -> None:
        """Report updates as delivered if the proxy already holds the newest resources.

        A proxy that connects with the newest versions is sent no response and so answers none.
        """
        if not self.proxy.deferred_updates or subscription.unanswered:
            return
        held_classes = {
            self.proxy.cache.class_indices[name]
            for name, resource in resources.items()
            if subscription.acknowledged.get(name) == resource.version
        }
        deferred = self.proxy.take_deferred()
        self.proxy.defer(
            [update for update in deferred if not update.class_indices <= held_classes]
        )
        settled = [update for update in deferred if update.class_indices <= held_classes]
        self.proxy.on_updates_answered(settled, True)
