"""Tests of the connections to the relay, against a scripted relay on loopback."""

import asyncio
import contextlib
import time
import unittest.mock

from harness import SECOND
from support import until
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.iostream import StreamClosedError
from tornado.locks import Event
from tornado.testing import AsyncTestCase, bind_unused_port, gen_test

from edge.stand_ins import (
    ACK,
    CODEC,
    DelayingRelay,
    EventRecorder,
    RecordingHost,
    RelayBehavior,
    ScriptedRelay,
)
from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.clock import now
from indigodeck.edge import connecting, relay_client
from indigodeck.edge.membership import ProxyMembership
from indigodeck.edge.messages import SetWeight
from indigodeck.edge.outbox import Outbox
from indigodeck.edge.relay_protocol import commit_call


def make_client(outbox, host, log):
    """Return a client without starting it."""
    return relay_client.RelayClient(
        outbox, ProxyMembership(host, now), host, CODEC, now, log, SeededRandom(1)
    )


def completeness_flags(client):
    """Return for each subscription whether it has reported all proxies joined at its start."""
    return [client.membership.is_complete(subscription) for subscription in client.subscriptions]


class RelayClientFaultsTest(AsyncTestCase):
    """Faults in responses, events and handlers."""

    def setUp(self):
        """Create a relay, a log and an outbox."""
        super().setUp()
        self.relay = ScriptedRelay()
        self.log = EventRecorder()
        self.outbox = Outbox(now, self.log)

    def start_client(self, host):
        """Start and return a client of the scripted relay."""
        client = make_client(self.outbox, host, self.log)
        client.start(self.relay.listen_on_free_port())
        return client

    @gen_test(timeout=30)
    async def test_lost_and_malformed_responses_lose_no_order(self):
        """Lost and malformed responses do not change which orders the relay ends with."""
        self.relay.behaviors = [
            RelayBehavior.APPLIED_THEN_CLOSED,
            RelayBehavior.ACCEPTED,
            RelayBehavior.CLOSED,
            RelayBehavior.ACCEPTED,
            RelayBehavior.NO_RESPONSE,
            RelayBehavior.ACCEPTED,
            RelayBehavior.MALFORMED_RESPONSE,
            RelayBehavior.ACCEPTED,
        ]
        client = self.start_client(RecordingHost())
        for number in range(4):
            self.outbox.add([SetWeight(number, "s-1", 1.0), SetWeight(0, "s-2", float(number))])
            client.notify_orders_pending()
            await until(lambda: self.outbox.is_idle)
        self.assertEqual(
            self.relay.state.tables,
            {0: {"s-1": 1.0, "s-2": 3.0}, 1: {"s-1": 1.0}, 2: {"s-1": 1.0}, 3: {"s-1": 1.0}},
        )
        self.assertEqual(self.outbox.unknown_outcome_calls, 4)

    @gen_test(timeout=30)
    async def test_events_continue_through_a_broken_subscription_and_an_address_change(self):
        """Neither counts as a new join of a proxy."""
        host = RecordingHost()
        client = self.start_client(host)
        await until(lambda: len(self.relay.subscriptions) == 2 and len(host.membership_events) == 4)
        self.relay.subscriptions[0].close()
        await until(lambda: len(self.relay.subscriptions) == 3)
        new_relay = ScriptedRelay()
        client.set_address(new_relay.listen_on_free_port())
        await until(lambda: len(new_relay.subscriptions) == 2)
        await asyncio.sleep(0.1)
        for stream in self.relay.connections:
            stream.close()
        new_relay.state.joined.discard(2)
        for stream in new_relay.subscriptions:
            await ScriptedRelay.send_event(stream, "bye", {"proxy": 2})
        await until(lambda: ("left", 2) in host.membership_events)
        self.assertEqual(
            host.membership_events,
            [("joined", 0), ("joined", 1), ("joined", 2), ("joined", 3), ("left", 2)],
        )

    @gen_test(timeout=30)
    async def test_only_invalid_acks_are_ignored(self):
        """The valid ack after them is handled."""
        host = RecordingHost()
        self.start_client(host)
        await until(lambda: len(self.relay.subscriptions) == 2)
        for params in ({}, dict(ACK, mark="x"), dict(ACK, took_ms=-1), dict(ACK, proxy=999), ACK):
            await ScriptedRelay.send_event(self.relay.subscriptions[0], "ack", params)
        await until(lambda: host.acks)
        self.assertEqual(host.acks, [(17, 905, 310_400)])

    @gen_test(timeout=30)
    async def test_an_exception_restarts_the_subscription(self):
        """An exception in a handler is logged, and the subscription is opened again."""
        host = RecordingHost()

        def fail_at_second(joined):
            host.membership_events.append(joined.proxy)
            if len(host.membership_events) == 2:
                raise KeyError("a fault in a handler")

        host.on_proxy_joined = fail_at_second
        client = self.start_client(host)
        await until(lambda: {0, 1, 2, 3} <= set(host.membership_events))
        await until(lambda: len(client.membership.views) == 2)
        self.assertIn("loop_restarted", "".join(self.log.lines))


