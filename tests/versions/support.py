"""Stubs of a store and a planner, shared by the tests of several packages."""

import json

from indigodeck.versions.model import AssignedTable, ServerReadiness
from indigodeck.versions.operator_commands import OperatorCommands
from indigodeck.versions.publisher import TablePublisher
from indigodeck.versions.snapshots import table_snapshot
from indigodeck.versions.version_log import DAY

SERVER_IDS = [f"host-{index}" for index in range(12)]


class StubStore:
    """A store and a clock for a version log; writes are lost while `drops_writes` is set."""

    def __init__(self):
        self.wall_time_us = 10 * DAY
        self.values = {}
        self.drops_writes = False

    def wall_clock(self):
        """Return the stub's wall-clock time."""
        return self.wall_time_us

    def save(self, changes):
        """Store values by key; None removes a key."""
        for key, value in changes:
            # Encode and decode the value, as a store on disk does.
            self.values[key] = (
                None if value is None or self.drops_writes else json.loads(json.dumps(value))
            )
        self.values = {key: value for key, value in self.values.items() if value is not None}

    def load(self, key):
        """Return the value of a key, or None."""
        return self.values.get(key)

    def keys(self):
        """Return the keys of the stored versions."""
        return [key for key in self.values if key.startswith("version/")]


class StubPlanner:
    """The environment of a publisher: 6 tables of two classes over 12 servers.

    Proxies 0 to 5 are each assigned to one table of each class. Without an epoch, the planner does
    not lead.
    """

    def __init__(self, store=None, epoch=1, free_line_count=10_000):
        self.store = store or StubStore()
        self.time_us = 0
        self.free_line_count = free_line_count
        self.weights = {
            table: {(table + offset) % 12: 1.0 for offset in range(4)} for table in range(6)
        }
        self.revisions = dict.fromkeys(range(6), 0)
        self.readiness_by_server = {}
        self.changed_tables = []
        self.log_events = []
        self.request_states = []
        self.publisher = TablePublisher(self, ["read", "write"], 2000, DAY)
        self.commands = OperatorCommands(self.publisher, self)
        if epoch:
            self.publisher.become_leader(epoch)
        self.publisher.publish("start")

    def now(self):
        """Return the stub's time."""
        return self.time_us

    def wall_clock(self):
        """Return the store's wall-clock time plus the stub's time."""
        return self.store.wall_clock() + self.time_us

    def save(self, changes):
        """Store values by key."""
        self.store.save(changes)

    def load(self, key):
        """Return a stored value."""
        return self.store.load(key)

    def keys(self, prefix):
        """Return the stored keys that start with a prefix."""
        return [key for key in self.store.values if key.startswith(prefix)]

    def assigned_tables(self):
        """Return the weights as tables of the assigner."""
        return {
            table: AssignedTable(table % 2, weights, 1.0, 1, self.revisions[table])
            for table, weights in self.weights.items()
        }

    def server_id(self, server):
        """Return the id of a server."""
        return SERVER_IDS[server]

    def server_index(self, server_id):
        """Return the index of a server, or None."""
        return SERVER_IDS.index(server_id) if server_id in SERVER_IDS else None

    def readiness(self, server):
        """Return the readiness that a test set for a server; WARM if it set none."""
        if not 0 <= server < 12:
            return ServerReadiness.UNAVAILABLE
        return self.readiness_by_server.get(server, ServerReadiness.WARM)

    def ejected_servers(self):
        """Return the servers that a test made unavailable."""
        return frozenset(
            server
            for server, state in self.readiness_by_server.items()
            if state is ServerReadiness.UNAVAILABLE
        )

    def assigned_proxy_count(self, table):
        """Return the number of proxies on a table."""
        return 2

    def relay_id(self, proxy):
        """Return the id of a relay."""
        return f"relay-{proxy}"

    def tables_of(self, proxy):
        """Return a proxy's table of each class."""
        return {0: proxy % 3 * 2, 1: proxy % 3 * 2 + 1}

    def free_lines(self):
        """Return the free lines that a test set."""
        return self.free_line_count

    def max_waiting_lines(self):
        """Return the size of the queue."""
        return 10_000

    def message_overhead_lines(self):
        """Return the lines that a message's header counts as."""
        return 6

    def mark_changed(self, table, servers):
        """Record a table whose lines were queued for proxies."""
        self.changed_tables.append(table)

    def resume_tables(self, tables):
        """Record the tables to resume."""
        self.resumed_tables = tables

    def on_version_published(self, version, delta):
        """Record the newest version."""
        self.last_published = version, delta

    def on_requests_changed(self, state):
        """Record the state of operator requests."""
        self.request_states.append(state)

    def log(self, event, **fields):
        """Record a log event."""
        self.log_events.append((event, fields))

    def change_table(self, table, cause="", **weights):
        """Replace the assigned weights of a table; h3=1.0 sets that of server 3."""
        self.weights[table] = {int(server[1:]): weight for server, weight in weights.items()}
        self.revisions[table] += 1
        if cause:
            self.publisher.add_cause(cause)
        self.publisher.publish("turn")

    def published_weights(self):
        """Return {table: {server id: weight}} of the newest version."""
        snapshot = self.publisher.version_log.snapshot_of(self.publisher.newest_version())
        return {name: table.weights for name, table in snapshot.items()}


def random_snapshot(random):
    """Return three tables with weights drawn from a `SeededRandom`."""
    return {
        str(table): table_snapshot(
            "read",
            {
                SERVER_IDS[random.randbelow(12)]: 1 + random.randbelow(4)
                for _ in range(1 + random.randbelow(6))
            },
            1.0,
            1,
        )
        for table in range(3)
    }
