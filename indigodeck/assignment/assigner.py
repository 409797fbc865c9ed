"""The assigner: decides which servers serve which class of requests, by shuffle sharding.

`docs/design.md` describes the decisions and the reasons for them. Create one `Assigner` for each
planner, with an `AssignerHost`, the deployment settings and a seed, and call the `on_...` method of
each event; the assigner acts by calling the host. This module holds the event handlers and the
order in which the components run.
"""

from collections.abc import Mapping, Sequence
from enum import IntEnum

from ..settings import DeploymentSettings
from .admission import AdmissionLevels
from .delivery import Delivery
from .endpoints import EndpointSubscription, EndpointTracker
from .interface import (
    AssignerHost,
    DemandReport,
    HealthCheckOutcome,
    LoadReport,
    Server,
    UpdateKind,
)
from .key_ranges import KeyRanges
from .load_reports import summarize_reports
from .outlier_detection import OutlierDetector
from .seeded_random import SeededRandom
from .server_health import ReceivedReport
from .shards import ShardPlanner
from .state import TICK_INTERVAL, AssignerState
from .weights import WeightPlanner

# Requests per second; a declared rate of 0 or less, or of this or more, counts as 1.
MAX_DECLARED_RATE = 1e9
JOIN_BATCH_DELAY = 1  # microsecond; proxies that join at the same moment are planned for together


class Timer(IntEnum):
    """The purpose of a timer, which is the token that the host passes to `on_timer`."""

    TICK = 0
    SUBSCRIBE = 1
    JOIN = 2


class Assigner:
    """Makes the assignment decisions of one planner; times are microseconds of the host's clock."""

    def __init__(self, host: AssignerHost, settings: DeploymentSettings, seed: int) -> None:
        self.host = host
        self.settings = settings
        self.random = SeededRandom(seed)
        self.state = AssignerState(host, settings)
        self.admission = AdmissionLevels(self.state)
        self.shards = ShardPlanner(self.state, self.admission)
        self.weights = WeightPlanner(self.state, self.admission)
        self.outliers = OutlierDetector(self.state, self.shards)
        self.endpoints = EndpointTracker(self.state, self.outliers)
        self.delivery = Delivery(self.state, self.admission)
        self.key_ranges = KeyRanges(self.state, self.delivery)
        self.reported_at = 0
        self.evaluated_at = 0
        self.subscription = EndpointSubscription(
            host, self.random, settings.list_on_request, Timer.SUBSCRIBE
        )
        host.start_timer(TICK_INTERVAL, Timer.TICK)

    def resume_tables(self, published: Mapping[int, Sequence[int]]) -> None:
        """Start from the shards published earlier, by table number, so that no shard changes."""
        self.shards.resume(published)

    def on_endpoint_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Process the endpoint list or changes to it."""
        self.subscription.on_update(kind)
        self.endpoints.update(kind, servers)
        self._reconcile()

    def on_endpoint_list_failed(self) -> None:
        """Handle a failed request for the endpoint list, or the end of the subscription to it."""
        self.subscription.on_failure()

    def on_proxy_joined(self, proxy: int, zone: int, rate: float, fresh: bool) -> None:
        """Register a proxy; `rate` is the requests per second that it declares as usual."""
        declared_rate = rate if 0 < rate < MAX_DECLARED_RATE else 1.0
        self.state.proxies.join(proxy, zone, declared_rate, self.state.group_count, self.host.now())
        if not self.delivery.joining:
            self.host.start_timer(JOIN_BATCH_DELAY, Timer.JOIN)
        self.delivery.joining.append(proxy)

    def on_proxy_left(self, proxy: int) -> None:
        """Mark a proxy as departed; its demand still counts for a while."""
        now = self.host.now()
        self.state.proxies.leave(proxy, now)
        self.state.channel.on_proxy_left(proxy)
        self.key_ranges.write_leases.on_proxy_left(proxy, now)
        for table in self.state.tables:
            table.proxies.discard(proxy)

    def on_load_report(self, report: LoadReport) -> None:
        """Record what the proxies of a zone measured at a server."""
        self.reported_at = self.host.now()
        if not (report.attempts and report.span):
            return
        self.state.report_spans.append(report.span)
        self.state.health[report.server].reports[report.zone].append(
            ReceivedReport(
                self.reported_at,
                report.attempts,
                min(report.failures, report.attempts),
                report.mean_latency,
                report.span,
            )
        )

    def on_demand_report(self, report: DemandReport) -> None:
        """Record how many requests a proxy received."""
        if report.proxy in self.state.proxies and report.span:
            self.state.proxies[report.proxy].record_demand(
                report.class_index, report.requests, report.span
            )

    def on_ack(self, proxy: int, number: int, delay: int) -> None:
        """Process a proxy's acknowledgement, sent `delay` microseconds after the orders."""
        now = self.host.now()
        self.state.channel.on_ack(number, delay, now)
        self.key_ranges.write_leases.on_ack(proxy, number, now)

    def on_health_check(
        self, server: int, outcome: HealthCheckOutcome, duration: int, load: dict[str, float] | None
    ) -> None:
        """Process the outcome of a health check."""
        removed = self.outliers.on_health_check(server, outcome)
        if removed:
            self._reconcile()

    def on_peer_message(self, peer: int, data: bytes) -> None:
        """Ignore the message: no decision depends on data of another planner."""

    def on_key_range_assigned(self, table: int, on: bool) -> None:
        """Start or stop assigning a key range."""
        self.key_ranges.set_assigned(table, on)

    def on_key_range_server(self, table: int, server: int, weight: float) -> None:
        """Record that a server holds a key range."""
        self.key_ranges.add_server(table, server, weight)

    def on_key_range_demand(
        self, table: int, class_index: int, requests: int, failures: int, span: int
    ) -> None:
        """Ignore the demand: key ranges do not move because of load."""

    def on_timer(self, token: int) -> None:
        """Evaluate new reports, start due health checks, and apply all resulting changes."""
        now = self.host.now()
        self.subscription.on_timer(now, token)
        if token == Timer.TICK:
            self.host.start_timer(TICK_INTERVAL, Timer.TICK)
        self.delivery.forget_departed(now, self.key_ranges.servers_in_use())
        if self._evaluation_due(now):
            self._evaluate_reports(now)
        self.outliers.check_due_servers()
        self._reconcile()

    def _evaluation_due(self, now: int) -> bool:
        return bool(
            self.state.tables
            and self.reported_at > self.evaluated_at
            and self.evaluated_at <= now - self.settings.report_period // 2
        )

    def _evaluate_reports(self, now: int) -> None:
        self.evaluated_at = now
        summary = summarize_reports(self.state)
        self.admission.update(summary)
        self.outliers.evaluate_reports(summary)

    def _reconcile(self) -> None:
        """Update shards, weights and levels from the current state, and send what has changed."""
        self.delivery.begin_call()
        if self.settings.key_range_count:
            self.key_ranges.update()
            return
        if not self.state.proxies:
            # Shards are drawn by planned load. Without any, a draw could pick servers that are
            # already busy.
            return
        planned_rates = self.state.proxies.planned_rates(self.host.now())
        self.admission.record_demand(planned_rates)
        self.shards.update_class_shares()
        self.shards.update(planned_rates)
        self.weights.update(self.state.proxies.table_rates(self.host.now(), peak=True))
        self.delivery.publish()
        self.delivery.assign_joining()
        self.delivery.end_call()
