"""Policies to measure against, hosted by the same desk: none of them decides anything."""

from ..assignment.interface import ServerState, UpdateKind


class Equal:
    """One table: every host that is listed as ready, all alike, for every class and relay."""

    def __init__(self, host, settings, seed):
        self.host, self.settings, self.fleet, self.lines = host, settings, {}, {}

    def on_endpoint_update(self, kind, servers):
        if kind != UpdateKind.CHANGES:
            self.fleet = {}
        for server in servers:
            self.fleet.pop(server.index, None)
            if server.state == ServerState.READY:
                self.fleet[server.index] = server
        self._lay()

    def _lay(self):
        want = {index: 1.0 for index in self.fleet}
        for index in sorted(self.lines.keys() | want.keys()):
            if self.lines.get(index) != want.get(index):
                self.host.set_weight(0, index, want.get(index, 0.0))
        self.lines = want

    def on_proxy_joined(self, proxy, zone, rate, fresh):
        self.host.assign_table(proxy, 0, range(len(self.settings.classes)))

    def nothing(self, *_):
        pass

    on_proxy_left = on_load_report = on_demand_report = on_ack = on_health_check = nothing
    on_peer_message = on_timer = on_endpoint_list_failed = nothing
    chance = None


class Frozen(Equal):
    """The weights of the first list, for as long as it runs."""

    def _lay(self):
        if not self.lines:
            super()._lay()


BASELINES = {"equal": Equal, "frozen": Frozen}
