"""HTTP access to hosts: real requests as health checks, and load reports.

Load reports are read from the JSON form of the ORCA response header, `endpoint-load-metrics: JSON
{..}`. For gRPC see `frontends.xds.health_checks`.
"""

import json
from typing import Any, NamedTuple, Protocol

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError, SimpleAsyncHTTPClient

from ..assignment.interface import HealthCheckOutcome
from .host_reports import read_host_report

REPORT_HEADER = "endpoint-load-metrics"
JSON_FORMAT = "JSON"
PLANNER_HEADERS = {"Relay": "planner"}
DEFAULT_LOAD_PATH = "/load"
MAX_CONNECT_TIMEOUT_S = 1.0
MAX_CONCURRENT_REQUESTS = 512
MAX_RESPONSE_BYTES = 1 << 20
FIRST_ERROR_STATUS = 400
SERVICE_UNAVAILABLE = 503

Address = tuple[str, int]


class CheckResult(NamedTuple):
    """The outcome of a health check, and the load report in the answer, if any."""

    outcome: HealthCheckOutcome
    report: Any = None


class HostClient(Protocol):
    """A client for health checks and load reports of hosts.

    Timeouts are in seconds. Failures of hosts are returned as results, not raised.
    """

    async def check(self, address: Address, timeout: float) -> CheckResult:
        """Send a host one real request."""

    async def fetch_report(self, address: Address, timeout: float) -> Any:
        """Return the host's load report, or None."""

    def close(self) -> None:
        """Close all connections."""


def authority(address: Address) -> str:
    """Return the authority part of a URL for an address, with IPv6 addresses in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class HttpHostClient:
    """Reaches hosts over HTTP; checks request `check_path`, load reports `load_path`."""

    def __init__(self, check_path: str, load_path: str = DEFAULT_LOAD_PATH) -> None:
        self.check_path = check_path
        self.load_path = load_path
        self.client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_REQUESTS,
            max_body_size=MAX_RESPONSE_BYTES,
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
            connect_timeout=min(timeout, MAX_CONNECT_TIMEOUT_S),
            request_timeout=timeout,
            headers=PLANNER_HEADERS,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except HTTPTimeoutError:
            return CheckResult(HealthCheckOutcome.TIMED_OUT)
        except HTTPStreamClosedError:
            return CheckResult(HealthCheckOutcome.CONNECTION_LOST)
        except (OSError, HTTPClientError):
            return CheckResult(HealthCheckOutcome.UNREACHABLE)
        return CheckResult(_outcome(response.code), self.read_report(response))

    def read_report(self, response: HTTPResponse) -> Any:
        """Return the load report in a response, or None if it is missing or invalid."""
        format_name, _, text = response.headers.get(REPORT_HEADER, "").strip().partition(" ")
        if format_name != JSON_FORMAT:
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
