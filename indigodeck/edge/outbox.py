"""What the relay surely holds of the assigner's orders, what is unknown, and what to send again. Free of I/O.

Orders set absolute values, so that repeating one does no harm as long as nothing newer for the same thing has gone
before it. Each order therefore has a key, what it sets; an older order for a key is dropped where a newer one waits,
and what waits keeps its sequence. One call is under way at a time: while its fate is not known, nothing that could
overtake it is sent. Nothing is kept of what was surely taken: that is what the assigner believes already.

What may wait is bounded by its keys: lines of tables, levels, proxies' tables, servers' withdrawals, one mark.
"""

from . import codec
from .codec import MalformedMessageError

BEHIND = 300_000  # an order this old still waits: the assigner's turns wait as well
PAUSE, PAUSE_MOST = 50_000, 400_000  # after a call was turned away


def key_of(order):
    """What an order sets; the newest order for it is the only one that matters."""
    do = order["do"]
    if do == "put":
        return do, order["group"], order["server"]
    if do in ("attach", "gate"):
        return do, order["proxy" if do == "attach" else "group"], *order.get("routes", ())
    return ("eject", order["server"]) if do in ("eject", "uneject") else (do, order.get("group"))


class Outbox:
    """`now()`: microseconds; `note(text)`: a line for the log."""

    def __init__(self, now, note):
        self.now, self.note = now, note
        self.waiting, self.under_way = {}, None  # {key: order}; the same, or None
        self.number, self.since = 0, None
        self.pause, self.not_before = PAUSE, 0
        self.bytes_most, self.unknown = codec.CALL_MOST, 0

    def order(self, orders):
        """Takes the orders of one call of the assigner."""
        for order in orders:
            key = key_of(order)
            if order["do"] == "wipe":
                for old in [
                    old
                    for old in self.waiting
                    if old[0] in ("put", "gate") and old[1] == order["group"]
                ]:
                    del self.waiting[old]
            self.waiting.pop(
                key, None
            )  # it moves to the end: the sequence is that of the newest orders
            self.waiting[key] = order
        if orders and self.since is None:
            self.since = self.now()

    def left(self, proxy):
        """A proxy is gone: the relay would stop at an order that names it."""
        for orders in (self.waiting, self.under_way or {}):
            for key in [key for key in orders if key[:2] == ("attach", proxy)]:
                if orders is self.waiting:
                    del orders[key]
                else:
                    orders[key] = None  # its place counts in the answer; it is not sent again

    def behind(self):
        return self.since is not None and self.now() - self.since > BEHIND

    def wait(self):
        """Microseconds until a call may be sent; None: there is nothing to send, or one is under way."""
        if self.under_way is not None or not self.waiting:
            return None
        return max(0, self.not_before - self.now())

    def call(self):
        """The next call as a line; its fate is told by one of the methods below."""
        self.number += 1
        self.under_way, orders, size = {}, [], len(codec.call(self.number, "commit", {"ops": []}))
        for key, order in self.waiting.items():
            size += len(codec.pack(order)) + 1
            if self.under_way and size > self.bytes_most:
                break
            self.under_way[key] = order
            orders.append(order)
        for key in self.under_way:
            del self.waiting[key]
        return codec.call(self.number, "commit", {"ops": orders})

    def answered(self, data):
        """What came for the call under way. Raises Malformed, after `lost`, if it can't be read."""
        try:
            taken, word = codec.accepted(data, self.number, len(self.under_way))
        except MalformedMessageError:
            self.lost()
            raise
        if word is not None:
            return self._turned_away(word)
        sent, self.under_way = list(self.under_way.items()), None
        self.pause, self.bytes_most = PAUSE, codec.CALL_MOST
        if taken < len(sent):
            self.note(f"the relay could not use {sent[taken][1] or sent[taken][0]}")
            self._again(sent[taken + 1 :])
        self.since = self.now() if self.waiting else None

    def _turned_away(self, word):
        """Not carried out. Sent again with what stands by then, later each time."""
        orders = list(self.under_way.items())
        if word == "invalid" and len(orders) == 1:
            self.note(f"the relay can't read {orders[0][1]}")
            orders = []
        elif word == "invalid":
            # Some order in it can't be read: smaller calls find it, and let the others pass.
            self.bytes_most = max(
                1, min(self.bytes_most, len(codec.pack([order for _, order in orders]))) // 2
            )
        self.under_way = None
        self._again(orders)
        self.not_before, self.pause = self.now() + self.pause, min(2 * self.pause, PAUSE_MOST)

    def lost(self):
        """Nobody knows whether the call under way was carried out: it is sent again before anything newer."""
        if self.under_way is not None:
            orders, self.under_way = list(self.under_way.items()), None
            self.unknown += 1
            self._again(orders)

    def _again(self, orders):
        older = {
            key: order for key, order in orders if order is not None and key not in self.waiting
        }
        self.waiting = {**older, **self.waiting}
        if not self.waiting:
            self.since = None
