"""The sockets between controllers, on Tornado's streams: each connects to each, and listens.

A connection carries messages one way; only operators are answered on their own.
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
from .operator_server import BUFFER_BYTES, OPERATOR, read_message
from .rejections import Rejection, RejectionRegistry
from .state import ElectionSettings, LeaseRecord, Members

MAX_QUEUED_MESSAGES = 64  # for one member; the oldest goes first, for each is asked again
MAX_FOLLOWERS_PER_ANSWER = 200
CONNECT_TIMEOUT = 1  # seconds, to another controller
MIN_RECONNECT_BACKOFF = 0.05  # seconds
MAX_RECONNECT_BACKOFF = 1.0  # seconds


class ConnectedRelay(NamedTuple):
    """A relay that this controller speaks to."""

    relay: str
    frontend: str
    relay_group: str


class MemberService(Protocol):
    """What a member needs of the planner beside it."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""

    def planner_idle_time(self) -> int:
        """Return for how long the planner was not seen at work, in microseconds."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Lead a relay group from now on."""

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Lead a relay group no longer."""

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Take a message of the replication of versions."""

    def connected_relays(self) -> Awaitable[list[ConnectedRelay]]:
        """Return the relays that are spoken to from here."""

    def on_operator_request(self, request: Any) -> Awaitable[Any]:
        """Answer a request to the versions of tables."""


class PeerQueue:
    """What waits to be sent to one other member, and the version that it speaks."""

    def __init__(self, address: Address, newest_version: int) -> None:
        self.address = address
        self.queue: deque[tuple[int, bytes]] = deque(maxlen=MAX_QUEUED_MESSAGES)  # and since when
        self.has_messages = Event()
        self.spoken = message_codec.SpokenVersion(newest_version)
        self.is_closed = False


