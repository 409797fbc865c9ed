"""Who may join now, free of I/O: relays that arrive all at once are let in as the channel takes what they must be told.

After a takeover every relay of a fleet dials the successor within a second, and each has a whole table coming. Let in as they
came, 303 of them put 15,500 lines into a channel that may hold 4,500 (docs/takeover.md). Who waits here holds its tables
and goes on; what it sends meanwhile stays in its own socket. First come, first served.
"""
from collections import OrderedDict
from typing import Protocol

PART = 0.4              # of the lines that may wait: what arrivals fill; the rest is for drains and swaps
TURN = 20_000           # between two looks at the queue while somebody waits
AT_LEAST = 200_000      # a queue that a deaf relay's lines keep long must not shut everybody out: one in so long may come
WAITING_MOST = 65_535


class Surroundings(Protocol):
    """What arrivals may ask of the program around them."""

    def now(self) -> int: ...

    def later(self, after: int, call) -> None: ...

    def queue(self) -> int:
        """Lines that wait for all relays."""

    def arrival(self) -> int:
        """Lines that one more relay may have waiting at once."""

    def let_in(self, relay) -> None: ...

    def turned_away(self, relay) -> None: ...


class Arrivals:
    """`most`: lines that may wait. Relays are known here by whatever the program hands over, one object for each that comes."""

    def __init__(self, host, most):
        self.host, self.most = host, most
        self.line, self.looking = OrderedDict(), False
        self.let_in_at, self.coming, self.turned_at = -AT_LEAST, 0, host.now()

    def came(self, relay):
        if len(self.line) >= WAITING_MOST:
            return self.host.turned_away(relay)
        self.line[relay] = True
        return None if self.looking else self._look()

    def left(self, relay):
        self.line.pop(relay, None)

    def _look(self):
        now = self.host.now()
        if now - self.turned_at >= TURN:
            # What they were let in for shows in the queue by now, or has been written.
            self.turned_at, self.coming = now, 0
        while self.line and self._room(now):
            relay, _ = self.line.popitem(last=False)
            self.coming += self.host.arrival()
            self.let_in_at = now
            self.host.let_in(relay)
        self.looking = bool(self.line)
        if self.looking:
            self.host.later(TURN, self._look)

    def _room(self, now):
        waiting, one = self.host.queue() + self.coming, self.host.arrival()
        # An empty channel takes anybody, however small it is stated to be.
        return not waiting or waiting + one <= PART * self.most or (
            now - self.let_in_at >= AT_LEAST and waiting + one <= self.most)
