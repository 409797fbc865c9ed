"""The planner's side of versions: store, publisher, replication and operator requests."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tornado.gen import sleep
from tornado.ioloop import IOLoop

from ..clock import SECOND, now
from ..versions.admin_api import AdminApi
from ..versions.model import RequestSerial, RequestState, SnapshotDelta, Version
from ..versions.publisher import TablePublisher
from ..versions.replication import VersionReplicator
from .endpoint_directory import LIST_KEY
from .version_source import VersionSource

if TYPE_CHECKING:
    from .service import PlannerService

START_COUNT_KEY = "starts"  # key in the store
# If the store has lost data, it may have lost the newest start counts: the count then skips ahead
# of any number that can have been used.
START_COUNT_MARGIN = 1 << 16
START_COUNT_RETRY_INTERVAL = 5 * SECOND  # until a failed write of the start count is retried
# An operator request is answered once a majority of the controllers has stored it, or after this
# many checks.
MAX_MAJORITY_CHECKS = 40
MAJORITY_CHECK_INTERVAL_S = 0.05


class ReplicationPeers:
    """The other controllers, for `versions.replication.VersionReplicator`."""

    def __init__(
        self, member_thread: Any, publisher: TablePublisher, call_later: Callable[..., None]
    ) -> None:
        self.call_later = call_later
        self._member_thread = member_thread
        self._publisher = publisher

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return now()

    def send(self, member: str, kind: str, **fields: Any) -> None:
        """Send a message to one controller; it may be lost."""
        self._member_thread.send(member, kind, **fields)

    def peer_ids(self) -> list[str]:
        """Return the other controllers' names."""
        return self._member_thread.peer_ids()

    def is_leader(self) -> bool:
        """Return whether this controller leads."""
        return self._publisher.is_leader


class VersionHooks:
    """The versions of one planner.

    `store`, `publisher`, `admin_api` and `replicator` are None if no store is configured.
    `replicator` is also None without other controllers.
    """

    def __init__(self, service: "PlannerService") -> None:
        self.store: Any = None
        self.publisher: TablePublisher | None = None
        self.admin_api: AdminApi | None = None
        self.replicator: VersionReplicator | None = None
        self._service = service
        self._stored_list: dict[str, Any] | None = None

    def open(self, store: Any, stored: dict[str, Any]) -> None:
        """Restore versions from a store (`store.writer.StoreWriter`).

        `stored` holds all values in the store by key.
        """
        service = self._service
        settings = service.settings.store
        assert settings is not None
        self.store = store
        source = VersionSource(
            planner_host=service.planner_host,
            server_ids=service.endpoints.server_ids,
            proxy_ids=service.proxies.proxy_ids,
            store=store,
            stored=stored,
            wall_clock_offset=service.wall_clock_offset,
            on_version_published=self._on_version_published,
            on_requests_changed=self._on_requests_changed,
            log=service.log_event,
        )
        self.publisher = TablePublisher(
            source, service.settings.class_names, settings.max_versions, settings.max_version_age
        )
        source.discard_stored_values()
        service.planner_host.publisher = self.publisher
        self.admin_api = AdminApi(self.publisher, source)
        member_thread = service.leadership.member_thread
        if member_thread is not None:
            peers = ReplicationPeers(member_thread, self.publisher, service.call_later)
            self.replicator = VersionReplicator(peers, self.publisher)
        else:
            step = START_COUNT_MARGIN if store.log.data_lost else 1
            self._store_start_count(stored.get(START_COUNT_KEY, 0) + step)
        self._stored_list = stored.get(LIST_KEY)

    def stored_list(self) -> dict[str, Any] | None:
        """Return the endpoint list that an earlier run stored, or None."""
        return self._stored_list

    def close(self) -> None:
        """Close the store."""
        if self.store is not None:
            self.store.close()

    def resume_tables(self) -> None:
        """Continue with the tables published before a restart, once their servers are known."""
        if self.publisher is not None:
            self.publisher.resume_tables()

    def on_leadership_acquired(self, epoch: int) -> None:
        """Use this epoch to number versions from now on."""
        if self.publisher is None:
            return
        self.publisher.become_leader(epoch, after_other_leader=True)
        self._service.planner_host.has_changes = True
        if self.replicator is not None:
            self.replicator.request_peer_states()

    def on_leadership_lost(self) -> None:
        """Stop publishing versions."""
        if self.publisher is not None:
            self.publisher.lose_leadership()

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Process a message of another controller about versions or operator requests."""
        if self.replicator is not None:
            self.replicator.on_message(member, kind, fields)

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""
        self._service.log_event(event, **fields)

    async def on_operator_request(self, request: Any) -> dict[str, Any]:
        """Execute an operator request (`operator_request.schema.json`).

        A request that changes something is answered once a majority of the controllers has stored
        it, so that the next leader knows it.
        """
        if request == {"what": "trust"}:
            return self._trust()
        if self.admin_api is None:
            return {"why_not": "no store is configured in the charter, so no versions are kept"}
        answer = self.admin_api.answer(request)
        if "serial" not in answer or self.replicator is None:
            return answer
        return await self._wait_for_majority(answer, self.replicator)

    async def _wait_for_majority(
        self, answer: dict[str, Any], replicator: VersionReplicator
    ) -> dict[str, Any]:
        serial = RequestSerial(*answer["serial"])
        controller_count = replicator.controller_count()
        for _ in range(MAX_MAJORITY_CHECKS):
            if replicator.replica_count(serial) > controller_count // 2:
                return answer
            await sleep(MAJORITY_CHECK_INTERVAL_S)
        why_not = (
            f"applied, but stored by only {replicator.replica_count(serial)} of {controller_count} "
            "controllers: a change of leader may lose it"
        )
        return {**answer, "why_not": why_not}

    def _trust(self) -> dict[str, Any]:
        """Return how far the stored endpoint list is verified, while it is in use."""
        cached_list = self._service.endpoints.cached_list
        is_used = cached_list is not None and not cached_list.superseded
        return {
            "trust": cached_list.stats() if is_used and cached_list is not None else None,
            "list": self._service.endpoints.endpoint_list.version,
        }

    # Without other controllers, start counts take the place of epochs in version numbers.

    def _store_start_count(self, count: int) -> None:
        """Store the start count, with retries; versions are numbered only after that."""

        def on_stored(result: Any) -> None:
            if result.exception() is None:
                assert self.publisher is not None
                self.publisher.become_leader(count)
                # A proxy may have been served before the count was stored; the tables it holds are
                # published now.
                self._service.planner_host.has_changes = True
            elif not self._service.is_closing:
                self._service.call_later(
                    START_COUNT_RETRY_INTERVAL, lambda: self._store_start_count(count)
                )

        IOLoop.current().add_future(self.store.put([(START_COUNT_KEY, count)]), on_stored)

    def _on_version_published(self, version: Version, delta: SnapshotDelta) -> None:
        if self.replicator is not None:
            self.replicator.send_version(version, delta)

    def _on_requests_changed(self, state: RequestState) -> None:
        if self.replicator is not None:
            self.replicator.send_requests(state)
