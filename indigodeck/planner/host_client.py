"""How a planner reaches hosts over HTTP: a real request to check them, or a load report.

Reports are read in the JSON form of an ORCA header, `endpoint-load-metrics: JSON {..}`. For gRPC
see `frontends.xds.health_checks`.
"""

import json
from typing import Any, NamedTuple, Protocol

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError, SimpleAsyncHTTPClient

from ..assignment.interface import HealthCheckOutcome
from .host_reports import read_host_report

REPORT_HEADER = "endpoint-load-metrics"
JSON_FORM = "JSON"
PLANNER_HEADERS = {"Relay": "planner"}
DEFAULT_LOAD_PATH = "/load"
LONGEST_CONNECT_S = 1.0
MAX_REQUESTS_AT_ONCE = 512
MAX_ANSWER_BYTES = 1 << 20
FIRST_ERROR_STATUS = 400
SERVICE_UNAVAILABLE = 503

Address = tuple[str, int]


class CheckResult(NamedTuple):
    """How a health check ended, and the load report that came with the answer, if any."""

    outcome: HealthCheckOutcome
    report: Any = None


class HostClient(Protocol):
    """How hosts are reached. Timeouts are seconds; neither method raises for what a host does."""

    async def check(self, address: Address, timeout: float) -> CheckResult:
        """Send a host one real request."""

    async def fetch_report(self, address: Address, timeout: float) -> Any:
        """Return the host's load report, or None."""

    def close(self) -> None:
        """Close all connections."""


def authority(address: Address) -> str:
    """Return an address as it stands in a URL; IPv6 goes in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class HttpHostClient:
    """Reaches hosts over HTTP: a GET of `check_path`, or of `load_path` for the report alone."""

    def __init__(self, check_path: str, load_path: str = DEFAULT_LOAD_PATH) -> None:
        self.check_path = check_path
        self.load_path = load_path
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_REQUESTS_AT_ONCE, max_body_size=MAX_ANSWER_BYTES
        )

    async def check(self, address: Address, timeout: float) -> CheckResult:
        """Send a host one real request; `timeout` in seconds."""
        return await self._fetch(address, self.check_path, timeout)

    async def fetch_report(self, address: Address, timeout: float) -> Any:
        """Return the host's load report, or None; `timeout` in seconds."""
        result = await self._fetch(address, self.load_path, timeout)
        return result.report

    async def _fetch(self, address: Address, path: str, timeout: float) -> CheckResult:
        request = HTTPRequest(
            f"http://{authority(address)}{path}",
            connect_timeout=min(timeout, LONGEST_CONNECT_S),
            request_timeout=timeout,
            headers=PLANNER_HEADERS,
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except HTTPTimeoutError:
            return CheckResult(HealthCheckOutcome.TIMED_OUT)
        except HTTPStreamClosedError:
            return CheckResult(HealthCheckOutcome.CONNECTION_LOST)
        except (OSError, HTTPClientError):
            return CheckResult(HealthCheckOutcome.UNREACHABLE)
        return CheckResult(_outcome(answer.code), self.read_report(answer))

    def read_report(self, answer: HTTPResponse) -> Any:
        """Return the load report that an answer carries, or None; unreadable ones say nothing."""
        form, _, text = answer.headers.get(REPORT_HEADER, "").strip().partition(" ")
        if form != JSON_FORM:
            return None
        try:
            fields = json.loads(text)
            return read_host_report(fields, fields.get("named_metrics", {}))
        except (AttributeError, TypeError, ValueError, OverflowError):
            return None

    def close(self) -> None:
        """Close all connections."""
        self.client.close()


def _outcome(status: int) -> HealthCheckOutcome:
    if status < FIRST_ERROR_STATUS:
        return HealthCheckOutcome.OK
    if status == SERVICE_UNAVAILABLE:
        return HealthCheckOutcome.OVERLOADED
    return HealthCheckOutcome.ERROR
