"""The proxies that this planner serves: their frontends, zones, quotas and joins."""

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

from ..clock import now
from ..id_registry import IdRegistry
from .demand_aggregation import ProxyReport, ServerFigures
from .join_admission import JoinAdmission
from .message_quota import MessageQuota

if TYPE_CHECKING:
    from .service import PlannerService

MAX_PROXY_IDS = 65_535  # indices of proxies are small; one that has been met keeps its index


class Frontend(Protocol):
    """One protocol that proxies speak (`frontends`)."""

    def listen(self, port: int, address: str) -> None:
        """Open the sockets."""

    def port(self) -> int:
        """Return the port that was opened."""

    def set_accepting(self, accepting: bool) -> None:
        """Take proxies' connections, or none at all."""

    def request_write(self, proxy: int) -> None:
        """Write to this proxy: something waits for it."""

    def disconnect_proxy(self, proxy: int) -> None:
        """End the connections of a proxy that is not served over them any more."""

    def on_servers_changed(self, addresses: list[tuple[str, int]]) -> None:
        """Take note that the list says something new of the servers at these addresses."""

    def close(self) -> None:
        """Close all connections."""


class ProxySessions:
    """The proxies that have joined, over whichever frontend.

    `frontend_of` and `zone_of` are by proxy index; `zone_of` keeps a proxy's last zone when it has
    left. `message_quotas` are by proxy id.
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

    # What frontends tell and ask.

    def proxy_index(self, proxy_id: bytes) -> int | None:
        """Return a proxy's index, or None if too many ids have been met."""
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
        """Serve a proxy over a frontend, in the zone that it says itself or the settings state.

        The newest connection under an id speaks for it, over whichever frontend.
        """
        older = self.frontend_of.get(proxy)
        if older is not None:
            self._leave(proxy)
            if older is not frontend:
                older.disconnect_proxy(proxy)
        self.frontend_of[proxy] = frontend
        rule = self._settings.proxy_defaults.rule_for(proxy_id)
        zone_names = self._settings.zone_names
        zone = rule.zone if zone_name is None else zone_names.index(zone_name)
        self.zone_of[proxy] = zone
        self._service.health_inference.on_proxy_joined(proxy)
        self._service.log_event("proxy_joined", proxy=proxy_id, zone=zone_names[zone])
        self._service.planner_host.on_proxy_joined(proxy, zone, rule.rate, False)

    def on_proxy_left(self, frontend: Frontend, proxy: int) -> None:
        """Serve a proxy no more, unless another frontend serves it by now."""
        if self.frontend_of.get(proxy) is frontend:
            self._leave(proxy)
            self._service.log_event("proxy_left", proxy=self.proxy_name(proxy))

    def on_proxy_report(
        self,
        proxy: int,
        class_index: int,
        span: int,
        figures: list[tuple[str, int, int, int]],
        rejected: int,
        stream: Any,
    ) -> bool:
        """Take in a proxy's own report, and return whether it counted.

        `figures` are (host's id, attempts, failures, mean latency of those that did not fail).
        """
        server_indices = self._service.endpoints.server_ids.index_of
        servers = tuple(
            ServerFigures(server_indices[host_id], attempts, failures, mean_latency)
            for host_id, attempts, failures, mean_latency in figures
            if host_id in server_indices
        )
        zone = self.zone_of.get(proxy, 0)
        return self._service.demand_aggregator.on_proxy_report(
            ProxyReport(proxy, zone, class_index, span, servers, rejected, stream)
        )

    def message_quota(self, proxy_id: Any) -> MessageQuota:
        """Return a proxy's quota, kept over its connections while what was written counts."""
        found = self.message_quotas.get(proxy_id)
        if found is None:
            self._drop_idle_quotas()
            limits = self._settings.message_limits
            channel = self._settings.deployment.channel
            found = self.message_quotas[proxy_id] = MessageQuota(
                limits.max_messages,
                channel.message_window,
                limits.max_answers,
                channel.max_delivery_delay,
            )
        return found

    async def wait_for_admission(self) -> bool:
        """Wait until one more proxy may join; False if too many wait for that."""
        candidate = asyncio.get_running_loop().create_future()
        try:
            self._join_admission.on_arrival(candidate)
            return await candidate
        finally:
            self._join_admission.on_departure(candidate)

    # What the planner asks.

    def request_write(self, proxy: int) -> None:
        """Have a proxy's frontend write to it."""
        frontend = self.frontend_of.get(proxy)
        if frontend is not None:
            frontend.request_write(proxy)

    def disconnect(self, proxy: int) -> None:
        """End a proxy's connections at once; what waited for it is dropped with them."""
        frontend = self.frontend_of[proxy]
        frontend.disconnect_proxy(proxy)
        self.on_proxy_left(frontend, proxy)

    def _leave(self, proxy: int) -> None:
        del self.frontend_of[proxy]
        self._service.health_inference.on_proxy_left(proxy)
        self._service.demand_aggregator.on_proxy_left(proxy)
        self._service.planner_host.on_proxy_left(proxy)

    def _drop_idle_quotas(self) -> None:
        idle = [name for name, quota in self.message_quotas.items() if quota.is_idle(now())]
        for name in idle:
            del self.message_quotas[name]

    # What join admission may ask (`join_admission.Environment`).

    def now(self) -> int:
        """Return the time on a clock that never goes back."""
        return now()

    def call_later(self, delay: int, callback: Any) -> None:
        """Call back after this time."""
        self._service.call_later(delay, callback)

    def waiting_lines(self) -> float:
        """Return the lines that wait for all proxies."""
        return self._service.planner_host.waiting_lines()

    def lines_per_join(self) -> float:
        """Return the lines that one more proxy may have waiting at once."""
        return self._service.planner_host.lines_per_join()

    def admit(self, candidate: Any) -> None:
        """Let a candidate join now, if it still waits."""
        if not candidate.done():
            candidate.set_result(True)

    def reject(self, candidate: Any) -> None:
        """Turn a candidate away."""
        candidate.set_result(False)
