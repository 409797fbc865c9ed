"""Runs a scripted scenario on loopback: a planner with hosts, relays and clients, then an audit.

The planner, each group of hosts and each group of relays with their clients run in separate
processes. The discovery server and the proxy for the relays' streams run in this process. Each
process is ended by its own process id.
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
from .host_fleet import HostFleet, choose_share
from .recording_proxy import RecordingProxy, StreamEventType
from .scenario_result import (
    Result,
    longest_queue,
    new_evidence,
    read_files,
    rule_results,
)
from .scenario_script import Fault, Script, protocol_of, settings_document
from .worker_process import WorkerProcess, wait_or_kill

START_POLL_INTERVAL_S = 0.05
START_POLLS = 200
TIME_AFTER_END = 2 * SECOND  # for answers to the last requests
# Relays in a zone with fewer hosts choose their initial hosts from all zones.
MIN_INITIAL_HOSTS_IN_ZONE = 3
RELAY_TIMEOUT_S = 3.0  # a relay's response timeout if it knows only one planner
RELAY_TIMEOUT_SEVERAL_PLANNERS_S = 1.0

ProgressCallback = Callable[[str], None]
Address = list[Any]  # [address, port], as in commands


class ScenarioRunner:
    """One scenario with its planner. `policy` is "indigodeck" or the name of a baseline."""

    def __init__(
        self,
        script: Script,
        folder: str | pathlib.Path,
        policy: str = "indigodeck",
        report_progress: ProgressCallback = lambda text: None,
    ) -> None:
        self.script = script
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.report_progress = report_progress
        self.random = SeededRandom(script.get("seed", 1))
        self.planner: asyncio.subprocess.Process | None = None
        self.planner_port: int | None = None
        self.planner_starts: list[int] = []
        self.relay_process_of: dict[str, WorkerProcess] = {}
        self.evidence: Evidence | None = None  # set at the end of `run`
        self._policy = policy
        self._protocol = protocol_of(script)
        self._publications: list[Publication] = []
        self._relay_processes: list[WorkerProcess] = []
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._log = (self.folder / "planner.log").open("ab")
        self.proxy = RecordingProxy(now, self._planner_address, self._protocol == "sasp")
        delay_ms = script.get("roster", {}).get("late_ms", 0)
        self.discovery = DiscoveryServer(self._on_published, round(delay_ms * 1000))
        self.settings = PlannerSettings(settings_document(script, self.discovery.listen()))
        (self.folder / "charter.json").write_text(json.dumps(self.settings.document))
        self.hosts = HostFleet(script, self.settings, self.discovery)
        self._faults = FaultInjector(self)

    # Methods that differ with several controllers (fleet_scenario.py).

    def open_proxies(self) -> list[Address]:
        """Open the proxies and return their addresses."""
        return [["127.0.0.1", self.proxy.open()]]

    def proxies(self) -> list[RecordingProxy]:
        """Return the proxies of all controllers."""
        return [self.proxy]

    def lease_acquisitions(self) -> list[LeaseAcquisition]:
        """Return when controllers became the leader; empty with a single controller."""
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
        """Inject one fault."""
        await self._faults.inject(fault)

    def running_planner(self) -> asyncio.subprocess.Process:
        """Return the planner's process, which must have been started."""
        assert self.planner is not None
        return self.planner

    async def disconnect_relay(self, uid: str) -> None:
        """Disconnect a relay from its planner."""
        await self.relay_process_of[uid].execute(do="drop", uid=uid)

    async def run(self) -> Result:
        """Run the whole script and return its result."""
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
            for document in self.script.get("troubles", []):
                inject = self._inject_at_time(started_at, Fault.from_json(document), errors)
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
            await self._stop_all()
        return self._result(started_at)

    async def _start_hosts(self) -> list[str]:
        """Start the initial hosts, round-robin over the zones; return their names."""
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
        # The load is uneven: a few relays carry far more than the others.
        relative_rates = [1 / (1 + index) ** 0.5 for index in range(relays["many"])]
        for index in range(relays["many"]):
            zone = zones[index % len(zones)]
            uid = f"{zone}/relay-{index}"
            initial_hosts = self._choose_initial_hosts(first_hosts, zone)
            process = self._relay_processes[index % len(self._relay_processes)]
            self.relay_process_of[uid] = process
            settings = self._relay_document(uid, zone, addresses, initial_hosts)
            settings["rate"] = relays["rate"] * relative_rates[index] / sum(relative_rates)
            await process.execute(do="start", until=until, relay=settings)

    def _choose_initial_hosts(self, first_hosts: list[str], zone: str) -> list[str]:
        """Return the hosts that a relay uses until it gets its first table."""
        in_zone = [name for name in first_hosts if self.hosts.zone(name) == zone]
        candidates = in_zone if len(in_zone) >= MIN_INITIAL_HOSTS_IN_ZONE else first_hosts
        shuffled = choose_share(self.random, candidates, 1.0)
        return shuffled[: self.script["relays"].get("standing", 5)]

    def _relay_document(
        self, uid: str, zone: str, addresses: list[Address], initial_hosts: list[str]
    ) -> dict[str, Any]:
        """Return a relay's settings without its rate (see `RelaySettings` in relay.py)."""
        relays = self.script["relays"]
        classes = [
            dict(of_settings, **of_script)
            for of_script in self.script["classes"]
            for of_settings in self.script["charter"]["classes"]
            if of_settings["name"] == of_script["name"]
        ]
        timeout_s = RELAY_TIMEOUT_S if len(addresses) == 1 else RELAY_TIMEOUT_SEVERAL_PLANNERS_S
        ports = [self.hosts.hosts[name].entry["port"] for name in initial_hosts]
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

    async def _inject_at_time(self, started_at: int, fault: Fault, errors: list[Exception]) -> None:
        try:
            await sleep(max(0.0, (started_at - now()) / SECOND + fault.at_s))
            await self.inject_fault(fault)
        except Exception as error:  # a failed injection ends the scenario: its result would be void
            errors.append(error)

    async def _stop_all(self) -> None:
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
        """Copy a planner's log to the log file, and read the planner's port from it."""
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

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

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
        rules = rule_results(evidence, longest_queue(self.folder))
        messages = [e for e in evidence.stream_events if e.type == StreamEventType.MESSAGE]
        return {
            "policy": self._policy,
            "wire": self._protocol,
            "seconds": self.script["seconds"],
            "rules": rules,
            "service": audit.summarize_service(evidence),
            "wire_bytes": sum(proxy.bytes_sent for proxy in proxies),
            "wire_messages": len(messages),
        }


async def run(
    script: Script,
    policies: Sequence[str] = ("indigodeck",),
    folder: str | pathlib.Path | None = None,
    report_progress: ProgressCallback = lambda text: None,
) -> list[Result]:
    """Run a scenario under each policy, all at the same time; return one result per policy."""

    def progress_callback(policy: str) -> ProgressCallback:
        if len(policies) == 1:
            return report_progress
        return lambda text: report_progress(f"{policy}: {text}")

    with tempfile.TemporaryDirectory() as temporary:
        runners = [
            ScenarioRunner(
                script,
                pathlib.Path(folder or temporary) / policy,
                policy,
                progress_callback(policy),
            )
            for policy in policies
        ]
        return await asyncio.gather(*(runner.run() for runner in runners))
