"""The health of one server: its recent load reports and its ejections."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from ..clock import SECOND

REPORTS_KEPT = 4  # per zone
BASE_EJECTION_TIME = 8 * SECOND  # of the first ejection; doubled for each further one
MAX_EJECTION_TIME = 40 * SECOND


class ReceivedReport(NamedTuple):
    """What the proxies of one zone measured at a server over the `span` before `received_at`."""

    received_at: int
    attempts: int
    failures: int
    mean_latency: int
    span: int


ReportsByZone = defaultdict[int, deque[ReceivedReport]]
_empty_reports: partial[ReportsByZone] = partial(defaultdict, partial(deque, maxlen=REPORTS_KEPT))


@dataclass(slots=True)
class ServerHealth:
    """The health of one server process as known to this planner; times are in microseconds.

    Attributes
    ----------
    started
        When the process started.
    reports_valid_from
        Reports received before this time do not count.
    ejection_time
        The duration of the current or next ejection.
    restarts
        How many times in a row the server restarted before it was warm.
    consecutive_failures
        The number of evaluations in a row that found it an outlier.
    next_check_at
        When its ejection ends or its next health check is due. An order to eject or uneject the
        server sets this to the time of the order.
    unejected_at
        When its last ejection ended; 0 before the first ejection and during one.
    ejected_classes
        The classes from whose shards it is ejected.
    fully_ejected
        Whether it serves no class at all.
    suspect
        Whether the endpoint list shows it as gone, perhaps wrongly.
    health_check_pending
        Whether a health check has been sent and has not ended.
    """

    started: int = 0
    reports_valid_from: float = 0
    ejection_time: int = BASE_EJECTION_TIME
    restarts: int = 0
    reports: ReportsByZone = field(default_factory=_empty_reports)
    consecutive_failures: int = 0
    next_check_at: int = 0
    unejected_at: int = 0
    ejected_classes: frozenset[int] = frozenset()
    fully_ejected: bool = False
    suspect: bool = False
    health_check_pending: bool = False

    def reports_since(self, since: int) -> list[tuple[int, ReceivedReport]]:
        """Return the valid reports received after `since`, each with its zone."""
        earliest = max(since, self.reports_valid_from)
        return [
            (zone, report)
            for zone, reports in self.reports.items()
            for report in reports
            if report.received_at > earliest
        ]

    def request_rates(self, now: int, grace: int) -> tuple[float, float]:
        """Return attempts and completions per second, from the latest report of each zone.

        A report counts until it is older than twice its span plus `grace` microseconds.
        """
        latest = [reports[-1] for reports in self.reports.values() if reports]
        fresh = [report for report in latest if now - report.received_at < 2 * report.span + grace]
        return (
            sum(report.attempts * SECOND / report.span for report in fresh),
            sum((report.attempts - report.failures) * SECOND / report.span for report in fresh),
        )
