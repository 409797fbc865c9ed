"""The proxies that a planner serves: their frontends, zones, message quotas and admission."""

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

from ..clock import now
from ..id_registry import IdRegistry
from .demand_aggregation import ProxyReport, ServerStats
from .join_admission import JoinAdmission
from .message_quota import MessageQuota

if TYPE_CHECKING:
    from .service import PlannerService

MAX_PROXY_IDS = 65_535  # proxy indices are small, and an id that has been seen keeps its index


class Frontend(Protocol):
    """A server for one proxy protocol (`frontends`)."""

    def listen(self, port: int, address: str) -> None:
        """Open the listening sockets."""

    def port(self) -> int:
        """Return the port that is listened on."""

    def set_accepting(self, accepting: bool) -> None:
        """Start or stop accepting connections of proxies."""

    def request_write(self, proxy: int) -> None:
        """Schedule a write to a proxy that has a pending update."""

    def disconnect_proxy(self, proxy: int) -> None:
        """Close the connections of a proxy that is no longer served over them."""

    def on_servers_changed(self, addresses: list[tuple[str, int]]) -> None:
        """Handle changes of the list entries of the servers at these addresses."""

    def close(self) -> None:
        """Close all connections."""


class ProxySessions:
    """The joined proxies of all frontends.

    `frontend_of` and `zone_of` are keyed by proxy index; `zone_of` keeps the last zone of a proxy
    that has left. `message_quotas` is keyed by proxy id.
    """

    def __init__(self, service: "PlannerService") -> None:
        self.proxy_ids = IdRegistry()
        self.frontend_of: dict[int, Frontend] = {}
        self.zone_of: dict[int, int] = {}
        self.message_quotas: dict[Any, MessageQuota] = {}
        self._service = service
        self._settings = service.settings
        self._join_admission = JoinAdmission(
            self, service.settings.deployment.channel.max_waiting_lines
        )

    # Calls by frontends.

    def proxy_index(self, proxy_id: bytes) -> int | None:
        """Return a proxy's index, or None if too many ids have been seen."""
        is_known = proxy_id in self.proxy_ids.index_of
        if not is_known and len(self.proxy_ids.id_of) >= MAX_PROXY_IDS:
            return None
        return self.proxy_ids.index(proxy_id)

    def proxy_name(self, proxy: int) -> str:
        """Return a proxy's id as text."""
        return str(self.proxy_ids.id_of[proxy], "utf-8", "replace")

    def on_proxy_joined(
        self, frontend: Frontend, proxy: int, proxy_id: str, zone_name: str | None = None
    ) -> None:
        """Serve a proxy over a frontend, in the zone that it states or that the settings define.

        If a proxy id is connected more than once, over any frontends, the newest connection is
        used.
        """
        previous = self.frontend_of.get(proxy)
        if previous is not None:
            self._remove_proxy(proxy)
            if previous is not frontend:
                previous.disconnect_proxy(proxy)
        self.frontend_of[proxy] = frontend
        rule = self._settings.proxy_defaults.rule_for(proxy_id)
        zone_names = self._settings.zone_names
        zone = rule.zone if zone_name is None else zone_names.index(zone_name)
        self.zone_of[proxy] = zone
        self._service.health_inference.on_proxy_joined(proxy)
        self._service.log_event("proxy_joined", proxy=proxy_id, zone=zone_names[zone])
        self._service.planner_host.on_proxy_joined(proxy, zone, rule.rate, False)

    def on_proxy_left(self, frontend: Frontend, proxy: int) -> None:
        """Stop serving a proxy, unless another frontend has taken it over."""
        if self.frontend_of.get(proxy) is frontend:
            self._remove_proxy(proxy)
            self._service.log_event("proxy_left", proxy=self.proxy_name(proxy))

    def on_proxy_report(
        self,
        proxy: int,
        class_index: int,
        span: int,
        server_stats: list[tuple[str, int, int, int]],
        rejected: int,
        stream: Any,
    ) -> bool:
        """Add a proxy's own report to the sums, and return whether it was accepted.

        `server_stats` are (host id, attempts, failures, mean latency of successful attempts).
        """
        server_indices = self._service.endpoints.server_ids.index_of
        servers = tuple(
            ServerStats(server_indices[host_id], attempts, failures, mean_latency)
            for host_id, attempts, failures, mean_latency in server_stats
            if host_id in server_indices
        )
        zone = self.zone_of.get(proxy, 0)
        return self._service.demand_aggregator.on_proxy_report(
            ProxyReport(proxy, zone, class_index, span, servers, rejected, stream)
        )

    def message_quota(self, proxy_id: Any) -> MessageQuota:
        """Return a proxy's quota, which outlasts its connections while messages count."""
        quota = self.message_quotas.get(proxy_id)
        if quota is None:
            self._drop_idle_quotas()
            limits = self._settings.message_limits
            channel = self._settings.deployment.channel
            quota = self.message_quotas[proxy_id] = MessageQuota(
                limits.max_messages,
                channel.message_window,
                limits.max_answers,
                channel.max_delivery_delay,
            )
        return quota

    async def wait_for_admission(self) -> bool:
        """Wait until one more proxy may join; return False if too many are waiting."""
        candidate = asyncio.get_running_loop().create_future()
        try:
            self._join_admission.on_arrival(candidate)
            return await candidate
        finally:
            self._join_admission.on_departure(candidate)

    # Calls by the planner.

    def request_write(self, proxy: int) -> None:
        """Schedule a write by the proxy's frontend."""
        frontend = self.frontend_of.get(proxy)
        if frontend is not None:
            frontend.request_write(proxy)

    def disconnect(self, proxy: int) -> None:
        """Close a proxy's connections at once, and drop its pending update."""
        frontend = self.frontend_of[proxy]
        frontend.disconnect_proxy(proxy)
        self.on_proxy_left(frontend, proxy)

    def _remove_proxy(self, proxy: int) -> None:
        del self.frontend_of[proxy]
        self._service.health_inference.on_proxy_left(proxy)
        self._service.demand_aggregator.on_proxy_left(proxy)
        self._service.planner_host.on_proxy_left(proxy)

    def _drop_idle_quotas(self) -> None:
        idle = [name for name, quota in self.message_quotas.items() if quota.is_idle(now())]
        for name in idle:
            del self.message_quotas[name]

    # Services for join admission (`join_admission.Environment`).

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return now()

    def call_later(self, delay: int, callback: Any) -> None:
        """Call `callback` after `delay` microseconds."""
        self._service.call_later(delay, callback)

    def waiting_lines(self) -> float:
        """Return the number of lines queued for all proxies."""
        return self._service.planner_host.waiting_lines()

    def lines_per_join(self) -> float:
        """Return how many lines one joining proxy can add to the queue."""
        return self._service.planner_host.lines_per_join()

    def admit(self, candidate: Any) -> None:
        """Let a candidate join now, if it is still waiting."""
        if not candidate.done():
            candidate.set_result(True)

    def reject(self, candidate: Any) -> None:
        """Turn a candidate away."""
        candidate.set_result(False)
