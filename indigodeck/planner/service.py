"""The planner as a program: creates its components and runs them on Tornado.

This module owns the clock, the timers and the life cycle of the components. `planner_host` holds
the assigner's orders, `endpoint_list` the current endpoint list and `endpoint_list_source` its
source; `health_inference` interprets the reports of hosts.
"""

import logging
from collections.abc import Callable
from typing import Any

import structlog
from tornado.ioloop import IOLoop, PeriodicCallback

from ..assignment.assigner import Assigner
from ..clock import SECOND, now, wall_clock_offset
from .demand_aggregation import DemandAggregator
from .endpoint_directory import EndpointDirectory
from .endpoint_list_source import EndpointListSource
from .health_checks import HealthChecker
from .health_inference import HealthInference
from .host_client import HostClient, HttpHostClient
from .leadership_hooks import LeadershipHooks
from .planner_host import PlannerHost
from .planner_settings import PlannerSettings
from .proxy_sessions import Frontend, ProxySessions
from .version_hooks import VersionHooks

JITTER_STEPS = 1000


class PlannerService:
    """The components of one planner, and the environment of its `PlannerHost`.

    `make_assigner` can build a baseline policy instead of the assigner. `host_client` reaches
    hosts, by default over HTTP. `operator_server` is set by the program that creates the planner
    (`serve`).
    """

    def __init__(
        self,
        settings: PlannerSettings,
        make_assigner: Callable[..., Any] = Assigner,
        host_client: HostClient | None = None,
    ) -> None:
        self.settings = settings
        self.log = structlog.get_logger()
        self.wall_clock_offset = wall_clock_offset()
        self.is_closing = False
        self.frontends: list[Frontend] = []
        self.operator_server: Any = None
        self.proxies = ProxySessions(self)
        self.endpoints = EndpointDirectory(self)
        self.leadership = LeadershipHooks(self)
        self.versions = VersionHooks(self)
        # Created before the assigner, whose constructor requests the list.
        self.list_source = EndpointListSource(
            settings,
            self.endpoints.endpoint_list,
            on_fetch_failed=self._on_list_fetch_failed,
            jitter=self._jitter,
            log=self.log,
        )
        deployment = settings.deployment
        reports = settings.reports
        self.planner_host = PlannerHost(self, deployment, settings.seed, make_assigner)
        self.health_inference = HealthInference(
            self.planner_host, deployment, reports.checks_per_second, reports.max_concurrent_checks
        )
        self.demand_aggregator = DemandAggregator(
            self.planner_host, reports.proxy_reports_per_second, deployment.report_period
        )
        self.health_checker = HealthChecker(
            settings,
            host_client or self._http_client(),
            self.health_inference,
            self.endpoints.address_of,
            self.planner_host.on_health_check,
        )
        self._report_timer = PeriodicCallback(
            self._on_report_period, deployment.report_period / 1000
        )

    # Services for `PlannerHost` (`planner_host.Environment`).

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return now()

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` microseconds."""
        IOLoop.current().call_later(delay / SECOND, callback)

    def request_write(self, proxy: int) -> None:
        """Schedule a write by the proxy's frontend."""
        self.proxies.request_write(proxy)

    def check_health(self, server: int) -> None:
        """Check a host for the assigner."""
        self.health_checker.check_for_assigner(server)

    def fetch_endpoint_list(self) -> None:
        """Fetch the full endpoint list, if it is not pushed by its source."""
        self.list_source.fetch()

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""
        self.log.info(event, **fields)

    def wall_clock(self) -> int:
        """Return the wall-clock time in microseconds since 1970."""
        return now() + self.wall_clock_offset

    def start(self) -> None:
        """Start to read the endpoint list and to check hosts; called once, on the event loop."""
        self.endpoints.start(self.versions.stored_list())
        self.list_source.start()
        self._report_timer.start()
        self.health_checker.start()

    def open_frontend(self, frontend: Frontend, name: str, port: int, address: str) -> int:
        """Open the sockets of a frontend, log its port and return it."""
        frontend.listen(port, address)
        self.frontends.append(frontend)
        self.log.info("listening", frontend=name, port=frontend.port())
        if not self.leadership.holds_any_lease():
            frontend.set_accepting(False)
        return frontend.port()

    def close(self) -> None:
        """Stop all components, and close all connections."""
        self.is_closing = True
        # Connections are now closed on purpose, so the errors that Tornado logs about them are
        # noise.
        logging.getLogger("tornado").disabled = True
        logging.getLogger("tornado.application").disabled = True
        self._report_timer.stop()
        if self.leadership.member_thread is not None:
            self.leadership.member_thread.close()
        self.versions.close()
        for frontend in self.frontends:
            frontend.close()
        self.list_source.close()
        self.health_checker.close()

    def _http_client(self) -> HttpHostClient:
        reports = self.settings.reports
        # A check is a real request, so it has to be one that may be executed twice.
        default_path = f"/exchange/{self.settings.health_check_class()}"
        return HttpHostClient(reports.check_path or default_path, reports.load_path)

    def _on_list_fetch_failed(self) -> None:
        self.planner_host.on_endpoint_list_failed()

    def _jitter(self) -> float:
        return self.planner_host.assigner.random.randbelow(JITTER_STEPS) / JITTER_STEPS

    def _on_report_period(self) -> None:
        """Forward the reports of proxies and hosts, and fetch new ones from hosts."""
        reported_servers = self.demand_aggregator.forward_reports(
            lambda server: server in self.health_inference.hosts,
            self.health_inference.recent_latency,
        )
        self.health_inference.send_reports(
            reported_servers, self.demand_aggregator.reports_recently
        )
        self.health_checker.fetch_reports()
