"""The assigner's host on the platform, free of I/O: its calls become orders, the platform's ids become indices.

The orders of one call of the assigner are one call to the relay. An index is given up when nothing can name its server
any more; it is never used again. A fault in the handling of one message is noted, and that message is lost, no more.
"""

import traceback
from typing import Protocol

from ..assignment.assigner import Assigner
from ..assignment.interface import DemandReport, LoadReport, Server, ServerState, UpdateKind

MARKS_MOST = 256
AGAIN = 50_000  # between two looks whether the relay has caught up


class Environment(Protocol):
    """What the desk may ask of the program around it."""

    def now(self) -> int: ...

    def later(self, after: int, call) -> None: ...

    def wanted(self) -> None:
        """Orders wait for the relay."""

    def probe(self, asked: tuple, dial: tuple) -> None:
        """Answer with the desk's `probed`, given `asked` back."""

    def tell(self, peer: int | None, data: bytes) -> None: ...

    def fetch(self) -> None:
        """Ask for the whole list."""

    def note(self, text: str) -> None: ...

    def trace(self, kind: str, said) -> None:
        """What the assigner was told, or has ordered: to compare with what passes on the sockets."""


class Desk:
    """`words`: the codec's, for the same charter; `outbox`: takes the orders."""

    def __init__(self, outside, words, outbox, settings, seed, make=Assigner):
        self.outside, self.words, self.outbox = outside, words, outbox
        self.index_of, self.servers, self.count = (
            {},
            {},
            0,
        )  # {name: index}; {index: (entry, Server)}
        self.orders, self.marks, self.passed_over = [], {}, 0
        self.assigner = make(self, settings, seed)

    # What happens.

    def _tell(self, method, *given):
        self.outside.trace(method.__name__, given)
        try:
            method(*given)
        except (
            Exception
        ):  # the assigner's state may have changed halfway; what it ordered until then stands
            self.outside.note("a message was lost to a fault: " + traceback.format_exc(limit=-4))
        orders, self.orders = self.orders, []
        if orders:
            self.outside.trace("orders", orders)
            self.outbox.order(orders)
            self.outside.wanted()

    def listed(self, catalog, cached=False):
        """A list as the codec read it (`Catalog`)."""
        # Gone before it was ever known: nothing names it, so nothing would ever forget it.
        servers = [
            self._server(entry)
            for entry in catalog.entries
            if entry.state != ServerState.GONE or entry.name in self.index_of
        ]
        if catalog.whole:
            # An entry that can't be read says nothing against the server it names.
            servers += [
                self.servers[self.index_of[name]][1]
                for name in sorted(catalog.spoilt & self.index_of.keys())
            ]
        self._tell(
            self.assigner.on_endpoint_update,
            UpdateKind.CACHED
            if cached
            else UpdateKind.WHOLE
            if catalog.whole
            else UpdateKind.CHANGES,
            servers,
        )

    def _server(self, entry):
        index = self.index_of.get(entry.name)
        if index is None:
            index = self.index_of[entry.name] = self.count
            self.count += 1
        known = self.servers.get(index)
        # The same start has the same time however often it is listed; none lies ahead, as clocks may say.
        started = (
            known[1].started
            if known and known[0].born == entry.born
            else min(entry.born, self.outside.now())
        )
        server = Server(
            index,
            entry.name.encode(),
            entry.cell,
            entry.kind,
            entry.zone,
            entry.weight,
            started,
            entry.state,
        )
        self.servers[index] = entry, server
        return server

    def proxy_joined(self, proxy, zone, rate, fresh):
        self._tell(self.assigner.on_proxy_joined, proxy, zone, rate, fresh)

    def proxy_left(self, proxy):
        self.outbox.left(proxy)
        self._tell(self.assigner.on_proxy_left, proxy)

    def heard(self, zone, name, tries, failed, took, span, load):
        index = self.index_of.get(name)
        if index is None:
            self.passed_over += 1
        else:
            report = LoadReport(zone, index, tries, failed, took, span, load)
            self._tell(self.assigner.on_load_report, report)

    def demand(self, proxy, place, exchanges, failed, span):
        report = DemandReport(proxy, place, exchanges, failed, span)
        self._tell(self.assigner.on_demand_report, report)

    def applied(self, proxy, number, took):
        """An answer to a mark; one that says it took longer than the mark exists is spoilt."""
        if number in self.marks and took <= self.outside.now() - self.marks[number]:
            self._tell(self.assigner.on_ack, proxy, number, took)
        else:
            self.passed_over += 1

    def probed(self, asked, outcome, took, load):
        """`asked`: as handed to `probe`. What an earlier process answered says nothing of the one there now."""
        server, started = asked
        if server in self.servers and self.servers[server][1].started == started:
            self._tell(self.assigner.on_health_check, server, outcome, took, load)

    def told(self, peer, data):
        self._tell(self.assigner.on_peer_message, peer, data)

    def _woken(self, token):
        if self.outbox.behind():
            # What can't be sent is not added to: the channel would be written it all at once afterwards.
            self.outside.later(AGAIN, lambda: self._woken(token))
        else:
            self._tell(self.assigner.on_timer, token)

    # What the assigner may do.

    def now(self):
        return self.outside.now()

    def start_timer(self, after, token):
        self.outside.later(after, lambda: self._woken(token))

    def set_weight(self, table, server, weight):
        self.orders.append(self.words.put(table, self.servers[server][0].name, weight))

    def clear_table(self, table):
        self.orders.append(self.words.wipe(table))

    def assign_table(self, proxy, table, classes):
        self.orders.append(self.words.attach(proxy, table, classes))

    def eject_server(self, server):
        self.orders.append(self.words.eject(self.servers[server][0].name, True))

    def uneject_server(self, server):
        self.orders.append(self.words.eject(self.servers[server][0].name, False))

    def forget_server(self, server):
        entry, _ = self.servers.pop(server)
        self.orders.append(self.words.eject(entry.name, False))
        del self.index_of[entry.name]

    def set_admission(self, table, classes, level, tries):
        self.orders.append(self.words.gate("*" if table < 0 else table, classes, level, tries))

    def request_ack(self, number, everyone):
        self.marks.pop(number, None)
        self.marks[number] = self.outside.now()
        if len(self.marks) > MARKS_MOST:
            del self.marks[next(iter(self.marks))]
        self.orders.append(self.words.fence(number, everyone))

    def check_health(self, server):
        entry, known = self.servers[server]
        self.outside.probe((server, known.started), entry.dial)

    def send_to_peer(self, peer, data):
        self.outside.tell(peer, data)

    def watch_endpoints(self, on):
        """The list is watched all the time."""

    def fetch_endpoints(self):
        self.outside.fetch()

    def log(self, text):
        self.outside.note(text)
