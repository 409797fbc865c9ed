"""Orders on their way to the relay: what waits, what may have arrived, and what to send again.

Orders set absolute values, so repeating one does no harm as long as nothing newer for the same
thing has gone before it. Each order therefore has a key, what it sets; an older order for a key is
dropped where a newer one waits, and the rest keep their sequence. One call is in flight at a time:
while its fate is not known, nothing that could overtake it is sent. Orders that were surely taken
are not kept: they are what the assigner believes already.

What may wait is bounded by its keys: lines of tables, admission levels, proxies' tables, servers'
ejections, one request for acknowledgement. Free of I/O; times are whole microseconds.
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

MAX_PENDING_TIME = 300_000  # when an order has waited this long, the assigner's timers wait as well
MIN_BACKOFF = 50_000  # after a call was rejected
MAX_BACKOFF = 400_000


class SentOrder(NamedTuple):
    """An order of the call in flight; None: it counts in the answer, but is not sent again."""

    key: OrderKey
    order: Order | None


class Outbox:
    """The orders that the relay has not surely taken.

    Invariant: no key of `_pending` has an older value that could still be sent after it.
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
        self.unknown_outcome_calls = 0  # those whose fate was never known

    @property
    def is_idle(self) -> bool:
        """Whether no order waits and no call is in flight."""
        return not self._pending and self._in_flight is None

    def add(self, orders: Sequence[Order]) -> None:
        """Take the orders of one event of the assigner."""
        pending = self._pending
        for order in orders:
            if isinstance(order, ClearTable):
                self._drop_orders_of_table(order.table)
            key = order_key(order)
            pending.pop(key, None)  # it moves to the end: the sequence is that of the newest orders
            pending[key] = order
        if orders and self._pending_since is None:
            self._pending_since = self._now()

    def drop_proxy(self, proxy: int) -> None:
        """Drop the orders for a proxy that has left: the relay would stop at one that names it."""
        for key in [key for key in self._pending if key[:2] == (AssignTable, proxy)]:
            del self._pending[key]
        if self._in_flight is not None:
            self._in_flight = [
                SentOrder(sent.key, None) if sent.key[:2] == (AssignTable, proxy) else sent
                for sent in self._in_flight
            ]

    def is_backlogged(self) -> bool:
        """Whether orders have waited for so long that nothing should be added to them."""
        since = self._pending_since
        return since is not None and self._now() - since > MAX_PENDING_TIME

    def time_until_call(self) -> int | None:
        """Return the time until a call may be sent; None if there is none to send yet."""
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
        """Take the answer to the call in flight.

        Raises
        ------
        MalformedMessageError
            If it can't be read; the call then counts as lost.
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
        """Send the call in flight again before anything newer: nobody knows its fate."""
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
        """Send the orders of a call that was not carried out again, later each time."""
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
        """Return half the size of a call: smaller ones find the order that can't be read."""
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
    """Return the bytes of a JSON array of orders, where one that was dropped stands as null."""
    sizes = [len("null,") if order is None else order_size(order) for order in orders]
    return len("[]") + sum(sizes) - (1 if sizes else 0)
