"""Summaries of the recent load reports, for admission control and outlier detection."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from .interface import Server
from .server_health import ReceivedReport
from .state import AssignerState

# Fewer attempts say nothing about a server; more do not increase its weight in a quantile.
SUFFICIENT_ATTEMPTS = 8


class LatencySample(NamedTuple):
    """The mean latency in one report.

    `weight` is the number of completed requests, up to `SUFFICIENT_ATTEMPTS`. `started_at` is the
    start of the period that the report covers.
    """

    latency: int
    weight: int
    server: int
    started_at: int


class PeerGroup(NamedTuple):
    """The properties that make latencies comparable.

    They are the zone of the proxies, the machine type, and the classes that the server serves.
    """

    zone: int
    machine_type: int
    classes: frozenset[int]


@dataclass(frozen=True, slots=True)
class ReportSummary:
    """A summary of the recent reports on all ready servers.

    Attributes
    ----------
    ready
        The ready servers by index.
    recent_reports
        The reports on each server, each with the zone of the reporting proxies.
    classes_served
        The classes with a table that contains the server.
    by_peer_group
        The latency samples of comparable reports.
    samples
        All latency samples.
    failure_shares
        The share of attempts that failed, for servers with sufficient attempts.
    latency_objective
        The lowest latency objective of all classes, in microseconds.
    latency_ratio
        The median latency over that objective.
    """

    ready: dict[int, Server]
    recent_reports: dict[int, list[tuple[int, ReceivedReport]]]
    classes_served: dict[int, frozenset[int]]
    by_peer_group: dict[PeerGroup, list[LatencySample]]
    samples: list[LatencySample]
    failure_shares: dict[int, float]
    latency_objective: int
    latency_ratio: float

    def peers_of(self, server: int, zone: int) -> list[LatencySample]:
        """Return the samples of other servers that are comparable with a server's own in a zone."""
        group = PeerGroup(zone, self.ready[server].machine_type, self.classes_served[server])
        return [sample for sample in self.by_peer_group.get(group, ()) if sample.server != server]


def weighted_quantile(fraction: float, samples: Iterable[LatencySample]) -> float:
    """Return a weighted quantile of the latencies; 0 without samples."""
    ordered = sorted(samples)
    remaining_weight = fraction * sum(sample.weight for sample in ordered)
    for sample in ordered:
        remaining_weight -= sample.weight
        if remaining_weight <= 0:
            return sample.latency
    return 0.0


def summarize_reports(state: AssignerState) -> ReportSummary:
    """Summarize the reports received within the last 1.25 reporting intervals."""
    since = state.host.now() - state.report_interval() * 5 // 4
    ready = state.ready_servers()
    recent_reports = {index: state.health[index].reports_since(since) for index in ready}
    classes_served = {
        index: frozenset(
            table.class_index for table in state.tables if index in table.published_weights
        )
        for index in ready
    }
    by_peer_group = _group_samples(ready, recent_reports, classes_served)
    samples = [sample for group in by_peer_group.values() for sample in group]
    latency_objective = min(
        class_settings.latency_objective for class_settings in state.settings.classes
    )
    return ReportSummary(
        ready=ready,
        recent_reports=recent_reports,
        classes_served=classes_served,
        by_peer_group=by_peer_group,
        samples=samples,
        failure_shares=_failure_shares(recent_reports),
        latency_objective=latency_objective,
        latency_ratio=weighted_quantile(0.5, samples) / latency_objective,
    )


def _group_samples(
    ready: dict[int, Server],
    recent_reports: dict[int, list[tuple[int, ReceivedReport]]],
    classes_served: dict[int, frozenset[int]],
) -> dict[PeerGroup, list[LatencySample]]:
    by_peer_group: defaultdict[PeerGroup, list[LatencySample]] = defaultdict(list)
    for index, reports in recent_reports.items():
        for zone, report in reports:
            completed = report.attempts - report.failures
            if completed > 0 and report.mean_latency:
                group = PeerGroup(zone, ready[index].machine_type, classes_served[index])
                by_peer_group[group].append(
                    LatencySample(
                        report.mean_latency,
                        min(SUFFICIENT_ATTEMPTS, completed),
                        index,
                        report.received_at - report.span,
                    )
                )
    return by_peer_group


def _failure_shares(
    recent_reports: dict[int, list[tuple[int, ReceivedReport]]],
) -> dict[int, float]:
    shares = {}
    for index, reports in recent_reports.items():
        attempts = sum(report.attempts for _, report in reports)
        failures = sum(report.failures for _, report in reports)
        if attempts >= SUFFICIENT_ATTEMPTS:
            shares[index] = failures / attempts if failures > SUFFICIENT_ATTEMPTS // 2 else 0.0
    return shares
