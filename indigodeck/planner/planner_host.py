"""The assigner's host in a planner: holds tables and queues updates for proxies; free of I/O.

`PlannerHost` makes no decisions about tables. It stores the assigner's orders, notifies its
environment of proxies with pending updates, and returns the current state when a proxy can be
written to. Frontends read it through `take_updates`, `table_for`, `admission_for` and `endpoint`.
Times are whole microseconds.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from ..assignment.assigner import Assigner
from ..assignment.interface import (
    DemandReport,
    HealthCheckOutcome,
    LoadReport,
    RetryPolicy,
    Server,
    UpdateKind,
)
from ..settings import DeploymentSettings
from ..versions.model import AssignedTable
from .pending_updates import TableUpdate, UpdateQueue


class Environment(Protocol):
    """What `PlannerHost` needs from the program that runs it."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` microseconds."""

    def request_write(self, proxy: int) -> None:
        """Schedule a write to a proxy that has a pending update."""

    def check_health(self, server: int) -> None:
        """Send the server a request, and report the outcome to `on_health_check`."""

    def fetch_endpoint_list(self) -> None:
        """Fetch the full endpoint list, if it is not pushed by its source."""

    def log_event(self, event: str) -> None:
        """Write an event to the log."""


class Admission(NamedTuple):
    """The fraction of a class that proxies of a table admit, and when they may retry."""

    level: float = 1.0
    retry_policy: RetryPolicy = RetryPolicy.NEVER


ADMIT_ALL = Admission()


