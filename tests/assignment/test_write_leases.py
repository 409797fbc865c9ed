"""Exclusive owners of key ranges: no write reaches a former owner after a later one."""

import random
import unittest

from edge.stand_ins import PLATFORM_SETTINGS
from harness import RecordingHost, deployment_settings, server

from assignment.scenarios import fleet
from indigodeck.assignment.interface import ServerState, UpdateKind
from indigodeck.clock import MILLISECOND, SECOND
from indigodeck.settings import settings_from_object

WRITE_LEASE = 5 * SECOND // 2
KEY_RANGE = 2


def exclusive_settings(proxies, **changes):
    """Return settings with exclusive owners and a write lease."""
    return deployment_settings(
        key_range_count=8,
        exclusive_ownership=True,
        write_lease=WRITE_LEASE,
        write_settle_time=SECOND // 50,
        proxy_count=proxies,
        **changes,
    )


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

    def test_departed_owner_without_a_substitute_stays_ejected(self):
        """A server that still holds a key range is not forgotten, and others are."""
        host = host_with_owner(proxies=2)
        host.assigner.on_endpoint_update(UpdateKind.FULL, [])
        host.run(60)
        self.assertEqual(host.assigner.state.ejected, {1})
        self.assertFalse(host.assigner.delivery.joining)


class SimulatedProxy:
    """A proxy: the owner of the key range as it knows it, and its right to write."""

    def __init__(self, number):
        self.number = number
        self.joined = False
        self.stream = 0  # counts the streams, so that messages of a broken one are lost
        self.owner = None
        self.withdrawn = set()
        self.writes_until = None
        self.next_arrival = 0


