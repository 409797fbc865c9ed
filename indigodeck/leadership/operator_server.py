"""Server for operators' requests to a planner that has no other controllers.

It uses the same authenticated messages as controllers do, on a port of its own.
"""

from collections.abc import Awaitable
from typing import Any, Protocol

from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer
from tornado.util import TimeoutError as DeadlineExceededError

from . import message_codec, messages

OPERATOR_SOURCE = "operator"  # source of operators' messages
PLANNER_SOURCE = "planner"  # source of the answers of a planner without other controllers
MAX_CONNECTIONS = 64
MESSAGE_TIMEOUT = 5  # seconds to receive the rest of a message after its length field
BUFFER_BYTES = 4 * message_codec.MAX_BODY_BYTES


class OperatorService(Protocol):
    """What the server needs from the planner."""

    def on_operator_request(self, request: Any) -> Awaitable[Any]:
        """Answer a request about the versions of tables (versions/admin_api.py)."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""


async def read_message(stream: IOStream) -> bytes:
    """Return the bytes after the length field of the next message.

    The wait for a message is unlimited; once its length is read, the rest must arrive in
    `MESSAGE_TIMEOUT`.
    """
    length_field = await stream.read_bytes(message_codec.LENGTH_BYTES)
    deadline = IOLoop.current().time() + MESSAGE_TIMEOUT
    remainder = stream.read_bytes(message_codec.remaining_bytes(length_field))
    return await with_timeout(deadline, remainder, StreamClosedError)


class OperatorServer(TCPServer):
    """Answers operators' requests about versions of tables, and rejects all other messages."""

    def __init__(self, service: OperatorService, key: bytes) -> None:
        super().__init__(max_buffer_size=BUFFER_BYTES)
        self._service = service
        self._key = key
        self._connection_count = 0
        self.port: int | None = None

    def listen_on(self, port: int, address: str) -> None:
        """Listen on a port; 0 selects any free one.

        Raises
        ------
        OSError
            If the address is in use or does not belong to this machine.
        """
        sockets = bind_sockets(port, address)
        self.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        self._service.log_event("listening", frontend="operators", port=self.port)

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Answer requests on one connection until it ends or one is rejected."""
        if self._connection_count >= MAX_CONNECTIONS:
            stream.close()
            return
        self._connection_count += 1
        try:
            while True:
                await self._answer_next(stream)
        except message_codec.MessageRejectedError as error:
            self._service.log_event("operator_rejected", peer=address[0], why=str(error))
        except (StreamClosedError, DeadlineExceededError, OSError):
            pass
        finally:
            self._connection_count -= 1
            stream.close()

    async def _answer_next(self, stream: IOStream) -> None:
        data = await read_message(stream)
        received = message_codec.unpack(self._key, data, lambda name: name == OPERATOR_SOURCE)
        message = message_codec.from_wire(received.kind, received.fields)
        if not isinstance(message, messages.VersionRequest):
            raise message_codec.MessageRejectedError(
                f"{received.kind!r} is supported only by controllers that share a fleet"
            )
        answer = await self._service.on_operator_request(message.request)
        kind, fields = message_codec.to_wire(messages.Answer(answer))
        await stream.write(
            message_codec.pack(self._key, PLANNER_SOURCE, kind, received.version, **fields)
        )
