"""What is known of one host, and what it adds up to; free of I/O."""

from collections import deque
from typing import NamedTuple

from ..clock import SECOND
from .host_reports import HostReport

# So many good signs in a row clear a suspect.
GOOD_SIGNS_TO_CLEAR = 4
REPORT_FRESH_PERIODS = 3  # a report counts for so many periods; older, it tells of another day
REPORTS_KEPT = 4
CHECKS_KEPT = 32


class Check(NamedTuple):
    """A health check that ended at this time, after `latency`."""

    ended_at: int
    succeeded: bool
    latency: int


class Met(NamedTuple):
    """What one host is taken to have done in a period; `mean_latency` is of the good attempts."""

    attempts: int
    failures: int
    mean_latency: int


class HostEvidence:
    """What is known of one host: its last reports, and the checks of this period and the last."""

    def __init__(self) -> None:
        self.reports: deque[tuple[int, HostReport]] = deque(maxlen=REPORTS_KEPT)
        self.checks: deque[Check] = deque(maxlen=CHECKS_KEPT)
        self.is_suspect = False
        self.good_signs = 0  # in a row
        self.checked_at = -1
        self.checks_in_flight = 0

    def add_report(self, report: HostReport, at: int) -> None:
        """Keep a report, unless it is older than what is held: it is late and says nothing new."""
        if not self.reports or at > self.reports[-1][0]:
            self.reports.append((at, report))

    def add_check(self, ended_at: int, succeeded: bool, latency: int) -> None:
        """Keep a health check that ended."""
        self.checks.append(Check(ended_at, succeeded, latency))
        self.add_sign(succeeded)

    def add_sign(self, is_good: bool) -> None:
        """Count a sign of life, or the lack of one."""
        self.good_signs = self.good_signs + 1 if is_good else 0
        still_suspect = self.is_suspect and self.good_signs < GOOD_SIGNS_TO_CLEAR
        self.is_suspect = not is_good or still_suspect

    def fresh_report(self, now: int, report_period: int) -> HostReport | None:
        """Return the last report if it still counts."""
        if self.reports and now - self.reports[-1][0] < REPORT_FRESH_PERIODS * report_period:
            return self.reports[-1][1]
        return None

    def last_load(self) -> dict[str, float] | None:
        """Return the columns of the last report, however old."""
        return self.reports[-1][1].load() if self.reports else None

    def met(self, since: int, span: int, report: HostReport | None) -> Met:
        """Work out what the host did over `span`, by its report and the checks since then."""
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
                # It takes requests and gives nothing back: what it holds is lost, though it says it
                # is idle.
                failed += max(round(report.in_flight), 0)
        elif report is not None:
            latency = report.work_time
        succeeded = completed + len(latencies)
        failures = failed + failed_checks
        if not succeeded:
            return Met(failures, failures, 0)
        mean_latency = (latency * completed + sum(latencies)) // succeeded
        return Met(succeeded + failures, failures, mean_latency)


def _reported_latency(report: HostReport) -> int:
    if not report.completed:
        return 0
    return max(report.work_time, round(report.in_flight / report.completed * SECOND))