class SimulatedOwnership(RecordingHost):
    """Proxies that write to the owner of one key range all the time, while streams break.

    `breaks` lists the writes that reached a former owner after a later one.
    """

    STEP = SECOND // 50

    def __init__(self, seed, proxies):
        self.random = random.Random(seed)
        self.events = []
        self.event_count = 0
        self.store = 1
        self.states = dict.fromkeys(range(5), ServerState.READY)
        self.owners_in_order = []
        self.breaks = []
        self.proxies = [SimulatedProxy(number) for number in range(proxies)]
        super().__init__(exclusive_settings(proxies))
        self.begin()

    def begin(self):
        """Give the planner the fleet and the key range."""
        servers = [server(index, state) for index, state in self.states.items()]
        self.assigner.on_endpoint_update(UpdateKind.CACHED, servers)
        self.assigner.on_key_range_assigned(KEY_RANGE, True)
        self.assigner.on_key_range_server(KEY_RANGE, self.store, 1.0)

    def later(self, delay, action, *arguments):
        """Call `action` after a delay."""
        self.event_count += 1
        self.events.append((self.clock + delay, self.event_count, action, arguments))

    def deliver(self, action, *arguments):
        """Send something to each joined proxy, in the order of sending."""
        for proxy in self.proxies:
            if proxy.joined:
                delay = self.random.randrange(SECOND // 20, SECOND // 2)
                proxy.next_arrival = max(proxy.next_arrival + 1, self.clock + delay)
                self.later(
                    proxy.next_arrival - self.clock,
                    self.arrive, proxy, proxy.stream, action, arguments,
                )  # fmt: skip

    def arrive(self, proxy, stream, action, arguments):
        """Apply a message, unless the stream that it was sent on has broken."""
        if proxy.joined and proxy.stream == stream:
            action(proxy, *arguments)

    def set_weight(self, table, server_index, weight):
        """Name a new owner in the store and to the joined proxies."""
        super().set_weight(table, server_index, weight)
        self.store = server_index
        self.deliver(lambda proxy: setattr(proxy, "owner", server_index))

    def eject_server(self, server_index):
        """Withdraw a server at the joined proxies."""
        super().eject_server(server_index)
        self.deliver(lambda proxy: proxy.withdrawn.add(server_index))

    def uneject_server(self, server_index):
        """Let the joined proxies use a server again."""
        super().uneject_server(server_index)
        self.deliver(lambda proxy: proxy.withdrawn.discard(server_index))

    def request_ack(self, number, all_proxies):
        """Let each joined proxy acknowledge what it has applied."""
        assigner = self.assigner
        self.deliver(lambda proxy: assigner.on_ack(proxy.number, number, SECOND // 5))

    def join(self, proxy):
        """Establish a proxy's stream; it reads the store within a second."""
        proxy.joined = True
        proxy.stream += 1
        self.assigner.on_proxy_joined(proxy.number, 0, 1.0, False)
        self.later(
            self.random.randrange(SECOND), self.arrive, proxy, proxy.stream, self.read_store, ()
        )

    def read_store(self, proxy):
        """Let a proxy learn the owner from the store; its right to write has no end again."""
        proxy.owner = self.store
        proxy.writes_until = None

    def break_stream(self, proxy):
        """Break a proxy's stream; it keeps its right to write for the lease, if it had one."""
        proxy.joined = False
        lease_end = self.clock + WRITE_LEASE
        proxy.writes_until = min(lease_end, proxy.writes_until or lease_end)

    def cut(self, proxy):
        """Break a proxy's stream; the planner notices later, and the proxy dials again."""
        self.break_stream(proxy)
        noticed_after = self.random.randrange(SECOND // 2, 9 * SECOND // 5)
        self.later(noticed_after, self.assigner.on_proxy_left, proxy.number)
        redial_after = noticed_after + self.random.randrange(SECOND, 4 * SECOND)
        self.later(redial_after, self.join, proxy)

    def restart(self):
        """Replace the planner by a new process; all streams break and are dialled again."""
        self.timers.clear()
        self.events.clear()
        self.assigner = type(self.assigner)(self, self.assigner.settings, 7)
        self.begin()
        for proxy in self.proxies:
            if proxy.joined:
                self.break_stream(proxy)
            self.later(self.random.randrange(SECOND, 4 * SECOND), self.join, proxy)

    def turn_server(self):
        """Drain a server, most often the owner, or list it as ready again."""
        index = self.store if self.random.random() < 0.7 else self.random.randrange(5)
        ready = self.states[index] == ServerState.READY
        self.states[index] = ServerState.DRAINING if ready else ServerState.READY
        self.update_servers(server(index, self.states[index]))

    def step(self):
        """Advance by one step, with chance events; each proxy writes once."""
        self.run(self.STEP / SECOND)
        for event in sorted(event for event in self.events if event[0] <= self.clock):
            if event in self.events:
                self.events.remove(event)
                _, _, action, arguments = event
                action(*arguments)
        if self.random.random() < 0.004:
            self.turn_server()
        if self.random.random() < 0.0003:
            self.restart()
        for proxy in self.proxies:
            if proxy.joined and self.random.random() < 0.002:
                self.cut(proxy)
            self.write(proxy)

    def write(self, proxy):
        """Let a proxy write, if it may, and check the order of owners."""
        if proxy.writes_until is not None and self.clock > proxy.writes_until:
            return
        if proxy.owner is None or proxy.owner in proxy.withdrawn:
            return
        if self.owners_in_order[-1:] == [proxy.owner]:
            return
        if proxy.owner == self.store:
            self.owners_in_order.append(proxy.owner)
        else:
            self.breaks.append((self.clock, proxy.number, proxy.owner, self.store))


class ChanceEventsTest(unittest.TestCase):
    """Streams break and return, servers drain and return, and planners restart, by seed."""

    def test_no_write_reaches_a_former_owner_after_a_later_one(self):
        """Guards against review/6 with events at any time."""
        moves = 0
        for seed in range(12):
            with self.subTest(seed=seed):
                platform = SimulatedOwnership(seed, proxies=6)
                for proxy in platform.proxies:
                    platform.join(proxy)
                for _ in range(3000):
                    platform.step()
                self.assertEqual(platform.breaks, [])
                moves += len(platform.owners_in_order) - 1
        self.assertGreater(moves, 40)
