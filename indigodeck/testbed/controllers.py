"""Real controllers in processes of their own, and relays of both protocols that know them all."""

import asyncio
import json
import pathlib
import signal
import socket
import sys

from ..client import Tables
from ..client.sasp import SaspClient
from ..client.xds import XdsClient
from ..clock import now
from .discovery_server import ListFile

ROOT = pathlib.Path(__file__).parent.parent.parent


def section(me, members, lease, **more):
    """A charter's section `takeover`, for controllers at these ports that share a folder with the file `key`."""
    return {
        "me": me,
        "members": {name: f"127.0.0.1:{port}" for name, port in members.items()},
        "key_file": "key",
        "record": f"{me}.record",
        "lease_ms": lease,
        "drift": 0.02,
        **more,
    }


def charges_in(path):
    """What a controller logged of its charge: [(in or out, epoch, wall clock as written)]"""
    lines = [json.loads(line) for line in path.read_text().splitlines() if line.startswith("{")]
    return [
        (line["event"], line["epoch"], line["timestamp"])
        for line in lines
        if line["event"] in ("in charge", "out of charge")
    ]


def free_ports(many):
    """(ports from the kernel, sockets that hold them until closed). Bound and not listening, they let a controller take its
    port and nobody else: a port that was merely free a moment ago was taken by some connection now and then.
    """
    held = [socket.socket() for _ in range(many)]
    for one in held:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(("127.0.0.1", 0))
    return [one.getsockname()[1] for one in held], held


class Gate:
    """A way to one port on which nothing may pass, or only so many bytes more of what is answered."""

    def __init__(self, target):
        self.target, self.shut, self.answered_most, self.writers, self.server = (
            target,
            False,
            None,
            set(),
            None,
        )

    async def open(self, port=0):
        self.server = await asyncio.start_server(self._pass, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def _pass(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return writer.close()
        self.writers |= {writer, far_writer}
        await asyncio.wait(
            [
                asyncio.ensure_future(self._copy(reader, far_writer, False)),
                asyncio.ensure_future(self._copy(far_reader, writer, True)),
            ]
        )
        self.writers -= {writer, far_writer}

    async def _copy(self, reader, writer, answers):
        try:
            while data := await reader.read(65536):
                if self.answered_most is not None and answers:
                    data, self.answered_most = (
                        data[: self.answered_most],
                        max(0, self.answered_most - len(data)),
                    )
                # Held back, not refused: messages are lost while both ends think that they are connected.
                if not self.shut and data:
                    writer.write(data)
        except OSError:
            pass
        finally:
            writer.close()

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.close()


class Fleet:
    """`charter`: what all are told, but for fronts, roster and takeover, which are filled in. `stated`: more for that section.
    `spare`: controllers that stand by to be let in; `store`: whether each has one.
    """

    def __init__(self, folder, settings, members=3, lease=600, spare=0, stated=None, store=False):
        self.folder, self.processes, self.logs, self.gates = pathlib.Path(folder), {}, {}, {}
        self.place = lambda nth: 9000 + nth  # of a host that need not exist
        settings = json.loads(json.dumps(settings))
        all_of_them = members + spare
        ports, self.held = free_ports(3 * all_of_them)
        self.members = {f"c{nth}": ports[nth] for nth in range(all_of_them)}
        self.wires = {
            f"c{nth}": {"sasp": ports[all_of_them + nth], "xds": ports[2 * all_of_them + nth]}
            for nth in range(all_of_them)
        }
        self.first = [f"c{nth}" for nth in range(members)]
        (self.folder / "key").write_text("a key for tests, shared by all of them")
        self.listed, self.states = ListFile(folder), {nth: "ready" for nth in range(8)}
        self.keep()
        for name in self.members:
            settings = json.loads(json.dumps(settings))
            settings.update(
                name=name,
                roster={"file": "roster.json", "look_every_ms": 50},
                fronts={
                    wire: {"address": "127.0.0.1", "port": port}
                    for wire, port in self.wires[name].items()
                },
                takeover=section(
                    name,
                    {
                        other: port
                        for other, port in self.members.items()
                        if other in self.first or other == name
                    },
                    lease,
                    **({} if name in self.first else {"joins": True}),
                    **(stated or {}),
                ),
            )
            if store:
                settings["store"] = {"folder": f"{name}.store"}
            settings["fronts"]["sasp"]["interval_s"] = 1
            settings["reports"] = {"period_ms": 1000, "probes_per_s": 0}
            settings["rules"]["gone_binds"] = True
            settings["channel"].update(
                messages_most=60, answers_most=30
            )  # relays that ask once a second are answered
            (self.folder / f"{name}.json").write_text(json.dumps(settings))

    def state(self, name, **more):
        """Tells a controller more in its section takeover, for its next start."""
        path = self.folder / f"{name}.json"
        settings = json.loads(path.read_text())
        settings["takeover"].update(more)
        path.write_text(json.dumps(settings))

    async def gate(self):
        """Gates on all ways between controllers; before they start."""
        for name in self.members:
            places = json.loads((self.folder / f"{name}.json").read_text())["takeover"]["members"]
            for other in places.keys() - {name}:
                gate = self.gates[name, other] = Gate(self.members[other])
                places[other] = f"127.0.0.1:{await gate.open()}"
            self.state(name, members=places)

    def cut(self, *names):
        """Nothing passes between these and the others, both ways, until told again; nobody named: all passes."""
        for (a, b), gate in self.gates.items():
            gate.shut = (a in names) != (b in names)

    def keep(self, **states):
        self.states.update({int(name[1:]): state for name, state in states.items()})
        self.listed.keep(
            [
                {
                    "id": f"host-{nth}",
                    "address": "127.0.0.1",
                    "port": self.place(nth),
                    "state": state,
                    "weight": 4,
                    "hall": "hall-a",
                }
                for nth, state in self.states.items()
            ]
        )

    async def start(self, name, program=ROOT):
        """`program`: the folder of another version of it."""
        self.logs[name] = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "indigodeck",
            "serve",
            "--charter",
            str(self.folder / f"{name}.json"),
            stdout=self.logs[name],
            stderr=self.logs[name],
            cwd=program,
        )

    def told(self, name):
        """What a controller logged of its charge: [(in or out, epoch)]"""
        return [(what, epoch) for what, epoch, _ in charges_in(self.folder / f"{name}.log")]

    def holder(self):
        """Who says last, under the highest epoch, that it is in charge."""
        held = [
            (told[-1][1], name)
            for name in self.members
            if (told := self.told(name)) and told[-1][0] == "in charge"
        ]
        return max(held)[1] if held else None

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    async def ended(self, name):
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()
        self.logs[name].close()

    async def command(self, *words, of="c0"):
        """(exit code, what it said) of an operator's command, by the charter of one controller."""
        ran = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "indigodeck",
            words[0],
            "--charter",
            str(self.folder / f"{of}.json"),
            *words[1:],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=ROOT,
        )
        said, _ = await ran.communicate()
        return ran.returncode, said.decode().strip()

    def relay(self, wire, uid, known=None):
        tables = Tables(["reading", "setpoint"], now)
        client = {"sasp": SaspClient, "xds": XdsClient}[wire](
            uid,
            known or [("127.0.0.1", ports[wire]) for ports in self.wires.values()],
            tables,
            response_timeout=0.5,
        )
        client.backoff.first_delay, client.backoff.max_delay = 50_000, 300_000
        return tables, client, asyncio.get_running_loop().create_task(client.run())

    async def end(self):
        for name, process in self.processes.items():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
            self.logs[name].close()
        for gate in [*self.gates.values(), *self.held]:
            gate.close()
