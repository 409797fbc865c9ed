"""Tests of the SASP and the xDS frontend side by side on one planner."""

import asyncio
import unittest

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from support import Planner, now, until

from indigodeck.client import Tables
from indigodeck.client.sasp import SaspClient
from indigodeck.client.xds import XdsClient
from indigodeck.frontends.xds.codec import ENDPOINTS
from indigodeck.planner.planner_settings import PlannerSettings
from indigodeck.serve import start_planner_service


class BothFrontendsTest(unittest.IsolatedAsyncioTestCase):
    """A planner that serves proxies over both frontends."""

    def planner(self, hosts=6, **options):
        """Return a planner with both frontends."""
        planner = Planner(hosts=hosts, **options)
        planner.document["fronts"] = {
            protocol: {"address": "127.0.0.1", "port": 0} for protocol in ("sasp", "xds")
        }
        planner.set_host_states()
        return planner

    def start_client(self, planner, protocol, proxy_id):
        """Start a client of one protocol; return its tables, itself, its task and its errors."""
        tables, errors = Tables(["reading", "setpoint"], now), []
        frontends = dict(
            zip(planner.service.settings.frontends, planner.service.frontends, strict=True)
        )
        client = {"sasp": SaspClient, "xds": XdsClient}[protocol](
            proxy_id,
            lambda: [("127.0.0.1", frontends[protocol].port())],
            tables,
            connection_lost=errors.append,
        )
        client.backoff.first_delay, client.backoff.max_delay = 50_000, 400_000
        return tables, client, asyncio.get_running_loop().create_task(client.run()), errors

    async def test_one_id_over_both_protocols_is_one_proxy_and_the_newest_connection_is_kept(self):
        """The older of two connections with the same id is ended."""
        async with self.planner() as planner:
            sasp = self.start_client(planner, "sasp", "hall-a/r1")
            await until(lambda: len(sasp[0].lines["reading"]) == 6)
            xds = self.start_client(planner, "xds", "hall-a/r1")
            await until(lambda: xds[0].versions and sasp[3])
            self.assertEqual(len(planner.service.planner_host.updates.by_proxy), 1)
            sasp[1].stop()
            planner.set_host_states(host_3="draining")
            await until(lambda: len(xds[0].lines["reading"]) == 5)
            xds[1].stop()
            await asyncio.gather(sasp[2], xds[2])

    async def test_a_flood_of_requests_from_one_proxy_does_not_delay_the_others(self):
        """Messages to the flooding proxy stay within the limit; others get drains in time."""
        async with self.planner() as planner:
            tables, client, task, _ = self.start_client(planner, "xds", "hall-b/r2")
            await until(lambda: len(tables.lines["reading"]) == 6)
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{planner.service.frontends[1].port()}")
            stream = ads_pb2_grpc.AggregatedDiscoveryServiceStub(
                channel
            ).StreamAggregatedResources()
            flooding = True

            async def flood():
                nth = 0
                while flooding:
                    nth += 1
                    await stream.write(
                        discovery_pb2.DiscoveryRequest(
                            node=base_pb2.Node(id="hall-a/flood"),
                            type_url=ENDPOINTS,
                            response_nonce="",
                            resource_names=[("reading", "setpoint", f"n{nth}")[nth % 3]],
                        )
                    )

            flooder = asyncio.get_running_loop().create_task(flood())
            for nth in range(3):
                planner.set_host_states(**{f"host_{nth}": "draining"})
                await until(lambda left=5 - nth: len(tables.lines["reading"]) == left)
            flooding = False
            await flooder
            written = planner.service.proxies.message_quota("hall-a/flood").written
            self.assertLessEqual(len(written), planner.service.settings.message_limits.max_messages)
            # A subscription to too many names ends the stream with a status that states the reason.
            with self.assertRaises(grpc.aio.AioRpcError) as caught:
                await stream.write(
                    discovery_pb2.DiscoveryRequest(
                        type_url=ENDPOINTS, resource_names=[f"n{nth}" for nth in range(999)]
                    )
                )
                while await stream.read() is not grpc.aio.EOF:
                    pass
                raise _rpc_error(stream, await stream.code(), await stream.details())
            self.assertEqual(caught.exception.code(), grpc.StatusCode.RESOURCE_EXHAUSTED)
            await channel.close()
            client.stop()
            await task

    async def test_after_a_planner_restart_all_proxies_reconnect_and_never_have_an_empty_table(
        self,
    ):
        """No table is ever empty, and the limits of messages and waiting lines hold."""
        emptied, proxy_count = [], 24
        async with self.planner(hosts=12) as planner:
            clients = [
                self.start_client(
                    planner, ("sasp", "xds")[nth % 2], f"hall-{'abc'[nth % 3]}/r{nth}"
                )
                for nth in range(proxy_count)
            ]
            await until(
                lambda: all(len(tables.lines["setpoint"]) >= 4 for tables, *_ in clients), 20
            )
            for tables, *_ in clients:
                tables.changed = lambda name, tables=tables: (
                    tables.lines[name] or emptied.append(name)
                )
            planner.service.close()
            await asyncio.sleep(0.3)
            planner.service = start_planner_service(
                PlannerSettings(planner.document, planner.folder.name)
            )
            for _, client, *_ in clients:
                frontend = planner.service.frontends[isinstance(client, XdsClient)]
                client.planners = lambda frontend=frontend: [("127.0.0.1", frontend.port())]
            await until(lambda: len(planner.service.proxies.frontend_of) == proxy_count, 20)
            planner.set_host_states(host_5="draining")
            await until(
                lambda: all(
                    ("127.0.0.1", 9005) not in tables.lines["reading"] for tables, *_ in clients
                ),
                10,
            )
            service = planner.service
            settings = service.settings
            self.assertEqual(emptied, [])
            self.assertLess(
                service.planner_host.updates.peak_waiting_lines,
                settings.deployment.channel.max_waiting_lines,
            )
            self.assertLessEqual(
                max(len(quota.written) for quota in service.proxies.message_quotas.values()),
                settings.message_limits.max_messages,
            )
            for _, client, *_ in clients:
                client.stop()
            await asyncio.gather(*(task for _, _, task, _ in clients))


def _rpc_error(call, code, details):
    """Return the error that grpcio raises for a status."""
    return grpc.aio.AioRpcError(code, None, None, details)


if __name__ == "__main__":
    unittest.main()
