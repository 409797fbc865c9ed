"""Stand-ins for the platform, on loopback: discovery, relay, proxies, servers and collectors.

They follow the users' pages on the protocol and on deployment. One process plays them all; the
planner is a process of its own, started by `run` of deploy/balancer.toml. Each proxy sends real
HTTP requests to real listening servers. Times are seconds of the monotonic clock. Standard library
only. Where the pages leave a choice, these are a sound relay, sound proxies and sound servers.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TIME_LIMIT_S = 110  # of a whole script
READY_LIMIT_S = 30.0  # the pages' time for a planner to get ready
SOCKET_SLACK_S = 0.3  # the pages: time limits run 300 ms longer on sockets
STANDIN_SLACK_S = 0.2  # for the stand-ins' own delays, in the planner's favour
AFTER_READY_S = 1.0  # the pages: time limits begin no sooner than this after the first `alive`
PING_S = 1.0
REQUEST_TIMEOUT_S = 3.0
AVOIDED_S = 4.0  # the page: a proxy keeps away for 3.1 to 7.5 s after so many strikes
IN_ORDER_S = 0.001  # between two messages to one proxy, which arrive in order
MAX_VIOLATIONS_WRITTEN = 10
MAX_LOG_LINES = 2000

CLASSES = ("reading", "setpoint")


def make_settings(zones: list[str], proxies: int, **domain: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; `domain` replaces facts of the service."""
    classes = [
        {
            "aimMs": aim,
            "deadlineMs": 3000.0,
            "dedupScope": "all",
            "effect": "read_like",
            "keyTtlMs": 0.0,
            "lateWorth": 0.1,
            "name": name,
            "points": points,
        }
        for name, aim, points in zip(CLASSES, (1200.0, 750.0), (1.0, 2.0), strict=True)
    ]
    facts = {
        "admission": "ratio",
        "blackholeMs": 3800.0,
        "bootstrap": 5,
        "choice": "lottery",
        "classOwnZone": [False, False],
        "defaultRetry": 1,
        "exclusive": False,
        "firstWait": 0.8,
        "fixedCost": 3.0,
        "hearsPerS": 120.0,
        "holdMs": 300.0,
        "keyRanges": 0,
        "linesPerS": 1500.0,
        "localFirst": True,
        "mostWaiting": 1500.0,
        "orderPrice": 0.04,
        "periodMs": 1000.0,
        "proxies": proxies,
        "pushDelayMaxMs": 430.0,
        "pushesAllowed": 0,
        "reloadSpanMs": 10000.0,
        "shiftFee": 0.01,
        "smallestConnTable": 300.0,
        "strikes": 0,
        "transitMs": 180.0,
        "writers": [False, False],
    }
    return {
        "blend": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.4},
        "classes": classes,
        "deductions": {},
        "domain": facts | domain,
        "hostTypes": ["std-4"],
        "limits": {
            "connectTimeoutMs": 250.0,
            "cpuUsPerS": 752692,
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
            "tipMultiple": 4.0,
        },
        "weights": "nominal",
        "workload": "control",
        "worthBy": "request",
        "zone": 0,
        "zones": zones,
    }


class CouldNotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, kind: str, **fields: Any) -> None:
        """Write a line: seconds since the start, a kind and fields."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._start:8.3f} {kind} {pairs}\n")

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


class Server:
    """One server process: answers `/exchange/CLASS`, `/ping` and `/_load` over HTTP."""

    def __init__(self, name: str, zone: str, record: Record) -> None:
        self.name = name
        self.zone = zone
        self.health = "SERVING"
        self.born_ms = 0.0
        self.failing_share = 0.0  # of its exchanges, which it answers at once with an error
        self.work_s = 0.06
        self.inflight = 0
        self.handled = 0
        self.port = 0
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End the process: new connections are refused."""
        if self._server is not None:
            self._server.close()

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": self.zone,
            "class": "std-4",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            path = head.split(" ", 2)[1]
            status, body = await self._answer(path)
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
        writer.close()

    async def _answer(self, path: str) -> tuple[int, bytes]:
        if not path.startswith("/exchange/"):
            self._record.write("probe", server=self.name, path=path, answered=200)
            return 200, json.dumps({"inflight": self.inflight}).encode()
        self.handled += 1
        if random.random() < self.failing_share:
            return 500, b""
        self.inflight += 1
        await asyncio.sleep(self.work_s)
        self.inflight -= 1
        return 200, b"done"


