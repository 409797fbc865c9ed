"""The list of hosts as a planner is given it, free of I/O: which list counts, and what it says.

Lists come from a file or a service, whole or as changes, late, twice or out of order. A list older than the
one held is left aside; changes that don't follow on it are asked for again as a whole.
"""

from ..assignment.interface import Server, ServerState, UpdateKind
from ..json_documents import InvalidDocumentError, load_schema, parse_document

SCHEMA = load_schema(__file__, "endpoint_list.schema.json")
STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING, "gone": ServerState.GONE}


def read(text):
    """A list's document, checked: {"version", "kind", "hosts": [..]}."""
    document, seen = parse_document(text, SCHEMA, "roster"), set()
    for place, host in enumerate(document["hosts"]):
        if host["id"] in seen:
            raise InvalidDocumentError(f"roster: hosts/{place}/id: {host['id']!r} stands twice")
        seen.add(host["id"])
    return document


class EndpointList:
    """Holds the newest list and tells the desk what it says.

    `halls`, `kinds`: names in the charter's order; `clock_gap`: microseconds from the wall clock, in which
    lists state starts, to the planner's own clock. The host has `listed(kind, servers)`, `older(hosts)`, `ask()`, `note(text)`.
    """

    def __init__(self, host, door, halls, kinds, clock_gap):
        self.host, self.door, self.clock_gap = host, door, clock_gap
        self.halls = {name: place for place, name in enumerate(halls)}
        self.kinds = {name: place for place, name in enumerate(kinds)}
        self.version, self.epoch = None, 0
        self.floor = (
            None  # (version, epoch) of a list that was kept: an older one is no first list either
        )
        self.hosts, self.quiet = {}, set()

    def whole(self, document):
        version, epoch = (
            self.floor or (-1, 0) if self.version is None else (self.version, self.epoch)
        )
        # A service that starts again may count from the start again; its epoch says so.
        if document["version"] < version and document.get("epoch", 0) <= epoch:
            self.host.older({host["id"]: host for host in document["hosts"]})
            return self.host.note(f"list {document['version']} is older than {version}: left aside")
        first, self.version, self.epoch = (
            self.version is None,
            document["version"],
            document.get("epoch", 0),
        )
        self.hosts = {host["id"]: host for host in document["hosts"] if host["state"] != "gone"}
        self.quiet &= self.hosts.keys()
        # The first list after a start says nothing of what changed: processes in it may be long up.
        self.host.listed(
            UpdateKind.CACHED if first else UpdateKind.WHOLE, self.servers(self.hosts.values())
        )

    def changes(self, document):
        if self.version is None or document["version"] != self.version + 1:
            if self.version is not None and document["version"] <= self.version:
                return  # sent twice
            return self.host.ask()
        self.version = document["version"]
        for host in document["hosts"]:
            if host["state"] == "gone":
                self.hosts.pop(host["id"], None)
            else:
                self.hosts[host["id"]] = host
        self.host.listed(UpdateKind.CHANGES, self.servers(document["hosts"]))

    def kept(self):
        """What of the list should outlast a restart."""
        return {
            "version": self.version,
            "epoch": self.epoch,
            "hosts": list(self.hosts.values()),
            "quiet": sorted(self.quiet),
        }

    def believed(self, kept, hosts, fresh):
        """Entries of a list that was kept, as far as they are believed. Lists older than it are left aside as ever."""
        self.version, self.epoch = kept["version"], kept["epoch"]
        self.hosts = {**({} if fresh else self.hosts), **{host["id"]: host for host in hosts}}
        self.quiet = set(kept["quiet"]) & self.hosts.keys()
        self.host.listed(UpdateKind.CACHED if fresh else UpdateKind.CHANGES, self.servers(hosts))

    def quiesced(self, address, port, on):
        """A host says of itself that it takes no new work, or takes it again; sooner than any list."""
        for name, host in self.hosts.items():
            if (host["address"], host["port"]) == (address, port):
                (self.quiet.add if on else self.quiet.discard)(name)
                self.host.listed(UpdateKind.CHANGES, self.servers([host]))
                return True
        return False

    def servers(self, hosts):
        return [self.server(host) for host in hosts]

    def server(self, host):
        started = host.get("started_ms", 0) * 1000
        # Before the planner's own clock began, or long ago: the same to the assigner.
        started = max(0, started - self.clock_gap) if started else 0
        state = (
            ServerState.DRAINING
            if host["id"] in self.quiet and host["state"] == "ready"
            else STATES[host["state"]]
        )
        return Server(
            self.door.index(host["id"]),
            host["id"].encode(),
            host.get("cell", 0),
            self.kinds.get(host.get("kind"), len(self.kinds)),
            self.halls.get(host.get("hall"), 0),
            float(host.get("weight", 1.0)),
            started,
            state,
        )
