"""Aggregation of proxies' own load reports, forwarded at a limited rate; free of I/O.

Proxies that report their load (over xDS) state the attempts and failures they saw at each server
and the requests they received. The assigner takes a limited number of reports a second, so reports
are added up and the oldest sums are forwarded first. A sum that has to wait takes in later reports:
nothing is lost, and no server or proxy is queued twice. Memory is bounded by servers times zones
plus proxies times classes.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from ..assignment.interface import DemandReport, LoadReport
from ..clock import SECOND

MAX_COUNT = 1 << 31  # upper bound on the requests in one report; a larger count is not plausible
SPAN_TOLERANCE_PERIODS = 3  # tolerance by which reports may cover more time than a stream is old
# Report periods without a report after which a proxy counts as not reporting.
REPORTS_STALE_AFTER_PERIODS = 4


class ReportSink(Protocol):
    """The receiver of the aggregated reports (`planner_host.PlannerHost`)."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""

    def on_load_report(self, report: LoadReport) -> None:
        """Process the attempts and failures that proxies saw at a server."""

    def on_demand_report(self, report: DemandReport) -> None:
        """Process the requests that a proxy received."""


class ServerStats(NamedTuple):
    """Attempts of one proxy at one server; `mean_latency` covers the successful ones."""

    server: int
    attempts: int
    failures: int
    mean_latency: int


class ProxyReport(NamedTuple):
    """One proxy's report on one class over `span`.

    `rejected` counts the requests that the proxy itself did not admit. `stream` identifies the
    connection that the report came over.
    """

    proxy: int
    zone: int
    class_index: int
    span: int
    servers: tuple[ServerStats, ...]
    rejected: int
    stream: Hashable


@dataclass(slots=True)
class _ServerSum:
    """Attempts of the proxies of one zone at a server since its sum was last forwarded."""

    since: int
    attempts: int = 0
    failures: int = 0
    total_latency: int = 0
    timed_attempts: int = 0
    span: int = 0

    def add(self, stats: ServerStats, attempts: int, failures: int, span: int) -> None:
        self.attempts += attempts
        self.failures += failures
        self.span = max(self.span, span)
        successes = attempts - failures
        if stats.mean_latency and successes > 0:
            self.total_latency += stats.mean_latency * successes
            self.timed_attempts += successes


@dataclass(slots=True)
class _DemandSum:
    """Requests that a proxy received for a class since its sum was last forwarded."""

    since: int
    requests: int = 0
    failures: int = 0
    span: int = 0


@dataclass(slots=True)
class _StreamCoverage:
    """The time that the reports of one stream on one class cover, and when the stream opened."""

    opened_at: int
    reported_span: int = 0


