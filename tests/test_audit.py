"""The auditor must be able to fail: each rule's breach, and its nearest neighbour that is none."""

import dataclasses
import unittest

from rig import SECOND, deployment_settings

from indigodeck.frontends.sasp import codec
from indigodeck.frontends.sasp.codec import CONFIDENT, QUIESCED, Entry, Member
from indigodeck.testbed.audit import Day
from indigodeck.testbed.recording_proxy import Seen

FIGURES = deployment_settings(
    max_unserved_time=4 * SECOND,
    drain_grace=2 * SECOND,
    warm_up_time=10 * SECOND,
    overload_multiple=4,
    overload_time=3 * SECOND,
    max_messages=30,
    message_window=10 * SECOND,
)
WEB = Member.at("127.0.0.1", 80)


class Breaches(unittest.TestCase):
    def setUp(self):
        self.day = Day(FIGURES, ["read"], 0)
        self.day.starts.append(0)
        self.day.seen.append(Seen(SECOND, "r1", "joined", b""))
        self.day.told.append((0, "h1", "ready", -60 * SECOND))

    def broken(self):
        return {
            verdict.rule: [(at / SECOND, who) for at, who, _ in verdict.cases]
            for verdict in self.day.verdicts()
            if not verdict.kept
        }

    def write(self, at, weight, flags=CONFIDENT):
        self.day.seen.append(
            Seen(
                round(at * SECOND),
                "r1",
                "message",
                codec.send_weights(1, [((b"r1", b"read"), [Entry(WEB, weight, flags)])]),
            )
        )

    def receive(self, at, key="k", relay="r1", host="h1", **more):
        self.day.receipts.append(
            dict(
                {
                    "at": round(at * SECOND),
                    "host": host,
                    "relay": relay,
                    "key": key,
                    "try": 0,
                    "class": "read",
                    "work": 200_000,
                    "able": 1.0,
                    "cold": False,
                    "state": "begun",
                },
                **more,
            )
        )

    def test_a_quiet_day_breaks_nothing(self):
        self.write(2, 100)
        self.receive(3)
        self.assertEqual(self.broken(), {})

    def test_all_weights_withheld(self):
        self.write(2, 100)
        self.write(3, 0)
        self.write(8, 100)
        self.assertEqual(self.broken(), {"no proxy without a server": [(8.0, "r1")]})

    def test_nobody_to_pick_while_nobody_is_ready_is_no_breach(self):
        self.day.told.append((2 * SECOND, "h1", "draining", 0))
        self.write(3, 0, QUIESCED)
        self.write(9, 100)
        self.assertEqual(self.broken(), {})

    def test_clients_that_are_sent_nowhere(self):
        for at in range(2, 9):
            self.day.outcomes.append(
                {
                    "at": at * SECOND,
                    "relay": "r1",
                    "class": "read",
                    "outcome": "nowhere",
                    "asked": 1,
                    "earned": 0,
                }
            )
        self.assertIn((7.0, "r1"), self.broken()["no proxy without a server"])

    def test_orders_of_two_controllers(self):
        self.day.seen = [Seen(SECOND, "r1", "joined", b"", "c1")]
        self.day.charges = [(0, 16, "c1"), (3 * SECOND, 33, "c2")]
        told = codec.send_weights(1, [((b"r1", b"read"), [Entry(WEB, 5, CONFIDENT)])])
        refused = codec.send_weights(1, [])

        def see(at, what, by, data=b"", epoch=0):
            self.day.seen.append(Seen(round(at * SECOND), "r1", what, data, by, epoch))

        see(2, "message", "c1", told)
        see(3.5, "message", "c1", refused)
        see(4, "joined", "c2")
        see(4.1, "message", "c2", told, 33)
        self.assertEqual(self.broken(), {})
        see(4.5, "message", "c1", told)  # nobody follows it any more, and another is in charge
        see(4.6, "message", "c2", told, 16)
        self.assertEqual(
            self.broken(),
            {
                "one controller in charge": [(4.5, "c1")],
                "each relay follows one controller": [(4.5, "r1"), (4.5, "r1"), (4.6, "r1")],
            },
        )

    def test_a_repeated_effect(self):
        self.receive(3)
        self.receive(4, host="h2")
        self.assertEqual(self.broken(), {"no effect twice": [(4.0, "r1")]})

    def test_what_was_turned_away_may_be_tried_again(self):
        self.receive(3, state="full")
        self.receive(4, host="h2")
        self.assertEqual(self.broken(), {})

    def test_a_relay_that_ignores_a_drain(self):
        self.day.told.append((5 * SECOND, "h1", "draining", 0))
        self.receive(6.9)
        self.assertEqual(self.broken(), {})
        self.receive(7.1, "k2")
        self.assertEqual(self.broken(), {"drains kept": [(7.1, "r1")]})

    def test_a_relay_that_was_cut_off_or_has_just_joined_is_not_judged(self):
        self.day.told.append((5 * SECOND, "h1", "draining", 0))
        self.day.seen += [
            Seen(6 * SECOND, "r1", "left", b""),
            Seen(12 * SECOND, "r1", "joined", b""),
        ]
        self.receive(9)
        self.receive(13, "k2")
        self.assertEqual(self.broken(), {})

    def test_gone_alone_binds_only_where_the_charter_says(self):
        self.day.told.append((5 * SECOND, "h1", "gone", 0))
        self.receive(9)
        self.assertEqual(list(self.broken()), ["drains kept"])
        self.day.figures = dataclasses.replace(FIGURES, removal_is_final=False)
        self.assertEqual(self.broken(), {})

    def test_a_planner_that_started_later_is_told_by_its_own_first_list(self):
        self.day.told += [(5 * SECOND, "h1", "draining", 0), (9 * SECOND, "h1", "draining", 0)]
        self.day.starts.append(8 * SECOND)
        self.day.seen += [
            Seen(7 * SECOND, "r1", "left", b""),
            Seen(8.5 * SECOND, "r1", "joined", b""),
        ]
        self.receive(10.8)
        self.assertEqual(self.broken(), {})
        self.receive(11.2, "k2")
        self.assertEqual(list(self.broken()), ["drains kept"])

    def test_a_cold_host_that_is_flooded(self):
        self.day.told.append((2 * SECOND, "h2", "ready", 2 * SECOND))
        for nth in range(70):
            self.receive(5 + nth / 25, f"k{nth}", host="h2", cold=True)
        self.assertEqual(list(self.broken()), ["no cold server pushed over"])

    def test_a_flood_before_the_planner_could_know_is_not_its_own(self):
        self.day.told.append((5 * SECOND, "h2", "ready", 2 * SECOND))
        for nth in range(60):
            self.receive(4 + nth / 25, f"k{nth}", host="h2", cold=True)
        self.assertEqual(self.broken(), {})

    def test_31_messages_in_10_s(self):
        for nth in range(31):
            self.write(2 + nth * 0.34, 100 + nth)
        self.assertEqual(self.broken(), {})
        self.write(12.0, 99)
        self.write(12.05, 98)
        self.assertEqual(list(self.broken()), ["messages to a relay"])

    def test_messages_of_a_planner_that_started_anew_count_anew(self):
        for nth in range(40):
            self.write(2 + nth * 0.2, 100 + nth)
        self.day.starts.append(6 * SECOND)
        self.assertEqual(self.broken(), {})

    def test_service_counts_credit_and_the_worst_10_s(self):
        for at in range(40):
            self.day.outcomes.append(
                {
                    "at": at * SECOND,
                    "relay": "r1",
                    "class": "read",
                    "outcome": "ok",
                    "asked": 2,
                    "earned": 0 if 20 <= at < 30 else 2,
                }
            )
        self.assertEqual(
            [self.day.service()[name] for name in ("whole", "worst_10_s")], [0.75, 0.0]
        )


if __name__ == "__main__":
    unittest.main()
