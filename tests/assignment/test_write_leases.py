"""Exclusive owners of key ranges: no write reaches a former owner after a later one."""

import unittest

from edge.stand_ins import PLATFORM_SETTINGS
from harness import RecordingHost, server

from assignment.ownership_simulation import (
    KEY_RANGE,
    STEP,
    WRITE_LEASE,
    OwnershipSimulation,
    exclusive_settings,
)
from assignment.scenarios import fleet
from indigodeck.assignment.interface import ServerState, UpdateKind
from indigodeck.clock import MILLISECOND, SECOND
from indigodeck.settings import settings_from_object

MINUTE = 60 * SECOND
SEEDS = 40


def host_with_owner(proxies, owner=1, expected_proxies=None):
    """Return a host without automatic acknowledgements whose key range is held by `owner`."""
    host = RecordingHost(exclusive_settings(expected_proxies or proxies))
    host.clock = 60 * SECOND
    host.ack_delay = None
    host.start(fleet(4), proxies=proxies)
    host.assigner.on_key_range_assigned(KEY_RANGE, True)
    host.assigner.on_key_range_server(KEY_RANGE, owner, 1.0)
    host.run(WRITE_LEASE / SECOND + 1)
    return host


def acknowledge(host, *proxies, number=None):
    """Let proxies acknowledge a request, by default the last one."""
    for proxy in proxies:
        host.assigner.on_ack(
            proxy, number or host.assigner.state.channel.last_ack_number, SECOND // 5
        )


def move_time(host, limit=10):
    """Run until the key range has a new owner; return the microseconds that it took."""
    began = host.clock
    while not host.tables and host.clock < began + limit * SECOND:
        host.run(0.05)
    return host.clock - began


