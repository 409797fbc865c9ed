"""A stand-in for the simulator's wire, for one instance that has slices with a single owner.

It drives `sim` of the deploy file in real time by the wire page: batches on standard input, replies
on standard output. The store, the proxies and the servers are played here. Standard library only.
"""

import asyncio
import json
import os
import pathlib
import struct
import subprocess
import time
import tomllib

from .world import ROOT, CannotRunError

EVENT_BYTES = 56
ACTION_BYTES = 24
BATCH_GAP = 0.02
FIRST_CLOCK_MS = 10_000.0
SELECT, PROVISION, INVENTORY, LIST, ATTACHED, LOST, TIMER, GIVEN, HELD, TOOK = (
    1150,
    1050,
    1000,
    1010,
    1140,
    1020,
    1100,
    1110,
    1070,
    1060,
)
SPEAKING, DEFER, PUT, PULL, CHECKPOINT, CRASH = 1030, 1040, 1120, 1000, 1020, 1050
READY, DRAINING = 1, 0


class Proxy:
    """A proxy: the owner of each slice, as it knows it, and the servers that it holds withdrawn."""

    def __init__(self, number):
        self.number = number
        self.joined = False
        self.joinings = 0
        self.owners = {}
        self.withdrawn = set()
        self.writes_until = None  # its right to write ends then, after its stream broke
        self.next_arrival = 0.0
        self.due = 0.0


