"""Plays a scripted day on loopback: starts a planner and its stand-ins, lets things go wrong, has it judged.

One process each for the planner, for groups of hosts and for groups of relays with their clients; the list's
keeper and the tap on the relays' streams are in this one. Every process is ended by its own id.
"""

import asyncio
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile
import time

from tornado.gen import sleep

from ..assignment.seeded_random import SeededRandom
from ..clock import now
from ..json_documents import InvalidDocumentError, load_schema, schema_errors
from ..planner.planner_settings import PlannerSettings
from . import audit
from .discovery_server import DiscoveryServer
from .recording_proxy import RecordingProxy, Seen

SECOND = 1_000_000
SCHEMA = load_schema(__file__, "scenario.schema.json")
# What a bench day calls its troubles, and which of ours each is; the others have no counterpart on sockets.
FROM_BENCH = {
    "crash": "crash",
    "vanish": "silent",
    "hang": "hang",
    "fast_errors": "errors",
    "neighbour": "slow",
    "deploy": "deploy",
    "shrink": "shrink",
    "discovery_stale": "roster_late",
    "wrong_list": "roster_wrong",
    "balancer_roll": "planner_killed",
    "balancer_stall": "planner_stalled",
    "counter_down": "relay_cut",
}


def from_bench(troubles):
    """Troubles (kind, at, len, part, size; times in seconds) as a bench day has them, as ours, and the kinds
    that have no counterpart.
    """
    ours, left = [], []
    for trouble in troubles:
        kind = FROM_BENCH.get(trouble["kind"])
        if kind is None:
            left.append(trouble["kind"])
            continue
        ours.append(
            {
                "kind": kind,
                "at": trouble["at"],
                "seconds": max(0.1, trouble.get("len", 5)),
                "part": min(1.0, trouble.get("part") or 0.2),
                "size": trouble.get("size") or 0.2,
            }
        )
    return ours, left


def check(script):
    """What is wrong with a script, by place; its charter's faults among them."""
    against = schema_errors(script, SCHEMA)
    if not against:
        try:
            settings = PlannerSettings(settings_document(script, 1))
        except InvalidDocumentError as error:
            return ["charter: " + line for line in str(error).splitlines()]
        names = [kind["name"] for kind in script["classes"]]
        if sorted(names) != sorted(settings.classes):
            against.append(f"classes: {sorted(names)}, the charter has {sorted(settings.classes)}")
        for place, trouble in enumerate(script.get("troubles", [])):
            if trouble.get("hall") not in (None, *settings.halls):
                against.append(
                    f"troubles/{place}/hall: {trouble['hall']!r} is none of the halls {settings.halls}"
                )
    return against


def settings_document(script, keeper_port):
    settings = json.loads(json.dumps(script["charter"]))
    settings["roster"] = {"service": f"http://127.0.0.1:{keeper_port}"}
    wire = script["relays"].get("wire", "sasp")
    settings["fronts"] = {
        wire: dict(settings.get("fronts", {}).get(wire, {}), address="127.0.0.1", port=0)
    }
    settings.setdefault("relays", {}).setdefault("most", script["relays"]["many"])
    settings["relays"].setdefault(
        "halls", [{"prefix": hall + "/", "hall": hall} for hall in settings["halls"]]
    )
    return settings


class Crew:
    """A process that obeys commands on its standard input, one JSON line each, and answers each with one."""

    def __init__(self, process):
        self.process, self.turn = process, asyncio.Lock()

    @classmethod
    async def start(cls, *words):
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "indigodeck",
                *words,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=1 << 24,
            )
        )

    async def do(self, **command):
        async with self.turn:
            self.process.stdin.write(json.dumps(command).encode() + b"\n")
            await self.process.stdin.drain()
            line = await asyncio.wait_for(self.process.stdout.readline(), 20)
        answer = json.loads(line) if line else {"error": "the process has ended"}
        if "error" in answer:
            raise RuntimeError(f"{command.get('do')}: {answer['error']}")
        return answer

    async def end(self):
        self.process.stdin.close()
        await ended(self.process)


