"""Keeps a relay's tables up to date over xDS, incremental form, and reports what it met (LRS), on grpcio's loop."""

import asyncio
import ipaddress

import grpc
import xxhash
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_pb2, load_report_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc

from .dialling import SECOND, Dialling
from .tables import Malfunction, RejectedError, Unreachable

KIND = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
DRAINING = 3  # of envoy.config.core.v3.HealthStatus
WHOLE = (None, 0, True, True)  # of nobody: says that what stands beside it is a whole table
PARTS = {0: 100, 1: 10_000, 2: 1_000_000}


def target(place):
    """Where a channel leads, named so that an address in figures is not looked up first."""
    address, port = place
    try:
        kind = f"ipv{ipaddress.ip_address(address).version}:"
    except ValueError:
        kind = "dns:"
    return f"{kind}[{address}]:{port}" if ":" in address else f"{kind}{address}:{port}"


def read(data):
    """(class, [(place, weight, sure, out)], part let in, {place: (hall, host's id)}) of one assignment."""
    assignment = endpoint_pb2.ClusterLoadAssignment.FromString(data)
    entries, names, level = [], {}, 1.0
    for group in assignment.endpoints:
        for point in group.lb_endpoints:
            at = point.endpoint.address.socket_address
            place = at.address, at.port_value
            weight = point.load_balancing_weight.value or group.load_balancing_weight.value
            entries.append((place, weight, True, point.health_status == DRAINING))
            names[place] = group.locality.zone, group.locality.sub_zone
    for dropped in assignment.policy.drop_overloads:
        level *= 1 - dropped.drop_percentage.numerator / PARTS[dropped.drop_percentage.denominator]
    return assignment.cluster_name, entries, level, names


class Talk:
    """One stream as the relay sees it, free of I/O: what it holds, what came, what it answers."""

    def __init__(self, tables, names):
        self.tables, self.names = tables, names
        self.brought, self.waiting, self.newest = False, True, (0, 0)

    def opening(self, node):
        return discovery_pb2.DeltaDiscoveryRequest(
            node=node,
            type_url=KIND,
            resource_names_subscribe=sorted(self.tables.lines),
            initial_resource_versions=self.tables.versions,
        )

    def read(self, response):
        """Takes a response; the request that acknowledges or refuses it, or None for one that came before."""
        self.waiting = False
        epoch, _, serial = response.system_version_info.partition(".")
        epoch, serial = (
            int(part) if part.isascii() and part.isdigit() else 0 for part in (epoch, serial)
        )
        if epoch < self.tables.epoch:
            # A controller that was replaced and does not know it: nothing of it may take effect.
            raise RejectedError(
                f"an order under epoch {epoch}, {self.tables.epoch} was seen", epoch
            )
        self.tables.epoch = epoch
        if serial and (epoch, serial) <= self.newest:
            return None  # twice, or after one that was made later: what it says has been said
        self.newest = epoch, serial
        answer = discovery_pb2.DeltaDiscoveryRequest(type_url=KIND, response_nonce=response.nonce)
        taken = []
        try:
            if response.type_url != KIND:
                raise ValueError(f"{response.type_url} was not asked for")
            for resource in response.resources:
                name, *rest = read(resource.resource.value)
                if name not in self.tables.lines or name != resource.name:
                    raise ValueError(f"{resource.name!r} was not asked for")
                if resource.version != xxhash.xxh3_64_hexdigest(resource.resource.value):
                    raise ValueError(f"{resource.name!r} is not what its version says")
                taken.append((resource.version, name, *rest))
        except (
            Exception
        ) as error:  # whatever the bytes hold: the last good tables stay, and the planner is told
            answer.error_detail.code, answer.error_detail.message = (
                3,
                f"{type(error).__name__}: {error}"[:500],
            )
            return answer
        for version, name, entries, level, names in taken:
            self.brought = True
            # An assignment is the whole of a table: who is not in it is out of it.
            self.tables.confirmed.discard(name)
            self.tables.told(name, [WHOLE, *entries])
            self.tables.level_set(name, level)
            self.tables.versions[name] = version
            self.names.update(names)
        return answer


