"""Puts a planner on the platform together, and runs it until it is told to end."""

import asyncio
import json
import logging
import os
import signal
import sys
import time

from tornado.ioloop import IOLoop

from ..assignment.seeded_random import SeededRandom
from ..clock import now
from ..settings import MalformedMessageError
from .assigner_host import Desk
from .bootstrap import Bootstrap
from .dialling import DeadlineExceededError, within
from .discovery import Discovery
from .health_checks import Probes
from .listener import Listener
from .membership import Membership
from .outbox import Outbox
from .peers import Peers
from .relay_client import RelayClient

SECOND = 1_000_000
LAST = (
    SECOND // 2
)  # for orders that wait when the program is told to end; who does not end is killed after 0.7 s
LINES_MOST = 200  # of the log within ten seconds
TRACE = "INDIGODECK_TRACE"  # set: all that the assigner is told and orders is written out, without a bound


class Bounded(logging.Filter):
    """Lets so many lines through in ten seconds; says how many were left out."""

    def __init__(self):
        super().__init__()
        self.since, self.lines, self.left_out = 0.0, 0, 0

    def filter(self, record):
        if record.created - self.since > 10:
            if self.left_out:
                record.msg = f"{record.msg} (after {self.left_out} lines left out)"
            self.since, self.lines, self.left_out = record.created, 0, 0
        self.lines += 1
        self.left_out += self.lines > LINES_MOST
        return self.lines <= LINES_MOST


class Service:
    """Everything that one planner runs. `bootstrap`: what it is told at start."""

    def __init__(self, bootstrap):
        self.bootstrap, self.log = bootstrap, logging.getLogger("indigodeck")
        # Unix time as it was at the start, and grown steadily since: what the list says of starts is in Unix time.
        self.clock_gap = time.time_ns() // 1000 - now()
        self.traced = bool(os.environ.get(TRACE))
        words, chance = bootstrap.words, SeededRandom(bootstrap.seed)
        self.probes = Probes(words, self.now, lambda *found: self.desk.probed(*found))
        self.outbox = Outbox(self.now, self.note)
        self.desk = Desk(self, words, self.outbox, bootstrap.settings, bootstrap.seed)
        self.membership = Membership(self.desk, self.now)
        self.listener = Listener(self.desk, words, self.now, bootstrap.sockets)
        self.discovery = Discovery(
            bootstrap.discovery, words, self.desk.listed, self.note, chance, bool(bootstrap.known)
        )
        self.relay = RelayClient(
            self.outbox, self.membership, self.desk, words, self.now, self.note, chance
        )
        self.peers = Peers(bootstrap, self.desk.told, self.note) if bootstrap.peer_listen else None

    # What the desk may ask.

    def now(self):
        return now() + self.clock_gap

    def later(self, after, call):
        IOLoop.current().call_later(after / SECOND, call)

    def wanted(self):
        self.relay.wanted()

    def probe(self, asked, dial):
        self.probes.ask(asked, dial)

    def tell(self, peer, data):
        if self.peers is not None:
            self.peers.tell(peer, data)

    def fetch(self):
        self.discovery.fetch()

    def note(self, text):
        self.log.info(text)

    def trace(self, kind, said):
        if self.traced:
            print(json.dumps([self.now(), kind, said], default=repr), file=sys.stderr)

    # Its life.

    def start(self):
        if self.bootstrap.known is not None:
            self.desk.listed(self.bootstrap.known._replace(whole=True), cached=True)
        self.listener.open(self.bootstrap.listen)
        self.discovery.start()
        self.relay.start(self.bootstrap.registry)
        self.note(
            f"{self.bootstrap.name} listens on {self.bootstrap.listen[0]}:{self.bootstrap.listen[1]}"
        )

    def reload(self):
        """A new configuration: discovery and the relay may be elsewhere. One that can't be read leaves the old standing."""
        try:
            bootstrap = Bootstrap(self.bootstrap.path)
        except (
            Exception
        ) as error:  # whatever is wrong with a file, it must not end a planner that serves
            return self.note(f"the configuration stays as it was: {error}")
        if (bootstrap.name, bootstrap.listen) != (self.bootstrap.name, self.bootstrap.listen):
            return self.note(
                f"the configuration stays as it was: the new one is that of {bootstrap.name}"
            )
        if bootstrap.settings != self.bootstrap.settings:
            self.note(
                "the settings stay as they were at the start: tables made by others would not go with them"
            )
        self.note(f"discovery at {bootstrap.discovery}, the relay at {bootstrap.registry}")
        self.discovery.move(bootstrap.discovery)
        self.relay.move(bootstrap.registry)

    async def end(self):
        """Orders that wait are owed to proxies: those keep their tables, and a drain in them, until they join elsewhere."""
        try:
            await within(LAST, self.relay.calls.idle.wait())
        except DeadlineExceededError:
            self.note("orders are left that the relay did not take in time")


async def serve(bootstrap, early):
    """`early`: whether a new configuration was announced before anything could look at it."""
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    service = Service(bootstrap)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    service.start()
    if early:
        service.reload()
    await ended.wait()
    service.note("told to end")
    await service.end()


def main():
    """Exit codes: 0 told to end, 2 the configuration can't be used."""
    early = []
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))  # its default would end the program
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter("%(asctime)s.%(msecs)03d %(name)s %(message)s", "%H:%M:%S")
    )
    handler.addFilter(Bounded())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    try:
        bootstrap = Bootstrap(os.environ.get("EDGE_CONFIG", ""))
    except (MalformedMessageError, OSError) as error:
        print(f"indigodeck edge: {error}", file=sys.stderr)
        return 2
    asyncio.run(serve(bootstrap, early))
    return 0
