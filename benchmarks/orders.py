"""From the module's order to the relay that applied it, on loopback: python benchmarks/orders.py WIRE [RELAYS ..]

WIRE: sasp or xds. One planner in this process, relays with the client library in four others, 105 hosts listed and none
running. Hosts drain one by one. Applied: from the order to withdraw a host to each holder's table without it.
Acknowledged: from an order to the acknowledgement that the assigner hears (SASP: the relay's TCP; xDS: its ACK).
"""

import asyncio
import json
import os
import pathlib
import platform
import sys
import tempfile
import time

import structlog

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.clock import now  # noqa: E402
from indigodeck.planner.planner_settings import PlannerSettings  # noqa: E402
from indigodeck.serve import assemble  # noqa: E402
from indigodeck.testbed.discovery_server import EndpointListFile  # noqa: E402
from indigodeck.testbed.worker_process import WorkerProcess  # noqa: E402

HOSTS, DRAINS = 105, 40


def quantile(values, part):
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


async def measure(wire, many):
    document = json.loads(
        (pathlib.Path(__file__).parent.parent / "examples/charter.json").read_text()
    )
    document["relays"] = {
        "most": many,
        "halls": [{"prefix": hall + "/", "hall": hall} for hall in document["halls"]],
    }
    document["reports"] = {"period_ms": 3_600_000, "probes_per_s": 0}
    document["channel"].update(messages_most=0)
    document["fronts"] = {wire: {"address": "127.0.0.1", "port": 0}}
    document["channel"].update(lines_per_s=20_000, waiting_most=40_000)
    hosts = [
        {
            "id": f"host-{nth}",
            "address": "127.0.0.1",
            "port": 20_000 + nth,
            "hall": document["halls"][nth % 3],
            "kind": "std-4",
            "weight": 4,
            "state": "ready",
        }
        for nth in range(HOSTS)
    ]
    with tempfile.TemporaryDirectory() as folder:
        listed = EndpointListFile(folder)
        document["roster"] = {"file": "roster.json", "look_every_ms": 20}
        listed.write(hosts)
        service = assemble(PlannerSettings(document, folder))
        ordered = {}
        eject = service.planner_host.eject_server
        uneject = service.planner_host.uneject_server

        def note_time(order):
            def noted(server):
                ordered[service.endpoints.address_of(server)[1]] = now()
                order(server)

            return noted

        service.planner_host.eject_server = note_time(eject)
        service.planner_host.uneject_server = note_time(uneject)
        acknowledged, applied = [], service.planner_host.assigner.on_ack

        def heard(proxy, number, took):
            acknowledged.append(took)
            applied(proxy, number, took)

        service.planner_host.assigner.on_ack = heard
        crews = [
            await WorkerProcess.start("standin", "relay", "--outcomes", os.devnull)
            for _ in range(4)
        ]
        classes = [dict(kind, share=0.5, work_ms=200) for kind in document["classes"]]
        for nth in range(many):
            uid = f"{document['halls'][nth % 3]}/relay-{nth}"
            await crews[nth % 4].execute(
                do="start",
                until=0,
                relay={
                    "uid": uid,
                    "planners": [["127.0.0.1", service.frontends[0].port()]],
                    "classes": classes,
                    "rate": 0,
                    "wire": wire,
                    "hall": document["halls"][nth % 3],
                    "planner_patience": 30,
                },
            )
        while len(service.proxies.frontend_of) < many or service.planner_host.waiting_lines():
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        for crew in crews:
            await crew.execute(do="changes")
        acknowledged.clear()
        cpu = time.process_time()
        for nth in range(DRAINS):
            hosts[nth]["state"] = "draining"
            listed.write(hosts)
            await asyncio.sleep(0.25)
        cpu = time.process_time() - cpu
        await asyncio.sleep(1)
        took = []
        for crew in crews:
            for at, port in (await crew.execute(do="changes"))["lost"]:
                if port in ordered:
                    took.append(at - ordered[port])
            await crew.end()
        service.close()
        await asyncio.sleep(0.1)
    memory = (
        int(pathlib.Path("/proc/self/statm").read_text().split()[1])
        * os.sysconf("SC_PAGESIZE")
        / 1e6
    )
    return {
        "wire": wire,
        "relays": many,
        "hosts": HOSTS,
        "drains": DRAINS,
        "applied": len(took),
        "p50_ms": quantile(took, 0.5) / 1000,
        "p99_ms": quantile(took, 0.99) / 1000,
        "ack_p50_ms": quantile(acknowledged, 0.5) / 1000,
        "ack_p99_ms": quantile(acknowledged, 0.99) / 1000,
        "planner_cpu_s_per_drain": round(cpu / DRAINS, 4),
        "planner_mb": round(memory, 1),
    }


async def main(wire, sizes):
    structlog.configure(processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])
    results = []
    for many in sizes:
        results.append(await measure(wire, many))
        results[-1]["p99_over_first"] = round(results[-1]["p99_ms"] / results[0]["p99_ms"], 2)
        print(json.dumps(results[-1]), flush=True)
    kept = {
        "what": f"order to applied over {wire}",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "results": results,
    }
    (pathlib.Path(__file__).parent / f"results/orders-{wire}.json").write_text(
        json.dumps(kept, indent=1) + "\n"
    )


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], [int(word) for word in sys.argv[2:]] or [31, 103, 303, 1000]))