class XdsClient(Dialling):
    """The same interface as `sasp.SaspClient`; `hall`: the relay's own. `report_to` takes exchanges' outcomes."""

    # grpcio has the last for a write on a stream whose connection was refused meanwhile.
    losses = (
        grpc.aio.AioRpcError,
        RejectedError,
        asyncio.TimeoutError,
        OSError,
        asyncio.CancelledError,
        asyncio.InvalidStateError,
    )

    def __init__(
        self, uid, planners, tables, members=(), patience=3.0, failed=None, hall="", witness=None
    ):
        super().__init__(uid, planners, tables, patience, failed)
        self.uid, self.names, self.channel = uid, {}, None
        self.node = base_pb2.Node(id=uid, locality=base_pb2.Locality(zone=hall))
        self.witness = witness or (
            lambda what, tables: None
        )  # hears of each stream and each message
        self.met = {}  # (class, place): [succeeded, failed, time]

    @staticmethod
    def _error(caught):
        if isinstance(caught, RejectedError):
            return caught
        if not isinstance(caught, grpc.aio.AioRpcError):
            stopped = isinstance(caught, (asyncio.TimeoutError, OSError))
            return Unreachable(
                "the planner stopped answering" if stopped else "the stream was broken"
            )
        details = caught.details() or str(caught.code())
        if caught.code() == grpc.StatusCode.RESOURCE_EXHAUSTED:
            return RejectedError(details)
        # For bytes that are no HTTP/2 the library has the code of a planner that can't be reached, and words.
        nonsense = caught.code() == grpc.StatusCode.INTERNAL or "Failed parsing HTTP/2" in details
        return (Malfunction if nonsense else Unreachable)(details)

    async def _follow(self, place):
        # Keepalive finds a planner that stands still, by pings that its library answers. How long one may take is a
        # setting of its own in grpcio, a minute if left out: a stopped planner was held on to for that long. The period
        # counts as well: at 2 s beside a patience of 1 s, drains came too late to those that followed a stopped one. A ping is
        # answered by the library's own thread however busy the planner is, so half of the patience is long; a whole one
        # after 1 s left one of 303 relays with a drain that was 2.2 s old.
        self.channel = grpc.aio.insecure_channel(
            target(place),
            options=[
                ("grpc.keepalive_time_ms", max(1000, round(self.patience * 500))),
                ("grpc.http2.max_pings_without_data", 0),
                ("grpc.keepalive_permit_without_calls", 1),
                ("grpc.http2.ping_timeout_ms", round(self.patience * 500)),
                ("grpc.keepalive_timeout_ms", round(self.patience * 500)),
                ("grpc.use_local_subchannel_pool", 1),
                ("grpc.enable_retries", 0),
            ],
        )
        self.tables.opened()
        talk = self.talk = Talk(self.tables, self.names)
        self.stream = ads_pb2_grpc.AggregatedDiscoveryServiceStub(
            self.channel
        ).DeltaAggregatedResources()
        await asyncio.wait_for(self.stream.write(talk.opening(self.node)), self.patience)
        self.witness("joined", [])
        reporter = asyncio.get_running_loop().create_task(self._report())
        try:
            while True:
                # The first answer is due within patience; afterwards silence means that nothing changed.
                held = all(name in self.tables.versions for name in self.tables.lines)
                due = self.patience if talk.waiting and not held else None
                response = await asyncio.wait_for(self.stream.read(), due)
                if response is grpc.aio.EOF:
                    raise OSError("the planner ended the stream")
                answer = talk.read(response)
                if answer is None:
                    continue
                self.witness(
                    "message",
                    [read(resource.resource.value)[:2] for resource in response.resources],
                )
                await self.stream.write(answer)
        finally:
            self.witness("left", [])
            reporter.cancel()

    def report(self, name, place, good, took):
        """One exchange that was sent, for the next load report; `took` in microseconds."""
        held = self.met.setdefault((name, place), [0, 0, 0])
        held[0 if good else 1] += 1
        held[2] += took if good else 0

    async def _report(self):
        try:
            stream = lrs_pb2_grpc.LoadReportingServiceStub(self.channel).StreamLoadStats()
            await stream.write(lrs_pb2.LoadStatsRequest(node=self.node))
            asked = await stream.read()
            period = (
                asked.load_reporting_interval.ToMicroseconds() if asked is not grpc.aio.EOF else 0
            )
            began = self.tables.now()
            while period > 0:
                await asyncio.sleep(period / SECOND)
                now, met, self.met = self.tables.now(), self.met, {}
                await stream.write(self._stats(met, now - began))
                began = now
        except grpc.aio.AioRpcError:
            pass  # tables matter more than reports: these go on with the next connection

    def _stats(self, met, span):
        request = lrs_pb2.LoadStatsRequest()
        for name in sorted({name for name, _ in met}):
            stats = request.cluster_stats.add(cluster_name=name)
            stats.load_report_interval.FromMicroseconds(span)
            for (kind, place), (good, failed, took) in met.items():
                if kind == name:
                    hall, host = self.names.get(place, ("", ""))
                    group = stats.upstream_locality_stats.add(
                        locality=base_pb2.Locality(zone=hall, sub_zone=host),
                        total_successful_requests=good,
                        total_error_requests=failed,
                        total_issued_requests=good + failed,
                    )
                    if good:
                        group.load_metric_stats.append(
                            load_report_pb2.EndpointLoadMetricStats(
                                metric_name="took_ms",
                                num_requests_finished_with_metric=good,
                                total_metric_value=took / 1000,
                            )
                        )
        return request

    async def _close(self):
        channel, self.channel = self.channel, None
        if channel is not None:
            await channel.close()

    def drop(self):
        """Breaks the stream, as a network might; the client dials again."""
        if self.stream is not None:
            self.stream.cancel()
