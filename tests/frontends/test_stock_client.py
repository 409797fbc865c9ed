"""Clients that nobody here wrote, as proxies of a planner over xDS."""

import asyncio
import json
import time
import unittest
from collections import Counter

from support import Planner, now, start_stock_client, until

from indigodeck.planner.planner_settings import PlannerSettings
from indigodeck.serve import start_planner_service
from indigodeck.testbed.grpc_host import GrpcHost


class StockClientTest(unittest.IsolatedAsyncioTestCase):
    """gRPC's own client as a proxy.

    Hosts, planner and health checks share this process with what it can carry on this machine:
    proxies have few requests in flight, and asyncio's debug mode, which costs as much, is off.
    """

    async def asyncSetUp(self):
        """Turn asyncio's debug mode off."""
        asyncio.get_running_loop().set_debug(False)

    async def test_the_stock_client_follows_the_tables_with_a_bootstrap_alone(self):
        """Its requests follow the weights, and leave a draining host in time."""
        hosts = [GrpcHost(now, f"host-{nth}", 5_000) for nth in range(8)]
        for host in hosts:
            await host.open()
            self.addAsyncCleanup(host.server.stop, 0)
        planner = Planner(hosts=0, reports={"over": "grpc"})
        planner.document["fronts"] = {"xds": {"address": "127.0.0.1", "port": 0}}
        for nth, host in enumerate(hosts):
            planner.hosts[host.name] = {
                "port": host.port,
                "weight": 2 + 4 * (nth % 2),
                "hall": f"hall-{'abc'[nth % 3]}",
            }
        planner.set_host_states()
        async with planner:
            relays = [
                await start_stock_client(
                    f"127.0.0.1:{planner.port}",
                    f"hall-a/r{nth}",
                    ["reading", "setpoint"],
                    hall="hall-a",
                    rate=150,
                    concurrency=16,
                    seconds=7,
                )
                for nth in range(2)
            ]

            # Shares count from when both are connected to every host, in both classes; the
            # planner's health checks are not of them.
            def brought(host):
                return [(relay, kind) for _, relay, kind in host.receipts if relay != "planner"]

            await until(lambda: all(len(set(brought(host))) == 4 for host in hosts), 60)
            before = [len(brought(host)) for host in hosts]
            await until(lambda: sum(len(brought(host)) for host in hosts) > sum(before) + 600, 60)
            counts = [len(brought(host)) - met for host, met in zip(hosts, before, strict=True)]
            total = sum(counts)
            for nth, count in enumerate(counts):
                share = (2 + 4 * (nth % 2)) / 32
                self.assertAlmostEqual(
                    count / total, share, delta=5 * (share * (1 - share) / total) ** 0.5, msg=counts
                )
            drained = now()
            planner.set_host_states(host_1="draining")
            said = [
                json.loads(line)
                for relay in relays
                for line in (await relay.communicate())[0].splitlines()
            ]
            self.assertEqual(Counter(line["outcome"] for line in said), {"ok": len(said)})
            late = [
                at - drained
                for at, relay, _ in hosts[1].receipts
                if relay != "planner" and at > drained
            ]
            self.assertLess(max(late, default=0), planner.service.settings.deployment.drain_grace)
            # Their load reports reached the assigner: it is told of nothing else here.
            self.assertGreater(planner.service.frontends[0].reports_counted, 4)
            self.assertTrue(planner.service.planner_host.assigner.admission.fleet.completion_rates)
            # The last orders were acknowledged.
            self.assertLessEqual(
                len(planner.service.planner_host.assigner.state.channel.pending_acks), 2
            )

    async def test_stock_clients_in_several_processes_on_a_bad_day(self):
        """A hang, a release and a restart at once lose only what went to the hung host."""
        hosts = [GrpcHost(now, f"host-{nth}", 5_000) for nth in range(15)]
        for host in hosts:
            await host.open()
            self.addAsyncCleanup(host.server.stop, 0)
        planner = Planner(
            hosts=0,
            reports={"over": "grpc", "period_ms": 500, "probes_per_s": 60, "probes_at_once": 40},
        )
        planner.document["fronts"] = {"xds": {"address": "127.0.0.1", "port": 0}}
        planner.document["rules"]["cold_ms"] = 4000
        for host in hosts[:9]:
            planner.hosts[host.name] = {"port": host.port}
        planner.set_host_states()
        async with planner:
            planner.service.health_checker.timeout = 1_000_000
            planner.document["fronts"]["xds"]["port"] = planner.port
            relays = [
                await start_stock_client(
                    f"127.0.0.1:{planner.port}",
                    f"hall-{hall}/r",
                    ["reading", "setpoint"],
                    rate=80,
                    seconds=15,
                    concurrency=32,
                )
                for hall in "abc"
            ]
            await until(
                lambda: all(
                    len({relay for _, relay, _ in host.receipts} - {"planner"}) == 3
                    for host in hosts[:9]
                ),
                60,
            )
            hosts[0].hangs = True
            await until(
                lambda: (
                    not any(0 in lines for lines in planner.service.planner_host.tables.values())
                ),
                10,
            )
            # Two thirds are replaced by cold successors at once, and the planner restarts amid it.
            drained = now()
            for host in hosts[9:]:
                planner.hosts[host.name] = {
                    "port": host.port,
                    "started_ms": int(time.time() * 1000),
                }
            planner.set_host_states(**{f"host_{nth}": "draining" for nth in range(3, 9)})
            await until(lambda: len(planner.service.planner_host.ejected_servers) == 6)
            planner.service.close()
            await asyncio.sleep(0.5)
            planner.service = start_planner_service(
                PlannerSettings(planner.document, planner.folder.name)
            )
            planner.service.health_checker.timeout = 1_000_000
            said = [
                json.loads(line)
                for relay in relays
                for line in (await relay.communicate())[0].splitlines()
            ]
            grace = planner.service.settings.deployment.drain_grace
            lost = [line for line in said if line["outcome"] != "ok"]
            outcomes = Counter(line["outcome"][:30] for line in said)
            hung = [at for at, relay, _ in hosts[0].receipts if relay != "planner"]
            # What failed was sent to the hung host, before it was ejected and before the restarted
            # planner had found it anew; nothing failed for drains or the restart.
            self.assertLessEqual(len(lost), len(hung), outcomes)
            self.assertEqual([at for at in hung if at > said[-1]["at"] - 3_000_000], [], outcomes)
            late = [
                (host.name, at - drained)
                for host in hosts[3:9]
                for at, relay, _ in host.receipts
                if relay != "planner" and at > drained + grace
            ]
            self.assertEqual(late, [])
            self.assertTrue(
                all(any(relay != "planner" for _, relay, _ in host.receipts) for host in hosts[9:])
            )


if __name__ == "__main__":
    unittest.main()
