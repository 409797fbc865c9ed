"""Recent health checks and load reports of one host, and the statistics they give; free of I/O."""

from collections import deque
from typing import NamedTuple

from ..clock import SECOND
from .host_reports import HostReport

# Consecutive successes after which a host is no longer a suspect.
SUCCESSES_TO_CLEAR = 4
REPORT_VALID_PERIODS = 3  # report periods after which a report is too old to use
MAX_REPORTS = 4
MAX_CHECKS = 32


class Check(NamedTuple):
    """The outcome of a health check that ended at `ended_at` and took `latency`."""

    ended_at: int
    succeeded: bool
    latency: int


class RequestStats(NamedTuple):
    """Estimated requests at a host in one period; `mean_latency` covers the successful ones."""

    attempts: int
    failures: int
    mean_latency: int


class HostEvidence:
    """The last load reports of one host, and its health checks of the last two periods."""

    def __init__(self) -> None:
        self.reports: deque[tuple[int, HostReport]] = deque(maxlen=MAX_REPORTS)
        self.checks: deque[Check] = deque(maxlen=MAX_CHECKS)
        self.is_suspect = False
        self.consecutive_successes = 0
        self.last_check_at = -1
        self.checks_in_flight = 0

    def add_report(self, report: HostReport, at: int) -> None:
        """Add a report, unless it is older than the last one, which is then still the newest."""
        if not self.reports or at > self.reports[-1][0]:
            self.reports.append((at, report))

    def add_check(self, ended_at: int, succeeded: bool, latency: int) -> None:
        """Add a health check that has ended."""
        self.checks.append(Check(ended_at, succeeded, latency))
        self.record_outcome(succeeded)

    def record_outcome(self, succeeded: bool) -> None:
        """Record whether the host answered, and update whether it is a suspect."""
        self.consecutive_successes = self.consecutive_successes + 1 if succeeded else 0
        still_suspect = self.is_suspect and self.consecutive_successes < SUCCESSES_TO_CLEAR
        self.is_suspect = not succeeded or still_suspect

    def current_report(self, now: int, report_period: int) -> HostReport | None:
        """Return the last report, or None if it is too old."""
        if self.reports and now - self.reports[-1][0] < REPORT_VALID_PERIODS * report_period:
            return self.reports[-1][1]
        return None

    def last_load(self) -> dict[str, float] | None:
        """Return the load columns of the last report, however old."""
        return self.reports[-1][1].load() if self.reports else None

    def request_stats(self, since: int, span: int, report: HostReport | None) -> RequestStats:
        """Estimate the requests over `span` from a report and from the checks since `since`."""
        checks = [check for check in self.checks if check.ended_at > since]
        failed_checks = sum(not check.succeeded for check in checks)
        latencies = [check.latency for check in checks if check.succeeded]
        completed = 0
        failed = 0
        latency = 0
        if report is not None and report.completed is not None:
            completed = round(report.completed * span / SECOND)
            failed = round(report.failed * span / SECOND)
            latency = _reported_latency(report)
            if failed_checks and not latencies and not completed:
                # The host accepts requests and completes none: the requests in flight count as
                # failed, though the host reports itself as idle.
                failed += max(round(report.in_flight), 0)
        elif report is not None:
            latency = report.work_time
        succeeded = completed + len(latencies)
        failures = failed + failed_checks
        if not succeeded:
            return RequestStats(failures, failures, 0)
        mean_latency = (latency * completed + sum(latencies)) // succeeded
        return RequestStats(succeeded + failures, failures, mean_latency)


def _reported_latency(report: HostReport) -> int:
    if not report.completed:
        return 0
    return max(report.work_time, round(report.in_flight / report.completed * SECOND))
