"""The state of a proxy that is connected over xDS, without I/O.

A client with one channel for each class has several streams. All streams of a proxy share its
tables and its message limit.
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

# Bounds the memory for a proxy that acknowledges nothing. The oldest updates are dropped, since the
# newest cover everything that is still needed.
MAX_DEFERRED_UPDATES = 64
MAX_REASON_CHARACTERS = 500  # the longest part of a proxy's error text that is logged


class Bounds(NamedTuple):
    """Limits for one proxy: resource names on a stream, and concurrent streams."""

    names: int = 256
    streams: int = 16


class NotLeaderError(RejectedError):
    """Another controller leads the relay group of this proxy."""


class XdsEnvironment(Protocol):
    """The services of the planner that the state of a proxy uses."""

    def lease_epoch(self, proxy: int) -> int:
        """Return the epoch of the lease under which orders are sent, or 0 without leases."""

    def rejected_content(self, proxy_id: str) -> dict[str, str]:
        """Return the versions, by class, that a proxy rejected, whichever controller sent them."""

    def on_content_rejected(self, proxy_id: str, class_name: str, version: str) -> None:
        """Record that a proxy rejected a version of the endpoints of a class."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""


class XdsProxy:
    """A proxy, identified by its node id, with its streams and the updates not yet sent to it.

    An update of its tables is sent with the next endpoints response on any of its streams, and
    counts as delivered when that response is acknowledged.
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
        """Return the version of the next response, made of the lease's epoch and a serial number.

        Clients reject a response whose epoch is below the highest that they have seen.
        """
        self._last_serial += 1
        return f"{self.environment.lease_epoch(self.index)}.{self._last_serial}"

    def rejected_before(self, type_url: str) -> Mapping[str, str]:
        """Return the versions, by resource name, that the proxy rejected on earlier streams.

        Versions are hashes of the content, so that rejections of resources that another controller
        sent also apply here.
        """
        return self.environment.rejected_content(self.proxy_id) if type_url == ENDPOINTS else {}

    def on_resources_rejected(self, type_url: str, versions: Mapping[str, str], error: str) -> None:
        """Log and record that the proxy rejected these versions, given by resource name."""
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
        """Take the pending updates for the proxy from the planner host, to be sent from here."""
        update = self.planner_host.take_updates(self.index)
        if update is not None:
            self.deferred_updates = [*self.deferred_updates, update][-MAX_DEFERRED_UPDATES:]

    def take_deferred(self) -> list[TableUpdate]:
        """Remove and return the updates that no response has carried yet."""
        updates = self.deferred_updates
        self.deferred_updates = []
        return updates

    def defer(self, updates: list[TableUpdate]) -> None:
        """Put back updates, older than those still deferred, to be sent with a later response."""
        self.deferred_updates = updates + self.deferred_updates

    def on_updates_answered(self, updates: list[TableUpdate], accepted: bool) -> None:
        """Report the updates of an answered response as delivered, if it was accepted.

        A rejected response was not applied, and the acknowledgements that the assigner requested
        are not given, just as when the stream breaks.
        """
        if accepted:
            for update in updates:
                self.planner_host.on_delivered(update)

    def request_write(self) -> None:
        """Request a write on all streams."""
        for stream in self.streams:
            stream.connection.request_write()
