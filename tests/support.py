"""Helpers for tests over sockets: a planner in this process, raw connections, waiting."""

import asyncio
import contextlib
import json
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Iterable, Mapping, Sequence
from typing import Any

import structlog

from indigodeck.client import Tables
from indigodeck.client.sasp import SaspClient
from indigodeck.clock import now
from indigodeck.planner.planner_settings import PlannerSettings
from indigodeck.serve import start_planner_service

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLE_SCRIPT = json.loads((ROOT / "examples/bad-day.json").read_text())
FIRST_HOST_PORT = 9000  # nothing needs to listen on the ports of these hosts
POLL_INTERVAL_S = 0.01


class Planner:
    """A planner in this process with its own endpoint list; it collects its log events.

    `channel`, `reports` and `sasp` add keys to these sections of its settings.
    """

    def __init__(
        self,
        hosts: int = 6,
        channel: Mapping[str, Any] | Iterable[tuple[str, Any]] = (),
        reports: Mapping[str, Any] | Iterable[tuple[str, Any]] = (),
        **sasp: Any,
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        document = json.loads(json.dumps(EXAMPLE_SCRIPT["charter"]))
        document["channel"].update(channel)
        document["reports"] = {"period_ms": 300, "probes_per_s": 0, **dict(reports)}
        document["roster"] = {"file": "roster.json", "look_every_ms": 20}
        document["fronts"] = {"sasp": {"address": "127.0.0.1", "port": 0, **sasp}}
        self.document = document
        self.logged_events: list[dict[str, Any]] = []
        self.version = 0
        self.hosts: dict[str, dict[str, Any]] = {
            f"host-{index}": {"port": FIRST_HOST_PORT + index} for index in range(hosts)
        }
        self.set_host_states()

    def set_host_states(self, **states: str) -> None:
        """Change states of hosts (`host_0="draining"`) and write the next version of the list."""
        self.version += 1
        for name, state in states.items():
            self.hosts[name.replace("_", "-")]["state"] = state
        defaults = {"address": "127.0.0.1", "state": "ready", "hall": "hall-a", "weight": 4}
        hosts = [{"id": name, **defaults, **host} for name, host in self.hosts.items()]
        path = pathlib.Path(self.folder.name) / "roster.json"
        replacement = path.with_suffix(".new")
        replacement.write_text(json.dumps({"version": self.version, "hosts": hosts}))
        replacement.replace(path)

    async def __aenter__(self) -> "Planner":
        """Start the planner."""
        structlog.configure(
            processors=[self._keep_event],
            logger_factory=structlog.ReturnLoggerFactory(),
            cache_logger_on_first_use=False,
        )
        self.service = start_planner_service(PlannerSettings(self.document, self.folder.name))
        self.port = self.service.frontends[0].port()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the planner."""
        self.service.close()
        await asyncio.sleep(0.05)
        self.folder.cleanup()

    def log_events(self, name: str) -> list[dict[str, Any]]:
        """Return the log events with this name."""
        return [event for event in self.logged_events if event["event"] == name]

    def client(
        self, uid: str = "hall-a/r1", **options: Any
    ) -> tuple[Tables, SaspClient, asyncio.Task[None]]:
        """Start a SASP client; return its tables, the client and its task."""
        tables = Tables(["reading", "setpoint"], now)
        client = SaspClient(uid, [("127.0.0.1", self.port)], tables, **options)
        return tables, client, asyncio.get_running_loop().create_task(client.run())

    def _keep_event(self, logger: Any, method: str, event: Any) -> str:
        self.logged_events.append(event)
        return str(event)


@contextlib.asynccontextmanager
async def raw_connection(
    port: int,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a TCP connection; yield its reader and writer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


async def until(condition: Callable[[], object], seconds: float = 8) -> None:
    """Wait until a condition holds; the time limit only stops tests that hang."""
    for _ in range(round(seconds / POLL_INTERVAL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"condition not met within {seconds:g} s")


def host_numbers(tables: Tables, name: str = "reading") -> set[int]:
    """Return the numbers of the hosts in a table."""
    return {port - FIRST_HOST_PORT for _, port in tables.lines[name]}


async def start_stock_client(
    planner: str, proxy_id: str, class_names: Sequence[str], **options: object
) -> asyncio.subprocess.Process:
    """Start the stock gRPC client as a proxy in a new process; it prints outcomes as JSON lines."""
    arguments = ["--planner", planner, "--uid", proxy_id]
    for name in class_names:
        arguments += ["--class", name]
    for option, value in options.items():
        arguments += [f"--{option}", str(value)]
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "indigodeck",
        "standin",
        "stock",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
