"""Tests of replication over a network that loses, delays and duplicates messages."""

import json
import unittest

from harness import SECOND, SimulatedLoop

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.leadership import message_codec
from indigodeck.versions.replication import VersionReplicator
from indigodeck.versions.snapshots import snapshot_hash

from .support import StubPlanner, StubStore

MAX_STEPS = 40  # of one schedule


class SimulatedNetwork:
    """Controllers on simulated time; messages are lost, delayed, duplicated and reordered.

    `loss_percent` is the percentage of messages that are lost, and `leader` is the name of the
    controller that leads.
    """

    def __init__(self, seed, controller_count=3):
        self.loop = SimulatedLoop()
        self.random = SeededRandom(seed)
        self.loss_percent = 0
        self.planners = {}
        self.replicators = {}
        self.leader = None
        self.content_hashes = {}  # by version number, the first content hash seen for it
        self.names = [f"c{index}" for index in range(controller_count)]
        self._checked_numbers = {}  # by controller name, the version numbers already checked
        for name in self.names:
            self.start(name, StubStore())

    def start(self, name, store):
        """Start or restart a controller on a store."""
        planner = StubPlanner(store, 0)
        planner.publisher.epoch = None
        replicator = VersionReplicator(SimulatedReplicatorHost(self, name), planner.publisher)
        planner.on_requests_changed = replicator.send_requests
        planner.on_version_published = replicator.send_version
        self.planners[name] = planner
        self.replicators[name] = replicator
        self._checked_numbers[name] = set()

    def send(self, source, target, kind, fields):
        """Deliver a message to its target after a delay, unless it is lost."""
        if self.random.randbelow(100) < self.loss_percent:
            return
        # Encode and decode the message, so that fields that cannot be encoded fail the test.
        *_, fields = message_codec.unpack(
            b"a key",
            message_codec.pack(b"a key", source, kind, **fields)[message_codec.LENGTH_BYTES :],
            lambda name: True,
        )
        # A message is dropped if its target restarts, which replaces the replicator.
        receiver = self.replicators[target]

        def deliver():
            if self.replicators[target] is receiver:
                receiver.on_message(source, kind, fields)

        for _ in range(2 if self.random.randbelow(10) == 0 else 1):
            max_delay = SECOND if self.random.randbelow(10) == 0 else 20_000
            self.loop.call_later(1000 + self.random.randbelow(max_delay), deliver)

    def take_over(self, name, epoch):
        """Make a controller the leader under an epoch."""
        if self.leader:
            self.planners[self.leader].publisher.lose_leadership()
        self.leader = name
        self.planners[name].publisher.become_leader(epoch, after_other_leader=True)
        self.replicators[name].request_peer_states()
        self.planners[name].publisher.publish("taken over")

    def check_contents(self):
        """Check that every version number has had the same content on all controllers."""
        for name in self.names:
            log = self.planners[name].publisher.version_log
            for number in log.versions.keys() - self._checked_numbers[name]:
                snapshot = log.snapshot_of(number)
                content_hash = log.versions[number].content_hash
                if snapshot is None or snapshot_hash(snapshot) != content_hash:
                    raise AssertionError(f"{name} has an incomplete version {number}")
                if self.content_hashes.setdefault(number, content_hash) != content_hash:
                    raise AssertionError(f"version {number} has two contents")
                self._checked_numbers[name].add(number)

    def check_convergence(self, seed):
        """Check that all controllers have the same newest version and operator requests."""
        states = [_state(self.planners[name].publisher) for name in self.names]
        if any(state != _state(self.planners[self.leader].publisher) for state in states):
            raise AssertionError(f"seed {seed}: controllers did not converge")


class SimulatedReplicatorHost:
    """The environment of one controller's replicator on the simulated network."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.now = network.loop.now
        self.call_later = network.loop.call_later

    def send(self, member, kind, **fields):
        """Send a message over the network."""
        self.network.send(self.name, member, kind, fields)

    def peer_ids(self):
        """Return the other controllers' names."""
        return [name for name in self.network.names if name != self.name]

    def is_leader(self):
        """Return whether this controller leads."""
        return self.network.leader == self.name


class Schedule:
    """Random changes, rollbacks, takeovers and restarts, drawn from a seed, with message loss."""

    def __init__(self, seed):
        self.seed = seed
        self.network = SimulatedNetwork(seed, 3 + 2 * (seed % 2))
        self.random = SeededRandom(seed + 7)
        self.epoch = 1
        self.committed_serial = None  # of the last committed request
        self.network.take_over("c0", self.epoch)
        self.network.loss_percent = (0, 20, 60)[seed % 3]

    def step(self):
        """Perform one random action, then check all version contents."""
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
        self.network.check_contents()

    def _change(self, planner):
        table = self.random.randbelow(6)
        weights = {
            f"h{self.random.randbelow(12)}": 1.0 + self.random.randbelow(3) for _ in range(4)
        }
        planner.change_table(table, **weights)

    def _roll_back(self, planner):
        numbers = sorted(planner.publisher.version_log.versions)
        number = numbers[self.random.randbelow(len(numbers))]
        class_name = ("read", "write")[self.random.randbelow(2)]
        planner.commands.roll_back(number, [class_name], "duty", "")

    def _take_over(self, planner):
        """Let another controller lead, and check that it gets all committed requests.

        A majority has stored them and answers the new leader, as no message is lost meanwhile.
        """
        network = self.network
        serial = planner.publisher.requests.serial
        if network.replicators[network.leader].replica_count(serial) > len(network.names) // 2:
            self.committed_serial = max(self.committed_serial or serial, serial)
        self.epoch += 1
        loss = network.loss_percent
        network.loss_percent = 0
        network.take_over(network.names[self.random.randbelow(len(network.names))], self.epoch)
        network.loop.run(2)
        network.loss_percent = loss
        serial = network.planners[network.leader].publisher.requests.serial
        if self.committed_serial is not None and serial < self.committed_serial:
            raise AssertionError(f"seed {self.seed}: a committed request was lost")

    def _restart(self):
        name = self.network.names[self.random.randbelow(len(self.network.names))]
        if name != self.network.leader:
            self.network.start(name, self.network.planners[name].store)


def play_schedule(seed):
    """Run a schedule, then check convergence; return the number of versions."""
    schedule = Schedule(seed)
    network = schedule.network
    for _ in range(MAX_STEPS):
        schedule.step()
    network.loss_percent = 0
    network.loop.run(8)
    network.check_contents()
    network.check_convergence(seed)
    return len(network.content_hashes)


class ReplicationTest(unittest.TestCase):
    """The state that all controllers converge to, despite faults of the network."""

    def test_controllers_converge_despite_lost_late_and_duplicate_messages(self):
        """In 600 schedules, each number has one content and all controllers converge."""
        self.assertGreater(sum(play_schedule(seed) for seed in range(600)), 6000)

    def test_large_snapshot_is_replicated_in_parts_that_fit_messages(self):
        """A snapshot of 400 tables reaches a follower in parts that each fit in a message."""
        network = SimulatedNetwork(3)
        planner = network.planners["c0"]
        planner.weights = {table: {server: 1.0 for server in range(12)} for table in range(400)}
        planner.revisions = dict.fromkeys(range(400), 0)
        network.take_over("c0", 1)
        sent = []
        send = network.send

        def record(source, target, kind, fields):
            sent.append((kind, fields))
            send(source, target, kind, fields)

        network.send = record
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
