"""The planner's address: collectors that introduce themselves, whoever asks for a sign of life, and strangers.

Who has not introduced itself within a second is let go, and first of all when room is short: strangers may come by the
hundreds, and neither collectors nor `probe` may wait for them. Nothing is ever written to a collector.
"""

from tornado.gen import sleep
from tornado.iostream import IOStream, StreamBufferFullError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from . import codec
from .codec import LINE_MOST, MalformedMessageError
from .dialling import LOST, SECOND, next_line, within

STRANGE = 12 * SECOND // 10  # for an introduction, and after each sign of life asked for
STRANGE_LINE = 4096  # an introduction is short
SILENCE = (
    30 * SECOND
)  # a collector that says nothing has vanished, or has nothing to say: it may come back
COLLECTORS_MOST = 8  # of one zone; the longest silent gives way
OWN = 48  # descriptors for everything but this address
LINES_AT_ONCE = 64  # of one connection, so that a flood gives way to the others
BACKLOG = 1024


class Connection:
    """One connection; `zone` is None until it has introduced itself as a collector."""

    def __init__(self, listener, stream):
        self.listener, self.stream, self.zone, self.heard_at = (
            listener,
            stream,
            None,
            listener.now(),
        )

    async def run(self):
        lines = 0
        try:
            while True:
                data = await self._line()
                lines += 1
                self._read(data)
                if lines % LINES_AT_ONCE == 0:
                    await sleep(0)
        except MalformedMessageError as error:
            self._refuse(str(error))
        except (*LOST, StreamBufferFullError):
            pass
        finally:
            self.stream.close()

    async def _line(self):
        if self.zone is not None:
            return await next_line(self.stream, SILENCE)
        left = max(0, self.heard_at + STRANGE - self.listener.now())
        return await within(left, self.stream.read_until(b"\n", max_bytes=STRANGE_LINE))

    def _refuse(self, why):
        if self.zone is None and not self.stream.closed():
            self.stream.write(codec.pack({"type": "error", "text": why[:100]}) + b"\n")

    def _read(self, data):
        given = codec.read_object(data)  # what can't be read ends the connection, a collector's too
        kind = given.get("type")
        if kind == "probe" and self.zone is None:
            self.stream.write(codec.ALIVE)
            self.heard_at = self.listener.now()
        elif kind == "agent" and self.zone is None:
            self.zone = self.listener.words.agent(given)
            self.listener.introduced(self)
        elif self.zone is None:
            raise MalformedMessageError("nothing that a planner is told before an introduction")
        else:
            self.heard_at = self.listener.now()
            self.listener.report(kind, given)


class Listener(TCPServer):
    """`desk`: told of reports. `sockets`: descriptors that the whole planner may hold."""

    def __init__(self, desk, words, now, sockets):
        super().__init__(max_buffer_size=LINE_MOST + (64 << 10), read_chunk_size=16 << 10)
        self.desk, self.words, self.now = desk, words, now
        self.strangers, self.collectors = {}, {zone: [] for zone in words.zones.values()}
        self.strangers_most = max(8, sockets - OWN - COLLECTORS_MOST * len(self.collectors)) // 2
        self.passed_over = 0

    def open(self, place):
        self.add_sockets(bind_sockets(place[1], place[0], backlog=BACKLOG))

    async def handle_stream(self, stream: IOStream, address):
        connection = Connection(self, stream)
        self.strangers[connection] = True
        if len(self.strangers) > self.strangers_most:
            oldest = next(iter(self.strangers))
            del self.strangers[oldest]
            oldest.stream.close()
        try:
            await connection.run()
        finally:
            self.strangers.pop(connection, None)
            if connection.zone is not None and connection in self.collectors[connection.zone]:
                self.collectors[connection.zone].remove(connection)

    def introduced(self, connection):
        self.strangers.pop(connection, None)
        known = self.collectors[connection.zone]
        known.append(connection)
        if len(known) > COLLECTORS_MOST:
            silent = min(known, key=lambda other: other.heard_at)
            known.remove(silent)
            silent.stream.close()

    def report(self, kind, given):
        """From a collector. One spoilt report is passed over alone."""
        try:
            if kind == "outcomes":
                self.desk.heard(*self.words.outcomes(given))
            elif kind == "demand":
                self.desk.demand(*self.words.demand(given))
            else:
                raise MalformedMessageError("no report")
        except MalformedMessageError:
            self.passed_over += 1
