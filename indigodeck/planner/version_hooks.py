"""Where versions meet the planner: store, publisher, replication, operators' requests."""

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

START_COUNT_KEY = "starts"  # in the store
# A store that lost something may have lost its last starts: numbers go on far ahead of any that
# were given.
START_COUNT_MARGIN = 1 << 16
START_COUNT_RETRY = 5 * SECOND  # until a start is tried to be written down again
# An operator is answered once a majority of the controllers has the request, or after so many
# looks.
MAJORITY_LOOKS = 40
MAJORITY_LOOK_INTERVAL_S = 0.05


class ReplicationPeers:
    """The other controllers, as `versions.replication.VersionReplicator` sees them."""

    def __init__(self, members: Any, publisher: TablePublisher, later: Callable[..., None]) -> None:
        self.later = later
        self._members = members
        self._publisher = publisher

    def now(self) -> int:
        """Return the time on a clock that never goes back."""
        return now()

    def send(self, member: str, kind: str, **fields: Any) -> None:
        """Send a message to one controller; it may be lost."""
        self._members.send(member, kind, **fields)

    def others(self) -> list[str]:
        """Return the other controllers' names."""
        return self._members.peer_ids()

    def is_leader(self) -> bool:
        """Return whether this controller leads."""
        return self._publisher.is_leader


class VersionHooks:
    """The versions of one planner.

    `store`, `publisher`, `admin_api` and `replicator` are None where no store is stated;
    `replicator` is None as well where there are no other controllers.
    """

    def __init__(self, service: "PlannerService") -> None:
        self.store: Any = None
        self.publisher: TablePublisher | None = None
        self.admin_api: AdminApi | None = None
        self.replicator: VersionReplicator | None = None
        self._service = service
        self._stored_list: dict[str, Any] | None = None

    def open(self, store: Any, stored: dict[str, Any]) -> None:
        """Take up what a store holds (`store.writer.Writer`); `stored`: all its values by keys."""
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
        source.forget_stored()
        service.planner_host.publisher = self.publisher
        self.admin_api = AdminApi(self.publisher, source)
        members = service.leadership.member_thread
        if members is not None:
            peers = ReplicationPeers(members, self.publisher, service.call_later)
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

    # What the planner tells.

    def resume_tables(self) -> None:
        """Go on with the tables published before a restart, once their servers are known."""
        if self.publisher is not None:
            self.publisher.resume_tables()

    def on_leadership_acquired(self, epoch: int) -> None:
        """Give versions numbers of this epoch from now on."""
        if self.publisher is None:
            return
        self.publisher.become_leader(epoch, after_another=True)
        self._service.planner_host.has_changes = True
        if self.replicator is not None:
            self.replicator.request_peer_states()

    def on_leadership_lost(self) -> None:
        """Publish no more versions."""
        if self.publisher is not None:
            self.publisher.lose_leadership()

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Take in another controller's message on versions and operators' requests."""
        if self.replicator is not None:
            self.replicator.on_message(member, kind, fields)

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the log."""
        self._service.log_event(event, **facts)

    # Operators.

    async def on_operator_request(self, request: Any) -> dict[str, Any]:
        """Carry out an operator's request (`operator_request.schema.json`).

        A request that changes something is answered once a majority of the controllers has it:
        whoever leads next then knows of it.
        """
        if request == {"what": "trust"}:
            return self._trust()
        if self.admin_api is None:
            return {"why_not": "no store is stated in the charter: versions are not kept"}
        answer = self.admin_api.answer(request)
        if "serial" not in answer or self.replicator is None:
            return answer
        return await self._once_replicated(answer, self.replicator)

    async def _once_replicated(
        self, answer: dict[str, Any], replicator: VersionReplicator
    ) -> dict[str, Any]:
        serial = RequestSerial(*answer["serial"])
        controller_count = replicator.controller_count()
        for _ in range(MAJORITY_LOOKS):
            if replicator.replica_count(serial) > controller_count // 2:
                return answer
            await sleep(MAJORITY_LOOK_INTERVAL_S)
        why_not = (
            f"carried out, but only {replicator.replica_count(serial)} of {controller_count} "
            "controllers have it: a takeover now may forget it"
        )
        return {**answer, "why_not": why_not}

    def _trust(self) -> dict[str, Any]:
        """Return how far the list stored by an earlier run is proved, while it is gone by."""
        cached_list = self._service.endpoints.cached_list
        is_used = cached_list is not None and not cached_list.superseded
        return {
            "trust": cached_list.figures() if is_used and cached_list is not None else None,
            "list": self._service.endpoints.endpoint_list.version,
        }

    # Starts: they number the versions where nobody grants epochs.

    def _store_start_count(self, count: int) -> None:
        """Write a start down, and try again until it is; no version is numbered before."""

        def on_stored(result: Any) -> None:
            if result.exception() is None:
                assert self.publisher is not None
                self.publisher.become_leader(count)
                # A proxy may have been served before this was written down: what it holds is
                # published now.
                self._service.planner_host.has_changes = True
            elif not self._service.is_closing:
                self._service.call_later(START_COUNT_RETRY, lambda: self._store_start_count(count))

        IOLoop.current().add_future(self.store.put([(START_COUNT_KEY, count)]), on_stored)

    # What the publisher tells.

    def _on_version_published(self, version: Version, delta: SnapshotDelta) -> None:
        if self.replicator is not None:
            self.replicator.send_version(version, delta)

    def _on_requests_changed(self, state: RequestState) -> None:
        if self.replicator is not None:
            self.replicator.send_requests(state)
