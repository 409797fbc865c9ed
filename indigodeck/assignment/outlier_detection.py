"""Outlier detection: which servers are ejected from the classes' shards, and when they return.

A failing server leaves all shards, a slow one a single shard. All is judged against medians: where
most servers are bad the cause is common, and moving work would spread it.
"""

from collections import defaultdict
from enum import StrEnum
from statistics import median
from typing import NamedTuple

from ..clock import SECOND
from .admission import BUSY
from .interface import HealthCheckOutcome, Server
from .load_reports import ENOUGH_ATTEMPTS, ReportSummary, weighted_quantile
from .server_health import EJECTION_TIME, LONGEST_EJECTION, ReceivedReport, ServerHealth
from .shards import ShardPlanner
from .state import AssignerState
from .tables import total_weight

SLOW_RATIO = 2.2  # latency over that of its peers
LEAST_SLOW_LATENCY = 0.4  # of the least latency objective; below that nothing is slow
FAILING_SHARE = 0.25  # of attempts, above twice what is usual
DEAD_SHARE = 0.85  # of attempts; it is failing, however slow its answers
LEAST_PEER_SAMPLES = 2  # to compare latencies with
MOST_WEIGHT_SLOW = 0.2  # share of listed weight that may be ejected when a slow server is
MOST_WEIGHT_FAILED = 0.5  # share of listed weight that may be ejected for any other cause
SUSPECT_CHECK_EVERY = SECOND  # a server that the list calls gone, perhaps wrongly
RETRY_HEALTH_CHECK_AFTER = EJECTION_TIME // 2


class EjectionCause(StrEnum):
    """Why a server was ejected."""

    FAILING = "failing"
    SLOW = "slow"
    RESTARTED = "restarted_before_warm"


class LatencyComparison(NamedTuple):
    """A server's latency over that of its peers, and the same in microseconds; 0 without peers."""

    ratio: float
    latency: float


