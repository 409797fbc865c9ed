"""The resources as one proxy should see them, free of I/O, each made once for all that share it."""

from collections.abc import Callable, KeysView, Mapping
from typing import Any, Protocol

from ...assignment.interface import RetryPolicy, ServerState
from ...planner.planner_host import PlannerHost
from . import codec
from .codec import CLUSTER, LISTENER, ROUTE, Endpoint, Resource

# How many retries after any failure a route states.
RETRIES = {
    RetryPolicy.NEVER: 0,
    RetryPolicy.ONCE_IF_NOT_EXECUTED: 0,
    RetryPolicy.ONCE: 1,
    RetryPolicy.TWICE: 2,
}


class EndpointLookup(Protocol):
    """What the cache may ask of the program around it."""

    def endpoint_of(self, server: int) -> tuple[str, str, str, int] | None:
        """Return a server's zone, id, address and port, or None if it was never listed."""


class ResourceCache:
    """The resources of all classes, by proxy.

    Proxies that share a table share its bytes: made once, whoever asks first. `class_indices` may
    change while streams are open. `scale_weights` makes whole weights of a table.
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
        # The revision of the content and the resource, by type, name and what else tells it apart.
        self._cached: dict[tuple[Any, ...], tuple[Any, Resource]] = {}

    def names(self) -> KeysView[str]:
        """Return the names of all classes, which are those of their resources."""
        return self.class_indices.keys()

    def resource(self, type_url: str, name: str, proxy: int) -> Resource | None:
        """Return a resource, or None where there is none, or none yet."""
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

    def _get(self, key: tuple[Any, ...], revision: Any, make: Callable[[], Resource]) -> Resource:
        cached = self._cached.get(key)
        if cached is None or cached[0] != revision:
            cached = (revision, make())
            self._cached[key] = cached
        return cached[1]

    def _endpoints(self, name: str, class_index: int, proxy: int, level: float) -> Resource:
        table = self._planner_host.table_for(proxy, class_index) or {}
        weights = self._scale_weights(table)
        serving = [
            Endpoint(*found, weights[server])
            for server in table
            if (found := self._lookup.endpoint_of(server))
        ]
        draining = [
            Endpoint(*found, 0)
            for server in self._planner_host.ejected_servers
            if self._is_draining(server) and (found := self._lookup.endpoint_of(server))
        ]
        return codec.endpoints(name, serving, draining, min(1.0, max(0.0, level)))

    def _is_draining(self, server: int) -> bool:
        listed = self._planner_host.endpoint(server)
        return listed is not None and listed.state == ServerState.DRAINING