class HandoverTest(unittest.TestCase):
    """When a key range of a draining owner gets the next one."""

    def test_lease_is_read_from_the_settings(self):
        """The wire gives it in milliseconds."""
        domain = {**PLATFORM_SETTINGS["domain"], "writeLeaseMs": 2500.0}
        settings = settings_from_object({**PLATFORM_SETTINGS, "domain": domain})
        self.assertEqual(settings.write_lease, 2500 * MILLISECOND)

    def test_confirmed_ejection_does_not_wait_for_the_lease(self):
        """If all proxies have confirmed, the next owner is named after the delivery delay."""
        host = host_with_owner(proxies=3)
        host.update_servers(server(1, ServerState.DRAINING))
        host.run(0.2)
        acknowledge(host, 0, 1, 2)
        self.assertLess(move_time(host), 3 * SECOND // 2)

    def test_cut_off_proxy_delays_the_next_owner_until_its_lease_ends(self):
        """Guards against review/6: the next owner was named while a cut-off proxy still wrote."""
        for told_at in (-SECOND, -SECOND // 5, 0, SECOND // 4):
            with self.subTest(told_at=told_at):
                host = host_with_owner(proxies=3)
                if told_at <= 0:
                    host.assigner.on_proxy_left(2)
                    host.run(-told_at / SECOND)
                host.update_servers(server(1, ServerState.DRAINING))
                host.run(max(0, told_at) / SECOND)
                if told_at > 0:
                    host.assigner.on_proxy_left(2)
                acknowledge(host, 0, 1)
                lease_left = WRITE_LEASE + min(0, told_at)
                self.assertGreaterEqual(move_time(host), lease_left)

    def test_unconfirmed_ejection_is_taken_for_a_broken_stream(self):
        """A proxy that is silent may have lost its stream before the ejection reached it."""
        host = host_with_owner(proxies=3)
        host.update_servers(server(1, ServerState.DRAINING))
        acknowledge(host, 0, 1)
        took = move_time(host)
        self.assertGreaterEqual(
            took, WRITE_LEASE + host.assigner.settings.channel.max_delivery_delay
        )
        self.assertLess(took, WRITE_LEASE + 2 * SECOND)
        logged = [line for line in host.recorded if "owner_replaced" in line]
        self.assertEqual(len(logged), 1)
        self.assertIn("table=2 former=1", logged[0])
        self.assertTrue(logged[0].endswith("leases_ended=1"))

    def test_returning_proxy_is_told_of_the_ejection_and_has_to_confirm_it(self):
        """It reads the former owner from the store, and earlier orders have not reached it."""
        host = host_with_owner(proxies=3)
        host.update_servers(server(1, ServerState.DRAINING))
        former_request = host.assigner.state.channel.last_ack_number
        acknowledge(host, 0, 1)
        host.assigner.on_proxy_left(2)
        host.run(1)
        host.recorded.clear()
        host.assigner.on_proxy_joined(2, 0, 1.0, False)
        host.run(0.1)
        self.assertTrue(any("eject server 1" in line for line in host.recorded))
        acknowledge(host, 2, number=former_request)
        host.run(1)
        self.assertFalse(host.tables)
        acknowledge(host, 0, 1, 2)
        self.assertLess(move_time(host), SECOND // 2)

    def test_restarted_planner_waits_for_the_leases_of_proxies_that_have_not_joined(self):
        """They lost their streams when the former process ended."""
        host = RecordingHost(exclusive_settings(proxies=3))
        host.assigner.on_endpoint_update(UpdateKind.CACHED, fleet(4)[2:])
        host.assigner.on_key_range_assigned(KEY_RANGE, True)
        host.assigner.on_key_range_server(KEY_RANGE, 1, 1.0)
        self.assertGreaterEqual(move_time(host), WRITE_LEASE)

    def test_restarted_planner_ends_no_ejection_before_the_leases_from_its_former_process(self):
        """The former process may have replaced an owner, and not all proxies know the next one."""
        host = RecordingHost(exclusive_settings(proxies=2))
        host.ack_delay = None
        host.start([server(1, ServerState.DRAINING), server(2)])
        started_at = host.clock
        host.assigner.on_key_range_assigned(KEY_RANGE, True)
        host.assigner.on_key_range_server(KEY_RANGE, 2, 1.0)
        host.run(1)
        host.update_servers(server(1))
        host.run(WRITE_LEASE / SECOND)
        unejected_at = host.times_of("uneject server")[1]
        self.assertGreaterEqual(unejected_at - started_at, WRITE_LEASE)

    def test_key_range_of_another_planner_waits_for_the_leases_of_its_proxies(self):
        """A proxy that this planner has never met may write to the owner it knows."""
        host = host_with_owner(proxies=2, expected_proxies=3)
        host.assigner.on_key_range_assigned(KEY_RANGE, False)
        host.update_servers(server(1, ServerState.DRAINING))
        acknowledge(host, 0, 1)
        host.run(3)
        host.assigner.on_key_range_assigned(KEY_RANGE, True)
        host.assigner.on_key_range_server(KEY_RANGE, 1, 1.0)
        host.run(0.3)
        acknowledge(host, 0, 1)
        self.assertGreaterEqual(move_time(host) + 3 * SECOND // 10, WRITE_LEASE)

    def test_former_acknowledgements_do_not_count_for_a_key_range_of_another_planner(self):
        """A proxy that has not learned of the move follows the other planner, for its lease."""
        host = host_with_owner(proxies=2)
        host.assigner.on_endpoint_update(UpdateKind.FULL, fleet(2)[:1])
        acknowledge(host, 0, 1)
        host.run(0.1)
        host.assigner.on_key_range_assigned(3, True)
        host.assigner.on_key_range_server(3, 1, 1.0)
        host.run(2)
        self.assertNotIn(3, host.tables)
        host.run(1)
        self.assertIn(3, host.tables)

    def test_former_owner_stays_ejected_until_no_lease_names_it_any_more(self):
        """A proxy that returns writes to the owner it knew until it has read the store."""
        host = host_with_owner(proxies=3)
        host.update_servers(server(1, ServerState.DRAINING))
        acknowledge(host, 0, 1, 2)
        host.assigner.on_proxy_left(2)
        lease_end = host.clock + WRITE_LEASE
        move_time(host)
        acknowledge(host, 0, 1)
        host.update_servers(server(1))
        host.assigner.on_proxy_joined(2, 0, 1.0, False)
        host.run((lease_end - host.clock) / SECOND)
        self.assertNotIn(1, host.times_of("uneject server"))
        host.run(0.5)
        self.assertIn(1, host.times_of("uneject server"))

    def test_former_owner_is_used_again_once_all_proxies_know_the_next_one(self):
        """They all confirm the next owner, so nobody's lease has to end."""
        host = host_with_owner(proxies=2)
        host.update_servers(server(1, ServerState.DRAINING))
        acknowledge(host, 0, 1)
        move_time(host)
        moved_at = host.clock
        host.update_servers(server(1))
        host.run(0.2)
        self.assertNotIn(1, host.times_of("uneject server"))
        acknowledge(host, 0, 1)
        host.run(WRITE_LEASE / SECOND)
        unejected_at = host.times_of("uneject server")[1]
        self.assertLess(unejected_at - moved_at, 3 * SECOND // 2)

    def test_departed_owner_without_a_substitute_stays_ejected(self):
        """A server that still holds a key range is not forgotten, and others are."""
        host = host_with_owner(proxies=2)
        host.assigner.on_endpoint_update(UpdateKind.FULL, [])
        host.run(60)
        self.assertEqual(host.assigner.state.ejected, {1})
        self.assertFalse(host.assigner.delivery.joining)


class ChanceEventsTest(unittest.TestCase):
    """Streams break and return, servers drain and return, and planners restart, by seed."""

    def play_all(self, planners):
        """Play a minute for each seed: no write may be late, and owners must move often enough."""
        moves = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = OwnershipSimulation(seed, proxies=6, planners=planners)
                simulation.run(MINUTE // STEP)
                self.assertEqual(simulation.breaks, [])
                moves += len(simulation.accepted) - 1
        self.assertGreater(moves, 2 * SEEDS)

    def test_no_write_reaches_a_former_owner_after_a_later_one(self):
        """Guards against review/6 with events at any time."""
        self.play_all(planners=1)

    def test_no_write_is_late_while_the_key_range_changes_hands_between_planners(self):
        """Guards against review/6 with two planners, which take the key range from each other."""
        self.play_all(planners=2)
