"""The assigner's host on the platform, free of I/O: its calls become the platform's orders.

The platform's ids of servers become indices. An index is given up when nothing can name its server
any more; it is never used again. The orders of one event are one call to the relay. A fault in the
handling of one message is logged, and that message is lost, no more.
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

MAX_ACK_REQUESTS = 256  # the oldest is forgotten: some are never answered
BUSY_RETRY_DELAY = 50_000  # microseconds between two looks whether the relay has caught up


class CheckedServer(NamedTuple):
    """Which process a health check is of: one server may be several, one after the other."""

    server: int
    started: int


class KnownServer(NamedTuple):
    """A server as the endpoint list last had it, and as the assigner was notified of it."""

    endpoint: Endpoint
    server: Server


class Environment(Protocol):
    """What the host may ask of the program around it. Times are whole microseconds."""

    def now(self) -> int:
        """Return the time on a clock that never goes back, in Unix time."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call back after `delay`, never from within this call."""

    def notify_orders_pending(self) -> None:
        """Send what waits in the outbox."""

    def check_health(self, checked: CheckedServer, address: Address) -> None:
        """Send a request, and report its end with `on_health_check`, given `checked` back."""

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to another planner, or to all."""

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list."""

    def log(self, event: str, /, **facts: object) -> None:
        """Write an event to the log."""

    def trace(self, event: str, details: Sequence[Any]) -> None:
        """Take an event or the orders of the assigner, to compare with what passes on sockets."""


