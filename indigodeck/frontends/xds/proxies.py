"""A proxy that speaks xDS, free of I/O: its streams share its tables and its message limit.

Clients with a channel for each class have several streams.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from ...errors import RejectedError
from ...planner.pending_updates import TableUpdate
from ...planner.planner_host import PlannerHost
from .codec import ENDPOINTS
from .resources import ResourceCache

if TYPE_CHECKING:
    from .streams import Stream

# A proxy that answers nothing would gather updates for ever; the newest say all that is asked.
MAX_DEFERRED_UPDATES = 64
MAX_REASON_CHARACTERS = 500  # characters of a proxy's own text that are logged


class Bounds(NamedTuple):
    """What one proxy may ask for: names on a stream, streams at one time."""

    names: int = 256
    streams: int = 16


class NotLeaderError(RejectedError):
    """Another controller leads the group of this proxy."""


class XdsEnvironment(Protocol):
    """What proxies may ask of the program around them."""

    def lease_epoch(self, proxy: int) -> int:
        """Return the epoch under which orders leave; 0 where controllers share nothing."""

    def rejected_content(self, proxy_id: str) -> dict[str, str]:
        """Return the versions by class that a proxy has rejected, here or elsewhere."""

    def on_content_rejected(self, proxy_id: str, class_name: str, version: str) -> None:
        """Take note that a proxy rejected a class's endpoints."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the log."""


class XdsProxy:
    """A proxy by its node id: its streams, and the updates that no response has carried yet.

    An update of its tables leaves with the next endpoints that any stream sends, and counts as
    delivered when that response is acknowledged.
    """

    def __init__(
        self,
        proxy_id: str,
        index: int,
        cache: ResourceCache,
        planner_host: PlannerHost,
        environment: XdsEnvironment,
        bounds: Bounds,
    ) -> None:
        self.proxy_id = proxy_id
        self.index = index
        self.cache = cache
        self.planner_host = planner_host
        self.environment = environment
        self.bounds = bounds
        self.streams: list[Stream] = []
        self.deferred_updates: list[TableUpdate] = []
        self._last_serial = 0

    def next_version(self) -> str:
        """Return a response's number under its epoch: clients reject an epoch below the highest."""
        self._last_serial += 1
        return f"{self.environment.lease_epoch(self.index)}.{self._last_serial}"

    def rejected_before(self, type_url: str) -> Mapping[str, str]:
        """Return the versions by name that the proxy rejected on earlier streams.

        Versions are hashes of content, so that what it rejected of another controller is known.
        """
        return self.environment.rejected_content(self.proxy_id) if type_url == ENDPOINTS else {}

    def on_resources_rejected(self, type_url: str, versions: Mapping[str, str], error: str) -> None:
        """Take note that the proxy can't use these versions, by name."""
        self.environment.log_event(
            "resources_rejected",
            proxy=self.proxy_id,
            type=type_url.rpartition(".")[2],
            reason=error[:MAX_REASON_CHARACTERS],
            resources=sorted(versions),
        )
        if type_url == ENDPOINTS:
            for name, version in versions.items():
                self.environment.on_content_rejected(self.proxy_id, name, version)

    def take_updates(self) -> None:
        """Take what waits for the proxy; it is on its way from now on."""
        update = self.planner_host.take_updates(self.index)
        if update is not None:
            self.deferred_updates = [*self.deferred_updates, update][-MAX_DEFERRED_UPDATES:]

    def take_deferred(self) -> list[TableUpdate]:
        """Hand over the updates that no response has carried yet."""
        updates = self.deferred_updates
        self.deferred_updates = []
        return updates

    def defer(self, updates: list[TableUpdate]) -> None:
        """Have these updates, older than those that wait, carried by a later response."""
        self.deferred_updates = updates + self.deferred_updates

    def on_updates_answered(self, updates: list[TableUpdate], accepted: bool) -> None:
        """Take note that a response was answered.

        One that was rejected counts as not applied: the acknowledgements that the assigner asked
        for stay out, as they would if the stream broke.
        """
        if accepted:
            for update in updates:
                self.planner_host.on_delivered(update)

    def request_write(self) -> None:
        """Ask all streams to write what waits."""
        for stream in self.streams:
            stream.connection.request_write()
