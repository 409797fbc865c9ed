"""The xDS front's server, on grpcio's asyncio loop: aggregated discovery in both forms, and load reports."""

import asyncio

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc
from envoy.service.load_stats.v3 import lrs_pb2_grpc

from ...planner.weights import scaled
from . import codec, streams

SECOND = 1_000_000


class Connection:
    """One discovery stream: reads requests as they come, writes responses one at a time as they may be written."""

    def __init__(self, front, context, delta):
        self.front, self.context, self.delta = front, context, delta
        self.relay = self.stream = None
        self.wanted, self.outbox, self.task, self.writer = asyncio.Event(), None, None, None

    # What the stream may do.

    def send(self, kind, version, nonce, resources, removed):
        self.outbox = (
            codec.changes(kind, version, nonce, resources, removed)
            if self.delta
            else codec.whole(kind, version, nonce, resources)
        )

    def due(self):
        self.wanted.set()

    def later(self, after, call, *given):
        asyncio.get_running_loop().call_later(after / SECOND, call, *given)

    async def run(self):
        """Until the relay ends the stream, or the planner does."""
        self.task = asyncio.get_running_loop().create_task(self._read())
        ended, why = grpc.StatusCode.UNAVAILABLE, "this relay is spoken to elsewhere now"
        try:
            await asyncio.wait([self.task])
            error = None if self.task.cancelled() else self.task.exception()
            if error is None and not self.task.cancelled():
                return
            if isinstance(error, streams.LimitExceededError):
                ended, why = grpc.StatusCode.RESOURCE_EXHAUSTED, str(error)
                self.front.note("refused", peer=self.relay.uid if self.relay else None, why=why)
            elif error is not None and not isinstance(error, streams.NotLeaderError):
                raise error
        finally:
            self.task.cancel()
            if self.writer is not None:
                self.writer.cancel()
            if self.stream is not None:
                self.front.closed(self.relay, self.stream)
        # Said with a status of its own: a handler that is merely cancelled leaves the relay's stream hanging.
        await self.context.abort(ended, why)

    def end(self):
        self.task.cancel()

    async def _read(self):
        while (request := await self.context.read()) is not grpc.aio.EOF:
            if self.stream is None:
                if (
                    not self.front.joined(request.node)
                    and not await self.front.service.proxies.wait_for_admission()
                ):
                    raise streams.LimitExceededError("too many relays wait to join")
                self.relay = self.front.introduced(request.node)
                self.stream = self.relay.opened(self, self.delta)
                self.writer = asyncio.get_running_loop().create_task(self._write())
            error = (
                request.error_detail.message or "refused without a reason"
                if request.HasField("error_detail")
                else None
            )
            if self.delta:
                self.stream.asked_changes(
                    request.type_url,
                    request.resource_names_subscribe,
                    request.resource_names_unsubscribe,
                    dict(request.initial_resource_versions),
                    request.response_nonce,
                    error,
                )
            else:
                self.stream.asked_whole(
                    request.type_url, request.resource_names, request.response_nonce, error
                )
            # A flood of requests from one relay gives way to the others after each.
            await asyncio.sleep(0)

    async def _write(self):
        while True:
            await self.wanted.wait()
            self.wanted.clear()
            self.relay.take()
            while True:
                allowance = self.front.service.proxies.message_quota(self.relay.uid)
                while wait := allowance.order_wait(self.front.service.now()):
                    await asyncio.sleep(wait / SECOND)
                self.relay.take()  # the newest, after whatever it waited for
                # Answers to subscriptions have a part of the limit: a relay that asks for ever delays no order to it.
                wait = allowance.answer_wait(self.front.service.now())
                kind = self.stream.news(only=(codec.ENDPOINTS,) if wait else codec.KINDS)
                if kind is None:
                    if wait:
                        asyncio.get_running_loop().call_later(wait / SECOND, self.wanted.set)
                    break
                # What answers a subscription is told apart from orders: only endpoints change by themselves.
                allowance.on_written(self.front.service.now(), is_is_answer=kind != codec.ENDPOINTS)
                answer, self.outbox = self.outbox, None
                if not self.front.service.leadership.may_write(self.relay.proxy):
                    # Another may be in charge by now: asked here, for much may have passed since it was made.
                    return self.end()
                await self.context.write(answer)


