"""The interface between the assigner and the program that hosts it, and the types they share.

The assigner performs no I/O: the host calls its `on_...` methods for events, and the assigner
responds by calling the methods of `AssignerHost`. Times are whole microseconds. Servers, proxies,
classes, zones and machine types are small indices to which the host maps its own ids. A table is
identified by a number that the assigner chooses.
"""

from collections.abc import Sequence
from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class ServerState(StrEnum):
    """The state of a server in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(StrEnum):
    """What the servers in an endpoint update are."""

    FULL = "whole"  # all servers
    INCREMENTAL = "changes"  # only the servers that changed
    CACHED = "cached"  # all servers that were known before this planner started


class HealthCheckOutcome(StrEnum):
    """The result of a health check."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the server refused the check because it is at its limit
    TIMED_OUT = "silent"  # no response in time
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "broken"  # the connection ended before the response


class RetryPolicy(IntEnum):
    """When a proxy may retry a request, on another server."""

    NEVER = 0
    ONCE_IF_NOT_EXECUTED = 1  # if the first attempt is proven not to have been executed
    ONCE = 2  # after any failure
    TWICE = 3  # after any failure


class Server(NamedTuple):
    """One entry of the endpoint list.

    `stable_id` is the host's own id of the server, used only for sorting and as a random seed.
    `started` is when its process started, on the host's clock; 0 means long ago.
    """

    index: int  # type: ignore[assignment]  # hides tuple.index, which is not needed here
    stable_id: bytes
    cell: int
    machine_type: int
    zone: int
    weight: float
    started: int
    state: ServerState


class LoadReport(NamedTuple):
    """What the proxies of a zone measured at one server over the last `span` microseconds.

    `mean_latency` is that of the attempts that did not fail. `load` is the server's own load
    report, if the host has one.
    """

    zone: int
    server: int
    attempts: int
    failures: int
    mean_latency: int
    span: int
    load: dict[str, float] | None = None


class DemandReport(NamedTuple):
    """The requests of one class that a proxy received over `span`, and how many of them failed."""

    proxy: int
    class_index: int
    requests: int
    failures: int
    span: int


class AssignerHost(Protocol):
    """The operations available to the assigner.

    The host may send the orders given during one call to the assigner in one message.
    """

    def now(self) -> int:
        """Return the time of a clock that never goes back."""

    def start_timer(self, delay: int, token: int) -> None:
        """Call `on_timer(token)` after `delay`, never from within this call."""

    def set_weight(self, table: int, server: int, weight: float) -> None:
        """Set one line of a table; a weight of 0 removes it."""

    def clear_table(self, table: int) -> None:
        """Remove all lines of a table."""

    def assign_table(self, proxy: int, table: int, classes: Sequence[int]) -> None:
        """Make a joined proxy use a table for these classes."""

    def eject_server(self, server: int) -> None:
        """Make all joined proxies stop using a server, whatever their tables say."""

    def uneject_server(self, server: int) -> None:
        """Allow proxies to use an ejected server again."""

    def forget_server(self, server: int) -> None:
        """Uneject a server that no table or later report can name, and release its index."""

    def set_admission(
        self, table: int, classes: Sequence[int], level: float, retry_policy: RetryPolicy
    ) -> None:
        """Set the admission level of these classes, and when proxies may retry."""

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Request an acknowledgement, passed to `on_ack`, from each proxy this call's orders go to.

        With `all_proxies` it is requested from every joined proxy.
        """

    def check_health(self, server: int) -> None:
        """Send a health check to a server, and report its outcome with `on_health_check`."""

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to another planner, or to all if `peer` is None."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Start or stop the subscription to the endpoint list, where the host needs one."""

    def fetch_endpoints(self) -> None:
        """Request the full endpoint list once."""

    def log(self, text: str) -> None:
        """Write a line to the log."""
