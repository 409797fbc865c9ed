"""The table assignments of joined proxies, and the updates queued for them; free of I/O.

The queue holds which classes and servers changed, not their values. A proxy is sent the values at
the time of writing, so intermediate states are never sent.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple

# Bounds the acknowledgement requests queued for a proxy that does not read. The oldest are dropped,
# because the newest ones are sufficient.
MAX_REQUESTED_ACKS = 64


class TableUpdate(NamedTuple):
    """The changes that a proxy is sent at one time.

    `class_indices` are the classes that changed. `waiting_since` is when the oldest order in the
    update was queued. `requested_acks` are (number, request time) of each requested
    acknowledgement. `version` is the published version that the update brings the proxy to, if any.
    """

    proxy: int
    class_indices: frozenset[int]
    waiting_since: int | None
    requested_acks: tuple[tuple[int, int], ...]
    version: Any = None


class PendingUpdates:
    """The table of each class that one joined proxy is assigned to, and its queued changes."""

    def __init__(self) -> None:
        self.tables: dict[int, int] = {}  # by class
        self.changed_servers: dict[int, set[int]] = {}  # by class
        self.waiting_since: int | None = None
        self.requested_acks: list[tuple[int, int]] = []

    def add(self, now: int, class_index: int, servers: Iterable[int]) -> None:
        """Queue changes of these servers for a class; without servers, of its admission alone."""
        if self.waiting_since is None:
            self.waiting_since = now
        self.changed_servers.setdefault(class_index, set()).update(servers)

    def request_acks(self, now: int, numbers: Iterable[int]) -> None:
        """Request acknowledgements of the next message under these numbers."""
        self.requested_acks.extend((number, now) for number in numbers)
        del self.requested_acks[:-MAX_REQUESTED_ACKS]

    def line_count(self) -> int:
        """Return the number of queued table lines; a class without lines counts as one."""
        return sum(max(1, len(servers)) for servers in self.changed_servers.values())

    def take(self, proxy: int, version: Any) -> TableUpdate:
        """Remove and return all queued changes."""
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

    Each message counts as `message_overhead_lines` in addition to its lines. `peak_waiting_lines`
    is the greatest length of the queue so far.
    """

    def __init__(self, now: Callable[[], int], message_overhead_lines: float) -> None:
        self.by_proxy: dict[int, PendingUpdates] = {}
        self.peak_waiting_lines: float = 0
        self._now = now
        self._message_overhead_lines = message_overhead_lines
        self._changed_proxies: set[int] = set()  # since the last flush
        self._requested_acks: list[int] = []

    def on_proxy_joined(self, proxy: int) -> None:
        """Add a proxy, assigned to no table and with no pending update."""
        self.by_proxy[proxy] = PendingUpdates()

    def on_proxy_left(self, proxy: int) -> bool:
        """Remove a proxy and its pending update; return whether it had joined."""
        return self.by_proxy.pop(proxy, None) is not None

    def bind(self, proxy: int, class_index: int, table: int, servers: Iterable[int]) -> None:
        """Assign a joined proxy to a table, and queue the lines of the table for it."""
        self.by_proxy[proxy].tables[class_index] = table
        self.add(proxy, class_index, servers)

    def bound_table(self, proxy: int, class_index: int) -> int | None:
        """Return the table that a proxy is assigned to for a class, or None."""
        pending = self.by_proxy.get(proxy)
        return pending.tables.get(class_index) if pending else None

    def bindings(self, table: int) -> Iterator[tuple[int, PendingUpdates, int]]:
        """Yield (proxy, its updates, class) for each proxy and class assigned to a table."""
        for proxy, pending in self.by_proxy.items():
            for class_index, bound in pending.tables.items():
                if bound == table:
                    yield proxy, pending, class_index

    def add(self, proxy: int, class_index: int, servers: Iterable[int]) -> None:
        """Queue these servers' lines of a class for a joined proxy."""
        self.by_proxy[proxy].add(self._now(), class_index, servers)
        self._changed_proxies.add(proxy)

    def add_for_table(self, table: int, servers: Iterable[int]) -> None:
        """Queue these lines of a table for all proxies assigned to it."""
        now = self._now()
        for proxy, pending, class_index in self.bindings(table):
            pending.add(now, class_index, servers)
            self._changed_proxies.add(proxy)

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Request an acknowledgement of what was queued since the last flush.

        It is requested from every proxy if `all_proxies`, otherwise from those with new updates.
        """
        self._requested_acks.append(number)
        if all_proxies:
            self._changed_proxies.update(self.by_proxy)

    def flush(self) -> Sequence[int]:
        """Return the proxies for which updates were queued since the last call."""
        changed_proxies = sorted(self._changed_proxies & self.by_proxy.keys())
        self._changed_proxies = set()
        for proxy in changed_proxies:
            self.by_proxy[proxy].request_acks(self._now(), self._requested_acks)
        self._requested_acks = []
        if changed_proxies:
            # The queue grows only if something was added. Most calls add nothing.
            self.peak_waiting_lines = max(self.peak_waiting_lines, self.waiting_lines())
        return changed_proxies

    def waiting_lines(self) -> float:
        """Return the number of queued lines for all proxies, including message overhead."""
        return sum(
            pending.line_count() + self._message_overhead_lines
            for pending in self.by_proxy.values()
            if pending.changed_servers
        )

    def has_pending(self, proxy: int) -> bool:
        """Return whether an update is queued for a proxy."""
        return proxy in self.by_proxy and bool(self.by_proxy[proxy].changed_servers)
