"""Plays a scripted scenario on loopback: starts a planner and the world around it, and judges it.

One process each for the planner, for groups of hosts and for groups of relays with their clients;
the discovery server and the proxy on the relays' streams are in this one. Every process is ended
by its own id.
"""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import Callable, Sequence
from typing import Any

from tornado.gen import sleep

from ..assignment.seeded_random import SeededRandom
from ..clock import SECOND, now
from ..planner.planner_settings import PlannerSettings
from . import audit
from .discovery_server import DiscoveryServer
from .errors import PlannerNotStartedError
from .evidence import Evidence, LeaseAcquisition, Publication
from .faults import FaultInjector
from .host_fleet import HostFleet, choose
from .recording_proxy import RecordingProxy, StreamEventType
from .scenario_result import (
    Result,
    most_waiting_lines,
    new_evidence,
    read_files,
    rule_results,
)
from .scenario_script import Fault, Script, protocol_of, settings_document
from .worker_process import WorkerProcess, wait_or_kill

START_POLL_INTERVAL_S = 0.05
START_POLLS = 200
TIME_AFTER_END = 2 * SECOND  # in which last requests may still be answered
FEWEST_STANDING_HOSTS = 3  # a zone with fewer gives its relays no standing tables of its own
RELAY_TIMEOUT_S = 3.0  # of a relay's connection, where it knows one planner
RELAY_TIMEOUT_OF_SEVERAL_S = 1.0

Report = Callable[[str], None]
Address = list[Any]  # [address, port], as it goes into commands


