"""Substation hosts over HTTP: exchanges take real time on few cores, cold hosts are slow, pushed ones fall over.

`Works` is the model, free of I/O; `Yard` runs many hosts in one process and is told to start, stop and hurt them.
Each exchange leaves a receipt, a JSON line, as it comes to the host.
"""

import json
from collections import deque

from tornado.gen import sleep
from tornado.httpserver import HTTPServer
from tornado.locks import Event
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

SECOND = 1_000_000


class Works:
    """One host's capacity. Times in microseconds; work in microseconds of one core at full speed."""

    def __init__(
        self,
        now,
        cores,
        slots,
        room,
        started=0,
        cold_time=0,
        cold_share=1.0,
        tip_multiple=0,
        tip_time=0,
    ):
        self.cores, self.slots, self.room = cores, slots, room
        self.started, self.cold_time, self.cold_share = started, cold_time, cold_share
        self.tip_multiple, self.tip_time = tip_multiple, tip_time
        self.busy, self.waiting, self.fallen, self.slowed = 0, deque(), False, 1.0
        self.brought, self.done, self.made = deque(), deque(maxlen=4096), now

    def warmth(self, now):
        """The part of its capacity that a host has."""
        if not self.started or now - self.started >= self.cold_time:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * (now - self.started) / self.cold_time

    def bring(self, now, work):
        """Work arrives; a cold host that is sent too much for too long falls over and stays down."""
        if self.warmth(now) < 1 and self.tip_multiple:
            self.brought.append((now, work))
            while self.brought and self.brought[0][0] < now - self.tip_time:
                self.brought.popleft()
            able = self.cores * self.warmth(now) * self.tip_time
            self.fallen = (
                self.fallen
                or sum(part for _, part in self.brought) > self.tip_multiple * able * 1.1
            )
        return not self.fallen

    def took(self, now, work):
        """How long this work takes when begun now: holding more than its cores slows all."""
        crowd = max(1.0, (self.busy + 1) / self.cores)
        return work * crowd / (self.warmth(now) * self.slowed)

    def report(self, now, names):
        """The load report, as the JSON form of an ORCA header. Rates are of the last second."""
        while self.done and self.done[0][0] < now - SECOND:
            self.done.popleft()
        good = [took for _, _, fine, took in self.done if fine]
        named = {
            "inflight": self.busy + len(self.waiting),
            "latency_ms": round(sum(good) / len(good) / 1000, 1) if good else 0.0,
        }
        for name in names:
            named[f"rps.{name}"] = sum(1 for _, kind, _, _ in self.done if kind == name)
        return "JSON " + json.dumps(
            {
                "cpu_utilization": min(1.0, round(self.busy / self.cores, 3)),
                "rps_fractional": len(self.done),
                "eps": len(self.done) - len(good),
                "named_metrics": named,
            }
        )


class Host:
    """One host on a port of its own."""

    def __init__(self, yard, name, **stated):
        self.yard, self.name = yard, name
        self.works = Works(yard.now(), **stated)
        self.fault, self.part, self.release = None, 1.0, Event()
        self.tries, self.server, self.port = 0, None, None
        self.open(0)

    def open(self, port):
        sockets = bind_sockets(port, "127.0.0.1", reuse_port=False)
        self.port = sockets[0].getsockname()[1]
        self.server = HTTPServer(
            Application(
                [
                    (r"/exchange/([a-z-]+)", Exchange, {"host": self}),
                    (r"/load", Load, {"host": self}),
                ],
                log_function=lambda handler: None,
            )
        )
        self.server.add_sockets(sockets)

    async def shut(self):
        self.server.stop()
        await self.server.close_all_connections()

    def receipt(self, kind, work, headers, state):
        now = self.yard.now()
        self.yard.write(
            {
                "at": now,
                "host": self.name,
                "relay": headers.get("Relay", ""),
                "key": headers.get("Exchange", ""),
                "try": int(headers.get("Try", 0)),
                "class": kind,
                "work": work,
                "able": self.works.cores * self.works.warmth(now),
                "cold": self.works.warmth(now) < 1,
                "state": state,
            }
        )

    async def exchange(self, handler, kind):
        works, headers = self.works, handler.request.headers
        work = int(headers.get("Work", 0)) or self.yard.work.get(kind, 1000)
        now = self.yard.now()
        self.tries += 1
        if not works.bring(now, work):
            self.receipt(kind, work, headers, "fallen")
            return await self.shut()
        if self.fault == "silent":
            self.receipt(kind, work, headers, "silent")
            return await self.release.wait()
        if len(works.waiting) >= works.room:
            self.receipt(kind, work, headers, "full")
            return handler.set_status(503)
        self.receipt(kind, work, headers, "begun")
        if self.fault == "errors" and self.tries % 100 < self.part * 100:
            works.done.append((now, kind, False, 0))
            return handler.set_status(500)
        if works.busy >= works.slots:
            turn = Event()
            works.waiting.append(turn)
            await turn.wait()
        works.busy += 1
        try:
            if self.fault == "hang":
                await self.release.wait()
            took = works.took(self.yard.now(), work)
            await sleep(took / SECOND)
            works.done.append((self.yard.now(), kind, True, took))
        finally:
            works.busy -= 1
            if works.waiting:
                works.waiting.popleft().set()
        handler.set_header("endpoint-load-metrics", works.report(self.yard.now(), self.yard.work))

    def hurt(self, fault, part=1.0):
        self.fault, self.part = fault, part
        self.works.slowed = 1 - part if fault == "slow" else 1.0
        if fault not in ("hang", "silent"):
            self.release.set()
            self.release = Event()

    def report(self):
        report = self.works.report(self.yard.now(), self.yard.work)
        if self.fault == "hang":
            # It says what its kind of fault looks like from within: nothing to do.
            given = json.loads(report.partition(" ")[2])
            given["cpu_utilization"] = 0.01
            report = "JSON " + json.dumps(given)
        return report


class Exchange(RequestHandler):
    def initialize(self, host):
        self.host = host

    async def get(self, kind):
        await self.host.exchange(self, kind)

    post = get


class Load(RequestHandler):
    def initialize(self, host):
        self.host = host

    async def get(self):
        if self.host.fault == "silent":
            await self.host.release.wait()
        self.set_header("endpoint-load-metrics", self.host.report())


class HostPool:
    """Hosts in one process. `work`: microseconds of one core that an exchange of each class takes."""

    def __init__(self, now, receipts, work):
        self.now, self.receipts, self.work, self.hosts = now, receipts, work, {}

    def write(self, receipt):
        self.receipts.write(json.dumps(receipt, separators=(",", ":")) + "\n")

    def start(self, name, **stated):
        host = self.hosts[name] = Host(self, name, **stated)
        return host.port

    async def stop(self, name):
        await self.hosts.pop(name).shut()

    async def command(self, line):
        """{"do": "start" | "stop" | "hurt", "host": .., ..}: one command, its answer."""
        do, name = line.pop("do"), line.pop("host")
        if do == "start":
            return {"port": self.start(name, **line)}
        if do == "stop":
            await self.stop(name)
        elif do == "hurt":
            self.hosts[name].hurt(line["fault"], line.get("part", 1.0))
        return {}
