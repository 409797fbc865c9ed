"""The hosts that a planner knows: their ids, addresses and entries in the endpoint list."""

import contextlib
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING, Any

from tornado.ioloop import IOLoop

from ..assignment.interface import Server, UpdateKind
from ..clock import SECOND, now
from ..id_registry import IdRegistry
from .cached_endpoint_list import CachedEndpointList
from .endpoint_list import EndpointList, HostEntry
from .host_client import Address

if TYPE_CHECKING:
    from .service import PlannerService

LIST_KEY = "roster"  # key in the store
SAVE_INTERVAL = SECOND  # minimum time between two saves of the list


class EndpointDirectory:
    """Receives endpoint updates and forwards them to the assigner, health checks and frontends.

    Implements `endpoint_list.Listener` for `EndpointList` and `cached_endpoint_list.Environment`
    for `CachedEndpointList`.
    """

    def __init__(self, service: "PlannerService") -> None:
        settings = service.settings
        self.server_ids = IdRegistry()
        self.endpoint_list = EndpointList(
            self,
            self.server_ids,
            settings.zone_names,
            settings.machine_type_names,
            service.wall_clock_offset,
        )
        # The list that an earlier run stored, used until a newer one arrives.
        self.cached_list: CachedEndpointList | None = None
        self._service = service
        self._stored_record: dict[str, Any] | None = None
        self._addresses: dict[int, Address] = {}
        self._server_at: dict[Address, int] = {}
        # Changed servers that have not been forwarded to the assigner yet, in order of arrival.
        self._pending_changes: list[Server] = []
        self._is_save_scheduled = False
        self._is_from_source = True

    def start(self, stored_record: dict[str, Any] | None) -> None:
        """Use the stored list of an earlier run, if any, until the source provides a newer one."""
        self._stored_record = stored_record
        if stored_record is None:
            return
        self.endpoint_list.oldest_accepted = (stored_record["version"], stored_record["epoch"])
        self.cached_list = CachedEndpointList(
            self, stored_record, self._service.settings.reports.checks_enabled
        )

    # Lookups by frontends and health checks.

    def endpoint_of(self, server: int) -> tuple[str, str, str, int] | None:
        """Return (zone name, id, address, port) of a server, or None if it was never listed."""
        if server not in self._addresses:
            return None
        host_id = self.server_ids.id_of[server]
        entry = self.endpoint_list.entries.get(host_id)
        zone_name = "" if entry is None else entry.get("hall", "")
        return zone_name, host_id, *self._addresses[server]

    def server_at(self, address: Address) -> int | None:
        """Return the server that was most recently listed at an address."""
        return self._server_at.get(address)

    def address_of(self, server: int) -> Address | None:
        """Return a server's address, or None if it was never listed."""
        return self._addresses.get(server)

    def on_host_quiesced(self, address: Address, quiesced: bool) -> bool:
        """Apply a host's own statement on whether it accepts new work; return whether it is listed.

        It does not count as an update from the source of the list, so a cached list stays in use.
        """
        with self._local_update():
            is_listed = self.endpoint_list.set_quiesced(*address, quiesced)
        self._schedule_save()
        return is_listed

    # Notifications from the endpoint list (`endpoint_list.Listener`).

    def on_endpoint_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Process a full or incremental update of the endpoint list."""
        self._update_addresses()
        self._update_health_inference(kind, servers)
        states = [server.state for server in servers]
        self._service.log_event(
            "endpoint_list_updated",
            kind=kind,
            version=self.endpoint_list.version,
            **{state: states.count(state) for state in sorted(set(states))},
        )
        if self._is_from_source:
            if self.cached_list is not None:
                self.cached_list.on_newer_list(self.endpoint_list.entries)
            self._schedule_save()
        if kind != UpdateKind.INCREMENTAL:
            self._pending_changes.clear()  # a full update includes all pending changes
            self._forward_update(kind, servers)
            return
        if not self._pending_changes:
            IOLoop.current().add_callback(self._forward_pending_changes)
        # Earlier changes of the same server are kept: the assigner must learn that a server
        # drained, even if it is gone by now.
        self._pending_changes += servers

    def on_stale_list(self, entries: dict[str, HostEntry]) -> None:
        """Pass a list that is older than the current one to the cached list."""
        if self.cached_list is not None:
            self.cached_list.on_stale_list(entries)

    def fetch_endpoint_list(self) -> None:
        """Fetch the full list, because changes are missing."""
        self._service.list_source.fetch()

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""
        self._service.log_event(event, **fields)

    def _update_addresses(self) -> None:
        for entry in self.endpoint_list.entries.values():
            server = self.server_ids.index(entry["id"])
            address = (entry["address"], entry["port"])
            if self._addresses.get(server) != address:
                self._addresses[server] = address
            # A new host can reuse an address; the address then refers to the newest host.
            self._server_at[address] = server

    def _update_health_inference(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        inference = self._service.health_inference
        if kind != UpdateKind.INCREMENTAL:
            for server in inference.hosts.keys() - {server.index for server in servers}:
                inference.on_unlisted(server)
        inference.on_endpoint_update(servers)

    def _forward_pending_changes(self) -> None:
        """Forward the changes that arrived in one iteration of the event loop as a single update.

        A release of a full-size deployment brings about twenty changes at a time. Forwarded one by
        one, each of them blocked the loop for a quarter of a second before any frontend could
        write.
        """
        servers = self._pending_changes
        self._pending_changes = []
        if servers:
            self._forward_update(UpdateKind.INCREMENTAL, servers)

    def _forward_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        if kind == UpdateKind.CACHED:
            # From here on, the ids in the tables published before the restart can be resolved.
            self._service.versions.resume_tables()
        self._service.planner_host.on_endpoint_update(kind, servers)
        changed = [
            self._addresses[server.index] for server in servers if server.index in self._addresses
        ]
        for frontend in self._service.frontends:
            frontend.on_servers_changed(changed)

    # Services for the cached list (`cached_endpoint_list.Environment`).

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return now()

    def wall_clock(self) -> int:
        """Return the wall-clock time in microseconds since 1970."""
        return self._service.wall_clock()

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` microseconds."""
        self._service.call_later(delay, callback)

    def check_cached_host(self, entry: HostEntry) -> None:
        """Check a host in the background, and pass the outcome to the cached list."""
        IOLoop.current().add_callback(self._check_cached_host, entry)

    def use_cached_entries(self, entries: list[HostEntry], is_first: bool) -> None:
        """Use these entries of the stored list."""
        assert self._stored_record is not None
        with self._local_update():
            self.endpoint_list.restore(self._stored_record, entries, is_first)

    async def _check_cached_host(self, entry: HostEntry) -> None:
        assert self.cached_list is not None
        address = (entry["address"], entry["port"])
        if await self._service.health_checker.is_alive(address):
            self.cached_list.on_check_succeeded(entry["id"])
        else:
            self.cached_list.on_check_failed(entry["id"])

    @contextlib.contextmanager
    def _local_update(self) -> Iterator[None]:
        """Treat updates in this context as made by the planner, not by the source of the list."""
        self._is_from_source = False
        try:
            yield
        finally:
            self._is_from_source = True

    def _schedule_save(self) -> None:
        if self._service.versions.store is not None and not self._is_save_scheduled:
            self._is_save_scheduled = True
            self._service.call_later(SAVE_INTERVAL, self._save_list)

    def _save_list(self) -> None:
        self._is_save_scheduled = False
        store = self._service.versions.store
        if store is not None and not self._service.is_closing:
            record = {**self.endpoint_list.to_record(), "at": self._service.wall_clock()}
            store.put([(LIST_KEY, record)])