class OutlierDetector:
    """Ejects servers and lets them return; the health it decides by is the shared state's."""

    def __init__(self, state: AssignerState, shards: ShardPlanner) -> None:
        self.state = state
        self.shards = shards

    def evaluate_reports(self, summary: ReportSummary) -> None:
        """Judge all servers by the reports of one evaluation, and eject outliers."""
        causes = {}
        usual_failures = _UsualFailures(summary)
        for index, reports in summary.recent.items():
            cause = _cause(index, reports, summary, usual_failures)
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
        """Eject a server from the shards of these classes, unless too much weight is ejected."""
        health = self.state.health[server]
        ejected_weight = total_weight(
            other
            for index, other in ready.items()
            if self.state.health[index].ejected_classes or index == server
        )
        most = MOST_WEIGHT_SLOW if cause == EjectionCause.SLOW else MOST_WEIGHT_FAILED
        if ejected_weight > total_weight(ready.values()) * most:
            return
        health.ejected_classes |= frozenset(classes)
        health.unejected_at = 0
        health.consecutive_failures = 0
        health.fully_ejected = cause != EjectionCause.SLOW
        health.next_check_at = self.state.host.now() + health.ejection_time
        names = ",".join(str(class_index) for class_index in classes)
        self.state.host.log(f"server_ejected server={server} classes={names} cause={cause}")

    def uneject(self, health: ServerHealth) -> None:
        """Let a server return to all shards, with slow start; older reports say nothing of it."""
        health.ejected_classes = frozenset()
        health.fully_ejected = False
        health.consecutive_failures = 0
        health.unejected_at = self.state.host.now()
        health.judged_from = health.unejected_at + self.state.feedback_delay()

    def eject_restarted(self, server: int, health: ServerHealth, earlier_restarts: int) -> None:
        """Eject a server that started again before it was warm, longer after each such restart.

        It would never get warm, and lose what it is sent each time.
        """
        health.restarts = earlier_restarts + 1
        health.ejection_time = min(LONGEST_EJECTION, EJECTION_TIME << health.restarts)
        ready = self.state.ready_servers()
        self.eject(server, self.state.class_order, EjectionCause.RESTARTED, ready)

    def on_health_check(self, server: int, outcome: HealthCheckOutcome) -> bool:
        """Take in how a health check ended, and return whether it removed the server."""
        health = self.state.health[server]
        health.health_check_pending = False
        pause = SUSPECT_CHECK_EVERY if health.suspect else RETRY_HEALTH_CHECK_AFTER
        health.next_check_at = self.state.host.now() + pause
        if health.suspect and outcome not in (HealthCheckOutcome.OK, HealthCheckOutcome.OVERLOADED):
            self.state.servers.pop(server, None)
            return True
        if health.ejected_classes and outcome == HealthCheckOutcome.OK:
            self.uneject(health)
        return False

    def check_due_servers(self) -> None:
        """Check the health of servers whose ejection ends, and of those that may be gone.

        Without health checks the former return, and the latter stay while they complete requests.
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
            elif not health.request_rates(now, SUSPECT_CHECK_EVERY)[1]:
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
            classes = self._class_to_leave(index, classes, summary.latency_ratio > BUSY)
        needed = 2 if slow and not health.unejected_at else 1
        if health.consecutive_failures < needed or not classes:
            return
        longer = EJECTION_TIME
        if health.unejected_at:
            longer = min(LONGEST_EJECTION, health.ejection_time * 2)
        health.ejection_time = LONGEST_EJECTION if slow else longer
        self.eject(index, classes, cause, summary.ready)

    def _class_to_leave(self, server: int, classes: list[int], all_busy: bool) -> list[int]:
        """Return the one class whose shard a slow server leaves, if any.

        It still works: another server must take its place, and none leaves while all are busy.
        """
        if all_busy or len(classes) < 2:
            return []
        return [
            class_index
            for class_index in classes
            if self.shards.has_substitute(server, class_index)
        ][:1]


class _UsualFailures:
    """The median part of attempts that fail, in the fleet and in each zone."""

    def __init__(self, summary: ReportSummary) -> None:
        shares = summary.failure_shares
        self.of_fleet = median(shares.values()) if shares else 0.0
        by_zone = defaultdict(list)
        for index, share in shares.items():
            by_zone[summary.ready[index].zone].append(share)
        self.by_zone = {zone: median(of_zone) for zone, of_zone in by_zone.items()}

    def around(self, server: Server) -> float:
        """Return the higher of the two medians for a server."""
        return max(self.of_fleet, self.by_zone.get(server.zone, 0))


def _cause(
    index: int,
    reports: list[tuple[int, ReceivedReport]],
    summary: ReportSummary,
    usual_failures: _UsualFailures,
) -> EjectionCause | None:
    """Return why a server is an outlier, or None.

    Failures with high latencies mean too much work; with low ones, or without answers, a server
    fails of itself.
    """
    completed = sum(report.attempts - report.failures for _, report in reports)
    compared = _compare_latency(index, reports, completed, summary)
    failed = summary.failure_shares.get(index, 0)
    usual = usual_failures.around(summary.ready[index])
    if failed > max(DEAD_SHARE, 2 * usual_failures.of_fleet):
        return EjectionCause.FAILING
    if failed > FAILING_SHARE + 2 * usual and compared.ratio < SLOW_RATIO / 1.5:
        return EjectionCause.FAILING
    least_latency = summary.latency_objective * LEAST_SLOW_LATENCY
    slow = compared.ratio > SLOW_RATIO and compared.latency > least_latency
    return EjectionCause.SLOW if slow and completed >= ENOUGH_ATTEMPTS else None


def _compare_latency(
    index: int, reports: list[tuple[int, ReceivedReport]], completed: int, summary: ReportSummary
) -> LatencyComparison:
    """Compare with other servers' latencies for proxies of the same zone, weighed by requests."""
    ratio = 0.0
    latency = 0.0
    for zone, report in reports:
        here = report.attempts - report.failures
        if here <= 0 or not report.mean_latency:
            continue
        peers = summary.peers_of(index, zone)
        if len(peers) >= LEAST_PEER_SAMPLES:
            ratio += here / completed * report.mean_latency / weighted_quantile(0.5, peers)
            latency += here / completed * report.mean_latency
    return LatencyComparison(ratio, latency)
