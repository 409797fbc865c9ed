"""The assigner: decides which servers serve which class of requests, by shuffle sharding.

`docs/design.md` says what is decided and why. Make one `Assigner` for each planner, with an
`AssignerHost`, the deployment's settings and a seed, and call the method for what has happened; it
acts by calling the host. This module has the events and the order in which the parts act.
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
from .state import TURN, AssignerState
from .weights import WeightPlanner

LARGEST_RATE = 1e9  # requests a second; a stated rate not below it, or not above 0, counts as 1
JOIN_DELAY = 1  # microsecond: proxies that join at one moment are planned for together


class Timer(IntEnum):
    """What a timer of the assigner is for: the token that the host hands back."""

    TURN = 0
    SUBSCRIBE = 1
    JOIN = 2


class Assigner:
    """The decisions of one planner. Times are whole microseconds on the host's clock."""

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
        host.start_timer(TURN, Timer.TURN)

    def resume_tables(self, published: Mapping[int, Sequence[int]]) -> None:
        """Go on with the servers by table number that were published before, so nothing moves."""
        self.shards.resume(published)

    def on_endpoint_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Take in the endpoint list, or changes of it."""
        self.subscription.on_update(kind)
        self.endpoints.update(kind, servers)
        self._act()

    def on_endpoint_list_failed(self) -> None:
        """Take in that the endpoint list could not be had, or that its changes ended."""
        self.subscription.on_failure()

    def on_proxy_joined(self, proxy: int, zone: int, rate: float, fresh: bool) -> None:
        """Take in a proxy that says it usually gets `rate` requests a second."""
        stated_rate = rate if 0 < rate < LARGEST_RATE else 1.0
        self.state.proxies.join(proxy, zone, stated_rate, self.state.group_count)
        if not self.delivery.joining:
            self.host.start_timer(JOIN_DELAY, Timer.JOIN)
        self.delivery.joining.append(proxy)

    def on_proxy_left(self, proxy: int) -> None:
        """Take in that a proxy has left; its demand counts for a while."""
        self.state.proxies.leave(proxy, self.host.now())
        for table in self.state.tables:
            table.proxies.discard(proxy)

    def on_load_report(self, report: LoadReport) -> None:
        """Take in what the proxies of a zone met at a server."""
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
        """Take in how many requests came to a proxy."""
        if report.proxy in self.state.proxies and report.span:
            self.state.proxies[report.proxy].record_demand(
                report.class_index, report.requests, report.span
            )

    def on_ack(self, proxy: int, number: int, took: int) -> None:
        """Take in a proxy's acknowledgement, `took` microseconds after the orders."""
        self.state.channel.on_ack(number, took, self.host.now())

    def on_health_check(
        self, server: int, outcome: HealthCheckOutcome, took: int, load: dict[str, float] | None
    ) -> None:
        """Take in how a health check ended."""
        removed = self.outliers.on_health_check(server, outcome)
        if removed:
            self._act()

    def on_peer_message(self, peer: int, data: bytes) -> None:
        """Ignore it: planners share nothing that these decisions need."""

    def on_key_range_assigned(self, table: int, on: bool) -> None:
        """Take in that a key range is this planner's to assign, or no longer."""
        self.key_ranges.set_assigned(table, on)

    def on_key_range_server(self, table: int, server: int, weight: float) -> None:
        """Take in that a key range is at a server."""
        self.key_ranges.add_server(table, server, weight)

    def on_key_range_demand(
        self, table: int, class_index: int, requests: int, failures: int, span: int
    ) -> None:
        """Ignore it: key ranges are kept where they are, whatever their demand."""

    def on_timer(self, token: int) -> None:
        """Take a turn: evaluate reports, check servers, and act on what has changed."""
        now = self.host.now()
        self.subscription.on_timer(now, token)
        if token == Timer.TURN:
            self.host.start_timer(TURN, Timer.TURN)
        self.delivery.forget_departed(now)
        if self._evaluation_due(now):
            self._evaluate_reports(now)
        self.outliers.check_due_servers()
        self._act()

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

    def _act(self) -> None:
        """Bring what proxies hold in line with what is known."""
        self.delivery.begin_call()
        if self.settings.key_range_count:
            self.key_ranges.update()
            return
        if not self.state.proxies:
            return  # draws go by planned load: without any, busy servers would be met by chance
        planned_rates = self.state.proxies.planned_rates(self.host.now())
        self.admission.record_demand(planned_rates)
        self.shards.update_sizes()
        self.shards.update(planned_rates)
        self.weights.update(self.state.proxies.table_rates(self.host.now(), peak=True))
        self.delivery.publish()
        self.delivery.assign_joining()
        self.delivery.end_call()
