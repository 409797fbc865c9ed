"""Load and demand reports for the assigner, inferred from hosts; free of I/O.

A weight-advice protocol reports neither the results of proxies' requests at a server nor the number
of requests that proxies receive. A planner can observe two things: the load report that each host
returns on request (requests completed and failed per second, requests in flight, time per request),
and the outcome of real requests that it sends itself as health checks. From these it derives:

- The latency at a host is the larger of the host's stated time per request and its requests in
  flight divided by its completion rate (Little's law, L = lambda W: J. D. C. Little, "A Proof for
  the Queuing Formula", 1961), because the stated time does not include queueing.
- A host that has requests in flight and completes none, while its health checks time out, is
  assumed to fail all requests in flight, whatever else it reports: a hung host reports the lowest
  CPU utilization of all.
- The demand of the proxies is what hosts complete and fail, by class if hosts report classes, and
  split evenly over the proxies. The share of each proxy is unknown, and so is the number of
  requests that proxies reject or abandon.

Times are whole microseconds, rates are per second. The caller polls `take_due_checks` for the hosts
to check, passes the results back, and calls `send_reports` once per period.
"""

from collections.abc import Callable, Collection, Iterable
from itertools import zip_longest
from typing import NamedTuple

from ..assignment.interface import (
    DemandReport,
    HealthCheckOutcome,
    LoadReport,
    Server,
    ServerState,
)
from ..clock import SECOND
from ..settings import DeploymentSettings
from .demand_aggregation import ReportSink
from .host_evidence import HostEvidence
from .host_reports import HostReport

# The assigner judges no server by fewer than eight attempts. At this rate, a single period has
# enough checks of a suspect.
SUSPECT_CHECKS_PER_PERIOD = 12
# The assigner compares a server with the median of servers that have as many attempts. In an idle
# fleet a suspect would be compared with itself alone, so this many healthy hosts are checked as
# often as suspects.
CONTROL_COUNT = 2
# `take_due_checks` is polled far more often than this while the planner runs. After a longer gap,
# checks in flight measured the stall of the planner and are ignored: a planner that was stopped for
# 3 s had 3 s added to all latencies, and reduced its admission to a third.
STALL_THRESHOLD = SECOND // 4


class DemandTotals(NamedTuple):
    """Requests that all hosts complete and fail per second, in total and by class.

    `classified_rate` is the sum over the classes.
    """

    rate: float
    rate_by_class: dict[int, float]
    classified_rate: float


