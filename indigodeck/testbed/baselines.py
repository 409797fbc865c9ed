"""Baseline policies for comparison with the assigner; they run in its place in a planner.

They follow the endpoint list only and ignore load, health and demand.
"""

from collections.abc import Iterable
from typing import Any

from ..assignment.interface import AssignerHost, Server, ServerState, UpdateKind
from ..settings import DeploymentSettings


class EqualWeights:
    """One table for all classes and proxies, with equal weights for all servers listed as ready."""

    random = None  # the assigner has a random source; a baseline needs none

    def __init__(self, host: AssignerHost, settings: DeploymentSettings, seed: int) -> None:
        self._host = host
        self._settings = settings
        self._ready: dict[int, Server] = {}
        self._weights: dict[int, float] = {}

    def on_endpoint_update(self, kind: UpdateKind, servers: Iterable[Server]) -> None:
        """Update the table from the endpoint list."""
        if kind != UpdateKind.INCREMENTAL:
            self._ready = {}
        for server in servers:
            self._ready.pop(server.index, None)
            if server.state == ServerState.READY:
                self._ready[server.index] = server
        self._update_table()

    def on_proxy_joined(self, proxy: int, zone: int, rate: float, fresh: bool) -> None:
        """Assign the proxy to the common table."""
        self._host.assign_table(proxy, 0, range(len(self._settings.classes)))

    def _update_table(self) -> None:
        weights = {index: 1.0 for index in self._ready}
        for index in sorted(self._weights.keys() | weights.keys()):
            if self._weights.get(index) != weights.get(index):
                self._host.set_weight(0, index, weights.get(index, 0.0))
        self._weights = weights

    def _ignore(self, *_: Any) -> None:
        """Ignore an event."""

    on_proxy_left = _ignore
    on_load_report = _ignore
    on_demand_report = _ignore
    on_ack = _ignore
    on_health_check = _ignore
    on_peer_message = _ignore
    on_timer = _ignore
    on_endpoint_list_failed = _ignore


class FrozenWeights(EqualWeights):
    """The weights of the first endpoint list, never changed afterwards."""

    def _update_table(self) -> None:
        if not self._weights:
            super()._update_table()


BASELINES = {"equal": EqualWeights, "frozen": FrozenWeights}
