"""What is known of one server's health: its load reports, and from which classes it is ejected."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from ..clock import SECOND

REPORTS_KEPT = 4  # of each zone
EJECTION_TIME = 8 * SECOND  # of a first ejection; each that follows at once takes twice as long
LONGEST_EJECTION = 40 * SECOND


class ReceivedReport(NamedTuple):
    """What the proxies of one zone met at a server over `span` microseconds before it came."""

    received_at: int
    attempts: int
    failures: int
    mean_latency: int
    span: int


ReportsByZone = defaultdict[int, deque[ReceivedReport]]
_empty_reports: partial[ReportsByZone] = partial(defaultdict, partial(deque, maxlen=REPORTS_KEPT))


@dataclass(slots=True)
class ServerHealth:
    """The health of one process of a server, as far as this planner knows. Times in microseconds.

    Attributes
    ----------
    started
        When its process started.
    judged_from
        Reports that came before this say nothing of it.
    ejection_time
        How long its present or next ejection lasts.
    restarts
        How often it has started again before it was warm.
    consecutive_failures
        Evaluations in a row that found it an outlier.
    next_check_at
        When its ejection ends or its next health check is due; at the moment that its proxies are
        ordered off it, or back to it, it is that moment.
    unejected_at
        When its last ejection ended, 0 if there was none.
    ejected_classes
        The classes whose shards it has left.
    fully_ejected
        It serves no class.
    suspect
        The endpoint list says that it is gone, and may be wrong in that.
    health_check_pending
        A health check was sent and has not ended.
    """

    started: int = 0
    judged_from: float = 0
    ejection_time: int = EJECTION_TIME
    restarts: int = 0
    reports: ReportsByZone = field(default_factory=_empty_reports)
    consecutive_failures: int = 0
    next_check_at: int = 0
    unejected_at: int = 0
    ejected_classes: frozenset[int] = frozenset()
    fully_ejected: bool = False
    suspect: bool = False
    health_check_pending: bool = False

    def reports_since(self, moment: int) -> list[tuple[int, ReceivedReport]]:
        """Return reports later than `moment` that can reflect the last order, with their zones."""
        earliest = max(moment, self.judged_from)
        return [
            (zone, report)
            for zone, reports in self.reports.items()
            for report in reports
            if report.received_at > earliest
        ]

    def request_rates(self, now: int, grace: int) -> tuple[float, float]:
        """Return attempts and completions a second, by the last report of each zone.

        A report counts for twice its span and `grace` microseconds.
        """
        last = [reports[-1] for reports in self.reports.values() if reports]
        fresh = [report for report in last if now - report.received_at < 2 * report.span + grace]
        return (
            sum(report.attempts * SECOND / report.span for report in fresh),
            sum((report.attempts - report.failures) * SECOND / report.span for report in fresh),
        )
