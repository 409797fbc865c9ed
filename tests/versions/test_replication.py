"""Replication of versions and operator requests over a network that loses, delays and repeats."""

import json
import unittest

from harness import SECOND, SimulatedLoop

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.leadership import message_codec
from indigodeck.versions.replication import VersionReplicator
from indigodeck.versions.snapshots import snapshot_hash

from .support import StubPlanner, StubStore

MAX_CHANGES = 40  # of one schedule


class SimulatedNetwork:
    """Controllers, and their messages on simulated time: lost, late, twice, out of order.

    `loss` is the percentage of messages that are lost; `leader` the name of the controller that
    leads.
    """

    def __init__(self, seed, members=3):
        self.loop = SimulatedLoop()
        self.random = SeededRandom(seed)
        self.loss = 0
        self.planners = {}
        self.replicators = {}
        self.leader = None
        self.published = {}  # by number, the hash of its content that was seen first
        self.names = [f"c{nth}" for nth in range(members)]
        self._checked = {}  # by name, the numbers that were checked already
        for name in self.names:
            self.start(name, StubStore())

    def start(self, name, store):
        """Start a controller, anew where it ran before, on its store."""
        planner = StubPlanner(store, 0)
        planner.publisher.epoch = None
        replicator = VersionReplicator(NetworkSeat(self, name), planner.publisher)
        planner.on_requests_changed = replicator.send_requests
        planner.on_version_published = replicator.send_version
        self.planners[name] = planner
        self.replicators[name] = replicator
        self._checked[name] = set()

    def carry(self, source, target, kind, fields):
        """Bring a message to its target, if it is not lost."""
        if self.random.randbelow(100) < self.loss:
            return
        # As it travels: what a message can't carry must show here.
        *_, fields = message_codec.unpack(
            b"a key",
            message_codec.pack(b"a key", source, kind, **fields)[message_codec.LENGTH_BYTES :],
            lambda name: True,
        )
        # To the start that it was meant for: the next one has another replicator.
        receiver = self.replicators[target]

        def arrive():
            if self.replicators[target] is receiver:
                receiver.on_message(source, kind, fields)

        for _ in range(2 if self.random.randbelow(10) == 0 else 1):
            longest = SECOND if self.random.randbelow(10) == 0 else 20_000
            self.loop.call_later(1000 + self.random.randbelow(longest), arrive)

    def take_over(self, name, epoch):
        """Let a controller lead under an epoch."""
        if self.leader:
            self.planners[self.leader].publisher.lose_leadership()
        self.leader = name
        self.planners[name].publisher.become_leader(epoch, after_another=True)
        self.replicators[name].request_peer_states()
        self.planners[name].publisher.publish("taken over")

    def check(self):
        """Prove that all that any controller ever held under a number was one content."""
        for name in self.names:
            log = self.planners[name].publisher.version_log
            for number in log.versions.keys() - self._checked[name]:
                found = log.snapshot_of(number)
                content_hash = log.versions[number].content_hash
                if found is None or snapshot_hash(found) != content_hash:
                    raise AssertionError(f"{name} holds {number}, which is not complete")
                if self.published.setdefault(number, content_hash) != content_hash:
                    raise AssertionError(f"{number} is two")
                self._checked[name].add(number)

    def check_agreement(self, seed):
        """Prove that all controllers hold the same."""
        states = [_state(self.planners[name].publisher) for name in self.names]
        if any(state != _state(self.planners[self.leader].publisher) for state in states):
            raise AssertionError(f"seed {seed}: they do not agree")


class NetworkSeat:
    """One controller's place on the network: the host of its replicator."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.now = network.loop.now
        self.later = network.loop.call_later

    def send(self, member, kind, **fields):
        """Give a message to the network."""
        self.network.carry(self.name, member, kind, fields)

    def others(self):
        """Return the other controllers' names."""
        return [name for name in self.network.names if name != self.name]

    def is_leader(self):
        """Return whether this controller leads."""
        return self.network.leader == self.name


