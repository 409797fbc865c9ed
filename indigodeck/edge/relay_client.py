"""The connections to the relay: one for calls, two for events, so that one of these may break.

Times are whole microseconds.
"""

from collections.abc import Callable

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream
from tornado.locks import Event as Flag

from ..assignment.seeded_random import SeededRandom
from ..clock import SECOND
from ..errors import MalformedMessageError
from .assigner_host import EdgeAssignerHost
from .codec import MessageCodec
from .connecting import CONNECTION_ERRORS, Backoff, connect, keep_running, read_line, with_deadline
from .event_log import EventLog
from .membership import ProxyMembership
from .messages import Address
from .outbox import Outbox
from .relay_protocol import Event, EventKind, read_event, subscribe_call

CONNECT_TIMEOUT = SECOND // 2
# The relay answers within 50 ms or never; the rest is for this planner's own stalls.
RESPONSE_TIMEOUT = SECOND // 5
# The relay closes idle connections, and what is sent into that moment is lost.
MAX_IDLE_TIME = SECOND
EVENT_TIMEOUT = 3 * SECOND  # heartbeats come every second
SUBSCRIPTION_COUNT = 2


class CallSender:
    """Sends what waits in the outbox, one call at a time; `address` may change at any time."""

    def __init__(
        self, outbox: Outbox, now: Callable[[], int], log: EventLog, random: SeededRandom
    ) -> None:
        self._outbox = outbox
        self._now = now
        self._log = log
        self._stream: IOStream | None = None
        self._connected_address: Address | None = None
        self._orders_pending = Flag()
        self.address: Address | None = None
        self.backoff = Backoff(random)
        self.idle = Flag()
        self.last_used = 0

    def notify_orders_pending(self) -> None:
        """Wake the sender: the outbox has orders."""
        self.idle.clear()
        self._orders_pending.set()

    async def run(self) -> None:
        """Send calls for good."""
        self._outbox.on_call_lost()  # after a restart of this loop a call's fate may be unknown
        while True:
            delay = self._outbox.time_until_call()
            if delay is None:
                self._orders_pending.clear()
                self.idle.set()
                await self._orders_pending.wait()
            elif delay:
                await sleep(delay / SECOND)
            else:
                await self._send_call()

    async def _send_call(self) -> None:
        try:
            stream = await self._connected_stream()
        except CONNECTION_ERRORS as error:
            self._log("relay_unreachable", address=self.address, error=repr(error))
            await self.backoff.wait()
            return
        try:
            # Made now, with what stands by now: much may have been ordered during the connecting.
            await with_deadline(RESPONSE_TIMEOUT, stream.write(self._outbox.next_call()))
            self._outbox.on_response(await read_line(stream, RESPONSE_TIMEOUT))
            self.backoff.reset()
            self.last_used = self._now()
        except (*CONNECTION_ERRORS, MalformedMessageError) as error:
            self._outbox.on_call_lost()
            stream.close()
            self._log("call_response_lost", address=self._connected_address, error=repr(error))
            # What can't pass now would be written again as fast as this program can.
            await self.backoff.wait()

    async def _connected_stream(self) -> IOStream:
        is_stale = (
            self._connected_address != self.address or self._now() - self.last_used > MAX_IDLE_TIME
        )
        if self._stream is not None and (is_stale or self._stream.closed()):
            self._stream.close()
            self._stream = None
        if self._stream is None:
            address = self.address
            assert address is not None  # `RelayClient.start` sets it before `run`
            self._stream = await connect(address, CONNECT_TIMEOUT)
            self._connected_address = address
        return self._stream


