"""How a planner reaches hosts that serve gRPC: a real exchange as a probe, and ORCA reports out of band.

Reports come over the OpenRcaService's stream, at the period that is asked for; the last one is what `report` gives.
"""

import asyncio

import grpc
from xds.data.orca.v3 import orca_load_report_pb2
from xds.service.orca.v3 import orca_pb2

from ...assignment.interface import HealthCheckOutcome
from ...planner.host_client import CheckResult
from ...planner.host_reports import read_host_report

OUTCOMES = {
    grpc.StatusCode.DEADLINE_EXCEEDED: HealthCheckOutcome.SILENT,
    grpc.StatusCode.UNAVAILABLE: HealthCheckOutcome.UNREACHABLE,
    grpc.StatusCode.RESOURCE_EXHAUSTED: HealthCheckOutcome.FULL,
}
STREAM = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics"
PAUSE = 1.0  # between two calls for reports of a host that does not give them


class GrpcHostClient:
    """`method`: the path of an exchange that may be done twice; `period`: microseconds between reports."""

    def __init__(self, method, period):
        self.method, self.period, self.hosts = method, period, {}

    def _host(self, where):
        held = self.hosts.get(where)
        if held is None:
            address = f"[{where[0]}]" if ":" in where[0] else where[0]
            channel = grpc.aio.insecure_channel(
                f"{address}:{where[1]}", options=[("grpc.enable_retries", 0)]
            )
            held = self.hosts[where] = {"channel": channel, "last": None, "used": 0, "task": None}
            held["task"] = asyncio.get_running_loop().create_task(self._follow(held))
        held["used"] = asyncio.get_running_loop().time()
        return held

    async def _follow(self, held):
        """Keeps the newest report, until nobody has asked for it for a while."""
        loop, rest = asyncio.get_running_loop(), max(30.0, 10 * self.period / 1e6)
        request = orca_pb2.OrcaLoadReportRequest()
        request.report_interval.FromMicroseconds(self.period)
        while loop.time() - held["used"] < rest:
            try:
                call = held["channel"].unary_stream(
                    STREAM,
                    orca_pb2.OrcaLoadReportRequest.SerializeToString,
                    orca_load_report_pb2.OrcaLoadReport.FromString,
                )
                async for message in call(request):
                    held["last"] = self._read(message)
                    if loop.time() - held["used"] >= rest:
                        break
            except grpc.aio.AioRpcError:
                held["last"] = None
            await asyncio.sleep(PAUSE)
        await held["channel"].close()
        self.hosts = {where: other for where, other in self.hosts.items() if other is not held}

    @staticmethod
    def _read(message):
        given = {"cpu_utilization": message.cpu_utilization, "eps": message.eps}
        if message.rps_fractional:
            given["rps_fractional"] = message.rps_fractional
        try:
            return read_host_report(given, dict(message.named_metrics))
        except (TypeError, ValueError, OverflowError):
            return None

    async def check(self, where, patience):
        held = self._host(where)
        call = held["channel"].unary_unary(self.method)(
            b"", timeout=patience, metadata=[("relay", "planner")]
        )
        try:
            await call
            outcome = HealthCheckOutcome.OK
        except grpc.aio.AioRpcError as error:
            outcome = OUTCOMES.get(error.code(), HealthCheckOutcome.ERROR)
        return CheckResult(outcome, self._trailing(await call.trailing_metadata()))

    def _trailing(self, metadata):
        for key, value in metadata or ():
            if key == "endpoint-load-metrics-bin":
                message = orca_load_report_pb2.OrcaLoadReport()
                try:
                    message.ParseFromString(value)
                except Exception:  # a host's own bytes: unreadable ones say nothing
                    return None
                return self._read(message) if message.rps_fractional else None
        return None

    async def fetch_report(self, where, patience):
        last = self._host(where)["last"]
        return last

    def close(self):
        for held in self.hosts.values():
            held["task"].cancel()
