"""A tap on the streams between relays and their planner: passes bytes on, keeps what passed, can cut and stop.

Relays dial the tap, which stays where it is while planners come and go.
"""

from typing import NamedTuple

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from ..frontends.sasp import codec

NONSENSE = b"HTTP/1.1 418 I am no planner\r\n\r\n" * 4


class Seen(NamedTuple):
    """One thing that passed: "joined", "left" or "message" (planner to relay, with its bytes)."""

    at: int
    relay: str
    what: str
    data: bytes
    by: str = ""  # which controller, where there are several
    epoch: int = 0  # under which an order came, where orders say


ARRIVALS = 4096  # that may wait to be accepted: more are sent away by the kernel, unheard, and come again a second later


class RecordingProxy(TCPServer):
    """`planner()`: where it listens now, or None."""

    def __init__(self, now, planner, legible=True, by=""):
        super().__init__()
        self.by = by
        self.legible = legible  # whether what passes is SASP, and can be read
        self.now, self.planner, self.seen, self.streams, self.deaf = now, planner, [], {}, {}
        self.bytes_sent, self.mode, self.everyone = 0, "pass", set()

    def open(self):
        sockets = bind_sockets(0, "127.0.0.1", backlog=ARRIVALS)
        self.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    async def handle_stream(self, relay, address):
        self.everyone.add(relay)
        relay.set_close_callback(lambda: self.everyone.discard(relay))
        if self.mode != "pass":
            # What a planner may do that is not well: hang up, say nothing for ever, or talk nonsense.
            return (
                relay.close()
                if self.mode == "refuse"
                else relay.write(NONSENSE)
                if self.mode == "nonsense"
                else None
            )
        where = self.planner()
        try:
            planner = await TCPClient().connect(*where, timeout=1) if where else None
        except (OSError, StreamClosedError):
            planner = None
        if planner is None:
            return relay.close()
        said = {"uid": None}
        IOLoop.current().add_callback(self._outward, relay, planner, said)
        try:
            while True:
                data = await planner.read_bytes(65536, partial=True)
                if self.legible:
                    said["rest"] = self._messages(said, said.get("rest", b"") + data)
                else:
                    self.bytes_sent += len(data)
                await relay.write(data)
                while self.now() < self.deaf.get(said["uid"], 0):
                    await sleep(0.05)  # reads nothing more: the planner's bytes stay where they are
        except StreamClosedError:
            pass
        finally:
            if said["uid"]:
                self.seen.append(Seen(self.now(), said["uid"], "left", b"", self.by))
                self.streams.pop(said["uid"], None)
            planner.close()
            relay.close()

    async def _outward(self, relay, planner, said):
        try:
            while True:
                data = await relay.read_bytes(65536, partial=True)
                if self.legible and said["uid"] is None and len(data) > 18:
                    # The first message says who speaks: a byte of length after the header and the type.
                    said["uid"] = data[18 : 18 + data[17]].decode()
                    self.streams[said["uid"]] = relay
                await planner.write(data)
        except StreamClosedError:
            planner.close()

    def _messages(self, said, data):
        """Keeps each whole message; the rest waits for more."""
        while len(data) >= codec.HEADER.size:
            whole = int.from_bytes(data[5:9], "big")
            if len(data) < whole:
                break
            if said["uid"] and not said.get("joined"):
                said["joined"] = True
                self.seen.append(Seen(self.now(), said["uid"], "joined", b"", self.by))
            self.bytes_sent += whole
            self.seen.append(Seen(self.now(), said["uid"] or "", "message", data[:whole], self.by))
            data = data[whole:]
        return data

    def cut_all(self):
        for relay in list(self.everyone):
            relay.close()

    def cut(self, uid):
        if uid in self.streams:
            self.streams[uid].close()

    def deafen(self, uid, until):
        self.deaf[uid] = until
