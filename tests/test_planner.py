"""The live planner without sockets: planner_host, roster, evidence, allowances, and conversations with relays."""

import copy
import json
import pathlib
import unittest

from hypothesis import given, settings
from hypothesis import strategies as some
from rig import SECOND, Loop, deployment_settings, server

from indigodeck.assignment.interface import ServerState
from indigodeck.json_documents import InvalidDocumentError
from indigodeck.planner import join_admission as arrivals
from indigodeck.planner.endpoint_list import EndpointList, parse_endpoint_list
from indigodeck.planner.health_inference import HealthInference
from indigodeck.planner.host_reports import HostReport
from indigodeck.planner.id_registry import IdRegistry
from indigodeck.planner.join_admission import JoinAdmission
from indigodeck.planner.message_quota import MessageQuota
from indigodeck.planner.planner_settings import PlannerSettings
from indigodeck.planner.weights import scaled


class Weights(unittest.TestCase):
    """Tables of real weights as whole numbers of 16 bits."""

    @settings(max_examples=200, deadline=None)
    @given(some.dictionaries(some.integers(0, 30), some.floats(1e-4, 1e4), min_size=1))
    def test_weights_of_16_bits_keep_proportions_and_lose_nobody(self, lines):
        told, total = scaled(lines), sum(lines.values())
        self.assertTrue(all(0 < weight <= 65535 for weight in told.values()))
        for key, weight in lines.items():
            self.assertAlmostEqual(told[key] / sum(told.values()), weight / total, delta=0.01)


