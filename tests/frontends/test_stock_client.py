"""Tests of gRPC's own xDS client, unmodified, as a proxy of a planner."""

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
    """The stock gRPC client as a proxy.

    The hosts, the planner and its health checks all run in this process, which limits the load that
    it can carry. So the proxies have few requests in flight, and asyncio's debug mode, which costs
    as much as the rest, is off.
    """

    async def asyncSetUp(self):
        """Turn asyncio's debug mode off."""
        asyncio.get_running_loop().set_debug(False)

    async def test_the_stock_client_follows_the_tables_with_only_a_bootstrap_file(self):
        """Its requests follow the weights, and stop in time at a draining host."""
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

            # Shares are measured once both proxies have sent requests of both classes to every
            # host. The planner's health checks do not count.
            def requests(host):
                return [(relay, kind) for _, relay, kind in host.receipts if relay != "planner"]

            await until(lambda: all(len(set(requests(host))) == 4 for host in hosts), 60)
            before = [len(requests(host)) for host in hosts]
            await until(lambda: sum(len(requests(host)) for host in hosts) > sum(before) + 600, 60)
            counts = [
                len(requests(host)) - count for host, count in zip(hosts, before, strict=True)
            ]
            total = sum(counts)
            for nth, count in enumerate(counts):
                share = (2 + 4 * (nth % 2)) / 32
                self.assertAlmostEqual(
                    count / total, share, delta=5 * (share * (1 - share) / total) ** 0.5, msg=counts
                )
            drained_at = now()
            planner.set_host_states(host_1="draining")
            outcomes = [
                json.loads(line)
                for relay in relays
                for line in (await relay.communicate())[0].splitlines()
            ]
            self.assertEqual(Counter(line["outcome"] for line in outcomes), {"ok": len(outcomes)})
            late = [
                at - drained_at
                for at, relay, _ in hosts[1].receipts
                if relay != "planner" and at > drained_at
            ]
            self.assertLess(max(late, default=0), planner.service.settings.deployment.drain_grace)
            # The proxies' load reports have reached the assigner, which gets no other figures of
            # completed requests in this test.
            self.assertGreater(planner.service.frontends[0].reports_counted, 4)
            self.assertTrue(planner.service.planner_host.assigner.admission.fleet.completion_rates)
            # All but possibly the last orders were acknowledged.
            self.assertLessEqual(
                len(planner.service.planner_host.assigner.state.channel.pending_acks), 2
            )

    async def test_stock_clients_lose_only_requests_to_a_hung_host(self):
        """A host hangs while most others are replaced and the planner restarts.

        Each of the three clients runs in a process of its own.
        """
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
            # Two thirds of the hosts are replaced by cold successors at the same time, and the
            # planner restarts meanwhile.
            drained_at = now()
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
            outcomes = [
                json.loads(line)
                for relay in relays
                for line in (await relay.communicate())[0].splitlines()
            ]
            grace = planner.service.settings.deployment.drain_grace
            failed = [line for line in outcomes if line["outcome"] != "ok"]
            outcome_counts = Counter(line["outcome"][:30] for line in outcomes)
            hung = [at for at, relay, _ in hosts[0].receipts if relay != "planner"]
            # All failed requests were sent to the hung host, before it was ejected or before the
            # restarted planner had detected it again. None failed because of drains or the restart.
            self.assertLessEqual(len(failed), len(hung), outcome_counts)
            self.assertEqual(
                [at for at in hung if at > outcomes[-1]["at"] - 3_000_000], [], outcome_counts
            )
            late = [
                (host.name, at - drained_at)
                for host in hosts[3:9]
                for at, relay, _ in host.receipts
                if relay != "planner" and at > drained_at + grace
            ]
            self.assertEqual(late, [])
            self.assertTrue(
                all(any(relay != "planner" for _, relay, _ in host.receipts) for host in hosts[9:])
            )


if __name__ == "__main__":
    unittest.main()
