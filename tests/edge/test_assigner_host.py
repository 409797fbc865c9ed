"""The assigner host: the platform's ids and messages on one side, the assigner on the other."""

import json
import unittest

from harness import SECOND

from edge.stand_ins import (
    PLATFORM_SETTINGS,
    SETTINGS,
    FakeEnvironment,
    RelayState,
    endpoint_list,
    list_answer,
    list_entry,
)
from indigodeck.assignment.interface import HealthCheckOutcome
from indigodeck.edge.assigner_host import EdgeAssignerHost
from indigodeck.edge.codec import MessageCodec
from indigodeck.edge.messages import Ack, OutcomeReport, ProxyJoined
from indigodeck.edge.outbox import Outbox
from indigodeck.settings import settings_from_object


class EdgeAssignerHostTest(unittest.TestCase):
    """Events in, and what they come to in orders, indices and the log."""

    def setUp(self):
        """Make a host with an assigner, no sockets."""
        self.environment = FakeEnvironment()
        self.outbox = Outbox(self.environment.now, self.environment.log_event)
        self.host = EdgeAssignerHost(self.environment, self.outbox, SETTINGS, 7)

    def orders(self):
        """Take the next call as a relay, and return its orders."""
        if self.outbox.time_until_call() is None:
            return []
        call = json.loads(self.outbox.next_call())
        self.outbox.on_response(RelayState.answer(call, len(call["params"]["ops"])))
        return call["params"]["ops"]

    def join(self, *proxies):
        """Join proxies, and let the assigner act."""
        for proxy in proxies:
            self.host.on_proxy_joined(ProxyJoined(proxy, 0, 5.0, True))
        self.environment.run(0.01)

    def test_orders_of_one_event_are_one_call(self):
        """A joining gives one call: its lines, its table and one acknowledgement request."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1"), list_entry("s-2")), cached=True)
        self.join(3)
        kinds = [order["do"] for order in self.orders()]
        self.assertEqual(kinds[-1], "fence")
        self.assertIn("attach", kinds)
        self.assertEqual(kinds.count("put"), 4)
        self.assertEqual(self.orders(), [])

    def test_reports_and_acks_of_unknown_things_are_ignored(self):
        """A report of an unlisted server and an ack of no request are counted, no more."""
        self.host.on_outcome_report(OutcomeReport(0, "s-9", 3, 0, 1000, SECOND, None))
        self.host.on_ack(Ack(1, 77, 1000))
        self.assertEqual(self.host.ignored_messages, 2)
        self.assertFalse(self.host.assigner.state.health)

    def test_an_ack_older_than_its_request_is_ignored(self):
        """An ack that claims a longer delay than its request is old does not count."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1")), cached=True)
        self.join(3)
        number = next(iter(self.host.ack_requested_at))
        self.environment.run(1)
        self.host.on_ack(Ack(3, number, 50 * SECOND))
        self.assertEqual(self.host.ignored_messages, 1)
        self.host.on_ack(Ack(3, number, SECOND // 2))
        self.assertFalse(self.host.assigner.state.channel.pending_acks)

    def test_a_process_has_one_start_time_however_often_it_is_listed(self):
        """A start in the future counts as now, and stays what it was at first."""
        ahead = self.environment.now() // 1000 + 5000
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1", started_ms=ahead)), cached=True)
        first = self.host.assigner.state.servers[0].started
        self.environment.run(2)
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1", started_ms=ahead), version=2))
        self.assertEqual(self.host.assigner.state.servers[0].started, first)
        self.assertLessEqual(first, self.environment.now())

    def test_an_unusable_entry_says_nothing_against_its_server(self):
        """A server whose entry can no longer be read stays listed."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1"), list_entry("s-2")), cached=True)
        self.host.on_endpoint_list(
            endpoint_list(list_entry("s-1"), dict(list_entry("s-2"), share="much"), version=2)
        )
        self.assertEqual(sorted(self.host.assigner.state.servers), [0, 1])

    def test_a_fault_loses_one_message(self):
        """An exception in the assigner is logged, and the next event is handled."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1")), cached=True)

        def fail(*fields):
            raise KeyError("what any fault looks like")

        self.host.assigner.on_load_report = fail
        self.host.on_outcome_report(OutcomeReport(0, "s-1", 3, 0, 1000, SECOND, None))
        self.assertIn("message_lost", "".join(self.environment.printed))
        self.join(3)
        self.assertTrue(self.orders())

    def test_replaced_servers_are_forgotten(self):
        """With a server replaced each turn, what is kept stays bounded."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-0"), list_entry("s-1")), cached=True)
        self.join(3, 4)
        sizes = []
        for turn in range(2, 120):
            self.host.on_endpoint_list(
                endpoint_list(
                    list_entry(f"s-{turn - 2}", state="DELETED"),
                    list_entry(f"s-{turn}"),
                    version=turn,
                    complete=False,
                )
            )
            for request in [order for order in self.orders() if order["do"] == "fence"]:
                self.environment.run(0.2)
                self.host.on_ack(Ack(3, request["nonce_out"], SECOND // 5))
            self.environment.run(2)
            assigner = self.host.assigner
            sizes.append(
                (len(self.host.servers), len(assigner.state.health), len(assigner.state.ejected))
            )
        self.assertLessEqual(max(max(size) for size in sizes[60:]), 20, sizes[-1])
        self.assertEqual(len(self.host.servers), len(self.host.index_of))

    def test_timers_wait_while_the_relay_takes_no_orders(self):
        """While a call is unanswered, timers wait instead of adding orders."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1")), cached=True)
        self.join(3)
        self.outbox.next_call()  # and no answer
        waiting = len(self.environment.timers)
        self.environment.run(1)
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1"), list_entry("s-2"), version=2))
        self.environment.run(5)
        self.assertLessEqual(len(self.environment.timers), waiting + 2)
        self.assertTrue(self.outbox.is_behind())
        self.outbox.on_call_lost()
        self.assertTrue(self.orders())

    def test_a_health_check_of_a_former_process_is_ignored(self):
        """The result of a check that began before a restart does not reach the assigner."""
        checked = []
        results = []
        self.environment.check_health = lambda process, address: checked.append(process)
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1", started_ms=5000)), cached=True)
        self.host.check_health(0)
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1", started_ms=9000), version=2))
        self.host.assigner.on_health_check = lambda *found: results.append(found)
        self.host.check_health(0)
        self.host.on_health_check(checked[0], HealthCheckOutcome.TIMED_OUT, 500_000, None)
        self.assertEqual(results, [])
        self.host.on_health_check(checked[1], HealthCheckOutcome.OK, 100, None)
        self.assertEqual(results, [(0, "ok", 100, None)])

    def test_a_server_gone_before_it_was_known_is_not_kept(self):
        """Entries of servers that are already gone take no index."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1")), cached=True)
        self.host.on_endpoint_list(
            endpoint_list(
                *[list_entry(f"s-{number}", state="DELETED") for number in range(2, 50)],
                version=2,
                complete=False,
            )
        )
        self.assertEqual(sorted(self.host.index_of), ["s-1"])
        self.assertEqual(len(self.host.servers), 1)


class DeploymentPlayer:
    """One deployment that plays the same turns each time, and keeps its orders call by call."""

    def __init__(self, stated):
        settings = settings_from_object(stated)
        self.zones = stated["zones"]
        self.machine_types = stated["hostTypes"]
        self.codec = MessageCodec(settings)
        self.environment = FakeEnvironment()
        self.outbox = Outbox(self.environment.now, self.environment.log_event)
        self.host = EdgeAssignerHost(self.environment, self.outbox, settings, 7)
        self.orders = []

    def play(self, turn):
        """Play one turn: a list, a joining, reports, and what is ordered."""
        entries = [
            dict(
                list_entry(f"s-{number}", zone=self.zones[number % len(self.zones)]),
                **{"class": self.machine_types[number % len(self.machine_types)]},
            )
            for number in range(turn, 9 + turn)
        ]
        found = self.codec.read_endpoint_list(list_answer(*entries, version=turn))
        self.host.on_endpoint_list(found, cached=turn == 0)
        self.host.on_proxy_joined(ProxyJoined(turn, turn % len(self.zones), 5.0, True))
        for number in range(9):
            failures = 30 if number == turn % 3 else 0
            self.host.on_outcome_report(
                OutcomeReport(0, f"s-{number + turn}", 40, failures, 90_000, SECOND, None)
            )
        self.environment.run(1)
        while self.outbox.time_until_call() is not None:
            call = json.loads(self.outbox.next_call())
            self.orders.append(call["params"]["ops"])
            self.outbox.on_response(RelayState.answer(call, len(call["params"]["ops"])))


class SeveralDeploymentsTest(unittest.TestCase):
    """Two deployments in one process, and one after the other, decide as each alone does."""

    OTHER = dict(
        PLATFORM_SETTINGS,
        zones=["x", "b", "c"],
        hostTypes=["m2", "m9"],
        classes=[
            dict(kind, name=f"{kind['name']}-2", deadlineMs=9000)
            for kind in reversed(PLATFORM_SETTINGS["classes"])
        ],
        domain=dict(PLATFORM_SETTINGS["domain"], proxies=40),
    )

    def play(self, *deployments):
        """Play all of them step by step in turn; return the orders of each."""
        players = [DeploymentPlayer(stated) for stated in deployments]
        for turn in range(12):
            for player in players:
                player.play(turn)
        return [player.orders for player in players]

    def test_deployments_side_by_side_order_what_each_does_alone(self):
        """No state is shared between two deployments of one process."""
        alone = [self.play(stated)[0] for stated in (PLATFORM_SETTINGS, self.OTHER)]
        self.assertNotEqual(*alone)
        self.assertEqual(self.play(self.OTHER, PLATFORM_SETTINGS), alone[::-1])
        self.assertEqual(
            self.play(PLATFORM_SETTINGS, self.OTHER, PLATFORM_SETTINGS), alone + alone[:1]
        )
