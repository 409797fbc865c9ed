"""A relay that nobody here wrote: the stock gRPC client with an `xds:///` target and a bootstrap, and hosts for it.

`GrpcYard` serves exchanges over gRPC on hosts' ports; `drive` sends them as a client that knows nothing but its bootstrap.
"""

import asyncio
import json
import os

import grpc
from xds.data.orca.v3 import orca_load_report_pb2
from xds.service.orca.v3 import orca_pb2

SECOND = 1_000_000
METHOD = "/exchange.Hosts/"
REPORTS = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics"


class GrpcHost:
    """One host on a port of its own; counts what each relay brings, takes `work` microseconds for each exchange."""

    def __init__(self, now, name, work):
        self.now, self.name, self.work, self.receipts = now, name, work, []
        self.server, self.port, self.hung = (
            grpc.aio.server(options=[("grpc.so_reuseport", 0)]),
            None,
            False,
        )

    async def open(self):
        self.server.add_generic_rpc_handlers([self])
        self.port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()

    async def reports(self, request, context):
        """ORCA reports out of band, at the period that was asked for."""
        while True:
            since = self.now() - SECOND
            lately = [kind for at, relay, kind in self.receipts if at > since]
            report = orca_load_report_pb2.OrcaLoadReport(
                cpu_utilization=0.1, rps_fractional=len(lately) or 1e-9
            )
            report.named_metrics["latency_ms"] = self.work / 1000
            for kind in set(lately):
                report.named_metrics["rps." + kind] = lately.count(kind)
            yield report
            await asyncio.sleep(request.report_interval.ToMicroseconds() / SECOND)

    def service(self, details):
        if details.method == REPORTS:
            return grpc.unary_stream_rpc_method_handler(
                self.reports,
                orca_pb2.OrcaLoadReportRequest.FromString,
                orca_load_report_pb2.OrcaLoadReport.SerializeToString,
            )
        if not details.method.startswith(METHOD):
            return None
        kind = details.method.removeprefix(METHOD)

        async def exchange(request, context):
            begun, told = self.now(), dict(context.invocation_metadata())
            self.receipts.append((begun, told.get("relay", ""), kind))
            await asyncio.sleep(3600 if self.hung else self.work / SECOND)
            report = orca_load_report_pb2.OrcaLoadReport(cpu_utilization=0.1)
            report.named_metrics["took_ms"] = (self.now() - begun) / 1000
            context.set_trailing_metadata(
                [("endpoint-load-metrics-bin", report.SerializeToString())]
            )
            return b""

        return grpc.unary_unary_rpc_method_handler(exchange)


def bootstrap(planner, uid, hall):
    """What a stock client is given: where the planner is, and who it is itself."""
    return json.dumps(
        {
            "xds_servers": [
                {
                    "server_uri": planner,
                    "channel_creds": [{"type": "insecure"}],
                    "server_features": ["xds_v3"],
                }
            ],
            "node": {"id": uid, "locality": {"zone": hall}},
        }
    )


async def drive(planner, uid, hall, names, rate, seconds, concurrency, write, now):
    """Sends `rate` exchanges a second, evenly over the classes, and writes one outcome each. No more than `concurrency` are
    under way: hosts that a slow machine gives too little time are asked less often, rather than later and later.
    """
    os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = bootstrap(planner, uid, hall)
    channels = {name: grpc.aio.insecure_channel(f"xds:///{name}") for name in names}
    calls = {name: channel.unary_unary(METHOD + name) for name, channel in channels.items()}
    tasks, begun, sent, free = set(), now(), 0, asyncio.Semaphore(concurrency)

    async def one(name, nth):
        at, outcome = now(), "ok"
        try:
            await calls[name](
                b"", timeout=5, metadata=[("relay", uid)], wait_for_ready=nth < len(names)
            )
        except grpc.aio.AioRpcError as error:
            outcome = f"{error.code().name}: {error.details()}"
        write({"at": at, "relay": uid, "class": name, "outcome": outcome, "took": now() - at})

    while now() - begun < seconds * SECOND:
        await free.acquire()
        task = asyncio.get_running_loop().create_task(one(names[sent % len(names)], sent))
        tasks.add(task)
        task.add_done_callback(lambda task: (tasks.discard(task), free.release()))
        sent += 1
        await asyncio.sleep(max(0.0, (begun + sent * SECOND / rate - now()) / SECOND))
    await asyncio.gather(*tasks)
    for channel in channels.values():
        await channel.close()
