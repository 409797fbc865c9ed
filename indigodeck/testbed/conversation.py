"""One scripted conversation, held by several clients with one planner, each over a protocol of its own.

A script is a list of steps. `list`: states of hosts by id; `way`: what stands between clients and planner ("pass",
"refuse", "silent", "nonsense"); `cut`: all streams break; `stall`: the planner stands still for some seconds;
`restart`: it ends and another starts; `classes`: the charter's from the next restart on. Each step ends when all clients hold
the tables that `until` states by hosts, or met the error that it names; then a line is printed for each.
"""

import asyncio
import pathlib
import time

from ..assignment.seeded_random import SeededRandom
from ..client import Tables
from ..client.reconnecting import ReconnectBackoff
from ..client.sasp import SaspClient
from ..client.xds import XdsClient
from ..clock import now
from ..planner.planner_settings import PlannerSettings
from ..serve import assemble
from .discovery_server import EndpointListFile
from .recording_proxy import RecordingProxy

CLIENTS = {"sasp": SaspClient, "xds": XdsClient}


class Party:
    """One client, over one protocol, behind a way of its own."""

    def __init__(self, wire, names, planner):
        self.tap = RecordingProxy(now, planner, is_sasp=False)
        self.tables, self.errors = Tables(names, now), []
        self.client = CLIENTS[wire](
            f"party-{wire}",
            [("127.0.0.1", self.tap.open())],
            self.tables,
            response_timeout=0.5,
            connection_lost=lambda error: self.errors.append(type(error).__name__),
        )
        self.client.backoff = ReconnectBackoff(SeededRandom(7), 50_000, 200_000)
        self.task = asyncio.get_running_loop().create_task(self.client.run())

    def told(self, ports):
        """Tables in words: hosts and their shares, by class."""
        return {
            name: " ".join(
                f"{ports[port]}:{part:.2f}"
                for (_, port), part in sorted(self.tables.shares(name).items())
            )
            if lines
            else "nobody"
            for name, lines in self.tables.lines.items()
        }


class Talkers:
    def __init__(self, script, folder):
        self.script, self.folder, self.service = script, pathlib.Path(folder), None
        self.hosts, self.listed, self.printed = dict(script["hosts"]), EndpointListFile(folder), {}
        self.ports = {9000 + nth: name for nth, name in enumerate(script["hosts"])}
        self.places = {name: port for port, name in self.ports.items()}
        self.classes = script["charter"]["classes"]

    def keep(self):
        self.listed.write(
            [
                {
                    "id": name,
                    "address": "127.0.0.1",
                    "port": self.places[name],
                    "state": state,
                    "weight": 4,
                    "hall": self.script["charter"]["halls"][0],
                }
                for name, state in self.hosts.items()
                if state != "gone"
            ]
        )

    def start(self):
        document = dict(
            self.script["charter"],
            classes=self.classes,
            roster={"file": "roster.json", "look_every_ms": 20},
            fronts={wire: {"address": "127.0.0.1", "port": 0} for wire in CLIENTS},
        )
        self.service = assemble(PlannerSettings(document, self.folder))

    async def stop(self):
        self.service.cease()
        await asyncio.sleep(0.2)

    def port(self, wire):
        return lambda: (
            "127.0.0.1",
            dict(zip(self.service.settings.fronts, self.service.fronts))[wire].port(),
        )

    async def play(self):
        """The trace of each protocol: a list of lines."""
        self.keep()
        self.start()
        names = [kind["name"] for kind in self.classes]
        parties = {wire: Party(wire, names, self.port(wire)) for wire in CLIENTS}
        self.printed = {wire: [] for wire in parties}
        try:
            for step in self.script["steps"]:
                await self.step(step, parties)
        finally:
            for party in parties.values():
                party.client.stop()
                await asyncio.wait([party.task], timeout=2)
                party.tap.stop()
            await self.stop()
        return self.printed

    async def step(self, step, parties):
        for party in parties.values():
            party.errors.clear()
        if "list" in step:
            self.hosts.update(step["list"])
            self.keep()
        if "way" in step:
            for party in parties.values():
                party.tap.mode = step["way"]
        if "classes" in step:
            self.classes = [
                dict(kind, name=step["classes"].get(kind["name"], kind["name"]))
                for kind in self.classes
            ]
        if "restart" in step:
            await self.stop()
            self.start()
        if "cut" in step:
            for party in parties.values():
                party.tap.cut_all()
        if "stall" in step:
            time.sleep(step["stall"])
        wanted, error, ended = step.get("until"), step.get("error"), time.monotonic() + 10
        for wire, party in parties.items():
            while time.monotonic() < ended:
                held = {
                    self.ports[port] for lines in party.tables.lines.values() for _, port in lines
                }
                if (wanted is None or held == set(wanted)) and (
                    error is None or error in party.errors
                ):
                    break
                await asyncio.sleep(0.01)
            errors = " ".join(dict.fromkeys(party.errors)) if error else "none"
            self.printed[wire].append(
                f"{step['name']}: errors {errors}; "
                + "; ".join(
                    f"{name} {told}" for name, told in sorted(party.told(self.ports).items())
                )
            )
