"""A scripted day with several controllers, which are stopped, wake, and hand over while relays and hosts are at work."""

import asyncio
import datetime
import json
import signal
import sys

from tornado.gen import sleep

from ..clock import now
from . import audit
from .controllers import charges_in, free_ports, section
from .recording_proxy import RecordingProxy
from .scenario import SECOND, ScenarioRunner


class FleetScenarioRunner(ScenarioRunner):
    """A day of `many` controllers. Further troubles: `stall` (any controller, by chance), `takeover` (who is in charge is
    stopped), `handover`; each for `seconds`.
    """

    def __init__(self, script, folder, many=3, lease_ms=600, say=lambda text: None):
        super().__init__(script, folder, say=say)
        self.names = [f"c{nth}" for nth in range(many)]
        (ports, self.held), wire = free_ports(2 * many), script["relays"].get("wire", "sasp")
        self.ports = dict(zip(self.names, ports))
        (self.folder / "key").write_text("a key for a day, shared by all of them")
        for nth, name in enumerate(self.names):
            document = json.loads(json.dumps(self.settings.document))
            document["name"] = name
            document["fronts"][wire]["port"] = ports[many + nth]
            document["takeover"] = section(name, self.ports, lease_ms)
            (self.folder / f"{name}.json").write_text(json.dumps(document))
        self.all_taps = [
            RecordingProxy(
                now, lambda port=ports[many + nth]: ("127.0.0.1", port), wire == "sasp", name
            )
            for nth, name in enumerate(self.names)
        ]
        self.processes = {}

    def open_taps(self):
        return [["127.0.0.1", tap.open()] for tap in self.all_taps]

    def taps(self):
        return self.all_taps

    def planners(self):
        return list(self.processes.values())

    async def start_planner(self):
        self.starts.append(now())
        for name in self.names:
            with open(self.folder / f"{name}.log", "wb") as log:
                self.processes[name] = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "indigodeck",
                    "serve",
                    "--charter",
                    str(self.folder / f"{name}.json"),
                    stdout=log,
                    stderr=self.log,
                )
        for _ in range(400):
            await sleep(0.05)
            if self.charges():
                return
        raise RuntimeError("nobody is in charge")

    async def play(self):
        try:
            return await super().play()
        finally:
            for one in self.held:
                one.close()

    def charges(self):
        """[(moment, epoch, controller)] as their own logs say."""
        gap, found = datetime.datetime.now().timestamp() * SECOND - now(), []
        for name in self.names:
            for what, epoch, written in charges_in(self.folder / f"{name}.log"):
                if what == "in charge":
                    at = datetime.datetime.fromisoformat(written.replace("Z", "+00:00")).timestamp()
                    found.append((round(at * SECOND - gap), epoch, name))
        return sorted(found)

    async def trouble(self, stated):
        kind, seconds = stated["kind"], stated.get("seconds", 2.0)
        if kind not in ("stall", "takeover", "handover"):
            return await super().trouble(stated)
        held = max(self.charges(), key=lambda charge: charge[1])[2]
        if kind == "handover":
            ran = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "indigodeck",
                "handover",
                "--charter",
                str(self.folder / "c0.json"),
                stdout=asyncio.subprocess.DEVNULL,
            )
            return await ran.wait()
        name = held if kind == "takeover" else self.struck(self.names, 0.01)[0]
        self.say(f"{kind}: {name} stops for {seconds:.1f} s")
        self.processes[name].send_signal(signal.SIGSTOP)
        await sleep(seconds)
        return self.processes[name].send_signal(signal.SIGCONT)

    def laid(self, seen, span=3 * SECOND):
        """For each charge, what its controller told relays in its first 3 s: (moment, controller, relays, messages, lines)."""
        found = []
        for at, _, name in self.charges():
            told = [
                one
                for one in seen
                if one.by == name and one.what == "message" and at <= one.at < at + span
            ]
            lines = sum(audit.entries(one.data) for one in told)
            found.append(
                (
                    at,
                    name,
                    len({one.relay for one in told}),
                    sum(1 for one in told if audit.entries(one.data)),
                    lines,
                )
            )
        return found
