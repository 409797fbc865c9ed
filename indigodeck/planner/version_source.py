"""The planner as the table publisher sees it: plain look-ups."""

from collections.abc import Callable, Iterable
from typing import Any

from ..assignment.interface import ServerState
from ..clock import now
from ..id_registry import IdRegistry
from ..versions.model import (
    AssignedTable,
    RequestState,
    ServerReadiness,
    SnapshotDelta,
    Version,
)
from .planner_host import PlannerHost


class VersionSource:
    """Implements `versions.publisher.PublisherHost`.

    `stored` is what the store held at the start, by keys, until `forget_stored`.
    `wall_clock_offset` is from the planner's own clock to the wall clock (microseconds). The
    callbacks hear of each version and of each change of what operators want.
    """

    def __init__(
        self,
        *,
        planner_host: PlannerHost,
        server_ids: IdRegistry,
        proxy_ids: IdRegistry,
        store: Any,
        stored: dict[str, Any],
        wall_clock_offset: int,
        on_version_published: Callable[[Version, SnapshotDelta], None],
        on_requests_changed: Callable[[RequestState], None],
        log: Callable[..., None],
        clock: Callable[[], int] = now,
    ) -> None:
        self._planner_host = planner_host
        self._server_ids = server_ids
        self._proxy_ids = proxy_ids
        self._store = store
        self._stored = stored
        self._wall_clock_offset = wall_clock_offset
        self._on_version_published = on_version_published
        self._on_requests_changed = on_requests_changed
        self._log = log
        self._clock = clock

    def forget_stored(self) -> None:
        """Drop what the store held at the start: it is read once."""
        self._stored = {}

    def now(self) -> int:
        """Return the time on a clock that never goes back."""
        return self._clock()

    def wall_clock(self) -> int:
        """Return the microseconds since 1970."""
        return self._clock() + self._wall_clock_offset

    def save(self, changes: list[tuple[str, Any]]) -> None:
        """Store values by key, soon.

        Nobody waits for it: what is not stored is missing from the history, and from nothing else.
        """
        self._store.put(changes)

    def load(self, key: str) -> Any:
        """Return what the store held under a key at the start, or None."""
        return self._stored.get(key)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix that the store held at the start."""
        return sorted(key for key in self._stored if key.startswith(prefix))

    def assigned_tables(self) -> dict[int, AssignedTable]:
        """Return all tables as the assigner has them now."""
        return self._planner_host.assigned_tables()

    def server_id(self, server: int) -> str:
        """Return the deployment's own id of a server."""
        return self._server_ids.id_of[server]

    def server_index(self, server_id: str) -> int | None:
        """Return the index of a server, or None if it was never listed here."""
        return self._server_ids.index_of.get(server_id)

    def readiness(self, server: int) -> ServerReadiness:
        """Return how far a server may serve from an old table.

        It goes by the endpoint list, except for ejected servers: a rollback must not keep a server
        that is no longer listed as ready.
        """
        listed = self._planner_host.endpoint(server)
        if listed is None or listed.state != ServerState.READY:
            return ServerReadiness.UNAVAILABLE
        if server in self._planner_host.ejected_servers:
            return ServerReadiness.UNAVAILABLE
        warm_up_time = self._planner_host.settings.warm_up_time
        if listed.started and self._clock() - listed.started < warm_up_time:
            return ServerReadiness.COLD
        return ServerReadiness.WARM

    def ejected_servers(self) -> frozenset[int]:
        """Return the servers that all relays keep off."""
        return frozenset(self._planner_host.ejected_servers)

    def assigned_proxy_count(self, table: int) -> int:
        """Return how many proxies are on a table."""
        return self._planner_host.proxy_count(table)

    def relay_id(self, proxy: int) -> str:
        """Return the id of the relay that a proxy index stands for."""
        return str(self._proxy_ids.id_of[proxy], "utf-8", "replace")

    def tables_of(self, proxy: int) -> dict[int, int]:
        """Return the table of each class, by class index, that a proxy is on."""
        return self._planner_host.tables_of(proxy)

    def free_lines(self) -> float:
        """Return the lines that may wait in the channel's queue, less those that do."""
        return self.max_waiting_lines() - self._planner_host.waiting_lines()

    def max_waiting_lines(self) -> float:
        """Return the lines that may wait in the channel's queue."""
        return self._planner_host.settings.channel.max_waiting_lines

    def message_overhead_lines(self) -> float:
        """Return the lines that a message's head counts as."""
        return self._planner_host.settings.channel.message_overhead_lines

    def mark_changed(self, table: int, servers: Iterable[int]) -> None:
        """Send these lines of a table to all proxies on it."""
        self._planner_host.mark_changed(table, servers)

    def resume_tables(self, tables: dict[int, list[int]]) -> None:
        """Go on from the servers of each table as they were published last."""
        self._planner_host.resume_tables(tables)

    def on_version_published(self, version: Version, delta: SnapshotDelta) -> None:
        """Pass on a version that was published here."""
        self._on_version_published(version, delta)

    def on_requests_changed(self, state: RequestState) -> None:
        """Pass on what operators want, which was changed by a request made here."""
        self._on_requests_changed(state)

    def log(self, event: str, **facts: object) -> None:
        """Write a log event."""
        self._log(event, **facts)
