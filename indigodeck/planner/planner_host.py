"""The assigner's host in a running planner: tables and pending updates; free of I/O.

`PlannerHost` decides no table. It keeps what the assigner orders, tells its environment which
proxies have something waiting, and hands over the newest state when a proxy can be written to.
Frontends read it through `take_updates`, `table_for`, `admission_for` and `endpoint`. Times are
whole microseconds.
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
    """What the host may ask of the program around it."""

    def now(self) -> int:
        """Return the time on a clock that never goes back."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call back after this time."""

    def request_write(self, proxy: int) -> None:
        """Have this proxy written to: something waits for it."""

    def check_health(self, server: int) -> None:
        """Send the server a request, and report its end with the host's `on_health_check`."""

    def fetch_endpoint_list(self) -> None:
        """Fetch the whole endpoint list, where its source must be asked."""

    def log_event(self, event: str) -> None:
        """Write a line to the log."""


class Admission(NamedTuple):
    """How much of a class a table's proxies admit, and when they may retry."""

    level: float = 1.0
    retry_policy: RetryPolicy = RetryPolicy.NEVER


ADMIT_ALL = Admission()


class PlannerHost:
    """Implements `assignment.interface.AssignerHost`, and keeps its orders for the proxies.

    Each `on_...` method ends with the orders of that call laid out for the proxies concerned: the
    environment is asked once for each proxy. `publisher` numbers the versions of what is published,
    where they are kept (`versions.publisher`). `make_assigner` builds another policy in the
    assigner's place.
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
        self.endpoints: dict[int, Server] = {}  # the list's last entry for each server
        self.updates = UpdateQueue(environment.now, settings.channel.message_overhead_lines)
        self.has_changes = True  # whether the publisher has something to look at
        self.publisher: Any = None
        self._admissions: dict[tuple[int, int], Admission] = {}  # by table and class
        self._table_revisions: dict[int, int] = {}
        self._ejection_revision = 0
        self.assigner: Any = None  # its constructor may give orders already
        self.assigner = make_assigner(self, settings, seed)
        self.flush_orders("start")

    # Events.

    def on_endpoint_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Take in the endpoint list, or changes of it."""
        self.endpoints.update((server.index, server) for server in servers)
        self._ejection_revision += 1  # what proxies see of an ejected server follows the list
        self.has_changes = True
        self.assigner.on_endpoint_update(kind, servers)
        self.flush_orders("a list")

    def on_endpoint_list_failed(self) -> None:
        """Tell the assigner that the list could not be fetched."""
        self.assigner.on_endpoint_list_failed()
        self.flush_orders("no list")

    def on_proxy_joined(self, proxy: int, zone: int, rate: float, fresh: bool) -> None:
        """Begin to serve a proxy.

        It gets usually `rate` requests a second; `fresh`: it holds no table.
        """
        self.updates.on_proxy_joined(proxy)
        if self.ejected_servers:
            # It may come with tables of an earlier stream: ejections bind it before any table does.
            for class_index in self.class_indices:
                self.updates.add(proxy, class_index, self.ejected_servers)
        self.assigner.on_proxy_joined(proxy, zone, rate, fresh)
        self.flush_orders("a relay joined")

    def on_proxy_left(self, proxy: int) -> None:
        """Drop a proxy and what waits for it."""
        if self.updates.on_proxy_left(proxy):
            self.assigner.on_proxy_left(proxy)
            if self.publisher is not None:
                self.publisher.relay_versions.on_left(proxy)
            self.flush_orders("a relay left")

    def on_load_report(self, report: LoadReport) -> None:
        """Hand over what proxies met at a server; the assigner acts on it at its next timer."""
        self.assigner.on_load_report(report)

    def on_demand_report(self, report: DemandReport) -> None:
        """Hand over what came to a proxy; the assigner acts on it at its next timer."""
        self.assigner.on_demand_report(report)

    def on_health_check(
        self, server: int, outcome: HealthCheckOutcome, latency: int, load: dict | None
    ) -> None:
        """Hand over the end of a check that the assigner asked for."""
        self.assigner.on_health_check(server, outcome, latency, load)
        self.flush_orders("a probe")

    def on_proxy_request(self, proxy: int) -> None:
        """Take note that a proxy asked something: its program goes on since its last update."""
        if self.publisher is not None:
            self.publisher.relay_versions.on_request(proxy)

    def on_delivered(self, update: TableUpdate, by_program: bool = True) -> None:
        """Take note that a proxy has an update.

        `by_program`: its program has it, not its machine alone.
        """
        if update.proxy not in self.updates.by_proxy:
            return
        for number, requested_at in update.requested_acks:
            self.assigner.on_ack(update.proxy, number, self.environment.now() - requested_at)
        if self.publisher is not None:
            self.publisher.relay_versions.on_taken(update.proxy, update.version, by_program)
        self.flush_orders("an answer")

    def flush_orders(self, event: str) -> None:
        """Publish what the orders of one call changed, and tell the environment whom they reach."""
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

    # What frontends read.

    def waiting_lines(self) -> float:
        """Return the lines that wait for all proxies, the overhead of messages included."""
        return self.updates.waiting_lines()

    def lines_per_join(self) -> float:
        """Return the lines that one more proxy may have waiting at once.

        These are a table and the ejected servers for each class.
        """
        longest = max(map(len, self.tables.values()), default=0)
        lines_per_class = max(1, longest + len(self.ejected_servers))
        overhead = self.settings.channel.message_overhead_lines
        return overhead + len(self.class_indices) * lines_per_class

    def has_pending(self, proxy: int) -> bool:
        """Return whether something waits for a proxy."""
        return self.updates.has_pending(proxy)

    def take_updates(self, proxy: int) -> TableUpdate | None:
        """Hand over what waits for a proxy, or None; from then on it waits no more."""
        if not self.updates.has_pending(proxy):
            return None
        version = self.publisher.newest() if self.publisher is not None else None
        return self.updates.by_proxy[proxy].take(proxy, version)

    def table_for(self, proxy: int, class_index: int) -> dict[int, float] | None:
        """Return the weights by server that a proxy should hold for a class.

        None while it is bound to no table: it follows what it held before, ejected servers apart.
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
        """Return a table as it is published: the assigner's, or what an operator holds it at."""
        weights = self.tables.get(table, {})
        if self.publisher is None:
            return weights
        return self.publisher.rollback_pins.weights_of(table, weights)

    def revision_of(self, proxy: int, class_index: int) -> tuple[int, int, int] | None:
        """Return what stands for the content of `table_for` and `admission_for`.

        It is equal where these are, for proxies that share a table as well; None while the proxy is
        bound to no table.
        """
        table = self.updates.bound_table(proxy, class_index)
        if table is None:
            return None
        return table, self._table_revisions.get(table, 0), self._ejection_revision

    def admission_for(self, proxy: int, class_index: int) -> Admission:
        """Return the admission of a proxy's table for a class; all where none is set."""
        table = self.updates.bound_table(proxy, class_index)
        if table is None:
            return ADMIT_ALL
        return self._admissions.get((table, class_index), ADMIT_ALL)

    # What the publisher of versions reads, and asks.

    def resume_tables(self, members: dict[int, list[int]]) -> None:
        """Take up the servers of tables as published before a restart.

        Only while no proxy holds anything, for then nothing moves by it.
        """
        has_shards = hasattr(self.assigner, "resume_tables")  # baselines have none
        if not self.updates.by_proxy and has_shards:
            self.assigner.resume_tables(members)

    def assigned_tables(self) -> dict[int, AssignedTable]:
        """Return all tables that proxies were bound to, as the assigner has them."""
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
        """Return how many bindings of proxies to a table there are."""
        return sum(1 for _ in self.updates.bindings(table))

    def tables_of(self, proxy: int) -> dict[int, int]:
        """Return a proxy's tables by class."""
        pending = self.updates.by_proxy.get(proxy)
        return dict(pending.tables) if pending else {}

    def endpoint(self, server: int) -> Server | None:
        """Return the list's last entry for a server, or None if it was never listed."""
        return self.endpoints.get(server)

    def mark_changed(self, table: int, servers: Iterable[int]) -> None:
        """Have these lines of a table told anew to all that are bound to it."""
        self._revise(table)
        self.updates.add_for_table(table, servers)

    def _revise(self, table: int) -> None:
        self._table_revisions[table] = self._table_revisions.get(table, 0) + 1
        self.has_changes = True

    # What the assigner may do (`assignment.interface.AssignerHost`).

    def now(self) -> int:
        """Return the time on a clock that never goes back."""
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
            # It is published as an operator holds it; what follows for that is found on publishing.
            self._revise(table)
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
        """Put a joined proxy on a table for these classes; none stands for all."""
        if proxy not in self.updates.by_proxy:
            return
        for class_index in classes or self.class_indices:
            if table not in self.class_of_table:
                # It is published from now on, though no line of it changes.
                self.class_of_table[table] = class_index
                self.has_changes = True
            self.updates.bind(proxy, class_index, table, self.published_weights(table))

    def eject_server(self, server: int) -> None:
        """Keep all joined proxies off a server, whatever their tables say."""
        self.ejected_servers.add(server)
        self._ejection_changed(server)

    def uneject_server(self, server: int) -> None:
        """Let proxies return to a server that was ejected."""
        self.ejected_servers.discard(server)
        self._ejection_changed(server)

    def forget_server(self, server: int) -> None:
        """Uneject a server, which reaches nobody.

        Its index stays: the endpoint list and the health inference may know it still.
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
        """Set how much of these classes (none: all) is admitted, and when proxies may retry."""
        for class_index in classes or self.class_indices:
            self._admissions[table, class_index] = Admission(level, retry_policy)
        self.mark_changed(table, ())

    def request_ack(self, number: int, all_proxies: bool) -> None:
        """Ask each proxy that the orders of this call reach, or everyone, to acknowledge them."""
        self.updates.request_ack(number, all_proxies)

    def check_health(self, server: int) -> None:
        """Send the server a request, and report its end with `on_health_check`."""
        self.environment.check_health(server)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send nothing: planners share nothing here."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Fetch the list: its source decides whether it is followed."""
        self.environment.fetch_endpoint_list()

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list once."""
        self.environment.fetch_endpoint_list()

    def log(self, text: str) -> None:
        """Write a line to the log; the publisher states it as the cause of the next version."""
        if self.publisher is not None:
            self.publisher.add_cause(text)
        self.environment.log_event(text)
