"""Keeps a proxy's tables up to date over SASP (RFC 4678), on Tornado's I/O streams."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from typing import NoReturn

from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.util import TimeoutError as DeadlineExceededError

from ..frontends.sasp import codec
from .reconnecting import RESPONSE_TIMEOUT_S, ReconnectingClient
from .tables import (
    Address,
    ClientError,
    MalformedResponseError,
    RequestRejectedError,
    TableEntry,
    Tables,
    UnreachableError,
)

LOAD_BALANCER_HEALTH = 0x7F  # the proxy's own health as stated to the planner: the best value
MAX_BUFFERED_BYTES = 4 << 20


def table_entry(entry: codec.Entry) -> TableEntry:
    """Convert a SASP weight entry to an entry of `Tables`."""
    return TableEntry(
        entry.member.endpoint(),
        entry.weight,
        bool(entry.flags & codec.CONFIDENT),
        bool(entry.flags & codec.QUIESCED),
    )


class SaspSession:
    """The proxy's end of one SASP connection, without I/O: its requests and the replies to them."""

    def __init__(
        self,
        load_balancer_id: bytes,
        classes: Sequence[str],
        members: Sequence[Address],
        tables: Tables,
        push: bool = True,
    ) -> None:
        self.load_balancer_id = load_balancer_id
        self.classes = classes
        self.members = members
        self.tables = tables
        self.push = push
        self.last_message_id = 0
        self.unanswered: dict[int, str] = {}  # descriptions of pending requests, by message id
        # In seconds. The first poll comes soon, since its reply carries the planner's interval.
        self.poll_interval = 1
        self.received_table = False

    def opening_messages(self) -> Iterator[bytes]:
        """Yield the first messages: this proxy's id and options, and the groups it registers."""
        groups = [
            (
                (self.load_balancer_id, name.encode()),
                [codec.Member.at(*address) for address in self.members],
            )
            for name in self.classes
        ]
        yield codec.set_balancer(
            self._next_message_id("the load balancer's state"),
            self.load_balancer_id,
            LOAD_BALANCER_HEALTH,
            self.push,
            True,
            True,
        )
        yield codec.register(self._next_message_id("the registration of groups"), True, groups)

    def poll(self) -> bytes:
        """Return a request for all weights; the reply also shows that the planner is alive."""
        return codec.get_weights(
            self._next_message_id("weights"),
            [(self.load_balancer_id, name.encode()) for name in self.classes],
        )

    def _next_message_id(self, request: str) -> int:
        """Return the id of the next request, and record the request's description as pending."""
        self.last_message_id += 1
        self.unanswered[self.last_message_id] = request
        return self.last_message_id

    def on_message(self, message: bytes) -> None:
        """Apply one complete message from the planner.

        Raises
        ------
        MalformedResponseError
            If it is not a valid message, or one that planners do not send.
        RequestRejectedError
            If it rejects a request.
        """
        try:
            codec.dispatch(message, self)
        except codec.MalformedSaspMessageError as error:
            raise MalformedResponseError(str(error)) from error

    # Handlers of the messages that a load balancer receives, called by `codec.dispatch`.

    def answered(self, message_id: int, reply_type: int, return_code: int) -> None:
        """Handle the reply to a request."""
        request = self.unanswered.pop(message_id, None)
        if request is None:
            raise MalformedResponseError(
                f"reply to {message_id}, which is not the id of a pending request"
            )
        if return_code != codec.SUCCESSFUL:
            meaning = codec.RETURN_CODE_MEANINGS.get(return_code, hex(return_code))
            raise RequestRejectedError(f"{request}: {meaning}", return_code)

    def weights(
        self, message_id: int, return_code: int, interval: int, groups: list[codec.WeightGroup]
    ) -> None:
        """Handle the reply to a poll; `interval` is the planner's poll interval, in seconds."""
        self.answered(message_id, codec.WEIGHTS, return_code)
        self.poll_interval = max(1, interval)
        self.sent_weights(message_id, groups)

    def sent_weights(self, message_id: int, groups: list[codec.WeightGroup]) -> None:
        """Handle weights that the planner pushed."""
        for (load_balancer_id, group_name), entries in groups:
            name = group_name.decode("utf-8", "replace")
            # Weights of a group that is no longer followed may still be in flight.
            if load_balancer_id != self.load_balancer_id or name not in self.classes:
                continue
            self.received_table = True
            self.tables.update(name, [table_entry(entry) for entry in entries])

    def _reject_request(self, *_: object) -> NoReturn:
        raise MalformedResponseError("the planner sent a message that only load balancers send")

    register = _reject_request
    deregister = _reject_request
    get_weights = _reject_request
    set_balancer = _reject_request
    set_members = _reject_request