class RelayClientEndingsTest(AsyncTestCase):
    """Connections that close, break and change address, in a forced order (docs/edge.md)."""

    def setUp(self):
        """Create a log."""
        super().setUp()
        self.log = EventRecorder()

    def start_client(self, relay):
        """Start a client of a scripted relay; return it and its recording host."""
        self.outbox = Outbox(now, self.log)
        host = RecordingHost()
        client = make_client(self.outbox, host, self.log)
        client.start(relay.listen_on_free_port())
        return client, host

    def send_heartbeats(self, *relays):
        """Send heartbeats to all subscriptions, so that they do not time out."""

        def send():
            for stream in [
                stream for relay in relays for stream in relay.subscriptions if not stream.closed()
            ]:
                IOLoop.current().add_callback(ScriptedRelay.send_event, stream, "ping", {})

        heartbeats = PeriodicCallback(send, 200)
        heartbeats.start()
        self.addCleanup(heartbeats.stop)

    async def wait_until_idle(self):
        """Wait until no order is pending and no call is in flight."""
        await until(lambda: self.outbox.is_idle)

    @gen_test(timeout=30)
    async def test_a_line_that_arrives_with_the_deadline_counts(self):
        """If a stall makes a line and its time-out noticed at the same time, the line is read."""
        accepting, port = bind_unused_port()
        stream = await connecting.connect(("127.0.0.1", port), SECOND)
        other, _ = accepting.accept()
        waiting = asyncio.ensure_future(connecting.read_line(stream, 20_000))
        await asyncio.sleep(0)
        other.sendall(b"answer\n")
        end = time.monotonic() + 0.1
        while time.monotonic() < end:
            pass  # stalls the loop, so that it finds the line and the time-out at the same time
        self.assertEqual(await waiting, b"answer\n")
        other.close()
        accepting.close()

    @gen_test(timeout=30)
    async def test_a_call_that_is_lost_repeatedly_backs_off(self):
        """Each loss doubles the delay, and a success resets it."""
        relay = ScriptedRelay([RelayBehavior.CLOSED] * 4)
        client, _ = self.start_client(relay)
        self.outbox.add([SetWeight(0, "s-1", 1.0)])
        client.notify_orders_pending()
        await until(lambda: len(relay.calls) == 4)
        self.assertGreaterEqual(client.call_sender.backoff.delay, 8 * connecting.MIN_BACKOFF)
        await self.wait_until_idle()
        self.assertEqual(client.call_sender.backoff.delay, connecting.MIN_BACKOFF)

    @gen_test(timeout=60)
    async def test_a_call_cut_at_any_byte_is_sent_again_and_applied_once(self):
        """The connection is closed at six positions, from after one byte to before the newline."""
        relay = ScriptedRelay()
        client, _ = self.start_client(relay)
        cut_lengths = []
        line_bytes = len(commit_call(1, [SetWeight(0, "s-1", 10.0)]))

        async def cut_connection(stream, address):
            if not cut_lengths:
                return await ScriptedRelay.handle_stream(relay, stream, address)
            with contextlib.suppress(StreamClosedError):
                await stream.read_bytes(cut_lengths.pop())
            stream.close()

        relay.handle_stream = cut_connection
        await until(lambda: len(relay.subscriptions) == 2)
        for number, length in enumerate(
            [1, 2, line_bytes // 3, line_bytes // 2, line_bytes - 2, line_bytes - 1]
        ):
            client.call_sender.last_used = (
                0  # as if idle for long, so that the next call reconnects
            )
            cut_lengths.append(length)
            self.outbox.add([SetWeight(0, "s-1", 10.0 + number)])
            client.notify_orders_pending()
            await self.wait_until_idle()
            self.assertEqual(relay.state.tables, {0: {"s-1": 10.0 + number}})
        self.assertEqual(self.outbox.unknown_outcome_calls, 6)

    @gen_test(timeout=30)
    async def test_an_address_change_during_a_call_neither_loses_nor_repeats_it(self):
        """The response still comes from the old address; the next call goes to the new one."""
        former_relay = DelayingRelay()
        new_relay = ScriptedRelay()
        released = Event()
        former_relay.release = released
        client, _ = self.start_client(former_relay)
        address = new_relay.listen_on_free_port()
        self.outbox.add([SetWeight(0, "s-1", 1.0)])
        client.notify_orders_pending()
        await until(lambda: former_relay.calls)
        client.set_address(address)
        self.outbox.add([SetWeight(0, "s-2", 2.0)])
        client.notify_orders_pending()
        await until(lambda: new_relay.subscriptions)
        released.set()
        await self.wait_until_idle()
        self.assertEqual([len(former_relay.calls), len(new_relay.calls)], [1, 1])
        self.assertEqual(
            [order["server"] for order in new_relay.calls[0]["params"]["ops"]], ["s-2"]
        )

    @gen_test(timeout=30)
    async def test_a_connection_closed_as_a_call_is_written_loses_nothing(self):
        """The relay may close an idle connection while the next call is being written."""
        relay = ScriptedRelay()
        client, _ = self.start_client(relay)
        await until(lambda: len(relay.subscriptions) == 2)
        for number in range(5):
            client.call_sender.last_used = now()
            self.outbox.add([SetWeight(0, "s-1", 1.0 + number)])
            client.notify_orders_pending()
            await self.wait_until_idle()
            for stream in relay.connections:
                if stream not in relay.subscriptions:
                    stream.close()  # as the relay does when idle; the next call may be in flight
        self.assertEqual(relay.state.tables, {0: {"s-1": 5.0}})

    @gen_test(timeout=60)
    async def test_address_changes_back_and_forth_leave_no_connection_open(self):
        """Former subscriptions are closed once a new one is complete."""
        first_relay = ScriptedRelay()
        second_relay = ScriptedRelay()
        client, host = self.start_client(first_relay)
        self.send_heartbeats(first_relay, second_relay)
        address = client.call_sender.address
        other_address = second_relay.listen_on_free_port()
        for turn in range(6):
            await until(lambda: any(completeness_flags(client)))
            client.set_address(other_address if turn % 2 == 0 else address)
        await until(lambda: all(completeness_flags(client)))
        for relay, expected_count in ((first_relay, 2), (second_relay, 0)):
            await until(
                lambda relay=relay, expected_count=expected_count: (
                    len([stream for stream in relay.subscriptions if not stream.closed()])
                    == expected_count
                )
            )
        self.assertEqual(len(client.membership.views), 2)
        self.assertEqual(host.membership_events, [("joined", proxy) for proxy in range(4)])

    @gen_test(timeout=60)
    async def test_a_former_subscription_that_connects_late_is_closed(self):
        """The subscription was still connecting when it was shut down."""
        former_relay = ScriptedRelay()
        new_relay = ScriptedRelay()
        released = Event()
        late_streams = []
        client, host = self.start_client(former_relay)
        await until(lambda: len(former_relay.subscriptions) == 2)
        connect = relay_client.connect
        address = client.call_sender.address

        async def connect_late(where, timeout):
            stream = await connect(where, timeout)
            if where == address:
                late_streams.append(stream)
                await released.wait()
            return stream

        self.send_heartbeats(former_relay, new_relay)
        with unittest.mock.patch.object(relay_client, "connect", connect_late):
            former_relay.subscriptions[0].close()
            await until(lambda: late_streams)
            client.set_address(new_relay.listen_on_free_port())
            await until(lambda: all(completeness_flags(client)))
            await until(lambda: not client.former_subscriptions)
            released.set()
            await until(lambda: late_streams[0].closed())
        self.assertEqual(len(late_streams), 1)
        # The late connection did not subscribe.
        self.assertEqual(len(former_relay.subscriptions), 2)
        self.assertEqual(len(client.membership.views), 2)