class Schedule:
    """Changes, rollbacks, takeovers and restarts while messages are lost, drawn from a seed."""

    def __init__(self, seed):
        self.seed = seed
        self.network = SimulatedNetwork(seed, 3 + 2 * (seed % 2))
        self.random = SeededRandom(seed + 7)
        self.epoch = 1
        self.kept_serial = None  # of the last request that was called kept
        self.network.take_over("c0", self.epoch)
        self.network.loss = (0, 20, 60)[seed % 3]

    def step(self):
        """Do one thing, and check what all hold."""
        planner = self.network.planners[self.network.leader]
        action = self.random.randbelow(8)
        if action < 4:
            self._change(planner)
        elif action == 4:
            self._roll_back(planner)
        elif action == 5:
            planner.commands.release([], "duty", "")
        elif action == 6:
            self._take_over(planner)
        else:
            self._restart()
        self.network.loop.run(self.random.randbelow(1500) / 1000)
        self.network.check()

    def _change(self, planner):
        table = self.random.randbelow(6)
        weights = {
            f"h{self.random.randbelow(12)}": 1.0 + self.random.randbelow(3) for _ in range(4)
        }
        planner.change(table, **weights)

    def _roll_back(self, planner):
        numbers = sorted(planner.publisher.version_log.versions)
        number = numbers[self.random.randbelow(len(numbers))]
        class_name = ("read", "write")[self.random.randbelow(2)]
        planner.commands.roll_back(number, [class_name], "duty", "")

    def _take_over(self, planner):
        """Let another lead, which has what is called kept: a majority had it, and answers."""
        network = self.network
        serial = planner.publisher.requests.serial
        if network.replicators[network.leader].replica_count(serial) > len(network.names) // 2:
            self.kept_serial = max(self.kept_serial or serial, serial)
        self.epoch += 1
        loss = network.loss
        network.loss = 0
        network.take_over(network.names[self.random.randbelow(len(network.names))], self.epoch)
        network.loop.run(2)
        network.loss = loss
        serial = network.planners[network.leader].publisher.requests.serial
        if self.kept_serial is not None and serial < self.kept_serial:
            raise AssertionError(f"seed {self.seed}: a request that was kept is forgotten")

    def _restart(self):
        name = self.network.names[self.random.randbelow(len(self.network.names))]
        if name != self.network.leader:
            self.network.start(name, self.network.planners[name].store)


def play_schedule(seed):
    """Play a schedule, then let all agree; return how many versions there were."""
    schedule = Schedule(seed)
    network = schedule.network
    for _ in range(MAX_CHANGES):
        schedule.step()
    network.loss = 0
    network.loop.run(8)
    network.check()
    network.check_agreement(seed)
    return len(network.published)


class ReplicationTest(unittest.TestCase):
    """What all controllers end with, whatever the network does."""

    def test_whatever_is_lost_late_or_twice_all_end_with_one_log_and_no_mixture(self):
        """600 schedules, each with every number of one content, and agreement at its end."""
        self.assertGreater(sum(play_schedule(seed) for seed in range(600)), 6000)

    def test_a_snapshot_that_does_not_fit_a_message_comes_in_parts_or_not_at_all(self):
        """400 tables reach a follower in parts that each fit a message."""
        network = SimulatedNetwork(3)
        planner = network.planners["c0"]
        planner.weights = {table: {server: 1.0 for server in range(12)} for table in range(400)}
        planner.revisions = dict.fromkeys(range(400), 0)
        network.take_over("c0", 1)
        sent = []
        carry = network.carry

        def record(source, target, kind, fields):
            sent.append((kind, fields))
            carry(source, target, kind, fields)

        network.carry = record
        network.loop.run(4)
        parts = [fields for kind, fields in sent if kind == "sheets"]
        self.assertGreater(parts[0]["of"], 3)
        self.assertLess(max(len(json.dumps(fields)) for fields in parts), 48 << 10)
        self.assertEqual(
            network.planners["c2"].publisher.version_log.snapshot,
            planner.publisher.version_log.snapshot,
        )


def _state(publisher):
    log = publisher.version_log
    return log.newest, publisher.requests.state(), log.content_hash()


if __name__ == "__main__":
    unittest.main()