class ScenarioRunner:
    """One fleet with its planner. `policy`: "indigodeck" or the name of a baseline."""

    def __init__(
        self,
        script: Script,
        folder: str | pathlib.Path,
        policy: str = "indigodeck",
        report: Report = lambda text: None,
    ) -> None:
        self.script = script
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.report = report
        self.random = SeededRandom(script.get("seed", 1))
        self.planner: asyncio.subprocess.Process | None = None
        self.planner_port: int | None = None
        self.planner_starts: list[int] = []
        self.relay_process_of: dict[str, WorkerProcess] = {}
        self.evidence: Evidence | None = None  # once it was played
        self._policy = policy
        self._protocol = protocol_of(script)
        self._publications: list[Publication] = []
        self._relay_processes: list[WorkerProcess] = []
        self._background: set[asyncio.Task[None]] = set()
        self._log = (self.folder / "planner.log").open("ab")
        self.proxy = RecordingProxy(now, self._planner_address, self._protocol == "sasp")
        delay_ms = script.get("roster", {}).get("late_ms", 0)
        self.discovery = DiscoveryServer(self._on_published, round(delay_ms * 1000))
        self.settings = PlannerSettings(settings_document(script, self.discovery.listen()))
        (self.folder / "charter.json").write_text(json.dumps(self.settings.document))
        self.hosts = HostFleet(script, self.settings, self.discovery)
        self._faults = FaultInjector(self)

    # What differs where there are several controllers (fleet_scenario.py).

    def open_proxies(self) -> list[Address]:
        """Open the proxies; return where relays find them."""
        return [["127.0.0.1", self.proxy.open()]]

    def proxies(self) -> list[RecordingProxy]:
        """Return the proxies of all controllers."""
        return [self.proxy]

    def lease_acquisitions(self) -> list[LeaseAcquisition]:
        """Return which controllers became leader, and when; none where there is one."""
        return []

    def planners(self) -> list[asyncio.subprocess.Process]:
        """Return the processes of all controllers."""
        return [self.planner] if self.planner is not None else []

    async def start_planner(self) -> None:
        """Start the planner and wait until it listens."""
        arguments = ["serve", "--charter", str(self.folder / "charter.json"), "--log", "json"]
        if self._policy != "indigodeck":
            arguments += ["--policy", self._policy]
        self.planner = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "indigodeck",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            limit=1 << 20,
        )
        self.planner_starts.append(now())
        self._spawn(self._read_log(self.planner))
        for _ in range(START_POLLS):
            await sleep(START_POLL_INTERVAL_S)
            if self.planner_port is not None:
                return
        log = self.folder / "planner.log"
        raise PlannerNotStartedError(f"the planner did not listen; see {log}")

    async def inject_fault(self, fault: Fault) -> None:
        """Let one thing go wrong."""
        await self._faults.inject(fault)

    def running_planner(self) -> asyncio.subprocess.Process:
        """Return the planner's process, which was started."""
        assert self.planner is not None
        return self.planner

    async def drop_stream(self, uid: str) -> None:
        """Have a relay lose its stream."""
        await self.relay_process_of[uid].execute(do="drop", uid=uid)

    async def run(self) -> Result:
        """Play the whole script; return how it went."""
        fault_tasks: list[asyncio.Task[None]] = []
        errors: list[Exception] = []
        try:
            first_hosts = await self._start_hosts()
            addresses = self.open_proxies()
            await self.start_planner()
            await self._start_relay_processes()
            started_at = now()
            until = started_at + round(self.script["seconds"] * SECOND)
            await self._start_relays(first_hosts, addresses, until)
            for stated in self.script.get("troubles", []):
                inject = self._inject_in_time(started_at, Fault.from_json(stated), errors)
                fault_tasks.append(asyncio.get_running_loop().create_task(inject))
            while now() < until + TIME_AFTER_END:
                await sleep(0.2)
                if errors:
                    raise errors[0]
            for process in self._relay_processes:
                await process.execute(do="leave")
        finally:
            for task in fault_tasks:
                task.cancel()
            await self._end()
        return self._result(started_at)

    async def _start_hosts(self) -> list[str]:
        """Start the hosts of the beginning, over all zones by turns; return their names."""
        await self.hosts.start_processes(self.folder)
        zones = self.settings.zone_names
        names = [
            await self.hosts.add(zones[index % len(zones)], is_cold=False)
            for index in range(self.script["hosts"]["many"])
        ]
        self.discovery.publish([self.hosts.entry(name, "ready") for name in names])
        return names

    async def _start_relay_processes(self) -> None:
        for index in range(self.script["relays"].get("processes", 2)):
            outcomes = str(self.folder / f"outcomes-{index}")
            process = await WorkerProcess.start("standin", "relay", "--outcomes", outcomes)
            self._relay_processes.append(process)

    async def _start_relays(
        self, first_hosts: list[str], addresses: list[Address], until: int
    ) -> None:
        relays = self.script["relays"]
        zones = self.settings.zone_names
        # A few relays carry far more than the others.
        parts = [1 / (1 + index) ** 0.5 for index in range(relays["many"])]
        for index in range(relays["many"]):
            zone = zones[index % len(zones)]
            uid = f"{zone}/relay-{index}"
            standing = self._choose_standing_hosts(first_hosts, zone)
            process = self._relay_processes[index % len(self._relay_processes)]
            self.relay_process_of[uid] = process
            stated = self._relay_document(uid, zone, addresses, standing)
            stated["rate"] = relays["rate"] * parts[index] / sum(parts)
            await process.execute(do="start", until=until, relay=stated)

    def _choose_standing_hosts(self, first_hosts: list[str], zone: str) -> list[str]:
        """Return the hosts that a relay uses before it was given any table."""
        near = [name for name in first_hosts if self.hosts.zone(name) == zone]
        candidates = near if len(near) >= FEWEST_STANDING_HOSTS else first_hosts
        shuffled = choose(self.random, candidates, 1.0)
        return shuffled[: self.script["relays"].get("standing", 5)]

    def _relay_document(
        self, uid: str, zone: str, addresses: list[Address], standing: list[str]
    ) -> dict[str, Any]:
        """Return what a relay is told at its start, but for its rate (see relay_pool.py)."""
        relays = self.script["relays"]
        classes = [
            dict(stated, **of_script)
            for of_script in self.script["classes"]
            for stated in self.script["charter"]["classes"]
            if stated["name"] == of_script["name"]
        ]
        timeout_s = RELAY_TIMEOUT_S if len(addresses) == 1 else RELAY_TIMEOUT_OF_SEVERAL_S
        ports = [self.hosts.hosts[name].entry["port"] for name in standing]
        return {
            "uid": uid,
            "planners": addresses,
            "classes": classes,
            "seed": self.script.get("seed", 1),
            "wire": self._protocol,
            "hall": zone,
            "planner_patience": timeout_s,
            "standing": [["127.0.0.1", port] for port in ports],
            "retries": relays.get("retries", 0),
            "strikes": relays.get("strikes", 0),
            "unruly": relays.get("unruly", {}).get(uid),
        }

    async def _inject_in_time(self, started_at: int, fault: Fault, errors: list[Exception]) -> None:
        try:
            await sleep(max(0.0, (started_at - now()) / SECOND + fault.at_s))
            await self.inject_fault(fault)
        except Exception as error:  # the scenario ends: one that cannot be played proves nothing
            errors.append(error)

    async def _end(self) -> None:
        for planner in self.planners():
            if planner.returncode is None:
                planner.send_signal(signal.SIGCONT)
                planner.terminate()
                await wait_or_kill(planner)
        for process in self._relay_processes:
            await process.end()
        await self.hosts.end()
        for proxy in self.proxies():
            proxy.stop()
        self.discovery.stop()
        self._log.close()

    async def _read_log(self, planner: asyncio.subprocess.Process) -> None:
        """Copy a planner's log into the file, and learn its port from it."""
        assert planner.stdout is not None
        while line := await planner.stdout.readline():
            self._log.write(line)
            self._log.flush()
            if b'"listening"' in line and planner is self.planner:
                self.planner_port = json.loads(line)["port"]

    def _planner_address(self) -> tuple[str, int] | None:
        return ("127.0.0.1", self.planner_port) if self.planner_port else None

    def _on_published(self, host: str, state: str) -> None:
        self._publications.append(Publication(now(), host, state, self.hosts.started(host)))

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _result(self, started_at: int) -> Result:
        evidence = self.evidence = new_evidence(self.settings, started_at)
        proxies = self.proxies()
        read_files(evidence, self.folder, [proxy.controller for proxy in proxies])
        evidence.publications = self._publications
        evidence.planner_starts = self.planner_starts
        evidence.lease_acquisitions = self.lease_acquisitions()
        evidence.stream_events += [
            event for proxy in proxies for event in proxy.events if event.relay
        ]
        rules = rule_results(evidence, most_waiting_lines(self.folder))
        messages = [e for e in evidence.stream_events if e.type == StreamEventType.MESSAGE]
        return {
            "policy": self._policy,
            "wire": self._protocol,
            "seconds": self.script["seconds"],
            "rules": rules,
            "service": audit.service(evidence),
            "wire_bytes": sum(proxy.bytes_sent for proxy in proxies),
            "wire_messages": len(messages),
        }


async def run(
    script: Script,
    policies: Sequence[str] = ("indigodeck",),
    folder: str | pathlib.Path | None = None,
    report: Report = lambda text: None,
) -> list[Result]:
    """Play a scenario, under several policies side by side if asked; return a result for each."""

    def report_of(policy: str) -> Report:
        if len(policies) == 1:
            return report
        return lambda text: report(f"{policy}: {text}")

    with tempfile.TemporaryDirectory() as temporary:
        runners = [
            ScenarioRunner(
                script, pathlib.Path(folder or temporary) / policy, policy, report_of(policy)
            )
            for policy in policies
        ]
        return await asyncio.gather(*(runner.run() for runner in runners))
