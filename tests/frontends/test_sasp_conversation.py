"""Tests of SASP conversations without sockets: answers, pushed weights and takeovers of ids."""

import unittest

from harness import SECOND, SimulatedLoop, TraceTestCase, deployment_settings, server
from hypothesis import given, settings
from hypothesis import strategies as st

from indigodeck.assignment.interface import ServerState
from indigodeck.client import Tables
from indigodeck.frontends.sasp import codec
from indigodeck.frontends.sasp.codec import Bounds, Member
from indigodeck.frontends.sasp.conversation import Conversation
from indigodeck.frontends.sasp.registration import RegistrationRegistry
from indigodeck.id_registry import IdRegistry
from indigodeck.planner.planner_host import PlannerHost

PORT = 8000


class SaspPlanner(SimulatedLoop):
    """A planner host and a registry, with servers from 127.0.0.1:8000 on, classes read and write.

    It is also the environment of the conversations.
    """

    def __init__(self, servers=6, **settings_changes):
        super().__init__()
        self.proxy_ids, self.quiesced, self.servers = IdRegistry(), [], {}
        self.planner_host = PlannerHost(self, deployment_settings(**settings_changes), 3)
        self.registry = RegistrationRegistry(
            self.planner_host, self, ["read", "write"], Bounds(members=64), 5, 10 * SECOND
        )
        self.change_list(*[server(index) for index in range(servers)])

    def change_list(self, *servers):
        """Add servers to the endpoint list, or change the ones in it."""
        self.servers.update((one.index, one) for one in servers)
        self.planner_host.on_endpoint_update("changes", servers)

    def proxy_index(self, proxy_id):
        """Return the index of a proxy."""
        return self.proxy_ids.index(proxy_id)

    def on_proxy_joined(self, proxy, proxy_id):
        """Print that a proxy joined, and serve it."""
        if proxy in self.planner_host.updates.by_proxy:
            self.planner_host.on_proxy_left(proxy)
        self.log_event(f"relay {proxy_id.decode()} joined")
        self.planner_host.on_proxy_joined(proxy, 0, 10.0, True)

    def on_proxy_left(self, proxy):
        """Print that a proxy left, and stop serving it."""
        self.log_event(f"relay {proxy} left")
        self.planner_host.on_proxy_left(proxy)

    def server_at(self, address):
        """Return the index of the server at an address, or None."""
        return address[1] - PORT if address[1] - PORT in self.servers else None

    def address_of(self, index):
        """Return the address of a listed server, or None."""
        return ("127.0.0.1", PORT + index) if index in self.servers else None

    def answered_recently(self, index):
        """Return True for all servers."""
        return True

    def on_host_quiesced(self, address, quiesced):
        """Record a server's own statement."""
        self.quiesced.append((address[1] - PORT, quiesced))


class RecordedConnection:
    """One connection, which prints each message to the peer as text."""

    def __init__(self, planner):
        self.planner, self.closed, self.write_requested = planner, None, False
        self.conversation = Conversation(planner.registry, self)

    def send(self, data):
        """Decode and print a message to the peer."""
        codec.dispatch(data, self)

    def request_write(self):
        """Record that a write was requested."""
        self.write_requested = True

    def close(self, reason):
        """Print the reason, and end the conversation."""
        self.closed = reason
        self.planner.log_event(f"closed: {reason}")
        self.conversation.on_closed()

    def answered(self, message_id, reply_type, return_code):
        """Print an answer."""
        self.planner.log_event(f"answer to {message_id}: {codec.RETURN_CODE_MEANINGS[return_code]}")

    def weights(self, message_id, return_code, interval, groups):
        """Print an answer with weights."""
        self.answered(message_id, None, return_code)
        self.sent_weights(message_id, groups)

    def sent_weights(self, message_id, groups):
        """Print weights as server:weight, with q for quiesced and ? for not confident."""
        for (_, name), entries in groups:
            sent = " ".join(
                f"{entry.member.endpoint()[1] - PORT}:{entry.weight}"
                f"{'q' if entry.flags & codec.QUIESCED else ''}"
                f"{'' if entry.flags & codec.CONFIDENT else '?'}"
                for entry in entries
            )
            self.planner.log_event(f"{name.decode()}: {sent}")

    def receive(self, *messages):
        """Handle messages from the peer."""
        for message in messages:
            self.conversation.on_message(message)

    def push(self):
        """Write pending updates, as the server does when the peer can be written to."""
        update = (
            self.planner.planner_host.take_updates(self.conversation.proxy)
            if self.conversation.proxy is not None
            else None
        )
        data, self.write_requested = self.conversation.next_message(), False
        if data:
            self.send(data)
        if update:
            self.planner.planner_host.on_delivered(update)
        return data


