"""Sums of the proxies' own load reports, handed on at the assigner's rate; free of I/O.

Proxies that report (xDS load reports) tell what they met at each server and what came to them. The
assigner is handed at most so many reports a second, the oldest first; what has to wait adds up with
what comes meanwhile, so nothing is lost and nothing is queued twice. Bounded by servers times zones
and proxies times classes.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from ..assignment.interface import DemandReport, LoadReport
from ..clock import SECOND

MAX_COUNT = 1 << 31  # of requests in one report: more is no figure that anybody met
SPAN_TOLERANCE_PERIODS = 3  # by which a stream's reports may run ahead of the time it was open
REPORTS_STALE_AFTER_PERIODS = 4  # from when on a proxy counts as one that does not report


class ReportSink(Protocol):
    """What takes in the reports (`planner_host.PlannerHost`)."""

    def now(self) -> int:
        """Return the time on a clock that never goes back."""

    def on_load_report(self, report: LoadReport) -> None:
        """Take in what proxies met at a server."""

    def on_demand_report(self, report: DemandReport) -> None:
        """Take in what came to a proxy."""


class ServerFigures(NamedTuple):
    """What a proxy met at one server; `mean_latency` is of the attempts that did not fail."""

    server: int
    attempts: int
    failures: int
    mean_latency: int


class ProxyReport(NamedTuple):
    """One proxy's report on one class over `span`.

    `rejected` requests were turned away by the proxy itself. `stream` stands for the connection
    that brought the report.
    """

    proxy: int
    zone: int
    class_index: int
    span: int
    servers: tuple[ServerFigures, ...]
    rejected: int
    stream: Hashable


@dataclass(slots=True)
class _ServerSum:
    """What the proxies of a zone met at a server since the last report of it."""

    since: int
    attempts: int = 0
    failures: int = 0
    total_latency: int = 0
    timed_attempts: int = 0
    span: int = 0

    def add(self, figures: ServerFigures, attempts: int, failures: int, span: int) -> None:
        self.attempts += attempts
        self.failures += failures
        self.span = max(self.span, span)
        successes = attempts - failures
        if figures.mean_latency and successes > 0:
            self.total_latency += figures.mean_latency * successes
            self.timed_attempts += successes


@dataclass(slots=True)
class _DemandSum:
    """What came to a proxy for a class since the last report of it."""

    since: int
    requests: int = 0
    failures: int = 0
    span: int = 0


@dataclass(slots=True)
class _StreamClock:
    """How much time a stream's reports on one class cover, beside the time it has been open."""

    opened_at: int
    covered: int = 0


class DemandAggregator:
    """Adds reports up, and hands the sums to `sink` at most `reports_per_second`.

    `dropped` counts reports that were left out as sent twice or by a clock that runs fast.
    """

    def __init__(self, sink: ReportSink, reports_per_second: float, report_period: int) -> None:
        self.sink = sink
        self.reports_per_second = reports_per_second
        self.report_period = report_period
        self.dropped = 0
        self._server_sums: dict[tuple[int, int], _ServerSum] = {}  # by zone and server
        self._demand_sums: dict[tuple[int, int], _DemandSum] = {}  # by proxy and class
        self._spent = 0.0  # reports of late, drained at the rate allowed
        self._spent_at = sink.now()
        self._stream_clocks: dict[tuple[Hashable, int], _StreamClock] = {}  # by stream and class
        self._last_report_at: dict[int, int] = {}  # by proxy

    def on_proxy_report(self, report: ProxyReport) -> bool:
        """Take in a report; return whether it counted.

        The spans of one stream can't add up to more than the time that it has been open: what would
        is a report sent twice, or a clock that runs fast, and is left out.
        """
        now = self.sink.now()
        if not self._covers_new_time(report, now):
            self.dropped += 1
            return False
        requests = report.rejected
        lost = 0
        for figures in report.servers:
            attempts = min(figures.attempts, MAX_COUNT)
            failures = min(figures.failures, attempts, MAX_COUNT)
            requests += attempts
            lost += failures
            if attempts:
                key = (report.zone, figures.server)
                server_sum = self._server_sums.setdefault(key, _ServerSum(now))
                server_sum.add(figures, attempts, failures, report.span)
        demand = self._demand_sums.setdefault((report.proxy, report.class_index), _DemandSum(now))
        demand.requests += requests
        demand.failures += lost
        demand.span += report.span
        self._last_report_at[report.proxy] = now
        return True

    def _covers_new_time(self, report: ProxyReport, now: int) -> bool:
        clock = self._stream_clocks.setdefault(
            (report.stream, report.class_index), _StreamClock(now)
        )
        allowed = now - clock.opened_at + SPAN_TOLERANCE_PERIODS * self.report_period
        if report.span <= 0 or clock.covered + report.span > allowed:
            return False
        clock.covered += report.span
        return True

    def on_stream_ended(self, stream: Hashable) -> None:
        """Forget a stream."""
        for key in [key for key in self._stream_clocks if key[0] == stream]:
            del self._stream_clocks[key]

    def on_proxy_left(self, proxy: int) -> None:
        """Forget a proxy and what it brought; what it met at servers stays."""
        self._last_report_at.pop(proxy, None)
        for key in [key for key in self._demand_sums if key[0] == proxy]:
            del self._demand_sums[key]

    def reports_recently(self, proxy: int) -> bool:
        """Return whether a proxy reports for itself, so that nothing need be inferred of it."""
        last = self._last_report_at.get(proxy, -SECOND * 1000)
        return self.sink.now() - last < REPORTS_STALE_AFTER_PERIODS * self.report_period

    def forward_reports(
        self, is_listed: Callable[[int], bool], recent_latency: Callable[[int], int] = lambda _: 0
    ) -> set[int]:
        """Hand the oldest sums to the sink, as many as the rate allows.

        Sums of servers that are no longer listed are dropped. `recent_latency` is what a server
        itself says its requests take, for proxies that count but don't time.

        Returns
        -------
        The servers that were reported on.
        """
        now = self.sink.now()
        reported = set()
        for is_demand, key in self._oldest(self._budget(now)):
            self._spent += 1
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
        drained = (now - self._spent_at) * self.reports_per_second / SECOND
        self._spent = max(0.0, self._spent - drained)
        self._spent_at = now
        per_period = self.reports_per_second * self.report_period / SECOND
        return int(max(0.0, per_period - self._spent))

    def _oldest(self, count: int) -> Iterable[tuple[bool, tuple[int, int]]]:
        waiting = [(one.since, False, key) for key, one in self._server_sums.items()]
        waiting += [(one.since, True, key) for key, one in self._demand_sums.items()]
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

    def waiting_count(self) -> int:
        """Return how many sums wait to be handed on."""
        return len(self._server_sums) + len(self._demand_sums)
