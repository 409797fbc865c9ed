"""The connections to the relay, against a scripted one on loopback."""

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
    """Return a client that is not started."""
    return relay_client.RelayClient(
        outbox, ProxyMembership(host, now), host, CODEC, now, log, SeededRandom(1)
    )


def completeness_flags(client):
    """Return of each subscription whether it has reported all that stood at its beginning."""
    return [client.membership.is_complete(found) for found in client.subscriptions]


class RelayClientFaultsTest(AsyncTestCase):
    """Responses, events and handlers that fail."""

    def setUp(self):
        """Make a log."""
        super().setUp()
        self.relay = ScriptedRelay()
        self.log = EventRecorder()
        self.outbox = Outbox(now, self.log)

    def start_client(self, host):
        """Return a client that follows a scripted relay."""
        client = make_client(self.outbox, host, self.log)
        client.start(self.relay.listen_on_free_port())
        return client

    @gen_test(timeout=30)
    async def test_lost_and_wrong_responses_lose_no_order(self):
        """The relay holds the newest orders whatever becomes of responses."""
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
    async def test_events_go_on_while_a_subscription_breaks_and_the_relay_moves(self):
        """No proxy joins anew by a break or a move."""
        host = RecordingHost()
        client = self.start_client(host)
        await until(lambda: len(self.relay.subscriptions) == 2 and len(host.membership_events) == 4)
        self.relay.subscriptions[0].close()
        await until(lambda: len(self.relay.subscriptions) == 3)
        elsewhere = ScriptedRelay()
        client.set_address(elsewhere.listen_on_free_port())
        await until(lambda: len(elsewhere.subscriptions) == 2)
        await asyncio.sleep(0.1)
        for stream in self.relay.connections:
            stream.close()
        elsewhere.state.joined.discard(2)
        for stream in elsewhere.subscriptions:
            await ScriptedRelay.send_event(stream, "bye", {"proxy": 2})
        await until(lambda: ("left", 2) in host.membership_events)
        self.assertEqual(
            host.membership_events,
            [("joined", 0), ("joined", 1), ("joined", 2), ("joined", 3), ("left", 2)],
        )

    @gen_test(timeout=30)
    async def test_wrong_acks_are_ignored_alone(self):
        """The ack behind them counts."""
        host = RecordingHost()
        self.start_client(host)
        await until(lambda: len(self.relay.subscriptions) == 2)
        for params in ({}, dict(ACK, mark="x"), dict(ACK, took_ms=-1), dict(ACK, proxy=999), ACK):
            await ScriptedRelay.send_event(self.relay.subscriptions[0], "ack", params)
        await until(lambda: host.acks)
        self.assertEqual(host.acks, [(17, 905, 310_400)])

    @gen_test(timeout=30)
    async def test_a_fault_restarts_the_loop(self):
        """An exception in a handler is logged, and the subscription begins again."""
        host = RecordingHost()

        def fail_at_second(joined):
            host.membership_events.append(joined.proxy)
            if len(host.membership_events) == 2:
                raise KeyError("what any fault looks like")

        host.on_proxy_joined = fail_at_second
        client = self.start_client(host)
        await until(lambda: {0, 1, 2, 3} <= set(host.membership_events))
        await until(lambda: len(client.membership.views) == 2)
        self.assertIn("loop_restarted", "".join(self.log.lines))


