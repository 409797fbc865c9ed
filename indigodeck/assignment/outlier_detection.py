"""Outlier detection: which servers are ejected from the classes' shards, and when they return.

A failing server is ejected from all shards, a slow one from a single shard. Servers are compared
with medians: if most servers are bad, they have a common cause, and moving work would spread it.
"""

from collections import defaultdict
from enum import StrEnum
from statistics import median
from typing import NamedTuple

from ..clock import SECOND
from .admission_controller import CUT_LATENCY_RATIO
from .interface import HealthCheckOutcome, Server
from .load_reports import SUFFICIENT_ATTEMPTS, ReportSummary, weighted_quantile
from .server_health import BASE_EJECTION_TIME, MAX_EJECTION_TIME, ReceivedReport, ServerHealth
from .shards import ShardPlanner
from .state import AssignerState
from .tables import total_weight

SLOW_RATIO = 2.2  # latency of a slow server over that of its peers
MIN_SLOW_LATENCY = 0.4  # of the lowest latency objective; lower latencies are never slow
EXCESS_FAILURE_SHARE = 0.25  # of attempts, in excess of twice the median
DEAD_FAILURE_SHARE = 0.85  # of attempts; such a server is failing even if its responses are slow
MIN_PEER_SAMPLES = 2  # needed for a comparison of latencies
# Share of the listed weight that may be ejected in total when a server is ejected as slow, and when
# one is ejected for any other cause.
MAX_SLOW_EJECTED_WEIGHT = 0.2
MAX_FAILED_EJECTED_WEIGHT = 0.5
SUSPECT_CHECK_INTERVAL = SECOND  # for a server that the list, perhaps wrongly, calls gone
HEALTH_CHECK_RETRY_DELAY = BASE_EJECTION_TIME // 2


class EjectionCause(StrEnum):
    """Why a server was ejected."""

    FAILING = "failing"
    SLOW = "slow"
    RESTARTED = "restarted_before_warm"


class LatencyComparison(NamedTuple):
    """The latency of a server over that of its peers, and in microseconds; 0 without peers."""

    ratio: float
    latency: float


class OutlierDetector:
    """Ejects and unejects servers, based on the server health in the shared state."""

    def __init__(self, state: AssignerState, shards: ShardPlanner) -> None:
        self.state = state
        self.shards = shards

    def evaluate_reports(self, summary: ReportSummary) -> None:
        """Evaluate the recent reports on all servers, and eject outliers."""
        causes = {}
        median_failures = _MedianFailureShares(summary)
        for index, reports in summary.recent_reports.items():
            cause = _ejection_cause(index, reports, summary, median_failures)
            if cause:
                causes[index] = cause
            elif reports:
                self.state.health[index].consecutive_failures = 0
        worst_first = sorted(
            causes,
            key=lambda index: (
                causes[index] != EjectionCause.FAILING,
                summary.ready[index].stable_id,
            ),
        )
        for index in worst_first:
            self._record_outlier(index, causes[index], summary)

    def eject(
        self, server: int, classes: list[int], cause: EjectionCause, ready: dict[int, Server]
    ) -> None:
        """Eject a server from these classes' shards, unless too much weight would be ejected."""
        health = self.state.health[server]
        ejected_weight = total_weight(
            other
            for index, other in ready.items()
            if self.state.health[index].ejected_classes or index == server
        )
        max_ejected_weight = (
            MAX_SLOW_EJECTED_WEIGHT if cause == EjectionCause.SLOW else MAX_FAILED_EJECTED_WEIGHT
        )
        if ejected_weight > total_weight(ready.values()) * max_ejected_weight:
            return
        health.ejected_classes |= frozenset(classes)
        health.unejected_at = 0
        health.consecutive_failures = 0
        health.fully_ejected = cause != EjectionCause.SLOW
        health.next_check_at = self.state.host.now() + health.ejection_time
        class_list = ",".join(str(class_index) for class_index in classes)
        self.state.host.log(f"server_ejected server={server} classes={class_list} cause={cause}")

    def uneject(self, health: ServerHealth) -> None:
        """Return a server to all shards, with slow start; older reports no longer count."""
        health.ejected_classes = frozenset()
        health.fully_ejected = False
        health.consecutive_failures = 0
        health.unejected_at = self.state.host.now()
        health.reports_valid_from = health.unejected_at + self.state.feedback_delay()

    def eject_restarted(self, server: int, health: ServerHealth, earlier_restarts: int) -> None:
        """Eject a server that restarted before it was warm, for longer after each such restart.

        Without this it would lose the requests sent to it at each restart and never get warm.
        """
        health.restarts = earlier_restarts + 1
        health.ejection_time = min(MAX_EJECTION_TIME, BASE_EJECTION_TIME << health.restarts)
        ready = self.state.ready_servers()
        self.eject(server, self.state.class_order, EjectionCause.RESTARTED, ready)

    def on_health_check(self, server: int, outcome: HealthCheckOutcome) -> bool:
        """Process the outcome of a health check, and return whether the server was removed."""
        health = self.state.health[server]
        health.health_check_pending = False
        check_delay = SUSPECT_CHECK_INTERVAL if health.suspect else HEALTH_CHECK_RETRY_DELAY
        health.next_check_at = self.state.host.now() + check_delay
        if health.suspect and outcome not in (HealthCheckOutcome.OK, HealthCheckOutcome.OVERLOADED):
            self.state.servers.pop(server, None)
            return True
        if health.ejected_classes and outcome == HealthCheckOutcome.OK:
            self.uneject(health)
        return False

    def check_due_servers(self) -> None:
        """Check the health of servers whose ejection ends, and of suspect servers.

        Where health checks are not allowed, the former are unejected, and the latter stay listed
        while they complete requests.
        """
        now = self.state.host.now()
        for index, health in self.state.health.items():
            due = index in self.state.servers and now >= health.next_check_at
            if not due or not (health.ejected_classes or health.suspect):
                continue
            if self.state.settings.health_checks_allowed:
                if not health.health_check_pending:
                    health.health_check_pending = True
                    self.state.host.check_health(index)
            elif not health.suspect:
                self.uneject(health)
            elif not health.request_rates(now, SUSPECT_CHECK_INTERVAL)[1]:
                self.state.servers.pop(index)

    def _record_outlier(self, index: int, cause: EjectionCause, summary: ReportSummary) -> None:
        health = self.state.health[index]
        health.consecutive_failures += 1
        slow = cause == EjectionCause.SLOW
        classes = [
            class_index
            for class_index in self.state.class_order
            if class_index not in health.ejected_classes
        ]
        if slow:
            classes = self._class_to_eject_from(
                index, classes, summary.latency_ratio > CUT_LATENCY_RATIO
            )
        required_evaluations = 2 if slow and not health.unejected_at else 1
        if health.consecutive_failures < required_evaluations or not classes:
            return
        next_ejection_time = BASE_EJECTION_TIME
        if health.unejected_at:
            next_ejection_time = min(MAX_EJECTION_TIME, health.ejection_time * 2)
        health.ejection_time = MAX_EJECTION_TIME if slow else next_ejection_time
        self.eject(index, classes, cause, summary.ready)

    def _class_to_eject_from(self, server: int, classes: list[int], fleet_busy: bool) -> list[int]:
        """Return the one class from whose shard a slow server is ejected, or an empty list.

        A slow server still does work, so another server must be able to replace it, and it stays
        while the whole fleet is busy.
        """
        if fleet_busy or len(classes) < 2:
            return []
        return [
            class_index
            for class_index in classes
            if self.shards.has_substitute(server, class_index)
        ][:1]