class SliceWorld:
    """Everything round one instance; `broken` collects the breaks of the rule on single owners."""

    def __init__(self, settings, servers, slices, proxies, write_gap):
        self.settings = settings
        self.domain = settings["domain"]
        self.servers = list(servers)  # ids of six bytes
        self.states = dict.fromkeys(self.servers, READY)
        self.slices = range(slices)
        self.proxies = [Proxy(number) for number in range(proxies)]
        self.write_gap = write_gap
        self.store = {number: self.servers[number % len(servers)] for number in self.slices}
        self.accepted = {}  # slice to the servers that accepted writes, in the order of the first
        self.events = []
        self.timers = []
        self.version = 1
        self.started_at = time.monotonic()
        self.record = []
        self.broken = []
        self.tasks = []
        self.writes = 0
        self.queue_until = time.monotonic()
        self.program = None
        self.expect_alive = True

    # Recording.

    def now(self):
        """Return seconds since the start of the play."""
        return time.monotonic() - self.started_at

    def note(self, text):
        """Add a line to the record."""
        self.record.append(f"{self.now():8.3f} {text}")

    def name(self, server):
        """Return a server's name for the record."""
        return f"server {self.servers.index(server)}"

    def summary(self):
        """Return what the play showed."""
        owners = {
            number: [self.name(server) for server in servers]
            for number, servers in self.accepted.items()
            if len(servers) > 1
        }
        return [
            f"writes {self.writes}; owners of the slices that changed hands: {owners}",
            f"breaks {len(self.broken)}",
        ]

    # The wire.

    async def start(self, folder):
        """Start the program and the instance."""
        self.log = (pathlib.Path(folder) / "planner.log").open("wb")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.program = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["sim"],
            cwd=ROOT,
            env=dict(os.environ, TMPDIR=folder),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log.fileno(),
        )
        info = json.dumps(self.settings).encode()
        self.event(PROVISION, struct.pack("<QII", 7, 0, len(info)), info)
        self._list_event(3, self.servers)
        for number in self.slices:
            self.event(GIVEN, struct.pack("<BH", 1, number))
            self.event(HELD, struct.pack("<6sfH", self.store[number], 1.0, number))
        await self._batch()
        self.tasks.append(asyncio.create_task(self._run_batches()))

    def event(self, code, fields, tail=b""):
        """Queue an event; offsets in `fields` are those within its own tail."""
        self.events.append((code, fields, tail))

    def _list_event(self, mode, servers):
        rows = b"".join(
            struct.pack("<HBf6sdBB", 0, 0, 1.0, server, 0.0, self.states[server], 0)
            for server in servers
        )
        self.event(INVENTORY, struct.pack("<III", 0, 0, len(servers)), rows)
        self.event(LIST, struct.pack("<IIB", 0, self.version, mode))

    async def _run_batches(self):
        while True:
            await asyncio.sleep(BATCH_GAP)
            now = time.monotonic()
            due = [timer for timer in self.timers if timer[0] <= now]
            self.timers = [timer for timer in self.timers if timer[0] > now]
            for _, tag in due:
                self.event(TIMER, struct.pack("<Q", tag))
            if self.events:
                await self._batch()

    async def _batch(self):
        records = [struct.pack("<HH", SELECT, 3).ljust(EVENT_BYTES, b"\0")]
        tail = b""
        for code, fields, own_tail in self.events:
            if code == PROVISION:
                seed, _, length = struct.unpack("<QII", fields)
                fields = struct.pack("<QII", seed, len(tail), length)
            elif code == INVENTORY:
                number, _, count = struct.unpack("<III", fields)
                fields = struct.pack("<III", number, len(tail), count)
            tail += own_tail
            records.append((struct.pack("<H", code) + fields).ljust(EVENT_BYTES, b"\0"))
        self.events = []
        body = b"".join(records) + tail
        clock = FIRST_CLOCK_MS + self.now() * 1000
        self.program.stdin.write(struct.pack("<IId", len(records), len(body), clock) + body)
        await self.program.stdin.drain()
        try:
            count, size = struct.unpack("<II", await self.program.stdout.readexactly(8))
            reply = await self.program.stdout.readexactly(size)
        except asyncio.IncompleteReadError as error:
            raise CannotRunError("the program ended") from error
        self._act([reply[at * ACTION_BYTES :][:ACTION_BYTES] for at in range(count)])

    def _act(self, records):
        now = time.monotonic()
        effects = []
        marks = []
        for record in records:
            (code,) = struct.unpack_from("<H", record)
            if code in (PUT, PULL):
                effects.append(self._order(code, record))
            elif code == DEFER:
                delay_ms, tag = struct.unpack_from("<dQ", record, 2)
                self.timers.append((now + delay_ms / 1000, tag))
            elif code == CHECKPOINT:
                marks.append(struct.unpack_from("<IB", record, 2)[0])
            elif code == CRASH:
                self.broken.append(("crash", "the program says that it has failed"))
        if not effects:
            return
        cost = self.domain["fixedCost"] + len(effects) + len(marks)
        for proxy in self.proxies:
            if proxy.joined:
                self._send(proxy, effects, marks, cost, now)

    def _order(self, code, record):
        """Carry an order out in the store, and return its effect at proxies."""
        if code == PULL:
            server, active = struct.unpack_from("<6sB", record, 2)
            self.note(f"order: {self.name(server)} {'out' if active else 'in again'}")
            return ("pull", server, active)
        number, server, weight = struct.unpack_from("<H6sf", record, 2)
        self.note(f"order: slice {number}, {self.name(server)}, weight {weight:g}")
        if weight > 0:
            self.store[number] = server
        return ("owner", number, server, weight)

    def _send(self, proxy, effects, marks, cost, now):
        """Send a message: the channel takes its time, and messages reach a proxy in order."""
        self.queue_until = max(self.queue_until, now) + cost / self.domain["linesPerS"]
        arrival = self.queue_until + self.domain["transitMs"] / 1000
        proxy.next_arrival = max(arrival, proxy.next_arrival + 0.001)
        asyncio.get_running_loop().call_at(
            proxy.next_arrival, self._arrive, proxy, proxy.joinings, effects, marks, now
        )

    def _arrive(self, proxy, joinings, effects, marks, ordered_at):
        if not proxy.joined or proxy.joinings != joinings:
            return  # its stream broke: the message is lost
        for effect in effects:
            if effect[0] == "pull":
                _, server, active = effect
                proxy.withdrawn = (
                    proxy.withdrawn | {server} if active else proxy.withdrawn - {server}
                )
            elif effect[3] > 0:
                proxy.owners[effect[1]] = effect[2]
        took_ms = (time.monotonic() - ordered_at) * 1000
        for mark in marks:
            self.event(TOOK, struct.pack("<HId", proxy.number, mark, took_ms))

    # Proxies.

    def attach(self, proxy, fresh):
        """Let a proxy's stream be established; it reads the store half a second later."""
        proxy.joined = True
        proxy.joinings += 1
        self.event(ATTACHED, struct.pack("<HBfB", proxy.number, 0, 10.0, fresh))
        asyncio.get_running_loop().call_later(0 if fresh else 0.5, self._read_store, proxy)

    def _read_store(self, proxy):
        proxy.owners = dict(self.store)
        proxy.writes_until = None

    async def cut(self, proxy, noticed_after, dials_after):
        """Break a proxy's stream without a sign; both sides notice it later."""
        self.note(f"the stream of proxy {proxy.number} breaks")
        proxy.joined = False
        proxy.writes_until = time.monotonic() + self.domain["writeLeaseMs"] / 1000
        await asyncio.sleep(noticed_after)
        self.event(LOST, struct.pack("<H", proxy.number))
        self.note(f"the instance is told that proxy {proxy.number} has lost its stream")
        await asyncio.sleep(dials_after)
        self.attach(proxy, fresh=False)
        self.note(f"proxy {proxy.number} has joined again")

    def drain(self, server):
        """List a server as draining."""
        self.states[server] = DRAINING
        self.version += 1
        self._list_event(1, [server])
        self.note(f"discovery: {self.name(server)} drains")

    async def run_writes(self):
        """Let each proxy write to each slice again and again."""
        noted_at = 0.0
        while True:
            await asyncio.sleep(self.write_gap)
            now = time.monotonic()
            if now - noted_at > 1:
                noted_at = now
                self.note(f"writes so far: {self.writes} sent and run")
            for proxy in self.proxies:
                if proxy.writes_until is not None and now > proxy.writes_until:
                    continue  # it may write no more until it has read the store
                for number in self.slices:
                    owner = proxy.owners.get(number)
                    if owner is not None and owner not in proxy.withdrawn:
                        self._write(proxy, number, owner)

    def _write(self, proxy, number, owner):
        self.writes += 1
        owners = self.accepted.setdefault(number, [])
        if owner not in owners:
            owners.append(owner)
            if len(owners) > 1:
                self.note(f"slice {number}: {self.name(owner)} accepts its first write")
        elif owner != owners[-1]:
            text = (
                f"slice {number}: a write of proxy {proxy.number} reaches {self.name(owner)} after"
                f" {self.name(owners[-1])}, its later owner, has accepted a write"
            )
            self.broken.append(("owner", text))
            self.note(f"BROKEN: {text}")

    async def stop(self):
        """End the program."""
        if self.program is None:
            return
        self.program.stdin.close()
        try:
            await asyncio.wait_for(self.program.wait(), 5)
        except TimeoutError:
            self.program.kill()
            await self.program.wait()
        self.log.close()