class DemandAggregator:
    """Adds up reports and forwards the sums to `sink` at no more than `reports_per_second`.

    `dropped` counts reports that were ignored because they were sent twice or came from a fast
    clock.
    """

    def __init__(self, sink: ReportSink, reports_per_second: float, report_period: int) -> None:
        self.sink = sink
        self.reports_per_second = reports_per_second
        self.report_period = report_period
        self.dropped = 0
        self._server_sums: dict[tuple[int, int], _ServerSum] = {}  # by zone and server
        self._demand_sums: dict[tuple[int, int], _DemandSum] = {}  # by proxy and class
        # Forwarded reports, as a leaky bucket that drains at `reports_per_second`.
        self._recent_reports = 0.0
        self._recent_reports_at = sink.now()
        # By stream and class.
        self._stream_coverage: dict[tuple[Hashable, int], _StreamCoverage] = {}
        self._last_report_at: dict[int, int] = {}  # by proxy

    def on_proxy_report(self, report: ProxyReport) -> bool:
        """Add a report to the sums; return whether it was accepted.

        The reports of one stream cannot cover more time than the stream has been open. A report
        beyond that was sent twice or comes from a clock that runs fast, and is ignored.
        """
        now = self.sink.now()
        if not self._is_within_elapsed_time(report, now):
            self.dropped += 1
            return False
        requests = report.rejected
        failed = 0
        for stats in report.servers:
            attempts = min(stats.attempts, MAX_COUNT)
            failures = min(stats.failures, attempts, MAX_COUNT)
            requests += attempts
            failed += failures
            if attempts:
                key = (report.zone, stats.server)
                server_sum = self._server_sums.setdefault(key, _ServerSum(now))
                server_sum.add(stats, attempts, failures, report.span)
        demand = self._demand_sums.setdefault((report.proxy, report.class_index), _DemandSum(now))
        demand.requests += requests
        demand.failures += failed
        demand.span += report.span
        self._last_report_at[report.proxy] = now
        return True

    def _is_within_elapsed_time(self, report: ProxyReport, now: int) -> bool:
        coverage = self._stream_coverage.setdefault(
            (report.stream, report.class_index), _StreamCoverage(now)
        )
        allowed = now - coverage.opened_at + SPAN_TOLERANCE_PERIODS * self.report_period
        if report.span <= 0 or coverage.reported_span + report.span > allowed:
            return False
        coverage.reported_span += report.span
        return True

    def on_stream_ended(self, stream: Hashable) -> None:
        """Remove the state of a stream."""
        for key in [key for key in self._stream_coverage if key[0] == stream]:
            del self._stream_coverage[key]

    def on_proxy_left(self, proxy: int) -> None:
        """Remove a proxy and its demand; its attempts at servers stay in their sums."""
        self._last_report_at.pop(proxy, None)
        for key in [key for key in self._demand_sums if key[0] == proxy]:
            del self._demand_sums[key]

    def reports_recently(self, proxy: int) -> bool:
        """Return whether a proxy reports its own demand, so that none needs to be inferred."""
        last = self._last_report_at.get(proxy, -SECOND * 1000)
        return self.sink.now() - last < REPORTS_STALE_AFTER_PERIODS * self.report_period

    def forward_reports(
        self, is_listed: Callable[[int], bool], recent_latency: Callable[[int], int] = lambda _: 0
    ) -> set[int]:
        """Forward the oldest sums to the sink, as many as the rate allows.

        Sums of servers that are no longer listed are dropped. `recent_latency` returns the latency
        that a server itself reports, used for proxies that count requests but do not time them.

        Returns
        -------
        The servers that were reported on.
        """
        now = self.sink.now()
        reported = set()
        for is_demand, key in self._oldest(self._budget(now)):
            self._recent_reports += 1
            if is_demand:
                self._report_demand(key)
                continue
            _, server = key
            server_sum = self._server_sums.pop(key)
            if is_listed(server):
                reported.add(server)
                self._report_server(key, server_sum, now, recent_latency)
        return reported

    def _budget(self, now: int) -> int:
        drained = (now - self._recent_reports_at) * self.reports_per_second / SECOND
        self._recent_reports = max(0.0, self._recent_reports - drained)
        self._recent_reports_at = now
        per_period = self.reports_per_second * self.report_period / SECOND
        return int(max(0.0, per_period - self._recent_reports))

    def _oldest(self, count: int) -> Iterable[tuple[bool, tuple[int, int]]]:
        waiting = [(server_sum.since, False, key) for key, server_sum in self._server_sums.items()]
        waiting += [(demand.since, True, key) for key, demand in self._demand_sums.items()]
        return [(is_demand, key) for _, is_demand, key in sorted(waiting)[:count]]

    def _report_demand(self, key: tuple[int, int]) -> None:
        proxy, class_index = key
        demand = self._demand_sums.pop(key)
        self.sink.on_demand_report(
            DemandReport(proxy, class_index, demand.requests, demand.failures, max(demand.span, 1))
        )

    def _report_server(
        self,
        key: tuple[int, int],
        server_sum: _ServerSum,
        now: int,
        recent_latency: Callable[[int], int],
    ) -> None:
        zone, server = key
        mean_latency = 0
        if server_sum.timed_attempts:
            mean_latency = server_sum.total_latency // server_sum.timed_attempts
        elif server_sum.attempts > server_sum.failures:
            mean_latency = recent_latency(server)
        self.sink.on_load_report(
            LoadReport(
                zone,
                server,
                server_sum.attempts,
                server_sum.failures,
                mean_latency,
                max(server_sum.span, now - server_sum.since),
            )
        )

    def pending_count(self) -> int:
        """Return how many sums wait to be forwarded."""
        return len(self._server_sums) + len(self._demand_sums)
