"""What joined proxies are bound to, and what waits for them until they can be written to.

Only the classes and servers that changed are remembered, not their values: a proxy is sent the
newest state at the time of writing, and what was ordered in between is never sent.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple

# A proxy that reads nothing would gather requests for ever; the newest say all that is asked.
MAX_REQUESTED_ACKS = 64


class TableUpdate(NamedTuple):
    """What a proxy is handed at one time.

    `class_indices` names the classes that changed. The oldest order in it has waited since
    `waiting_since`. `requested_acks` holds the number of each acknowledgement to give, and when it
    was asked for. `version` is the published version that the proxy is brought to, if any.
    """

    proxy: int
    class_indices: frozenset[int]
    waiting_since: int | None
    requested_acks: tuple[tuple[int, int], ...]
    version: Any = None


class PendingUpdates:
    """One joined proxy: its table for each class, and the changes that wait for it."""

    def __init__(self) -> None:
        self.tables: dict[int, int] = {}  # by class
        self.changed_servers: dict[int, set[int]] = {}  # by class
        self.waiting_since: int | None = None
        self.requested_acks: list[tuple[int, int]] = []

    def add(self, now: int, class_index: int, servers: Iterable[int]) -> None:
        """Note that these servers changed for a class; none: the class's admission alone."""
        if self.waiting_since is None:
            self.waiting_since = now
        self.changed_servers.setdefault(class_index, set()).update(servers)

    def request_acks(self, now: int, numbers: Iterable[int]) -> None:
        """Have the next message acknowledged under these numbers."""
        self.requested_acks.extend((number, now) for number in numbers)
        del self.requested_acks[:-MAX_REQUESTED_ACKS]

    def line_count(self) -> int:
        """Return how many table lines wait; a class without lines counts as one."""
        return sum(max(1, len(servers)) for servers in self.changed_servers.values())

    def take(self, proxy: int, version: Any) -> TableUpdate:
        """Hand over all that waits; from then on nothing does."""
        update = TableUpdate(
            proxy,
            frozenset(self.changed_servers),
            self.waiting_since,
            tuple(self.requested_acks),
            version,
        )
        self.changed_servers = {}
        self.waiting_since = None
        self.requested_acks = []
        return update


class UpdateQueue:
    """The pending updates of all joined proxies.

    A message costs `message_overhead_lines` beside its lines. `peak_waiting_lines` is the longest
    that the queue has been.
    """

    def __init__(self, now: Callable[[], int], message_overhead_lines: float) -> None:
        self.by_proxy: dict[int, PendingUpdates] = {}
        self.peak_waiting_lines: float = 0
        self._now = now
        self._message_overhead_lines = message_overhead_lines
        self._reached_proxies: set[int] = set()  # since the last flush
        self._requested_acks: list[int] = []

    # Proxies and their tables.

    def on_proxy_joined(self, proxy: int) -> None:
        """Begin with a proxy that is bound to no table and for which nothing waits."""
        self.by_proxy[proxy] = PendingUpdates()

    def on_proxy_left(self, proxy: int) -> bool:
        """Drop a proxy and what waits for it; return whether it had joined."""
        return self.by_proxy.pop(proxy, None) is not None

    def bind(self, proxy: int, class_index: int, table: int, servers: Iterable[int]) -> None:
        """Put a joined proxy on a table, whose lines wait for it from now on."""
        self.by_proxy[proxy].tables[class_index] = table
        self.add(proxy, class_index, servers)

    def bound_table(self, proxy: int, class_index: int) -> int | None:
        """Return a proxy's table for a class, or None."""
        pending = self.by_proxy.get(proxy)
        return pending.tables.get(class_index) if pending else None

    def bindings(self, table: int) -> Iterator[tuple[int, PendingUpdates, int]]:
        """Return (proxy, its updates, class) for each proxy and class that is bound to a table."""
        for proxy, pending in self.by_proxy.items():
            for class_index, bound in pending.tables.items():
                if bound == table:
                    yield proxy, pending, class_index

    # What is added to the queue.

    def add(self, proxy: int, class_index: int, servers: Iterable[int]) -> None:
        """Have these servers' lines of a class sent to a joined proxy."""
        self.by_proxy[proxy].add(self._now(), class_index, servers)
        self._reached_proxies.add(proxy)

    def add_for_table(self, table: int, servers: Iterable[int]) -> None:
        """Have these lines of a table sent to all that are bound to it."""
        now = self._now()
        for proxy, pending, class_index in self.bindings(table):
            pending.add(now, class_index, servers)
            self._reached_proxies.add(proxy)

    def request_ack(self, number: int, everyone: bool) -> None:
        """Have what was added since the last flush acknowledged, by everyone or whom it reaches."""
        self._requested_acks.append(number)
        if everyone:
            self._reached_proxies.update(self.by_proxy)

    def flush(self) -> Sequence[int]:
        """Return the proxies for which something was added since the last call."""
        reached = sorted(self._reached_proxies & self.by_proxy.keys())
        self._reached_proxies = set()
        for proxy in reached:
            self.by_proxy[proxy].request_acks(self._now(), self._requested_acks)
        self._requested_acks = []
        if reached:
            # The queue grows only by what is added for somebody; most calls order nothing.
            self.peak_waiting_lines = max(self.peak_waiting_lines, self.waiting_lines())
        return reached

    # What is taken from it.

    def waiting_lines(self) -> float:
        """Return the lines that wait for all proxies, the overhead of messages included."""
        return sum(
            pending.line_count() + self._message_overhead_lines
            for pending in self.by_proxy.values()
            if pending.changed_servers
        )

    def has_pending(self, proxy: int) -> bool:
        """Return whether something waits for a proxy."""
        return proxy in self.by_proxy and bool(self.by_proxy[proxy].changed_servers)
