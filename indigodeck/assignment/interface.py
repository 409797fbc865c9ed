"""The interface between the assigner and the program that hosts it, and the types they share.

The assigner is a sans-I/O core: its host calls the `on_...` methods for events, and the assigner
answers by calling the methods of `AssignerHost`. Times are whole microseconds. Servers, proxies,
classes, zones and machine types are small indices to which the host maps its own ids. A table is
a number that the assigner chooses.
"""

from collections.abc import Sequence
from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class ServerState(StrEnum):
    """What the endpoint list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(StrEnum):
    """How an endpoint update relates to what was known before."""

    FULL = "whole"  # all servers there are
    INCREMENTAL = "changes"  # only those that changed
    CACHED = "cached"  # all that were known before this planner started


class HealthCheckOutcome(StrEnum):
    """How a health check ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the server refused it, for it is at its limit
    TIMED_OUT = "silent"  # no answer in time
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "broken"  # the connection ended before the answer


class RetryPolicy(IntEnum):
    """When a proxy may send a request again, to another server."""

    NEVER = 0
    ONCE_IF_NOT_EXECUTED = 1  # after proof that the first attempt was never executed
    ONCE = 2  # after any failure
    TWICE = 3  # after any failure


class Server(NamedTuple):
    """One entry of the endpoint list.

    `stable_id` is the id as the host knows it, used only to sort and to seed by. `started` is when
    its process started, on the host's clock; 0 means long ago.
    """

    index: int  # type: ignore[assignment]  # hides tuple.index, which no entry needs
    stable_id: bytes
    cell: int
    machine_type: int
    zone: int
    weight: float
    started: int
    state: ServerState


class LoadReport(NamedTuple):
    """What the proxies of a zone met at one server over `span`.

    `mean_latency` is of the attempts that did not fail; `load` is the server's own load report
    where the host has one.
    """

    zone: int
    server: int
    attempts: int
    failures: int
    mean_latency: int
    span: int
    load: dict[str, float] | None = None


class DemandReport(NamedTuple):
    """The requests of one class that came to one proxy over `span`, and how many of them failed."""

    proxy: int
    class_index: int
    requests: int
    failures: int
    span: int


class AssignerHost(Protocol):
    """What the assigner may do. Orders given while one call lasts may travel together."""

    def now(self) -> int:
        """Return the time on a clock that never goes back."""

    def start_timer(self, delay: int, token: int) -> None:
        """Call `on_timer(token)` after `delay`, never from within this call."""

    def set_weight(self, table: int, server: int, weight: float) -> None:
        """Set one line of a table; weight 0 removes it."""

    def clear_table(self, table: int) -> None:
        """Remove all lines of a table."""

    def assign_table(self, proxy: int, table: int, classes: Sequence[int]) -> None:
        """Put a joined proxy on a table for these classes."""

    def eject_server(self, server: int) -> None:
        """Keep all joined proxies off a server, whatever their tables say."""

    def uneject_server(self, server: int) -> None:
        """Let proxies return to a server that was ejected."""

    def forget_server(self, server: int) -> None:
        """Uneject a server that no table names and no report can name, and drop its index."""

    def set_admission(
        self, table: int, classes: Sequence[int], level: float, retry_policy: RetryPolicy
    ) -> None:
        """Set how much of these classes is admitted, and when proxies may retry."""

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Ask each proxy that this call's orders reach, or everyone, to answer with `on_ack`."""

    def check_health(self, server: int) -> None:
        """Send the server a request, and report its end with `on_health_check`."""

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to another planner, or to all."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Subscribe to changes of the endpoint list, where it must be asked for, or stop that."""

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list once."""

    def log(self, text: str) -> None:
        """Write a line to the log."""
