"""Connections between controllers, on Tornado's streams; each controller connects to each other.

A connection carries messages in one direction only, except for operators, which are answered on the
same connection.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.locks import Event
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.util import TimeoutError as DeadlineExceededError

from ..assignment.seeded_random import SeededRandom
from ..clock import SECOND
from . import message_codec, messages
from .addresses import Address, parse_address
from .election import LeaderElection
from .lease_record import RecordStore
from .operator_server import BUFFER_BYTES, OPERATOR_SOURCE, read_message
from .rejections import Rejection, RejectionRegistry
from .state import ElectionSettings, LeaseRecord, Members

MAX_QUEUED_MESSAGES = 64  # per peer; the oldest are dropped, as senders retry
MAX_RELAYS_PER_ANSWER = 200
CONNECT_TIMEOUT = 1  # seconds, to another controller
MIN_RECONNECT_BACKOFF = 0.05  # seconds
MAX_RECONNECT_BACKOFF = 1.0  # seconds


class ConnectedRelay(NamedTuple):
    """A relay that this controller serves."""

    relay: str
    frontend: str
    relay_group: str


class MemberService(Protocol):
    """What a member needs from its planner."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""

    def planner_idle_time(self) -> int:
        """Return for how long the planner has not responded, in microseconds."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Start to lead a relay group."""

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Stop leading a relay group."""

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Handle a message of the replication of versions."""

    def connected_relays(self) -> Awaitable[list[ConnectedRelay]]:
        """Return the relays that this controller serves."""

    def on_operator_request(self, request: Any) -> Awaitable[Any]:
        """Answer a request about the versions of tables."""


class PeerQueue:
    """Messages queued for one peer, and the protocol version that the peer uses."""

    def __init__(self, address: Address, newest_version: int) -> None:
        self.address = address
        # Each message with the time at which it was queued.
        self.queue: deque[tuple[int, bytes]] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.has_messages = Event()
        self.version_tracker = message_codec.PeerVersionTracker(newest_version)
        self.is_closed = False


