"""Where leadership meets the planner: whom it may serve, and what a lease changes.

A planner alone always may. `members` is its thread of the group of controllers
(`leadership.member_thread`), where there is a group; its events arrive here on the planner's own
loop.
"""

from typing import TYPE_CHECKING, Any

from ..clock import now

if TYPE_CHECKING:
    from ..leadership.transport import ConnectedRelay
    from .service import PlannerService


class LeadershipHooks:
    """Asked before anything is told to a proxy, and told of leases that are acquired and lost."""

    def __init__(self, service: "PlannerService") -> None:
        self.member_thread: Any = None  # set by the program that puts a planner together (`serve`)
        self._service = service

    # What the planner and its frontends ask.

    def lease_epoch(self, zone: int) -> int | None:
        """Return the epoch under which orders to a zone's proxies may leave now.

        0 where controllers share nothing, None while another leads. To be asked as bytes leave.
        """
        if self.member_thread is None:
            return 0
        return self.member_thread.election.leading_epoch(self._relay_group(zone))

    def holds_any_lease(self) -> bool:
        """Return whether any proxy may be served from here now."""
        if self.member_thread is None:
            return True
        election = self.member_thread.election
        return any(election.leading_epoch(group) is not None for group in election.relay_groups)

    def may_serve(self, proxy_id: str, zone_name: str | None = None) -> bool:
        """Return whether a proxy that introduces itself may be told anything from here."""
        settings = self._service.settings
        if zone_name is None:
            zone = settings.proxy_defaults.rule_for(proxy_id).zone
        else:
            zone = settings.zone_names.index(zone_name)
        return self.lease_epoch(zone) is not None

    def may_write(self, proxy: int) -> bool:
        """Return whether bytes may leave for a proxy that was served."""
        return self.lease_epoch(self._service.proxies.zone_of.get(proxy, 0)) is not None

    def rejected_content(self, proxy_id: str) -> dict[str, str]:
        """Return what a proxy rejected, here or with another controller, by class."""
        if self.member_thread is None:
            return {}
        return self.member_thread.rejections_of(proxy_id)

    def on_content_rejected(self, proxy_id: str, class_name: str, content: str) -> None:
        """Let the other controllers know that a proxy rejected what it was sent."""
        if self.member_thread is not None:
            self.member_thread.record_rejection(proxy_id, class_name, content)

    # What the group's member tells and asks.

    def now(self) -> int:
        """Return the time on a clock that never goes back; from any thread."""
        return now()

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the log; from any thread."""
        self._service.log_event(event, **facts)

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Begin to serve the proxies of a group under this epoch."""
        self.log_event("lease_acquired", relay_group=relay_group, epoch=epoch)
        self._service.versions.on_leadership_acquired(epoch)
        for frontend in self._service.frontends:
            frontend.set_accepting(True)

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Write nothing more to a group's proxies: their connections end at once."""
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
        """Take in another controller's message on versions and operators' requests."""
        self._service.versions.on_replication_message(member, kind, fields)

    async def on_operator_request(self, request: Any) -> dict[str, Any]:
        """Carry out an operator's request on versions."""
        return await self._service.versions.on_operator_request(request)

    def connected_relays(self) -> "list[ConnectedRelay]":
        """Return all proxies that are spoken to from here."""
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
        """Return the group of proxies, under one lease, that a zone belongs to."""
        settings = self._service.settings
        if settings.leadership is not None and settings.leadership.lease_per_zone:
            return settings.zone_names[zone]
        return self.member_thread.election.relay_groups[0]
