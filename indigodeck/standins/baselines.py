"""Policies to measure against, hosted by the same desk: none of them decides anything."""

from ..host import CHANGES, READY


class Equal:
    """One table: every host that is listed as ready, all alike, for every class and relay."""

    def __init__(self, host, charter, seed):
        self.host, self.charter, self.fleet, self.lines = host, charter, {}, {}

    def listed(self, kind, servers):
        if kind != CHANGES:
            self.fleet = {}
        for server in servers:
            self.fleet.pop(server.index, None)
            if server.state == READY:
                self.fleet[server.index] = server
        self._lay()

    def _lay(self):
        want = {index: 1.0 for index in self.fleet}
        for index in sorted(self.lines.keys() | want.keys()):
            if self.lines.get(index) != want.get(index):
                self.host.line(0, index, want.get(index, 0.0))
        self.lines = want

    def proxy_joined(self, proxy, zone, rate, fresh):
        self.host.bind(proxy, 0, range(len(self.charter["classes"])))

    def nothing(self, *_):
        pass

    proxy_left = heard = demand = applied = probed = told = woken = list_failed = nothing
    chance = None


class Frozen(Equal):
    """The weights of the first list, for as long as it runs."""

    def _lay(self):
        if not self.lines:
            super()._lay()


BASELINES = {"equal": Equal, "frozen": Frozen}
