"""The xDS resources that each proxy should hold, without I/O, and a cache of their encodings."""

from collections.abc import Callable, KeysView, Mapping
from typing import Any, Protocol

from ...assignment.interface import RetryPolicy, ServerState
from ...planner.planner_host import PlannerHost
from . import codec
from .codec import CLUSTER, LISTENER, ROUTE, Endpoint, Resource

# The number of retries after any failure that a route allows.
RETRIES = {
    RetryPolicy.NEVER: 0,
    RetryPolicy.ONCE_IF_NOT_EXECUTED: 0,
    RetryPolicy.ONCE: 1,
    RetryPolicy.TWICE: 2,
}


class EndpointLookup(Protocol):
    """Looks up the addresses of servers for the cache."""

    def endpoint_of(self, server: int) -> tuple[str, str, str, int] | None:
        """Return a server's zone, id, address and port, or None if it was never listed."""


class ResourceCache:
    """The resources of all classes, as they should be for each proxy.

    Proxies that share a table share its encoded endpoints, which are built at the first request.
    `class_indices` may change while streams are open. `scale_weights` converts the weights of a
    table to integers.
    """

    def __init__(
        self,
        planner_host: PlannerHost,
        lookup: EndpointLookup,
        class_indices: Mapping[str, int],
        scale_weights: Callable[[Mapping[int, float]], dict[int, int]],
    ) -> None:
        self.class_indices = dict(class_indices)
        self._planner_host = planner_host
        self._lookup = lookup
        self._scale_weights = scale_weights
        # Each resource with the revision of its content. Keys are the type, the name, and for
        # routes the number of retries, for endpoints the table.
        self._cached: dict[tuple[Any, ...], tuple[Any, Resource]] = {}

    def names(self) -> KeysView[str]:
        """Return the names of all resources, which are those of the classes."""
        return self.class_indices.keys()

    def resource(self, type_url: str, name: str, proxy: int) -> Resource | None:
        """Return the resource that a proxy should hold, or None if it does not exist (yet)."""
        class_index = self.class_indices.get(name)
        if class_index is None:
            return None
        if type_url == CLUSTER:
            return self._get((type_url, name), None, lambda: codec.cluster(name))
        if type_url == LISTENER:
            return self._get((type_url, name), None, lambda: codec.listener(name))
        admission = self._planner_host.admission_for(proxy, class_index)
        if type_url == ROUTE:
            retries = RETRIES[admission.retry_policy]
            return self._get((type_url, name, retries), None, lambda: codec.route(name, retries))
        revision = self._planner_host.revision_of(proxy, class_index)
        if revision is None:
            return None  # no table yet: the proxy keeps what it has
        return self._get(
            (type_url, name, revision[0]),
            revision,
            lambda: self._endpoints(name, class_index, proxy, admission.level),
        )

    def _get(self, key: tuple[Any, ...], revision: Any, build: Callable[[], Resource]) -> Resource:
        cached = self._cached.get(key)
        if cached is None or cached[0] != revision:
            cached = (revision, build())
            self._cached[key] = cached
        return cached[1]

    def _endpoints(self, name: str, class_index: int, proxy: int, level: float) -> Resource:
        table = self._planner_host.table_for(proxy, class_index) or {}
        weights = self._scale_weights(table)
        serving = [
            Endpoint(*location, weights[server])
            for server in table
            if (location := self._lookup.endpoint_of(server))
        ]
        draining = [
            Endpoint(*location, 0)
            for server in self._planner_host.ejected_servers
            if self._is_draining(server) and (location := self._lookup.endpoint_of(server))
        ]
        return codec.endpoints(name, serving, draining, min(1.0, max(0.0, level)))

    def _is_draining(self, server: int) -> bool:
        listed = self._planner_host.endpoint(server)
        return listed is not None and listed.state == ServerState.DRAINING
