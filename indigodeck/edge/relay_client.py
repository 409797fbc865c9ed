"""The connections to the relay: one for calls, and two for events in case one of them breaks.

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
from .connecting import (
    CONNECT_TIMEOUT,
    CONNECTION_ERRORS,
    Backoff,
    connect,
    keep_running,
    read_line,
    with_deadline,
)
from .event_log import EventLog
from .membership import ProxyMembership
from .messages import Address
from .outbox import Outbox
from .relay_protocol import Event, EventKind, read_event, subscribe_call

RESPONSE_TIMEOUT = SECOND // 10  # the relay answers within half of this or never
# The relay closes idle connections; a call sent at that moment is lost.
MAX_IDLE_TIME = SECOND
EVENT_TIMEOUT = 3 * SECOND  # heartbeats arrive every second
SUBSCRIPTION_COUNT = 2


class CallSender:
    """Sends the orders in the outbox, one call at a time; `address` may change at any time."""

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
        """Wake the sending loop: the outbox has orders."""
        self.idle.clear()
        self._orders_pending.set()

    async def run(self) -> None:
        """Send calls forever."""
        self._outbox.on_call_lost()  # if this loop was restarted, a call may still be in flight
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
            # Composed only now, so that it includes orders that were added while connecting.
            await with_deadline(RESPONSE_TIMEOUT, stream.write(self._outbox.next_call()))
            self._outbox.on_response(await read_line(stream, RESPONSE_TIMEOUT))
            self.backoff.reset()
            self.last_used = self._now()
        except (*CONNECTION_ERRORS, MalformedMessageError) as error:
            self._outbox.on_call_lost()
            stream.close()
            self._log("call_response_lost", address=self._connected_address, error=repr(error))
            # Without this delay, a call that keeps failing would be sent again in a busy loop.
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
    """A connection for events at one address, which reconnects until it is retired.

    `on_heartbeat` is called after each heartbeat. A retired subscription ends when the relay
    closes it; `shut_down` closes it at once.
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
        """Handle the relay's events; reconnect until retired."""
        while not self.retired:
            try:
                self._stream = await connect(self._address, CONNECT_TIMEOUT)
                if (
                    self._is_shut_down
                ):  # by `shut_down` during the connect, when there was no stream to close
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
        """Retire and close the connection: newer subscriptions report the same events."""
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
    """All connections to the relay, whose address may change."""

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
        """Start to send calls and to receive events at `address`."""
        IOLoop.current().add_callback(keep_running, self.call_sender.run, self._log)
        self.set_address(address)

    def set_address(self, address: Address) -> None:
        """Use another address for the next calls and for new subscriptions.

        Subscriptions at the former address stay open until the relay closes them or a new one is
        complete, so that no event is missed in between.
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
        """Start to send the orders in the outbox."""
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
        """Shut down the subscriptions at former addresses once a new one is complete.

        The relay may leave a former one open, for example if the address changes and then changes
        back. It would stay open forever, and the relay limits the subscriptions of a planner.
        """
        if any(self.membership.is_complete(subscription) for subscription in self.subscriptions):
            for subscription in self.former_subscriptions:
                subscription.shut_down()
            self.former_subscriptions = []
