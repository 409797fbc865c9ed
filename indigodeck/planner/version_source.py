"""The planner's state as the table publisher reads it."""

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

    `stored` holds the values of the store at the start, by key, until `discard_stored_values`.
    `wall_clock_offset` (microseconds) converts the planner's monotonic clock to the wall clock. The
    callbacks are called for each published version and for each change of the operator requests.
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

    def discard_stored_values(self) -> None:
        """Release the values read from the store at the start, which are needed only once."""
        self._stored = {}

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return self._clock()

    def wall_clock(self) -> int:
        """Return the wall-clock time in microseconds since 1970."""
        return self._clock() + self._wall_clock_offset

    def save(self, changes: list[tuple[str, Any]]) -> None:
        """Write values to the store in the background, by key.

        No caller waits for the write. If it fails, the values are missing only from the history.
        """
        self._store.put(changes)

    def load(self, key: str) -> Any:
        """Return the value of a key in the store at the start, or None."""
        return self._stored.get(key)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys in the store at the start that have this prefix."""
        return sorted(key for key in self._stored if key.startswith(prefix))

    def assigned_tables(self) -> dict[int, AssignedTable]:
        """Return all tables as the assigner has them now."""
        return self._planner_host.assigned_tables()

    def server_id(self, server: int) -> str:
        """Return the id that the deployment uses for a server."""
        return self._server_ids.id_of[server]

    def server_index(self, server_id: str) -> int | None:
        """Return the index of a server, or None if this planner never listed it."""
        return self._server_ids.index_of.get(server_id)

    def readiness(self, server: int) -> ServerReadiness:
        """Return whether a server can take load when an old table is restored.

        The endpoint list decides, except for ejected servers: a rollback must not use a server that
        is no longer listed as ready.
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
        """Return the servers that are excluded from all tables."""
        return frozenset(self._planner_host.ejected_servers)

    def assigned_proxy_count(self, table: int) -> int:
        """Return how many proxies are assigned to a table."""
        return self._planner_host.proxy_count(table)

    def relay_id(self, proxy: int) -> str:
        """Return the id of the relay with this proxy index."""
        return str(self._proxy_ids.id_of[proxy], "utf-8", "replace")

    def tables_of(self, proxy: int) -> dict[int, int]:
        """Return the tables that a proxy is assigned to, by class index."""
        return self._planner_host.tables_of(proxy)

    def free_lines(self) -> float:
        """Return how many more lines the channel can queue."""
        return self.max_waiting_lines() - self._planner_host.waiting_lines()

    def max_waiting_lines(self) -> float:
        """Return how many lines the channel can queue."""
        return self._planner_host.settings.channel.max_waiting_lines

    def message_overhead_lines(self) -> float:
        """Return the overhead of a message, in lines."""
        return self._planner_host.settings.channel.message_overhead_lines

    def mark_changed(self, table: int, servers: Iterable[int]) -> None:
        """Send these lines of a table again to all proxies assigned to it."""
        self._planner_host.mark_changed(table, servers)

    def resume_tables(self, tables: dict[int, list[int]]) -> None:
        """Restore the servers of each table as they were last published."""
        self._planner_host.resume_tables(tables)

    def on_version_published(self, version: Version, delta: SnapshotDelta) -> None:
        """Pass on a version that this controller published."""
        self._on_version_published(version, delta)

    def on_requests_changed(self, state: RequestState) -> None:
        """Pass on the operator requests after a change by a request made here."""
        self._on_requests_changed(state)

    def log(self, event: str, **fields: object) -> None:
        """Write an event to the log."""
        self._log(event, **fields)