class ControllerTransport(TCPServer):
    """The host of a member's election and of its rejection registry, on real connections.

    It listens on this member's address in the settings. `newest_version` is the newest version of
    the protocol to use.

    Raises
    ------
    OSError
        If the address is in use or does not belong to this machine.
    """

    def __init__(
        self,
        service: MemberService,
        settings: ElectionSettings,
        key: bytes,
        lease_store: RecordStore[LeaseRecord],
        rejection_store: RecordStore[list[Rejection]],
        random: SeededRandom,
        newest_version: int = message_codec.NEWEST_VERSION,
    ) -> None:
        super().__init__(max_buffer_size=BUFFER_BYTES)
        self._service = service
        self._settings = settings
        self._key = key
        self._lease_store = lease_store
        self._rejection_store = rejection_store
        self._newest_version = newest_version
        self._peers: dict[str, PeerQueue] = {}
        self._is_closing = False
        self.rejections = RejectionRegistry(self, rejection_store.read() or ())
        record = lease_store.read()
        self._update_peers(record.membership.members if record and record.membership else {})
        self.election = LeaderElection(self, settings, random, record)
        address = parse_address(settings.members[settings.member_id])
        self.add_sockets(bind_sockets(address.port, address.host))

    def close(self) -> None:
        """Shut down, after releasing all relay groups that this member leads."""
        self.election.transfer_all()
        self._is_closing = True
        self.stop()

    def _update_peers(self, members: Members) -> None:
        """Connect to the controllers that the settings or the membership name, and to no others.

        Messages are accepted from the same controllers only.
        """
        addresses = {**members, **self._settings.members}
        for name in [name for name in self._peers if name not in addresses]:
            self._peers.pop(name).is_closed = True
        for name, address in addresses.items():
            if name != self._settings.member_id and name not in self._peers:
                peer = PeerQueue(parse_address(address), self._newest_version)
                self._peers[name] = peer
                IOLoop.current().add_callback(self._send_queue, peer)

    # The election's host (`state.ElectionHost`).

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return self._service.now()

    def planner_idle_time(self) -> int:
        """Return for how long the planner has not responded, in microseconds."""
        return self._service.planner_idle_time()

    def start_timer(self, delay: int, callback: Callable[[], None] | None = None) -> None:
        """Call `callback`, or else the election's timer, after `delay` microseconds."""
        IOLoop.current().call_later(delay / SECOND, callback or self._on_election_timer)

    def _on_election_timer(self) -> None:
        if not self._is_closing:
            self.election.on_timer()

    def send(self, member: str, message: messages.PeerMessage) -> None:
        """Queue a message for another member, unless the member's version cannot express it."""
        peer = self._peers.get(member)
        if peer is None:
            return
        kind, fields = message_codec.to_wire(message)
        version = peer.version_tracker.version
        if message_codec.can_encode(kind, version, fields):
            data = message_codec.pack(self._key, self._settings.member_id, kind, version, **fields)
            peer.queue.append((self.now(), data))
            peer.has_messages.set()

    def save_record(self, record: LeaseRecord) -> bool:
        """Save the lease record; return False on failure."""
        return self._lease_store.save(record)

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Notify the planner that this member leads."""
        self._service.on_leadership_acquired(relay_group, epoch)

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Notify the planner that this member leads no longer."""
        self._service.on_leadership_lost(relay_group, epoch, reason)

    def on_members_changed(self, number: int, members: Members) -> None:
        """Connect to the members of a new membership."""
        self._update_peers(members)

    def log(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""
        self._service.log_event(event, **facts)

    # The rejection registry's host (`rejections.RejectionHost`).

    def save_rejections(self, rejections: list[Rejection]) -> bool:
        """Save the rejections; return False on failure."""
        return self._rejection_store.save(rejections)

    def broadcast_rejections(self, rejections: list[Rejection]) -> None:
        """Send rejections to all other controllers."""
        notice = messages.RejectionNotice([list(rejection) for rejection in rejections])
        for name in self._peers:
            self.send(name, notice)

    async def _send_queue(self, peer: PeerQueue) -> None:
        """Send a peer its queued messages, and reconnect with backoff after failures."""
        backoff = MIN_RECONNECT_BACKOFF
        while not self._is_stopped(peer):
            stream = None
            try:
                stream = await TCPClient().connect(*peer.address, timeout=CONNECT_TIMEOUT)
                stream.set_nodelay(True)
                backoff = MIN_RECONNECT_BACKOFF
                while not self._is_stopped(peer):
                    await self._send_queued(peer, stream)
            except (OSError, StreamClosedError, DeadlineExceededError):
                await sleep(backoff)
                backoff = min(MAX_RECONNECT_BACKOFF, 2 * backoff)
            finally:
                if stream is not None:
                    stream.close()

    def _is_stopped(self, peer: PeerQueue) -> bool:
        return self._is_closing or peer.is_closed

    async def _send_queued(self, peer: PeerQueue, stream: IOStream) -> None:
        await peer.has_messages.wait()
        while peer.queue:
            queued_at, data = peer.queue.popleft()
            # A message that waited for a whole lease is obsolete.
            if self.now() - queued_at < self._settings.lease:
                await stream.write(data)
        peer.has_messages.clear()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Handle the messages of one connection until it ends or one of them is rejected."""
        connection = object()
        try:
            while True:
                await self._handle_next(stream, connection)
        except message_codec.MessageRejectedError as error:
            # The connection ends here, so that a sender from outside the fleet causes at most one
            # log event per connection.
            self._service.log_event("controller_rejected", peer=address[0], why=str(error))
        except (StreamClosedError, DeadlineExceededError, OSError):
            pass
        finally:
            stream.close()

    async def _handle_next(self, stream: IOStream, connection: object) -> None:
        data = await read_message(stream)
        received = message_codec.unpack(
            self._key, data, lambda name: name in self._peers or name == OPERATOR_SOURCE
        )
        if received.version > self._newest_version:
            raise message_codec.MessageRejectedError(
                f"version {received.version}; this controller supports up to {self._newest_version}"
            )
        message = message_codec.from_wire(received.kind, received.fields)
        if received.source == OPERATOR_SOURCE:
            answer = messages.Answer(await self._answer(received.kind, message))
            kind, fields = message_codec.to_wire(answer)
            await stream.write(
                message_codec.pack(
                    self._key, self._settings.member_id, kind, received.version, **fields
                )
            )
            return
        self._peers[received.source].version_tracker.on_message(connection, received.version)
        self._on_peer_message(received.source, message)

    def _on_peer_message(self, member: str, message: messages.Message) -> None:
        if isinstance(message, messages.ElectionMessage):
            self.election.on_message(member, message)
        elif isinstance(message, messages.RejectionNotice):
            self.rejections.on_notice([Rejection(*entry) for entry in message.rejections])
        elif isinstance(message, messages.ReplicationMessage):
            self._service.on_replication_message(member, message.kind, message.fields)

    async def _answer(self, kind: str, message: messages.Message) -> Any:
        match message:
            case messages.StatusQuery():
                return await self._status()
            case messages.ConnectedRelaysQuery(after):
                return await self._connected_relays(after)
            case messages.ChangeMembers(members):
                return {"why_not": self._change_members(members)}
            case messages.ForceMembers(members):
                return {"why_not": self.election.force_members(members)}
            case messages.TransferLeadership(relay_group):
                is_known = relay_group in self.election.relay_groups
                transferred = is_known and self.election.transfer_leadership(relay_group)
                return {"handed_over": transferred}
            case messages.VersionRequest(request):
                return await self._service.on_operator_request(request)
        raise message_codec.MessageRejectedError(f"{kind!r} is not an operator's request")

    async def _status(self) -> dict[str, Any]:
        relays = await self._service.connected_relays()
        status = self.election.status()
        for group, lease in status.leases.items():
            lease.followers = sum(relay[2] == group for relay in relays)
        for name, member in status.members.items():
            is_self = name == self._settings.member_id
            member.message_version = (
                self._newest_version if is_self else self._peers[name].version_tracker.version
            )
        return message_codec.status_document(status)

    async def _connected_relays(self, after: str) -> dict[str, Any]:
        found = sorted(
            relay for relay in await self._service.connected_relays() if relay[0] > after
        )
        return {
            "relays": found[:MAX_RELAYS_PER_ANSWER],
            "more": len(found) > MAX_RELAYS_PER_ANSWER,
        }

    def _change_members(self, members: Members) -> str | None:
        if any(
            peer.version_tracker.version < 2
            for name, peer in self._peers.items()
            if name in self.election.members
        ):
            return "a member uses version 1, which has no membership changes"
        return self.election.change_members(members)
