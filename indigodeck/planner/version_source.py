"""What the books of versions may ask, answered by the desk, the list and the store: plain look-ups, free of I/O."""

from ..assignment.interface import ServerState
from ..versions import rollback_pins as holds
from ..versions.publisher import TablePublisher


class VersionSource:
    """The surroundings of `versions.books.Books`. `service`: `now()`, `note(event, **facts)`, `servers` and `relays` (desk.Door);
    `store`: `put(changes)`; `held`: what the store held at the start, {key: value}; `changed(document)`: told of operators' wishes.
    """

    def __init__(self, service, desk, store, held, settings, classes, most, age, changed):
        self.service, self.desk, self.store, self.held = service, desk, store, held
        self.settings, self.changed = settings, changed
        self.books = TablePublisher(self, classes, most, age)
        self.held = {}  # read once

    def now(self):
        return self.service.now()

    def wall(self):
        return self.service.now() + self.service.clock_gap

    def keep(self, changes):
        # Nobody waits for it: what is not kept is missing from the history, and nothing else (ledger.py).
        self.store.put(changes)

    def kept(self, key):
        return self.held.get(key)

    def keys(self, prefix):
        return sorted(key for key in self.held if key.startswith(prefix))

    def tables(self):
        return self.desk.published()

    def name(self, server):
        return self.service.servers.id_of[server]

    def number(self, name):
        return self.service.servers.index_of.get(name)

    def standing(self, server):
        """By the list's own word, but for who is withdrawn: a hold must not keep who is no longer listed as ready."""
        listed = self.desk.standing(server)
        if listed is None or listed.state != ServerState.READY or server in self.desk.withdrawn:
            return holds.OUT
        cold = listed.started and self.service.now() - listed.started < self.settings.warm_up_time
        return holds.COLD if cold else holds.WARM

    def withdrawn(self):
        return frozenset(self.desk.withdrawn)

    def users(self, table):
        return self.desk.users(table)

    def relay(self, proxy):
        return str(self.service.relays.id_of[proxy], "utf-8", "replace")

    def bound(self, proxy):
        return self.desk.bound(proxy)

    def room(self):
        return self.settings.channel.max_waiting_lines - self.desk.queue()

    def most(self):
        return self.settings.channel.max_waiting_lines

    def head(self):
        return self.settings.channel.message_overhead_lines

    def touch(self, table, servers):
        self.desk.touch(table, servers)

    def resume(self, held):
        self.desk.resume(held)

    def published(self, version, changes):
        if self.service.copies is not None:
            self.service.copies.published(version, changes)

    def wishes_changed(self, document):
        self.changed(document)

    def note(self, event, **facts):
        self.service.note(event, **facts)
