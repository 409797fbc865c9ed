"""Serves the planner's own address: reports of collectors, and the platform's health checks.

A collector belongs to a zone, and reports requests and their outcomes. Before its first report it
introduces itself; until then a client counts as unidentified. An unidentified client is
disconnected after `INTRODUCTION_TIMEOUT`, or earlier if file descriptors run short: hundreds of
unknown clients may connect, and must not delay collectors or the platform's health checks. Nothing
is ever written to a collector. Times are whole microseconds.
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
from .collector_protocol import HEALTH_CHECK_RESPONSE, ClientMessageType, error_line
from .connecting import CONNECTION_ERRORS, MAX_LINE_BYTES, read_line, with_deadline
from .json_fields import read_object
from .messages import Address

INTRODUCTION_TIMEOUT = 12 * SECOND // 10  # restarts with each health check
MAX_INTRODUCTION_BYTES = 4096
# A collector that is silent for so long has vanished or has nothing to report; it may reconnect.
COLLECTOR_IDLE_TIMEOUT = 30 * SECOND
MAX_COLLECTORS_PER_ZONE = 8  # the longest silent one is disconnected for a new one
RESERVED_DESCRIPTORS = 48  # for everything but connections at this address
MIN_UNIDENTIFIED_DESCRIPTORS = 8
LINES_BETWEEN_YIELDS = 64  # of one connection, so that a flood of lines does not block the others
BACKLOG = 1024
READ_CHUNK_BYTES = 16 << 10


class Connection:
    """One client's connection; `zone` is None until the client introduces itself as a collector."""

    def __init__(self, listener: "CollectorListener", stream: IOStream) -> None:
        self._listener = listener
        self.stream = stream
        self.zone: int | None = None
        self.last_received_at = listener.now()

    async def run(self) -> None:
        """Read lines until either side closes the connection."""
        line_count = 0
        try:
            while True:
                data = await self._next_line()
                line_count += 1
                self._handle_line(data)
                if line_count % LINES_BETWEEN_YIELDS == 0:
                    await sleep(0)
        except MalformedMessageError as error:
            self._write_error(str(error))
        except (*CONNECTION_ERRORS, StreamBufferFullError):
            pass
        finally:
            self.stream.close()

    async def _next_line(self) -> bytes:
        if self.zone is not None:
            return await read_line(self.stream, COLLECTOR_IDLE_TIMEOUT)
        remaining = max(0, self.last_received_at + INTRODUCTION_TIMEOUT - self._listener.now())
        line = self.stream.read_until(b"\n", max_bytes=MAX_INTRODUCTION_BYTES)
        return await with_deadline(remaining, line)

    def _write_error(self, reason: str) -> None:
        if self.zone is None and not self.stream.closed():
            self.stream.write(error_line(reason))

    def _handle_line(self, data: bytes) -> None:
        message = read_object(data)  # if it can't be parsed, the connection is closed
        message_type = message.get("type")
        if self.zone is not None:
            self.last_received_at = self._listener.now()
            self._listener.on_report(message_type, message)
        elif message_type == ClientMessageType.HEALTH_CHECK:
            self.stream.write(HEALTH_CHECK_RESPONSE)
            self.last_received_at = self._listener.now()
        elif message_type == ClientMessageType.INTRODUCTION:
            self.zone = self._listener.codec.read_introduction(message)
            self._listener.on_introduced(self, self.zone)
        else:
            raise MalformedMessageError("not allowed before an introduction")


class CollectorListener(TCPServer):
    """Accepts connections at the planner's own address, and passes collectors' reports to `host`.

    `descriptor_limit`: how many file descriptors the whole planner may have open.
    """

    def __init__(
        self,
        host: EdgeAssignerHost,
        codec: MessageCodec,
        now: Callable[[], int],
        descriptor_limit: int,
    ) -> None:
        super().__init__(
            max_buffer_size=MAX_LINE_BYTES + 4 * READ_CHUNK_BYTES, read_chunk_size=READ_CHUNK_BYTES
        )
        self._host = host
        self.codec = codec
        self.now = now
        self.unidentified: dict[Connection, None] = {}  # oldest first
        self.collectors: dict[int, list[Connection]] = {zone: [] for zone in codec.zones.values()}
        collector_descriptors = MAX_COLLECTORS_PER_ZONE * len(self.collectors)
        remaining = descriptor_limit - RESERVED_DESCRIPTORS - collector_descriptors
        self.max_unidentified = max(MIN_UNIDENTIFIED_DESCRIPTORS, remaining) // 2
        self.ignored_reports = 0

    def open(self, address: Address) -> None:
        """Listen at the address."""
        self.add_sockets(bind_sockets(address.port, address.host, backlog=BACKLOG))

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one connection; close the oldest unidentified one if there are too many."""
        connection = Connection(self, stream)
        self.unidentified[connection] = None
        if len(self.unidentified) > self.max_unidentified:
            oldest = next(iter(self.unidentified))
            del self.unidentified[oldest]
            oldest.stream.close()
        try:
            await connection.run()
        finally:
            self.unidentified.pop(connection, None)
            if connection.zone is not None and connection in self.collectors[connection.zone]:
                self.collectors[connection.zone].remove(connection)

    def on_introduced(self, connection: Connection, zone: int) -> None:
        """Register a collector; close the longest silent one of its zone if there are too many."""
        self.unidentified.pop(connection, None)
        collectors = self.collectors[zone]
        collectors.append(connection)
        if len(collectors) > MAX_COLLECTORS_PER_ZONE:
            longest_silent = min(collectors, key=lambda other: other.last_received_at)
            collectors.remove(longest_silent)
            longest_silent.stream.close()

    def on_report(self, message_type: Any, message: Mapping[str, Any]) -> None:
        """Handle a collector's report; an invalid one is counted and ignored."""
        try:
            if message_type == ClientMessageType.OUTCOME_REPORT:
                self._host.on_outcome_report(self.codec.read_outcomes(message))
            elif message_type == ClientMessageType.DEMAND_REPORT:
                self._host.on_demand_report(self.codec.read_demand(message))
            else:
                raise MalformedMessageError("not a report")
        except MalformedMessageError:
            self.ignored_reports += 1
