"""Controllers as separate processes, and relays of both protocols that know all of them."""

import asyncio
import json
import pathlib
import signal
import sys
from collections.abc import Iterable
from typing import Any, BinaryIO, NamedTuple

from ..client import Tables
from ..client.sasp import SaspClient
from ..client.xds import XdsClient
from ..clock import now
from .discovery_server import EndpointListFile
from .faulty_link import FaultyLink
from .ports import ReservedPorts

PROJECT_FOLDER = pathlib.Path(__file__).parent.parent.parent
FIRST_HOST_PORT = 9000  # nothing needs to listen on the ports of these hosts
HOST_COUNT = 8
CLASS_NAMES = ("reading", "setpoint")
CLIENT_TIMEOUT_S = 0.5
INITIAL_BACKOFF_US = 50_000
MAX_BACKOFF_US = 300_000

# The names of two log events, in the current version and in older versions of the program, which
# benchmarks/upgrade.py runs beside the current one.
LEASE_ACQUIRED_EVENTS = frozenset({"lease_acquired", "in charge"})
LEASE_LOST_EVENTS = frozenset({"lease_lost", "out of charge"})

Address = tuple[str, int]


class LeaseChange(NamedTuple):
    """A controller's log line: it became the leader of a relay group or ceased to be its leader."""

    acquired: bool
    epoch: int
    timestamp: str  # ISO 8601, wall clock


class ConnectedRelay(NamedTuple):
    """A relay in this process, with its tables, its client and the client's task."""

    tables: Tables
    client: SaspClient | XdsClient
    task: asyncio.Task[None]


def takeover_section(
    name: str, member_ports: dict[str, int], lease_ms: int, **options: Any
) -> dict[str, Any]:
    """Return the section `takeover` of one controller's settings file.

    All controllers listen on loopback, and their folder contains the file `key`.
    """
    return {
        "me": name,
        "members": {member: f"127.0.0.1:{port}" for member, port in member_ports.items()},
        "key_file": "key",
        "record": f"{name}.record",
        "lease_ms": lease_ms,
        "drift": 0.02,
        **options,
    }


def read_lease_changes(log: pathlib.Path) -> list[LeaseChange]:
    """Return the lease changes that a controller has logged, in log order."""
    records = [json.loads(line) for line in log.read_text().splitlines() if line.startswith("{")]
    return [
        LeaseChange(record["event"] in LEASE_ACQUIRED_EVENTS, record["epoch"], record["timestamp"])
        for record in records
        if record["event"] in LEASE_ACQUIRED_EVENTS | LEASE_LOST_EVENTS
    ]


