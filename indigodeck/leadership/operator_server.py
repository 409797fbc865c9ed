"""Where operators' commands reach a planner that has no other controllers.

The same sealed messages as between controllers, on a port of its own.
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

OPERATOR = "operator"  # what an operator's messages name as their source
PLANNER = "planner"  # what a planner without other controllers names as its answers' source
MAX_CONNECTIONS = 64
MESSAGE_TIMEOUT = 5  # seconds from the first byte of a message to its last
BUFFER_BYTES = 4 * message_codec.MAX_BODY_BYTES


class OperatorService(Protocol):
    """What is needed of the planner."""

    def on_operator_request(self, request: Any) -> Awaitable[Any]:
        """Answer a request to the versions of tables (versions/admin_api.py)."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""


async def read_message(stream: IOStream) -> bytes:
    """Return what follows the length of the next message.

    It may be long in coming; once begun, it must end in time.
    """
    head = await stream.read_bytes(message_codec.LENGTH_BYTES)
    deadline = IOLoop.current().time() + MESSAGE_TIMEOUT
    rest = stream.read_bytes(message_codec.remaining_bytes(head))
    return await with_timeout(deadline, rest, StreamClosedError)


class OperatorServer(TCPServer):
    """Answers operators' requests about versions, and rejects all others."""

    def __init__(self, service: OperatorService, key: bytes) -> None:
        super().__init__(max_buffer_size=BUFFER_BYTES)
        self._service = service
        self._key = key
        self._connection_count = 0
        self.port: int | None = None

    def listen_on(self, port: int, address: str) -> None:
        """Open the port; 0 takes any that is free.

        Raises
        ------
        OSError
            If the address is in use, or none of this machine.
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
        received = message_codec.unpack(self._key, data, lambda name: name == OPERATOR)
        message = message_codec.from_wire(received.kind, received.fields)
        if not isinstance(message, messages.VersionRequest):
            raise message_codec.MessageRejectedError(
                f"{received.kind!r} is for planners that share a fleet"
            )
        said = await self._service.on_operator_request(message.request)
        kind, fields = message_codec.to_wire(messages.Answer(said))
        await stream.write(message_codec.pack(self._key, PLANNER, kind, received.version, **fields))
