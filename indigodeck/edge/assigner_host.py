"""Hosts the assigner on the platform: turns its calls into orders to the relay. Does no I/O.

Maps the platform's server ids to integer indices. An index is released once no order or report can
name its server any more, and is never reused. The orders that one event causes are added to the
outbox together, so that one call to the relay carries them. An exception during the handling of a
message is logged and loses only that message.
"""

import traceback
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

from ..assignment.assigner import Assigner
from ..assignment.interface import (
    AssignerHost,
    DemandReport,
    HealthCheckOutcome,
    LoadReport,
    RetryPolicy,
    Server,
    ServerState,
    UpdateKind,
)
from ..settings import DeploymentSettings
from .messages import (
    Ack,
    Address,
    AssignTable,
    ClearTable,
    Endpoint,
    EndpointList,
    Order,
    OutcomeReport,
    ProxyJoined,
    RequestAck,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from .outbox import Outbox

MAX_ACK_REQUESTS = 256  # beyond this the oldest is dropped: some are never answered
BUSY_RETRY_DELAY = 50_000  # microseconds between checks whether the outbox has caught up


class HealthCheckTarget(NamedTuple):
    """The server process that a health check is for.

    A server that restarts keeps its index, so `started`, its start time, tells its processes apart.
    """

    server: int
    started: int


class KnownServer(NamedTuple):
    """A server as the endpoint list last stated it, and as it was passed to the assigner."""

    endpoint: Endpoint
    server: Server


class Environment(Protocol):
    """What the host needs from the program that runs it. Times are whole microseconds."""

    def now(self) -> int:
        """Return Unix time, from a clock that never goes back."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay`, never before this method returns."""

    def notify_orders_pending(self) -> None:
        """Start to send the orders in the outbox."""

    def check_health(self, target: HealthCheckTarget, address: Address) -> None:
        """Send a health check to `address`; its result goes to `on_health_check` with `target`."""

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to another planner, or to all if `peer` is None."""

    def fetch_endpoints(self) -> None:
        """Request the whole endpoint list."""

    def log(self, event: str, /, **fields: object) -> None:
        """Write an event to the log."""

    def trace(self, event: str, details: Sequence[Any]) -> None:
        """Record an event or the assigner's orders, to compare with the traffic on the sockets."""


class EdgeAssignerHost:
    """Hosts one assigner: passes it the platform's messages, and adds its orders to `outbox`.

    Invariant: `index_by_name` and `servers` hold the same servers.
    """

    def __init__(
        self,
        environment: Environment,
        outbox: Outbox,
        settings: DeploymentSettings,
        seed: int,
        make_assigner: Callable[[AssignerHost, DeploymentSettings, int], Any] = Assigner,
    ) -> None:
        self._environment = environment
        self._outbox = outbox
        self._class_names = tuple(class_settings.name for class_settings in settings.classes)
        self._next_index = 0
        self._orders: list[Order] = []
        self.index_by_name: dict[str, int] = {}
        self.servers: dict[int, KnownServer] = {}
        self.ack_requested_at: dict[int, int] = {}
        self.ignored_messages = 0
        self.assigner = make_assigner(self, settings, seed)

    def on_endpoint_list(self, endpoint_list: EndpointList, cached: bool = False) -> None:
        """Handle an answer of discovery, or the list `cached` before this planner started."""
        # Leaves out servers that were gone before they were known: no order or report names them,
        # so the assigner would never ask to forget them.
        servers = [
            self._update_server(endpoint)
            for endpoint in endpoint_list.endpoints
            if endpoint.state != ServerState.GONE or endpoint.name in self.index_by_name
        ]
        if endpoint_list.complete:
            # An entry that can't be parsed does not remove the server that it names.
            servers += [
                self.servers[self.index_by_name[name]].server
                for name in sorted(endpoint_list.unusable_names & self.index_by_name.keys())
            ]
        if cached:
            kind = UpdateKind.CACHED
        else:
            kind = UpdateKind.FULL if endpoint_list.complete else UpdateKind.INCREMENTAL
        self._dispatch(self.assigner.on_endpoint_update, kind, servers)

    def on_proxy_joined(self, joined: ProxyJoined) -> None:
        """Handle a proxy's connection to the relay."""
        self._dispatch(self.assigner.on_proxy_joined, *joined)

    def on_proxy_left(self, proxy: int) -> None:
        """Handle a proxy's disconnection from the relay."""
        self._outbox.drop_proxy(proxy)
        self._dispatch(self.assigner.on_proxy_left, proxy)

    def on_outcome_report(self, report: OutcomeReport) -> None:
        """Handle a collector's report of a server; ignore it if the server is unknown."""
        index = self.index_by_name.get(report.server)
        if index is None:
            self.ignored_messages += 1
            return
        load_report = LoadReport(
            report.zone,
            index,
            report.attempts,
            report.failures,
            report.mean_latency,
            report.span,
            report.load,
        )
        self._dispatch(self.assigner.on_load_report, load_report)

    def on_demand_report(self, report: DemandReport) -> None:
        """Handle a collector's report of the requests that a proxy received."""
        self._dispatch(self.assigner.on_demand_report, report)

    def on_ack(self, ack: Ack) -> None:
        """Handle an acknowledgement; ignore one whose delay is longer than its request is old."""
        requested_at = self.ack_requested_at.get(ack.number)
        if requested_at is None or ack.delay > self._environment.now() - requested_at:
            self.ignored_messages += 1
            return
        self._dispatch(self.assigner.on_ack, *ack)

    def on_health_check(
        self,
        target: HealthCheckTarget,
        outcome: HealthCheckOutcome,
        duration: int,
        load: dict[str, float] | None,
    ) -> None:
        """Handle the result of a health check.

        A result from before a restart is ignored: it says nothing about the current process.
        """
        known = self.servers.get(target.server)
        if known is not None and known.server.started == target.started:
            self._dispatch(self.assigner.on_health_check, target.server, outcome, duration, load)

    def on_peer_message(self, peer: int, data: bytes) -> None:
        """Handle a datagram from another planner."""
        self._dispatch(self.assigner.on_peer_message, peer, data)

    # What the assigner calls (`AssignerHost`).

    def now(self) -> int:
        """Return the time, from a clock that never goes back."""
        return self._environment.now()

    def start_timer(self, delay: int, token: int) -> None:
        """Call the assigner's `on_timer(token)` after `delay`.

        While the outbox is backlogged, the call is postponed.
        """
        self._environment.call_later(delay, lambda: self._on_timer(token))

    def set_weight(self, table: int, server: int, weight: float) -> None:
        """Set one line of a table; weight 0 removes it."""
        self._orders.append(SetWeight(table, self.servers[server].endpoint.name, weight))

    def clear_table(self, table: int) -> None:
        """Remove all lines of a table."""
        self._orders.append(ClearTable(table))

    def assign_table(self, proxy: int, table: int, classes: Sequence[int]) -> None:
        """Assign a table to a joined proxy for these classes."""
        self._orders.append(AssignTable(proxy, table, self._names_of(classes)))

    def eject_server(self, server: int) -> None:
        """Stop all joined proxies from using a server."""
        self._orders.append(SetEjected(self.servers[server].endpoint.name, ejected=True))

    def uneject_server(self, server: int) -> None:
        """Let proxies use an ejected server again."""
        self._orders.append(SetEjected(self.servers[server].endpoint.name, ejected=False))

    def forget_server(self, server: int) -> None:
        """Uneject a server that no order or report can name any more, and release its index."""
        name = self.servers.pop(server).endpoint.name
        self._orders.append(SetEjected(name, ejected=False))
        del self.index_by_name[name]

    def set_admission(
        self, table: int, classes: Sequence[int], level: float, retry_policy: RetryPolicy
    ) -> None:
        """Set the admitted share of these classes; a negative `table` means all tables."""
        order_table = None if table < 0 else table
        self._orders.append(SetAdmission(order_table, self._names_of(classes), level, retry_policy))

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Request acknowledgements from the proxies that this call's orders reach, or from all."""
        self.ack_requested_at.pop(number, None)
        self.ack_requested_at[number] = self._environment.now()
        if len(self.ack_requested_at) > MAX_ACK_REQUESTS:
            del self.ack_requested_at[next(iter(self.ack_requested_at))]
        self._orders.append(RequestAck(number, all_proxies))

    def check_health(self, server: int) -> None:
        """Send the server a health check; the assigner receives its result."""
        known = self.servers[server]
        target = HealthCheckTarget(server, known.server.started)
        self._environment.check_health(target, known.endpoint.address)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to another planner, or to all if `peer` is None."""
        self._environment.send_to_peer(peer, data)

    def watch_endpoints(self, enabled: bool) -> None:
        """Do nothing: discovery is polled for changes all the time."""

    def fetch_endpoints(self) -> None:
        """Request the whole endpoint list once."""
        self._environment.fetch_endpoints()

    def log(self, text: str) -> None:
        """Write a line to the log."""
        self._environment.log(text)

    def _on_timer(self, token: int) -> None:
        if self._outbox.is_backlogged():
            # Adds no orders to a backlog: the channel would receive them all at once afterwards.
            self._environment.call_later(BUSY_RETRY_DELAY, lambda: self._on_timer(token))
        else:
            self._dispatch(self.assigner.on_timer, token)

    def _update_server(self, endpoint: Endpoint) -> Server:
        index = self.index_by_name.get(endpoint.name)
        if index is None:
            index = self._next_index
            self.index_by_name[endpoint.name] = index
            self._next_index += 1
        server = Server(
            index=index,
            stable_id=endpoint.name.encode(),
            cell=endpoint.cell,
            machine_type=endpoint.machine_type,
            zone=endpoint.zone,
            weight=endpoint.weight,
            started=self._start_time(index, endpoint),
            state=endpoint.state,
        )
        self.servers[index] = KnownServer(endpoint, server)
        return server

    def _start_time(self, index: int, endpoint: Endpoint) -> int:
        """Return when a process started; a start time in the future counts as now.

        A process that is listed again keeps the start time it was first given.
        """
        known = self.servers.get(index)
        if known is not None and known.endpoint.started == endpoint.started:
            return known.server.started
        return min(endpoint.started, self._environment.now())

    def _names_of(self, classes: Sequence[int]) -> tuple[str, ...]:
        return tuple([self._class_names[index] for index in classes])

    def _dispatch(self, method: Callable[..., None], *arguments: Any) -> None:
        """Pass an event to the assigner, and add the orders it gives to the outbox."""
        self._environment.trace(method.__name__, arguments)
        try:
            method(*arguments)
        except Exception:
            # The assigner may have changed part of its state, so its orders so far are still sent.
            self._environment.log("message_lost", traceback=traceback.format_exc(limit=-4))
        orders = self._orders
        self._orders = []
        if orders:
            self._environment.trace("orders", orders)
            self._outbox.add(orders)
            self._environment.notify_orders_pending()
