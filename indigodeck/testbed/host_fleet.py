"""The hosts of a scenario: they start, drain, end, and are named in the endpoint list."""

import json
import pathlib
import time
from dataclasses import dataclass
from typing import Any

from tornado.gen import sleep

from ..assignment.seeded_random import SeededRandom
from ..clock import now
from ..planner.planner_settings import PlannerSettings
from .discovery_server import DiscoveryServer, Entry
from .scenario_script import Script
from .worker_process import WorkerProcess


@dataclass(slots=True)
class FleetHost:
    """One host: the process that runs it, when it started (0: long ago), its entry in the list."""

    process: WorkerProcess
    started: int
    entry: Entry
    is_removed: bool = False


class HostFleet:
    """All hosts of a scenario, spread over some processes."""

    def __init__(
        self, script: Script, settings: PlannerSettings, discovery: DiscoveryServer
    ) -> None:
        self.hosts: dict[str, FleetHost] = {}
        self.processes: list[WorkerProcess] = []
        self._script = script
        self._settings = settings
        self._discovery = discovery
        self._serial = 0

    async def start_processes(self, folder: pathlib.Path) -> None:
        """Start the processes, which write receipts into a folder."""
        work = {
            stated["name"]: round(stated["work_ms"] * 1000) for stated in self._script["classes"]
        }
        for index in range(self._script["hosts"].get("processes", 2)):
            receipts = str(folder / f"receipts-{index}")
            process = await WorkerProcess.start(
                "standin", "host", "--receipts", receipts, "--work", json.dumps(work)
            )
            self.processes.append(process)

    async def add(self, zone: str, is_cold: bool) -> str:
        """Start one more host and return its name; cold ones warm up as the settings say."""
        self._serial += 1
        name = f"host-{self._serial}"
        stated = self._script["hosts"]
        rules = self._settings.deployment
        process = self.processes[self._serial % len(self.processes)]
        cores = stated.get("cores", 4)
        started = now() if is_cold else 0
        answer = await process.execute(
            do="start",
            host=name,
            cores=cores,
            slots=stated.get("slots", 2 * cores),
            room=stated.get("room", 16 * cores),
            started=started,
            cold_time=rules.warm_up_time,
            cold_share=rules.cold_capacity_share,
            tip_multiple=rules.overload_multiple,
            tip_time=rules.overload_time,
        )
        entry = {
            "id": name,
            "address": "127.0.0.1",
            "port": answer["port"],
            "hall": zone,
            "weight": float(cores),
            "kind": (self._settings.machine_type_names or ["std"])[0],
            "state": "ready",
            "started_ms": time.time_ns() // 1_000_000 if is_cold else 0,
        }
        self.hosts[name] = FleetHost(process, started, entry)
        return name

    async def add_and_list(self, zone: str) -> None:
        """Start one more cold host and name it in the list."""
        self._discovery.set(self.entry(await self.add(zone, is_cold=True), "ready"))

    async def replace(self, name: str, drain_s: float, with_successor: bool) -> None:
        """Drain a host, then end it; its successor, if any, is there from the start, cold."""
        self._discovery.set(self.entry(name, "draining"))
        if with_successor:
            await self.add_and_list(self.zone(name))
        await sleep(drain_s)
        await self.remove(name)

    async def remove(self, name: str) -> None:
        """End a host at once; the list says that it is gone."""
        entry = self.entry(name, "gone")
        await self.hosts[name].process.execute(do="stop", host=name)
        self._discovery.set(entry)
        self.hosts[name].is_removed = True

    async def set_fault(self, name: str, fault: str | None, **more: Any) -> None:
        """Have one host fail in some way, or (None) no longer."""
        await self.hosts[name].process.execute(do="hurt", host=name, fault=fault, **more)

    async def end(self) -> None:
        """End all processes."""
        for process in self.processes:
            await process.end()

    def entry(self, name: str, state: str) -> Entry:
        """Return a host's entry in the list, with a state."""
        return dict(self.hosts[name].entry, state=state)

    def zone(self, name: str) -> str:
        """Return a host's zone."""
        return self.hosts[name].entry["hall"]

    def started(self, name: str) -> int:
        """Return when a host started, 0 if it was there from the start."""
        return self.hosts[name].started if name in self.hosts else 0

    def running(self, zone: str | None = None) -> list[str]:
        """Return the hosts that run, of one zone if given."""
        return [
            name
            for name, host in self.hosts.items()
            if not host.is_removed and zone in (None, host.entry["hall"])
        ]


def choose(random: SeededRandom, names: Any, share: float) -> list[str]:
    """Return a share of the names, drawn at random; one at least, if there is any."""
    left = list(names)
    chosen = []
    for _ in range(min(len(left), max(1, round(len(left) * share)))):
        chosen.append(left.pop(random.randbelow(len(left))))
    return chosen
