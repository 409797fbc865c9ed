"""A proxy between relays and their planner: forwards bytes, records them, can cut and misbehave.

Relays connect to the proxy, which stays where it is while planners come and go.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from ..frontends.sasp import codec

NONSENSE = b"HTTP/1.1 418 I am no planner\r\n\r\n" * 4
READ_BYTES = 65536
# Connections that may wait to be accepted: more are dropped by the kernel and retried 1 s later.
ACCEPT_BACKLOG = 4096
CONNECT_TIMEOUT_S = 1
SHORTEST_INTRODUCTION_BYTES = 18  # a relay's first message holds more, its name's length at 17

Address = tuple[str, int]


class ProxyMode(StrEnum):
    """What the proxy does with a new connection."""

    PASS = "pass"  # forward it to the planner
    REFUSE = "refuse"  # close it at once
    SILENT = "silent"  # leave it open and answer nothing
    NONSENSE = "nonsense"  # answer with bytes of another protocol


class StreamEventType(StrEnum):
    """What was seen on a relay's stream."""

    JOINED = "joined"
    LEFT = "left"
    MESSAGE = "message"  # from the planner to the relay


class StreamEvent(NamedTuple):
    """One thing that was seen on a relay's stream.

    `data` of a message is its bytes (SASP), or [(class, [(endpoint, weight, sure, out)])] where
    the relay reports itself what it was sent (xDS). `epoch` is 0 where messages carry none.
    """

    at: int  # microseconds
    relay: str
    type: StreamEventType
    data: Any = b""
    controller: str = ""  # where there are several
    epoch: int = 0


class RecordingProxy(TCPServer):
    """Forwards streams to a planner and records what is sent to relays.

    `planner()` gives the planner's present address, or None. `is_sasp`: what passes is SASP and
    is recorded by message; of other protocols bytes are counted.
    """

    def __init__(
        self,
        now: Callable[[], int],
        planner: Callable[[], Address | None],
        is_sasp: bool = True,
        controller: str = "",
    ) -> None:
        super().__init__()
        self.controller = controller
        self.mode = ProxyMode.PASS
        self.events: list[StreamEvent] = []
        self.bytes_sent = 0
        self._now = now
        self._planner = planner
        self._is_sasp = is_sasp
        self._streams: dict[str, IOStream] = {}
        self._open_streams: set[IOStream] = set()
        self._paused_until: dict[str, int] = {}

    def open(self) -> int:
        """Accept connections; return the port."""
        sockets = bind_sockets(0, "127.0.0.1", backlog=ACCEPT_BACKLOG)
        self.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    def cut_all(self) -> None:
        """Close all streams of relays."""
        for stream in list(self._open_streams):
            stream.close()

    def cut(self, uid: str) -> None:
        """Close one relay's stream."""
        if uid in self._streams:
            self._streams[uid].close()

    def pause(self, uid: str, until: int) -> None:
        """Read nothing more for one relay until this time; its planner's bytes stay queued."""
        self._paused_until[uid] = until

    async def handle_stream(self, stream: IOStream, address: Address) -> None:
        """Forward one relay's stream until either end closes it."""
        self._open_streams.add(stream)
        stream.set_close_callback(lambda: self._open_streams.discard(stream))
        if self.mode != ProxyMode.PASS:
            self._misbehave(stream)
            return
        planner = await self._connect()
        if planner is None:
            stream.close()
            return
        recorder = _StreamRecorder(self)
        IOLoop.current().add_callback(self._forward_requests, stream, planner, recorder)
        try:
            await self._forward_answers(planner, stream, recorder)
        except StreamClosedError:
            pass
        finally:
            if recorder.uid:
                self.record(recorder.uid, StreamEventType.LEFT)
                self._streams.pop(recorder.uid, None)
            planner.close()
            stream.close()

    def record(self, relay: str, event_type: StreamEventType, data: bytes = b"") -> None:
        """Keep one event with the present time."""
        self.events.append(StreamEvent(self._now(), relay, event_type, data, self.controller))

    def _misbehave(self, stream: IOStream) -> None:
        if self.mode == ProxyMode.REFUSE:
            stream.close()
        elif self.mode == ProxyMode.NONSENSE:
            stream.write(NONSENSE)

    async def _connect(self) -> IOStream | None:
        address = self._planner()
        if not address:
            return None
        try:
            return await TCPClient().connect(*address, timeout=CONNECT_TIMEOUT_S)
        except (OSError, StreamClosedError):
            return None

    async def _forward_answers(
        self, planner: IOStream, stream: IOStream, recorder: "_StreamRecorder"
    ) -> None:
        while True:
            data = await planner.read_bytes(READ_BYTES, partial=True)
            if self._is_sasp:
                recorder.received(data)
            else:
                self.bytes_sent += len(data)
            await stream.write(data)
            while self._now() < self._paused_until.get(recorder.uid or "", 0):
                await sleep(0.05)

    async def _forward_requests(
        self, stream: IOStream, planner: IOStream, recorder: "_StreamRecorder"
    ) -> None:
        try:
            while True:
                data = await stream.read_bytes(READ_BYTES, partial=True)
                first = recorder.uid is None
                if self._is_sasp and first and len(data) > SHORTEST_INTRODUCTION_BYTES:
                    recorder.uid = _introduced_name(data)
                    self._streams[recorder.uid] = stream
                await planner.write(data)
        except StreamClosedError:
            planner.close()


class _StreamRecorder:
    """Splits what a planner sends on one stream into messages and records them."""

    def __init__(self, proxy: RecordingProxy) -> None:
        self.uid: str | None = None  # of the relay, once it has introduced itself
        self._proxy = proxy
        self._has_joined = False
        self._buffer = b""

    def received(self, data: bytes) -> None:
        """Record each message that is complete; keep the rest until more arrives."""
        self._buffer += data
        while len(self._buffer) >= codec.HEADER.size:
            size = int.from_bytes(self._buffer[5:9], "big")
            if len(self._buffer) < size:
                break
            if self.uid and not self._has_joined:
                self._has_joined = True
                self._proxy.record(self.uid, StreamEventType.JOINED)
            self._proxy.bytes_sent += size
            self._proxy.record(self.uid or "", StreamEventType.MESSAGE, self._buffer[:size])
            self._buffer = self._buffer[size:]


def _introduced_name(data: bytes) -> str:
    """Return who speaks: a byte of length stands after the header and the type."""
    return data[18 : 18 + data[17]].decode()
