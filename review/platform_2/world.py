"""A stand-in for the platform round one planner: relay, discovery, collectors, proxies, servers.

It follows the protocol page and the wire page. Proxies, clients and servers live in this process;
the planner meets the relay, discovery, the collectors and the servers' health checks on loopback
sockets. Times are seconds of the monotonic clock unless a name ends in `_ms`. Needs only the
standard library.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import tomllib
from collections import deque
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parents[2]
SLACK = 0.3  # the protocol page: time limits run this much longer on sockets
SILENT_CALL_WAIT = 1.5  # the protocol page: time limits wait so long after a silent call
NEWS_WAIT = 4.0  # the protocol page: and so long after the relay has broken off all its news
READY_WAIT = 1.0  # time limits begin no sooner than this after the planner's first answer
PLANNER_READY_LIMIT = 30
TICK = 0.02
REQUEST_LATENCY = 0.08
REPORT_DELAY = 0.4  # sums come late
REDIAL = (1.1, 2.4)
ENDED = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


def default_settings(**domain):
    """Return settings like those of a small deployment; `domain` replaces facts of the domain."""
    return {
        "blend": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.2},
        "classes": [
            {
                "name": "seed-list",
                "aimMs": 1200.0,
                "deadlineMs": 3000.0,
                "dedupScope": "all",
                "effect": "read_like",
                "keyTtlMs": 2500.0,
                "lateWorth": 0.1,
                "points": 1.0,
            },
            {
                "name": "pickup",
                "aimMs": 700.0,
                "deadlineMs": 2500.0,
                "dedupScope": "cell",
                "effect": "idempotency_key",
                "keyTtlMs": 2500.0,
                "lateWorth": 0.2,
                "points": 6.0,
            },
        ],
        "deductions": {},
        "domain": {
            "admission": "ratio",
            "blackholeMs": 3800.0,
            "bootstrap": 5,
            "choice": "wheel",
            "classOwnZone": [False, True],
            "defaultRetry": 0,
            "exclusive": False,
            "firstWait": 1.2,
            "fixedCost": 3.0,
            "hearsPerS": 120.0,
            "holdMs": 300.0,
            "keyRanges": 0,
            "linesPerS": 1400.0,
            "localFirst": True,
            "mostWaiting": 1400.0,
            "orderPrice": 0.04,
            "periodMs": 1000.0,
            "proxies": 9,
            "pushDelayMaxMs": 430.0,
            "pushesAllowed": 0,
            "reloadSpanMs": 10000.0,
            "shiftFee": 0.0,
            "smallestConnTable": 200.0,
            "strikes": 0,
            "transitMs": 120.0,
            "warmKeys": True,
            "writeLeaseMs": 2500.0,
            "writeLifeMs": 20.0,
            "writers": [False, True],
            **domain,
        },
        "hostTypes": ["shed-a", "shed-b"],
        "limits": {
            "connectTimeoutMs": 250.0,
            "cpuUsPerS": 400000,
            "idleCloseMs": 15000.0,
            "peers": False,
            "probes": True,
            "streamsPerConn": 32,
        },
        "loadInfo": {"columns": ["busy_reqs"], "how": "inline"},
        "me": 0,
        "membershipMode": "push",
        "nInstances": 1,
        "quantumMs": 5.0,
        "rules": {
            "askEveryMs": 10000.0,
            "coldMs": 16000.0,
            "coldShare": 0.16,
            "drainGraceMs": 2000.0,
            "fallMs": 3000.0,
            "fullMayHaveRun": False,
            "tipMultiple": 4.0,
        },
        "weights": "rough",
        "workload": "control",
        "worthBy": "request",
        "zone": 0,
        "zones": ["upper", "lower"],
    }


def harbour_settings(**domain):
    """Return settings like those of the small deployment `harbour-quays`."""
    settings = default_settings(
        **{
            "choice": "pair",
            "classOwnZone": [False, True, False],
            "hearsPerS": 60.0,
            "linesPerS": 800.0,
            "mostWaiting": 1200.0,
            "pushesAllowed": 14,
            "writers": [False, True, True],
            **domain,
        }
    )
    first = settings["classes"][0]
    settings["classes"] = [
        {**first, "name": "tide-query", "aimMs": 700.0, "deadlineMs": 2200.0},
        {
            **settings["classes"][1],
            "name": "mooring",
            "aimMs": 900.0,
            "deadlineMs": 2600.0,
            "keyTtlMs": 3000.0,
            "points": 4.0,
        },
        {
            **first,
            "name": "toll",
            "aimMs": 1100.0,
            "effect": "non_idempotent",
            "lateWorth": 0.15,
            "points": 2.0,
        },
    ]
    settings["limits"]["probes"] = False
    settings["loadInfo"] = {"columns": [], "how": "off"}
    settings["rules"].update(drainGraceMs=2500.0, drainBindsAlone=True, tipMultiple=3.0)
    settings["zones"] = ["north-quay", "south-quay", "dry-dock", "lock"]
    return settings


@dataclass
class Server:
    """A server: `state` is what discovery lists, `alive` whether its process answers."""

    name: str
    zone: int
    born_ms: int = 0
    state: str = "SERVING"
    alive: bool = True
    share: float = 1.0
    requests: int = 0


@dataclass
class Proxy:
    """A proxy: the tables, withdrawals and levels that it has applied."""

    number: int
    zone: int
    rates: list
    standing: list
    joined: bool = False
    ordered: bool = False  # it holds a table that was ordered
    joined_at: float = 0.0
    join_count: int = 0
    next_arrival: float = 0.0
    bound: dict = field(default_factory=dict)  # class to table, as the relay has bound it
    lines: list = field(default_factory=list)  # by class: server to weight
    withdrawn: set = field(default_factory=set)
    levels: list = field(default_factory=list)
    messages: deque = field(default_factory=deque)  # when they were written, since its joining
    bare_since: list = field(default_factory=list)
    due: list = field(default_factory=list)


@dataclass
class Message:
    """One message in the planner's channel."""

    proxy: Proxy
    join_count: int
    cost: float
    ordered_at: float
    effects: list
    marks: list