class XdsFront(
    ads_pb2_grpc.AggregatedDiscoveryServiceServicer, lrs_pb2_grpc.LoadReportingServiceServicer
):
    """`service`: the program around (planner/service.py)."""

    def __init__(self, service, settings):
        stated = settings.frontends["xds"]
        self.service, self.planner_host, self.settings = service, service.planner_host, settings
        self.bounds = streams.Bounds(stated.max_resource_names, stated.max_streams)
        self.most = stated.max_proxies
        self.shelf = streams.ResourceCache(
            self.planner_host,
            self,
            {name: place for place, name in enumerate(settings.class_names)},
            scaled,
        )
        self.known, self.relays = {}, {}  # by id; by proxy
        keep = stated.keepalive_ms
        self.options = [
            ("grpc.max_receive_message_length", stated.max_message_bytes),
            ("grpc.keepalive_time_ms", keep),
            ("grpc.keepalive_timeout_ms", keep),
            ("grpc.so_reuseport", 0),
            ("grpc.http2.min_ping_interval_without_data_ms", 300),
            ("grpc.keepalive_permit_without_calls", 1),
        ]
        self.server, self.bound, self.address, self.reports_read = None, None, None, 0
        self.open, self.turning = True, asyncio.Lock()

    def _serve(self, port):
        self.server = grpc.aio.server(options=self.options)
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, self.server)
        lrs_pb2_grpc.add_LoadReportingServiceServicer_to_server(self, self.server)
        return self.server.add_insecure_port(f"{self.address}:{port}")

    def listen(self, port, address):
        self.address = address
        self.bound = self._serve(port)
        asyncio.get_running_loop().create_task(self._begin())

    async def _begin(self):
        # One turn after the other: grpcio falls over a server that is stopped while it starts.
        async with self.turning:
            await self.server.start()

    def doors(self, open):
        """While another controller is in charge nothing listens here. The stock client stays with an address for as long as
        it accepts connections, however often its streams are ended there; refused, it goes on to the next that it knows.
        """
        self.open = open
        asyncio.get_running_loop().create_task(self._turn())

    async def _turn(self):
        async with self.turning:
            while self.open != (self.server is not None):
                if self.open:
                    try:
                        self._serve(self.bound)
                        await self.server.start()
                    except RuntimeError as error:
                        # Whoever had the socket before may not have let go of it.
                        self.server = None
                        self.note("not listening", front="xds", why=str(error))
                        await asyncio.sleep(0.1)
                else:
                    server, self.server = self.server, None
                    await server.stop(0.05)

    def port(self):
        return self.bound

    def cease(self):
        if self.server is not None:
            asyncio.get_running_loop().create_task(self.server.stop(0))

    # Discovery.

    async def StreamAggregatedResources(self, requests, context):
        await Connection(self, context, False).run()

    async def DeltaAggregatedResources(self, requests, context):
        await Connection(self, context, True).run()

    def joined(self, node):
        """Whether this relay has other streams here already."""
        return codec.place_of(node, self.settings.zone_names)[0] in self.known

    def introduced(self, node):
        uid, hall = codec.place_of(node, self.settings.zone_names)
        relay = self.known.get(uid)
        if relay is not None and self.relays.get(relay.proxy) is relay:
            return relay
        if not uid or len(uid) > 255:
            raise streams.LimitExceededError("a node needs an id of 1 to 255 characters")
        if not self.service.leadership.may_serve(uid, hall):
            raise streams.NotLeaderError("another controller is in charge")
        proxy = (
            self.service.proxies.proxy_index(uid.encode()) if len(self.known) < self.most else None
        )
        if proxy is None:
            raise streams.LimitExceededError("too many relays")
        relay = self.known[uid] = self.relays[proxy] = streams.Relay(
            uid, proxy, self.shelf, self.planner_host, self, self.bounds
        )
        self.service.proxies.on_proxy_joined(self, proxy, uid, hall)
        return relay

    def closed(self, relay, stream):
        relay.closed(stream)
        if not relay.streams and self.relays.get(relay.proxy) is relay:
            del self.relays[relay.proxy], self.known[relay.uid]
            self.service.proxies.on_proxy_left(self, relay.proxy)

    def replaced(self, proxy):
        """The relay speaks through another front now: its streams here are told nothing more."""
        relay = self.relays.pop(proxy, None)
        if relay is not None:
            self.known.pop(relay.uid, None)
            for stream in relay.streams:
                stream.line.end()

    # Load reports.

    async def StreamLoadStats(self, requests, context):
        mine, relay, places = object(), None, self.shelf.classes
        try:
            while (request := await context.read()) is not grpc.aio.EOF:
                if relay is None:
                    # A relay may open this before any discovery stream; its reports count from when it has joined.
                    uid = request.node.id
                    await context.write(
                        codec.asking_reports(self.settings.deployment.report_period)
                    )
                    relay = uid
                known = self.known.get(relay)
                for name, span, refused, met in codec.reports_in(request):
                    if known is not None and name in places:
                        self.reports_read += self.service.proxies.on_proxy_report(
                            known.proxy,
                            places[name],
                            span,
                            # What was issued and has not ended is neither good nor bad yet: a hung host would look well.
                            [
                                (host, good + failed, failed, took)
                                for host, _, _, good, failed, took in met
                            ],
                            refused,
                            mine,
                        )
                await asyncio.sleep(0)
        finally:
            self.service.demand_aggregator.on_stream_ended(mine)

    # What the service and streams ask.

    def due(self, proxy):
        relay = self.relays.get(proxy)
        if relay is not None:
            relay.due()

    def standing_of(self, places):
        """Nothing is told but by tables and withdrawals, which the planner_host tells of."""

    def host(self, server):
        return self.service.endpoints.endpoint_of(server)

    def refused(self, uid, name, version):
        self.service.leadership.on_content_rejected(uid, name, version)

    def refusals(self, uid):
        return self.service.leadership.rejected_content(uid)

    def epoch(self, proxy):
        return self.service.leadership.lease_epoch(self.service.proxies.zone_of.get(proxy, 0)) or 0

    def note(self, event, **facts):
        self.service.note(event, front="xds", **facts)
