"""A host that serves gRPC requests and reports its load by ORCA, in trailers and out of band."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import grpc
from xds.data.orca.v3 import orca_load_report_pb2
from xds.service.orca.v3 import orca_pb2

from ..clock import SECOND

METHOD_PREFIX = "/exchange.Hosts/"  # followed by the name of a class
LOAD_REPORT_METHOD = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics"
LOAD_REPORT_TRAILER = "endpoint-load-metrics-bin"
CPU_UTILIZATION = 0.1
MIN_REPORTED_RATE = 1e-9  # a rate of 0 would mean that none is reported
HANG_S = 3600


class ServedRequest(NamedTuple):
    """A request as it reached the host; `relay` is empty if the request did not name one."""

    at: int
    relay: str
    class_name: str


class GrpcHost(grpc.GenericRpcHandler):
    """One host on its own port.

    Each request takes `work` microseconds. While `hangs` is set, requests are not answered.
    """

    def __init__(self, now: Callable[[], int], name: str, work: int) -> None:
        self.name = name
        self.port = 0
        self.hangs = False
        self.receipts: list[ServedRequest] = []
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self._now = now
        self._work = work

    async def open(self) -> None:
        """Listen on a port that the kernel chooses."""
        self.server.add_generic_rpc_handlers([self])
        self.port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()

    def service(self, handler_call_details: Any) -> Any:
        """Return the handler of a call, None for an unknown method (called by grpcio)."""
        method = handler_call_details.method
        if method == LOAD_REPORT_METHOD:
            return grpc.unary_stream_rpc_method_handler(
                self._report_load,
                orca_pb2.OrcaLoadReportRequest.FromString,
                orca_load_report_pb2.OrcaLoadReport.SerializeToString,
            )
        if method.startswith(METHOD_PREFIX):
            return grpc.unary_unary_rpc_method_handler(
                self._request_handler(method.removeprefix(METHOD_PREFIX))
            )
        return None

    async def _report_load(
        self, request: orca_pb2.OrcaLoadReportRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[orca_load_report_pb2.OrcaLoadReport]:
        """Send load reports at the requested interval. Rates cover the last second."""
        while True:
            since = self._now() - SECOND
            recent = [served.class_name for served in self.receipts if served.at > since]
            report = orca_load_report_pb2.OrcaLoadReport(
                cpu_utilization=CPU_UTILIZATION, rps_fractional=len(recent) or MIN_REPORTED_RATE
            )
            report.named_metrics["latency_ms"] = self._work / 1000
            for class_name in set(recent):
                report.named_metrics["rps." + class_name] = recent.count(class_name)
            yield report
            await asyncio.sleep(request.report_interval.ToMicroseconds() / SECOND)

    def _request_handler(
        self, class_name: str
    ) -> Callable[[bytes, grpc.aio.ServicerContext], Awaitable[bytes]]:
        async def serve(request: bytes, context: grpc.aio.ServicerContext) -> bytes:
            started = self._now()
            metadata = dict(context.invocation_metadata())
            self.receipts.append(ServedRequest(started, metadata.get("relay", ""), class_name))
            await asyncio.sleep(HANG_S if self.hangs else self._work / SECOND)
            report = orca_load_report_pb2.OrcaLoadReport(cpu_utilization=CPU_UTILIZATION)
            report.named_metrics["took_ms"] = (self._now() - started) / 1000
            context.set_trailing_metadata([(LOAD_REPORT_TRAILER, report.SerializeToString())])
            return b""

        return serve
