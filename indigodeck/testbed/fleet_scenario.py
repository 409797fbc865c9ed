"""A scenario with several controllers that are paused or hand over while relays serve requests."""

import asyncio
import datetime
import json
import pathlib
import signal
import sys
from functools import partial
from typing import Any, NamedTuple

from tornado.gen import sleep

from ..clock import SECOND, now
from .controller_fleet import read_lease_changes, takeover_section
from .errors import PlannerNotStartedError
from .evidence import LeaseAcquisition
from .host_fleet import choose_share
from .ports import ReservedPorts
from .recording_proxy import RecordingProxy, StreamEvent, StreamEventType
from .relay_view import count_entries
from .scenario import (
    START_POLL_INTERVAL_S,
    Address,
    ProgressCallback,
    ScenarioRunner,
)
from .scenario_result import Result
from .scenario_script import Fault, Script

START_POLLS = 400
DEFAULT_PAUSE_S = 2.0
FIRST_TABLES_WINDOW = 3 * SECOND  # a new leader writes its first tables within this time
CONTROLLER_FAULTS = ("stall", "takeover", "handover")


class FirstTables(NamedTuple):
    """What a new leader wrote to relays within 3 s of acquiring its lease.

    `messages` counts only those with table entries.
    """

    at: int
    controller: str
    relays: int
    messages: int
    entries: int


class FleetScenarioRunner(ScenarioRunner):
    """A scenario of several controllers.

    Additional faults: `stall` (a random controller is paused), `takeover` (the leader is paused)
    and `handover` (the leader hands over its lease). A pause lasts for the duration of the fault.
    """

    def __init__(
        self,
        script: Script,
        folder: str | pathlib.Path,
        controllers: int = 3,
        lease_ms: int = 600,
        report_progress: ProgressCallback = lambda text: None,
    ) -> None:
        super().__init__(script, folder, report_progress=report_progress)
        self._controller_names = [f"c{index}" for index in range(controllers)]
        self._reserved_ports = ReservedPorts(2 * controllers)
        ports = self._reserved_ports.numbers
        member_ports = dict(zip(self._controller_names, ports[:controllers], strict=True))
        frontend_ports = dict(zip(self._controller_names, ports[controllers:], strict=True))
        (self.folder / "key").write_text("a key for a day, shared by all of them")
        for name in self._controller_names:
            document = json.loads(json.dumps(self.settings.document))
            document["name"] = name
            document["fronts"][self._protocol]["port"] = frontend_ports[name]
            document["takeover"] = takeover_section(name, member_ports, lease_ms)
            (self.folder / f"{name}.json").write_text(json.dumps(document))
        is_sasp = self._protocol == "sasp"
        self._proxies = [
            RecordingProxy(now, partial(_local_address, port), is_sasp, name)
            for name, port in frontend_ports.items()
        ]
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    def open_proxies(self) -> list[Address]:
        """Open one proxy for each controller; return their addresses."""
        return [["127.0.0.1", proxy.open()] for proxy in self._proxies]

    def proxies(self) -> list[RecordingProxy]:
        """Return the proxies of all controllers."""
        return self._proxies

    def planners(self) -> list[asyncio.subprocess.Process]:
        """Return the processes of all controllers."""
        return list(self._processes.values())

    async def start_planner(self) -> None:
        """Start all controllers and wait until one of them is the leader."""
        self.planner_starts.append(now())
        for name in self._controller_names:
            with (self.folder / f"{name}.log").open("wb") as log:
                self._processes[name] = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "indigodeck",
                    "serve",
                    "--charter",
                    str(self.folder / f"{name}.json"),
                    stdout=log,
                    stderr=self._log,
                )
        for _ in range(START_POLLS):
            await sleep(START_POLL_INTERVAL_S)
            if self.lease_acquisitions():
                return
        raise PlannerNotStartedError(f"no controller became the leader; see *.log in {self.folder}")

    async def run(self) -> Result:
        """Run the whole script and return its result."""
        try:
            return await super().run()
        finally:
            self._reserved_ports.close()

    def lease_acquisitions(self) -> list[LeaseAcquisition]:
        """Return when each controller became the leader, according to its own log."""
        wall_clock_offset = datetime.datetime.now().timestamp() * SECOND - now()
        acquisitions = []
        for name in self._controller_names:
            for change in read_lease_changes(self.folder / f"{name}.log"):
                if change.acquired:
                    timestamp = change.timestamp.replace("Z", "+00:00")
                    at = datetime.datetime.fromisoformat(timestamp).timestamp() * SECOND
                    monotonic_at = round(at - wall_clock_offset)
                    acquisitions.append(LeaseAcquisition(monotonic_at, change.epoch, name))
        return sorted(acquisitions)

    async def inject_fault(self, fault: Fault) -> None:
        """Inject one fault."""
        if fault.type not in CONTROLLER_FAULTS:
            await super().inject_fault(fault)
            return
        leader = max(self.lease_acquisitions(), key=lambda acquired: acquired.epoch).controller
        if fault.type == "handover":
            await self._hand_over()
            return
        name = (
            leader
            if fault.type == "takeover"
            else choose_share(self.random, self._controller_names, 0.01)[0]
        )
        duration_s = DEFAULT_PAUSE_S if fault.duration_s is None else fault.duration_s
        self.report_progress(f"{fault.type}: {name} is paused for {duration_s:.1f} s")
        self._processes[name].send_signal(signal.SIGSTOP)
        await sleep(duration_s)
        self._processes[name].send_signal(signal.SIGCONT)

    def first_tables(self, events: list[StreamEvent]) -> list[FirstTables]:
        """Return what each new leader wrote within 3 s of acquiring its lease."""
        first_tables = []
        for at, _, name in self.lease_acquisitions():
            written = [
                event
                for event in events
                if event.controller == name
                and event.type == StreamEventType.MESSAGE
                and at <= event.at < at + FIRST_TABLES_WINDOW
            ]
            entries = [count_entries(event.data) for event in written]
            relays = {event.relay for event in written}
            messages_with_entries = sum(1 for count in entries if count)
            first_tables.append(
                FirstTables(at, name, len(relays), messages_with_entries, sum(entries))
            )
        return first_tables

    async def _hand_over(self) -> Any:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "indigodeck",
            "handover",
            "--charter",
            str(self.folder / "c0.json"),
            stdout=asyncio.subprocess.DEVNULL,
        )
        return await process.wait()


def _local_address(port: int) -> tuple[str, int]:
    return "127.0.0.1", port
