"""The xDS frontend: a grpcio asyncio server for aggregated discovery and load reports."""

import asyncio
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc
from envoy.service.load_stats.v3 import lrs_pb2_grpc

from ...errors import LimitExceededError
from ...planner.planner_settings import PlannerSettings, XdsFrontendSettings
from ...planner.service import PlannerService
from ...planner.weights import scale_weights
from . import codec
from .connection import Connection
from .proxies import Bounds, NotLeaderError, XdsProxy
from .resources import ResourceCache
from .streams import Stream

FRONTEND_NAME = "xds"
MAX_PROXY_ID_CHARACTERS = 255
MIN_PING_INTERVAL_MS = 300  # clients that ping more often are disconnected
STOP_GRACE_S = 0.05  # for streams to end by themselves when another controller takes over
LISTEN_RETRY_S = 0.1


class XdsFrontend(
    ads_pb2_grpc.AggregatedDiscoveryServiceServicer, lrs_pb2_grpc.LoadReportingServiceServicer
):
    """Serves proxies over xDS (`planner.proxy_sessions.Frontend`).

    It also implements the interfaces that their streams use (`proxies.XdsEnvironment` and
    `resources.EndpointLookup`).
    """

    def __init__(self, service: PlannerService, settings: PlannerSettings) -> None:
        own_settings = settings.frontends[FRONTEND_NAME]
        assert isinstance(own_settings, XdsFrontendSettings)
        self.service = service
        self.planner_host = service.planner_host
        self.settings = settings
        self.bounds = Bounds(own_settings.max_resource_names, own_settings.max_streams)
        self.max_proxies = own_settings.max_proxies
        self.cache = ResourceCache(
            self.planner_host,
            self,
            {name: index for index, name in enumerate(settings.class_names)},
            scale_weights,
        )
        self.reports_counted = 0
        self._proxies_by_id: dict[str, XdsProxy] = {}
        self._proxies: dict[int, XdsProxy] = {}
        self._options = [
            ("grpc.max_receive_message_length", own_settings.max_message_bytes),
            ("grpc.keepalive_time_ms", own_settings.keepalive_ms),
            ("grpc.keepalive_timeout_ms", own_settings.keepalive_ms),
            ("grpc.so_reuseport", 0),
            ("grpc.http2.min_ping_interval_without_data_ms", MIN_PING_INTERVAL_MS),
            ("grpc.keepalive_permit_without_calls", 1),
        ]
        self._server: grpc.aio.Server | None = None
        self._address = ""
        self._bound_port = 0
        self._accepting = True
        # Held while a server starts or stops: grpcio fails if a server is stopped while it starts.
        self._switch_lock = asyncio.Lock()

    # The interface for the planner service (`planner.proxy_sessions.Frontend`).

    def listen(self, port: int, address: str) -> None:
        """Open the socket, and start to serve."""
        self._address = address
        self._server, self._bound_port = self._make_server(port)
        asyncio.get_running_loop().create_task(self._start(self._server))

    def _make_server(self, port: int) -> tuple[grpc.aio.Server, int]:
        server = grpc.aio.server(options=self._options)
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, server)
        lrs_pb2_grpc.add_LoadReportingServiceServicer_to_server(self, server)
        return server, server.add_insecure_port(f"{self._address}:{port}")

    async def _start(self, server: grpc.aio.Server) -> None:
        async with self._switch_lock:
            await server.start()

    def port(self) -> int:
        """Return the port of the open socket."""
        return self._bound_port

    def set_accepting(self, accepting: bool) -> None:
        """Open the socket, or close it while another controller leads.

        The stock gRPC client keeps to an address as long as that accepts connections, even if its
        streams are ended each time. It tries the next address only if a connection is refused.
        """
        self._accepting = accepting
        asyncio.get_running_loop().create_task(self._switch())

    async def _switch(self) -> None:
        async with self._switch_lock:
            while self._accepting != (self._server is not None):
                if self._accepting:
                    await self._listen_again()
                else:
                    await self._stop_listening()

    async def _listen_again(self) -> None:
        try:
            self._server, _ = self._make_server(self._bound_port)
            await self._server.start()
        except RuntimeError as error:
            # The port may not have been released yet by its previous owner.
            self._server = None
            # Known bug, left as it is for now (docs/ROADMAP.md): `log_event` also passes
            # `frontend`, so this call raises TypeError and the attempts end.
            self.log_event("listen_failed", frontend=FRONTEND_NAME, reason=str(error))
            await asyncio.sleep(LISTEN_RETRY_S)

    async def _stop_listening(self) -> None:
        server = self._server
        self._server = None
        if server is not None:
            await server.stop(STOP_GRACE_S)

    def request_write(self, proxy: int) -> None:
        """Request a write on all streams of a proxy that has pending updates."""
        connected = self._proxies.get(proxy)
        if connected is not None:
            connected.request_write()

    def disconnect_proxy(self, proxy: int) -> None:
        """End the streams of a proxy that is no longer served over them."""
        connected = self._proxies.pop(proxy, None)
        if connected is not None:
            self._proxies_by_id.pop(connected.proxy_id, None)
            for stream in connected.streams:
                stream.connection.end()

    def on_servers_changed(self, addresses: list[tuple[str, int]]) -> None:
        """Do nothing, as only tables and ejections are sent, and the planner host reports those."""

    def close(self) -> None:
        """Close the socket and all streams."""
        if self._server is not None:
            asyncio.get_running_loop().create_task(self._server.stop(0))

    # The names of these methods are given by the xDS services.

    async def StreamAggregatedResources(self, requests: Any, context: Any) -> None:  # noqa: N802 as in xDS
        """Serve one state-of-the-world stream."""
        await Connection(self, context, False).run()

    async def DeltaAggregatedResources(self, requests: Any, context: Any) -> None:  # noqa: N802 as in xDS
        """Serve one incremental stream."""
        await Connection(self, context, True).run()

    def is_connected(self, node: base_pb2.Node) -> bool:
        """Return whether a proxy already has streams on this frontend."""
        return node.id in self._proxies_by_id

    def proxy_of(self, node: base_pb2.Node) -> XdsProxy:
        """Return the proxy of a node. At its first stream the proxy joins.

        Raises
        ------
        LimitExceededError
            If the node id is missing or too long, or there are too many proxies.
        NotLeaderError
            If another controller leads the proxy's relay group.
        """
        proxy_id, zone = codec.node_identity(node, self.settings.zone_names)
        connected = self._proxies_by_id.get(proxy_id)
        if connected is not None and self._proxies.get(connected.index) is connected:
            return connected
        if not proxy_id or len(proxy_id) > MAX_PROXY_ID_CHARACTERS:
            raise LimitExceededError(
                f"the node id must have 1 to {MAX_PROXY_ID_CHARACTERS} characters"
            )
        if not self.service.leadership.may_serve(proxy_id, zone):
            raise NotLeaderError("another controller leads this relay group")
        index = None
        if len(self._proxies_by_id) < self.max_proxies:
            index = self.service.proxies.proxy_index(proxy_id.encode())
        if index is None:
            raise LimitExceededError("too many relays are connected or known")
        proxy = XdsProxy(proxy_id, index, self.cache, self.planner_host, self, self.bounds)
        self._proxies_by_id[proxy_id] = proxy
        self._proxies[index] = proxy
        self.service.proxies.on_proxy_joined(self, index, proxy_id, zone)
        return proxy

    def on_stream_closed(self, proxy: XdsProxy, stream: Stream) -> None:
        """Remove a stream that has ended; a proxy without streams has left."""
        proxy.streams.remove(stream)
        if not proxy.streams and self._proxies.get(proxy.index) is proxy:
            del self._proxies[proxy.index]
            del self._proxies_by_id[proxy.proxy_id]
            self.service.proxies.on_proxy_left(self, proxy.index)

    async def StreamLoadStats(self, requests: Any, context: Any) -> None:  # noqa: N802 as in xDS
        """Receive the load reports of a proxy.

        A proxy may open this stream before any discovery stream; reports that arrive before it has
        joined are ignored.
        """
        stream_key = object()
        proxy_id: str | None = None
        try:
            while (request := await context.read()) is not grpc.aio.EOF:
                if proxy_id is None:
                    proxy_id = request.node.id
                    period = self.settings.deployment.report_period
                    await context.write(codec.load_report_request(period))
                proxy = self._proxies_by_id.get(proxy_id)
                if proxy is not None:
                    self._take_report(proxy, request, stream_key)
                await asyncio.sleep(0)
        finally:
            self.service.demand_aggregator.on_stream_ended(stream_key)

    def _take_report(self, proxy: XdsProxy, request: Any, stream_key: object) -> None:
        for report in codec.read_load_report(request):
            class_index = self.cache.class_indices.get(report.name)
            if class_index is None:
                continue
            # Requests still in flight are left out: counted as issued, but not as failed, they
            # would make a hung host look healthy.
            figures = [
                (
                    server.host_id,
                    server.succeeded + server.failed,
                    server.failed,
                    server.mean_latency,
                )
                for server in report.servers
            ]
            self.reports_counted += self.service.proxies.on_proxy_report(
                proxy.index, class_index, report.span, figures, report.rejected, stream_key
            )

    # The interface for streams (`proxies.XdsEnvironment`, `resources.EndpointLookup`).

    def endpoint_of(self, server: int) -> tuple[str, str, str, int] | None:
        """Return a server's zone, id, address and port, or None if it was never listed."""
        return self.service.endpoints.endpoint_of(server)

    def on_content_rejected(self, proxy_id: str, class_name: str, version: str) -> None:
        """Record that a proxy rejected a version of the endpoints of a class."""
        self.service.leadership.on_content_rejected(proxy_id, class_name, version)

    def rejected_content(self, proxy_id: str) -> dict[str, str]:
        """Return the versions, by class, that a proxy rejected, whichever controller sent them."""
        return self.service.leadership.rejected_content(proxy_id)

    def lease_epoch(self, proxy: int) -> int:
        """Return the epoch of the lease under which orders are sent, or 0 without leases."""
        zone = self.service.proxies.zone_of.get(proxy, 0)
        return self.service.leadership.lease_epoch(zone) or 0

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log, with the name of this frontend."""
        self.service.log_event(event, frontend=FRONTEND_NAME, **fields)
