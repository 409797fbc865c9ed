"""The planner as a program: puts its parts together and runs them on Tornado.

What the assigner orders and what waits for whom is in `planner_host`; which endpoint list counts is
in `endpoint_list`, and where it comes from in `endpoint_list_source`; what hosts' reports mean is
in `health_inference`. The clock, the timers and the parts' lives are here.
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
    """Everything that one planner runs, and the environment of its `PlannerHost`.

    `make_assigner` hosts another policy in the assigner's place, for baselines. `host_client`
    reaches hosts (HTTP unless given). `operator_server` is set by the program that puts a planner
    together.
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
        # The assigner asks for the list as it is made.
        self.list_source = EndpointListSource(
            settings,
            self.endpoints.endpoint_list,
            on_failed=self._on_list_failed,
            jitter=self._jitter,
            log=self.log,
        )
        deployment = settings.deployment
        reports = settings.reports
        self.planner_host = PlannerHost(self, deployment, settings.seed, make_assigner)
        self.health_inference = HealthInference(
            self.planner_host, deployment, reports.checks_per_second, reports.checks_at_once
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
        self._report_timer = PeriodicCallback(self._on_period, deployment.report_period / 1000)

    # What `PlannerHost` may ask (`planner_host.Environment`).

    def now(self) -> int:
        """Return the time on a clock that never goes back."""
        return now()

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call back after this time."""
        IOLoop.current().call_later(delay / SECOND, callback)

    def request_write(self, proxy: int) -> None:
        """Have a proxy's frontend write to it."""
        self.proxies.request_write(proxy)

    def check_health(self, server: int) -> None:
        """Check a host for the assigner."""
        self.health_checker.check_for_assigner(server)

    def fetch_endpoint_list(self) -> None:
        """Fetch the whole endpoint list, where its source must be asked."""
        self.list_source.fetch()

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the log."""
        self.log.info(event, **facts)

    def wall_clock(self) -> int:
        """Return the time of day, in microseconds since 1970."""
        return now() + self.wall_clock_offset

    # Its life.

    def start(self) -> None:
        """Begin to read the endpoint list and to ask hosts; to be called once, on the loop."""
        self.endpoints.start(self.versions.stored_list())
        self.list_source.start()
        self._report_timer.start()
        self.health_checker.start()

    def open_frontend(self, frontend: Frontend, name: str, port: int, address: str) -> int:
        """Open a frontend's sockets, and return the port; one line of the log says where."""
        frontend.listen(port, address)
        self.frontends.append(frontend)
        self.log.info("listening", frontend=name, port=frontend.port())
        if not self.leadership.holds_any_lease():
            frontend.set_accepting(False)
        return frontend.port()

    def close(self) -> None:
        """Stop all that runs, and close all connections."""
        self.is_closing = True
        # What is cut off in the middle now is cut off on purpose: no library needs to tell of it.
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
        # A check is a real request, so one that may be executed twice.
        usual_path = f"/exchange/{self.settings.health_check_class()}"
        return HttpHostClient(reports.check_path or usual_path, reports.load_path)

    def _on_list_failed(self) -> None:
        self.planner_host.on_endpoint_list_failed()

    def _jitter(self) -> float:
        return self.planner_host.assigner.random.randbelow(JITTER_STEPS) / JITTER_STEPS

    def _on_period(self) -> None:
        """Hand on what proxies and hosts reported, and ask hosts again."""
        reported_servers = self.demand_aggregator.forward_reports(
            lambda server: server in self.health_inference.hosts,
            self.health_inference.recent_latency,
        )
        self.health_inference.report(reported_servers, self.demand_aggregator.reports_recently)
        self.health_checker.fetch_reports()
