"""Sends health checks, which `health_inference` schedules, and fetches load reports from hosts."""

from collections.abc import Callable, Coroutine
from typing import Any

from tornado.ioloop import IOLoop, PeriodicCallback

from ..assignment.interface import HealthCheckOutcome
from ..clock import SECOND, now
from .health_inference import HealthInference
from .host_client import Address, CheckResult, HostClient
from .planner_settings import PlannerSettings

SCHEDULE_INTERVAL_MS = 50  # between two polls of the check schedule
RECENT_PERIODS = 3  # a host that answered within this many report periods counts as up
# Outcomes of checks that the host answered, whatever the answer.
ANSWERED_OUTCOMES = (HealthCheckOutcome.OK, HealthCheckOutcome.ERROR, HealthCheckOutcome.OVERLOADED)
# Outcomes of hosts that serve requests, though an overloaded host may refuse one.
ALIVE_OUTCOMES = (HealthCheckOutcome.OK, HealthCheckOutcome.OVERLOADED)


class HealthChecker:
    """Sends the health checks of one planner and fetches load reports from hosts.

    `address_of` returns a server's address or None. `on_assigner_check(server, outcome, latency,
    load)` is called with the outcome of each check that the assigner requested. `timeout`
    (microseconds) is how long a check waits for its answer: the shortest deadline of all classes.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        client: HostClient,
        inference: HealthInference,
        address_of: Callable[[int], Address | None],
        on_assigner_check: Callable[..., None],
    ) -> None:
        self.client = client
        self.timeout = min(
            class_settings.deadline for class_settings in settings.deployment.classes
        )
        self._inference = inference
        self._address_of = address_of
        self._on_assigner_check = on_assigner_check
        self._report_period = settings.deployment.report_period
        self._class_indices = {name: index for index, name in enumerate(settings.class_names)}
        self._last_answered_at: dict[int, int] = {}
        self._timer: PeriodicCallback | None = None
        if settings.reports.checks_enabled:
            self._timer = PeriodicCallback(self._check_due, SCHEDULE_INTERVAL_MS)

    def start(self) -> None:
        """Start the planner's own periodic checks, if the settings allow any."""
        if self._timer is not None:
            self._timer.start()

    def close(self) -> None:
        """Stop, and close all connections."""
        if self._timer is not None:
            self._timer.stop()
        self.client.close()

    def check_for_assigner(self, server: int) -> None:
        """Check a host, and pass the outcome to the assigner."""
        self._spawn(self._check, server, self._finish_assigner_check)

    async def is_alive(self, address: Address) -> bool:
        """Check a host that no list names yet; return whether it serves requests."""
        result = await self.client.check(address, self.timeout / SECOND)
        return result.outcome in ALIVE_OUTCOMES

    def answered_recently(self, server: int) -> bool:
        """Return whether a host answered a check or sent a load report recently."""
        last = self._last_answered_at.get(server, -10 * SECOND)
        return now() - last < RECENT_PERIODS * self._report_period

    def fetch_reports(self) -> None:
        """Fetch the load reports of all hosts, spread over half of the report period."""
        servers = sorted(self._inference.hosts)
        period_s = self._report_period / SECOND
        for position, server in enumerate(servers):
            delay_s = period_s * position / (2 * len(servers))
            IOLoop.current().call_later(delay_s, self._spawn, self._fetch_report, server)

    def _check_due(self) -> None:
        for server in self._inference.take_due_checks(now()):
            self._spawn(self._check, server, self._finish_own_check)

    async def _check(self, server: int, on_finished: Callable[..., None]) -> None:
        address = self._address_of(server)
        started_at = now()
        result = CheckResult(HealthCheckOutcome.UNREACHABLE)
        if address is not None:
            result = await self.client.check(address, self.timeout / SECOND)
        ended_at = now()
        if result.outcome in ANSWERED_OUTCOMES:
            self._last_answered_at[server] = ended_at
        self._record_report(server, result.report, ended_at)
        on_finished(server, result.outcome, ended_at - started_at, ended_at)

    def _finish_assigner_check(
        self, server: int, outcome: HealthCheckOutcome, latency: int, ended_at: int
    ) -> None:
        self._on_assigner_check(server, outcome, latency, None)

    def _finish_own_check(
        self, server: int, outcome: HealthCheckOutcome, latency: int, ended_at: int
    ) -> None:
        self._inference.on_check(server, outcome, latency, ended_at)

    async def _fetch_report(self, server: int) -> None:
        address = self._address_of(server)
        if address is None:
            return
        report = await self.client.fetch_report(address, self._report_period / SECOND)
        if report is None:
            self._inference.on_no_report(server)
            return
        self._record_report(server, report, now())
        self._last_answered_at[server] = now()

    def _record_report(self, server: int, report: Any, at: int) -> None:
        if report is None:
            return
        by_class = {
            self._class_indices[name]: rate
            for name, rate in report.completed_by_class.items()
            if name in self._class_indices
        }
        self._inference.on_host_report(server, report._replace(completed_by_class=by_class), at)

    @staticmethod
    def _spawn(function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        IOLoop.current().add_callback(function, *arguments)