class PlannerHost:
    """Implements `assignment.interface.AssignerHost`, and holds the orders for the proxies.

    Each `on_...` method queues the orders of that call for the proxies concerned and requests a
    single write for each proxy. `publisher` assigns version numbers to published tables, if
    versions are stored (`versions.publisher`). `make_assigner` builds the assigner, or another
    policy instead.
    """

    def __init__(
        self,
        environment: Environment,
        settings: DeploymentSettings,
        seed: int,
        make_assigner: Callable[..., Any] = Assigner,
    ) -> None:
        self.environment = environment
        self.settings = settings
        self.class_indices = range(len(settings.classes))
        self.tables: dict[int, dict[int, float]] = {}
        self.class_of_table: dict[int, int] = {}
        self.ejected_servers: set[int] = set()
        self.endpoints: dict[int, Server] = {}  # the last list entry of each server
        self.updates = UpdateQueue(environment.now, settings.channel.message_overhead_lines)
        self.has_changes = True  # whether anything changed since the last call of the publisher
        self.publisher: Any = None
        self._admissions: dict[tuple[int, int], Admission] = {}  # by table and class
        self._table_revisions: dict[int, int] = {}
        self._ejection_revision = 0
        self.assigner: Any = None  # set first because the constructor can give orders
        self.assigner = make_assigner(self, settings, seed)
        self.flush_orders("start")

    def on_endpoint_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Process a full or incremental update of the endpoint list."""
        self.endpoints.update((server.index, server) for server in servers)
        self._ejection_revision += 1  # entries of ejected servers can change with the list
        self.has_changes = True
        self.assigner.on_endpoint_update(kind, servers)
        self.flush_orders("a list")

    def on_endpoint_list_failed(self) -> None:
        """Notify the assigner that the list could not be fetched."""
        self.assigner.on_endpoint_list_failed()
        self.flush_orders("no list")

    def on_proxy_joined(self, proxy: int, zone: int, rate: float, fresh: bool) -> None:
        """Start to serve a proxy.

        It usually receives `rate` requests a second. `fresh` means that it holds no table.
        """
        self.updates.on_proxy_joined(proxy)
        if self.ejected_servers:
            # The proxy may hold tables from an earlier connection. Ejections must apply to it even
            # before it is assigned to a table.
            for class_index in self.class_indices:
                self.updates.add(proxy, class_index, self.ejected_servers)
        self.assigner.on_proxy_joined(proxy, zone, rate, fresh)
        self.flush_orders("a relay joined")

    def on_proxy_left(self, proxy: int) -> None:
        """Remove a proxy and its pending update."""
        if self.updates.on_proxy_left(proxy):
            self.assigner.on_proxy_left(proxy)
            if self.publisher is not None:
                self.publisher.relay_versions.on_proxy_left(proxy)
            self.flush_orders("a relay left")

    def on_load_report(self, report: LoadReport) -> None:
        """Pass attempts at a server to the assigner, which acts on them at its next timer."""
        self.assigner.on_load_report(report)

    def on_demand_report(self, report: DemandReport) -> None:
        """Pass the demand at a proxy to the assigner, which acts on it at its next timer."""
        self.assigner.on_demand_report(report)

    def on_health_check(
        self, server: int, outcome: HealthCheckOutcome, latency: int, load: dict | None
    ) -> None:
        """Pass the outcome of a check to the assigner that requested it."""
        self.assigner.on_health_check(server, outcome, latency, load)
        self.flush_orders("a probe")

    def on_proxy_request(self, proxy: int) -> None:
        """Record a request of a proxy, which shows that its process runs since its last update."""
        if self.publisher is not None:
            self.publisher.relay_versions.on_proxy_request(proxy)

    def on_delivered(self, update: TableUpdate, by_application: bool = True) -> None:
        """Record that an update was delivered to a proxy.

        `by_application` is False if only the network stack of the proxy's machine confirmed it.
        """
        if update.proxy not in self.updates.by_proxy:
            return
        for number, requested_at in update.requested_acks:
            self.assigner.on_ack(update.proxy, number, self.environment.now() - requested_at)
        if self.publisher is not None:
            self.publisher.relay_versions.on_delivered(update.proxy, update.version, by_application)
        self.flush_orders("an answer")

    def flush_orders(self, event: str) -> None:
        """Publish the changes of one call, and request writes to the proxies that they affect."""
        self._publish(event)
        for proxy in self.updates.flush():
            self.environment.request_write(proxy)

    def _publish(self, event: str) -> None:
        if self.publisher is not None and (
            self.has_changes or self.publisher.rollback_pins.is_active()
        ):
            self.has_changes = False
            self.publisher.publish(event)

    def _on_timer(self, token: int) -> None:
        self.assigner.on_timer(token)
        self.flush_orders("a turn")

    def waiting_lines(self) -> float:
        """Return the number of queued lines for all proxies, including message overhead."""
        return self.updates.waiting_lines()

    def lines_per_join(self) -> float:
        """Return how many lines one joining proxy can add to the queue.

        These are a table and the ejected servers for each class.
        """
        longest = max(map(len, self.tables.values()), default=0)
        lines_per_class = max(1, longest + len(self.ejected_servers))
        overhead = self.settings.channel.message_overhead_lines
        return overhead + len(self.class_indices) * lines_per_class

    def has_pending(self, proxy: int) -> bool:
        """Return whether an update is queued for a proxy."""
        return self.updates.has_pending(proxy)

    def take_updates(self, proxy: int) -> TableUpdate | None:
        """Remove and return the pending update of a proxy, or None."""
        if not self.updates.has_pending(proxy):
            return None
        version = self.publisher.newest_version() if self.publisher is not None else None
        return self.updates.by_proxy[proxy].take(proxy, version)

    def table_for(self, proxy: int, class_index: int) -> dict[int, float] | None:
        """Return the weights by server that a proxy should use for a class.

        None means that the proxy is assigned to no table: it keeps the table that it has, without
        ejected servers.
        """
        table = self.updates.bound_table(proxy, class_index)
        if table is None:
            return None
        return {
            server: weight
            for server, weight in self.published_weights(table).items()
            if server not in self.ejected_servers
        }

    def published_weights(self, table: int) -> dict[int, float]:
        """Return the published weights of a table: pinned by an operator, or from the assigner."""
        weights = self.tables.get(table, {})
        if self.publisher is None:
            return weights
        return self.publisher.rollback_pins.weights_of(table, weights)

    def revision_of(self, proxy: int, class_index: int) -> tuple[int, int, int] | None:
        """Return a key of the content of `table_for` and `admission_for`.

        Equal keys mean equal content, also between proxies that share a table. None means that the
        proxy is assigned to no table.
        """
        table = self.updates.bound_table(proxy, class_index)
        if table is None:
            return None
        return table, self._table_revisions.get(table, 0), self._ejection_revision

    def admission_for(self, proxy: int, class_index: int) -> Admission:
        """Return the admission of a proxy's table for a class; by default all is admitted."""
        table = self.updates.bound_table(proxy, class_index)
        if table is None:
            return ADMIT_ALL
        return self._admissions.get((table, class_index), ADMIT_ALL)

    # Interface for the publisher of versions.

    def resume_tables(self, members: dict[int, list[int]]) -> None:
        """Restore the servers of tables as they were published before a restart.

        This is done only while no proxy has joined, so that no traffic moves.
        """
        # Baseline policies do not implement it.
        has_shards = hasattr(self.assigner, "resume_tables")
        if not self.updates.by_proxy and has_shards:
            self.assigner.resume_tables(members)

    def assigned_tables(self) -> dict[int, AssignedTable]:
        """Return all tables that proxies were assigned to, as the assigner has them."""
        tables = {}
        for table, class_index in self.class_of_table.items():
            admission = self._admissions.get((table, class_index), ADMIT_ALL)
            tables[table] = AssignedTable(
                class_index,
                self.tables.get(table, {}),
                admission.level,
                admission.retry_policy,
                self._table_revisions.get(table, 0),
            )
        return tables

    def proxy_count(self, table: int) -> int:
        """Return the number of (proxy, class) pairs assigned to a table."""
        return sum(1 for _ in self.updates.bindings(table))

    def tables_of(self, proxy: int) -> dict[int, int]:
        """Return the tables of a proxy by class."""
        pending = self.updates.by_proxy.get(proxy)
        return dict(pending.tables) if pending else {}

    def endpoint(self, server: int) -> Server | None:
        """Return the last list entry of a server, or None if it was never listed."""
        return self.endpoints.get(server)

    def mark_changed(self, table: int, servers: Iterable[int]) -> None:
        """Queue these lines of a table again for all proxies assigned to it."""
        self._increment_revision(table)
        self.updates.add_for_table(table, servers)

    def _increment_revision(self, table: int) -> None:
        self._table_revisions[table] = self._table_revisions.get(table, 0) + 1
        self.has_changes = True

    # Orders of the assigner (`assignment.interface.AssignerHost`).

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return self.environment.now()

    def start_timer(self, delay: int, token: int) -> None:
        """Call the assigner's `on_timer(token)` after `delay`."""
        self.environment.call_later(delay, lambda: self._on_timer(token))

    def set_weight(self, table: int, server: int, weight: float) -> None:
        """Set one line of a table; weight 0 removes it."""
        weights = self.tables.setdefault(table, {})
        if weight > 0:
            weights[server] = weight
        else:
            weights.pop(server, None)
        if self.publisher is not None and table in self.publisher.rollback_pins.published_weights:
            # The published weights are pinned by an operator; the publisher works out whether this
            # change affects them.
            self._increment_revision(table)
        else:
            self.mark_changed(table, (server,))

    def clear_table(self, table: int) -> None:
        """Remove all lines of a table."""
        removed = self.tables.pop(table, {})
        self.class_of_table.pop(table, None)
        self._admissions = {
            key: admission for key, admission in self._admissions.items() if key[0] != table
        }
        self.mark_changed(table, removed)

    def assign_table(self, proxy: int, table: int, classes: Sequence[int]) -> None:
        """Assign a joined proxy to a table for these classes, or for all if none is given."""
        if proxy not in self.updates.by_proxy:
            return
        for class_index in classes or self.class_indices:
            if table not in self.class_of_table:
                # The table is published from now on, though no line of it changes.
                self.class_of_table[table] = class_index
                self.has_changes = True
            self.updates.bind(proxy, class_index, table, self.published_weights(table))

    def eject_server(self, server: int) -> None:
        """Exclude a server from all tables of all joined proxies."""
        self.ejected_servers.add(server)
        self._ejection_changed(server)

    def uneject_server(self, server: int) -> None:
        """End the ejection of a server."""
        self.ejected_servers.discard(server)
        self._ejection_changed(server)

    def forget_server(self, server: int) -> None:
        """End the ejection of a server, which affects no proxy.

        Its index is kept, because the endpoint list and the health inference may still use it.
        """
        self.uneject_server(server)

    def _ejection_changed(self, server: int) -> None:
        self._ejection_revision += 1
        self.has_changes = True
        for proxy, pending in self.updates.by_proxy.items():
            for class_index in self.class_indices:
                table = pending.tables.get(class_index)
                if table is None or server in self.published_weights(table):
                    self.updates.add(proxy, class_index, (server,))

    def set_admission(
        self, table: int, classes: Sequence[int], level: float, retry_policy: RetryPolicy
    ) -> None:
        """Set the admission of these classes (all if none is given) in a table."""
        for class_index in classes or self.class_indices:
            self._admissions[table, class_index] = Admission(level, retry_policy)
        self.mark_changed(table, ())

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Request acknowledgement of the orders of this call, from affected proxies or from all."""
        self.updates.request_ack(number, all_proxies)

    def check_health(self, server: int) -> None:
        """Send the server a request, and report the outcome to `on_health_check`."""
        self.environment.check_health(server)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Do nothing: this kind of planner shares no state with its peers."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Fetch the list; the source of the list decides whether it is watched."""
        self.environment.fetch_endpoint_list()

    def fetch_endpoints(self) -> None:
        """Fetch the full endpoint list once."""
        self.environment.fetch_endpoint_list()

    def log(self, text: str) -> None:
        """Write to the log; the text is also recorded as a cause of the next version."""
        if self.publisher is not None:
            self.publisher.add_cause(text)
        self.environment.log_event(text)
