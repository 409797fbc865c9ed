"""Tests that the audit finds breaches of each rule, and does not report similar correct cases."""

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


class AuditTest(unittest.TestCase):
    """Evidence of one joined relay and one warm, ready host, to which each test adds events."""

    def setUp(self):
        """Record that one relay has joined and one warm host is ready."""
        self.evidence = Evidence(SETTINGS, ["read"], 0)
        self.evidence.planner_starts.append(0)
        self.add_stream_event(1, StreamEventType.JOINED)
        self.publish(0, "h1", "ready", -60)

    def breaches(self):
        """Return the breaches of each broken rule as (seconds, relay, host or controller)."""
        return {
            verdict.rule: [(at / SECOND, who) for at, who, _ in verdict.cases]
            for verdict in audit.verdicts(self.evidence)
            if not verdict.kept
        }

    def add_stream_event(self, at, event_type, data=b"", controller="", epoch=0):
        """Add an event on the relay's stream; `at` is in seconds."""
        event = StreamEvent(round(at * SECOND), "r1", event_type, data, controller, epoch)
        self.evidence.stream_events.append(event)

    def publish(self, at, host, state, started=0):
        """Add a published state of a host; times are in seconds."""
        publication = Publication(at * SECOND, host, state, started * SECOND)
        self.evidence.publications.append(publication)

    def send_weight(self, at, weight, flags=CONFIDENT):
        """Add a message from the planner to the relay with the host's weight."""
        groups = [((b"r1", b"read"), [Entry(WEB, weight, flags)])]
        self.add_stream_event(at, StreamEventType.MESSAGE, codec.send_weights(1, groups))

    def add_receipt(self, at, key="k", relay="r1", host="h1", is_cold=False, state="begun"):
        """Add a host's receipt of a request from the relay."""
        self.evidence.receipts.append(
            Receipt(round(at * SECOND), host, relay, key, "read", 200_000, 1.0, is_cold, state)
        )

    def add_outcome(self, at, outcome, weight_asked, weight_earned):
        """Add the outcome of one client's request."""
        self.evidence.outcomes.append(
            Outcome(at * SECOND, "r1", "read", outcome, weight_asked, weight_earned)
        )

    def test_a_served_request_breaks_no_rule(self):
        """A relay with a table and one served request break no rule."""
        self.send_weight(2, 100)
        self.add_receipt(3)
        self.assertEqual(self.breaches(), {})

    def test_a_table_with_zero_weights_only(self):
        """A table that has only weights of 0 for longer than allowed is a breach."""
        self.send_weight(2, 100)
        self.send_weight(3, 0)
        self.send_weight(8, 100)
        self.assertEqual(self.breaches(), {"no proxy without a server": [(8.0, "r1")]})

    def test_an_empty_table_while_no_host_is_ready_is_not_a_breach(self):
        """A table may be empty while no host is ready."""
        self.publish(2, "h1", "draining", 0)
        self.send_weight(3, 0, QUIESCED)
        self.send_weight(9, 100)
        self.assertEqual(self.breaches(), {})

    def test_clients_that_find_no_server(self):
        """Client requests without a server for longer than allowed are a breach."""
        for at in range(2, 9):
            self.add_outcome(at, "nowhere", 1, 0)
        self.assertIn((7.0, "r1"), self.breaches()["no proxy without a server"])

    def test_weights_from_a_former_leader(self):
        """Weights from a former leader are a breach; its rejections of relays are not."""
        self.evidence.stream_events.clear()
        self.add_stream_event(1, StreamEventType.JOINED, controller="c1")
        self.evidence.lease_acquisitions = [
            LeaseAcquisition(0, 16, "c1"),
            LeaseAcquisition(3 * SECOND, 33, "c2"),
        ]
        weights = codec.send_weights(1, [((b"r1", b"read"), [Entry(WEB, 5, CONFIDENT)])])
        rejected = codec.send_weights(1, [])
        self.add_stream_event(2, StreamEventType.MESSAGE, weights, "c1")
        self.add_stream_event(3.5, StreamEventType.MESSAGE, rejected, "c1")
        self.add_stream_event(4, StreamEventType.JOINED, controller="c2")
        self.add_stream_event(4.1, StreamEventType.MESSAGE, weights, "c2", 33)
        self.assertEqual(self.breaches(), {})
        # The relay now follows c2, which is the leader.
        self.add_stream_event(4.5, StreamEventType.MESSAGE, weights, "c1")
        self.add_stream_event(4.6, StreamEventType.MESSAGE, weights, "c2", 16)
        self.assertEqual(
            self.breaches(),
            {
                "one controller in charge": [(4.5, "c1")],
                "each relay follows one controller": [(4.5, "r1"), (4.5, "r1"), (4.6, "r1")],
            },
        )

    def test_a_request_that_takes_effect_twice(self):
        """A request that begins at two hosts is a breach."""
        self.add_receipt(3)
        self.add_receipt(4, host="h2")
        self.assertEqual(self.breaches(), {"no effect twice": [(4.0, "r1")]})

    def test_a_rejected_request_may_be_retried(self):
        """A request that one host rejected may begin at another."""
        self.add_receipt(3, state="full")
        self.add_receipt(4, host="h2")
        self.assertEqual(self.breaches(), {})

    def test_a_relay_that_ignores_a_drain(self):
        """Requests to a draining host are a breach once the grace period is over."""
        self.publish(5, "h1", "draining", 0)
        self.add_receipt(6.9)
        self.assertEqual(self.breaches(), {})
        self.add_receipt(7.1, "k2")
        self.assertEqual(self.breaches(), {"drains kept": [(7.1, "r1")]})

    def test_drains_do_not_apply_to_relays_disconnected_or_just_joined(self):
        """The drain rule applies to a relay only while joined, and after a grace period."""
        self.publish(5, "h1", "draining", 0)
        self.add_stream_event(6, StreamEventType.LEFT)
        self.add_stream_event(12, StreamEventType.JOINED)
        self.add_receipt(9)
        self.add_receipt(13, "k2")
        self.assertEqual(self.breaches(), {})

    def test_removal_counts_as_a_drain_only_if_final(self):
        """Removal from the list counts as a drain only if the settings make it final."""
        self.publish(5, "h1", "gone", 0)
        self.add_receipt(9)
        self.assertEqual(list(self.breaches()), ["drains kept"])
        self.evidence.settings = dataclasses.replace(SETTINGS, removal_is_final=False)
        self.assertEqual(self.breaches(), {})

    def test_a_drain_counts_from_the_first_list_of_a_restarted_planner(self):
        """After a restart, a drain counts from the first list published to the new planner."""
        self.publish(5, "h1", "draining")
        self.publish(9, "h1", "draining")
        self.evidence.planner_starts.append(8 * SECOND)
        self.add_stream_event(7, StreamEventType.LEFT)
        self.add_stream_event(8.5, StreamEventType.JOINED)
        self.add_receipt(10.8)
        self.assertEqual(self.breaches(), {})
        self.add_receipt(11.2, "k2")
        self.assertEqual(list(self.breaches()), ["drains kept"])

    def test_an_overloaded_cold_host(self):
        """Overloading a cold host is a breach."""
        self.publish(2, "h2", "ready", 2)
        for index in range(70):
            self.add_receipt(5 + index / 25, f"k{index}", host="h2", is_cold=True)
        self.assertEqual(list(self.breaches()), ["no cold server pushed over"])

    def test_an_overload_before_the_planner_could_know_is_not_counted(self):
        """Overload before the endpoint list contains the host does not count."""
        self.publish(5, "h2", "ready", 2)
        for index in range(60):
            self.add_receipt(4 + index / 25, f"k{index}", host="h2", is_cold=True)
        self.assertEqual(self.breaches(), {})

    def test_one_message_over_the_limit_in_10_s(self):
        """One message more than allowed within the window is a breach."""
        for index in range(31):
            self.send_weight(2 + index * 0.34, 100 + index)
        self.assertEqual(self.breaches(), {})
        self.send_weight(12.0, 99)
        self.send_weight(12.05, 98)
        self.assertEqual(list(self.breaches()), ["messages to a relay"])

    def test_messages_are_counted_anew_after_a_planner_restart(self):
        """Messages from a planner and its successor are counted separately."""
        for index in range(40):
            self.send_weight(2 + index * 0.2, 100 + index)
        self.evidence.planner_starts.append(6 * SECOND)
        self.assertEqual(self.breaches(), {})

    def test_service_summary(self):
        """The service summary contains the earned share in total and in the worst 10 s."""
        for at in range(40):
            self.add_outcome(at, "ok", 2, 0 if 20 <= at < 30 else 2)
        self.assertEqual(
            [audit.summarize_service(self.evidence)[name] for name in ("whole", "worst_10_s")],
            [0.75, 0.0],
        )


if __name__ == "__main__":
    unittest.main()
