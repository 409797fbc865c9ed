"""Keeps a proxy's tables up to date over incremental xDS and reports its load (LRS), on grpcio."""

import asyncio
import ipaddress
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc

from ..clock import SECOND
from .reconnecting import RESPONSE_TIMEOUT_S, ReconnectingClient
from .tables import (
    Address,
    ClientError,
    MalformedResponseError,
    RequestRejectedError,
    TableEntry,
    Tables,
    UnreachableError,
)
from .xds_session import Locality, XdsSession, read_assignment

LATENCY_METRIC = "took_ms"
# grpcio raises a shorter keepalive time to this.
MIN_KEEPALIVE_MS = 1000


def channel_target(address: Address) -> str:
    """Return the target URI of a channel; numeric addresses are not resolved through DNS."""
    host, port = address
    try:
        scheme = f"ipv{ipaddress.ip_address(host).version}:"
    except ValueError:
        scheme = "dns:"
    return f"{scheme}[{host}]:{port}" if ":" in host else f"{scheme}{host}:{port}"


@dataclass(slots=True)
class RequestCounts:
    """Requests of one class to one server; `total_latency`, in us, covers those that succeeded."""

    succeeded: int = 0
    failed: int = 0
    total_latency: int = 0


def _ignore_event(event: str, tables: list[tuple[str, list[TableEntry]]]) -> None:
    """Ignore an event; the default observer."""