class SaspClient(ReconnectingClient):
    """Connects to planners in turn over SASP and keeps tables up to date until `stop`."""

    connection_errors = (
        StreamClosedError,
        DeadlineExceededError,
        OSError,
        RequestRejectedError,
        MalformedResponseError,
    )

    def __init__(
        self,
        proxy_id: str,
        planners: Sequence[Address] | Callable[[], Sequence[Address]],
        tables: Tables,
        members: Sequence[Address] = (),
        push: bool = True,
        response_timeout: float = RESPONSE_TIMEOUT_S,
        connection_lost: Callable[[ClientError], object] | None = None,
    ) -> None:
        super().__init__(proxy_id, planners, tables, response_timeout, connection_lost)
        self.load_balancer_id = proxy_id.encode()
        self.members = tuple(members)
        self.push = push
        self.stream: IOStream | None = None

    def _client_error(self, caught: BaseException) -> ClientError:
        if isinstance(caught, (RequestRejectedError, MalformedResponseError)):
            return caught
        return UnreachableError(str(caught) or "the planner stopped answering")

    async def _run_session(self, address: Address) -> None:
        loop = IOLoop.current()
        stream = await TCPClient().connect(
            *address, timeout=self.response_timeout, max_buffer_size=MAX_BUFFERED_BYTES
        )
        self.stream = stream
        stream.set_nodelay(True)
        session = SaspSession(
            self.load_balancer_id, list(self.tables.lines), self.members, self.tables, self.push
        )
        self.session = session
        self.tables.connection_opened()
        for message in session.opening_messages():
            await stream.write(message)
        poller = asyncio.get_running_loop().create_task(self._poll(stream, session))
        try:
            while True:
                # The client disconnects if the planner does not answer in time, or stops in the
                # middle of a message.
                wait = self.response_timeout
                if not session.unanswered:
                    wait += session.poll_interval
                message = await with_timeout(
                    loop.time() + wait, self._read_message(stream), StreamClosedError
                )
                session.on_message(message)
        finally:
            poller.cancel()

    async def _read_message(self, stream: IOStream) -> bytes:
        header = await stream.read_bytes(codec.HEADER.size)
        try:
            length, _ = codec.read_header(header, codec.Bounds())
        except codec.MalformedSaspMessageError as error:
            raise MalformedResponseError(str(error)) from error
        return header + await stream.read_bytes(length - codec.HEADER.size)

    async def _poll(self, stream: IOStream, session: SaspSession) -> None:
        """Poll at the planner's interval, even if it pushes: the replies show that it is alive."""
        try:
            while True:
                jitter = 0.9 + self.random.randbelow(200) / 1000
                await sleep(session.poll_interval * jitter)
                if not session.unanswered:
                    await stream.write(session.poll())
        except StreamClosedError:
            pass  # the reading coroutine gets the same error, and the client reconnects

    async def _close(self) -> None:
        self.disconnect()

    def disconnect(self) -> None:
        """Break the connection as a network failure would; the client then reconnects."""
        if self.stream is not None:
            self.stream.close()