class HealthInference:
    """Sends inferred load and demand reports to `sink`, and schedules health checks.

    At most `checks_per_second` are sent, and `max_concurrent_checks` are in flight.
    """

    def __init__(
        self,
        sink: ReportSink,
        settings: DeploymentSettings,
        checks_per_second: float,
        max_concurrent_checks: int,
    ) -> None:
        self.sink = sink
        self.settings = settings
        self.checks_per_second = checks_per_second
        self.max_concurrent_checks = max_concurrent_checks
        self.hosts: dict[int, HostEvidence] = {}
        self._proxies: list[int] = []
        self._reported_at = sink.now()
        self._recent_checks = 0.0  # a leaky bucket that drains at `checks_per_second`
        self._last_polled_at = sink.now()
        self._stall_ended_at = -(1 << 60)  # when the planner last resumed after a stall

    def on_endpoint_update(self, servers: Iterable[Server]) -> None:
        """Add or remove servers according to their state in the list."""
        for server in servers:
            if server.state == ServerState.GONE:
                self.hosts.pop(server.index, None)
            elif server.index not in self.hosts:
                self.hosts[server.index] = HostEvidence()

    def on_unlisted(self, server: int) -> None:
        """Remove a server that a full list no longer names."""
        self.hosts.pop(server, None)

    def on_proxy_joined(self, proxy: int) -> None:
        """Add a proxy to those that demand is split over."""
        self._proxies.append(proxy)

    def on_proxy_left(self, proxy: int) -> None:
        """Remove a proxy from those that demand is split over."""
        self._proxies = [other for other in self._proxies if other != proxy]

    def on_host_report(self, server: int, report: HostReport, at: int) -> None:
        """Record a load report, which describes the state of the host at time `at`."""
        host = self.hosts.get(server)
        if host is not None:
            host.add_report(report, at)

    def on_no_report(self, server: int) -> None:
        """Record that a host did not return its load report."""
        host = self.hosts.get(server)
        if host is not None:
            host.record_outcome(False)

    def on_check(self, server: int, outcome: HealthCheckOutcome, latency: int, at: int) -> None:
        """Record the outcome of a check that `take_due_checks` scheduled."""
        host = self.hosts.get(server)
        if host is None:
            return
        host.checks_in_flight = max(0, host.checks_in_flight - 1)
        was_sent_before_stall = at - latency < self._stall_ended_at
        is_stalled = at - self._last_polled_at > STALL_THRESHOLD
        if was_sent_before_stall or is_stalled:
            return
        succeeded = outcome == HealthCheckOutcome.OK
        host.add_check(at, succeeded, latency)

    def take_due_checks(self, now: int) -> list[int]:
        """Return the hosts to check now, within the rate and concurrency limits.

        Suspects and other hosts alternate, and in each group the one checked longest ago comes
        first, so that a fleet full of suspects does not prevent checks of the other hosts.
        """
        self._refill_budget(now)
        in_flight = sum(host.checks_in_flight for host in self.hosts.values())
        suspects, others = self._candidates(now)
        chosen: list[int] = []
        for candidate in _interleave(sorted(suspects), sorted(others)):
            is_over_rate = self._recent_checks + 1 > max(1.0, self.checks_per_second)
            if in_flight + len(chosen) >= self.max_concurrent_checks or is_over_rate:
                break
            _, server = candidate
            self._recent_checks += 1
            self.hosts[server].checks_in_flight += 1
            self.hosts[server].last_check_at = now
            chosen.append(server)
        return chosen

    def _refill_budget(self, now: int) -> None:
        elapsed = now - self._last_polled_at
        self._recent_checks = max(
            0.0, self._recent_checks - elapsed * self.checks_per_second / SECOND
        )
        if elapsed > STALL_THRESHOLD:
            self._stall_ended_at = now
        self._last_polled_at = now

    def _candidates(self, now: int) -> tuple[list[tuple[int, int]], list[tuple[int, int]]]:
        """Return suspects and other hosts that are due, as (time of the last check, server)."""
        period = self.settings.report_period
        controls = self._controls()
        suspects: list[tuple[int, int]] = []
        others: list[tuple[int, int]] = []
        for server, host in self.hosts.items():
            is_checked_often = host.is_suspect or server in controls
            interval = period // SUSPECT_CHECKS_PER_PERIOD if is_checked_often else period
            may_overlap = is_checked_often or not host.checks_in_flight
            if now - host.last_check_at < interval or not may_overlap:
                continue
            (suspects if host.is_suspect else others).append((host.last_check_at, server))
        return suspects, others

    def _controls(self) -> list[int]:
        """Return the healthy hosts to check as often as suspects; none without suspects."""
        if not any(host.is_suspect for host in self.hosts.values()):
            return []
        return sorted(server for server, host in self.hosts.items() if host.consecutive_successes)[
            :CONTROL_COUNT
        ]

    def recent_latency(self, server: int) -> int:
        """Return the mean latency of recent requests at a host, or 0 if it is unknown."""
        host = self.hosts.get(server)
        if host is None:
            return 0
        now = self.sink.now()
        report = host.current_report(now, self.settings.report_period)
        return host.request_stats(
            now - 2 * self.settings.report_period, SECOND, report
        ).mean_latency

    def send_reports(
        self,
        reported_servers: Collection[int] = (),
        reports_for_itself: Callable[[int], bool] = lambda proxy: False,
    ) -> None:
        """Report the load of each host and the demand of each proxy since the last call.

        Parameters
        ----------
        reported_servers
            Servers that proxies reported on themselves, which is more accurate.
        reports_for_itself
            Whether a proxy reports its own demand.
        """
        now = self.sink.now()
        since = self._reported_at
        span = now - since
        self._reported_at = now
        if span <= 0:
            return
        for server, host in sorted(self.hosts.items()):
            stats = host.request_stats(
                since, span, host.current_report(now, self.settings.report_period)
            )
            # Proxies detect a hung host only at their own deadline, so failed checks are reported
            # in addition.
            has_failed_checks = host.is_suspect and stats.failures
            if stats.attempts and (server not in reported_servers or has_failed_checks):
                self.sink.on_load_report(
                    LoadReport(self.settings.planner_zone, server, *stats, span, host.last_load())
                )
        self._report_demand(self._demand_totals(now), span, reports_for_itself)

    def _demand_totals(self, now: int) -> DemandTotals:
        rate = 0.0
        rate_by_class: dict[int, float] = {}
        classified_rate = 0.0
        for _, host in sorted(self.hosts.items()):
            report = host.current_report(now, self.settings.report_period)
            if report is None or report.completed is None:
                continue
            rate += report.completed + report.failed
            for class_index, class_rate in report.completed_by_class.items():
                rate_by_class[class_index] = rate_by_class.get(class_index, 0.0) + class_rate
                classified_rate += class_rate
        return DemandTotals(rate, rate_by_class, classified_rate)

    def _report_demand(
        self, totals: DemandTotals, span: int, reports_for_itself: Callable[[int], bool]
    ) -> None:
        proxy_count = self._proxy_count()
        if not proxy_count or not totals.rate:
            return
        class_count = len(self.settings.classes)
        for position, proxy in enumerate(self._proxies):
            if reports_for_itself(proxy):
                continue
            for class_index in range(class_count):
                share = 1 / class_count
                if totals.classified_rate:
                    rate_of_class = totals.rate_by_class.get(class_index, 0.0)
                    share = rate_of_class / totals.classified_rate
                requests = totals.rate * share * span / SECOND
                # Each proxy gets a whole number of requests, rounded so that their sum equals the
                # total.
                own_requests = int(requests * (position + 1) / proxy_count) - int(
                    requests * position / proxy_count
                )
                self.sink.on_demand_report(DemandReport(proxy, class_index, own_requests, 0, span))

    def _proxy_count(self) -> int:
        """Return the number of proxies that demand is split over.

        With several planners, hosts report the requests of all proxies, not only of this planner's.
        The settings then state how many proxies there are in total.
        """
        if self.settings.planner_count == 1:
            return len(self._proxies)
        return max(len(self._proxies), self.settings.proxy_count)


def _interleave(
    first: list[tuple[int, int]], second: list[tuple[int, int]]
) -> Iterable[tuple[int, int]]:
    for pair in zip_longest(first, second):
        yield from (candidate for candidate in pair if candidate)