class World:
    """Everything round the planner; `broken` collects the breaks of rules, `record` the events."""

    def __init__(self, settings, servers, proxies, seed=1, limits=None):
        self.settings = settings
        self.domain = settings["domain"]
        self.rules = settings["rules"]
        self.classes = settings["classes"]
        self.zones = settings["zones"]
        self.servers = {server.name: server for server in servers}
        self.proxies = proxies
        self.random = random.Random(seed)
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 256}
        self.started_at = time.monotonic()
        self.record = []
        self.broken = []
        self.planner = None
        self.planner_ready_at = None
        # The relay.
        self.call_fault = lambda: None  # returns None, "lost", "ignored" or "throttled"
        self.waits_until = 0.0  # time limits wait until then
        self.waits = []  # the spans in which time limits waited
        self.subscriptions = []
        self.silent = set()  # subscriptions that say nothing any more
        self.call_connections = set()
        self._reset_instance()
        self.delivered_to = time.monotonic()
        self.peak_waiting = 0.0
        self.lines_ordered = 0.0
        self.peak_messages = 0
        self.calls = 0
        # Discovery.
        self.version = 1
        self.hidden = set()  # servers that discovery calls gone, though they run
        self.changes = []  # (version, entry)
        self.changed = asyncio.Event()
        self.told = {}  # server to (state, since when it was told)
        self.told_ready = {}  # ready servers that the planner's list shows: name to born_ms
        # Clients.
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.refused = 0
        self.zone_reports = {}
        self.demand_reports = {}
        self.collectors = []
        self.report_filter = lambda zone: True
        self.tasks = []
        for proxy in proxies:
            proxy.lines = [dict(proxy.standing[index]) for index in range(len(self.classes))]
            proxy.levels = [1.0] * len(self.classes)
            proxy.bare_since = [None] * len(self.classes)
            proxy.due = [self.random.random() for _ in self.classes]

    # Recording.

    def now(self):
        """Return seconds since the start of the play."""
        return time.monotonic() - self.started_at

    def note(self, text):
        """Add a line to the record."""
        self.record.append(f"{self.now():8.3f} {text}")

    def breaks(self, rule, text):
        """Record a break of a rule."""
        self.broken.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    # The planner.

    def start_planner(self, known=True, name="n0"):
        """Start the planner with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.planner_port = free_port()
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.planner_port}",
            "discovery": f"127.0.0.1:{self.discovery_port}",
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": self.limits,
            "registry": {"address": f"127.0.0.1:{self.relay_port}"},
            "settings": self.settings,
        }
        if known:
            config["known"] = {"seq": self.version, "whole": True, "hosts": self.entries()}
        path = pathlib.Path(self.folder) / "config.json"
        path.write_text(json.dumps(config))
        environment = dict(
            os.environ,
            EDGE_CONFIG=str(path),
            EDGE_NAME=name,
            EDGE_LISTEN=config["listen"],
            EDGE_DISCOVERY=config["discovery"],
            TMPDIR=self.folder,
        )
        self.log = (pathlib.Path(self.folder) / "planner.log").open("ab")
        self.planner = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.note(f"planner started, pid {self.planner.pid}")

    async def planner_ready(self):
        """Wait until the planner answers a probe."""
        deadline = time.monotonic() + PLANNER_READY_LIMIT
        while time.monotonic() < deadline:
            if self.planner.poll() is not None:
                raise CannotRunError(f"the planner ended with {self.planner.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.planner_port)
                writer.write(b'{"type":"probe"}\n')
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b"alive" in line:
                    self.planner_ready_at = time.monotonic()
                    self.note("planner ready")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError("the planner was not ready in time")

    def stop_planner(self, number=signal.SIGKILL):
        """End the planner by its process id."""
        if self.planner is not None and self.planner.poll() is None:
            self.planner.send_signal(number)
            self.planner.wait(10)
            self.note(f"planner ended, code {self.planner.returncode}")

    async def stop(self):
        """End the planner at the end of the play."""
        self.stop_planner()

    def planner_died(self):
        """Withdraw all that the relay held for the planner; proxies keep what they have."""
        for writer in self.subscriptions + list(self.call_connections):
            writer.close()
        self.subscriptions = []
        self._reset_instance()
        self.told = {}
        self.told_ready = {}
        for proxy in self.proxies:
            proxy.joined = False
            proxy.bound = {}

    def kill_planner(self):
        """Kill the planner outright; the relay and the proxies notice at once."""
        self.expect_alive = False
        self.stop_planner()
        self.planner_died()

    async def restart_planner(self):
        """Start the planner again; every proxy dials it within the time that the pages state."""
        self.start_planner()
        await self.planner_ready()
        self.expect_alive = True
        self.dial_all()

    async def _dial(self, proxy):
        await asyncio.sleep(self.random.uniform(*REDIAL))
        self.join(proxy)

    def _reset_instance(self):
        self.tables = {}
        self.table_levels = {}
        self.ejected = set()
        self.channel = deque()
        self.head_sent = 0.0

    # Discovery.

    def entry(self, server, state=None):
        """Return a server's entry in discovery's form."""
        return {
            "host": server.name,
            "dial": f"127.0.0.1:{self.server_port}",
            "site": self.zones[server.zone],
            "class": "shed-a",
            "block": server.zone,
            "health": state or server.state,
            "share": server.share,
            "born_ms": server.born_ms,
        }

    def entries(self):
        """Return the whole list."""
        return [
            self.entry(server) for server in self.servers.values() if server.name not in self.hidden
        ]

    def change(self, *entries):
        """Make discovery tell these entries as changes."""
        for entry in entries:
            self.version += 1
            self.changes.append((self.version, entry))
            self.note(f"discovery: {entry['host']} {entry['health']} born {entry['born_ms']}")
        self.changed.set()

    def hide(self, servers):
        """Make discovery call servers gone in one change, though they run."""
        self.hidden = {server.name for server in servers}
        self._change_together([self.entry(server, "DELETED") for server in servers])

    def unhide(self, servers):
        """Make discovery list these servers again, in one change."""
        self.hidden = set()
        self._change_together([self.entry(server) for server in servers])

    def _change_together(self, entries):
        self.version += 1
        self.changes += [(self.version, entry) for entry in entries]
        self.note(f"discovery: {len(entries)} entries changed")
        self.changed.set()

    def drain(self, server):
        """List a server as draining."""
        server.state = "DRAINING"
        self.change(self.entry(server))

    def remove(self, server):
        """Remove a server from the list; its process is gone."""
        server.alive = False
        self.servers.pop(server.name, None)
        self.change(self.entry(server, "DELETED"))

    def add(self, server):
        """List a server that has just started."""
        self.servers[server.name] = server
        self.change(self.entry(server))

    async def _serve_discovery(self, reader, writer):
        with contextlib.suppress(*ENDED, ValueError):
            request = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0].split(b" ")[1]
            _, _, query = request.decode().partition("?")
            fields = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
            if "after" in fields:
                after = int(fields["after"])
                deadline = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
                while self.version <= after and time.monotonic() < deadline:
                    self.changed.clear()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(
                            self.changed.wait(), max(0.0, deadline - time.monotonic())
                        )
                hosts = [entry for version, entry in self.changes if version > after]
                answer = {"seq": self.version, "whole": False, "hosts": hosts}
            else:
                answer = {"seq": self.version, "whole": True, "hosts": self.entries()}
            body = json.dumps(answer).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body
            )
            self._tell(answer)
            await writer.drain()
        writer.close()

    def _tell(self, answer):
        now = time.monotonic()
        if answer["whole"]:
            names = {entry["host"] for entry in answer["hosts"]}
            for name in self.told.keys() - names:
                if self.told[name][0] != "DELETED":
                    self.told[name] = ("DELETED", now)
                self.told_ready.pop(name, None)
        for entry in answer["hosts"]:
            name = entry["host"]
            if self.told.get(name, ("", 0))[0] != entry["health"]:
                self.told[name] = (entry["health"], now)
            if entry["health"] == "SERVING":
                self.told_ready[name] = (entry["born_ms"], self.zones.index(entry["site"]))
            else:
                self.told_ready.pop(name, None)

    # Servers: health checks.

    async def _serve_checks(self, reader, writer):
        with contextlib.suppress(*ENDED):
            await reader.readuntil(b"\r\n\r\n")
            body = b'{"inflight":1}'
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body)
                + body
            )
            await writer.drain()
        writer.close()

    # The relay.

    async def _serve_relay(self, reader, writer):
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "subscribe":
                    self._subscribe(writer, call)
                    continue
                self.call_connections.add(writer)
                self._commit(writer, call, len(line))
        except (*ENDED, ValueError):
            pass
        finally:
            self.call_connections.discard(writer)
            if writer in self.subscriptions:
                self.subscriptions.remove(writer)
            writer.close()

    def _subscribe(self, writer, call):
        self.subscriptions.append(writer)
        _send(writer, {"jsonrpc": "2.0", "id": call["id"], "result": True})
        for proxy in self.proxies:
            if proxy.joined:
                _send(writer, _event("hello", self._hello(proxy)))

    def _hello(self, proxy):
        return {
            "proxy": proxy.number,
            "zone": self.zones[proxy.zone],
            "weight": sum(proxy.rates),
            "fresh": not proxy.ordered,
        }

    def _publish(self, method, params):
        for writer in self.subscriptions:
            if writer not in self.silent:
                _send(writer, _event(method, params))

    def join(self, proxy):
        """Let a proxy's stream to this planner be established."""
        proxy.joined = True
        proxy.joined_at = time.monotonic()
        proxy.join_count += 1
        proxy.messages.clear()
        for index in range(len(self.classes)):
            proxy.bare_since[index] = None
        self._publish("hello", self._hello(proxy))
        proxy.bound = {}

    def leave(self, proxy):
        """Break a proxy's stream; messages on their way to it are lost."""
        if proxy.joined:
            proxy.joined = False
            proxy.bound = {}
            self._publish("bye", {"proxy": proxy.number})

    def cut_off(self):
        """Reset the planner's connections at the relay and break the streams of all its proxies."""
        now = time.monotonic()
        self.waits.append((now, now + NEWS_WAIT))
        for writer in [*self.subscriptions, *self.call_connections]:
            writer.transport.abort()
        self.subscriptions = []
        for proxy in self.proxies:
            self.leave(proxy)

    def dial_all(self):
        """Let all proxies dial the planner."""
        self.tasks += [asyncio.create_task(self._dial(proxy)) for proxy in self.proxies]

    async def rejoin(self, proxy):
        """Break a proxy's stream; it dials again after the time that the pages state."""
        self.leave(proxy)
        await asyncio.sleep(self.random.uniform(*REDIAL))
        self.join(proxy)

    def _commit(self, writer, call, size):
        fault = self.call_fault()
        self.calls += 1
        operations = call["params"]["ops"]
        if fault == "throttled":
            error = {"code": -32000, "message": "throttled"}
            _send(writer, {"jsonrpc": "2.0", "id": call["id"], "error": error})
            return
        if fault is not None:
            self.waits.append((time.monotonic(), time.monotonic() + SILENT_CALL_WAIT))
        if fault == "ignored":
            self.note(f"relay: call {call['id']}, {len(operations)} orders: not carried out")
            return
        accepted = self._carry_out(operations)
        waiting = self.waiting()
        self.note(
            f"relay: call {call['id']}, {len(operations)} orders, {size} bytes: carried out"
            f"{', not answered' if fault else ''}; {waiting:.0f} lines wait"
        )
        if fault is None:
            _send(writer, {"jsonrpc": "2.0", "id": call["id"], "result": {"accepted": accepted}})

    def _carry_out(self, operations):
        now = time.monotonic()
        effects = {}  # proxy number to list of (lines, effect)
        marks = []
        accepted = 0
        for operation in operations:
            if not self._apply_operation(operation, effects, marks):
                break
            accepted += 1
        for _mark, everyone in marks:
            if everyone:
                for proxy in self.proxies:
                    if proxy.joined:
                        effects.setdefault(proxy.number, [])
        numbers = [mark for mark, _ in marks]
        by_number = {proxy.number: proxy for proxy in self.proxies}
        for number, parts in effects.items():
            proxy = by_number[number]
            cost = self.domain["fixedCost"] + sum(lines for lines, _ in parts) + len(numbers)
            steps = [effect for _, effect in parts]
            if proxy.bound:
                steps.append(("withdrawn", set(self.ejected)))
            self._deliver_due()
            self.lines_ordered += cost
            self.channel.append(Message(proxy, proxy.join_count, cost, now, steps, numbers))
            self._count_message(proxy, now)
        waiting = self.waiting()
        self.peak_waiting = max(self.peak_waiting, waiting)
        if waiting > self.domain["mostWaiting"]:
            self.breaks(
                "queue",
                f"{waiting:.0f} lines wait in the channel, {self.domain['mostWaiting']:.0f}"
                " are allowed",
            )
        return accepted

    def _count_message(self, proxy, now):
        proxy.messages.append(now)
        span = self.domain["reloadSpanMs"] / 1000
        while proxy.messages and proxy.messages[0] < now - span:
            proxy.messages.popleft()
        self.peak_messages = max(self.peak_messages, len(proxy.messages))
        allowed = self.domain["pushesAllowed"]
        if allowed and len(proxy.messages) > allowed:
            self.breaks(
                "messages",
                f"proxy {proxy.number} was written {len(proxy.messages)} messages within"
                f" {span:.0f} s, {allowed} are allowed",
            )

    def _apply_operation(self, operation, effects, marks):
        kind = operation["do"]
        if kind == "put":
            return self._put(operation, effects)
        if kind == "attach":
            return self._attach(operation, effects)
        if kind in ("eject", "uneject"):
            return self._eject(operation, effects, kind == "eject")
        if kind == "gate":
            return self._gate(operation, effects)
        if kind == "fence":
            marks.append((operation["nonce_out"], operation["on"]))
            return True
        return False

    def _users(self, table):
        return [
            (proxy, [index for index, number in proxy.bound.items() if number == table])
            for proxy in self.proxies
            if proxy.joined and table in proxy.bound.values()
        ]

    def _put(self, operation, effects):
        table, name, weight = operation["group"], operation["server"], operation["weight"]
        _set_line(self.tables.setdefault(table, {}), name, weight)
        for proxy, classes in self._users(table):
            effects.setdefault(proxy.number, []).append((1, ("line", classes, name, weight)))
        return True

    def _attach(self, operation, effects):
        table = operation["group"]
        proxy = next((proxy for proxy in self.proxies if proxy.number == operation["proxy"]), None)
        if proxy is None or not proxy.joined:
            return False
        classes = self._class_indices(operation)
        for index in classes:
            proxy.bound[index] = table
        lines = dict(self.tables.get(table, {}))
        levels = {
            index: self.table_levels[table, index]
            for index in classes
            if (table, index) in self.table_levels
        }
        cost = 1 + len(lines) + len(levels) + len(self.ejected & lines.keys())
        effects.setdefault(proxy.number, []).append((cost, ("table", classes, lines, levels)))
        return True

    def _eject(self, operation, effects, ejected):
        name = operation["server"]
        if ejected:
            self.ejected.add(name)
        else:
            self.ejected.discard(name)
        for proxy in self.proxies:
            if not proxy.joined:
                continue
            bound = [self.tables.get(table, {}) for table in proxy.bound.values()]
            if any(name in lines for lines in [*bound, *proxy.lines]):
                effects.setdefault(proxy.number, []).append((1, ("eject", name, ejected)))
        return True

    def _gate(self, operation, effects):
        table = operation["group"]
        for index in self._class_indices(operation):
            self.table_levels[table, index] = operation["admit"]
        for proxy, classes in self._users(table):
            shared = [index for index in classes if index in self._class_indices(operation)]
            if shared:
                effects.setdefault(proxy.number, []).append(
                    (1, ("level", shared, operation["admit"]))
                )
        return True

    def _class_indices(self, operation):
        names = operation.get("routes")
        return [
            index for index, one in enumerate(self.classes) if not names or one["name"] in names
        ]

    def waiting(self):
        """Return how many lines wait in the channel now."""
        self._deliver_due()
        return max(0.0, sum(message.cost for message in self.channel) - self.head_sent)

    def _deliver_due(self):
        now = time.monotonic()
        loop = asyncio.get_running_loop()
        sent = (now - self.delivered_to) * self.domain["linesPerS"]
        self.delivered_to = now
        if not self.channel:
            self.head_sent = 0.0
            return
        self.head_sent += sent
        while self.channel and self.head_sent >= self.channel[0].cost:
            message = self.channel.popleft()
            self.head_sent -= message.cost
            delay = self.random.uniform(0.5, 1.5) * self.domain["transitMs"] / 1000
            # Messages reach a proxy in order.
            message.proxy.next_arrival = max(message.proxy.next_arrival + 1e-6, now + delay)
            loop.call_at(message.proxy.next_arrival, self._arrive, message)
        if not self.channel:
            self.head_sent = 0.0

    def _arrive(self, message):
        proxy = message.proxy
        if not proxy.joined or proxy.join_count != message.join_count:
            return
        for effect in message.effects:
            self._apply_effect(proxy, effect)
        took_ms = (time.monotonic() - message.ordered_at) * 1000
        for mark in message.marks:
            self._publish("ack", {"proxy": proxy.number, "mark": mark, "took_ms": took_ms})

    def _apply_effect(self, proxy, effect):
        match effect:
            case ("line", classes, name, weight):
                for index in classes:
                    _set_line(proxy.lines[index], name, weight)
            case ("table", classes, lines, levels):
                proxy.ordered = True
                for index in classes:
                    proxy.lines[index] = dict(lines)
                    proxy.levels[index] = levels.get(index, 1.0)
            case ("eject", name, ejected):
                proxy.withdrawn = (
                    (proxy.withdrawn | {name}) if ejected else proxy.withdrawn - {name}
                )
            case ("withdrawn", names):
                proxy.withdrawn = names
            case ("level", classes, level):
                proxy.levels = [
                    level if index in classes else old for index, old in enumerate(proxy.levels)
                ]

    # Clients.

    async def _run_clients(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK)
            now = time.monotonic()
            for proxy in self.proxies:
                for index, rate in enumerate(proxy.rates):
                    proxy.due[index] += rate * (now - last) * self.random.uniform(0.5, 1.5)
                    while proxy.due[index] >= 1:
                        proxy.due[index] -= 1
                        self._request(proxy, index, now)
                    self._check_bare(proxy, index, now)
            last = now
            self._deliver_due()

    def _usable(self, proxy, index):
        return [
            (name, weight)
            for name, weight in proxy.lines[index].items()
            if name not in proxy.withdrawn
        ]

    def _request(self, proxy, index, now):
        demand = self.demand_reports.setdefault((proxy.number, index), [now, 0, 0])
        demand[1] += 1
        if self.random.random() >= proxy.levels[index]:
            self.refused += 1
            return
        lines = self._usable(proxy, index)
        if not lines:
            self.refused += 1
            demand[2] += 1
            return
        names, weights = zip(*lines, strict=True)
        name = self.random.choices(names, weights)[0]
        self.sent += 1
        self._check_drain(proxy, name, now)
        server = self.servers.get(name)
        good = server is not None and server.alive
        if server is not None:
            server.requests += 1
        outcome = self.zone_reports.setdefault((proxy.zone, name), [now, 0, 0])
        outcome[1] += 1
        if good:
            self.answered += 1
        else:
            self.failed += 1
            outcome[2] += 1
            demand[2] += 1

    # The rules.

    def _limit_start(self, since):
        """Return from when a time limit counts that began at `since`, with the pages' waits."""
        start = max(since, (self.planner_ready_at or since) + READY_WAIT)
        for begin, end in self.waits:
            if begin <= start + 10:
                start = max(start, end)
        return start

    def _check_drain(self, proxy, name, now):
        state, told_at = self.told.get(name, ("", 0.0))
        binding = ("DRAINING",) if self.rules.get("drainBindsAlone") else ("DRAINING", "DELETED")
        if state not in binding or not proxy.joined:
            return
        start = self._limit_start(max(told_at, proxy.joined_at))
        grace = self.rules["drainGraceMs"] / 1000 + SLACK
        if now > start + grace:
            self.breaks(
                "drain",
                f"proxy {proxy.number} sent to {name}, {state}, {now - told_at:.2f} s after the"
                f" planner was told and {now - proxy.joined_at:.2f} s after its joining;"
                f" {self.waiting():.0f} lines wait in the channel",
            )

    def _check_bare(self, proxy, index, now):
        own_zone = self.domain["classOwnZone"][index]
        wall_ms = time.time() * 1000
        listed = any(
            (not own_zone or zone == proxy.zone)
            and (born == 0 or wall_ms - born > self.rules["coldMs"])
            for born, zone in self.told_ready.values()
        )
        if self._usable(proxy, index) or not proxy.joined or not listed:
            proxy.bare_since[index] = None
            return
        if proxy.bare_since[index] is None:
            proxy.bare_since[index] = now
        start = self._limit_start(proxy.bare_since[index])
        if now > start + self.domain["blackholeMs"] / 1000 + SLACK:
            self.breaks(
                "no server left",
                f"proxy {proxy.number} has had no line for {self.classes[index]['name']} for"
                f" {now - start:.2f} s; {self.waiting():.0f} lines wait in the channel",
            )
            proxy.bare_since[index] = now + 1e9

    # Collectors.

    async def _run_collector(self, zone):
        period = self.domain["periodMs"] / 1000
        writer = None
        pause = 0.0
        while True:
            await asyncio.sleep(pause or period)
            pause = 0.0
            lines = self._report_lines(zone, period)
            if not lines or not self.report_filter(zone):
                continue
            await asyncio.sleep(REPORT_DELAY)
            pause = max(0.1, period - REPORT_DELAY)
            try:
                if writer is None or writer.is_closing():
                    _, writer = await asyncio.open_connection("127.0.0.1", self.planner_port)
                    _send(writer, {"type": "agent", "zone": self.zones[zone]})
                for line in lines:
                    _send(writer, line)
                await writer.drain()
            except OSError:
                writer = None

    def _report_lines(self, zone, period):
        now = time.monotonic()
        limit = int(self.domain["hearsPerS"] * period / len(self.zones))
        proxies = {proxy.number: proxy for proxy in self.proxies}
        due = [(value[0], 0, key) for key, value in self.zone_reports.items() if key[0] == zone]
        due += [
            (value[0], 1, key)
            for key, value in self.demand_reports.items()
            if proxies[key[0]].zone == zone
        ]
        lines = []
        for since, kind, key in sorted(due)[:limit]:
            span_ms = max(period, now - since) * 1000
            store = self.demand_reports if kind else self.zone_reports
            _, tries, failed = store.pop(key)
            if kind:
                proxy = proxies[key[0]]
                if not proxy.joined:
                    continue
                lines.append(
                    {
                        "type": "demand",
                        "proxy": key[0],
                        "class": self.classes[key[1]]["name"],
                        "tries": tries,
                        "failed": failed,
                        "span_ms": span_ms,
                    }
                )
                continue
            line = {
                "type": "outcomes",
                "zone": self.zones[zone],
                "server": key[1],
                "tries": tries,
                "failed": failed,
                "mean_ms": REQUEST_LATENCY * 1000 * self.random.uniform(0.9, 1.1)
                if failed < tries
                else 0.0,
                "span_ms": span_ms,
            }
            if failed < tries and self.settings["loadInfo"]["how"] == "inline":
                line["load"] = {"inflight": 2}
            lines.append(line)
        return lines

    # The whole.

    async def _run_pings(self):
        while True:
            await asyncio.sleep(1)
            self._publish("ping", {})
            self.note(
                f"requests so far: {self.sent} sent, {self.answered} answered,"
                f" {self.failed} failed, {self.refused} refused; proxies joined"
                f" {sum(proxy.joined for proxy in self.proxies)}, with a table"
                f" {sum(bool(proxy.bound) for proxy in self.proxies)}"
            )

    async def start(self, folder):
        """Open the platform's sockets and start clients and collectors."""
        self.folder = folder
        self.listeners = []
        for name, handler in (
            ("discovery_port", self._serve_discovery),
            ("relay_port", self._serve_relay),
            ("server_port", self._serve_checks),
        ):
            listener = await asyncio.start_server(handler, "127.0.0.1", 0, limit=1 << 20)
            setattr(self, name, listener.sockets[0].getsockname()[1])
            self.listeners.append(listener)

    def start_traffic(self):
        """Start clients, collectors and the relay's signs of life."""
        loops = [self._run_clients(), self._run_pings(), self._watch_planner()]
        loops += [self._run_collector(zone) for zone in range(len(self.zones))]
        self.tasks += [asyncio.create_task(loop) for loop in loops]

    async def _watch_planner(self):
        while True:
            await asyncio.sleep(0.2)
            if self.planner is not None and self.planner.poll() is not None and self.expect_alive:
                self.breaks("crash", f"the planner ended with {self.planner.returncode}")
                return

    expect_alive = True

    def summary(self):
        """Return what the play showed."""
        lines = [
            f"requests sent to servers {self.sent}, answered {self.answered},"
            f" failed {self.failed}, refused {self.refused}",
            f"calls {self.calls}, most lines waiting {self.peak_waiting:.0f} of"
            f" {self.domain['mostWaiting']:.0f}, most messages to a proxy {self.peak_messages}"
            f" of {self.domain['pushesAllowed']}",
            f"lines ordered {self.lines_ordered:.0f}, the channel sends"
            f" {self.now() * self.domain['linesPerS']:.0f} in this time",
            f"breaks {len(self.broken)}: "
            + (", ".join(sorted({rule for rule, _ in self.broken})) or "none"),
        ]
        return lines


class CannotRunError(Exception):
    """The case could not run; it says nothing of the rule."""


def _send(writer, message):
    if not writer.is_closing():
        writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")


def _set_line(lines, name, weight):
    if weight > 0:
        lines[name] = weight
    else:
        lines.pop(name, None)


def _event(method, params):
    return {"jsonrpc": "2.0", "method": method, "params": params}


def free_port():
    """Return a port that is free now."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]
