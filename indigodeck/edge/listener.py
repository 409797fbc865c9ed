"""The planner's own address: collectors that introduce themselves, health checks, and strangers.

A client that has not introduced itself within a second is disconnected, and first of all when
descriptors run short: strangers may come by the hundreds, and neither collectors nor the
platform's health checks may wait for them. Nothing is ever written to a collector. Times are whole
microseconds.
"""

from collections.abc import Callable, Mapping
from typing import Any

from tornado.gen import sleep
from tornado.iostream import IOStream, StreamBufferFullError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from ..clock import SECOND
from ..errors import MalformedMessageError
from .assigner_host import EdgeAssignerHost
from .codec import MessageCodec
from .collector_protocol import ALIVE, ClientMessage, error_line
from .connecting import CONNECTION_ERRORS, MAX_LINE_BYTES, read_line, with_deadline
from .json_fields import read_object
from .messages import Address

INTRODUCTION_TIMEOUT = 12 * SECOND // 10  # and after each health check
MAX_INTRODUCTION_BYTES = 4096
# A collector that says nothing has vanished, or has nothing to say: it may come back.
MAX_COLLECTOR_SILENCE = 30 * SECOND
MAX_COLLECTORS = 8  # of one zone; the longest silent is disconnected for another
RESERVED_DESCRIPTORS = 48  # for everything but this address
MIN_STRANGER_DESCRIPTORS = 8
LINES_PER_TURN = 64  # of one connection, so that a flood gives way to the others
BACKLOG = 1024
READ_CHUNK_BYTES = 16 << 10


class Connection:
    """One connection; `zone` is None until it has introduced itself as a collector."""

    def __init__(self, listener: "CollectorListener", stream: IOStream) -> None:
        self._listener = listener
        self.stream = stream
        self.zone: int | None = None
        self.last_heard = listener.now()

    async def run(self) -> None:
        """Read lines until either side closes."""
        line_count = 0
        try:
            while True:
                data = await self._next_line()
                line_count += 1
                self._take_line(data)
                if line_count % LINES_PER_TURN == 0:
                    await sleep(0)
        except MalformedMessageError as error:
            self._write_error(str(error))
        except (*CONNECTION_ERRORS, StreamBufferFullError):
            pass
        finally:
            self.stream.close()

    async def _next_line(self) -> bytes:
        if self.zone is not None:
            return await read_line(self.stream, MAX_COLLECTOR_SILENCE)
        remaining = max(0, self.last_heard + INTRODUCTION_TIMEOUT - self._listener.now())
        line = self.stream.read_until(b"\n", max_bytes=MAX_INTRODUCTION_BYTES)
        return await with_deadline(remaining, line)

    def _write_error(self, reason: str) -> None:
        if self.zone is None and not self.stream.closed():
            self.stream.write(error_line(reason))

    def _take_line(self, data: bytes) -> None:
        given = read_object(data)  # what can't be read ends the connection, a collector's too
        message_type = given.get("type")
        if self.zone is not None:
            self.last_heard = self._listener.now()
            self._listener.on_report(message_type, given)
        elif message_type == ClientMessage.HEALTH_CHECK:
            self.stream.write(ALIVE)
            self.last_heard = self._listener.now()
        elif message_type == ClientMessage.INTRODUCTION:
            self.zone = self._listener.codec.read_introduction(given)
            self._listener.on_introduced(self, self.zone)
        else:
            raise MalformedMessageError("not allowed before an introduction")


class CollectorListener(TCPServer):
    """Accepts connections at the planner's own address; `host` is notified of reports.

    `descriptors`: how many the whole planner may hold.
    """

    def __init__(
        self,
        host: EdgeAssignerHost,
        codec: MessageCodec,
        now: Callable[[], int],
        descriptors: int,
    ) -> None:
        super().__init__(
            max_buffer_size=MAX_LINE_BYTES + 4 * READ_CHUNK_BYTES, read_chunk_size=READ_CHUNK_BYTES
        )
        self._host = host
        self.codec = codec
        self.now = now
        self.strangers: dict[Connection, None] = {}  # the oldest first
        self.collectors: dict[int, list[Connection]] = {zone: [] for zone in codec.zones.values()}
        collector_descriptors = MAX_COLLECTORS * len(self.collectors)
        remaining = descriptors - RESERVED_DESCRIPTORS - collector_descriptors
        self.max_strangers = max(MIN_STRANGER_DESCRIPTORS, remaining) // 2
        self.ignored_reports = 0

    def open(self, address: Address) -> None:
        """Listen at the address."""
        self.add_sockets(bind_sockets(address.port, address.host, backlog=BACKLOG))

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one connection; the oldest stranger gives way if there are too many."""
        connection = Connection(self, stream)
        self.strangers[connection] = None
        if len(self.strangers) > self.max_strangers:
            oldest = next(iter(self.strangers))
            del self.strangers[oldest]
            oldest.stream.close()
        try:
            await connection.run()
        finally:
            self.strangers.pop(connection, None)
            if connection.zone is not None and connection in self.collectors[connection.zone]:
                self.collectors[connection.zone].remove(connection)

    def on_introduced(self, connection: Connection, zone: int) -> None:
        """Take a connection as a collector's; the longest silent one may give way to it."""
        self.strangers.pop(connection, None)
        collectors = self.collectors[zone]
        collectors.append(connection)
        if len(collectors) > MAX_COLLECTORS:
            most_silent = min(collectors, key=lambda other: other.last_heard)
            collectors.remove(most_silent)
            most_silent.stream.close()

    def on_report(self, message_type: Any, given: Mapping[str, Any]) -> None:
        """Take a collector's report; one that can't be used is ignored alone."""
        try:
            if message_type == ClientMessage.OUTCOME_REPORT:
                self._host.on_outcome_report(self.codec.read_outcomes(given))
            elif message_type == ClientMessage.DEMAND_REPORT:
                self._host.on_demand_report(self.codec.read_demand(given))
            else:
                raise MalformedMessageError("no report")
        except MalformedMessageError:
            self.ignored_reports += 1
