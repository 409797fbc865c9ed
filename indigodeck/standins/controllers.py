"""Real controllers in processes of their own, and relays of both protocols that know them all."""
import asyncio
import json
import pathlib
import signal
import socket
import sys

from ..clock import now
from ..client import Tables
from ..client.sasp import SaspClient
from ..client.xds import XdsClient

ROOT = pathlib.Path(__file__).parent.parent.parent


def free_ports(many):
    """Ports from the kernel, held until all are known."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(many)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Fleet:
    """`charter`: what all are told, but for fronts, roster and takeover, which are filled in."""

    def __init__(self, folder, charter, members=3, lease=600):
        self.folder, self.processes, self.logs = pathlib.Path(folder), {}, {}
        ports = free_ports(3 * members)
        self.members = {f"c{nth}": ports[nth] for nth in range(members)}
        self.wires = {f"c{nth}": {"sasp": ports[members + nth], "xds": ports[2 * members + nth]} for nth in range(members)}
        (self.folder / "key").write_text("a key for tests, shared by all of them")
        self.version, self.states = 0, {nth: "ready" for nth in range(8)}
        self.keep()
        for name in self.members:
            charter = json.loads(json.dumps(charter))
            charter.update(name=name, roster={"file": "roster.json", "look_every_ms": 50},
                           fronts={wire: {"address": "127.0.0.1", "port": port} for wire, port in self.wires[name].items()},
                           takeover={"me": name, "members": {other: f"127.0.0.1:{port}" for other, port in self.members.items()},
                                     "key_file": "key", "record": f"{name}.record", "lease_ms": lease, "drift": 0.02})
            charter["fronts"]["sasp"]["interval_s"] = 1
            charter["reports"] = {"period_ms": 1000, "probes_per_s": 0}
            charter["rules"]["gone_binds"] = True
            charter["channel"].update(messages_most=60, answers_most=30)     # relays that ask once a second are answered
            (self.folder / f"{name}.json").write_text(json.dumps(charter))

    def keep(self, **states):
        self.states.update({int(name[1:]): state for name, state in states.items()})
        self.version += 1
        path = self.folder / "roster.json"
        path.with_suffix(".new").write_text(json.dumps({"version": self.version, "hosts": [
            {"id": f"host-{nth}", "address": "127.0.0.1", "port": 9000 + nth, "state": state, "weight": 4, "hall": "hall-a"}
            for nth, state in self.states.items()]}))
        path.with_suffix(".new").replace(path)

    async def start(self, name):
        self.logs[name] = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "indigodeck", "serve", "--charter", str(self.folder / f"{name}.json"),
            stdout=self.logs[name], stderr=self.logs[name], cwd=ROOT)

    def told(self, name):
        """What a controller logged of its charge: [(in or out, epoch)]"""
        lines = [json.loads(line) for line in (self.folder / f"{name}.log").read_text().splitlines() if line.startswith("{")]
        return [(line["event"], line["epoch"]) for line in lines if line["event"] in ("in charge", "out of charge")]

    def holder(self):
        """Who says last, under the highest epoch, that it is in charge."""
        held = [(told[-1][1], name) for name in self.members if (told := self.told(name)) and told[-1][0] == "in charge"]
        return max(held)[1] if held else None

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def relay(self, wire, uid):
        tables = Tables(["reading", "setpoint"], now)
        client = {"sasp": SaspClient, "xds": XdsClient}[wire](
            uid, [("127.0.0.1", ports[wire]) for ports in self.wires.values()], tables, patience=0.5)
        client.redial.first, client.redial.most = 50_000, 300_000
        return tables, client, asyncio.get_running_loop().create_task(client.run())

    async def end(self):
        for name, process in self.processes.items():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
            self.logs[name].close()
