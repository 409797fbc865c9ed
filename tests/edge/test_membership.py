"""Proxy membership: what its listener is told, whatever the connections do."""

import unittest

from harness import SECOND
from hypothesis import given, settings
from hypothesis import strategies as st

from indigodeck.edge.membership import ProxyMembership
from indigodeck.edge.messages import ProxyJoined


class ProxyMembershipTest(unittest.TestCase):
    """Connections that lag, break, fall silent and begin anew; this test is the listener."""

    def setUp(self):
        """Make a membership whose listener is this test."""
        self.clock = 0
        self.events = []
        self.membership = ProxyMembership(self, lambda: self.clock)

    def on_proxy_joined(self, joined):
        """Keep a joining."""
        self.events.append(("joined", joined.proxy))

    def on_proxy_left(self, proxy):
        """Keep a departure."""
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

    def test_each_joining_is_taken_once_from_two_connections(self):
        """Two connections report the same joinings, one of them late."""
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
        # One lags by a whole round.
        self.membership.on_proxy_left("A", 1)
        self.membership.on_proxy_joined("A", ProxyJoined(1, 0, 1.0, True))
        self.membership.on_proxy_left("B", 1)
        self.membership.on_proxy_joined("B", ProxyJoined(1, 0, 1.0, True))
        self.assertEqual(self.take_events(), [("left", 1), ("joined", 1)])

    def test_a_connection_that_begins_anew_beside_another_changes_nothing(self):
        """The live one vouches for who is joined."""
        self.connect("A", 1, 2)
        self.connect("B", 1, 2)
        self.take_events()
        self.membership.on_disconnected("A")
        self.connect("A", 1, 2)
        self.assertEqual(self.take_events(), [])
        self.membership.on_proxy_left("A", 2)
        self.assertEqual(self.take_events(), [("left", 2)])

    def test_after_a_gap_all_proxies_join_anew_or_have_left(self):
        """Without any connection in between, nobody knows what a proxy holds."""
        self.connect("A", 1, 2)
        self.take_events()
        self.membership.on_disconnected("A")
        self.assertEqual(self.take_events(), [])
        self.connect("A", 2, 3)
        self.assertEqual(
            self.take_events(), [("left", 2), ("joined", 2), ("joined", 3), ("left", 1)]
        )

    def test_a_silent_connection_counts_as_a_gap(self):
        """A connection without heartbeats vouches for nobody."""
        self.connect("A", 1)
        self.take_events()
        self.clock += 2 * SECOND
        self.connect("B", 1)
        self.assertEqual(self.take_events(), [("left", 1), ("joined", 1)])

    def test_what_a_broken_connection_was_behind_in_is_corrected(self):
        """What only the surviving connection reported counts once the other breaks."""
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
        """A second joining means a new connection of the proxy, without tables."""
        self.connect("A", 1)
        self.take_events()
        self.membership.on_proxy_joined("A", ProxyJoined(1, 0, 1.0, True))
        self.assertEqual(self.take_events(), [("left", 1), ("joined", 1)])

    @settings(deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["turn", "break", "ping"]), st.integers(0, 3), st.sampled_from("AB")
            ),
            max_size=40,
        )
    )
    def test_the_listener_ends_with_the_proxies_that_stand(self, steps):
        """Both connections tell what the relay says, breaks come anywhere, and what stands wins."""
        self.events = []
        self.clock = 0
        membership = ProxyMembership(self, lambda: self.clock)
        standing = set()
        for connection in "AB":
            membership.on_connected(connection)
        for what, proxy, connection in steps:
            self.clock += SECOND // 10
            if what == "turn":
                standing ^= {proxy}
                for other in membership.views:
                    if proxy in standing:
                        membership.on_proxy_joined(other, ProxyJoined(proxy, 0, 1.0, True))
                    else:
                        membership.on_proxy_left(other, proxy)
            elif what == "ping":
                membership.on_heartbeat(connection)
            else:
                membership.on_disconnected(connection)
                membership.on_connected(connection)
                for known in sorted(standing):
                    membership.on_proxy_joined(connection, ProxyJoined(known, 0, 1.0, False))
        for connection in "AB":
            membership.on_heartbeat(connection)
        believed = set()
        for what, proxy in self.events:
            self.assertEqual(proxy in believed, what == "left")
            believed ^= {proxy}
        self.assertEqual(believed, standing)