class ControllerTransport(TCPServer):
    """A member's surroundings on sockets: the host of its election and of its rejections.

    `newest_version` is the version of messages not to go beyond. Listens on the address that the
    settings give this member.

    Raises
    ------
    OSError
        If the address is in use, or none of this machine.
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
        """End by plan: what is led is given up first."""
        self.election.transfer_all()
        self._is_closing = True
        self.stop()

    def _update_peers(self, members: Members) -> None:
        """Let speak here whom the settings name, and who was added since.

        Who was removed and is not named by the settings is heard no more.
        """
        places = {**members, **self._settings.members}
        for name in [name for name in self._peers if name not in places]:
            self._peers.pop(name).is_closed = True
        for name, place in places.items():
            if name != self._settings.member_id and name not in self._peers:
                peer = PeerQueue(parse_address(place), self._newest_version)
                self._peers[name] = peer
                IOLoop.current().add_callback(self._send_queue, peer)

    # What the election may ask.

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return self._service.now()

    def planner_idle_time(self) -> int:
        """Return for how long the planner was not seen at work, in microseconds."""
        return self._service.planner_idle_time()

    def start_timer(self, delay: int, callback: Callable[[], None] | None = None) -> None:
        """Call back, or wake the election, after `delay` microseconds."""
        IOLoop.current().call_later(delay / SECOND, callback or self._on_election_timer)

    def _on_election_timer(self) -> None:
        if not self._is_closing:
            self.election.on_timer()

    def send(self, member: str, message: messages.PeerMessage) -> None:
        """Queue a message for another member, unless that can't understand it."""
        peer = self._peers.get(member)
        if peer is None:
            return
        kind, fields = message_codec.to_wire(message)
        version = peer.spoken.version
        if message_codec.can_say(kind, version, fields):
            data = message_codec.pack(self._key, self._settings.member_id, kind, version, **fields)
            peer.queue.append((self.now(), data))
            peer.has_messages.set()

    def save_record(self, record: LeaseRecord) -> bool:
        """Write the record of leases; False if that failed."""
        return self._lease_store.save(record)

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Pass on that this member leads."""
        self._service.on_leadership_acquired(relay_group, epoch)

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Pass on that this member leads no longer."""
        self._service.on_leadership_lost(relay_group, epoch, reason)

    def on_members_changed(self, number: int, members: Members) -> None:
        """Connect to the members there are now."""
        self._update_peers(members)

    def log(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""
        self._service.log_event(event, **facts)

    # What the registry of rejections may ask.

    def save_rejections(self, rejections: list[Rejection]) -> bool:
        """Write what relays rejected; False if that failed."""
        return self._rejection_store.save(rejections)

    def broadcast_rejections(self, rejections: list[Rejection]) -> None:
        """Tell all other controllers what relays rejected."""
        notice = messages.RejectionNotice([list(rejection) for rejection in rejections])
        for name in self._peers:
            self.send(name, notice)

    # The sockets.

    async def _send_queue(self, peer: PeerQueue) -> None:
        """Send what is queued for a member, over one connection after the other."""
        backoff = MIN_RECONNECT_BACKOFF
        while not self._is_over(peer):
            stream = None
            try:
                stream = await TCPClient().connect(*peer.address, timeout=CONNECT_TIMEOUT)
                stream.set_nodelay(True)
                backoff = MIN_RECONNECT_BACKOFF
                while not self._is_over(peer):
                    await self._send_queued(peer, stream)
            except (OSError, StreamClosedError, DeadlineExceededError):
                await sleep(backoff)
                backoff = min(MAX_RECONNECT_BACKOFF, 2 * backoff)
            finally:
                if stream is not None:
                    stream.close()

    def _is_over(self, peer: PeerQueue) -> bool:
        return self._is_closing or peer.is_closed

    async def _send_queued(self, peer: PeerQueue, stream: IOStream) -> None:
        await peer.has_messages.wait()
        while peer.queue:
            queued_at, data = peer.queue.popleft()
            # One that has waited for a lease answers nothing any more.
            if self.now() - queued_at < self._settings.lease:
                await stream.write(data)
        peer.has_messages.clear()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Take messages from one connection until it ends or one is rejected."""
        connection = object()
        try:
            while True:
                await self._handle_next(stream, connection)
        except message_codec.MessageRejectedError as error:
            # One line for each connection, which ends: who is not of this fleet can't fill the log
            # through one.
            self._service.log_event("controller_rejected", peer=address[0], why=str(error))
        except (StreamClosedError, DeadlineExceededError, OSError):
            pass
        finally:
            stream.close()

    async def _handle_next(self, stream: IOStream, connection: object) -> None:
        data = await read_message(stream)
        received = message_codec.unpack(
            self._key, data, lambda name: name in self._peers or name == OPERATOR
        )
        if received.version > self._newest_version:
            raise message_codec.MessageRejectedError(
                f"version {received.version}, {self._newest_version} is the newest spoken here"
            )
        message = message_codec.from_wire(received.kind, received.fields)
        if received.source == OPERATOR:
            answer = messages.Answer(await self._answer(received.kind, message))
            kind, fields = message_codec.to_wire(answer)
            await stream.write(
                message_codec.pack(
                    self._key, self._settings.member_id, kind, received.version, **fields
                )
            )
            return
        self._peers[received.source].spoken.on_message(connection, received.version)
        self._on_peer_message(received.source, message)

    def _on_peer_message(self, member: str, message: messages.Message) -> None:
        if isinstance(message, messages.ElectionMessage):
            self.election.on_message(member, message)
        elif isinstance(message, messages.RejectionNotice):
            self.rejections.on_notice([Rejection(*entry) for entry in message.rejections])
        elif isinstance(message, messages.ReplicationMessage):
            self._service.on_replication_message(member, message.kind, message.fields)

    # Operators' requests.

    async def _answer(self, kind: str, message: messages.Message) -> Any:
        match message:
            case messages.StatusQuery():
                return await self._status()
            case messages.ConnectedRelaysQuery(after):
                return await self._followers(after)
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
        raise message_codec.MessageRejectedError(f"an operator can't say {kind!r}")

    async def _status(self) -> dict[str, Any]:
        followers = await self._service.connected_relays()
        status = self.election.status()
        for group, lease in status.leases.items():
            lease.followers = sum(follower[2] == group for follower in followers)
        for name, member in status.members.items():
            is_self = name == self._settings.member_id
            member.message_version = (
                self._newest_version if is_self else self._peers[name].spoken.version
            )
        return message_codec.status_document(status)

    async def _followers(self, after: str) -> dict[str, Any]:
        found = sorted(
            follower for follower in await self._service.connected_relays() if follower[0] > after
        )
        return {
            "relays": found[:MAX_FOLLOWERS_PER_ANSWER],
            "more": len(found) > MAX_FOLLOWERS_PER_ANSWER,
        }

    def _change_members(self, members: Members) -> str | None:
        if any(
            peer.spoken.version < 2
            for name, peer in self._peers.items()
            if name in self.election.members
        ):
            return "a member speaks version 1, which knows no changes of members"
        return self.election.change_members(members)