async def ended(process):
    """Waits for an end that was asked for; who does not end is killed."""
    try:
        await asyncio.wait_for(process.wait(), 5)
    except TimeoutError:
        process.kill()
        await process.wait()


class ScenarioRunner:
    """One fleet with its planner. `policy`: "indigodeck" or the name of a baseline."""

    def __init__(self, script, folder, policy="indigodeck", say=lambda text: None):
        self.script, self.folder, self.policy, self.say = script, pathlib.Path(folder), policy, say
        self.folder.mkdir(parents=True, exist_ok=True)
        self.chance, self.hosts, self.crews, self.depots = (
            SeededRandom(script.get("seed", 1)),
            {},
            [],
            [],
        )
        self.planner, self.port, self.starts, self.serial, self.told = None, None, [], 0, []
        self.log = open(self.folder / "planner.log", "ab")
        self.keeper, self.tap = (
            DiscoveryServer(self._told),
            RecordingProxy(
                now,
                lambda: self.port and ("127.0.0.1", self.port),
                script["relays"].get("wire", "sasp") == "sasp",
            ),
        )
        self.keeper.late = round(script.get("roster", {}).get("late_ms", 0) * 1000)
        self.settings = PlannerSettings(settings_document(script, self.keeper.listen()))
        (self.folder / "charter.json").write_text(json.dumps(self.settings.document))
        self.relay_of = {}

    # Where relays find it. With several controllers these differ (fleet_day.py).

    def open_taps(self):
        return [["127.0.0.1", self.tap.open()]]

    def taps(self):
        return [self.tap]

    def charges(self):
        return []

    def planners(self):
        return [self.planner] if self.planner is not None else []

    def _told(self, host, state):
        self.told.append(
            (now(), host, state, self.hosts[host]["born"] if host in self.hosts else 0)
        )

    # The fleet.

    async def host(self, hall, cold):
        """One more host; cold ones warm up as the charter's rules say."""
        self.serial += 1
        name, stated, rules = f"host-{self.serial}", self.script["hosts"], self.settings.deployment
        crew = self.crews[self.serial % len(self.crews)]
        cores, born = stated.get("cores", 4), now() if cold else 0
        answer = await crew.do(
            do="start",
            host=name,
            cores=cores,
            slots=stated.get("slots", 2 * cores),
            room=stated.get("room", 16 * cores),
            started=born,
            cold_time=rules.warm_up_time,
            cold_share=rules.cold_capacity_share,
            tip_multiple=rules.overload_multiple,
            tip_time=rules.overload_time,
        )
        self.hosts[name] = {
            "crew": crew,
            "born": born,
            "entry": {
                "id": name,
                "address": "127.0.0.1",
                "port": answer["port"],
                "hall": hall,
                "weight": float(cores),
                "kind": (self.settings.kinds or ["std"])[0],
                "state": "ready",
                "started_ms": time.time_ns() // 1_000_000 if cold else 0,
            },
        }
        return name

    def entry(self, name, state):
        return dict(self.hosts[name]["entry"], state=state)

    async def replace(self, name, drained, successor):
        """A host drains and ends; its successor, if it has one, is there from the start, cold."""
        self.keeper.set(self.entry(name, "draining"))
        if successor:
            self.keeper.set(
                self.entry(await self.host(self.hosts[name]["entry"]["hall"], True), "ready")
            )
        await sleep(drained)
        await self.gone(name)

    async def gone(self, name):
        entry = self.entry(name, "gone")
        await self.hosts[name]["crew"].do(do="stop", host=name)
        self.keeper.set(entry)
        self.hosts[name]["over"] = True

    def running(self, hall=None):
        return [
            name
            for name, host in self.hosts.items()
            if not host.get("over") and hall in (None, host["entry"]["hall"])
        ]

    def struck(self, names, part):
        """So many of them, by chance, one at least."""
        names, chosen = list(names), []
        for _ in range(min(len(names), max(1, round(len(names) * part)))):
            chosen.append(names.pop(self.chance.below(len(names))))
        return chosen

    # The planner.

    async def start_planner(self):
        words = ["serve", "--charter", str(self.folder / "charter.json"), "--log", "json"]
        words += ["--policy", self.policy] if self.policy != "indigodeck" else []
        self.planner = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "indigodeck",
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=self.log,
            limit=1 << 20,
        )
        self.starts.append(now())
        asyncio.get_running_loop().create_task(self._read_log(self.planner))
        for _ in range(200):
            await sleep(0.05)
            if self.port is not None:
                return
        raise RuntimeError(f"the planner did not listen; see {self.folder / 'planner.log'}")

    async def _read_log(self, planner):
        while line := await planner.stdout.readline():
            self.log.write(line)
            self.log.flush()
            if b'"listening"' in line and planner is self.planner:
                self.port = json.loads(line)["port"]

    # What goes wrong.

    async def trouble(self, stated):
        kind, part, size = stated["kind"], stated.get("part", 0.2), stated.get("size", 0.5)
        seconds = stated.get("seconds", 10.0)
        self.say(f"{kind} {stated.get('hall', '')} part {part} size {size} for {seconds:.0f} s")
        if kind in ("slow", "hang", "errors", "silent"):
            names = self.struck(self.running(stated.get("hall")), part)
            for name in names:
                await self.hosts[name]["crew"].do(do="hurt", host=name, fault=kind, part=size)
            await sleep(seconds)
            for name in set(names) & set(self.running()):
                await self.hosts[name]["crew"].do(do="hurt", host=name, fault=None)
        elif kind == "crash":
            for name in self.struck(self.running(stated.get("hall")), part):
                hall = self.hosts[name]["entry"]["hall"]
                await self.gone(name)
                asyncio.get_running_loop().call_later(seconds, self._spawn, self._again, hall)
        elif kind in ("deploy", "shrink"):
            # In waves of `size` of the fleet; each host has a little time to end what it holds.
            names = self.struck(self.running(stated.get("hall")), part)
            batch = max(1, round(len(names) * min(1.0, size)))
            waves = -(-len(names) // batch)
            for wave in range(waves):
                for name in names[wave * batch : (wave + 1) * batch]:
                    self._spawn(self.replace, name, 6.0, kind == "deploy")
                await sleep(seconds / waves)
        elif kind == "roster_late":
            self.keeper.late += round(size * SECOND)
            await sleep(seconds)
            self.keeper.late -= round(size * SECOND)
        elif kind == "roster_wrong":
            names = [
                name for name in self.struck(self.running(), part) if name in self.keeper.hosts
            ]
            self.keeper.say([self.entry(name, "gone") for name in names])
            await sleep(seconds)
            self.keeper.say([self.entry(name, "ready") for name in names if name in self.running()])
        elif kind == "roster_down":
            self.keeper.shut()
            await sleep(seconds)
            self.keeper.again()
        elif kind == "planner_killed":
            self.planner.send_signal(signal.SIGKILL)
            self.port = None
            await self.planner.wait()
            await sleep(size)
            await self.start_planner()
        elif kind == "planner_stalled":
            self.planner.send_signal(signal.SIGSTOP)
            await sleep(seconds)
            self.planner.send_signal(signal.SIGCONT)
        elif kind == "relay_cut":
            for uid in self.struck(self.relay_of, part):
                await self.relay_of[uid].do(do="drop", uid=uid)
        elif kind == "relay_deaf":
            for uid in self.struck(self.relay_of, part):
                self.tap.deafen(uid, now() + round(seconds * SECOND))
        elif kind == "relays_join":
            # All lose their streams one after the other: joins in quick succession, over and over.
            uids = list(self.relay_of) * max(1, round(size))
            for uid in uids:
                await self.relay_of[uid].do(do="drop", uid=uid)
                await sleep(seconds / len(uids))

    async def _again(self, hall):
        self.keeper.set(self.entry(await self.host(hall, True), "ready"))

    def _spawn(self, call, *given):
        return asyncio.get_running_loop().create_task(call(*given))

    # The day.

    async def play(self):
        script, hosts, relays = self.script, self.script["hosts"], self.script["relays"]
        work = {kind["name"]: round(kind["work_ms"] * 1000) for kind in script["classes"]}
        tasks, problems = [], []
        try:
            for nth in range(hosts.get("processes", 2)):
                self.crews.append(
                    await Crew.start(
                        "standin",
                        "host",
                        "--receipts",
                        str(self.folder / f"receipts-{nth}"),
                        "--work",
                        json.dumps(work),
                    )
                )
            halls = self.settings.halls
            first = [
                await self.host(halls[nth % len(halls)], False) for nth in range(hosts["many"])
            ]
            self.keeper.say([self.entry(name, "ready") for name in first])
            places = self.open_taps()
            await self.start_planner()
            for nth in range(relays.get("processes", 2)):
                self.depots.append(
                    await Crew.start(
                        "standin", "relay", "--outcomes", str(self.folder / f"outcomes-{nth}")
                    )
                )
            begun = now()
            until = begun + round(script["seconds"] * SECOND)
            classes = [
                dict(stated, **kind)
                for kind in script["classes"]
                for stated in script["charter"]["classes"]
                if stated["name"] == kind["name"]
            ]
            # A few relays carry far more than the others.
            parts = [1 / (1 + nth) ** 0.5 for nth in range(relays["many"])]
            for nth in range(relays["many"]):
                hall = halls[nth % len(halls)]
                uid, near = (
                    f"{hall}/relay-{nth}",
                    [name for name in first if self.hosts[name]["entry"]["hall"] == hall],
                )
                standing = self.struck(near if len(near) >= 3 else first, 1.0)[
                    : relays.get("standing", 5)
                ]
                depot = self.relay_of[uid] = self.depots[nth % len(self.depots)]
                await depot.do(
                    do="start",
                    until=until,
                    relay={
                        "uid": uid,
                        "planners": places,
                        "classes": classes,
                        "seed": script.get("seed", 1),
                        "wire": relays.get("wire", "sasp"),
                        "hall": hall,
                        "planner_patience": 3.0 if len(places) == 1 else 1.0,
                        "standing": [
                            ["127.0.0.1", self.hosts[name]["entry"]["port"]] for name in standing
                        ],
                        "rate": relays["rate"] * parts[nth] / sum(parts),
                        "retries": relays.get("retries", 0),
                        "strikes": relays.get("strikes", 0),
                        "unruly": relays.get("unruly", {}).get(uid),
                    },
                )
            for trouble in script.get("troubles", []):
                tasks.append(self._spawn(self._at, begun, trouble, problems))
            while now() < until + 2 * SECOND:
                await sleep(0.2)
                if problems:
                    raise problems[0]
            for depot in self.depots:
                await depot.do(do="leave")
        finally:
            for task in tasks:
                task.cancel()
            for planner in self.planners():
                if planner.returncode is None:
                    planner.send_signal(signal.SIGCONT)
                    planner.terminate()
                    await ended(planner)
            for crew in self.depots + self.crews:
                await crew.end()
            for tap in self.taps():
                tap.stop()
            self.keeper.server.stop()
            self.log.close()
        return self.judged(begun)

    async def _at(self, begun, trouble, problems):
        try:
            await sleep(max(0.0, (begun - now()) / SECOND + trouble["at"]))
            await self.trouble(trouble)
        except (
            Exception
        ) as error:  # the day ends with it: a script that can't be played proves nothing
            problems.append(error)

    def judged(self, begun):
        deployment = self.settings.deployment
        # The auditor counts all messages that may be written, answers to relays' own requests too.
        channel = dataclasses.replace(
            deployment.channel, max_messages=self.settings.channel["messages_most"]
        )
        figures = dataclasses.replace(deployment, channel=channel)
        day = audit.Day(figures, self.settings.classes, begun)
        for path in sorted(self.folder.iterdir()):
            if path.name.startswith("receipts-"):
                day.receipts += audit.lines_of(path)
            elif path.name.startswith("outcomes-"):
                lines = audit.lines_of(path)
                day.outcomes += [line for line in lines if "seen" not in line]
                names = [tap.by for tap in self.taps()]
                day.seen += [
                    Seen(
                        line["at"],
                        line["relay"],
                        line["seen"],
                        line["tables"],
                        names[line["to"]],
                        line["epoch"],
                    )
                    for line in lines
                    if "seen" in line
                ]
        day.told, day.starts, day.charges = self.told, self.starts, self.charges()
        day.seen += [seen for tap in self.taps() for seen in tap.seen if seen.relay]
        self.audited = day
        verdicts, service = day.verdicts(), day.service()
        waiting = [
            json.loads(line).get("most_waiting", 0)
            for path in sorted(self.folder.glob("*.log"))
            for line in path.read_text().splitlines()
            if line.startswith("{") and "most_waiting" in line
        ]
        return {
            "policy": self.policy,
            "wire": self.script["relays"].get("wire", "sasp"),
            "seconds": self.script["seconds"],
            "rules": [
                {
                    "rule": verdict.rule,
                    "kept": verdict.kept,
                    "worst": verdict.worst,
                    "limit": verdict.limit,
                    "unit": verdict.unit,
                    "cases": [
                        {"at_s": round(day.moment(at), 3), "who": who, "what": what}
                        for at, who, what in verdict.cases
                    ],
                }
                for verdict in verdicts
            ]
            + [
                {
                    "rule": "a short queue (the planner's own count)",
                    "kept": max(waiting, default=0)
                    <= self.settings.deployment.channel.max_waiting_lines,
                    "worst": max(waiting, default=0),
                    "limit": self.settings.deployment.channel.max_waiting_lines,
                    "unit": "lines",
                    "cases": [],
                }
            ],
            "service": service,
            "wire_bytes": sum(tap.bytes_sent for tap in self.taps()),
            "wire_messages": sum(seen.what == "message" for seen in day.seen),
        }


def printed(result):
    """A day's result for people."""
    lines = [f"{result['policy']}: {result['seconds']:g} s, {result['service']['asked']} exchanges"]
    for rule in result["rules"]:
        scale, unit = (1e6, "s") if rule["unit"] == "us" else (1, rule["unit"])
        lines.append(
            f"  {'kept  ' if rule['kept'] else 'BROKEN'}  {rule['rule']}: {rule['worst'] / scale:.3g} "
            f"of {rule['limit'] / scale:.3g} {unit}"
        )
        lines += [
            f"          {case['at_s']:.2f} s  {case['who']}: {case['what']}"
            for case in rule["cases"]
        ]
    service = result["service"]
    lines.append(
        f"  service {service['whole']:.3f}, worst 10 s {service['worst_10_s']:.3f}, "
        f"worst class {service['worst_class']:.3f}"
    )
    lines.append("  by 5 s  " + " ".join(f"{part:.2f}" for part in service["by_5_s"]))
    lines.append(
        "  " + ", ".join(f"{outcome} {count}" for outcome, count in service["outcomes"].items())
    )
    lines.append(
        f"  to relays over {result['wire']}: {result['wire_messages']} messages, {result['wire_bytes']} bytes"
    )
    return "\n".join(lines)


async def run(script, policies=("indigodeck",), folder=None, say=lambda text: None):
    """Plays a day, under several policies side by side if asked; a result for each."""
    with tempfile.TemporaryDirectory() as made:
        plays = [
            ScenarioRunner(
                script,
                pathlib.Path(folder or made) / policy,
                policy,
                lambda text, policy=policy: say(
                    text if len(policies) == 1 else f"{policy}: {text}"
                ),
            )
            for policy in policies
        ]
        return await asyncio.gather(*(play.play() for play in plays))