class _MedianFailureShares:
    """The median share of failed attempts, in the fleet and in each zone."""

    def __init__(self, summary: ReportSummary) -> None:
        shares = summary.failure_shares
        self.fleet_share = median(shares.values()) if shares else 0.0
        by_zone = defaultdict(list)
        for index, share in shares.items():
            by_zone[summary.ready[index].zone].append(share)
        self.by_zone = {zone: median(zone_shares) for zone, zone_shares in by_zone.items()}

    def for_server(self, server: Server) -> float:
        """Return the higher of the fleet's median and that of the server's zone."""
        return max(self.fleet_share, self.by_zone.get(server.zone, 0))


def _ejection_cause(
    index: int,
    reports: list[tuple[int, ReceivedReport]],
    summary: ReportSummary,
    median_failures: _MedianFailureShares,
) -> EjectionCause | None:
    """Return why a server is an outlier, or None.

    Failures with high latencies indicate overload. With low latencies, or when hardly any attempt
    is answered, the server itself is at fault.
    """
    completed = sum(report.attempts - report.failures for _, report in reports)
    comparison = _compare_latency(index, reports, completed, summary)
    failure_share = summary.failure_shares.get(index, 0)
    usual_share = median_failures.for_server(summary.ready[index])
    if failure_share > max(DEAD_FAILURE_SHARE, 2 * median_failures.fleet_share):
        return EjectionCause.FAILING
    if (
        failure_share > EXCESS_FAILURE_SHARE + 2 * usual_share
        and comparison.ratio < SLOW_RATIO / 1.5
    ):
        return EjectionCause.FAILING
    min_latency = summary.latency_objective * MIN_SLOW_LATENCY
    slow = comparison.ratio > SLOW_RATIO and comparison.latency > min_latency
    return EjectionCause.SLOW if slow and completed >= SUFFICIENT_ATTEMPTS else None


def _compare_latency(
    index: int, reports: list[tuple[int, ReceivedReport]], completed: int, summary: ReportSummary
) -> LatencyComparison:
    """Compare a server's latencies with its peers', for each zone, weighted by requests."""
    ratio = 0.0
    latency = 0.0
    for zone, report in reports:
        completed_in_zone = report.attempts - report.failures
        if completed_in_zone <= 0 or not report.mean_latency:
            continue
        peers = summary.peers_of(index, zone)
        if len(peers) >= MIN_PEER_SAMPLES:
            ratio += (
                completed_in_zone / completed * report.mean_latency / weighted_quantile(0.5, peers)
            )
            latency += completed_in_zone / completed * report.mean_latency
    return LatencyComparison(ratio, latency)