class RelayClientEndingsTest(AsyncTestCase):
    """Connections that end, break and move, with the crossing forced (docs/edge.md)."""

    def setUp(self):
        """Make a log."""
        super().setUp()
        self.log = EventRecorder()

    def start_client(self, script):
        """Return a client that follows a scripted relay."""
        self.outbox = Outbox(now, self.log)
        host = RecordingHost()
        client = make_client(self.outbox, host, self.log)
        client.start(script.listen_on_free_port())
        return client, host

    def send_heartbeats(self, *scripts):
        """Send heartbeats to every subscription, or silence would end them."""

        def send():
            for stream in [
                stream
                for script in scripts
                for stream in script.subscriptions
                if not stream.closed()
            ]:
                IOLoop.current().add_callback(ScriptedRelay.send_event, stream, "ping", {})

        heartbeats = PeriodicCallback(send, 200)
        heartbeats.start()
        self.addCleanup(heartbeats.stop)

    async def settled(self):
        """Wait until no order waits and no call is in flight."""
        await until(lambda: self.outbox.is_idle)

    @gen_test(timeout=30)
    async def test_a_line_that_arrives_with_the_deadline_counts(self):
        """After a stall both are found at once, and the line wins."""
        accepting, port = bind_unused_port()
        stream = await connecting.connect(("127.0.0.1", port), SECOND)
        other, _ = accepting.accept()
        waiting = asyncio.ensure_future(connecting.read_line(stream, 20_000))
        await asyncio.sleep(0)
        other.sendall(b"answer\n")
        end = time.monotonic() + 0.1
        while time.monotonic() < end:
            pass  # a stall of this program: the answer and the time-out are found at once
        self.assertEqual(await waiting, b"answer\n")
        other.close()
        accepting.close()

    @gen_test(timeout=30)
    async def test_a_call_that_is_lost_again_and_again_backs_off(self):
        """Each loss doubles the wait, a success resets it."""
        script = ScriptedRelay([RelayBehavior.CLOSED] * 4)
        client, _ = self.start_client(script)
        self.outbox.add([SetWeight(0, "s-1", 1.0)])
        client.notify_orders_pending()
        await until(lambda: len(script.calls) == 4)
        self.assertGreaterEqual(client.call_sender.backoff.delay, 8 * connecting.MIN_BACKOFF)
        await self.settled()
        self.assertEqual(client.call_sender.backoff.delay, connecting.MIN_BACKOFF)

    @gen_test(timeout=60)
    async def test_a_call_cut_at_any_byte_is_sent_again_and_stands_once(self):
        """Six places from the first byte to the last."""
        script = ScriptedRelay()
        client, _ = self.start_client(script)
        cut = []
        line_bytes = len(commit_call(1, [SetWeight(0, "s-1", 10.0)]))

        async def cut_connection(stream, address):
            if not cut:
                return await ScriptedRelay.handle_stream(script, stream, address)
            with contextlib.suppress(StreamClosedError):
                await stream.read_bytes(cut.pop())
            stream.close()

        script.handle_stream = cut_connection
        await until(lambda: len(script.subscriptions) == 2)
        for number, length in enumerate(
            [1, 2, line_bytes // 3, line_bytes // 2, line_bytes - 2, line_bytes - 1]
        ):
            client.call_sender.last_used = 0  # as after a rest: the next call connects
            cut.append(length)
            self.outbox.add([SetWeight(0, "s-1", 10.0 + number)])
            client.notify_orders_pending()
            await self.settled()
            self.assertEqual(script.state.tables, {0: {"s-1": 10.0 + number}})
        self.assertEqual(self.outbox.unknown_outcome_calls, 6)

    @gen_test(timeout=30)
    async def test_a_move_during_a_call_neither_loses_nor_repeats_it(self):
        """The response is awaited at the old address, the next call goes to the new."""
        first = DelayingRelay()
        second = ScriptedRelay()
        released = Event()
        first.release = released
        client, _ = self.start_client(first)
        address = second.listen_on_free_port()
        self.outbox.add([SetWeight(0, "s-1", 1.0)])
        client.notify_orders_pending()
        await until(lambda: first.calls)
        client.set_address(address)
        self.outbox.add([SetWeight(0, "s-2", 2.0)])
        client.notify_orders_pending()
        await until(lambda: second.subscriptions)
        released.set()
        await self.settled()
        self.assertEqual([len(first.calls), len(second.calls)], [1, 1])
        self.assertEqual([order["server"] for order in second.calls[0]["params"]["ops"]], ["s-2"])

    @gen_test(timeout=30)
    async def test_a_connection_closed_as_a_call_is_written_loses_nothing(self):
        """An idle connection may close under the next call."""
        script = ScriptedRelay()
        client, _ = self.start_client(script)
        await until(lambda: len(script.subscriptions) == 2)
        for number in range(5):
            client.call_sender.last_used = now()
            self.outbox.add([SetWeight(0, "s-1", 1.0 + number)])
            client.notify_orders_pending()
            await self.settled()
            for stream in script.connections:
                if stream not in script.subscriptions:
                    stream.close()  # idle, says the relay; the next call may already be on its way
        self.assertEqual(script.state.tables, {0: {"s-1": 5.0}})

    @gen_test(timeout=60)
    async def test_moves_to_and_fro_leave_no_connection_behind(self):
        """Former subscriptions end once a new one is complete."""
        first = ScriptedRelay()
        second = ScriptedRelay()
        client, host = self.start_client(first)
        self.send_heartbeats(first, second)
        address = client.call_sender.address
        other_address = second.listen_on_free_port()
        for turn in range(6):
            await until(lambda: any(completeness_flags(client)))
            client.set_address(other_address if turn % 2 == 0 else address)
        await until(lambda: all(completeness_flags(client)))
        for script, most in ((first, 2), (second, 0)):
            await until(
                lambda script=script, most=most: (
                    len([stream for stream in script.subscriptions if not stream.closed()]) == most
                )
            )
        self.assertEqual(len(client.membership.views), 2)
        self.assertEqual(host.membership_events, [("joined", proxy) for proxy in range(4)])

    @gen_test(timeout=60)
    async def test_a_subscription_that_connects_after_its_successors_is_ended(self):
        """It was still connecting when it was ended."""
        first = ScriptedRelay()
        second = ScriptedRelay()
        released = Event()
        held = []
        client, host = self.start_client(first)
        await until(lambda: len(first.subscriptions) == 2)
        connect = relay_client.connect
        address = client.call_sender.address

        async def connect_late(where, timeout):
            stream = await connect(where, timeout)
            if where == address:
                held.append(stream)
                await released.wait()
            return stream

        self.send_heartbeats(first, second)
        with unittest.mock.patch.object(relay_client, "connect", connect_late):
            first.subscriptions[0].close()
            await until(lambda: held)
            client.set_address(second.listen_on_free_port())
            await until(lambda: all(completeness_flags(client)))
            await until(lambda: not client.former_subscriptions)
            released.set()
            await until(lambda: held[0].closed())
        self.assertEqual(len(held), 1)
        self.assertEqual(len(first.subscriptions), 2)  # it subscribed no more
        self.assertEqual(len(client.membership.views), 2)
