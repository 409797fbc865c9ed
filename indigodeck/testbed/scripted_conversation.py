"""A scripted conversation of several clients, each with its own protocol, with one planner.

A script is a list of steps with these keys: `list` sets states of hosts by id; `way` sets the mode
of the proxies between clients and planner ("pass", "refuse", "silent", "nonsense"); `cut`
disconnects all streams; `stall` blocks the planner for some seconds; `restart` replaces the planner
by a new one; `classes` renames classes in the settings, as of the next restart. A step ends when
the tables of all clients contain exactly the hosts in `until` and all clients have met the error in
`error`, if these are given; then one line per client is recorded.
"""

import asyncio
import pathlib
import time
from collections.abc import Callable
from typing import Any

from ..assignment.seeded_random import SeededRandom
from ..client import ClientError, Tables
from ..client.reconnecting import ReconnectBackoff
from ..client.sasp import SaspClient
from ..client.xds import XdsClient
from ..clock import now
from ..planner.planner_settings import PlannerSettings
from ..serve import start_planner_service
from .discovery_server import EndpointListFile
from .recording_proxy import Address, ProxyMode, RecordingProxy

CLIENTS: dict[str, type[SaspClient | XdsClient]] = {"sasp": SaspClient, "xds": XdsClient}
FIRST_HOST_PORT = 9000
RESPONSE_TIMEOUT_S = 0.5
BACKOFF_SEED = 7
INITIAL_BACKOFF_US = 50_000
MAX_BACKOFF_US = 200_000
STEP_TIMEOUT_S = 10
POLL_INTERVAL_S = 0.01
STOP_TIME_S = 0.2  # for a stopped planner's sockets to close

Step = dict[str, Any]


class Participant:
    """One client of one protocol, with its own proxy."""

    def __init__(
        self, protocol: str, class_names: list[str], planner: Callable[[], Address | None]
    ) -> None:
        self.proxy = RecordingProxy(now, planner, is_sasp=False)
        self.tables = Tables(class_names, now)
        self.errors: list[str] = []
        self._client = CLIENTS[protocol](
            f"party-{protocol}",
            [("127.0.0.1", self.proxy.open())],
            self.tables,
            response_timeout=RESPONSE_TIMEOUT_S,
            connection_lost=self._on_connection_lost,
        )
        self._client.backoff = ReconnectBackoff(
            SeededRandom(BACKOFF_SEED), INITIAL_BACKOFF_US, MAX_BACKOFF_US
        )
        self._task = asyncio.get_running_loop().create_task(self._client.run())

    async def stop(self) -> None:
        """Disconnect and close the proxy."""
        self._client.stop()
        await asyncio.wait([self._task], timeout=2)
        self.proxy.stop()

    def held_ports(self) -> set[int]:
        """Return the ports of all hosts that occur in any table."""
        return {port for lines in self.tables.lines.values() for _, port in lines}

    def tables_text(self, host_names: dict[int, str]) -> str:
        """Return the tables as text: by class, the names of hosts and their shares."""
        return "; ".join(
            f"{class_name} {self._table_text(class_name, host_names)}"
            for class_name in sorted(self.tables.lines)
        )

    def _table_text(self, class_name: str, host_names: dict[int, str]) -> str:
        if not self.tables.lines[class_name]:
            return "nobody"
        shares = sorted(self.tables.shares(class_name).items())
        return " ".join(f"{host_names[port]}:{share:.2f}" for (_, port), share in shares)

    def _on_connection_lost(self, error: ClientError) -> None:
        self.errors.append(type(error).__name__)


