"""The audit must be able to fail: each rule's breach, and its nearest neighbour that is none."""

import dataclasses
import unittest

from harness import SECOND, deployment_settings

from indigodeck.frontends.sasp import codec
from indigodeck.frontends.sasp.codec import CONFIDENT, QUIESCED, Entry, Member
from indigodeck.testbed import audit
from indigodeck.testbed.evidence import (
    Evidence,
    LeaseAcquisition,
    Outcome,
    Publication,
    Receipt,
)
from indigodeck.testbed.recording_proxy import StreamEvent, StreamEventType

SETTINGS = deployment_settings(
    max_unserved_time=4 * SECOND,
    drain_grace=2 * SECOND,
    warm_up_time=10 * SECOND,
    overload_multiple=4,
    overload_time=3 * SECOND,
    max_messages=30,
    message_window=10 * SECOND,
)
WEB = Member.at("127.0.0.1", 80)


class Rules(unittest.TestCase):
    """Evidence of one relay and one warm host, to which each test adds what it is about."""

    def setUp(self):
        """Have one relay join, and one warm host be ready."""
        self.evidence = Evidence(SETTINGS, ["read"], 0)
        self.evidence.planner_starts.append(0)
        self.see(1, StreamEventType.JOINED)
        self.publish(0, "h1", "ready", -60)

    def broken(self):
        """Return the breaches, as (seconds, who), of each rule that is broken."""
        return {
            verdict.rule: [(at / SECOND, who) for at, who, _ in verdict.cases]
            for verdict in audit.verdicts(self.evidence)
            if not verdict.kept
        }

    def see(self, at, event_type, data=b"", controller="", epoch=0):
        """Add an event on the relay's stream, at seconds."""
        event = StreamEvent(round(at * SECOND), "r1", event_type, data, controller, epoch)
        self.evidence.stream_events.append(event)

    def publish(self, at, host, state, started=0):
        """Add what the endpoint list states of a host; times in seconds."""
        publication = Publication(at * SECOND, host, state, started * SECOND)
        self.evidence.publications.append(publication)

    def write(self, at, weight, flags=CONFIDENT):
        """Have the planner send the host's weight to the relay."""
        groups = [((b"r1", b"read"), [Entry(WEB, weight, flags)])]
        self.see(at, StreamEventType.MESSAGE, codec.send_weights(1, groups))

    def receive(self, at, key="k", relay="r1", host="h1", is_cold=False, state="begun"):
        """Have a host receive a request of the relay."""
        self.evidence.receipts.append(
            Receipt(round(at * SECOND), host, relay, key, "read", 200_000, 1.0, is_cold, state)
        )

    def answer(self, at, outcome, weight_asked, weight_earned):
        """Add the outcome of one client's request."""
        self.evidence.outcomes.append(
            Outcome(at * SECOND, "r1", "read", outcome, weight_asked, weight_earned)
        )

    def test_a_quiet_scenario_breaks_no_rule(self):
        """A relay with tables and a request served breaks no rule."""
        self.write(2, 100)
        self.receive(3)
        self.assertEqual(self.broken(), {})

    def test_all_weights_withheld(self):
        """A table without weights for longer than allowed is found."""
        self.write(2, 100)
        self.write(3, 0)
        self.write(8, 100)
        self.assertEqual(self.broken(), {"no proxy without a server": [(8.0, "r1")]})

    def test_an_empty_table_while_no_host_is_ready_is_no_breach(self):
        """A table may be empty while no host is ready."""
        self.publish(2, "h1", "draining", 0)
        self.write(3, 0, QUIESCED)
        self.write(9, 100)
        self.assertEqual(self.broken(), {})

    def test_clients_that_find_no_server(self):
        """Clients that find no server for longer than allowed are found."""
        for at in range(2, 9):
            self.answer(at, "nowhere", 1, 0)
        self.assertIn((7.0, "r1"), self.broken()["no proxy without a server"])

    def test_weights_of_two_controllers(self):
        """Weights of a former leader are found; its rejections are none."""
        self.evidence.stream_events.clear()
        self.see(1, StreamEventType.JOINED, controller="c1")
        self.evidence.lease_acquisitions = [
            LeaseAcquisition(0, 16, "c1"),
            LeaseAcquisition(3 * SECOND, 33, "c2"),
        ]
        weights = codec.send_weights(1, [((b"r1", b"read"), [Entry(WEB, 5, CONFIDENT)])])
        rejected = codec.send_weights(1, [])
        self.see(2, StreamEventType.MESSAGE, weights, "c1")
        self.see(3.5, StreamEventType.MESSAGE, rejected, "c1")
        self.see(4, StreamEventType.JOINED, controller="c2")
        self.see(4.1, StreamEventType.MESSAGE, weights, "c2", 33)
        self.assertEqual(self.broken(), {})
        # Nobody follows c1 any more, and another is the leader.
        self.see(4.5, StreamEventType.MESSAGE, weights, "c1")
        self.see(4.6, StreamEventType.MESSAGE, weights, "c2", 16)
        self.assertEqual(
            self.broken(),
            {
                "one controller in charge": [(4.5, "c1")],
                "each relay follows one controller": [(4.5, "r1"), (4.5, "r1"), (4.6, "r1")],
            },
        )

    def test_a_repeated_effect(self):
        """A request that begins at two hosts is found."""
        self.receive(3)
        self.receive(4, host="h2")
        self.assertEqual(self.broken(), {"no effect twice": [(4.0, "r1")]})

    def test_a_rejected_request_may_be_retried(self):
        """A request that was rejected may begin at another host."""
        self.receive(3, state="full")
        self.receive(4, host="h2")
        self.assertEqual(self.broken(), {})

    def test_a_relay_that_ignores_a_drain(self):
        """Requests to a draining host count once the grace has passed."""
        self.publish(5, "h1", "draining", 0)
        self.receive(6.9)
        self.assertEqual(self.broken(), {})
        self.receive(7.1, "k2")
        self.assertEqual(self.broken(), {"drains kept": [(7.1, "r1")]})

    def test_a_relay_that_is_disconnected_or_has_just_joined_is_not_judged(self):
        """A relay answers for drains only while it is joined."""
        self.publish(5, "h1", "draining", 0)
        self.see(6, StreamEventType.LEFT)
        self.see(12, StreamEventType.JOINED)
        self.receive(9)
        self.receive(13, "k2")
        self.assertEqual(self.broken(), {})

    def test_removal_counts_only_where_the_settings_say(self):
        """Removal counts as a drain only where the settings say so."""
        self.publish(5, "h1", "gone", 0)
        self.receive(9)
        self.assertEqual(list(self.broken()), ["drains kept"])
        self.evidence.settings = dataclasses.replace(SETTINGS, removal_is_final=False)
        self.assertEqual(self.broken(), {})

    def test_a_new_planner_knows_drains_from_its_own_first_list(self):
        """A drain counts from the first list of the present planner."""
        self.publish(5, "h1", "draining")
        self.publish(9, "h1", "draining")
        self.evidence.planner_starts.append(8 * SECOND)
        self.see(7, StreamEventType.LEFT)
        self.see(8.5, StreamEventType.JOINED)
        self.receive(10.8)
        self.assertEqual(self.broken(), {})
        self.receive(11.2, "k2")
        self.assertEqual(list(self.broken()), ["drains kept"])

    def test_a_cold_host_that_is_overloaded(self):
        """A cold host that is sent too much is found."""
        self.publish(2, "h2", "ready", 2)
        for nth in range(70):
            self.receive(5 + nth / 25, f"k{nth}", host="h2", is_cold=True)
        self.assertEqual(list(self.broken()), ["no cold server pushed over"])

    def test_an_overload_before_the_planner_could_know_is_not_counted(self):
        """A flood before the list named the host does not count."""
        self.publish(5, "h2", "ready", 2)
        for nth in range(60):
            self.receive(4 + nth / 25, f"k{nth}", host="h2", is_cold=True)
        self.assertEqual(self.broken(), {})

    def test_one_message_over_the_limit_in_10_s(self):
        """The message over the limit within the window is found."""
        for nth in range(31):
            self.write(2 + nth * 0.34, 100 + nth)
        self.assertEqual(self.broken(), {})
        self.write(12.0, 99)
        self.write(12.05, 98)
        self.assertEqual(list(self.broken()), ["messages to a relay"])

    def test_messages_of_a_planner_that_started_anew_count_anew(self):
        """Messages of two planners are counted apart."""
        for nth in range(40):
            self.write(2 + nth * 0.2, 100 + nth)
        self.evidence.planner_starts.append(6 * SECOND)
        self.assertEqual(self.broken(), {})

    def test_service_is_the_earned_weight_and_the_worst_10_s(self):
        """Service is the earned share, whole and in its worst window."""
        for at in range(40):
            self.answer(at, "ok", 2, 0 if 20 <= at < 30 else 2)
        self.assertEqual(
            [audit.service(self.evidence)[name] for name in ("whole", "worst_10_s")], [0.75, 0.0]
        )


if __name__ == "__main__":
    unittest.main()
