"""Tests of the assigner host, which translates between the platform and the assigner."""

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
    """Passes events to the host; checks its orders, indices and log."""

    def setUp(self):
        """Create a host with an assigner, without sockets."""
        self.environment = FakeEnvironment()
        self.outbox = Outbox(self.environment.now, self.environment.log_event)
        self.host = EdgeAssignerHost(self.environment, self.outbox, SETTINGS, 7)

    def orders(self):
        """Accept the next call as a relay would, and return its orders."""
        if self.outbox.time_until_call() is None:
            return []
        call = json.loads(self.outbox.next_call())
        self.outbox.on_response(RelayState.answer(call, len(call["params"]["ops"])))
        return call["params"]["ops"]

    def join(self, *proxies):
        """Join proxies, and run the timers that are due."""
        for proxy in proxies:
            self.host.on_proxy_joined(ProxyJoined(proxy, 0, 5.0, True))
        self.environment.run(0.01)

    def test_orders_of_one_event_are_one_call(self):
        """A join produces one call: the lines, the table and one acknowledgement request."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1"), list_entry("s-2")), cached=True)
        self.join(3)
        kinds = [order["do"] for order in self.orders()]
        self.assertEqual(kinds[-1], "fence")
        self.assertIn("attach", kinds)
        self.assertEqual(kinds.count("put"), 4)
        self.assertEqual(self.orders(), [])

    def test_reports_and_acks_of_unknown_servers_and_requests_are_ignored(self):
        """A report of an unlisted server and an ack without a request are only counted."""
        self.host.on_outcome_report(OutcomeReport(0, "s-9", 3, 0, 1000, SECOND, None))
        self.host.on_ack(Ack(1, 77, 1000))
        self.assertEqual(self.host.ignored_messages, 2)
        self.assertFalse(self.host.assigner.state.health)

    def test_an_ack_older_than_its_request_is_ignored(self):
        """An ack whose delay is longer than its request is old is ignored."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1")), cached=True)
        self.join(3)
        number = next(iter(self.host.ack_requested_at))
        self.environment.run(1)
        self.host.on_ack(Ack(3, number, 50 * SECOND))
        self.assertEqual(self.host.ignored_messages, 1)
        self.host.on_ack(Ack(3, number, SECOND // 2))
        self.assertFalse(self.host.assigner.state.channel.pending_acks)

    def test_a_process_has_one_start_time_however_often_it_is_listed(self):
        """A start time in the future counts as now, and does not change when listed again."""
        ahead = self.environment.now() // 1000 + 5000
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1", started_ms=ahead)), cached=True)
        first = self.host.assigner.state.servers[0].started
        self.environment.run(2)
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1", started_ms=ahead), version=2))
        self.assertEqual(self.host.assigner.state.servers[0].started, first)
        self.assertLessEqual(first, self.environment.now())

    def test_an_invalid_entry_does_not_remove_its_server(self):
        """A server stays listed when its entry becomes invalid."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1"), list_entry("s-2")), cached=True)
        self.host.on_endpoint_list(
            endpoint_list(list_entry("s-1"), dict(list_entry("s-2"), share="much"), version=2)
        )
        self.assertEqual(sorted(self.host.assigner.state.servers), [0, 1])

    def test_an_exception_loses_only_one_message(self):
        """An exception in the assigner is logged, and the next event is handled."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1")), cached=True)

        def fail(*fields):
            raise KeyError("a fault in a handler")

        self.host.assigner.on_load_report = fail
        self.host.on_outcome_report(OutcomeReport(0, "s-1", 3, 0, 1000, SECOND, None))
        self.assertIn("message_lost", "".join(self.environment.printed))
        self.join(3)
        self.assertTrue(self.orders())

    def test_replaced_servers_are_forgotten(self):
        """When a server is replaced in each turn, the number of stored servers stays bounded."""
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
        self.assertEqual(len(self.host.servers), len(self.host.index_by_name))

    def test_timers_are_postponed_while_a_call_is_unanswered(self):
        """While a call is unanswered, timers are postponed, so that they add no orders."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1")), cached=True)
        self.join(3)
        self.outbox.next_call()  # stays unanswered
        waiting = len(self.environment.timers)
        self.environment.run(1)
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1"), list_entry("s-2"), version=2))
        self.environment.run(5)
        self.assertLessEqual(len(self.environment.timers), waiting + 2)
        self.assertTrue(self.outbox.is_backlogged())
        self.outbox.on_call_lost()
        self.assertTrue(self.orders())

    def test_a_health_check_from_before_a_restart_is_ignored(self):
        """The result of a health check from before a restart does not reach the assigner."""
        targets = []
        results = []
        self.environment.check_health = lambda target, address: targets.append(target)
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1", started_ms=5000)), cached=True)
        self.host.check_health(0)
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1", started_ms=9000), version=2))
        self.host.assigner.on_health_check = lambda *result: results.append(result)
        self.host.check_health(0)
        self.host.on_health_check(targets[0], HealthCheckOutcome.TIMED_OUT, 500_000, None)
        self.assertEqual(results, [])
        self.host.on_health_check(targets[1], HealthCheckOutcome.OK, 100, None)
        self.assertEqual(results, [(0, "ok", 100, None)])

    def test_a_server_gone_before_it_was_known_is_not_stored(self):
        """A server that is first listed as deleted gets no index."""
        self.host.on_endpoint_list(endpoint_list(list_entry("s-1")), cached=True)
        self.host.on_endpoint_list(
            endpoint_list(
                *[list_entry(f"s-{number}", state="DELETED") for number in range(2, 50)],
                version=2,
                complete=False,
            )
        )
        self.assertEqual(sorted(self.host.index_by_name), ["s-1"])
        self.assertEqual(len(self.host.servers), 1)


class DeploymentRun:
    """One deployment that runs a fixed sequence of steps, and records the orders of each call."""

    def __init__(self, document):
        settings = settings_from_object(document)
        self.zones = document["zones"]
        self.machine_types = document["hostTypes"]
        self.codec = MessageCodec(settings)
        self.environment = FakeEnvironment()
        self.outbox = Outbox(self.environment.now, self.environment.log_event)
        self.host = EdgeAssignerHost(self.environment, self.outbox, settings, 7)
        self.orders = []

    def run_step(self, step):
        """Run one step: an endpoint list, a join, reports, and the resulting calls."""
        entries = [
            dict(
                list_entry(f"s-{number}", zone=self.zones[number % len(self.zones)]),
                **{"class": self.machine_types[number % len(self.machine_types)]},
            )
            for number in range(step, 9 + step)
        ]
        answer = self.codec.read_endpoint_list(list_answer(*entries, version=step))
        self.host.on_endpoint_list(answer, cached=step == 0)
        self.host.on_proxy_joined(ProxyJoined(step, step % len(self.zones), 5.0, True))
        for number in range(9):
            failures = 30 if number == step % 3 else 0
            self.host.on_outcome_report(
                OutcomeReport(0, f"s-{number + step}", 40, failures, 90_000, SECOND, None)
            )
        self.environment.run(1)
        while self.outbox.time_until_call() is not None:
            call = json.loads(self.outbox.next_call())
            self.orders.append(call["params"]["ops"])
            self.outbox.on_response(RelayState.answer(call, len(call["params"]["ops"])))


class SeveralDeploymentsTest(unittest.TestCase):
    """Deployments that run in one process decide as each would alone."""

    OTHER = dict(
        PLATFORM_SETTINGS,
        zones=["x", "b", "c"],
        hostTypes=["m2", "m9"],
        classes=[
            dict(class_settings, name=f"{class_settings['name']}-2", deadlineMs=9000)
            for class_settings in reversed(PLATFORM_SETTINGS["classes"])
        ],
        domain=dict(PLATFORM_SETTINGS["domain"], proxies=40),
    )

    def run_deployments(self, *deployments):
        """Run the deployments in alternation, step by step; return the orders of each."""
        runs = [DeploymentRun(document) for document in deployments]
        for step in range(12):
            for run in runs:
                run.run_step(step)
        return [run.orders for run in runs]

    def test_deployments_side_by_side_give_the_same_orders_as_alone(self):
        """Deployments in one process share no state."""
        alone = [self.run_deployments(document)[0] for document in (PLATFORM_SETTINGS, self.OTHER)]
        self.assertNotEqual(*alone)
        self.assertEqual(self.run_deployments(self.OTHER, PLATFORM_SETTINGS), alone[::-1])
        self.assertEqual(
            self.run_deployments(PLATFORM_SETTINGS, self.OTHER, PLATFORM_SETTINGS),
            alone + alone[:1],
        )
