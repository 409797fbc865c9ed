"""The interface between the assigner and the program that hosts it, and the plain types they share.

Times are whole microseconds. Servers, proxies, classes, zones and kinds are small indices; the host
maps its own ids to them. A table is a number that the assigner chooses.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

DRAINING, READY, GONE = "draining", "ready", "gone"
WHOLE, CHANGES, CACHED = "whole", "changes", "cached"
EVERYONE = -1  # a level set for this "table" holds for all joined proxies


class Server(NamedTuple):
    """One entry of the list. `raw` is the id as the host knows it, only to sort and seed by."""

    index: int
    raw: bytes
    cell: int
    kind: int
    zone: int
    weight: float
    started: int  # 0: long ago
    state: str


class Host(Protocol):
    """What the assigner may do. Orders given while one call lasts may travel together."""

    def now(self) -> int: ...

    def wake(self, after: int, token: int) -> None:
        """Call `woken(token)` after this time, never from within this call."""

    def line(self, table: int, server: int, weight: float) -> None:
        """Set one line of a table; weight 0 removes it."""

    def clear(self, table: int) -> None: ...

    def bind(self, proxy: int, table: int, classes: Sequence[int]) -> None:
        """Put a joined proxy on a table for these classes."""

    def withdraw(self, server: int, out: bool) -> None:
        """Keep all joined proxies off a server, whatever their tables say, or let them return."""

    def forget(self, server: int) -> None:
        """Nothing will name a server that is gone: let it back, which reaches nobody, and keep nothing of it."""

    def admit(self, table: int, classes: Sequence[int], level: float, tries: int) -> None:
        """Set how much of these classes is let in, and the way of further tries (0 none, 1 one after
        proof that the first never ran, 2 one after any failure, 3 two after any failure).
        """

    def mark(self, number: int, everyone: bool) -> None:
        """Ask every proxy reached by the orders of this call to answer with `applied`."""

    def probe(self, server: int) -> None: ...

    def tell(self, peer: int | None, data: bytes) -> None: ...

    def watch(self, on: bool) -> None:
        """Subscribe to changes of the list, where it must be asked for."""

    def fetch(self) -> None:
        """Ask for the whole list once."""

    def log(self, text: str) -> None: ...
