"""The sockets of the SASP front, on Tornado's streams: one coroutine reads, one writes, each message whole."""

import fcntl
import struct
import termios

from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.locks import Event
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer
from tornado.util import TimeoutError as DeadlineExceededError

from . import codec
from .conversation import Conversation, RegistrationRegistry

SECOND = 1_000_000


class Connection:
    """One connection: reads requests one at a time and answers them, writes weights when some wait."""

    def __init__(self, front, stream, address):
        self.front, self.stream, self.address = front, stream, address
        self.conversation = Conversation(front.office, self)
        self.wanted, self.answers, self.closing = Event(), [], None
        stream.set_nodelay(True)

    # What the conversation may do.

    def send(self, data):
        self.answers.append(data)

    def due(self):
        self.wanted.set()

    def close(self, why):
        if not self.stream.closed() and self.closing is None:
            self.closing = why
            IOLoop.current().add_callback(self._close)

    def _close(self):
        # After what was answered has left: a refusal is worth nothing if it never arrives.
        if not self.stream.closed():
            self.front.note(
                "cut off", peer=self.conversation.name() or self.address[0], why=self.closing
            )
            self.stream.close()

    # The two coroutines.

    async def run(self):
        writer = IOLoop.current().asyncio_loop.create_task(self._write())
        try:
            while self.closing is None:
                message = await self._message()
                await self._allowed()
                if codec.introduces(message) and self.conversation.proxy is None:
                    await self._admitted()
                self.conversation.read(message)
                await self._answer()
        except StreamClosedError:
            pass
        except DeadlineExceededError:
            self.close("a message was begun and not ended in time")
        except codec.MalformedSaspMessageError as error:
            self.front.note(
                "malformed", peer=self.conversation.name(), why=str(error), code=error.return_code
            )
            self.close(str(error))
        finally:
            writer.cancel()
            self.conversation.ended()
            self._close()

    async def _message(self):
        """One whole message. It may be long in coming; once begun, it must end in time."""
        first = await self.stream.read_bytes(1)
        deadline = IOLoop.current().time() + self.front.message_time
        rest = await with_timeout(
            deadline, self.stream.read_bytes(codec.HEADER.size - 1), StreamClosedError
        )
        whole, _ = codec.read_header(first + rest, self.front.office.bounds)
        body = await with_timeout(
            deadline, self.stream.read_bytes(whole - codec.HEADER.size), StreamClosedError
        )
        return first + rest + body

    async def _allowed(self):
        """A relay that asks too often waits; what it sends meanwhile stays in its own socket."""
        while wait := self._allowance().answer_wait(self.front.now()):
            await sleep(wait / SECOND)

    async def _admitted(self):
        if not await self.front.service.proxies.wait_for_admission():
            self.close("too many relays wait to join")
        if self.stream.closed() or self.closing is not None:
            raise StreamClosedError  # it did not wait for its turn, and would be told all for nothing

    def _allowance(self):
        return self.front.allowance(self.conversation.uid or self.address)

    async def _answer(self):
        answers, self.answers = self.answers, []
        for data in answers:
            self._allowance().on_written(self.front.now(), is_answer=True)
            await self._sent(data)

    async def _sent(self, data):
        proxy = self.conversation.proxy
        if proxy is not None and not self.front.service.leadership.may_write(proxy):
            # Another may be in charge by now: asked here and not before, for much may have passed since it was queued.
            raise StreamClosedError
        # A peer that reads nothing holds up its own connection, and not for ever.
        await with_timeout(
            IOLoop.current().time() + self.front.deaf_time,
            self.stream.write(data),
            StreamClosedError,
        )

    async def _write(self):
        try:
            while True:
                await self.wanted.wait()
                self.wanted.clear()
                # Registered or not, what is withdrawn waits until it can be told; one message at a time.
                while wait := self._allowance().order_wait(self.front.now()):
                    await sleep(wait / SECOND)
                proxy = self.conversation.proxy
                parcel = self.front.planner_host.take_updates(proxy) if proxy is not None else None
                data = self.conversation.news()
                if data is not None:
                    self._allowance().on_written(self.front.now())
                    await self._sent(data)
                    await self._taken()
                if parcel is not None and (data is not None or self.conversation.groups):
                    self.front.planner_host.on_delivered(parcel, by_program=False)
        except StreamClosedError:
            pass
        except DeadlineExceededError:
            self.close("it reads nothing")

    async def _taken(self):
        """Until the peer's side has acknowledged every byte: the next state is made only then, so that what
        was ordered meanwhile is one message and not many. No acknowledgement is known to this protocol.
        """
        rest, tick = self.front.deaf_time, 0.001
        while not self.stream.closed() and unread(self.stream.socket):
            if rest <= 0:
                raise DeadlineExceededError
            await sleep(tick)
            rest -= tick
            tick = min(2 * tick, 0.05)
        if self.stream.closed():
            raise StreamClosedError


