"""Who may join now, free of I/O: relays that arrive all at once are let in as the channel takes what they must be told.

After a takeover every relay of a fleet dials the successor within a second, and each has a whole table coming. Let in as they
came, 303 of them put 15,500 lines into a channel that may hold 4,500 (docs/takeover.md). Who waits here holds its tables
and goes on; what it sends meanwhile stays in its own socket. First come, first served.
"""

from collections import OrderedDict
from typing import Protocol

PART = 0.4  # of the lines that may wait: what arrivals fill; the rest is for drains and swaps
# Between two looks at the queue while somebody waits. Each look's arrivals are one moment to the assigner, which goes through all
# of its tables once for them: one by one, 303 relays over xDS were let in at 50 a second, and drains came too late.
TURN = 50_000
AT_LEAST = 200_000  # a queue that a deaf relay's lines keep long must not shut everybody out: one in so long may come
WAITING_MOST = 65_535


class Environment(Protocol):
    """What arrivals may ask of the program around them."""

    def now(self) -> int: ...

    def later(self, after: int, call) -> None: ...

    def queue(self) -> int:
        """Lines that wait for all relays."""

    def arrival(self) -> int:
        """Lines that one more relay may have waiting at once."""

    def let_in(self, relay) -> None: ...

    def turned_away(self, relay) -> None: ...


class JoinAdmission:
    """`most`: lines that may wait. Relays are known here by whatever the program hands over, one object for each that comes."""

    def __init__(self, host, most):
        self.host, self.most = host, most
        self.line, self.looking = OrderedDict(), False
        self.let_in_at, self.coming, self.turned_at = host.now() - AT_LEAST, 0, host.now() - TURN

    def came(self, relay):
        if len(self.line) >= WAITING_MOST:
            return self.host.turned_away(relay)
        self.line[relay] = True
        if not self.looking:
            self.looking = True
            self.host.later(max(0, self.turned_at + TURN - self.host.now()), self._look)
        return None

    def left(self, relay):
        self.line.pop(relay, None)

    def _look(self):
        # What the last were let in for shows in the queue by now, or has been written.
        now, self.coming = self.host.now(), 0
        self.turned_at = now
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
        return (
            not waiting
            or waiting + one <= PART * self.most
            or (now - self.let_in_at >= AT_LEAST and waiting + one <= self.most)
        )
