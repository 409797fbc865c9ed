"""The planner's side of leadership: which proxies it may serve, and what a lease changes.

A planner without other controllers may always serve. In a group of controllers, `member_thread`
runs this controller's member of the group (`leadership.member_thread`). Its events arrive here on
the planner's own event loop.
"""

from typing import TYPE_CHECKING, Any

from ..clock import now

if TYPE_CHECKING:
    from ..leadership.transport import ConnectedRelay
    from .service import PlannerService


class LeadershipHooks:
    """Checks permission before proxies are sent anything, and handles acquired and lost leases."""

    def __init__(self, service: "PlannerService") -> None:
        self.member_thread: Any = None  # set by `serve`; None without other controllers
        self._service = service

    # Queries by the planner and its frontends.

    def lease_epoch(self, zone: int) -> int | None:
        """Return the epoch under which orders may be sent to a zone's proxies now.

        It is 0 without other controllers, and None while another controller leads. Call this at the
        time of writing, because a lease can expire in between.
        """
        if self.member_thread is None:
            return 0
        return self.member_thread.election.leading_epoch(self._relay_group(zone))

    def holds_any_lease(self) -> bool:
        """Return whether this planner may serve any proxy now."""
        if self.member_thread is None:
            return True
        election = self.member_thread.election
        return any(election.leading_epoch(group) is not None for group in election.relay_groups)

    def may_serve(self, proxy_id: str, zone_name: str | None = None) -> bool:
        """Return whether a proxy that is connecting may be served by this planner."""
        settings = self._service.settings
        if zone_name is None:
            zone = settings.proxy_defaults.rule_for(proxy_id).zone
        else:
            zone = settings.zone_names.index(zone_name)
        return self.lease_epoch(zone) is not None

    def may_write(self, proxy: int) -> bool:
        """Return whether data may be sent to a proxy that has joined."""
        return self.lease_epoch(self._service.proxies.zone_of.get(proxy, 0)) is not None

    def rejected_content(self, proxy_id: str) -> dict[str, str]:
        """Return the content that a proxy rejected from any controller, by class."""
        if self.member_thread is None:
            return {}
        return self.member_thread.rejections_of(proxy_id)

    def on_content_rejected(self, proxy_id: str, class_name: str, content: str) -> None:
        """Record that a proxy rejected content, and notify the other controllers."""
        if self.member_thread is not None:
            self.member_thread.record_rejection(proxy_id, class_name, content)

    # Calls by the member thread.

    def now(self) -> int:
        """Return the monotonic time in microseconds; called from any thread."""
        return now()

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log; called from any thread."""
        self._service.log_event(event, **fields)

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Start to serve the proxies of a relay group under this epoch."""
        self.log_event("lease_acquired", relay_group=relay_group, epoch=epoch)
        self._service.versions.on_leadership_acquired(epoch)
        for frontend in self._service.frontends:
            frontend.set_accepting(True)

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Stop serving the proxies of a relay group, and close their connections at once."""
        self.log_event("lease_lost", relay_group=relay_group, epoch=epoch, why=reason)
        proxies = self._service.proxies
        for proxy in list(proxies.frontend_of):
            if self._relay_group(proxies.zone_of[proxy]) == relay_group:
                proxies.disconnect(proxy)
        if not self.holds_any_lease():
            self._service.versions.on_leadership_lost()
            for frontend in self._service.frontends:
                frontend.set_accepting(False)

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Process a message of another controller about versions or operator requests."""
        self._service.versions.on_replication_message(member, kind, fields)

    async def on_operator_request(self, request: Any) -> dict[str, Any]:
        """Execute an operator request about versions."""
        return await self._service.versions.on_operator_request(request)

    def connected_relays(self) -> "list[ConnectedRelay]":
        """Return all proxies that this planner serves."""
        from ..leadership.transport import ConnectedRelay  # loaded only where there is a group

        proxies = self._service.proxies
        frontend_names = {
            id(frontend): name
            for frontend, name in zip(
                self._service.frontends, self._service.settings.frontends, strict=False
            )
        }
        return [
            ConnectedRelay(
                proxies.proxy_name(proxy),
                frontend_names.get(id(frontend), ""),
                self._relay_group(proxies.zone_of[proxy]),
            )
            for proxy, frontend in proxies.frontend_of.items()
        ]

    def _relay_group(self, zone: int) -> str:
        """Return the relay group, covered by one lease, that a zone belongs to."""
        settings = self._service.settings
        if settings.leadership is not None and settings.leadership.lease_per_zone:
            return settings.zone_names[zone]
        return self.member_thread.election.relay_groups[0]
