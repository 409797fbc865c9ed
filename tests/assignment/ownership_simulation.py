"""Proxies that write to the exclusive owner of a key range, for planners under test.

Streams break and return, servers drain and return, planners restart, and the key range changes
hands between them, by seed. Every proxy has a stream to each planner.
"""

import random

from harness import RecordingHost, deployment_settings, server

from indigodeck.assignment.interface import ServerState, UpdateKind
from indigodeck.clock import SECOND

WRITE_LEASE = 5 * SECOND // 2
KEY_RANGE = 2
SERVERS = 5
STEP = SECOND // 50

# Chances of each event in one step.
TURN_CHANCE = 0.004
RESTART_CHANCE = 0.0003
HANDOVER_CHANCE = 0.004
CUT_CHANCE = 0.002  # for each stream


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


class SimulatedStream:
    """A proxy's stream to one planner.

    `number` counts the streams between the two, so that messages of a broken one are lost.
    `withdrawn` are the servers that the planner has ejected at the proxy, on this stream or earlier
    ones.
    """

    def __init__(self):
        self.joined = False
        self.number = 0
        self.next_arrival = 0
        self.withdrawn = set()


class SimulatedProxy:
    """A proxy: the owner and the planner of the key range as it knows them.

    Its right to write ends at `writes_until`, or does not end if that is None.
    """

    def __init__(self, number, planners):
        self.number = number
        self.streams = [SimulatedStream() for _ in range(planners)]
        self.owner = None
        self.planner = None
        self.writes_until = None

    def limit_writes(self, until):
        """Let the right to write end at `until`, unless it ends sooner."""
        self.writes_until = until if self.writes_until is None else min(until, self.writes_until)

    def learn_owner(self, owner):
        """Apply an order that names a new owner; before the first reading it means nothing."""
        if self.planner is not None:
            self.owner = owner

    def may_write(self, now):
        """Return whether it sends writes to the owner that it knows."""
        if self.owner is None or self.owner in self.streams[self.planner].withdrawn:
            return False
        return self.writes_until is None or now <= self.writes_until


