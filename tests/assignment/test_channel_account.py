"""Channel accounting: waiting lines, lateness and throughput."""

import unittest

from harness import RecordingHost, deployment_settings, server
from hypothesis import given
from hypothesis import strategies as st

from assignment.scenarios import fleet
from indigodeck.assignment.channel_account import ChannelAccount
from indigodeck.assignment.demand import Locality, Proxy, ProxyRegistry
from indigodeck.assignment.interface import ServerState
from indigodeck.clock import SECOND


class StalledChannelTest(unittest.TestCase):
    """The account of a channel that delivers nothing for ten seconds."""

    def new_account(self):
        """Return the account of a channel with one proxy."""
        settings = deployment_settings(
            lines_per_second=1000, message_overhead_lines=0, max_delivery_delay=SECOND // 2
        )
        self.proxies = ProxyRegistry(settings, 20 * SECOND)
        self.proxies[1] = Proxy(Locality(0, 0), 1.0, {})
        return ChannelAccount(settings, 0, 20 * SECOND)

    def record_order(self, channel, lines, now):
        """Record lines for the proxy, and return the number of the acknowledgement request."""
        channel.call_recipients = set()
        channel.record_orders(self.proxies, {1}, lines, now)
        return channel.new_ack_request(now)

    def test_lines_without_acknowledgement_wait(self):
        """While acknowledgements are overdue, all unacknowledged lines count as waiting."""
        channel = self.new_account()
        requests = [self.record_order(channel, 300, now * SECOND) for now in range(4)]
        # At the configured rate all lines would have been delivered, but no proxy has answered.
        self.assertEqual(channel.queued_lines(4 * SECOND), 1200)
        self.assertEqual(channel.lateness(4 * SECOND), 4 * SECOND - 800_000)
        channel.on_ack(requests[1], 4 * SECOND, 5 * SECOND)
        self.assertEqual(channel.queued_lines(5 * SECOND), 600)
        self.assertLess(channel.throughput_ratio, 0.25)
        channel.on_ack(requests[3], SECOND // 2, 5 * SECOND)
        self.assertEqual(channel.queued_lines(6 * SECOND), 0)
        self.assertEqual((channel.throughput_ratio, channel.lateness(6 * SECOND)), (1.0, 0))

    def test_unanswered_requests_expire(self):
        """Lines without an answer count as queued only until their request expires."""
        channel = self.new_account()
        self.record_order(channel, 300, 0)
        self.assertEqual(channel.queued_lines(10 * SECOND), 300)
        self.assertEqual(channel.queued_lines(21 * SECOND), 0)

    def test_requests_to_proxies_that_have_all_left_are_not_overdue(self):
        """A request is void once none of its recipients can answer it; others stay."""
        channel = self.new_account()
        self.record_order(channel, 300, 0)
        self.proxies[2] = Proxy(Locality(0, 0), 1.0, {})
        channel.record_orders(self.proxies, {2}, 100, 0)
        channel.new_ack_request(0)
        channel.on_proxy_left(1)
        self.assertEqual(channel.queued_lines(2 * SECOND), 400)
        channel.on_proxy_left(2)
        self.assertEqual(channel.queued_lines(2 * SECOND), 0)

    def test_orders_that_only_some_proxies_get_cost_their_share(self):
        """They count as a message to each, but nobody is relied on to acknowledge them."""
        channel = self.new_account()
        for number in range(4):
            self.proxies[number] = Proxy(Locality(0, 0), 1.0, {})
        channel.begin_call()
        channel.record_possible_orders(self.proxies, {0, 1, 2, 3}, 0.25, 0)
        self.assertEqual(channel.lines_waiting, 1)
        self.assertFalse(channel.call_recipients)
        channel.record_possible_orders(self.proxies, {0, 1, 2, 3}, 0.25, 0)
        channel.record_orders(self.proxies, {0}, 3, 0)
        for proxy in self.proxies.values():
            self.assertEqual(len(proxy.message_times), 1)

    def test_feedback_delay_grows_with_lateness(self):
        """The time until reports can show an order's effect includes the lateness of orders."""
        host = RecordingHost()
        host.start(fleet())
        host.run(4)
        before = host.assigner.state.feedback_delay()
        host.ack_delay = None
        host.update_servers(server(3, ServerState.DRAINING))
        host.run(4)
        self.assertGreater(host.assigner.state.feedback_delay(), before + 2 * SECOND)


class MessageLimitTest(unittest.TestCase):
    """Which messages leave room for further ones at even intervals."""

    WINDOW = 10 * SECOND
    MAX_MESSAGES = 8

    def follows_schedule(self, times, now, interval):
        """Return whether messages now and every `interval` from then on keep to the limit."""
        times = sorted(times)
        for at in range(now, now + self.WINDOW + 1, interval):
            times.append(at)
            if sum(at - self.WINDOW <= earlier for earlier in times) > self.MAX_MESSAGES:
                return False
        return True

    @given(
        st.lists(st.integers(0, 40 * SECOND), max_size=12),
        st.integers(10 * SECOND // 7, 5 * SECOND),
    )
    def test_allowed_messages_leave_room_for_the_following_ones(self, times, interval):
        """The answer is that of playing the following messages one by one."""
        now = 40 * SECOND
        channel = ChannelAccount(
            deployment_settings(message_window=self.WINDOW, max_messages=self.MAX_MESSAGES),
            0,
            20 * SECOND,
        )
        proxy = Proxy(Locality(0, 0), 1.0, {})
        proxy.message_times.extend(sorted(times))
        self.assertEqual(
            channel.can_continue(proxy, now, interval, self.MAX_MESSAGES),
            self.follows_schedule(times, now, interval),
        )


class SlowChannelTest(unittest.TestCase):
    """A channel that is slower than configured."""

    def lines_written(self, delay):
        """Return how many lines are sent after an acknowledgement with this delay."""
        host = RecordingHost(deployment_settings(lines_per_second=60, max_waiting_lines=400))
        host.start(fleet())
        host.run(8)
        host.update_servers(server(0, ServerState.DRAINING))
        host.assigner.on_ack(0, host.assigner.state.channel.last_ack_number, delay)
        host.recorded.clear()
        host.update_servers(*[server(index, started=host.clock) for index in range(12, 24)])
        host.run(2)
        return len([line for line in host.recorded if "table" in line])

    def test_slower_channel_gets_fewer_lines(self):
        """Deferrable lines are limited by the measured throughput."""
        self.assertLess(self.lines_written(60 * SECOND), self.lines_written(SECOND // 2))