class Subscription:
    """One connection for events at one address, connected again until it is retired.

    `on_heartbeat` is called after each heartbeat. A retired subscription ends when the relay
    closes it; one that is ended closes at once.
    """

    def __init__(
        self,
        address: Address,
        membership: ProxyMembership,
        host: EdgeAssignerHost,
        codec: MessageCodec,
        on_heartbeat: Callable[[], None],
        log: EventLog,
        random: SeededRandom,
    ) -> None:
        self._address = address
        self._membership = membership
        self._host = host
        self._codec = codec
        self._on_heartbeat = on_heartbeat
        self._log = log
        self._backoff = Backoff(random)
        self._stream: IOStream | None = None
        self._is_shut_down = False
        self.retired = False

    async def run(self) -> None:
        """Follow the relay's events until retired."""
        while not self.retired:
            try:
                self._stream = await connect(self._address, CONNECT_TIMEOUT)
                if self._is_shut_down:  # while it was connecting: there was no stream to close then
                    return
                await with_deadline(CONNECT_TIMEOUT, self._stream.write(subscribe_call()))
                await self._read_events(self._stream)
            except (*CONNECTION_ERRORS, MalformedMessageError) as error:
                self._log("subscription_lost", address=self._address, error=repr(error))
            finally:
                self._close()
                self._membership.on_disconnected(self)
            if not self.retired:
                await self._backoff.wait()

    def shut_down(self) -> None:
        """Close the connection: its successors report all that it would."""
        self.retired = True
        self._is_shut_down = True
        self._close()

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()

    async def _read_events(self, stream: IOStream) -> None:
        connected = False
        while True:
            event = read_event(await read_line(stream, EVENT_TIMEOUT))
            if not connected:
                connected = True
                self._membership.on_connected(self)
                self._backoff.reset()
            if event is not None:
                self._handle_event(event)

    def _handle_event(self, event: Event) -> None:
        fields = event.fields
        try:
            match event.method:
                case EventKind.HEARTBEAT:
                    self._membership.on_heartbeat(self)
                    self._on_heartbeat()
                case EventKind.PROXY_JOINED:
                    joined = self._codec.read_proxy_joined(fields)
                    self._membership.on_proxy_joined(self, joined)
                case EventKind.PROXY_LEFT:
                    self._membership.on_proxy_left(self, self._codec.read_proxy(fields))
                case EventKind.ACK:
                    self._host.on_ack(self._codec.read_ack(fields))
        except MalformedMessageError as error:
            self._log("event_ignored", method=event.method, error=error)


class RelayClient:
    """All connections to the relay, and their moves to another address."""

    def __init__(
        self,
        outbox: Outbox,
        membership: ProxyMembership,
        host: EdgeAssignerHost,
        codec: MessageCodec,
        now: Callable[[], int],
        log: EventLog,
        random: SeededRandom,
    ) -> None:
        self._host = host
        self._codec = codec
        self._log = log
        self._random = random
        self.membership = membership
        self.call_sender = CallSender(outbox, now, log, random)
        self.subscriptions: list[Subscription] = []
        self.former_subscriptions: list[Subscription] = []

    def start(self, address: Address) -> None:
        """Begin to send calls and to follow events at `address`."""
        IOLoop.current().add_callback(keep_running, self.call_sender.run, self._log)
        self.set_address(address)

    def set_address(self, address: Address) -> None:
        """Go on at another address.

        The old one closes by itself; until then its subscriptions bridge the beginning of the new.
        """
        if address == self.call_sender.address:
            return
        self.call_sender.address = address
        for subscription in self.subscriptions:
            subscription.retired = True
        self.former_subscriptions += self.subscriptions
        self.subscriptions = [self._subscription(address) for _ in range(SUBSCRIPTION_COUNT)]
        for subscription in self.subscriptions:
            IOLoop.current().add_callback(keep_running, subscription.run, self._log)

    def notify_orders_pending(self) -> None:
        """Send what waits in the outbox."""
        self.call_sender.notify_orders_pending()

    def _subscription(self, address: Address) -> Subscription:
        return Subscription(
            address,
            self.membership,
            self._host,
            self._codec,
            self._shut_down_former_subscriptions,
            self._log,
            self._random,
        )

    def _shut_down_former_subscriptions(self) -> None:
        """End what bridged a move, once a new subscription is complete.

        One that the relay leaves open, as after a move to and fro, would stay for good, and the
        relay holds so many of a planner's, no more.
        """
        if any(self.membership.is_complete(subscription) for subscription in self.subscriptions):
            for subscription in self.former_subscriptions:
                subscription.shut_down()
            self.former_subscriptions = []
