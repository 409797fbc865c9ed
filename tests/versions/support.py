"""A store and a planner that the tests of versions share with those of other packages."""

import json

from indigodeck.versions.model import AssignedTable, ServerReadiness
from indigodeck.versions.operator_commands import OperatorCommands
from indigodeck.versions.publisher import TablePublisher
from indigodeck.versions.snapshots import table_snapshot
from indigodeck.versions.version_log import DAY

SERVER_IDS = [f"host-{nth}" for nth in range(12)]


class StubStore:
    """Clock and store for a version log; what is stored while it is `broken` is lost."""

    def __init__(self):
        self.clock = 10 * DAY
        self.held = {}
        self.broken = False

    def wall_clock(self):
        """Return the stub's time of day."""
        return self.clock

    def save(self, changes):
        """Store values by key; None removes a key."""
        for key, value in changes:
            # As it would come back from a disk.
            self.held[key] = None if value is None or self.broken else json.loads(json.dumps(value))
        self.held = {key: value for key, value in self.held.items() if value is not None}

    def load(self, key):
        """Return the value under a key, or None."""
        return self.held.get(key)

    def keys(self):
        """Return the keys of stored versions."""
        return [key for key in self.held if key.startswith("version/")]


class StubPlanner:
    """What a publisher runs on: 6 tables of two classes over 12 servers.

    Proxies 0 to 5 are on one table of each class. Without an epoch it does not lead.
    """

    def __init__(self, store=None, epoch=1, room=10_000):
        self.store = store or StubStore()
        self.clock = 0
        self.room = room
        self.weights = {table: {(table + nth) % 12: 1.0 for nth in range(4)} for table in range(6)}
        self.revisions = dict.fromkeys(range(6), 0)
        self.states = {}
        self.changed_tables = []
        self.logged = []
        self.request_states = []
        self.publisher = TablePublisher(self, ["read", "write"], 2000, DAY)
        self.commands = OperatorCommands(self.publisher, self)
        if epoch:
            self.publisher.become_leader(epoch)
        self.publisher.publish("start")

    def now(self):
        """Return the stub's time."""
        return self.clock

    def wall_clock(self):
        """Return the store's time of day, moved on by the stub's time."""
        return self.store.wall_clock() + self.clock

    def save(self, changes):
        """Store values by key."""
        self.store.save(changes)

    def load(self, key):
        """Return a stored value."""
        return self.store.load(key)

    def keys(self, prefix):
        """Return the stored keys that begin with a prefix."""
        return [key for key in self.store.held if key.startswith(prefix)]

    def assigned_tables(self):
        """Return the weights as the assigner's tables."""
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
        """Return the state that a test gave a server; warm where it gave none."""
        if not 0 <= server < 12:
            return ServerReadiness.UNAVAILABLE
        return self.states.get(server, ServerReadiness.WARM)

    def ejected_servers(self):
        """Return the servers that a test made unavailable."""
        return frozenset(
            server for server, state in self.states.items() if state is ServerReadiness.UNAVAILABLE
        )

    def assigned_proxy_count(self, table):
        """Return the proxies on a table."""
        return 2

    def relay_id(self, proxy):
        """Return the id of a relay."""
        return f"relay-{proxy}"

    def tables_of(self, proxy):
        """Return a proxy's table of each class."""
        return {0: proxy % 3 * 2, 1: proxy % 3 * 2 + 1}

    def free_lines(self):
        """Return the room that a test left."""
        return self.room

    def max_waiting_lines(self):
        """Return the size of the queue."""
        return 10_000

    def message_overhead_lines(self):
        """Return the lines of a message's head."""
        return 6

    def mark_changed(self, table, servers):
        """Note a table that was sent."""
        self.changed_tables.append(table)

    def resume_tables(self, tables):
        """Note the tables to resume."""
        self.resumed = tables

    def on_version_published(self, version, delta):
        """Note the newest version."""
        self.last = version, delta

    def on_requests_changed(self, state):
        """Note what operators want."""
        self.request_states.append(state)

    def log(self, event, **facts):
        """Note a log event."""
        self.logged.append((event, facts))

    def change(self, table, why="", **weights):
        """Let the assigner give a table other weights: h3=1.0 is of server 3."""
        self.weights[table] = {int(server[1:]): weight for server, weight in weights.items()}
        self.revisions[table] += 1
        if why:
            self.publisher.add_cause(why)
        self.publisher.publish("turn")

    def published(self):
        """Return {table: {server id: weight}} as relays should hold it now."""
        snapshot = self.publisher.version_log.snapshot_of(self.publisher.newest())
        return {table: held.weights for table, held in snapshot.items()}


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
