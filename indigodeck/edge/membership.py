"""Tracks which proxies are joined to the relay, from events of redundant connections. No I/O.

Every connection reports the same events, beginning with the proxies that are joined when it opens.
A connection may break at any point, or lag behind the others. The joins of each proxy are numbered,
and for each connection it is recorded which join of a proxy it has reported last. So a join that
two connections report is handled once, and while one connection lasts, another can reconnect
without its proxies being treated as newly joined. A connection proves only that the proxies which
it has reported itself are joined: it may have opened after a gap in which others left. Times are
whole microseconds.
"""

from collections.abc import Callable, Hashable, Iterable, Set
from dataclasses import dataclass, field
from typing import Protocol

from .messages import ProxyJoined

# A connection is live if its last event is more recent than this: heartbeats come every second.
MAX_HEARTBEAT_AGE = 1_500_000


class MembershipListener(Protocol):
    """Is notified when proxies join and leave."""

    def on_proxy_joined(self, joined: ProxyJoined) -> None:
        """Handle a proxy that has connected; it has no table from this planner yet."""

    def on_proxy_left(self, proxy: int) -> None:
        """Handle the departure of a joined proxy."""


@dataclass(slots=True)
class ConnectionView:
    """What one connection has reported.

    `complete`: whether it has reported all proxies that were joined when it opened.
    """

    last_event_at: int
    complete: bool = False
    joined: dict[int, ProxyJoined] = field(default_factory=dict)
    join_numbers: dict[int, int] = field(default_factory=dict)


class ProxyMembership:
    """Merges the events of all connections; `listener` is notified of each change once."""

    def __init__(self, listener: MembershipListener, now: Callable[[], int]) -> None:
        self._listener = listener
        self._now = now
        self._join_numbers: dict[int, int] = {}
        self._joined: set[int] = set()
        self.views: dict[Hashable, ConnectionView] = {}

    def on_connected(self, connection: Hashable) -> None:
        """Handle the opening of a connection."""
        self.views[connection] = ConnectionView(self._now())

    def on_heartbeat(self, connection: Hashable) -> None:
        """Handle a heartbeat; the first one means that all joined proxies have been reported."""
        view = self.views[connection]
        view.last_event_at = self._now()
        if view.complete:
            return
        view.complete = True
        view.join_numbers = {**self._join_numbers, **view.join_numbers}
        self._record_absent([view, *self._other_live_views(connection)])

    def is_complete(self, connection: Hashable) -> bool:
        """Return whether a connection has reported all proxies that were joined when it opened."""
        return connection in self.views and self.views[connection].complete

    def on_proxy_joined(self, connection: Hashable, joined: ProxyJoined) -> None:
        """Handle a join that a connection reports."""
        view = self.views[connection]
        view.last_event_at = self._now()
        proxy = joined.proxy
        known_number = self._join_numbers.get(proxy, 0)
        if view.complete or proxy in view.joined:
            number = view.join_numbers.get(proxy, 0) + 1
        elif self._is_joined_elsewhere(connection, proxy):
            number = known_number  # the join that another connection has already reported
        else:
            number = known_number + 1  # a join that no live connection has reported
        view.join_numbers[proxy] = number
        view.joined[proxy] = joined
        if number > known_number:
            self._join_numbers[proxy] = number
            self._record_join(joined)

    def on_proxy_left(self, connection: Hashable, proxy: int) -> None:
        """Handle a departure that a connection reports."""
        view = self.views[connection]
        view.last_event_at = self._now()
        if view.joined.pop(proxy, None) is None:
            return
        if view.join_numbers.get(proxy) == self._join_numbers.get(proxy):
            self._record_leave({proxy})

    def on_disconnected(self, connection: Hashable) -> None:
        """Handle the end of a connection.

        The proxies that other complete connections report become the joined ones. Without such a
        connection nothing changes until the next one has reported all joined proxies.
        """
        self.views.pop(connection, None)
        complete = [view for view in self.views.values() if view.complete]
        if not complete:
            return
        self._record_absent(complete)
        for view in complete:
            for proxy in sorted(view.joined.keys() - self._joined):
                known_number = self._join_numbers.get(proxy, 0)
                self._join_numbers[proxy] = max(known_number, view.join_numbers[proxy])
                self._record_join(view.joined[proxy])

    def _is_joined_elsewhere(self, connection: Hashable, proxy: int) -> bool:
        return proxy in self._joined and any(
            proxy in view.joined for view in self._other_live_views(connection)
        )

    def _other_live_views(self, connection: Hashable) -> list[ConnectionView]:
        return [
            view
            for other, view in self.views.items()
            if other is not connection and self._now() - view.last_event_at < MAX_HEARTBEAT_AGE
        ]

    def _record_join(self, joined: ProxyJoined) -> None:
        if joined.proxy in self._joined:
            # The proxy has reconnected, and no longer has a table from this planner.
            self._listener.on_proxy_left(joined.proxy)
        self._joined.add(joined.proxy)
        self._listener.on_proxy_joined(joined)

    def _record_absent(self, views: Iterable[ConnectionView]) -> None:
        """Record the departure of the proxies that none of these connections reports as joined."""
        self._record_leave(self._joined.difference(*(view.joined for view in views)))

    def _record_leave(self, proxies: Set[int]) -> None:
        for proxy in sorted(proxies & self._joined):
            self._joined.discard(proxy)
            self._listener.on_proxy_left(proxy)
