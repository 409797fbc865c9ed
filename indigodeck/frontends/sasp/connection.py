"""One SASP connection on Tornado's streams: one coroutine reads and answers, one writes weights."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Awaitable
from typing import TYPE_CHECKING, TypeVar

from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.locks import Event
from tornado.util import TimeoutError as DeadlineExceededError

from ...clock import SECOND
from ...planner.message_quota import MessageQuota
from . import codec
from .conversation import Conversation

if TYPE_CHECKING:
    from .server import SaspFrontend

# How often a socket is looked at until its peer has acknowledged all bytes; doubled from the first
# to the last.
FIRST_ACK_POLL_S = 0.001
LONGEST_ACK_POLL_S = 0.05

_T = TypeVar("_T")


class Connection:
    """One connection: answers requests one at a time, and writes weights when some wait."""

    def __init__(self, frontend: "SaspFrontend", stream: IOStream, address: tuple) -> None:
        self.frontend = frontend
        self.stream = stream
        self.address = address
        self.conversation = Conversation(frontend.registry, self)
        self._write_requested = Event()
        self._answers: list[bytes] = []
        self._close_reason: str | None = None
        stream.set_nodelay(True)

    # What the conversation may do (`conversation.ConnectionPort`).

    def send(self, data: bytes) -> None:
        """Send an answer."""
        self._answers.append(data)

    def request_write(self) -> None:
        """Have `next_message` written as soon as that is allowed."""
        self._write_requested.set()

    def close(self, reason: str) -> None:
        """Close the connection, after what was answered has left.

        A rejection is worth nothing if it never arrives.
        """
        if not self.stream.closed() and self._close_reason is None:
            self._close_reason = reason
            IOLoop.current().add_callback(self._close)

    def _close(self) -> None:
        if not self.stream.closed():
            self.frontend.log_event(
                "connection_closed",
                peer=self.conversation.name() or self.address[0],
                reason=self._close_reason,
            )
            self.stream.close()

    # Reading.

    async def run(self) -> None:
        """Serve the peer until either side closes the connection."""
        writer = asyncio.get_running_loop().create_task(self._write_updates())
        try:
            while self._close_reason is None:
                await self._serve_request()
        except StreamClosedError:
            pass  # the peer has left
        except DeadlineExceededError:
            self.close("a message was begun and not ended in time")
        except codec.MalformedSaspMessageError as error:
            self.frontend.log_event(
                "message_malformed",
                peer=self.conversation.name(),
                reason=str(error),
                code=error.return_code,
            )
            self.close(str(error))
        finally:
            writer.cancel()
            self.conversation.on_closed()
            self._close()

    async def _serve_request(self) -> None:
        message = await self._read_message()
        # A peer that asks too often waits; what it sends meanwhile stays in its own socket.
        while wait := self._quota().answer_wait(self.frontend.now()):
            await sleep(wait / SECOND)
        if codec.introduces(message) and self.conversation.proxy is None:
            await self._wait_for_admission()
        self.conversation.read(message)
        answers = self._answers
        self._answers = []
        for data in answers:
            self._quota().on_written(self.frontend.now(), is_answer=True)
            await self._write(data)

    async def _read_message(self) -> bytes:
        """Read one whole message. It may be long in coming; once begun, it must end in time."""
        first_byte = await self.stream.read_bytes(1)
        deadline = IOLoop.current().time() + self.frontend.message_timeout_s
        header = first_byte + await self._by(
            deadline, self.stream.read_bytes(codec.HEADER.size - 1)
        )
        length, _ = codec.read_header(header, self.frontend.registry.bounds)
        return header + await self._by(deadline, self.stream.read_bytes(length - codec.HEADER.size))

    async def _wait_for_admission(self) -> None:
        if not await self.frontend.service.proxies.wait_for_admission():
            self.close("too many relays wait to join")
        if self.stream.closed() or self._close_reason is not None:
            # It did not wait for its turn, and would be told all for nothing.
            raise StreamClosedError

    # Writing.

    async def _write_updates(self) -> None:
        try:
            while True:
                await self._write_requested.wait()
                self._write_requested.clear()
                await self._write_next_message()
        except StreamClosedError:
            pass  # the reader meets the same
        except DeadlineExceededError:
            self.close("it reads nothing")

    async def _write_next_message(self) -> None:
        # Registered or not, ejections wait until they can be told; one message at a time.
        while wait := self._quota().order_wait(self.frontend.now()):
            await sleep(wait / SECOND)
        planner_host = self.frontend.planner_host
        proxy = self.conversation.proxy
        update = planner_host.take_updates(proxy) if proxy is not None else None
        data = self.conversation.next_message()
        if data is not None:
            self._quota().on_written(self.frontend.now())
            await self._write(data)
            await self._wait_for_tcp_ack()
        if update is not None and (data is not None or self.conversation.groups):
            planner_host.on_delivered(update, by_application=False)

    async def _write(self, data: bytes) -> None:
        proxy = self.conversation.proxy
        if proxy is not None and not self.frontend.service.leadership.may_write(proxy):
            # Another may lead by now: asked here, for much may have passed since it was queued.
            raise StreamClosedError
        # A peer that reads nothing holds up its own connection, and not for ever.
        deadline = IOLoop.current().time() + self.frontend.stalled_timeout_s
        await self._by(deadline, self.stream.write(data))

    async def _wait_for_tcp_ack(self) -> None:
        """Wait until the peer's machine has acknowledged every byte.

        The next state is made only then, so that what was ordered meanwhile is one message and not
        many. This protocol knows no acknowledgement of its own.
        """
        remaining = self.frontend.stalled_timeout_s
        pause = FIRST_ACK_POLL_S
        while not self.stream.closed() and unacknowledged_bytes(self.stream.socket):
            if remaining <= 0:
                raise DeadlineExceededError
            await sleep(pause)
            remaining -= pause
            pause = min(2 * pause, LONGEST_ACK_POLL_S)
        if self.stream.closed():
            raise StreamClosedError

    def _quota(self) -> MessageQuota:
        """Return the proxy's quota, or its address's until it has said who it is."""
        return self.frontend.service.proxies.message_quota(
            self.conversation.load_balancer_id or self.address
        )

    @staticmethod
    async def _by(deadline: float, awaited: Awaitable[_T]) -> _T:
        return await with_timeout(deadline, awaited, StreamClosedError)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes were written to a socket that the other side has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