class SimulatedPlanner(RecordingHost):
    """One planner; its orders travel to the proxies with a stream to it.

    `process` counts its processes, so that what was meant for a former one is lost.
    """

    def __init__(self, simulation, number, proxies):
        self.simulation = simulation
        self.number = number
        self.process = 0
        super().__init__(exclusive_settings(proxies))

    def begin(self, servers):
        """Give a new process the list of servers."""
        self.assigner.on_endpoint_update(UpdateKind.CACHED, servers)

    def restart(self, servers):
        """Replace the process; the new one knows nothing but the list of servers."""
        self.process += 1
        self.replace_assigner()
        self.begin(servers)

    def set_weight(self, table, server_index, weight):
        """Name a new owner in the store and to the joined proxies."""
        super().set_weight(table, server_index, weight)
        self.simulation.store_owner(self, server_index)

    def eject_server(self, server_index):
        """Withdraw a server at the joined proxies."""
        super().eject_server(server_index)
        self.simulation.deliver(
            self, lambda proxy: proxy.streams[self.number].withdrawn.add(server_index)
        )

    def uneject_server(self, server_index):
        """Let the joined proxies use a server again."""
        super().uneject_server(server_index)
        self.simulation.deliver(
            self, lambda proxy: proxy.streams[self.number].withdrawn.discard(server_index)
        )

    def request_ack(self, number, all_proxies):
        """Let each joined proxy acknowledge what it has applied."""
        assigner = self.assigner
        self.simulation.deliver(
            self, lambda proxy: assigner.on_ack(proxy.number, number, SECOND // 5)
        )


class OwnershipSimulation:
    """Proxies that write to the owner of one key range all the time.

    `store` is the owner in the store and `in_charge` the planner that assigns the key range, or
    None while it changes hands. `accepted` are the owners that have accepted a write, in order.
    `breaks` lists the writes that reached a former owner after a later one.
    """

    def __init__(self, seed, proxies, planners=1):
        self.random = random.Random(seed)
        self.clock = 0
        self.events = []
        self.event_count = 0
        self.store = 1
        self.states = dict.fromkeys(range(SERVERS), ServerState.READY)
        self.accepted = []
        self.breaks = []
        self.proxies = [SimulatedProxy(number, planners) for number in range(proxies)]
        self.planners = [SimulatedPlanner(self, number, proxies) for number in range(planners)]
        self.in_charge = None
        for planner in self.planners:
            planner.begin(self.listed_servers())
        self.give(self.planners[0])
        for planner in self.planners:
            for proxy in self.proxies:
                self.join(proxy, planner)

    def listed_servers(self):
        """Return the servers as the list shows them."""
        return [server(index, state) for index, state in self.states.items()]

    def run(self, steps):
        """Advance by a number of steps, with chance events; each proxy writes once in each."""
        for _ in range(steps):
            self.clock += STEP
            for planner in self.planners:
                planner.run(STEP / SECOND)
            self.run_due_events()
            self.draw_events()
            for proxy in self.proxies:
                self.write(proxy)

    def run_due_events(self):
        """Run the events that are due, in order of time."""
        for event in sorted(event for event in self.events if event[0] <= self.clock):
            self.events.remove(event)
            _, _, action, arguments = event
            action(*arguments)

    def draw_events(self):
        """Let chance events happen."""
        if self.random.random() < TURN_CHANCE:
            self.turn_server()
        for planner in self.planners:
            if self.random.random() < RESTART_CHANCE:
                self.restart(planner)
        if len(self.planners) > 1 and self.in_charge and self.random.random() < HANDOVER_CHANCE:
            self.hand_over()
        for proxy in self.proxies:
            for planner in self.planners:
                if proxy.streams[planner.number].joined and self.random.random() < CUT_CHANCE:
                    self.cut(proxy, planner)

    def later(self, delay, action, *arguments):
        """Call `action` after a delay."""
        self.event_count += 1
        self.events.append((self.clock + delay, self.event_count, action, arguments))

    def later_at(self, planner, delay, action, *arguments):
        """Call `action` after a delay, unless the planner's process has ended by then."""
        self.later(delay, self.call_at, planner, planner.process, action, arguments)

    def call_at(self, planner, process, action, arguments):
        """Call `action` if the planner's process is still this one."""
        if planner.process == process:
            action(*arguments)

    def deliver(self, planner, action):
        """Send something to each proxy joined to a planner, in the order of sending."""
        for proxy in self.proxies:
            stream = proxy.streams[planner.number]
            if stream.joined:
                delay = self.random.randrange(SECOND // 20, SECOND // 2)
                stream.next_arrival = max(stream.next_arrival + 1, self.clock + delay)
                self.later(
                    stream.next_arrival - self.clock,
                    self.arrive, proxy, stream, stream.number, action,
                )  # fmt: skip

    def arrive(self, proxy, stream, number, action):
        """Apply a message, unless the stream that it was sent on has broken."""
        if stream.joined and stream.number == number:
            action(proxy)

    def join(self, proxy, planner):
        """Establish a proxy's stream to a planner; it reads the store within a second."""
        stream = proxy.streams[planner.number]
        stream.joined = True
        stream.number += 1
        planner.assigner.on_proxy_joined(proxy.number, 0, 1.0, False)
        self.read_soon(proxy, planner)

    def read_soon(self, proxy, planner):
        """Let a proxy read the store within a second, if its stream lasts."""
        stream = proxy.streams[planner.number]
        self.later(
            self.random.randrange(SECOND),
            self.arrive, proxy, stream, stream.number,
            lambda reader: self.read_store(reader, planner),
        )  # fmt: skip

    def read_store(self, proxy, planner):
        """Let a proxy learn the owner, and that this planner is in charge, if it is."""
        if self.in_charge is planner:
            proxy.owner = self.store
            proxy.planner = planner.number
            proxy.writes_until = None

    def break_stream(self, proxy, planner):
        """Break a stream; if the planner is in charge, the proxy writes on for its lease."""
        proxy.streams[planner.number].joined = False
        if proxy.planner == planner.number:
            proxy.limit_writes(self.clock + WRITE_LEASE)

    def cut(self, proxy, planner):
        """Break a stream; the planner notices later, and the proxy dials again."""
        self.break_stream(proxy, planner)
        noticed_after = self.random.randrange(SECOND // 2, 9 * SECOND // 5)
        redial_after = noticed_after + self.random.randrange(SECOND, 4 * SECOND)
        self.later_at(planner, noticed_after, lambda: planner.assigner.on_proxy_left(proxy.number))
        self.later_at(planner, redial_after, self.join, proxy, planner)

    def restart(self, planner):
        """Replace a planner's process; all its streams break and are dialled again.

        If it is in charge, the store gives the key range to the new process, or to the other
        planner some seconds later.
        """
        planner.restart(self.listed_servers())
        for proxy in self.proxies:
            if proxy.streams[planner.number].joined:
                self.break_stream(proxy, planner)
            redial_after = self.random.randrange(SECOND, 4 * SECOND)
            self.later_at(planner, redial_after, self.join, proxy, planner)
        if self.in_charge is planner:
            others = [other for other in self.planners if other is not planner]
            self.in_charge = None
            if others and self.random.random() < 0.5:
                self.later(self.random.randrange(SECOND, 3 * SECOND), self.give, others[0])
            else:
                self.give(planner)

    def hand_over(self):
        """Give the key range to another planner at once."""
        former = self.in_charge
        former.assigner.on_key_range_assigned(KEY_RANGE, False)
        self.give(self.random.choice([other for other in self.planners if other is not former]))

    def give(self, planner):
        """Give the key range to a planner; a proxy writes on for its lease until it has read."""
        self.in_charge = planner
        planner.assigner.on_key_range_assigned(KEY_RANGE, True)
        planner.assigner.on_key_range_server(KEY_RANGE, self.store, 1.0)
        for proxy in self.proxies:
            if proxy.planner != planner.number:
                proxy.limit_writes(self.clock + WRITE_LEASE)
            if proxy.streams[planner.number].joined:
                self.read_soon(proxy, planner)

    def store_owner(self, planner, server_index):
        """Store the owner that the planner in charge names; other orders are discarded."""
        if self.in_charge is planner:
            self.store = server_index
            self.deliver(planner, lambda proxy: proxy.learn_owner(server_index))

    def turn_server(self):
        """Drain a server, most often the owner, or list it as ready again.

        Each planner learns of it within a second.
        """
        index = self.store if self.random.random() < 0.7 else self.random.randrange(SERVERS)
        ready = self.states[index] == ServerState.READY
        self.states[index] = ServerState.DRAINING if ready else ServerState.READY
        listed = server(index, self.states[index])
        for planner in self.planners:
            delay = self.random.randrange(SECOND)
            self.later_at(planner, delay, planner.update_servers, listed)

    def write(self, proxy):
        """Let a proxy write, if it may, and check the order of owners."""
        if not proxy.may_write(self.clock) or self.accepted[-1:] == [proxy.owner]:
            return
        if proxy.owner == self.store:
            self.accepted.append(proxy.owner)
        else:
            self.breaks.append((self.clock, proxy.number, proxy.owner, self.store))
