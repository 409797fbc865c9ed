"""The assigner's host in a running planner, free of I/O: what each proxy should hold, and what waits for it.

The desk decides no table. It keeps what the assigner orders, tells the outside which proxies have something
waiting, and hands over the newest state when a proxy can be written to: what was ordered in between is
never sent. Fronts read it through `take`, `view` and `standing`; times are whole microseconds.
"""

from typing import NamedTuple, Protocol

from ..assignment.assigner import Assigner
from ..assignment.interface import DemandReport, LoadReport, Server


class Environment(Protocol):
    """What the desk may ask of the program around it."""

    def now(self) -> int: ...

    def later(self, after: int, call) -> None: ...

    def due(self, proxy: int) -> None:
        """Something waits for this proxy."""

    def probe(self, server: int) -> None:
        """Try a real exchange on it, and answer with the desk's `probed`."""

    def ask_list(self, watch: bool) -> None: ...

    def note(self, text: str) -> None: ...


class Parcel(NamedTuple):
    """What a proxy is handed at one time: the classes that changed (by place), since when the oldest order
    waited, the marks to acknowledge with the time of each, and the version that it is brought to.
    """

    proxy: int
    places: frozenset
    since: int
    marks: tuple
    version: tuple | None = None


class Holding:
    """One joined proxy: its table for each class, and what waits for it."""

    def __init__(self):
        self.bound, self.waiting, self.since, self.marks = {}, {}, None, []

    def touch(self, now, place, servers):
        self.since = now if self.since is None else self.since
        self.waiting.setdefault(place, set()).update(servers)

    def lines(self):
        return sum(max(1, len(servers)) for servers in self.waiting.values())


class IdRegistry:
    """Ids as the deployment knows them, mapped to small indices that are never used twice."""

    def __init__(self):
        self.index_of, self.id_of = {}, []

    def index(self, name):
        found = self.index_of.get(name)
        if found is None:
            found = self.index_of[name] = len(self.id_of)
            self.id_of.append(name)
        return found