def unread(sock):
    """Bytes written to a socket that the other side has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]


class SaspFront(TCPServer):
    """Listens for load balancers and members. `service`: the program around (planner/service.py)."""

    def __init__(self, service, settings):
        super().__init__(max_buffer_size=2 * settings.frontends["sasp"].max_message_bytes)
        stated = settings.frontends["sasp"]
        self.service, self.planner_host = service, service.planner_host
        bounds = codec.Bounds(
            stated.max_message_bytes,
            stated.max_groups,
            stated.max_members,
        )
        self.span = settings.deployment.channel.message_window
        self.office = RegistrationRegistry(
            self.planner_host, self, settings.class_names, bounds, stated.poll_interval_s, self.span
        )
        self.connections = stated.max_connections
        self.message_time = stated.message_timeout / SECOND
        self.deaf_time = stated.stalled_timeout / SECOND
        self.lines, self.uids = set(), {}

    def now(self):
        return self.service.now()

    def listen(self, port, address):
        # All relays of a fleet may dial at once. What doesn't fit here the kernel drops unheard, and it comes again a second
        # later: of 303 relays 87 did.
        sockets = bind_sockets(port, address, backlog=self.connections)
        self.add_sockets(sockets)
        self.bound = sockets[0].getsockname()[1]

    def port(self):
        return self.bound

    async def handle_stream(self, stream, address):
        if len(self.lines) >= self.connections:
            self.note("refused", peer=address[0], why=f"{self.connections} connections are open")
            return stream.close()
        line = Connection(self, stream, address)
        self.lines.add(line)
        try:
            await line.run()
        finally:
            self.lines.discard(line)

    def allowance(self, who):
        return self.service.proxies.message_quota(who)

    def doors(self, open):
        """Open while another controller is in charge, too: who dials is refused with a code, and goes on to the next."""

    def replaced(self, proxy):
        """The relay speaks through another front now."""
        conversation = self.office.balancers.get(self.uids.get(proxy))
        if conversation is not None:
            conversation.replaced()

    def due(self, proxy):
        conversation = self.office.balancers.get(self.uids.get(proxy))
        if conversation is not None:
            conversation.line.due()

    def standing_of(self, places):
        """Something about these servers changed that no table tells: flags, or who may be told of them."""
        for conversation in self.office.balancers.values():
            if conversation.push and any(
                where in group.members or where in group.told
                for group in conversation.groups.values()
                for where in places
            ):
                conversation.line.due()

    def cease(self):
        self.stop()
        for line in list(self.lines):
            line.close("the planner ends")

    # What the office asks of the program.

    def proxy(self, uid):
        if not self.service.leadership.may_serve(uid.decode("utf-8", "replace")):
            return None
        number = self.service.proxies.proxy_index(uid)
        if number is not None:
            self.uids[number] = uid
        return number

    def joined(self, proxy, uid):
        # What an earlier connection wrote before its id was known here counts as well.
        self.service.proxies.on_proxy_joined(self, proxy, uid.decode("utf-8", "replace"))

    def left(self, proxy):
        self.service.proxies.on_proxy_left(self, proxy)

    def server_at(self, where):
        return self.service.endpoints.server_at(where)

    def address(self, server):
        return self.service.endpoints.address_of(server)

    def in_contact(self, server):
        return self.service.health_checker.answered_recently(server)

    def quiesced(self, where, on):
        return self.service.endpoints.on_host_quiesced(where, on)

    def note(self, event, **facts):
        self.service.note(event, front="sasp", **facts)
