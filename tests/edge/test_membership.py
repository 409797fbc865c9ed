"""Tests of proxy membership: its notifications while connections fail and reconnect."""

import unittest

from harness import SECOND
from hypothesis import given, settings
from hypothesis import strategies as st

from indigodeck.edge.membership import ProxyMembership
from indigodeck.edge.messages import ProxyJoined


class SteppedRelay:
    """Reports joins and departures on all open connections, one step at a time."""

    def __init__(self, membership):
        self.membership = membership
        self.joined = set()

    def open(self, connection):
        """Open a connection, unless it is open; it reports the proxies that are joined."""
        if connection in self.membership.views:
            return
        self.membership.on_connected(connection)
        for proxy in sorted(self.joined):
            self.membership.on_proxy_joined(connection, ProxyJoined(proxy, 0, 1.0, False))

    def turn(self, proxy):
        """Let a proxy leave if it is joined, else join."""
        self.joined ^= {proxy}
        for connection in self.membership.views:
            if proxy in self.joined:
                joined = ProxyJoined(proxy, 0, 1.0, True)
                self.membership.on_proxy_joined(connection, joined)
            else:
                self.membership.on_proxy_left(connection, proxy)

    def heartbeat(self, connection):
        """Send a heartbeat on a connection, which is opened first if it is not open."""
        self.open(connection)
        self.membership.on_heartbeat(connection)

    def play(self, kind, proxy, connections):
        """Play one step; `proxy` matters only for a turn, `connections` for the other kinds."""
        if kind == "turn":
            self.turn(proxy)
            return
        actions = {
            "break": self.membership.on_disconnected,
            "open": self.open,
            "ping": self.heartbeat,
        }
        for connection in connections:
            actions[kind](connection)


