"""The planner's access to hosts over gRPC: health checks, and ORCA load reports out of band.

A health check is a real request. Load reports arrive on a stream of the OpenRcaService, at the
requested period; `fetch_report` returns the newest one.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import grpc
from xds.data.orca.v3 import orca_load_report_pb2
from xds.service.orca.v3 import orca_pb2

from ...assignment.interface import HealthCheckOutcome
from ...clock import SECOND
from ...planner.host_client import Address, CheckResult, authority
from ...planner.host_reports import HostReport, read_host_report

OUTCOMES = {
    grpc.StatusCode.DEADLINE_EXCEEDED: HealthCheckOutcome.TIMED_OUT,
    grpc.StatusCode.UNAVAILABLE: HealthCheckOutcome.UNREACHABLE,
    grpc.StatusCode.RESOURCE_EXHAUSTED: HealthCheckOutcome.OVERLOADED,
}
REPORT_METHOD = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics"
REPORT_TRAILER = "endpoint-load-metrics-bin"
PLANNER_METADATA = [("relay", "planner")]
RETRY_PAUSE_S = 1.0  # between two attempts to open the report stream of a host
# The report stream of a host is closed after this time without a health check or a `fetch_report`,
# or after this many report periods if that is longer.
MIN_IDLE_TIME_S = 30.0
IDLE_TIME_PERIODS = 10


@dataclass(slots=True)
class _HostConnection:
    """The channel to one host, the time of its last use, and the newest load report."""

    channel: grpc.aio.Channel
    used_at: float  # on the event loop's clock, in seconds
    last_report: HostReport | None = None
    follower: asyncio.Task[None] | None = None


class GrpcHostClient:
    """Checks hosts and follows their load reports over gRPC (`planner.host_client.HostClient`).

    `check_method` is the path of the method to call in health checks, which must be safe to execute
    more than once; `report_period` is in microseconds.
    """

    def __init__(self, check_method: str, report_period: int) -> None:
        self.check_method = check_method
        self.report_period = report_period
        self._connections: dict[Address, _HostConnection] = {}

    async def check(self, address: Address, timeout: float) -> CheckResult:
        """Check a host by one real request; `timeout` is in seconds."""
        connection = self._connection_to(address)
        call = connection.channel.unary_unary(self.check_method)(
            b"", timeout=timeout, metadata=PLANNER_METADATA
        )
        try:
            await call
            outcome = HealthCheckOutcome.OK
        except grpc.aio.AioRpcError as error:
            outcome = OUTCOMES.get(error.code(), HealthCheckOutcome.ERROR)
        return CheckResult(outcome, _report_in_trailer(await call.trailing_metadata()))

    async def fetch_report(self, address: Address, timeout: float) -> HostReport | None:
        """Return the newest load report of a host, or None if there is none yet."""
        return self._connection_to(address).last_report

    def close(self) -> None:
        """Stop following the reports of all hosts."""
        for connection in self._connections.values():
            if connection.follower is not None:
                connection.follower.cancel()

    def _connection_to(self, address: Address) -> _HostConnection:
        loop = asyncio.get_running_loop()
        connection = self._connections.get(address)
        if connection is None:
            channel = grpc.aio.insecure_channel(
                authority(address), options=[("grpc.enable_retries", 0)]
            )
            connection = _HostConnection(channel, loop.time())
            self._connections[address] = connection
            connection.follower = loop.create_task(self._follow(connection))
        connection.used_at = loop.time()
        return connection

    async def _follow(self, connection: _HostConnection) -> None:
        """Store each new report in the connection, until the connection has been idle too long."""
        loop = asyncio.get_running_loop()
        idle_time = max(MIN_IDLE_TIME_S, IDLE_TIME_PERIODS * self.report_period / SECOND)
        request = orca_pb2.OrcaLoadReportRequest()
        request.report_interval.FromMicroseconds(self.report_period)
        stream = connection.channel.unary_stream(
            REPORT_METHOD,
            orca_pb2.OrcaLoadReportRequest.SerializeToString,
            orca_load_report_pb2.OrcaLoadReport.FromString,
        )
        while loop.time() - connection.used_at < idle_time:
            try:
                async for message in stream(request):
                    connection.last_report = _host_report(message)
                    if loop.time() - connection.used_at >= idle_time:
                        break
            except grpc.aio.AioRpcError:
                connection.last_report = None
            await asyncio.sleep(RETRY_PAUSE_S)
        await connection.channel.close()
        self._connections = {
            address: other
            for address, other in self._connections.items()
            if other is not connection
        }


def _report_in_trailer(metadata: Iterable[tuple[str, Any]] | None) -> HostReport | None:
    for key, value in metadata or ():
        if key == REPORT_TRAILER:
            message = orca_load_report_pb2.OrcaLoadReport()
            try:
                message.ParseFromString(value)
            except Exception:  # whatever bytes a host sends, an unreadable report is no report
                return None
            return _host_report(message) if message.rps_fractional else None
    return None


def _host_report(message: orca_load_report_pb2.OrcaLoadReport) -> HostReport | None:
    fields = {"cpu_utilization": message.cpu_utilization, "eps": message.eps}
    if message.rps_fractional:
        fields["rps_fractional"] = message.rps_fractional
    try:
        return read_host_report(fields, dict(message.named_metrics))
    except (TypeError, ValueError, OverflowError):
        return None
