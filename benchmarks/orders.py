"""Time from an order to its effect at relays: python benchmarks/orders.py WIRE [RELAYS ..].

WIRE is sasp or xds. All runs on loopback: one planner in this process, and relays with the client
library in four others. 105 hosts are listed and none is running; they drain one by one. Applied:
the time from the order to eject a host until a relay that had it in its table has a table without
it. Acknowledged: the time from an order until the assigner receives the acknowledgement (SASP: by
the relay's TCP; xDS: its ACK).
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

import structlog
from common import example_document, host_entries, machine, quantile, write_result

from indigodeck.clock import now
from indigodeck.planner.planner_settings import PlannerSettings
from indigodeck.serve import start_planner_service
from indigodeck.testbed.discovery_server import EndpointListFile
from indigodeck.testbed.worker_process import WorkerProcess

HOSTS = 105
DRAINS = 40
DRAIN_INTERVAL_S = 0.25
FIRST_HOST_PORT = 20_000
RELAY_PROCESSES = 4


class OrderTimes:
    """Records when a planner ejects servers, and how long acknowledgements take."""

    def __init__(self, service: Any) -> None:
        self.ejected_at: dict[int, int] = {}  # by port
        self.acknowledged_after: list[int] = []
        self._service = service
        host = service.planner_host
        host.eject_server = self._recording(host.eject_server)
        host.uneject_server = self._recording(host.uneject_server)
        self._on_ack = host.assigner.on_ack
        host.assigner.on_ack = self._record_ack

    def _recording(self, order: Callable[[int], None]) -> Callable[[int], None]:
        def record_and_forward(server: int) -> None:
            _, port = self._service.endpoints.address_of(server)
            self.ejected_at[port] = now()
            order(server)

        return record_and_forward

    def _record_ack(self, proxy: int, number: int, delay: int) -> None:
        self.acknowledged_after.append(delay)
        self._on_ack(proxy, number, delay)


def settings_document(protocol: str, relay_count: int) -> dict[str, Any]:
    """Return the planner's settings: no reports, no limit on messages, and a fast channel."""
    document = example_document("charter.json")
    document["relays"] = {
        "most": relay_count,
        "halls": [{"prefix": hall + "/", "hall": hall} for hall in document["halls"]],
    }
    document["reports"] = {"period_ms": 3_600_000, "probes_per_s": 0}
    document["channel"].update(messages_most=0, lines_per_s=20_000, waiting_most=40_000)
    document["fronts"] = {protocol: {"address": "127.0.0.1", "port": 0}}
    document["roster"] = {"file": "roster.json", "look_every_ms": 20}
    return document


async def start_relays(
    document: dict[str, Any], protocol: str, relay_count: int, port: int
) -> list[WorkerProcess]:
    """Start relays without clients, distributed over `RELAY_PROCESSES`."""
    processes = [
        await WorkerProcess.start("standin", "relay", "--outcomes", os.devnull)
        for _ in range(RELAY_PROCESSES)
    ]
    classes = [
        dict(class_document, share=0.5, work_ms=200) for class_document in document["classes"]
    ]
    for index in range(relay_count):
        zone = document["halls"][index % 3]
        relay = {
            "uid": f"{zone}/relay-{index}",
            "planners": [["127.0.0.1", port]],
            "classes": classes,
            "rate": 0,
            "wire": protocol,
            "hall": zone,
            "planner_patience": 30,
        }
        await processes[index % RELAY_PROCESSES].execute(do="start", until=0, relay=relay)
    return processes


async def measure(protocol: str, relay_count: int) -> dict[str, Any]:
    """Drain hosts one by one; return how long orders took."""
    document = settings_document(protocol, relay_count)
    hosts = host_entries(HOSTS, document["halls"], FIRST_HOST_PORT, kind="std-4")
    with tempfile.TemporaryDirectory() as folder:
        endpoint_list = EndpointListFile(folder)
        endpoint_list.write(hosts)
        service = start_planner_service(PlannerSettings(document, pathlib.Path(folder)))
        times = OrderTimes(service)
        port = service.frontends[0].port()
        processes = await start_relays(document, protocol, relay_count, port)
        while (
            len(service.proxies.frontend_of) < relay_count or service.planner_host.waiting_lines()
        ):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        for process in processes:
            await process.execute(do="changes")
        times.acknowledged_after.clear()
        cpu_before = time.process_time()
        for host in hosts[:DRAINS]:
            host["state"] = "draining"
            endpoint_list.write(hosts)
            await asyncio.sleep(DRAIN_INTERVAL_S)
        cpu_s = time.process_time() - cpu_before
        await asyncio.sleep(1)
        applied_after = []
        for process in processes:
            for at, port in (await process.execute(do="changes"))["lost"]:
                if port in times.ejected_at:
                    applied_after.append(at - times.ejected_at[port])
            await process.end()
        service.close()
        await asyncio.sleep(0.1)
    return {
        "wire": protocol,
        "relays": relay_count,
        "hosts": HOSTS,
        "drains": DRAINS,
        "applied": len(applied_after),
        "p50_ms": quantile(applied_after, 0.5) / 1000,
        "p99_ms": quantile(applied_after, 0.99) / 1000,
        "ack_p50_ms": quantile(times.acknowledged_after, 0.5) / 1000,
        "ack_p99_ms": quantile(times.acknowledged_after, 0.99) / 1000,
        "planner_cpu_s_per_drain": round(cpu_s / DRAINS, 4),
        "planner_mb": round(resident_mb(), 1),
    }


def resident_mb() -> float:
    """Return the resident memory of this process, in MB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGESIZE") / 1e6


def drop_event(*_: Any) -> Any:
    """Drop a log event (a structlog processor)."""
    raise structlog.DropEvent


async def main(protocol: str, relay_counts: list[int]) -> None:
    """Measure orders for each number of relays, and write the results."""
    structlog.configure(processors=[drop_event])
    results: list[dict[str, Any]] = []
    for relay_count in relay_counts:
        result = await measure(protocol, relay_count)
        results.append(result)
        result["p99_over_first"] = round(result["p99_ms"] / results[0]["p99_ms"], 2)
        print(json.dumps(result), flush=True)
    result_document = {
        "what": f"order to applied over {protocol}",
        "machine": machine(),
        "results": results,
    }
    write_result(f"orders-{protocol}", result_document)


if __name__ == "__main__":
    sizes = [int(word) for word in sys.argv[2:]]
    asyncio.run(main(sys.argv[1], sizes or [31, 103, 303, 1000]))