class Desk:
    def __init__(self, outside, settings, seed, make=Assigner):
        self.outside, self.settings = outside, settings
        self.places = range(len(settings.classes))
        self.tables, self.levels, self.withdrawn = {}, {}, set()
        self.holdings, self.servers = {}, {}
        self.reached, self.marked, self.most_waiting = set(), [], 0
        self.editions, self.withdrawals = {}, 0  # by table; how often what is withdrawn has changed
        self.place_of, self.changed = (
            {},
            True,
        )  # {table: class's place}; whether the publisher has something to look at
        self.publisher = None  # versions of what is published, where they are kept (versions/publisher.py)
        self.assigner = None
        self.assigner = make(self, settings, seed)
        self._settle("start")

    # What happens; each ends with what the assigner ordered being laid out for the proxies concerned.

    def listed(self, kind, servers):
        self.servers.update((server.index, server) for server in servers)
        self.withdrawals += 1  # what is told of a withdrawn server goes by the list
        self.changed = True
        self.assigner.on_endpoint_update(kind, servers)
        self._settle("a list")

    def list_failed(self):
        self.assigner.on_endpoint_list_failed()
        self._settle("no list")

    def proxy_joined(self, proxy, zone, rate, fresh):
        holding = self.holdings[proxy] = Holding()
        if self.withdrawn:
            # It may come with tables of an earlier stream: what is withdrawn binds it before any table does.
            for place in self.places:
                holding.touch(self.outside.now(), place, self.withdrawn)
            self.reached.add(proxy)
        self.assigner.on_proxy_joined(proxy, zone, rate, fresh)
        self._settle("a relay joined")

    def proxy_left(self, proxy):
        if self.holdings.pop(proxy, None) is not None:
            self.assigner.on_proxy_left(proxy)
            if self.publisher is not None:
                self.publisher.relay_versions.on_left(proxy)
            self._settle("a relay left")

    def heard(self, zone, server, tries, failed, took, span, load):
        self.assigner.on_load_report(LoadReport(zone, server, tries, failed, took, span, load))

    def demand(self, proxy, place, exchanges, failed, span):
        self.assigner.on_demand_report(DemandReport(proxy, place, exchanges, failed, span))

    def probed(self, server, outcome, took, load):
        self.assigner.on_health_check(server, outcome, took, load)
        self._settle("a probe")

    def spoke(self, proxy):
        """A proxy asked something: its program has gone on since what it took last."""
        if self.publisher is not None:
            self.publisher.relay_versions.on_request(proxy)

    def acknowledged(self, parcel, by_program=True):
        """The transport says that the proxy has taken a parcel; `by_program`: that its program has, not its machine alone."""
        if parcel.proxy in self.holdings:
            for number, ordered in parcel.marks:
                self.assigner.on_ack(parcel.proxy, number, self.outside.now() - ordered)
            if self.publisher is not None:
                self.publisher.relay_versions.on_taken(parcel.proxy, parcel.version, by_program)
            self._settle("an answer")

    def _woken(self, token):
        self.assigner.on_timer(token)
        self._settle("a turn")

    def _settle(self, event):
        """Orders of one call travel together: the outside hears of each proxy once."""
        if self.publisher is not None and (self.changed or self.publisher.rollback_pins.is_active()):
            self.changed = False
            self.publisher.publish(event)
        reached, self.reached = sorted(self.reached & self.holdings.keys()), set()
        for proxy in reached:
            self.holdings[proxy].marks.extend(
                (number, self.outside.now()) for number in self.marked
            )
            # A proxy that reads nothing would gather marks for ever; the newest say all that is asked.
            del self.holdings[proxy].marks[:-64]
        self.marked = []
        if reached:
            # The queue grows only by what is laid out for somebody; most calls of the assigner order nothing.
            self.most_waiting = max(self.most_waiting, self.queue())
        for proxy in reached:
            self.outside.due(proxy)

    # What fronts read.

    def queue(self):
        """Lines that wait for all proxies, heads included."""
        head = self.settings.channel.message_overhead_lines
        return sum(holding.lines() + head for holding in self.holdings.values() if holding.waiting)

    def arrival(self):
        """Lines that one more proxy may have waiting at once: tables, and what is withdrawn, for each class."""
        longest = max(map(len, self.tables.values()), default=0)
        return self.settings.channel.message_overhead_lines + len(self.places) * max(
            1, longest + len(self.withdrawn)
        )

    def waits(self, proxy):
        return proxy in self.holdings and bool(self.holdings[proxy].waiting)

    def take(self, proxy):
        """What waits for a proxy, as one parcel, or None; from then on it waits no more."""
        holding = self.holdings.get(proxy)
        if holding is None or not holding.waiting:
            return None
        parcel = Parcel(
            proxy,
            frozenset(holding.waiting),
            holding.since,
            tuple(holding.marks),
            self.publisher.newest() if self.publisher is not None else None,
        )
        holding.waiting, holding.since, holding.marks = {}, None, []
        return parcel

    def view(self, proxy, place):
        """The lines {server: weight} that a proxy should hold for a class; None while it is bound to no
        table, and follows what it held before, but for what is withdrawn.
        """
        holding = self.holdings.get(proxy)
        table = holding.bound.get(place) if holding else None
        if table is None:
            return None
        return {
            server: weight
            for server, weight in self._lines(table).items()
            if server not in self.withdrawn
        }

    def _lines(self, table):
        """A table's lines as they are published: the assigner's, or what an operator holds it at."""
        lines = self.tables.get(table, {})
        return lines if self.publisher is None else self.publisher.rollback_pins.weights_of(table, lines)

    def edition(self, proxy, place):
        """What stands for the content of `view` and `level`: equal where these are, for proxies that share a table
        as well; None while it is bound to none.
        """
        holding = self.holdings.get(proxy)
        table = holding.bound.get(place) if holding else None
        return None if table is None else (table, self.editions.get(table, 0), self.withdrawals)

    def level(self, proxy, place):
        """(part let in, way of further tries) of a proxy's table for a class; (1, 0) where none is set."""
        table = self.holdings[proxy].bound.get(place) if proxy in self.holdings else None
        return self.levels.get((table, place), (1.0, 0))

    # What the publisher reads, and asks.

    def resume(self, held):
        """{table: [server]} as published before: only while nobody holds anything, for then nothing moves by it."""
        if not self.holdings and hasattr(
            self.assigner, "resume_tables"
        ):  # baselines have no shards
            self.assigner.resume_tables(held)

    def published(self):
        """{table: (class's place, {server: weight}, (level, way), edition)} as the assigner has them."""
        return {
            table: (
                place,
                self.tables.get(table, {}),
                self.levels.get((table, place), (1.0, 0)),
                self.editions.get(table, 0),
            )
            for table, place in self.place_of.items()
        }

    def users(self, table):
        """How many proxies are bound to a table."""
        return sum(1 for _ in self._users(table))

    def bound(self, proxy):
        """{class's place: table}"""
        return dict(self.holdings[proxy].bound) if proxy in self.holdings else {}

    def standing(self, server) -> Server | None:
        """The list's last entry for a server, or None if it was never listed."""
        return self.servers.get(server)

    # What the assigner may do.

    def now(self):
        return self.outside.now()

    def start_timer(self, after, token):
        self.outside.later(after, lambda: self._woken(token))

    def _users(self, table):
        for proxy, holding in self.holdings.items():
            for place, bound in holding.bound.items():
                if bound == table:
                    yield proxy, holding, place

    def touch(self, table, servers):
        """These lines of a table have changed for all that are bound to it."""
        now = self.outside.now()
        self.editions[table], self.changed = self.editions.get(table, 0) + 1, True
        for proxy, holding, place in self._users(table):
            holding.touch(now, place, servers)
            self.reached.add(proxy)

    def set_weight(self, table, server, weight):
        lines = self.tables.setdefault(table, {})
        if weight > 0:
            lines[server] = weight
        else:
            lines.pop(server, None)
        if self.publisher is not None and table in self.publisher.rollback_pins.published_weights:
            # It is published as an operator holds it; what follows from this for that is found as orders settle.
            self.editions[table], self.changed = self.editions.get(table, 0) + 1, True
        else:
            self.touch(table, (server,))

    def clear_table(self, table):
        gone = self.tables.pop(table, {})
        self.place_of.pop(table, None)
        self.levels = {key: level for key, level in self.levels.items() if key[0] != table}
        self.touch(table, gone)

    def assign_table(self, proxy, table, classes):
        holding = self.holdings.get(proxy)
        if holding is None:
            return
        for place in classes or self.places:
            if table not in self.place_of:
                # It is published from now on, though no line of it changes.
                self.place_of[table], self.changed = place, True
            holding.bound[place] = table
            holding.touch(self.outside.now(), place, self._lines(table))
        self.reached.add(proxy)

    def eject_server(self, server):
        self.withdrawn.add(server)
        self._standing_changed(server)

    def uneject_server(self, server):
        self.withdrawn.discard(server)
        self._standing_changed(server)

    def _standing_changed(self, server):
        self.withdrawals, self.changed = self.withdrawals + 1, True
        now = self.outside.now()
        for proxy, holding in self.holdings.items():
            for place in self.places:
                table = holding.bound.get(place)
                if table is None or server in self._lines(table):
                    holding.touch(now, place, (server,))
                    self.reached.add(proxy)

    def forget_server(self, server):
        """Let back, which reaches nobody. Its index stays: the roster and evidence may know it still."""
        self.uneject_server(server)

    def set_admission(self, table, classes, level, tries):
        for place in classes or self.places:
            self.levels[table, place] = level, tries
        self.touch(table, ())

    def request_ack(self, number, everyone):
        self.marked.append(number)
        if everyone:
            self.reached.update(self.holdings)

    def check_health(self, server):
        self.outside.probe(server)

    def send_to_peer(self, peer, data):
        """Planners share nothing here."""

    def watch_endpoints(self, on):
        self.outside.ask_list(on)

    def fetch_endpoints(self):
        self.outside.ask_list(False)

    def log(self, text):
        if self.publisher is not None:
            self.publisher.add_cause(text)
        self.outside.note(text)
