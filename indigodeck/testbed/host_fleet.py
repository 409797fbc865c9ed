"""Starts, drains and stops the hosts of a scenario, and publishes them in the endpoint list."""

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
    """One host: its process, its start time (0: before the scenario), and its list entry."""

    process: WorkerProcess
    started: int
    entry: Entry
    is_removed: bool = False


class HostFleet:
    """All hosts of a scenario, distributed over several processes."""

    def __init__(
        self, script: Script, settings: PlannerSettings, discovery: DiscoveryServer
    ) -> None:
        self.hosts: dict[str, FleetHost] = {}
        self.processes: list[WorkerProcess] = []
        self._script = script
        self._settings = settings
        self._discovery = discovery
        self._host_count = 0

    async def start_processes(self, folder: pathlib.Path) -> None:
        """Start the processes; they write receipts to files in a folder."""
        work = {
            request_class["name"]: round(request_class["work_ms"] * 1000)
            for request_class in self._script["classes"]
        }
        for index in range(self._script["hosts"].get("processes", 2)):
            receipts = str(folder / f"receipts-{index}")
            process = await WorkerProcess.start(
                "standin", "host", "--receipts", receipts, "--work", json.dumps(work)
            )
            self.processes.append(process)

    async def add(self, zone: str, is_cold: bool) -> str:
        """Start one more host and return its name; cold hosts warm up according to the settings."""
        self._host_count += 1
        name = f"host-{self._host_count}"
        host_options = self._script["hosts"]
        deployment = self._settings.deployment
        process = self.processes[self._host_count % len(self.processes)]
        cores = host_options.get("cores", 4)
        started = now() if is_cold else 0
        answer = await process.execute(
            do="start",
            host=name,
            cores=cores,
            slots=host_options.get("slots", 2 * cores),
            room=host_options.get("room", 16 * cores),
            started=started,
            cold_time=deployment.warm_up_time,
            cold_share=deployment.cold_capacity_share,
            tip_multiple=deployment.overload_multiple,
            tip_time=deployment.overload_time,
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
        """Start one more cold host and add it to the list."""
        self._discovery.set(self.entry(await self.add(zone, is_cold=True), "ready"))

    async def replace(self, name: str, drain_s: float, with_successor: bool) -> None:
        """Drain a host, then stop it; a successor, if any, starts cold when the drain begins."""
        self._discovery.set(self.entry(name, "draining"))
        if with_successor:
            await self.add_and_list(self.zone(name))
        await sleep(drain_s)
        await self.remove(name)

    async def remove(self, name: str) -> None:
        """Stop a host at once and remove it from the list."""
        entry = self.entry(name, "gone")
        await self.hosts[name].process.execute(do="stop", host=name)
        self._discovery.set(entry)
        self.hosts[name].is_removed = True

    async def set_fault(self, name: str, fault: str | None, **options: Any) -> None:
        """Set the fault of one host, or end it with None."""
        await self.hosts[name].process.execute(do="hurt", host=name, fault=fault, **options)

    async def end(self) -> None:
        """End all processes."""
        for process in self.processes:
            await process.end()

    def entry(self, name: str, state: str) -> Entry:
        """Return a host's list entry with the given state."""
        return dict(self.hosts[name].entry, state=state)

    def zone(self, name: str) -> str:
        """Return a host's zone."""
        return self.hosts[name].entry["hall"]

    def started(self, name: str) -> int:
        """Return when a host started, 0 if it ran from the start of the scenario."""
        return self.hosts[name].started if name in self.hosts else 0

    def running(self, zone: str | None = None) -> list[str]:
        """Return the running hosts, of one zone if given."""
        return [
            name
            for name, host in self.hosts.items()
            if not host.is_removed and zone in (None, host.entry["hall"])
        ]


def choose_share(random: SeededRandom, names: Any, share: float) -> list[str]:
    """Return a random share of the names, at least one if there are any."""
    remaining = list(names)
    chosen = []
    for _ in range(min(len(remaining), max(1, round(len(remaining) * share)))):
        chosen.append(remaining.pop(random.randbelow(len(remaining))))
    return chosen
