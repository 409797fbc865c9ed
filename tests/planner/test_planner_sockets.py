"""A planner with hosts that hang and a discovery service that fails, over sockets."""

import asyncio
import os
import unittest

from support import Planner, ports, until

from indigodeck.clock import now
from indigodeck.testbed.discovery_server import DiscoveryServer
from indigodeck.testbed.host_model import HostSettings
from indigodeck.testbed.host_pool import HostPool


class HungHostAndDiscoveryFailureTest(unittest.IsolatedAsyncioTestCase):
    """A planner in this process that reads its endpoint list from a file or over HTTP."""

    async def test_a_hung_host_is_removed_within_three_periods_and_returns_slowly(self):
        """It has no weight while it hangs, and a reduced weight at first afterwards."""
        with open(os.devnull, "w") as null_file:
            settings = HostSettings(cores=4, slots=8, queue_limit=16)
            pool = HostPool(now, null_file, {"reading": 20_000, "setpoint": 20_000})
            async with Planner(
                hosts=0, reports={"period_ms": 1000, "probes_per_s": 60, "probes_at_once": 40}
            ) as planner:
                for number in range(8):
                    planner.hosts[f"host-{number}"] = {
                        "port": pool.start(f"host-{number}", settings)
                    }
                planner.service.health_checker.timeout = 800_000
                planner.set_host_states()
                tables, client, task = planner.client()
                hung = ("127.0.0.1", pool.hosts["host-3"].port)
                report_times, send_reports = [], planner.service.health_inference.send_reports
                planner.service.health_inference.send_reports = lambda *arguments: (
                    report_times.append(now()),
                    send_reports(*arguments),
                )
                await until(lambda: hung in tables.lines["reading"] and len(report_times) > 2)
                full_weight = tables.lines["reading"][hung]
                pool.hosts["host-3"].set_fault("hang")
                reports_before = len(report_times)
                await until(
                    lambda: (
                        hung not in tables.lines["reading"] and hung not in tables.lines["setpoint"]
                    )
                )
                # The first report may end a period that began before the fault.
                self.assertLessEqual(len(report_times) - reports_before, 4)
                pool.hosts["host-3"].set_fault(None)
                await until(lambda: hung in tables.lines["reading"], 30)
                self.assertLess(tables.lines["reading"][hung], full_weight)
                client.stop()
                await task
                for host in pool.hosts.values():
                    await host.stop()

    async def test_the_planner_recovers_from_a_discovery_service_outage(self):
        """The service pushes changes in one case and is polled in the other."""
        for polled in (False, True):
            with self.subTest(polled=polled):
                await self.check_recovery_from_outage(polled)

    async def check_recovery_from_outage(self, polled):
        """Check that the list is followed before and after an outage, and kept during it."""
        discovery = DiscoveryServer(delay=100_000)
        port = discovery.listen()
        hosts = [
            {
                "id": f"host-{number}",
                "address": "127.0.0.1",
                "port": 9000 + number,
                "state": "ready",
            }
            for number in range(6)
        ]
        discovery.publish(hosts)
        planner = Planner()
        planner.document["roster"] = {
            "service": f"http://127.0.0.1:{port}",
            "asked": polled,
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