class Lists(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.roster = EndpointList(self, IdRegistry(), ["a", "b"], ["std"], 5 * SECOND)

    def on_endpoint_update(self, kind, servers):
        self.calls.append(
            (kind, [(one.stable_id.decode(), one.state, one.started) for one in servers])
        )

    def on_stale_list(self, hosts):
        self.left_aside = hosts

    def fetch_endpoint_list(self):
        self.calls.append("ask")

    def note(self, event, **facts):
        self.calls.append((event, facts))

    def document(self, version, *hosts, **more):
        return dict(
            {
                "version": version,
                "hosts": [
                    {"id": name, "address": "127.0.0.1", "port": 9000, "state": state, "hall": "b"}
                    for name, state in hosts
                ],
            },
            **more,
        )

    def test_lists_late_twice_and_out_of_order(self):
        self.roster.apply_changes(self.document(3, ("x", "ready")))
        self.roster.apply_whole(self.document(4, ("x", "ready"), ("y", "ready")))
        self.roster.apply_changes(self.document(4, ("x", "gone")))
        self.roster.apply_changes(self.document(5, ("x", "draining")))
        self.roster.apply_changes(self.document(7, ("y", "gone")))
        self.roster.apply_whole(self.document(2, ("y", "ready")))
        self.roster.apply_whole(self.document(1, ("y", "ready"), epoch=1))
        self.assertEqual(
            self.calls,
            [
                "ask",
                ("cached", [("x", ServerState.READY, 0), ("y", ServerState.READY, 0)]),
                ("changes", [("x", ServerState.DRAINING, 0)]),
                "ask",
                ("endpoint_list_stale", {"version": 2, "held_version": 5}),
                ("whole", [("y", ServerState.READY, 0)]),
            ],
        )

    def test_a_host_that_says_it_is_quiet_drains_at_once_and_until_it_says_otherwise(self):
        self.roster.apply_whole(self.document(1, ("x", "ready")))
        self.assertTrue(self.roster.set_quiesced("127.0.0.1", 9000, True))
        self.roster.apply_whole(self.document(2, ("x", "ready")))
        self.roster.set_quiesced("127.0.0.1", 9000, False)
        self.assertEqual(
            [servers[0][1] for _, servers in self.calls],
            [ServerState.READY, ServerState.DRAINING, ServerState.DRAINING, ServerState.READY],
        )

    def test_bad_documents_say_the_place(self):
        for text, said in (
            ('{"version": 1}', "roster: 'hosts' is a required property"),
            ("{", "roster: no JSON"),
            (json.dumps(self.document(1, ("x", "ready"), ("x", "ready"))), "hosts/1/id"),
            (json.dumps(self.document(1, ("x", "up"))), "hosts/0/state"),
            (json.dumps(dict(self.document(1), colour=1)), "'colour' was unexpected"),
        ):
            with self.assertRaises(InvalidDocumentError) as caught:
                parse_endpoint_list(text)
            self.assertIn(said, str(caught.exception))

    def test_charters_name_the_place_of_what_is_wrong(self):
        text = (pathlib.Path(__file__).parent.parent / "examples/charter.json").read_text()
        self.assertEqual(PlannerSettings(json.loads(text)).deployment.channel.max_messages, 20)
        for place, value, said in (
            (("hall",), "hall-z", "hall: 'hall-z'"),
            (("classes", 0, "patience_ms"), 1, "classes/0/patience_ms"),
            (("rules", "colour"), 1, "rules: Additional"),
            (("channel", "answers_most"), 30, "channel/answers_most"),
            (("classes", 1, "name"), "reading", "classes/1/name"),
            (("seed",), "x", "seed"),
        ):
            broken = spot = json.loads(text)
            for step in place[:-1]:
                spot = spot[step]
            spot[place[-1]] = value
            with self.assertRaises(InvalidDocumentError) as caught:
                PlannerSettings(broken)
            self.assertIn(said, str(caught.exception))


class EvidenceOf(unittest.TestCase):
    def setUp(self):
        self.clock, self.met, self.brought = 0, {}, {}
        stated = deployment_settings(planner_zone=0)
        self.evidence = HealthInference(self, stated, 40, 16)
        self.evidence.on_endpoint_update([server(index) for index in range(6)])

    def now(self):
        return self.clock

    def on_load_report(self, report):
        self.met[report.server] = report.attempts, report.failures, report.mean_latency

    def on_demand_report(self, report):
        self.brought[report.proxy, report.class_index] = report.requests

    def second(self, reports=()):
        for _ in range(20):
            self.clock += SECOND // 20
            for index in self.evidence.due(self.clock):
                hung = index == 3
                self.evidence.on_check(
                    index, "silent" if hung else "ok", 2 * SECOND if hung else 300_000, self.clock
                )
        for index in range(6):
            self.evidence.on_host_report(
                index,
                HostReport(
                    0.01 if index == 3 else 0.5,
                    9 if index == 3 else 4,
                    200_000,
                    0.0 if index == 3 else 16.0,
                    0.0,
                    {} if index == 3 else {0: 12.0, 1: 4.0},
                ),
                self.clock,
            )
        self.met.clear()
        self.evidence.report()

    def test_a_hung_host_with_the_least_use_fails_what_it_holds(self):
        self.second()
        self.second()
        tries, failed, took = self.met[3]
        self.assertGreaterEqual(tries, 8)
        self.assertEqual((failed, took), (tries, 0))
        self.assertTrue(all(self.met[index][1] == 0 for index in (0, 1, 2, 4, 5)))

    def test_time_at_a_host_counts_waiting(self):
        self.evidence.on_host_report(0, HostReport(1.0, 30, 200_000, 10.0), 1)
        self.clock = SECOND
        self.evidence.report()
        self.assertEqual(self.met[0], (10, 0, 3 * SECOND))

    def test_demand_is_what_hosts_complete_and_its_sum_is_kept(self):
        for proxy in range(7):
            self.evidence.on_proxy_joined(proxy)
        self.second()
        self.second()
        self.assertEqual(
            [
                sum(many for (_, place), many in self.brought.items() if place == wanted)
                for wanted in (0, 1)
            ],
            [60, 20],
        )

    def test_suspects_are_tried_more_closely_and_all_within_the_budget(self):
        self.evidence.checks_per_second = 8
        sent = []
        for _ in range(40):
            self.clock += SECOND // 20
            chosen = self.evidence.due(self.clock)
            sent += chosen
            for index in chosen:
                self.evidence.on_check(index, "silent" if index == 3 else "ok", 1000, self.clock)
        self.assertLessEqual(len(sent), 8 * 2 + 8)
        self.assertGreaterEqual(sent.count(3), 4)
        self.assertEqual(set(sent), set(range(6)))

    def test_answers_that_waited_for_a_planner_that_stood_still_say_nothing_of_hosts(self):
        self.second()
        asked = self.evidence.due(self.clock + SECOND // 10)
        self.clock += 3 * SECOND  # stopped, with probes under way
        for index in asked:
            self.evidence.on_check(index, "ok", 3 * SECOND, self.clock)
        self.evidence.due(self.clock)
        for index in range(6):
            self.evidence.on_check(index, "silent", 2 * SECOND, self.clock + 1000)
        self.met.clear()
        self.evidence.report()
        self.assertEqual(self.met, {})
        self.second()
        self.assertLess(self.met[0][2], SECOND // 2)

    def test_late_reports_and_old_ones_say_nothing(self):
        self.evidence.on_host_report(0, HostReport(0, 1, 1, 5.0), 10 * SECOND)
        self.evidence.on_host_report(0, HostReport(0, 1, 1, 99.0), 9 * SECOND)
        self.clock = 20 * SECOND
        self.evidence.report()
        self.assertEqual(self.met, {})


class ArrivalsOf(unittest.TestCase):
    def setUp(self):
        self.loop, self.waiting, self.inside, self.away = Loop(), 0, [], []
        self.now, self.later = self.loop.now, self.loop.later
        self.arrivals = JoinAdmission(self, 1000)

    def waiting_lines(self):
        return self.waiting

    def lines_of_one_join(self):
        return 50

    def admit(self, relay):
        self.inside.append(relay)
        self.waiting += 50

    def reject(self, relay):
        self.away.append(relay)

    def test_all_that_come_at_once_are_let_in_as_the_channel_empties_first_come_first(self):
        for relay in range(100):
            self.arrivals.on_arrival(relay)
        self.arrivals.on_departure(5)
        self.arrivals.on_departure(90)
        most = self.waiting
        while len(self.inside) < 98 and self.loop.clock < 110 * SECOND:
            self.loop.run(0.02)
            most, self.waiting = max(most, self.waiting), max(0, self.waiting - 100)
        self.assertEqual(self.inside, [relay for relay in range(100) if relay not in (5, 90)])
        self.assertLessEqual(most, 400)

    def test_a_queue_that_never_empties_lets_one_in_now_and_then_and_is_never_overfilled(self):
        self.waiting = 700  # of relays that read nothing
        for relay in range(20):
            self.arrivals.on_arrival(relay)
        self.loop.run(10)
        self.assertEqual((self.inside, self.waiting), (list(range(6)), 1000))

    def test_no_more_wait_than_there_is_room_for(self):
        self.waiting = 1000
        for relay in range(arrivals.MAX_WAITING_PROXIES + 2):
            self.arrivals.on_arrival(relay)
        self.assertEqual(len(self.away), 2)


class Allowances(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(some.lists(some.tuples(some.integers(0, 3000), some.booleans()), max_size=80))
    def test_no_span_holds_more_than_is_allowed(self, wishes):
        allowance, clock, written = MessageQuota(7, 1000, 3), 0, []
        for gap, answer in wishes:
            clock += gap
            wait = allowance.answer_wait(clock) if answer else allowance.order_wait(clock)
            if wait == 0:
                allowance.on_written(clock, answer)
                written.append((clock, answer))
            else:
                self.assertTrue(0 < wait <= 1000)
                later = copy.deepcopy(allowance)
                self.assertEqual(
                    (later.answer_wait if answer else later.order_wait)(clock + wait), 0
                )
        for at, _ in written:
            within = [answer for other, answer in written if at - 1000 < other <= at]
            self.assertLessEqual(len(within), 7)
            self.assertLessEqual(sum(within), 3)


if __name__ == "__main__":
    unittest.main()