class XdsClient(ReconnectingClient):
    """Connects to planners in turn over xDS and keeps tables up to date until `stop`.

    Parameters
    ----------
    zone
        The proxy's own zone.
    observer
        Called when a stream opens ("joined") or ends ("left"), and for each response ("message")
        with the tables in it.

    The other parameters are those of `sasp.SaspClient`; `members` is ignored.
    """

    connection_errors = (
        grpc.aio.AioRpcError,
        RequestRejectedError,
        asyncio.TimeoutError,
        OSError,
        asyncio.CancelledError,
        # Raised by grpcio for a write to a stream whose connection has been refused meanwhile.
        asyncio.InvalidStateError,
    )

    def __init__(
        self,
        proxy_id: str,
        planners: Sequence[Address] | Callable[[], Sequence[Address]],
        tables: Tables,
        members: Sequence[Address] = (),
        response_timeout: float = RESPONSE_TIMEOUT_S,
        connection_lost: Callable[[ClientError], object] | None = None,
        zone: str = "",
        observer: Callable[[str, list[tuple[str, list[TableEntry]]]], object] | None = None,
    ) -> None:
        super().__init__(proxy_id, planners, tables, response_timeout, connection_lost)
        self.localities: dict[Address, Locality] = {}
        self.node = base_pb2.Node(id=proxy_id, locality=base_pb2.Locality(zone=zone))
        self.observer = observer or _ignore_event
        self.channel: grpc.aio.Channel | None = None
        self.stream: Any = None  # the call object of grpcio
        self._counts: dict[tuple[str, Address], RequestCounts] = defaultdict(RequestCounts)

    def _client_error(self, caught: BaseException) -> ClientError:
        if isinstance(caught, RequestRejectedError):
            return caught
        if not isinstance(caught, grpc.aio.AioRpcError):
            stopped_answering = isinstance(caught, (asyncio.TimeoutError, OSError))
            return UnreachableError(
                "the planner stopped answering" if stopped_answering else "the stream was broken"
            )
        details = caught.details() or str(caught.code())
        if caught.code() == grpc.StatusCode.RESOURCE_EXHAUSTED:
            return RequestRejectedError(details)
        # For bytes that are not HTTP/2, grpcio reports the same code as for an unreachable planner.
        malformed = caught.code() == grpc.StatusCode.INTERNAL or "Failed parsing HTTP/2" in details
        return MalformedResponseError(details) if malformed else UnreachableError(details)

    async def _run_session(self, address: Address) -> None:
        channel = self._open_channel(address)
        self.channel = channel
        self.tables.connection_opened()
        session = XdsSession(self.tables, self.localities)
        self.session = session
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        self.stream = stub.DeltaAggregatedResources()
        opening = session.opening_request(self.node)
        await asyncio.wait_for(self.stream.write(opening), self.response_timeout)
        self.observer("joined", [])
        reporter = asyncio.get_running_loop().create_task(self._report_load(channel))
        try:
            while True:
                await self._exchange(session)
        finally:
            self.observer("left", [])
            reporter.cancel()

    def _open_channel(self, address: Address) -> grpc.aio.Channel:
        # Keepalive pings detect a stopped planner; the gRPC library answers them even while the
        # planner is busy. The time-out of one ping is a separate setting of grpcio with a default
        # of a minute: with it, proxies stayed connected to a stopped planner for that long. The
        # ping period adds to the delay. With a period of 2 s and a response time-out of 1 s, drains
        # came too late to proxies of a stopped planner; with a period and a time-out of the whole
        # 1 s, one of 303 proxies had a drain that was 2.2 s old. Hence half the response time-out.
        ping_timeout_ms = round(self.response_timeout * 500)
        return grpc.aio.insecure_channel(
            channel_target(address),
            options=[
                ("grpc.keepalive_time_ms", max(MIN_KEEPALIVE_MS, ping_timeout_ms)),
                ("grpc.http2.max_pings_without_data", 0),
                ("grpc.keepalive_permit_without_calls", 1),
                ("grpc.http2.ping_timeout_ms", ping_timeout_ms),
                ("grpc.keepalive_timeout_ms", ping_timeout_ms),
                ("grpc.use_local_subchannel_pool", 1),
                ("grpc.enable_retries", 0),
            ],
        )

    async def _exchange(self, session: XdsSession) -> None:
        """Receive one response and answer it."""
        # The first response must come within the time-out, unless the proxy already holds all
        # tables. Later on, silence means that nothing has changed.
        complete = all(name in self.tables.versions for name in self.tables.lines)
        due = self.response_timeout if session.awaits_first_response and not complete else None
        response = await asyncio.wait_for(self.stream.read(), due)
        if response is grpc.aio.EOF:
            raise OSError("the planner ended the stream")
        answer = session.on_response(response)
        if answer is None:
            return
        assignments = [read_assignment(resource.resource.value) for resource in response.resources]
        self.observer(
            "message", [(assignment.name, assignment.entries) for assignment in assignments]
        )
        await self.stream.write(answer)

    def count_request(self, name: str, address: Address, succeeded: bool, latency: int) -> None:
        """Count one finished request for the next load report; `latency` is in microseconds."""
        counts = self._counts[name, address]
        if succeeded:
            counts.succeeded += 1
            counts.total_latency += latency
        else:
            counts.failed += 1

    async def _report_load(self, channel: grpc.aio.Channel) -> None:
        try:
            stream = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
            await stream.write(lrs_pb2.LoadStatsRequest(node=self.node))
            response = await stream.read()
            if response is grpc.aio.EOF:
                return
            period = response.load_reporting_interval.ToMicroseconds()
            period_start = self.tables.now()
            while period > 0:
                await asyncio.sleep(period / SECOND)
                now = self.tables.now()
                counts = self._counts
                self._counts = defaultdict(RequestCounts)
                await stream.write(self._load_report(counts, now - period_start))
                period_start = now
        except grpc.aio.AioRpcError:
            # Tables still arrive over the discovery stream; reports resume on the next connection.
            pass

    def _load_report(
        self, counts: dict[tuple[str, Address], RequestCounts], span: int
    ) -> lrs_pb2.LoadStatsRequest:
        """Return the load report of all classes for the last `span` microseconds."""
        request = lrs_pb2.LoadStatsRequest()
        for name in sorted({name for name, _ in counts}):
            stats = request.cluster_stats.add(cluster_name=name)
            stats.load_report_interval.FromMicroseconds(span)
            for (counted_name, address), counted in counts.items():
                if counted_name == name:
                    self._add_server(stats, address, counted)
        return request

    def _add_server(
        self, stats: load_report_pb2.ClusterStats, address: Address, counted: RequestCounts
    ) -> None:
        zone, host_id = self.localities.get(address, Locality("", ""))
        group = stats.upstream_locality_stats.add(
            locality=base_pb2.Locality(zone=zone, sub_zone=host_id),
            total_successful_requests=counted.succeeded,
            total_error_requests=counted.failed,
            total_issued_requests=counted.succeeded + counted.failed,
        )
        if counted.succeeded:
            group.load_metric_stats.append(
                load_report_pb2.EndpointLoadMetricStats(
                    metric_name=LATENCY_METRIC,
                    num_requests_finished_with_metric=counted.succeeded,
                    total_metric_value=counted.total_latency / 1000,
                )
            )

    async def _close(self) -> None:
        channel = self.channel
        self.channel = None
        if channel is not None:
            await channel.close()

    def disconnect(self) -> None:
        """Break the stream as a network failure would; the client then reconnects."""
        if self.stream is not None:
            self.stream.cancel()