class ControllerFleet:
    """Several controllers of one fleet, their endpoint list, and the links between them.

    All controllers share `settings`; the sections for frontends, endpoint list and takeover are
    filled in, and `takeover` adds options to the last. `spare` controllers are not members at the
    start and can be added later. Each controller has a store if `store` is set.
    """

    def __init__(
        self,
        folder: str | pathlib.Path,
        settings: dict[str, Any],
        members: int = 3,
        lease_ms: int = 600,
        spare: int = 0,
        takeover: dict[str, Any] | None = None,
        store: bool = False,
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.links: dict[tuple[str, str], FaultyLink] = {}
        self._logs: dict[str, BinaryIO] = {}
        count = members + spare
        self._reserved_ports = ReservedPorts(3 * count)
        ports = self._reserved_ports.numbers
        self.member_ports = {f"c{index}": ports[index] for index in range(count)}
        self.frontend_ports = {
            f"c{index}": {"sasp": ports[count + index], "xds": ports[2 * count + index]}
            for index in range(count)
        }
        self._initial_members = [f"c{index}" for index in range(members)]
        (self.folder / "key").write_text("a key for tests, shared by all of them")
        self.host_states = dict.fromkeys(range(HOST_COUNT), "ready")
        self._endpoint_list = EndpointListFile(self.folder)
        self.set_host_states()
        for name in self.member_ports:
            section = self._takeover_section(name, lease_ms, takeover or {})
            document = self._settings_document(name, settings, section, store)
            self._settings_path(name).write_text(json.dumps(document))

    def host_port(self, index: int) -> int:
        """Return the port of a host; tests that run real hosts replace this method."""
        return FIRST_HOST_PORT + index

    def change_settings(self, name: str, **takeover: Any) -> None:
        """Change the section `takeover` of one controller's settings, for its next start."""
        path = self._settings_path(name)
        document = json.loads(path.read_text())
        document["takeover"].update(takeover)
        path.write_text(json.dumps(document))

    async def add_links(self) -> None:
        """Connect all controllers through links that can be blocked; call before their start."""
        for name in self.member_ports:
            document = json.loads(self._settings_path(name).read_text())
            addresses = document["takeover"]["members"]
            for other in addresses.keys() - {name}:
                link = self.links[name, other] = FaultyLink(self.member_ports[other])
                addresses[other] = f"127.0.0.1:{await link.listen()}"
            self.change_settings(name, members=addresses)

    def partition(self, *names: str) -> None:
        """Block messages between these controllers and the others; without names, unblock all."""
        for (sender, receiver), link in self.links.items():
            link.blocked = (sender in names) != (receiver in names)

    def set_host_states(self, **states: str) -> None:
        """Change states of hosts (`h0="draining"`) and write the endpoint list."""
        self.host_states.update({int(name[1:]): state for name, state in states.items()})
        self._endpoint_list.write(
            [
                {
                    "id": f"host-{index}",
                    "address": "127.0.0.1",
                    "port": self.host_port(index),
                    "state": state,
                    "weight": 4,
                    "hall": "hall-a",
                }
                for index, state in self.host_states.items()
            ]
        )

    async def start(self, name: str, program: pathlib.Path = PROJECT_FOLDER) -> None:
        """Start one controller; `program` is the folder of the program version to run."""
        self._logs[name] = open(self._log_path(name), "ab")  # noqa: SIM115 - closed by kill, stop
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "indigodeck",
            "serve",
            "--charter",
            str(self._settings_path(name)),
            stdout=self._logs[name],
            stderr=self._logs[name],
            cwd=program,
        )

    def lease_changes(self, name: str) -> list[LeaseChange]:
        """Return the lease changes that one controller has logged."""
        return read_lease_changes(self._log_path(name))

    def leader(self) -> str | None:
        """Return the controller that, by the logs, holds the lease of the highest epoch."""
        leaders = []
        for name in self.member_ports:
            changes = self.lease_changes(name)
            if changes and changes[-1].acquired:
                leaders.append((changes[-1].epoch, name))
        return max(leaders)[1] if leaders else None

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one controller."""
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill one controller and wait until its process has ended."""
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()
        self._logs[name].close()

    async def command(
        self, command: str, *arguments: str, controller: str = "c0"
    ) -> tuple[int, str]:
        """Run an operator command with one controller's settings; return exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "indigodeck",
            command,
            "--charter",
            str(self._settings_path(controller)),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=PROJECT_FOLDER,
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode().strip()

    def connect_relay(
        self, protocol: str, uid: str, planners: Iterable[Address] | None = None
    ) -> ConnectedRelay:
        """Start a relay in this process that knows the given controllers, or all of them."""
        known = planners or [
            ("127.0.0.1", ports[protocol]) for ports in self.frontend_ports.values()
        ]
        tables = Tables(CLASS_NAMES, now)
        client_type = {"sasp": SaspClient, "xds": XdsClient}[protocol]
        client = client_type(uid, known, tables, response_timeout=CLIENT_TIMEOUT_S)
        client.backoff.first_delay = INITIAL_BACKOFF_US
        client.backoff.max_delay = MAX_BACKOFF_US
        return ConnectedRelay(tables, client, asyncio.get_running_loop().create_task(client.run()))

    async def stop(self) -> None:
        """End all controllers, and close their logs, links and reserved ports."""
        for name, process in self.processes.items():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
            self._logs[name].close()
        for link in self.links.values():
            link.close()
        self._reserved_ports.close()

    def _settings_path(self, name: str) -> pathlib.Path:
        return self.folder / f"{name}.json"

    def _log_path(self, name: str) -> pathlib.Path:
        return self.folder / f"{name}.log"

    def _takeover_section(
        self, name: str, lease_ms: int, takeover: dict[str, Any]
    ) -> dict[str, Any]:
        known = {
            other: port
            for other, port in self.member_ports.items()
            if other in self._initial_members or other == name
        }
        joins = {} if name in self._initial_members else {"joins": True}
        return takeover_section(name, known, lease_ms, **joins, **takeover)

    def _settings_document(
        self, name: str, settings: dict[str, Any], takeover: dict[str, Any], store: bool
    ) -> dict[str, Any]:
        document = json.loads(json.dumps(settings))
        document.update(
            name=name,
            roster={"file": "roster.json", "look_every_ms": 50},
            fronts={
                protocol: {"address": "127.0.0.1", "port": port}
                for protocol, port in self.frontend_ports[name].items()
            },
            takeover=takeover,
        )
        if store:
            document["store"] = {"folder": f"{name}.store"}
        document["fronts"]["sasp"]["interval_s"] = 1
        document["reports"] = {"period_ms": 1000, "probes_per_s": 0}
        document["rules"]["gone_binds"] = True
        # Leaves room for answers to relays, which poll once a second.
        document["channel"].update(messages_most=60, answers_most=30)
        return document
