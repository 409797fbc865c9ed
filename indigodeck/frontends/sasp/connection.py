"""One SASP connection on a Tornado stream, with a coroutine for answers and one for weights."""

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

# The interval at which a socket is polled until its peer has acknowledged all bytes. It doubles
# from the first value up to the maximum.
FIRST_ACK_POLL_S = 0.001
MAX_ACK_POLL_S = 0.05

_T = TypeVar("_T")


class Connection:
    """One connection: answers requests one at a time, and pushes weights when they have changed."""

    def __init__(self, frontend: "SaspFrontend", stream: IOStream, address: tuple) -> None:
        self.frontend = frontend
        self.stream = stream
        self.address = address
        self.conversation = Conversation(frontend.registry, self)
        self._write_requested = Event()
        self._answers: list[bytes] = []
        self._close_reason: str | None = None
        stream.set_nodelay(True)

    # The interface for the conversation (`conversation.ConnectionPort`).

    def send(self, data: bytes) -> None:
        """Send an answer."""
        self._answers.append(data)

    def request_write(self) -> None:
        """Have `next_message` written as soon as the message limits allow it."""
        self._write_requested.set()

    def close(self, reason: str) -> None:
        """Close the connection after the pending answers have been sent.

        Otherwise the peer might not receive the answer that rejects its request.
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

    async def run(self) -> None:
        """Serve the peer until either side closes the connection."""
        writer = asyncio.get_running_loop().create_task(self._write_updates())
        try:
            while self._close_reason is None:
                await self._serve_request()
        except StreamClosedError:
            pass  # the peer has left
        except DeadlineExceededError:
            self.close("the peer did not complete a message in time")
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
        # Answers to a peer that sends too many requests are delayed. Its further requests stay in
        # the socket's buffer meanwhile.
        while wait := self._quota().answer_wait(self.frontend.now()):
            await sleep(wait / SECOND)
        if codec.is_set_balancer(message) and self.conversation.proxy is None:
            await self._wait_for_admission()
        self.conversation.on_message(message)
        answers = self._answers
        self._answers = []
        for data in answers:
            self._quota().on_written(self.frontend.now(), is_answer=True)
            await self._write(data)

    async def _read_message(self) -> bytes:
        """Read one complete message.

        There is no time limit for the first byte, but one for the rest of the message.
        """
        first_byte = await self.stream.read_bytes(1)
        deadline = IOLoop.current().time() + self.frontend.message_timeout_s
        header = first_byte + await self._with_deadline(
            deadline, self.stream.read_bytes(codec.HEADER.size - 1)
        )
        length, _ = codec.read_header(header, self.frontend.registry.bounds)
        return header + await self._with_deadline(
            deadline, self.stream.read_bytes(length - codec.HEADER.size)
        )

    async def _wait_for_admission(self) -> None:
        if not await self.frontend.service.proxies.wait_for_admission():
            self.close("too many relays are waiting to join")
        if self.stream.closed() or self._close_reason is not None:
            # The peer has left while waiting, and all tables would be sent to it in vain.
            raise StreamClosedError

    async def _write_updates(self) -> None:
        try:
            while True:
                await self._write_requested.wait()
                self._write_requested.clear()
                await self._write_next_message()
        except StreamClosedError:
            pass  # the reading coroutine gets the same error
        except DeadlineExceededError:
            self.close("the peer does not read from the connection")

    async def _write_next_message(self) -> None:
        # One message at a time. Pending updates, such as ejections, stay with the planner host
        # until the quota allows a message, even if the peer has not registered any group yet.
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
            # Another controller may lead the group by now. This is checked directly before the
            # write, as the message may have been queued for long.
            raise StreamClosedError
        # A peer that does not read blocks only its own connection, which is closed after a time.
        deadline = IOLoop.current().time() + self.frontend.stalled_timeout_s
        await self._with_deadline(deadline, self.stream.write(data))

    async def _wait_for_tcp_ack(self) -> None:
        """Wait until the peer's TCP stack has acknowledged all bytes.

        Only then is the next message built, so that all changes in between are combined in one
        message. SASP itself has no acknowledgement of pushed weights.
        """
        remaining = self.frontend.stalled_timeout_s
        pause = FIRST_ACK_POLL_S
        while not self.stream.closed() and unacknowledged_bytes(self.stream.socket):
            if remaining <= 0:
                raise DeadlineExceededError
            await sleep(pause)
            remaining -= pause
            pause = min(2 * pause, MAX_ACK_POLL_S)
        if self.stream.closed():
            raise StreamClosedError

    def _quota(self) -> MessageQuota:
        """Return the message quota of the proxy, or that of its address until its id is known."""
        return self.frontend.service.proxies.message_quota(
            self.conversation.load_balancer_id or self.address
        )

    @staticmethod
    async def _with_deadline(deadline: float, awaited: Awaitable[_T]) -> _T:
        return await with_timeout(deadline, awaited, StreamClosedError)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the number of bytes written to a socket that its peer has not acknowledged yet."""
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