def member(index):
    """Return the group member for a server."""
    return Member.at("127.0.0.1", PORT + index)


def opening_messages(
    proxy_id=b"r1", push=True, trust=True, names=(b"read", b"write"), members=(0, 1)
):
    """Return the first messages of a load balancer, which register members in groups."""
    return (
        codec.set_balancer(1, proxy_id, 127, push, trust, True),
        codec.register(
            2, True, [((proxy_id, name), [member(index) for index in members]) for name in names]
        ),
    )


class ConversationTest(TraceTestCase):
    """Registrations, weights and answers on one or more connections."""

    def test_a_push_holds_only_changes_and_a_poll_returns_all_weights(self):
        """A server that drains gets weight 0 and the quiesced flag, and is not sent again."""
        planner = SaspPlanner(servers=10)
        connection = RecordedConnection(planner)
        connection.receive(*opening_messages())
        planner.run(0.1)
        connection.push()
        planner.log_event("server 3 drains, server 11 is new")
        planner.change_list(server(3, ServerState.DRAINING), server(11, started=planner.clock))
        connection.push()
        planner.run(12)
        connection.push()
        planner.log_event("the load balancer polls the weights of group write")
        connection.receive(codec.get_weights(7, [(b"r1", b"write")]))
        self.assert_matches_trace("sasp-relay", planner)

    def test_return_codes(self):
        """Each kind of invalid request is rejected with its own return code."""
        planner = SaspPlanner()
        connection, agent = RecordedConnection(planner), RecordedConnection(planner)
        read, other = (b"r1", b"read"), (b"r1", b"nothing")
        agent.receive(codec.register(1, False, [(read, [member(4)])]))
        connection.receive(
            codec.register(2, True, [(read, [member(0)])]),
            codec.set_balancer(3, b"", 1, True, True, True),
            *opening_messages(trust=False),
            codec.set_balancer(4, b"r2", 1, True, True, True),
        )
        for groups in (
            [(read, [member(1)])],
            [(other, [member(1)])],
            [((b"r1", b""), [])],
            [((b"", b"read"), [])],
            [((b"r9", b"read"), [])],
            [(read, [member(5), member(5)])],
            [(read, [member(index) for index in range(2, 6)] * 20)],
        ):
            connection.receive(codec.register(5, True, groups))
        connection.receive(
            codec.get_weights(6, [other]),
            codec.get_weights(7, [read, read]),
            codec.get_weights(8, [(b"r9", b"read")]),
            codec.deregister(9, True, 0, [(read, [member(5)])]),
            codec.deregister(10, True, 0, [(other, [])]),
            codec.set_members(11, True, [(read, [(member(5), 1, True)])]),
        )
        agent.receive(
            codec.register(12, False, [(read, [member(4)])]),
            codec.set_members(13, False, [(read, [(member(4), 1, True)])]),
        )
        self.assertEqual(planner.quiesced, [(4, True)])
        connection.receive(
            codec.deregister(14, True, 0, [(read, [])]),
            codec.get_weights(15, [read]),
            codec.deregister(16, True, 0, []),
            codec.get_weights(17, []),
        )
        connection.receive(codec.answer(18, codec.REGISTERED, 0))
        self.assert_matches_trace("sasp-codes", planner)

    def test_a_rejected_request_changes_nothing(self):
        """The groups before the one that is at fault are not registered either."""
        planner = SaspPlanner()
        connection = RecordedConnection(planner)
        connection.receive(*opening_messages(names=(b"read",)))
        connection.receive(
            codec.register(
                3, True, [((b"r1", b"write"), [member(0)]), ((b"r1", b"read"), [member(0)])]
            )
        )
        self.assertEqual(sorted(connection.conversation.groups), [0])

    def test_endpoint_lists_that_are_empty_or_have_none_of_a_proxys_members(self):
        """Members that are not in the list get weights without confidence."""
        planner = SaspPlanner(servers=0)
        connection, untrusting = RecordedConnection(planner), RecordedConnection(planner)
        planner.log_event("no endpoint list yet: weights are sent without confidence")
        connection.receive(
            *opening_messages(members=(0, 20)), codec.get_weights(3, [(b"r1", b"read")])
        )
        untrusting.receive(*opening_messages(proxy_id=b"r2", trust=False, members=(20, 21)))
        planner.run(1)
        planner.log_event("a list with only one of the registered members, server 0 of r1")
        planner.change_list(*[server(index) for index in range(5)])
        planner.run(1)
        connection.push()
        untrusting.push()
        planner.log_event("servers 20 and 21 are listed: their weights are sent with confidence")
        planner.change_list(server(20), server(21))
        planner.run(12)
        connection.push()
        untrusting.push()
        self.assert_matches_trace("sasp-empty", planner)

    def test_a_server_wrongly_listed_as_gone_and_kept_by_the_assigner_keeps_its_weight(self):
        """The endpoint list alone does not remove a server."""
        # Guards against a frontend that evaluates the list itself. In the first bad-day test such a
        # frontend sent weight 0 for half of the servers.
        planner = SaspPlanner(removal_is_final=False, health_checks_allowed=True)
        connection = RecordedConnection(planner)
        connection.receive(*opening_messages())
        planner.run(1)
        connection.push()
        sent_before = dict(connection.conversation.groups[0].sent)
        planner.change_list(*[server(index, ServerState.GONE) for index in range(3)])
        for index in range(3):
            planner.planner_host.on_health_check(index, "ok", 1000, None)
        connection.receive(codec.get_weights(4, [(b"r1", b"read")]))
        self.assertEqual(connection.conversation.groups[0].sent, sent_before)

    def test_the_newest_connection_takes_over_an_id_unless_that_happens_too_often(self):
        """Connections that take an id from each other in turn are rejected for a while."""
        planner = SaspPlanner()
        connections = [RecordedConnection(planner) for _ in range(6)]
        for connection in connections:
            connection.receive(*opening_messages())
            planner.run(0.5)
        self.assertEqual(sum(connection.closed is None for connection in connections), 3)
        self.assertEqual(len(planner.planner_host.updates.by_proxy), 1)
        planner.log_event(
            "a replaced connection polls weights and is answered as an unknown load balancer"
        )
        connections[0].receive(codec.get_weights(9, [(b"r1", b"read")]))
        planner.run(11)
        late = RecordedConnection(planner)
        late.receive(*opening_messages())
        planner.run(0.1)
        self.assertTrue(late.push())
        self.assert_matches_trace("sasp-quarrel", planner)

    def test_a_group_deregistered_while_its_weights_wait(self):
        """No weights of the group are sent any more."""
        planner = SaspPlanner()
        connection = RecordedConnection(planner)
        connection.receive(*opening_messages())
        planner.run(0.1)
        connection.receive(codec.deregister(3, True, 0, [((b"r1", b"read"), [])]))
        connection.push()
        planner.change_list(server(1, ServerState.DRAINING))
        connection.push()
        self.assertFalse([line for line in planner.recorded if " read:" in line])

    def test_a_proxy_that_stops_reading_gets_one_message_with_the_newest_state(self):
        """Pending changes are combined and do not pile up."""
        planner = SaspPlanner(servers=12)
        stalled, other = RecordedConnection(planner), RecordedConnection(planner)
        stalled.receive(*opening_messages())
        other.receive(*opening_messages(proxy_id=b"r2"))
        planner.run(0.1)
        messages = 0
        for nth in range(10):
            planner.change_list(server(nth, ServerState.DRAINING))
            planner.run(1)
            messages += bool(other.push())
            self.assertLess(
                planner.planner_host.waiting_lines(),
                planner.planner_host.settings.channel.max_waiting_lines,
            )
        self.assertGreater(messages, 8)
        self.assertTrue(stalled.push())
        self.assertFalse(stalled.push())
        self.assertEqual(
            [group.sent for group in stalled.conversation.groups.values()][0].keys()
            & {("127.0.0.1", PORT + 4)},
            set(),
        )
        for class_index in (0, 1):
            sent = {
                address: entry[0]
                for address, entry in stalled.conversation.groups[class_index].sent.items()
                if entry[0]
            }
            self.assertEqual(
                sent,
                {
                    address: entry[0]
                    for address, entry in other.conversation.groups[class_index].sent.items()
                    if entry[0]
                },
            )

    def test_drains_reach_a_proxy_before_its_first_table_and_keep_its_old_table(self):
        """Ejected servers are sent at once, and are not taken for a whole table."""
        planner = SaspPlanner(servers=0)
        planner.change_list(server(0), server(1), server(2, ServerState.DRAINING))
        first = RecordedConnection(planner)
        first.receive(*opening_messages())
        planner.run(0.1)
        late = RecordedConnection(planner)
        late.receive(*opening_messages(proxy_id=b"r2", members=(1, 2)))
        late.push()  # before the proxy is bound to tables
        # A proxy without registered members is sent drains first as well. When all controllers were
        # restarted, such a proxy took them for its whole table, and had no servers until the next
        # message.
        without_members = RecordedConnection(planner)
        without_members.receive(*opening_messages(proxy_id=b"r3", members=()))
        without_members.push()
        tables = Tables(["read"], planner.now, [("127.0.0.1", PORT), ("127.0.0.1", PORT + 2)])
        for confident in (False, True):
            tables.update("read", [(("127.0.0.1", PORT + 2), 0, confident, True)])
            self.assertEqual(list(tables.lines["read"]), [("127.0.0.1", PORT)])
        self.assert_matches_trace("sasp-old-tables", planner)

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        "hello",
                        "register",
                        "leave",
                        "ask",
                        "state",
                        "agent",
                        "malformed",
                        "drain",
                        "ready",
                        "push",
                        "run",
                        "other",
                    ]
                ),
                st.integers(0, 7),
            ),
            max_size=30,
        )
    )
    def test_after_any_steps_each_request_is_answered_once_and_drains_are_sent(self, steps):
        """Any order of requests and changes of the list gives one answer for each request."""
        planner = SaspPlanner(servers=8)
        connection, agent = RecordedConnection(planner), RecordedConnection(planner)
        read = (b"r1", b"read")
        for step, nth in steps:
            requests = {
                "hello": [codec.set_balancer(1, b"r1", 1, nth % 2 == 0, nth % 3 > 0, nth < 6)],
                "register": [codec.register(2, True, [(read, [member(nth), member(nth + 1)])])],
                "leave": [codec.deregister(3, True, 0, [(read, [member(nth)][: nth % 2])])],
                "ask": [codec.get_weights(4, [read][:nth])],
                "malformed": [codec.register(5, True, [(read, [member(1)] * 65)])],
                "state": [codec.set_members(6, True, [(read, [(member(nth), 1, nth % 2 == 0)])])],
            }.get(step, [])
            before = sum("answer" in line for line in planner.recorded)
            connection.receive(*requests)
            self.assertEqual(
                sum("answer" in line for line in planner.recorded) - before, len(requests)
            )
            if step == "agent":
                agent.receive(codec.register(7, False, [(read, [member(nth)])]))
            elif step in ("drain", "ready"):
                planner.change_list(
                    server(nth, ServerState.DRAINING if step == "drain" else ServerState.READY)
                )
            elif step == "push":
                connection.push()
            elif step == "run":
                planner.run(nth / 2)
            elif step == "other" and connection.closed is None:
                connection.conversation.on_closed()
                connection = RecordedConnection(planner)
        if connection.conversation.proxy is not None and 0 in connection.conversation.groups:
            planner.run(1)
            connection.receive(codec.get_weights(9, [read]))
            sent = connection.conversation.groups[0].sent
            for index in planner.planner_host.ejected_servers:
                weight, flags, _ = sent.get(("127.0.0.1", PORT + index), (0, codec.QUIESCED, 0))
                self.assertEqual((weight, flags & codec.QUIESCED), (0, codec.QUIESCED))


if __name__ == "__main__":
    unittest.main()
