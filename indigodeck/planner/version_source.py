"""The planner as the table publisher sees it: plain look-ups in host, endpoint list and store."""

from collections.abc import Callable, Iterable
from typing import Any

from ..assignment.interface import ServerState
from ..settings import DeploymentSettings
from ..versions.model import (
    AssignedTable,
    RequestState,
    ServerReadiness,
    SnapshotDelta,
    Version,
)
from ..versions.publisher import TablePublisher


class VersionSource:
    """Implements `versions.publisher.PublisherHost`, and makes the publisher.

    Parameters
    ----------
    service
        Clock, log, and the registries `servers` and `relays`.
    desk
        The assigner's host.
    store
        Where values are put.
    held
        All that the store held at the start, by key.
    on_requests_changed
        Called when an operator request is accepted here.
    """

    def __init__(
        self,
        service: Any,
        desk: Any,
        store: Any,
        held: dict[str, Any],
        settings: DeploymentSettings,
        class_names: list[str],
        max_versions: int,
        max_age: int,
        on_requests_changed: Callable[[RequestState], None],
    ):
        self.service = service
        self.desk = desk
        self.store = store
        self.settings = settings
        self._on_requests_changed = on_requests_changed
        self._held = held
        self.publisher = TablePublisher(self, class_names, max_versions, max_age)
        self._held = {}  # read once

    def now(self) -> int:
        """Return the service's time."""
        return self.service.now()

    def wall_clock(self) -> int:
        """Return the microseconds since 1970."""
        return self.service.now() + self.service.clock_gap

    def save(self, changes: list[tuple[str, Any]]) -> None:
        """Store values by key, soon.

        Nobody waits for it: what is not stored is missing from the history, and from nothing else.
        """
        self.store.put(changes)

    def load(self, key: str) -> Any:
        """Return what the store held under a key at the start."""
        return self._held.get(key)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that the store held at the start and that begin with a prefix."""
        return sorted(key for key in self._held if key.startswith(prefix))

    def assigned_tables(self) -> dict[int, AssignedTable]:
        """Return all tables as the assigner has them now."""
        return {
            table: AssignedTable(class_index, weights, admitted_share, retry_policy, revision)
            for table, (
                class_index,
                weights,
                (admitted_share, retry_policy),
                revision,
            ) in self.desk.published().items()
        }

    def server_id(self, server: int) -> str:
        """Return the deployment's own id of a server."""
        return self.service.servers.id_of[server]

    def server_index(self, server_id: str) -> int | None:
        """Return the index of a server, or None if it was never listed here."""
        return self.service.servers.index_of.get(server_id)

    def readiness(self, server: int) -> ServerReadiness:
        """Return how far a server may serve from an old table.

        It goes by the endpoint list, except for ejected servers: a rollback must not keep a server
        that is no longer listed as ready.
        """
        listed = self.desk.standing(server)
        if listed is None or listed.state != ServerState.READY or server in self.desk.withdrawn:
            return ServerReadiness.UNAVAILABLE
        if listed.started and self.service.now() - listed.started < self.settings.warm_up_time:
            return ServerReadiness.COLD
        return ServerReadiness.WARM

    def ejected_servers(self) -> frozenset[int]:
        """Return the servers that all relays keep off."""
        return frozenset(self.desk.withdrawn)

    def assigned_proxy_count(self, table: int) -> int:
        """Return how many proxies are on a table."""
        return self.desk.users(table)

    def relay_id(self, proxy: int) -> str:
        """Return the id of the relay that a proxy index stands for."""
        return str(self.service.relays.id_of[proxy], "utf-8", "replace")

    def tables_of(self, proxy: int) -> dict[int, int]:
        """Return the table of each class, by class index, that a proxy is on."""
        return self.desk.bound(proxy)

    def free_lines(self) -> float:
        """Return the lines that may wait in the channel's queue, less those that do."""
        return self.settings.channel.max_waiting_lines - self.desk.queue()

    def max_waiting_lines(self) -> float:
        """Return the lines that may wait in the channel's queue."""
        return self.settings.channel.max_waiting_lines

    def message_overhead_lines(self) -> float:
        """Return the lines that a message's head counts as."""
        return self.settings.channel.message_overhead_lines

    def mark_changed(self, table: int, servers: Iterable[int]) -> None:
        """Send these lines of a table to all proxies on it."""
        self.desk.touch(table, servers)

    def resume_tables(self, tables: dict[int, list[int]]) -> None:
        """Go on from the servers of each table as they were published last."""
        self.desk.resume(tables)

    def on_version_published(self, version: Version, delta: SnapshotDelta) -> None:
        """Send a version that was published here to the other controllers."""
        if self.service.replicator is not None:
            self.service.replicator.send_version(version, delta)

    def on_requests_changed(self, state: RequestState) -> None:
        """Pass on what operators want, which was changed by a request made here."""
        self._on_requests_changed(state)

    def log(self, event: str, **facts: object) -> None:
        """Write a log event."""
        self.service.note(event, **facts)
