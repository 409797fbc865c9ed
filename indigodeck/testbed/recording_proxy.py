"""A TCP proxy between relays and their planner that records traffic and can inject faults.

Relays connect to the proxy, whose address does not change when the planner restarts.
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
# Connections that may wait to be accepted. The kernel drops any more, and clients retry after 1 s.
ACCEPT_BACKLOG = 4096
CONNECT_TIMEOUT_S = 1
# A relay's first message is longer: the length of the relay's name is at offset 17, the name at 18.
MIN_FIRST_MESSAGE_BYTES = 18

Address = tuple[str, int]


class ProxyMode(StrEnum):
    """What the proxy does with a new connection."""

    PASS = "pass"  # forward it to the planner
    REFUSE = "refuse"  # close it at once
    SILENT = "silent"  # keep it open without answering
    NONSENSE = "nonsense"  # answer with bytes of another protocol


class StreamEventType(StrEnum):
    """The types of events on a relay's stream."""

    JOINED = "joined"
    LEFT = "left"
    MESSAGE = "message"  # from the planner to the relay


class StreamEvent(NamedTuple):
    """One event on a relay's stream.

    For a message, `data` is its bytes (SASP), or [(class, [(endpoint, weight, confident,
    quiesced)])] as reported by the relay itself (xDS). `epoch` is 0 if messages carry none.
    """

    at: int  # microseconds
    relay: str
    type: StreamEventType
    data: Any = b""
    controller: str = ""  # empty if there is only one
    epoch: int = 0


class RecordingProxy(TCPServer):
    """Forwards streams to a planner and records what the planner sends to relays.

    `planner()` returns the planner's current address, or None. With `is_sasp` each message is
    recorded as an event; with other protocols only bytes are counted.
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
        """Accept connections and return the port."""
        sockets = bind_sockets(0, "127.0.0.1", backlog=ACCEPT_BACKLOG)
        self.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    def disconnect_all(self) -> None:
        """Close all streams of relays."""
        for stream in list(self._open_streams):
            stream.close()

    def disconnect(self, uid: str) -> None:
        """Close one relay's stream."""
        if uid in self._streams:
            self._streams[uid].close()

    def pause(self, uid: str, until: int) -> None:
        """Forward nothing to one relay until this time; the planner's data stays queued."""
        self._paused_until[uid] = until

    async def handle_stream(self, stream: IOStream, address: Address) -> None:
        """Forward one relay's stream until either side closes it."""
        self._open_streams.add(stream)
        stream.set_close_callback(lambda: self._open_streams.discard(stream))
        if self.mode != ProxyMode.PASS:
            self._apply_mode(stream)
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
        """Record one event with the current time."""
        self.events.append(StreamEvent(self._now(), relay, event_type, data, self.controller))

    def _apply_mode(self, stream: IOStream) -> None:
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
                recorder.add_data(data)
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
                is_first = recorder.uid is None
                if self._is_sasp and is_first and len(data) > MIN_FIRST_MESSAGE_BYTES:
                    recorder.uid = _name_in_first_message(data)
                    self._streams[recorder.uid] = stream
                await planner.write(data)
        except StreamClosedError:
            planner.close()


class _StreamRecorder:
    """Splits what a planner sends on one stream into messages and records them."""

    def __init__(self, proxy: RecordingProxy) -> None:
        self.uid: str | None = None  # the relay's name, once its first message has arrived
        self._proxy = proxy
        self._has_joined = False
        self._buffer = b""

    def add_data(self, data: bytes) -> None:
        """Record each complete message; keep the rest until more data arrives."""
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


def _name_in_first_message(data: bytes) -> str:
    """Return the relay's name; a length byte after the header and the type precedes it."""
    return data[18 : 18 + data[17]].decode()