class ScriptedConversation:
    """Runs a script with a planner in this process."""

    def __init__(self, script: dict[str, Any], folder: str | pathlib.Path) -> None:
        self._script = script
        self._folder = pathlib.Path(folder)
        self._host_states: dict[str, str] = dict(script["hosts"])
        self._host_names = {
            FIRST_HOST_PORT + index: name for index, name in enumerate(script["hosts"])
        }
        self._classes: list[dict[str, Any]] = script["charter"]["classes"]
        self._endpoint_list = EndpointListFile(folder)
        self._recorded_lines: dict[str, list[str]] = {}
        self._service: Any = None

    async def run(self) -> dict[str, list[str]]:
        """Run all steps; return the lines recorded for each protocol."""
        self._write_list()
        self._start_planner()
        class_names = [entry["name"] for entry in self._classes]
        participants = {
            protocol: Participant(protocol, class_names, self._planner_address(protocol))
            for protocol in CLIENTS
        }
        self._recorded_lines = {protocol: [] for protocol in participants}
        try:
            for step in self._script["steps"]:
                await self._run_step(step, participants)
        finally:
            for participant in participants.values():
                await participant.stop()
            await self._stop_planner()
        return self._recorded_lines

    async def _run_step(self, step: Step, participants: dict[str, Participant]) -> None:
        for participant in participants.values():
            participant.errors.clear()
        if "list" in step:
            self._host_states.update(step["list"])
            self._write_list()
        if "way" in step:
            for participant in participants.values():
                participant.proxy.mode = ProxyMode(step["way"])
        if "classes" in step:
            self._rename_classes(step["classes"])
        if "restart" in step:
            await self._stop_planner()
            self._start_planner()
        if "cut" in step:
            for participant in participants.values():
                participant.proxy.disconnect_all()
        if "stall" in step:
            time.sleep(step["stall"])  # blocks the planner, which runs in this thread
        await self._finish_step(step, participants)

    async def _finish_step(self, step: Step, participants: dict[str, Participant]) -> None:
        """Wait until all clients have reached the step's end, and record each client's tables."""
        deadline = time.monotonic() + STEP_TIMEOUT_S
        for protocol, participant in participants.items():
            while time.monotonic() < deadline and not self._is_step_reached(step, participant):
                await asyncio.sleep(POLL_INTERVAL_S)
            errors = "none"
            if step.get("error"):
                errors = " ".join(dict.fromkeys(participant.errors))
            tables = participant.tables_text(self._host_names)
            self._recorded_lines[protocol].append(f"{step['name']}: errors {errors}; {tables}")

    def _is_step_reached(self, step: Step, participant: Participant) -> bool:
        held = {self._host_names[port] for port in participant.held_ports()}
        expected = step.get("until")
        error = step.get("error")
        return (expected is None or held == set(expected)) and (
            error is None or error in participant.errors
        )

    def _rename_classes(self, new_names: dict[str, str]) -> None:
        self._classes = [
            dict(entry, name=new_names.get(entry["name"], entry["name"])) for entry in self._classes
        ]

    def _write_list(self) -> None:
        ports = {name: port for port, name in self._host_names.items()}
        self._endpoint_list.write(
            [
                {
                    "id": name,
                    "address": "127.0.0.1",
                    "port": ports[name],
                    "state": state,
                    "weight": 4,
                    "hall": self._script["charter"]["halls"][0],
                }
                for name, state in self._host_states.items()
                if state != "gone"
            ]
        )

    def _start_planner(self) -> None:
        document = dict(
            self._script["charter"],
            classes=self._classes,
            roster={"file": "roster.json", "look_every_ms": 20},
            fronts={protocol: {"address": "127.0.0.1", "port": 0} for protocol in CLIENTS},
        )
        self._service = start_planner_service(PlannerSettings(document, self._folder))

    async def _stop_planner(self) -> None:
        self._service.close()
        await asyncio.sleep(STOP_TIME_S)

    def _planner_address(self, protocol: str) -> Callable[[], Address]:
        def address() -> Address:
            frontends = zip(self._service.settings.frontends, self._service.frontends, strict=True)
            return "127.0.0.1", dict(frontends)[protocol].port()

        return address