class Discovery:
    """Discovery's agent: `GET /catalog/members`, and a watch on changes after a version.

    `told` has the time at which a state of a server was first written to the planner.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._version = 40
        self._changed_at: dict[str, int] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed = asyncio.Event()
        self.told: dict[tuple[str, str], float] = {}
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, *servers: Server) -> None:
        """List servers as they are now, as one change."""
        self._version += 1
        for server in servers:
            self._entries[server.name] = server.entry()
            self._changed_at[server.name] = self._version
            self._record.write("list", seq=self._version, server=server.name, health=server.health)
        self._changed.set()
        self._changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list, which leaves out what is deleted."""
        hosts = [entry for entry in self._entries.values() if entry["health"] != "DELETED"]
        return {"seq": self._version, "whole": True, "hosts": hosts}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            answer = await self._answer(head.split(" ", 2)[1])
            body = json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            for entry in answer["hosts"]:
                self._note_told(entry)
        writer.close()

    def _note_told(self, entry: dict[str, Any]) -> None:
        key = entry["host"], entry["health"]
        if key not in self.told:
            self.told[key] = time.monotonic()
            self._record.write("told", server=entry["host"], health=entry["health"])

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(
            pair.split("=", 1) for pair in target.partition("?")[2].split("&") if "=" in pair
        )
        if "after" not in query:
            return self.whole_list()
        after = int(query["after"])
        if self._version <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), min(60.0, int(query.get("wait_ms", "0")) / 1000)
                )
        changed = [entry for name, entry in self._entries.items() if self._changed_at[name] > after]
        return {"seq": self._version, "whole": False, "hosts": changed}


class Proxy:
    """A proxy: holds tables and withdrawals, and sends its clients' requests to servers.

    `bound` has the table of each class, which is None for the standing table; `tables` has the
    lines of each table that it holds.
    """

    def __init__(self, number: int, zone: str, rate: float, strikes: int) -> None:
        self.number = number
        self.zone = zone
        self.rate = rate
        self._strikes = strikes
        self._failures: dict[str, int] = defaultdict(int)  # own tries that failed in a row
        self._avoided_until: dict[str, float] = {}
        self.joined_at: float | None = None
        self.stream = 0  # counts its streams; what was on its way on an earlier one is lost
        self.fresh = True
        self.standing: dict[str, float] = {}
        self.bound: dict[str, int | None] = dict.fromkeys(CLASSES)
        self.tables: dict[int, dict[str, float]] = {}
        self.levels: dict[tuple[int, str], float] = {}
        self.withdrawn: set[str] = set()
        self.message_times: list[float] = []

    def held_lines(self, class_name: str) -> dict[str, float]:
        """Return the lines of the table for a class, withdrawn ones among them."""
        table = self.bound[class_name]
        return self.standing if table is None else self.tables.get(table, {})

    def lines(self, class_name: str) -> dict[str, float]:
        """Return the lines that it may pick."""
        return {
            server: weight
            for server, weight in self.held_lines(class_name).items()
            if weight > 0 and server not in self.withdrawn
        }

    def pick(self, class_name: str, tried: str) -> str | None:
        """Pick a server by weight, another than `tried` and none that it avoids by itself."""
        now = time.monotonic()
        lines = {name: weight for name, weight in self.lines(class_name).items() if name != tried}
        liked = {name: w for name, w in lines.items() if self._avoided_until.get(name, 0.0) < now}
        lines = liked or lines
        return random.choices(list(lines), list(lines.values()))[0] if lines else None

    def note_try(self, server: str, failed: bool) -> None:
        """Count its own failures in a row at a server; after some it avoids the server a while."""
        self._failures[server] = self._failures[server] + 1 if failed else 0
        if self._strikes and self._failures[server] >= self._strikes:
            self._avoided_until[server] = time.monotonic() + AVOIDED_S
            self._failures[server] = 0

    def level(self, class_name: str) -> float:
        """Return the share of a class that it lets in."""
        table = self.bound[class_name]
        return 1.0 if table is None else self.levels.get((table, class_name), 1.0)

    def apply(self, orders: Iterable[tuple[Any, ...]]) -> None:
        """Apply one message."""
        for kind, *details in orders:
            getattr(self, f"_apply_{kind}")(*details)

    def _apply_put(self, table: int, server: str, weight: float) -> None:
        lines = self.tables.setdefault(table, {})
        lines.pop(server, None)
        if weight > 0:
            lines[server] = weight

    def _apply_wipe(self, table: int) -> None:
        self.tables[table] = {}
        self.levels = {key: level for key, level in self.levels.items() if key[0] != table}

    def _apply_bind(
        self,
        classes: list[str],
        table: int,
        lines: dict[str, float],
        levels: dict[tuple[int, str], float],
        withdrawn: set[str],
    ) -> None:
        self.tables[table] = dict(lines)
        self.levels |= levels
        self.withdrawn = withdrawn  # once bound it follows this planner's withdrawals alone
        for name in classes:
            self.bound[name] = table

    def _apply_withdraw(self, server: str) -> None:
        self.withdrawn.add(server)

    def _apply_restore(self, server: str) -> None:
        self.withdrawn.discard(server)

    def _apply_gate(self, table: int, classes: list[str], level: float) -> None:
        for name in classes:
            self.levels[table, name] = level

    def _apply_mark(self, _number: int) -> None:
        pass


