"""The queue of orders to the relay: pending orders, the call in flight, and what to send again.

Orders set absolute values, so an order can be repeated safely unless a newer one for the same key
has been sent since; the key identifies what the order sets. A newer order replaces a pending one
of the same key, and the others keep their sequence. One call is in flight at a time: while its
result is unknown, no other call is sent, because it could overtake the first. Orders that the relay
has confirmed are not kept: the assigner already assumes that they are in force.

The number of pending orders is bounded by the number of keys: lines of tables, admission levels,
tables of proxies, ejections of servers, and one acknowledgement request. Does no I/O; times are
whole microseconds.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..errors import MalformedMessageError
from .event_log import EventLog
from .messages import AssignTable, ClearTable, Order, OrderKey, SetAdmission, SetWeight, order_key
from .relay_protocol import (
    MAX_CALL_BYTES,
    UNREADABLE_CALL,
    commit_call,
    commit_overhead,
    order_size,
    read_call_result,
)

MAX_PENDING_TIME = 300_000  # beyond this the assigner's timers are postponed
MIN_BACKOFF = 50_000  # after a rejected call
MAX_BACKOFF = 400_000


class SentOrder(NamedTuple):
    """An order of the call in flight.

    `order` is None if it must not be sent again; the relay's response still counts it.
    """

    key: OrderKey
    order: Order | None


class Outbox:
    """The orders that the relay has not confirmed.

    Invariant: after the pending order of a key, no older order of that key can be sent.
    """

    def __init__(self, now: Callable[[], int], log: EventLog) -> None:
        self._now = now
        self._log = log
        self._pending: dict[OrderKey, Order] = {}
        self._pending_since: int | None = None
        self._in_flight: list[SentOrder] | None = None
        self._max_call_bytes = MAX_CALL_BYTES
        self._backoff = MIN_BACKOFF
        self._next_call_at = 0
        self.call_number = 0
        self.unknown_outcome_calls = 0  # calls whose result was never received

    @property
    def is_idle(self) -> bool:
        """Whether no order is pending and no call is in flight."""
        return not self._pending and self._in_flight is None

    def add(self, orders: Sequence[Order]) -> None:
        """Add the orders that one event caused."""
        pending = self._pending
        for order in orders:
            if isinstance(order, ClearTable):
                self._drop_orders_of_table(order.table)
            key = order_key(order)
            pending.pop(key, None)  # moves the key to the end: newest orders define the sequence
            pending[key] = order
        if orders and self._pending_since is None:
            self._pending_since = self._now()

    def drop_proxy(self, proxy: int) -> None:
        """Drop the orders for a proxy that has left: the relay would stop a call at one of them."""
        for key in [key for key in self._pending if key[:2] == (AssignTable, proxy)]:
            del self._pending[key]
        if self._in_flight is not None:
            self._in_flight = [
                SentOrder(sent.key, None) if sent.key[:2] == (AssignTable, proxy) else sent
                for sent in self._in_flight
            ]

    def is_backlogged(self) -> bool:
        """Return whether orders have been pending for more than `MAX_PENDING_TIME`."""
        since = self._pending_since
        return since is not None and self._now() - since > MAX_PENDING_TIME

    def time_until_call(self) -> int | None:
        """Return the time until the next call may be sent, or None if there is no call to send."""
        if self._in_flight is not None or not self._pending:
            return None
        return max(0, self._next_call_at - self._now())

    def next_call(self) -> bytes:
        """Return the next call as a line; `on_response` or `on_call_lost` must follow."""
        self.call_number += 1
        self._in_flight = []
        orders: list[Order] = []
        size = commit_overhead(self.call_number)
        for key, order in self._pending.items():
            size += order_size(order)
            if orders and size > self._max_call_bytes:
                break
            self._in_flight.append(SentOrder(key, order))
            orders.append(order)
        for sent in self._in_flight:
            del self._pending[sent.key]
        return commit_call(self.call_number, orders)

    def on_response(self, data: bytes) -> None:
        """Handle the response to the call in flight.

        Raises
        ------
        MalformedMessageError
            If it can't be parsed; the call then counts as lost.
        """
        sent_orders = self._in_flight or []
        try:
            accepted, error = read_call_result(data, self.call_number, len(sent_orders))
        except MalformedMessageError:
            self.on_call_lost()
            raise
        if error is not None:
            self._on_rejected(error)
            return
        self._in_flight = None
        self._backoff = MIN_BACKOFF
        self._max_call_bytes = MAX_CALL_BYTES
        if accepted < len(sent_orders):
            rejected = sent_orders[accepted]
            self._log("order_rejected", order=rejected.order or rejected.key)
            self._return_to_front(sent_orders[accepted + 1 :])
        self._pending_since = self._now() if self._pending else None

    def on_call_lost(self) -> None:
        """Send the orders of the call in flight again first: they may not have been applied."""
        if self._in_flight is not None:
            sent_orders = self._in_flight
            self._in_flight = None
            self.unknown_outcome_calls += 1
            self._return_to_front(sent_orders)

    def _drop_orders_of_table(self, table: int) -> None:
        outdated = [
            key
            for key in self._pending
            if (key[0] is SetWeight or key[0] is SetAdmission) and key[1] == table
        ]
        for key in outdated:
            del self._pending[key]

    def _on_rejected(self, error: str) -> None:
        """Send the orders of a rejected call again, after a delay that doubles each time."""
        sent_orders = self._in_flight or []
        self._in_flight = None
        if error == UNREADABLE_CALL and len(sent_orders) == 1:
            self._log("order_unreadable_to_relay", order=sent_orders[0].order)
            sent_orders = []
        elif error == UNREADABLE_CALL:
            self._max_call_bytes = self._halved_size_limit(sent_orders)
        self._return_to_front(sent_orders)
        self._next_call_at = self._now() + self._backoff
        self._backoff = min(2 * self._backoff, MAX_BACKOFF)

    def _halved_size_limit(self, sent_orders: Sequence[SentOrder]) -> int:
        """Return half the size of a call: smaller calls isolate an order the relay can't read."""
        size = _array_size(sent.order for sent in sent_orders)
        return max(1, min(self._max_call_bytes, size) // 2)

    def _return_to_front(self, sent_orders: Iterable[SentOrder]) -> None:
        older = {
            sent.key: sent.order
            for sent in sent_orders
            if sent.order is not None and sent.key not in self._pending
        }
        self._pending = {**older, **self._pending}
        if not self._pending:
            self._pending_since = None


def _array_size(orders: Iterable[Order | None]) -> int:
    """Return the bytes of a JSON array of orders, in which a dropped order is written as null."""
    sizes = [len("null,") if order is None else order_size(order) for order in orders]
    return len("[]") + sum(sizes) - (1 if sizes else 0)
