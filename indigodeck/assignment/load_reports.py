"""What the load reports of one evaluation say, for admission control and outlier detection."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from .interface import Server
from .server_health import ReceivedReport
from .state import AssignerState

ENOUGH_ATTEMPTS = 8  # fewer tell nothing of a server; more add nothing to its part in a quantile


class LatencySample(NamedTuple):
    """The mean latency in one report; its weight is of requests completed, up to enough.

    `begun_at` is when the time that the report covers began.
    """

    latency: int
    weight: int
    server: int
    begun_at: int


class PeerGroup(NamedTuple):
    """What makes latencies comparable: the proxies' zone, the machine, the classes served."""

    zone: int
    machine_type: int
    classes: frozenset[int]


@dataclass(frozen=True, slots=True)
class ReportSummary:
    """The recent reports of all ready servers.

    Attributes
    ----------
    ready
        The ready servers by index.
    recent
        Their reports, each with the zone of its proxies.
    classes_served
        The classes whose tables hold each of them.
    by_peer_group
        The latency samples of comparable reports.
    samples
        All latency samples.
    failure_shares
        The part of attempts that failed, for servers with enough attempts.
    latency_objective
        The least of all classes, in microseconds.
    latency_ratio
        The median latency over that objective.
    """

    ready: dict[int, Server]
    recent: dict[int, list[tuple[int, ReceivedReport]]]
    classes_served: dict[int, frozenset[int]]
    by_peer_group: dict[PeerGroup, list[LatencySample]]
    samples: list[LatencySample]
    failure_shares: dict[int, float]
    latency_objective: int
    latency_ratio: float

    def peers_of(self, server: int, zone: int) -> list[LatencySample]:
        """Return the samples of other servers that those of a server and zone compare with."""
        group = PeerGroup(zone, self.ready[server].machine_type, self.classes_served[server])
        return [sample for sample in self.by_peer_group.get(group, ()) if sample.server != server]


def weighted_quantile(part: float, samples: Iterable[LatencySample]) -> float:
    """Return the weighted quantile of latencies; 0 if there are none."""
    in_order = sorted(samples)
    left = part * sum(sample.weight for sample in in_order)
    for sample in in_order:
        left -= sample.weight
        if left <= 0:
            return sample.latency
    return 0.0


def summarize_reports(state: AssignerState) -> ReportSummary:
    """Gather the reports that came within the last reporting interval and a quarter."""
    since = state.host.now() - state.report_interval() * 5 // 4
    ready = state.ready_servers()
    recent = {index: state.health[index].reports_since(since) for index in ready}
    classes_served = {
        index: frozenset(
            table.class_index for table in state.tables if index in table.published_weights
        )
        for index in ready
    }
    by_peer_group = _samples_by_peer_group(ready, recent, classes_served)
    samples = [sample for group in by_peer_group.values() for sample in group]
    objective = min(class_settings.latency_objective for class_settings in state.settings.classes)
    return ReportSummary(
        ready=ready,
        recent=recent,
        classes_served=classes_served,
        by_peer_group=by_peer_group,
        samples=samples,
        failure_shares=_failure_shares(recent),
        latency_objective=objective,
        latency_ratio=weighted_quantile(0.5, samples) / objective,
    )


def _samples_by_peer_group(
    ready: dict[int, Server],
    recent: dict[int, list[tuple[int, ReceivedReport]]],
    classes_served: dict[int, frozenset[int]],
) -> dict[PeerGroup, list[LatencySample]]:
    by_peer_group: defaultdict[PeerGroup, list[LatencySample]] = defaultdict(list)
    for index, reports in recent.items():
        for zone, report in reports:
            completed = report.attempts - report.failures
            if completed > 0 and report.mean_latency:
                group = PeerGroup(zone, ready[index].machine_type, classes_served[index])
                by_peer_group[group].append(
                    LatencySample(
                        report.mean_latency,
                        min(ENOUGH_ATTEMPTS, completed),
                        index,
                        report.received_at - report.span,
                    )
                )
    return by_peer_group


def _failure_shares(recent: dict[int, list[tuple[int, ReceivedReport]]]) -> dict[int, float]:
    shares = {}
    for index, reports in recent.items():
        attempts = sum(report.attempts for _, report in reports)
        failures = sum(report.failures for _, report in reports)
        if attempts >= ENOUGH_ATTEMPTS:
            shares[index] = failures / attempts if failures > ENOUGH_ATTEMPTS // 2 else 0.0
    return shares