class News:
    """A connection that has asked for the relay's news; a silent one gets nothing any more."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.is_silent = False

    def send(self, method: str, **params: Any) -> None:
        """Write a notification."""
        if not (self.is_silent or self._writer.is_closing()):
            message = {"jsonrpc": "2.0", "method": method, "params": params}
            self._writer.write(json.dumps(message).encode() + b"\n")

    def reset(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()


class RefusedOrderError(Exception):
    """An order that the relay can't use; it stops there."""


class Relay:
    """The relay: takes orders, keeps the channel to the proxies, and tells news.

    `breaks_call` says of a call, by its number from 1, whether its connection breaks after its
    last byte; the call is carried out. `peak_lines` is the most that waited in the channel.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        proxies: list[Proxy],
        listed: Callable[[], Iterable[str]],
        record: Record,
    ) -> None:
        domain = settings["domain"]
        self._lines_per_s = domain["linesPerS"]
        self._fixed_cost = domain["fixedCost"]
        self._transit_s = domain["transitMs"] / 1000
        self._max_transit_s = domain["pushDelayMaxMs"] / 1000
        self._proxies = {proxy.number: proxy for proxy in proxies}
        self._listed = listed
        self._record = record
        self._tables: defaultdict[int, dict[str, float]] = defaultdict(dict)
        self._levels: dict[tuple[int, str], float] = {}
        self._withdrawn: set[str] = set()
        self._bound: defaultdict[int, dict[str, int]] = defaultdict(dict)
        self._messages: defaultdict[int, list[tuple[Any, ...]]] = defaultdict(list)
        self._line_counts: defaultdict[int, float] = defaultdict(float)
        self._unsent: defaultdict[int, list[tuple[Any, ...]]] = defaultdict(list)
        self._channel_free_at = 0.0
        self._arrival: dict[int, float] = {}
        self._calls = 0
        self.has_begun = False
        self.news: list[News] = []
        self.breaks_call: Callable[[int], bool] = lambda _number: False
        self.peak_lines = 0.0
        self.broken_calls = 0
        self.last_ping_at = 0.0
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]
        _spawn(self._ping())

    def join(self, proxy: Proxy) -> None:
        """Let a proxy's stream come up; it keeps what it holds and is bound to no table."""
        proxy.joined_at = time.monotonic()
        proxy.stream += 1
        proxy.message_times = []
        self._bound.pop(proxy.number, None)
        self._unsent.pop(proxy.number, None)
        self._record.write("joined", proxy=proxy.number, stream=proxy.stream)
        for news in self.news:
            self._tell_joined(news, proxy)
        proxy.fresh = False

    def leave(self, proxy: Proxy) -> None:
        """Break a proxy's stream, which is noticed at once."""
        proxy.joined_at = None
        self._bound.pop(proxy.number, None)
        self._record.write("left", proxy=proxy.number)
        for news in self.news:
            news.send("bye", proxy=proxy.number)

    def is_bound(self, proxy: Proxy) -> bool:
        """Return whether this planner has bound a joined proxy for all classes."""
        return len(self._bound.get(proxy.number, {})) == len(CLASSES)

    async def _ping(self) -> None:
        while True:
            await asyncio.sleep(PING_S)
            self.last_ping_at = time.monotonic()
            for news in self.news:
                news.send("ping")

    def _tell_joined(self, news: News, proxy: Proxy) -> None:
        news.send(
            "hello",
            proxy=proxy.number,
            zone=proxy.zone,
            weight=proxy.rate * len(CLASSES),
            fresh=proxy.fresh,
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        news: News | None = None
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                call = json.loads(line)
                if call.get("method") == "subscribe":
                    news = self._subscribe(call, writer)
                elif not self._answer(call, writer):
                    break
        if news is not None and news in self.news:
            self.news.remove(news)
        writer.close()

    def _subscribe(self, call: dict[str, Any], writer: asyncio.StreamWriter) -> News:
        answer = {"jsonrpc": "2.0", "id": call["id"], "result": True}
        writer.write(json.dumps(answer).encode() + b"\n")
        news = News(writer)
        self.news.append(news)
        self._record.write("subscribed", connections=len(self.news))
        for proxy in self._proxies.values():
            if proxy.joined_at is not None:
                self._tell_joined(news, proxy)
        return news

    def _answer(self, call: dict[str, Any], writer: asyncio.StreamWriter) -> bool:
        """Carry out a call and answer it; return whether the connection goes on."""
        answer: dict[str, Any] = {"jsonrpc": "2.0", "id": call.get("id")}
        if not self.has_begun:
            answer["error"] = {"code": -32000, "message": "throttled"}
        else:
            self._calls += 1
            orders = call["params"]["ops"]
            answer["result"] = {"accepted": self._carry_out(orders)}
            if self.breaks_call(self._calls):
                self.broken_calls += 1
                self._record.write("connection_broken_after_call", call=self._calls)
                writer.transport.abort()
                return False
        writer.write(json.dumps(answer).encode() + b"\n")
        return True

    def _carry_out(self, orders: list[dict[str, Any]]) -> int:
        accepted = 0
        for order in orders:
            try:
                getattr(self, f"_order_{order['do']}")(order)
            except RefusedOrderError as error:
                self._record.write("order_refused", order=json.dumps(order), why=error)
                break
            accepted += 1
        if not self._calls % 50 or any(order["do"] != "fence" for order in orders):
            self._record.write(
                "call", number=self._calls, accepted=accepted, orders=json.dumps(orders)
            )
        self._send_messages()
        return accepted

    def _add(self, proxy: int, lines: float, order: tuple[Any, ...]) -> None:
        self._messages[proxy] += self._unsent.pop(proxy, [])
        self._messages[proxy].append(order)
        self._line_counts[proxy] += lines

    def _users(self, table: int) -> list[int]:
        return [number for number, bound in self._bound.items() if table in bound.values()]

    def _order_put(self, order: dict[str, Any]) -> None:
        table, server, weight = order["group"], order["server"], order["weight"]
        if server not in self._listed() or weight < 0:
            raise RefusedOrderError("unknown server or a weight below 0")
        self._tables[table].pop(server, None)
        if weight:
            self._tables[table][server] = weight
        for proxy in self._users(table):
            self._add(proxy, 1, ("put", table, server, weight))

    def _order_wipe(self, order: dict[str, Any]) -> None:
        self._tables[order["group"]] = {}
        for proxy in self._users(order["group"]):
            self._add(proxy, 1, ("wipe", order["group"]))

    def _order_attach(self, order: dict[str, Any]) -> None:
        proxy, table = self._proxies.get(order["proxy"]), order["group"]
        if proxy is None or proxy.joined_at is None:
            raise RefusedOrderError("the proxy has not joined")
        classes = list(order.get("routes") or CLASSES)
        lines = dict(self._tables[table])
        levels = {key: level for key, level in self._levels.items() if key[0] == table}
        for name in classes:
            self._bound[proxy.number][name] = table
        cost = 1 + len(lines) + len(levels) + len(self._withdrawn & lines.keys())
        withdrawn = set(self._withdrawn)
        self._add(proxy.number, cost, ("bind", classes, table, lines, levels, withdrawn))

    def _order_eject(self, order: dict[str, Any]) -> None:
        self._withdraw(order["server"], "withdraw")
        self._withdrawn.add(order["server"])

    def _order_uneject(self, order: dict[str, Any]) -> None:
        self._withdraw(order["server"], "restore")
        self._withdrawn.discard(order["server"])

    def _withdraw(self, server: str, kind: str) -> None:
        if server not in self._listed():
            raise RefusedOrderError("unknown server")
        for proxy in self._proxies.values():
            bound = self._bound.get(proxy.number, {})
            tables = [self._tables[table] for table in bound.values()]
            tables += [proxy.held_lines(name) for name in CLASSES]
            if proxy.joined_at is None:
                continue
            if any(server in lines for lines in tables):
                self._add(proxy.number, 1, (kind, server))
            else:  # it costs no line there, and goes with the proxy's next message
                self._unsent[proxy.number].append((kind, server))

    def _order_gate(self, order: dict[str, Any]) -> None:
        tables = list(self._tables) if order["group"] == "*" else [order["group"]]
        classes = list(order.get("routes") or CLASSES)
        for table in tables:
            for name in classes:
                self._levels[table, name] = order["admit"]
            for proxy in self._users(table):
                self._add(proxy, 1, ("gate", table, classes, order["admit"]))

    def _order_fence(self, order: dict[str, Any]) -> None:
        recipients = list(self._messages)
        if order["on"]:
            recipients = [
                proxy.number for proxy in self._proxies.values() if proxy.joined_at is not None
            ]
        for proxy in recipients:
            self._add(proxy, 1, ("mark", order["nonce_out"]))

    def _send_messages(self) -> None:
        """Put the messages of a call into the channel; they leave it one after the other."""
        now = time.monotonic()
        self._channel_free_at = max(self._channel_free_at, now)
        for number, orders in self._messages.items():
            proxy = self._proxies[number]
            cost = self._fixed_cost + self._line_counts[number]
            self._channel_free_at += cost / self._lines_per_s
            transit = min(self._max_transit_s, random.expovariate(1 / self._transit_s) + 0.02)
            arrival = max(
                self._channel_free_at + transit, self._arrival.get(number, 0.0) + IN_ORDER_S
            )
            self._arrival[number] = arrival
            proxy.message_times.append(now)
            asyncio.get_running_loop().call_later(
                arrival - now, self._deliver, proxy, proxy.stream, orders, now
            )
        waiting = (self._channel_free_at - now) * self._lines_per_s
        self.peak_lines = max(self.peak_lines, waiting)
        if self._messages:
            self._record.write(
                "channel", call=self._calls, messages=len(self._messages), waiting=round(waiting)
            )
        self._messages = defaultdict(list)
        self._line_counts = defaultdict(float)

    def _deliver(
        self, proxy: Proxy, stream: int, orders: list[tuple[Any, ...]], sent_at: float
    ) -> None:
        if proxy.joined_at is None or proxy.stream != stream:
            return
        proxy.apply(orders)
        took_ms = (time.monotonic() - sent_at) * 1000
        for order in orders:
            if order[0] == "mark":
                for news in self.news:
                    news.send("ack", proxy=proxy.number, mark=order[1], took_ms=took_ms)


class Collector:
    """Sums what the proxies of a zone met, and reports it to the planner each period."""

    def __init__(self, zone: str, period_s: float) -> None:
        self.zone = zone
        self._period_s = period_s
        self._outcomes: dict[str, list[float]] = {}
        self._demand: dict[tuple[int, str], list[int]] = {}

    def note_try(self, server: str, failed: bool, took_s: float) -> None:
        """Count a try at a server."""
        counts = self._outcomes.setdefault(server, [0, 0, 0.0])
        counts[0] += 1
        counts[1] += failed
        counts[2] += 0 if failed else took_s

    def note_request(self, proxy: int, class_name: str, failed: bool) -> None:
        """Count a request that came to a proxy."""
        counts = self._demand.setdefault((proxy, class_name), [0, 0])
        counts[0] += 1
        counts[1] += failed

    async def run(self, port: int, servers: dict[str, Server]) -> None:
        """Connect to the planner and report until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, port)
                writer.write(_line({"type": "agent", "zone": self.zone}))
                while not writer.is_closing():
                    await asyncio.sleep(self._period_s)
                    for report in self._take_reports(servers):
                        writer.write(_line(report))
                    await writer.drain()
            await asyncio.sleep(0.5)

    def _take_reports(self, servers: dict[str, Server]) -> list[dict[str, Any]]:
        span = {"span_ms": self._period_s * 1000}
        reports: list[dict[str, Any]] = []
        for name, (tries, failed, total) in self._outcomes.items():
            report = {"type": "outcomes", "zone": self.zone, "server": name}
            mean = total / (tries - failed) * 1000 if tries > failed else 0.0
            reports.append(
                report
                | span
                | {"tries": tries, "failed": failed, "mean_ms": mean}
                | {"load": {"inflight": servers[name].inflight}}
            )
        for (proxy, class_name), (tries, failed) in self._demand.items():
            report = {"type": "demand", "proxy": proxy, "class": class_name}
            reports.append(report | span | {"tries": tries, "failed": failed})
        self._outcomes = {}
        self._demand = {}
        return reports


class World:
    """A small deployment around one planner; `play` runs a case on it."""

    def __init__(
        self, folder: pathlib.Path, settings: dict[str, Any], server_count: int, proxy_rate: float
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.settings = settings
        self.record = Record(folder / "record.txt")
        self.zones: list[str] = settings["zones"]
        self.servers: dict[str, Server] = {}
        for number in range(server_count):
            self.add_server(f"s-{number:02d}", self.zones[number % len(self.zones)])
        self.proxies = [
            Proxy(
                number,
                self.zones[number % len(self.zones)],
                proxy_rate,
                settings["domain"]["strikes"],
            )
            for number in range(settings["domain"]["proxies"])
        ]
        self.violations: list[str] = []
        self.excused_until = 0.0
        self.tries = 0
        self._collectors = {
            zone: Collector(zone, settings["domain"]["periodMs"] / 1000) for zone in self.zones
        }
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._planner: subprocess.Popen[bytes] | None = None
        self._ready_at = 0.0
        self._no_line_since: dict[tuple[int, str], float] = {}

    def add_server(self, name: str, zone: str) -> Server:
        """Create a server, which does not listen yet and is not listed."""
        server = self.servers[name] = Server(name, zone, self.record)
        return server

    async def play(self, script: Callable[["World"], Awaitable[None]]) -> int:
        """Start everything, run a script, and return the exit code: 1 for a broken rule."""
        self.discovery = Discovery(self.record)
        self.relay = Relay(self.settings, self.proxies, lambda: self.servers.keys(), self.record)
        try:
            for server in self.servers.values():
                await server.start()
            await self.discovery.start()
            await self.relay.start()
            self.discovery.put(*self.servers.values())
            await self._start_planner()
            self._begin_run()
            await script(self)
            self._check_it_ran()
        except CouldNotRunError as error:
            self.record.write("could_not_run", why=error)
            print(f"could not run: {error}")
            return 2
        finally:
            self._end()
        for violation in self.violations[:MAX_VIOLATIONS_WRITTEN]:
            print(f"rule broken: {violation}")
        print(f"{'broken' if self.violations else 'held'}: {len(self.violations)} violations")
        return 1 if self.violations else 0

    def break_rule(self, what: str) -> None:
        """Note that the rule was broken."""
        self.violations.append(what)
        self.record.write("RULE_BROKEN", what=repr(what))

    def most_messages(self, proxy: Proxy) -> int:
        """Return the most messages that were written to a proxy within the limit's span."""
        span = self.settings["domain"]["reloadSpanMs"] / 1000
        times = proxy.message_times
        return max((sum(at <= t < at + span for t in times) for at in times), default=0)

    async def wait_until_bound(self, limit_s: float = 10.0) -> None:
        """Wait until the planner has bound every joined proxy."""
        deadline = time.monotonic() + limit_s
        while not all(
            self.relay.is_bound(proxy) for proxy in self.proxies if proxy.joined_at is not None
        ):
            if time.monotonic() > deadline:
                raise CouldNotRunError("the planner has not bound all proxies")
            await asyncio.sleep(0.05)

    def drain(self, name: str) -> None:
        """List a server as draining."""
        self.servers[name].health = "DRAINING"
        self.discovery.put(self.servers[name])

    def delete(self, name: str) -> None:
        """End a server, and drop it from the list."""
        self.servers[name].health = "DELETED"
        self.servers[name].end()
        self.discovery.put(self.servers[name])

    async def _start_planner(self) -> None:
        listen = _free_port()
        config = {
            "name": "n0",
            "listen": f"{HOST}:{listen}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "registry": {"address": f"{HOST}:{self.relay.port}"},
            "known": self.discovery.whole_list(),
            "settings": self.settings,
        }
        path = self._directory / "config.json"
        path.write_text(json.dumps(config))
        scratch = self._directory / "tmp"
        scratch.mkdir()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "EDGE_CONFIG": str(path),
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "TMPDIR": str(scratch),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.planner_log = self._directory / "planner.log"
        with self.planner_log.open("wb") as log:
            self._planner = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("planner_started", command=repr(command), pid=self._planner.pid)
        await self._wait_until_alive(listen)
        for collector in self._collectors.values():
            _spawn(collector.run(listen, self.servers))

    async def _wait_until_alive(self, port: int) -> None:
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(_line({"type": "probe"}))
                answer = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if answer and json.loads(answer).get("type") == "alive":
                    self._ready_at = time.monotonic()
                    self.record.write("planner_alive")
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the planner did not answer in 30 s")

    def _begin_run(self) -> None:
        self.record.write("run_begins", trouble=self.trouble)
        self.relay.has_begun = True
        for proxy in self.proxies:
            self.draw_standing(proxy)
            self.relay.join(proxy)
            for name in CLASSES:
                _spawn(self._play_clients(proxy, name))
        _spawn(self._watch_lines())

    def draw_standing(self, proxy: Proxy) -> None:
        """Draw the table that a proxy starts with: up to 5 listed servers of its zone."""
        listed = [
            server.name
            for server in self.servers.values()
            if server.health == "SERVING" and server.zone == proxy.zone and server.port
        ]
        count = min(self.settings["domain"]["bootstrap"], len(listed))
        proxy.standing = dict.fromkeys(random.sample(listed, count), 1.0)

    async def _play_clients(self, proxy: Proxy, class_name: str) -> None:
        while True:
            await asyncio.sleep(random.expovariate(proxy.rate))
            _spawn(self._request(proxy, class_name))

    async def _request(self, proxy: Proxy, class_name: str) -> None:
        """Play a request: one try, and one more elsewhere if the first surely did not run."""
        if random.random() >= proxy.level(class_name):
            self.record.write("refused", proxy=proxy.number, request=class_name)
            return
        failed, tried = True, ""
        for _ in range(2):
            server = proxy.pick(class_name, tried)
            if server is None:
                break
            tried = server
            status = await self._try(proxy, class_name, tried)
            failed = status != 200
            if status:  # it has run, or may have
                break
        self._collectors[proxy.zone].note_request(proxy.number, class_name, failed)

    async def _try(self, proxy: Proxy, class_name: str, name: str) -> int:
        """Send a request to a server; return its status, 0 if no connection came up."""
        server = self.servers[name]
        self.tries += 1
        start = time.monotonic()
        self._check_drain(proxy, server, start)
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(HOST, server.port)
                status = 599
                writer.write(f"GET /exchange/{class_name} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                status = int((await reader.readline()).split(b" ")[1])
                writer.close()
        took = time.monotonic() - start
        self._collectors[proxy.zone].note_try(name, status != 200, took)
        proxy.note_try(name, status != 200)
        self.record.write(
            "try",
            proxy=proxy.number,
            request=class_name,
            server=name,
            status=status or "no_connection",
        )
        return status

    def _check_drain(self, proxy: Proxy, server: Server, now: float) -> None:
        """Check the rule on draining for a send of a joined proxy."""
        told = [
            self.discovery.told[key]
            for key in ((server.name, "DRAINING"), (server.name, "DELETED"))
            if key in self.discovery.told
        ]
        if not told or proxy.joined_at is None:
            return
        since = max(min(told), proxy.joined_at, self._ready_at + AFTER_READY_S)
        grace = self.settings["rules"]["drainGraceMs"] / 1000 + SOCKET_SLACK_S + STANDIN_SLACK_S
        if now > max(since + grace, self.excused_until):
            self.break_rule(
                f"drain: proxy {proxy.number} sent to {server.name} ({server.health})"
                f" {now - min(told):.2f} s after the planner was told,"
                f" {now - proxy.joined_at:.2f} s after the proxy joined"
            )

    async def _watch_lines(self) -> None:
        """Note how long joined proxies have no line to pick."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for proxy in self.proxies:
                for name in CLASSES:
                    key = proxy.number, name
                    if proxy.joined_at is not None and not proxy.lines(name):
                        if key not in self._no_line_since:
                            self.record.write("no_line", proxy=proxy.number, request=name)
                        self._no_line_since.setdefault(key, now)
                    elif self._no_line_since.pop(key, None) is not None:
                        self.record.write("line_again", proxy=proxy.number, request=name)

    def _check_it_ran(self) -> None:
        if self._planner is None or self._planner.poll() is not None:
            raise CouldNotRunError("the planner has ended")
        if not self.tries:
            raise CouldNotRunError("no request was sent")

    def _keep_log(self) -> None:
        """Copy the planner's log to the record; of lines that differ only in time, the first."""
        counts: dict[str, int] = defaultdict(int)
        lines = self.planner_log.read_text(errors="replace").replace(str(ROOT), "ROOT")
        for line in lines.splitlines()[:MAX_LOG_LINES]:
            text = line.partition(" ")[2]
            counts[text] += 1
            if counts[text] == 1:
                self.record.write("planner_log", line=line)
        for text, count in counts.items():
            if count > 1:
                self.record.write("planner_log", times=count, line=text[:100])

    def _end(self) -> None:
        """End the planner and keep its log in the record."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # tasks that are cut off
        if self._planner is not None:
            with contextlib.suppress(ProcessLookupError):
                self._planner.kill()
            self._planner.wait()
            self._keep_log()
        for server in self.servers.values():
            server.end()
        self.record.write("ended", tries=self.tries, violations=len(self.violations))
        self.record.close()
        shutil.rmtree(self._directory, ignore_errors=True)


_tasks: set[asyncio.Task[None]] = set()  # the loop itself holds tasks weakly


def _spawn(coroutine: Any) -> None:
    task = asyncio.get_running_loop().create_task(coroutine)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


def _line(message: dict[str, Any]) -> bytes:
    return json.dumps(message).encode() + b"\n"


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def _give_up(*_: object) -> None:
    raise CouldNotRunError("it took too long, or was told to end")


def main(world: World, script: Callable[[World], Awaitable[None]]) -> None:
    """Play a case and exit with its code."""
    signal.signal(signal.SIGALRM, _give_up)
    signal.signal(signal.SIGTERM, _give_up)
    signal.alarm(TIME_LIMIT_S)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # the planner is killed at the end
    try:
        code = asyncio.run(world.play(script))
    except CouldNotRunError as error:
        print(f"could not run: {error}")
        code = 2
    sys.exit(code)