class EdgeAssignerHost:
    """Hosts one assigner: platform messages in, orders into `outbox`.

    Invariant: `index_of` and `servers` have the same servers.
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
        self._class_names = tuple(stated.name for stated in settings.classes)
        self._next_index = 0
        self._orders: list[Order] = []
        self.index_of: dict[str, int] = {}
        self.servers: dict[int, KnownServer] = {}
        self.ack_requested_at: dict[int, int] = {}
        self.ignored_messages = 0
        self.assigner = make_assigner(self, settings, seed)

    # Events of the platform.

    def on_endpoint_list(self, found: EndpointList, cached: bool = False) -> None:
        """Take an answer of discovery, or the list that was `cached` before this start."""
        # Gone before it was ever known: nothing names it, so nothing would ever forget it.
        servers = [
            self._update_server(endpoint)
            for endpoint in found.endpoints
            if endpoint.state != ServerState.GONE or endpoint.name in self.index_of
        ]
        if found.complete:
            # An entry that can't be read says nothing against the server it names.
            servers += [
                self.servers[self.index_of[name]].server
                for name in sorted(found.unusable_names & self.index_of.keys())
            ]
        if cached:
            kind = UpdateKind.CACHED
        else:
            kind = UpdateKind.FULL if found.complete else UpdateKind.INCREMENTAL
        self._dispatch(self.assigner.on_endpoint_update, kind, servers)

    def on_proxy_joined(self, joined: ProxyJoined) -> None:
        """Take a proxy that has connected to the relay."""
        self._dispatch(self.assigner.on_proxy_joined, *joined)

    def on_proxy_left(self, proxy: int) -> None:
        """Take a proxy that has disconnected from the relay."""
        self._outbox.drop_proxy(proxy)
        self._dispatch(self.assigner.on_proxy_left, proxy)

    def on_outcome_report(self, report: OutcomeReport) -> None:
        """Take a collector's report; one of an unknown server is ignored."""
        index = self.index_of.get(report.server)
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
        """Take a collector's report of the requests that came to a proxy."""
        self._dispatch(self.assigner.on_demand_report, report)

    def on_ack(self, ack: Ack) -> None:
        """Take an acknowledgement; one that is older than its request can't be right."""
        requested_at = self.ack_requested_at.get(ack.number)
        if requested_at is None or ack.delay > self._environment.now() - requested_at:
            self.ignored_messages += 1
            return
        self._dispatch(self.assigner.on_ack, *ack)

    def on_health_check(
        self,
        checked: CheckedServer,
        outcome: HealthCheckOutcome,
        duration: int,
        load: dict[str, float] | None,
    ) -> None:
        """Take the end of a health check.

        What a former process answered says nothing of the one there now.
        """
        known = self.servers.get(checked.server)
        if known is not None and known.server.started == checked.started:
            self._dispatch(self.assigner.on_health_check, checked.server, outcome, duration, load)

    def on_peer_message(self, peer: int, data: bytes) -> None:
        """Take a datagram of another planner."""
        self._dispatch(self.assigner.on_peer_message, peer, data)

    # The assigner's interface to its host (`AssignerHost`).

    def now(self) -> int:
        """Return the time on a clock that never goes back."""
        return self._environment.now()

    def start_timer(self, delay: int, token: int) -> None:
        """Call the assigner's `on_timer(token)` after `delay`, or once the relay has caught up."""
        self._environment.call_later(delay, lambda: self._on_timer(token))

    def set_weight(self, table: int, server: int, weight: float) -> None:
        """Set one line of a table; weight 0 removes it."""
        self._orders.append(SetWeight(table, self.servers[server].endpoint.name, weight))

    def clear_table(self, table: int) -> None:
        """Remove all lines of a table."""
        self._orders.append(ClearTable(table))

    def assign_table(self, proxy: int, table: int, classes: Sequence[int]) -> None:
        """Put a joined proxy on a table for these classes."""
        self._orders.append(AssignTable(proxy, table, self._names_of(classes)))

    def eject_server(self, server: int) -> None:
        """Keep all joined proxies off a server."""
        self._orders.append(SetEjected(self.servers[server].endpoint.name, ejected=True))

    def uneject_server(self, server: int) -> None:
        """Let proxies return to a server that was ejected."""
        self._orders.append(SetEjected(self.servers[server].endpoint.name, ejected=False))

    def forget_server(self, server: int) -> None:
        """Uneject a server that nothing can name any more, and drop its index."""
        name = self.servers.pop(server).endpoint.name
        self._orders.append(SetEjected(name, ejected=False))
        del self.index_of[name]

    def set_admission(
        self, table: int, classes: Sequence[int], level: float, retry_policy: RetryPolicy
    ) -> None:
        """Set how much of these classes is admitted; a negative table stands for all tables."""
        order_table = None if table < 0 else table
        self._orders.append(SetAdmission(order_table, self._names_of(classes), level, retry_policy))

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Ask each proxy that the orders of this call reach, or everyone, for an answer."""
        self.ack_requested_at.pop(number, None)
        self.ack_requested_at[number] = self._environment.now()
        if len(self.ack_requested_at) > MAX_ACK_REQUESTS:
            del self.ack_requested_at[next(iter(self.ack_requested_at))]
        self._orders.append(RequestAck(number, all_proxies))

    def check_health(self, server: int) -> None:
        """Send the server a request, and report its end to the assigner."""
        known = self.servers[server]
        checked = CheckedServer(server, known.server.started)
        self._environment.check_health(checked, known.endpoint.address)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to another planner, or to all."""
        self._environment.send_to_peer(peer, data)

    def watch_endpoints(self, enabled: bool) -> None:
        """Do nothing: the endpoint list is watched all the time."""

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list once."""
        self._environment.fetch_endpoints()

    def log(self, text: str) -> None:
        """Write a line of the assigner's to the log."""
        self._environment.log(text)

    def _on_timer(self, token: int) -> None:
        if self._outbox.is_behind():
            # What can't be sent is not added to: the channel would get it all at once afterwards.
            self._environment.call_later(BUSY_RETRY_DELAY, lambda: self._on_timer(token))
        else:
            self._dispatch(self.assigner.on_timer, token)

    def _update_server(self, endpoint: Endpoint) -> Server:
        index = self.index_of.get(endpoint.name)
        if index is None:
            index = self._next_index
            self.index_of[endpoint.name] = index
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
        """Return when a process started; never in the future, whatever its clock says.

        The same start has the same time however often it is listed.
        """
        known = self.servers.get(index)
        if known is not None and known.endpoint.started == endpoint.started:
            return known.server.started
        return min(endpoint.started, self._environment.now())

    def _names_of(self, classes: Sequence[int]) -> tuple[str, ...]:
        return tuple([self._class_names[index] for index in classes])

    def _dispatch(self, method: Callable[..., None], *arguments: Any) -> None:
        """Hand an event to the assigner, and what it orders to the outbox."""
        self._environment.trace(method.__name__, arguments)
        try:
            method(*arguments)
        except Exception:
            # The assigner's state may have changed halfway; what it ordered until then stands.
            self._environment.log("message_lost", traceback=traceback.format_exc(limit=-4))
        orders = self._orders
        self._orders = []
        if orders:
            self._environment.trace("orders", orders)
            self._outbox.add(orders)
            self._environment.notify_orders_pending()