class ProxyMembershipTest(unittest.TestCase):
    """Connections lag, break, fall silent and reconnect; the test itself is the listener."""

    def setUp(self):
        """Create a membership whose listener is this test."""
        self.clock = 0
        self.events = []
        self.membership = ProxyMembership(self, lambda: self.clock)

    def on_proxy_joined(self, joined):
        """Record a join."""
        self.events.append(("joined", joined.proxy))

    def on_proxy_left(self, proxy):
        """Record a departure."""
        self.events.append(("left", proxy))

    def connect(self, connection, *proxies):
        """Open a connection that reports these proxies."""
        self.membership.on_connected(connection)
        for proxy in proxies:
            self.membership.on_proxy_joined(connection, ProxyJoined(proxy, 0, 1.0, False))
        self.membership.on_heartbeat(connection)

    def take_events(self):
        """Return the events since the last call."""
        events = self.events
        self.events = []
        return events

    def test_a_join_reported_by_two_connections_is_handled_once(self):
        """Two connections report the same joins, one of them late."""
        self.membership.on_connected("A")
        self.membership.on_connected("B")
        for connection in "AB":
            for proxy in (1, 2):
                self.membership.on_proxy_joined(connection, ProxyJoined(proxy, 0, 1.0, True))
        self.membership.on_heartbeat("A")
        self.membership.on_heartbeat("B")
        self.assertEqual(self.take_events(), [("joined", 1), ("joined", 2)])
        for connection in "BA":
            self.membership.on_proxy_left(connection, 1)
        self.assertEqual(self.take_events(), [("left", 1)])
        for connection in "AB":
            self.membership.on_proxy_joined(connection, ProxyJoined(1, 0, 1.0, True))
        self.assertEqual(self.take_events(), [("joined", 1)])
        # B lags by a whole departure and join.
        self.membership.on_proxy_left("A", 1)
        self.membership.on_proxy_joined("A", ProxyJoined(1, 0, 1.0, True))
        self.membership.on_proxy_left("B", 1)
        self.membership.on_proxy_joined("B", ProxyJoined(1, 0, 1.0, True))
        self.assertEqual(self.take_events(), [("left", 1), ("joined", 1)])

    def test_a_reconnection_beside_a_live_connection_changes_nothing(self):
        """The live connection proves which proxies are still joined."""
        self.connect("A", 1, 2)
        self.connect("B", 1, 2)
        self.take_events()
        self.membership.on_disconnected("A")
        self.connect("A", 1, 2)
        self.assertEqual(self.take_events(), [])
        self.membership.on_proxy_left("A", 2)
        self.assertEqual(self.take_events(), [("left", 2)])

    def test_after_a_gap_all_proxies_have_joined_again_or_left(self):
        """A proxy may have reconnected while no connection was open, and lost its tables."""
        self.connect("A", 1, 2)
        self.take_events()
        self.membership.on_disconnected("A")
        self.assertEqual(self.take_events(), [])
        self.connect("A", 2, 3)
        self.assertEqual(
            self.take_events(), [("left", 2), ("joined", 2), ("joined", 3), ("left", 1)]
        )

    def test_new_connections_after_a_gap_do_not_vouch_for_departed_proxies(self):
        """Guards against review/10: two connections opened after a gap vouched for each other."""
        self.connect("A", 1, 2, 3)
        self.connect("B", 1, 2, 3)
        self.take_events()
        self.membership.on_disconnected("A")
        self.membership.on_disconnected("B")
        for connection in "AB":
            self.membership.on_connected(connection)
            self.membership.on_proxy_joined(connection, ProxyJoined(3, 0, 1.0, False))
        self.membership.on_heartbeat("A")
        self.assertEqual(self.take_events(), [("left", 3), ("joined", 3), ("left", 1), ("left", 2)])
        self.membership.on_heartbeat("B")
        self.assertEqual(self.take_events(), [])

    def test_a_join_reported_first_by_a_connection_still_opening_is_kept(self):
        """After a gap, one of the new connections may be behind the other."""
        self.connect("A", 1)
        self.take_events()
        self.membership.on_disconnected("A")
        self.membership.on_connected("B")
        self.membership.on_proxy_joined("B", ProxyJoined(2, 0, 1.0, False))
        self.connect("A")
        self.assertEqual(self.take_events(), [("joined", 2), ("left", 1)])
        self.membership.on_proxy_left("B", 2)
        self.assertEqual(self.take_events(), [("left", 2)])

    def test_a_silent_connection_counts_as_a_gap(self):
        """A connection without heartbeats does not prove that its proxies are still joined."""
        self.connect("A", 1)
        self.take_events()
        self.clock += 2 * SECOND
        self.connect("B", 1)
        self.assertEqual(self.take_events(), [("left", 1), ("joined", 1)])

    def test_events_that_a_broken_connection_missed_are_handled(self):
        """Events that only the remaining connection reported are handled once the other breaks."""
        self.connect("A", 1)
        self.connect("B", 1)
        self.take_events()
        self.membership.on_proxy_left("B", 1)
        self.membership.on_proxy_joined("B", ProxyJoined(4, 0, 1.0, True))
        self.membership.on_disconnected("A")
        self.assertEqual(self.take_events(), [("left", 1), ("joined", 4)])
        self.membership.on_disconnected("B")
        self.connect("A", 4)
        self.assertEqual(self.take_events(), [("left", 4), ("joined", 4)])

    def test_a_proxy_that_joins_twice_has_left_in_between(self):
        """A second join means that the proxy has reconnected, without tables."""
        self.connect("A", 1)
        self.take_events()
        self.membership.on_proxy_joined("A", ProxyJoined(1, 0, 1.0, True))
        self.assertEqual(self.take_events(), [("left", 1), ("joined", 1)])

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["turn", "break", "open", "ping"]),
                st.integers(0, 3),
                st.sampled_from(["A", "B", "AB"]),
            ),
            max_size=40,
        )
    )
    def test_the_listener_ends_with_the_proxies_that_are_joined(self, steps):
        """With breaks at any point, the listener ends with the proxies joined to the relay."""
        self.events = []
        self.clock = 0
        relay = SteppedRelay(ProxyMembership(self, lambda: self.clock))
        for connection in "AB":
            relay.open(connection)
        for kind, proxy, connections in steps:
            self.clock += SECOND // 10
            relay.play(kind, proxy, connections)
        # Both open before either has reported all: neither is proof of what the other may miss.
        for connection in "AB":
            relay.open(connection)
        for connection in "AB":
            relay.membership.on_heartbeat(connection)
        notified = set()
        for kind, proxy in self.events:
            self.assertEqual(proxy in notified, kind == "left")
            notified ^= {proxy}
        self.assertEqual(notified, relay.joined)
