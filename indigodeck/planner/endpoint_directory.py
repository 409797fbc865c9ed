"""The hosts of this planner: their ids, their addresses, and what lists say of them."""

import contextlib
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING, Any

from tornado.ioloop import IOLoop

from ..assignment.interface import Server, UpdateKind
from ..clock import SECOND, now
from ..id_registry import IdRegistry
from .cached_endpoint_list import CachedEndpointList
from .endpoint_list import EndpointList, Entry
from .host_client import Address

if TYPE_CHECKING:
    from .service import PlannerService

LIST_KEY = "roster"  # in the store
STORE_INTERVAL = SECOND  # the list is stored once in so long at most


class EndpointDirectory:
    """Takes in the endpoint list, and hands it on to assigner, health checks and frontends.

    It is what `EndpointList` tells (`endpoint_list.Listener`) and what `CachedEndpointList` asks
    (`cached_endpoint_list.Environment`).
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
        # A list stored by an earlier run, used for as long as nothing newer has come.
        self.cached_list: CachedEndpointList | None = None
        self._service = service
        self._stored_record: dict[str, Any] | None = None
        self._addresses: dict[int, Address] = {}
        self._server_at: dict[Address, int] = {}
        # Servers that were not handed on to the assigner yet, in the order they came.
        self._pending_changes: list[Server] = []
        self._is_store_scheduled = False
        self._is_from_source = True

    def start(self, stored_record: dict[str, Any] | None) -> None:
        """Use the list that an earlier run stored, if any, until its source gives a newer one."""
        self._stored_record = stored_record
        if stored_record is None:
            return
        self.endpoint_list.oldest_accepted = (stored_record["version"], stored_record["epoch"])
        self.cached_list = CachedEndpointList(
            self, stored_record, self._service.settings.reports.checks_enabled
        )

    # What frontends and health checks ask.

    def endpoint_of(self, server: int) -> tuple[str, str, str, int] | None:
        """Return (zone name, id, address, port) of a server, or None if it was never listed."""
        if server not in self._addresses:
            return None
        host_id = self.server_ids.id_of[server]
        entry = self.endpoint_list.entries.get(host_id)
        zone_name = "" if entry is None else entry.get("hall", "")
        return zone_name, host_id, *self._addresses[server]

    def server_at(self, address: Address) -> int | None:
        """Return the server at an address: the newest one that was listed there."""
        return self._server_at.get(address)

    def address_of(self, server: int) -> Address | None:
        """Return a server's address, or None if it was never listed."""
        return self._addresses.get(server)

    def on_host_quiesced(self, address: Address, quiesced: bool) -> bool:
        """Take a host's own word, which says nothing of the list; return whether it is listed."""
        with self._not_from_source():
            is_listed = self.endpoint_list.set_quiesced(*address, quiesced)
        self._schedule_store()
        return is_listed

    # What the endpoint list tells (`endpoint_list.Listener`).

    def on_endpoint_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Take in what the list says now, or what changed in it."""
        self._take_addresses()
        self._tell_health_inference(kind, servers)
        states = [server.state for server in servers]
        self._service.log_event(
            "endpoint_list_updated",
            kind=kind,
            version=self.endpoint_list.version,
            **{state: states.count(state) for state in sorted(set(states))},
        )
        if self._is_from_source:
            if self.cached_list is not None:
                self.cached_list.on_list(self.endpoint_list.entries)
            self._schedule_store()
        if kind != UpdateKind.INCREMENTAL:
            self._pending_changes.clear()  # it stands for all that was about to be handed on
            self._hand_on(kind, servers)
            return
        if not self._pending_changes:
            IOLoop.current().add_callback(self._hand_on_changes)
        # None is left out for a newer one: that it drains must be known, though it may have gone
        # since.
        self._pending_changes += servers

    def on_stale_list(self, entries: dict[str, Entry]) -> None:
        """Take note of a list that is older than the one that counts."""
        if self.cached_list is not None:
            self.cached_list.on_stale_list(entries)

    def fetch_endpoint_list(self) -> None:
        """Fetch the whole list: changes are missing."""
        self._service.list_source.fetch()

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the log."""
        self._service.log_event(event, **facts)

    def _take_addresses(self) -> None:
        for entry in self.endpoint_list.entries.values():
            server = self.server_ids.index(entry["id"])
            address = (entry["address"], entry["port"])
            if self._addresses.get(server) != address:
                self._addresses[server] = address
            # An address may be taken over by a new host; the newest one listed stands for it.
            self._server_at[address] = server

    def _tell_health_inference(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        inference = self._service.health_inference
        if kind != UpdateKind.INCREMENTAL:
            for server in inference.hosts.keys() - {server.index for server in servers}:
                inference.on_unlisted(server)
        inference.on_endpoint_update(servers)

    def _hand_on_changes(self) -> None:
        """Hand on the changes that came in one turn of the loop as one.

        A release at full size brings twenty at a time, and each of them alone kept the loop for a
        quarter of a second before any frontend could write.
        """
        servers = self._pending_changes
        self._pending_changes = []
        if servers:
            self._hand_on(UpdateKind.INCREMENTAL, servers)

    def _hand_on(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        if kind == UpdateKind.CACHED:
            # Who is named in what was published last is known from here on.
            self._service.versions.resume_tables()
        self._service.planner_host.on_endpoint_update(kind, servers)
        changed = [
            self._addresses[server.index] for server in servers if server.index in self._addresses
        ]
        for frontend in self._service.frontends:
            frontend.on_servers_changed(changed)

    # What the cached list asks (`cached_endpoint_list.Environment`).

    def now(self) -> int:
        """Return the time on a clock that never goes back."""
        return now()

    def wall_clock(self) -> int:
        """Return the time of day, in microseconds since 1970."""
        return self._service.wall_clock()

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call back after this time."""
        self._service.call_later(delay, callback)

    def check_cached_host(self, entry: Entry) -> None:
        """Check a host's health, and tell the cached list the end."""
        IOLoop.current().add_callback(self._check_cached_host, entry)

    def use_cached_entries(self, entries: list[Entry], is_first: bool) -> None:
        """Use these entries of the stored list."""
        assert self._stored_record is not None
        with self._not_from_source():
            self.endpoint_list.restore(self._stored_record, entries, is_first)

    async def _check_cached_host(self, entry: Entry) -> None:
        assert self.cached_list is not None
        address = (entry["address"], entry["port"])
        if await self._service.health_checker.is_alive(address):
            self.cached_list.on_answer(entry["id"])
        else:
            self.cached_list.on_no_answer(entry["id"])

    @contextlib.contextmanager
    def _not_from_source(self) -> Iterator[None]:
        """Take what is listed within this as the planner's own, not as the source's."""
        self._is_from_source = False
        try:
            yield
        finally:
            self._is_from_source = True

    # The stored list.

    def _schedule_store(self) -> None:
        if self._service.versions.store is not None and not self._is_store_scheduled:
            self._is_store_scheduled = True
            self._service.call_later(STORE_INTERVAL, self._store_list)

    def _store_list(self) -> None:
        self._is_store_scheduled = False
        store = self._service.versions.store
        if store is not None and not self._service.is_closing:
            record = {**self.endpoint_list.to_record(), "at": self._service.wall_clock()}
            store.put([(LIST_KEY, record)])
