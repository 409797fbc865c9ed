"""Reports to the assigner that no protocol carries, inferred from hosts; free of I/O.

A weight-advice protocol tells a planner neither what proxies met at a server nor what comes to
them. What a planner can know: the load report that each host gives when asked (requests completed
and failed a second, requests in flight, the time its work takes), and real requests that it sends
itself. From these:

- Time at a host is the longer of what it says its work takes and what it holds over what it
  completes (Little's law, L = lambda W: J. D. C. Little, "A Proof for the Queuing Formula", 1961),
  for the time that a host states leaves out waiting.
- A host that holds requests and completes none, while checks of it go unanswered, fails what it
  holds, whatever its other figures say: a hung host reports the least use of its cores of all.
- What comes to proxies is what hosts complete and fail, by class where hosts tell, parted evenly
  over proxies: which proxy brings how much is unknowable here, and so is what proxies reject or
  give up.

Times are whole microseconds, rates a second. Nothing here does I/O: the program asks `due` whom to
check, tells what came back, and calls `report` once a period.
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

# A suspect is checked so often in a period that one period suffices for the assigner, which judges
# nobody by fewer than eight attempts.
SUSPECT_CHECKS_PER_PERIOD = 12
# The assigner judges by the median of servers that were checked so often, too: in an idle fleet a
# suspect alone would be its own median, so some that answer are checked as closely.
CONTROL_COUNT = 2
# `due` is asked far more often than this while the planner runs. Whatever was in flight when it was
# not, has waited for the planner: one that had been stopped for 3 s read 3 s into every answer, and
# closed its admission to a third.
STALL_THRESHOLD = SECOND // 4


class DemandTotals(NamedTuple):
    """What all hosts completed and failed a second, in all and by class.

    `classified_rate` is what the classes add up to.
    """

    rate: float
    rate_by_class: dict[int, float]
    classified_rate: float


class HealthInference:
    """Hands `sink` load reports and demand reports worked out from hosts, and picks hosts to check.

    At most `checks_per_second` are sent, and `checks_at_once` in flight.
    """

    def __init__(
        self,
        sink: ReportSink,
        settings: DeploymentSettings,
        checks_per_second: float,
        checks_at_once: int,
    ) -> None:
        self.sink = sink
        self.settings = settings
        self.checks_per_second = checks_per_second
        self.checks_at_once = checks_at_once
        self.hosts: dict[int, HostEvidence] = {}
        self._proxies: list[int] = []
        self._reported_at = sink.now()
        self._checks_spent = 0.0  # of late, drained at the rate allowed
        self._due_asked_at = sink.now()
        self._resumed_at = -(1 << 60)  # when the planner last went on after a stall

    # The fleet and the proxies, as they come and go.

    def on_endpoint_update(self, servers: Iterable[Server]) -> None:
        """Take in listed servers."""
        for server in servers:
            if server.state == ServerState.GONE:
                self.hosts.pop(server.index, None)
            elif server.index not in self.hosts:
                self.hosts[server.index] = HostEvidence()

    def on_unlisted(self, server: int) -> None:
        """Forget a server that a whole list does not name."""
        self.hosts.pop(server, None)

    def on_proxy_joined(self, proxy: int) -> None:
        """Count a proxy."""
        self._proxies.append(proxy)

    def on_proxy_left(self, proxy: int) -> None:
        """Count a proxy no more."""
        self._proxies = [other for other in self._proxies if other != proxy]

    # What comes back.

    def on_host_report(self, server: int, report: HostReport, at: int) -> None:
        """Take in a load report, which speaks of the moment `at`."""
        host = self.hosts.get(server)
        if host is not None:
            host.add_report(report, at)

    def on_no_report(self, server: int) -> None:
        """Take note that a host did not even give its report."""
        host = self.hosts.get(server)
        if host is not None:
            host.add_sign(False)

    def on_check(self, server: int, outcome: HealthCheckOutcome, latency: int, at: int) -> None:
        """Take note that a check that `due` chose has ended after `latency`."""
        host = self.hosts.get(server)
        if host is None:
            return
        host.checks_in_flight = max(0, host.checks_in_flight - 1)
        was_sent_before_stall = at - latency < self._resumed_at
        is_stalled = at - self._due_asked_at > STALL_THRESHOLD
        if was_sent_before_stall or is_stalled:
            return
        succeeded = outcome == HealthCheckOutcome.OK
        host.add_check(at, succeeded, latency)

    # Whom to check.

    def due(self, now: int) -> list[int]:
        """Return the hosts to check now, within the budget.

        Suspects and others take turns, each checked longest ago first: a fleet full of suspects
        must not keep the others from being checked at all.
        """
        self._drain_budget(now)
        in_flight = sum(host.checks_in_flight for host in self.hosts.values())
        suspects, others = self._candidates(now)
        chosen: list[int] = []
        for candidate in _by_turns(sorted(suspects), sorted(others)):
            is_over_rate = self._checks_spent + 1 > max(1.0, self.checks_per_second)
            if in_flight + len(chosen) >= self.checks_at_once or is_over_rate:
                break
            _, server = candidate
            self._checks_spent += 1
            self.hosts[server].checks_in_flight += 1
            self.hosts[server].checked_at = now
            chosen.append(server)
        return chosen

    def _drain_budget(self, now: int) -> None:
        elapsed = now - self._due_asked_at
        self._checks_spent = max(
            0.0, self._checks_spent - elapsed * self.checks_per_second / SECOND
        )
        if elapsed > STALL_THRESHOLD:
            self._resumed_at = now
        self._due_asked_at = now

    def _candidates(self, now: int) -> tuple[list[tuple[int, int]], list[tuple[int, int]]]:
        """Return suspects and others that are due, as (checked at, server)."""
        period = self.settings.report_period
        controls = self._controls()
        suspects: list[tuple[int, int]] = []
        others: list[tuple[int, int]] = []
        for server, host in self.hosts.items():
            is_close = host.is_suspect or server in controls
            interval = period // SUSPECT_CHECKS_PER_PERIOD if is_close else period
            may_overlap = is_close or not host.checks_in_flight
            if now - host.checked_at < interval or not may_overlap:
                continue
            (suspects if host.is_suspect else others).append((host.checked_at, server))
        return suspects, others

    def _controls(self) -> list[int]:
        """Return the hosts that are well and checked as closely as suspects, if there are any."""
        if not any(host.is_suspect for host in self.hosts.values()):
            return []
        return sorted(server for server, host in self.hosts.items() if host.good_signs)[
            :CONTROL_COUNT
        ]

    # What the assigner is handed.

    def recent_latency(self, server: int) -> int:
        """Return how long requests lately took at a host; 0 if nothing tells."""
        host = self.hosts.get(server)
        if host is None:
            return 0
        now = self.sink.now()
        report = host.fresh_report(now, self.settings.report_period)
        return host.met(now - 2 * self.settings.report_period, SECOND, report).mean_latency

    def report(
        self,
        reported_servers: Collection[int] = (),
        reports_for_itself: Callable[[int], bool] = lambda proxy: False,
    ) -> None:
        """Once a period: hand over what each host met since, and what proxies are taken to bring.

        Parameters
        ----------
        reported_servers
            Those that proxies themselves reported on, who know it more nearly.
        reports_for_itself
            Whether a proxy tells what comes to it.
        """
        now = self.sink.now()
        since = self._reported_at
        span = now - since
        self._reported_at = now
        if span <= 0:
            return
        for server, host in sorted(self.hosts.items()):
            met = host.met(since, span, host.fresh_report(now, self.settings.report_period))
            # Proxies notice a hung host only at their own deadline; failed checks are reported
            # beside that.
            has_failed_checks = host.is_suspect and met.failures
            if met.attempts and (server not in reported_servers or has_failed_checks):
                self.sink.on_load_report(
                    LoadReport(self.settings.planner_zone, server, *met, span, host.last_load())
                )
        self._report_demand(self._demand_totals(now), span, reports_for_itself)

    def _demand_totals(self, now: int) -> DemandTotals:
        rate = 0.0
        rate_by_class: dict[int, float] = {}
        classified_rate = 0.0
        for _, host in sorted(self.hosts.items()):
            report = host.fresh_report(now, self.settings.report_period)
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
                # Whole requests, with the remainder going to the first ones, so that the sum is
                # kept.
                own_requests = int(requests * (position + 1) / proxy_count) - int(
                    requests * position / proxy_count
                )
                self.sink.on_demand_report(DemandReport(proxy, class_index, own_requests, 0, span))

    def _proxy_count(self) -> int:
        """Return how many proxies the hosts' figures are parted over.

        With several planners hosts tell of all proxies, this planner's among them, so each proxy
        counts as one of all that the settings state.
        """
        if self.settings.planner_count == 1:
            return len(self._proxies)
        return max(len(self._proxies), self.settings.proxy_count)


def _by_turns(
    first: list[tuple[int, int]], second: list[tuple[int, int]]
) -> Iterable[tuple[int, int]]:
    for pair in zip_longest(first, second):
        yield from (candidate for candidate in pair if candidate)
