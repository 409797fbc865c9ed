"""The planner beside hosts that hang and a list service that fails, over sockets."""

import asyncio
import os
import unittest

from support import Planner, ports, until

from indigodeck.clock import now
from indigodeck.testbed.discovery_server import DiscoveryServer
from indigodeck.testbed.host_model import HostSettings
from indigodeck.testbed.host_pool import HostPool


class HostsAndListService(unittest.IsolatedAsyncioTestCase):
    """A planner in this process that learns of its hosts over HTTP."""

    async def test_a_hung_host_loses_its_weight_within_three_periods_and_returns_slowly(self):
        """It takes no share while it hangs, and a smaller one at first after."""
        with open(os.devnull, "w") as nowhere:
            settings = HostSettings(cores=4, slots=8, queue_limit=16)
            pool = HostPool(now, nowhere, {"reading": 20_000, "setpoint": 20_000})
            async with Planner(
                hosts=0, reports={"period_ms": 1000, "probes_per_s": 60, "probes_at_once": 40}
            ) as planner:
                for nth in range(8):
                    planner.hosts[f"host-{nth}"] = {"port": pool.start(f"host-{nth}", settings)}
                planner.service.health_checker.timeout = 800_000
                planner.set_host_states()
                tables, client, task = planner.client()
                hung = ("127.0.0.1", pool.hosts["host-3"].port)
                turns, old = [], planner.service.health_inference.send_reports
                planner.service.health_inference.send_reports = lambda *given: (
                    turns.append(now()),
                    old(*given),
                )
                await until(lambda: hung in tables.lines["reading"] and len(turns) > 2)
                full = tables.lines["reading"][hung]
                pool.hosts["host-3"].set_fault("hang")
                begun = len(turns)
                await until(
                    lambda: (
                        hung not in tables.lines["reading"] and hung not in tables.lines["setpoint"]
                    )
                )
                self.assertLessEqual(
                    len(turns) - begun, 4
                )  # the first of them may end a period that began before
                pool.hosts["host-3"].set_fault(None)
                await until(lambda: hung in tables.lines["reading"], 30)
                self.assertLess(tables.lines["reading"][hung], full)
                client.stop()
                await task
                for host in pool.hosts.values():
                    await host.stop()

    async def test_a_list_service_that_pushes_or_is_polled_and_is_down_for_a_while(self):
        """The planner follows the list again after each failure."""
        for asked in (False, True):
            with self.subTest(asked=asked):
                await self.follow_failing_service(asked)

    async def follow_failing_service(self, asked):
        """Follow a list service that pushes, or is polled, and is down for a while."""
        discovery = DiscoveryServer(delay=100_000)
        port = discovery.listen()
        hosts = [
            {
                "id": f"host-{nth}",
                "address": "127.0.0.1",
                "port": 9000 + nth,
                "state": "ready",
            }
            for nth in range(6)
        ]
        discovery.publish(hosts)
        planner = Planner()
        planner.document["roster"] = {
            "service": f"http://127.0.0.1:{port}",
            "asked": asked,
            "look_every_ms": 50,
        }
        async with planner:
            tables, client, task = planner.client()
            await until(lambda: ports(tables) == set(range(6)))
            discovery.set(dict(hosts[1], state="draining"))
            await until(lambda: ports(tables) == {0, 2, 3, 4, 5})
            discovery.unavailable = True
            await until(
                lambda: (
                    planner.log_events("endpoint_list_not_read")
                    or planner.log_events("endpoint_list_not_followed")
                )
            )
            discovery.set(dict(hosts[2], state="gone"))
            await asyncio.sleep(0.3)
            self.assertEqual(ports(tables), {0, 2, 3, 4, 5})
            discovery.unavailable = False
            await until(lambda: 2 not in planner.service.planner_host.assigner.state.servers, 12)
            client.stop()
            await task
        discovery.stop()


if __name__ == "__main__":
    unittest.main()
