"""Write leases: until when proxies may still write to a former exclusive owner of a key range.

A proxy whose stream has broken goes on writing to the owners that it knows until its write lease
ends. A joined proxy stops when it applies the owner's ejection, which it confirms with an
acknowledgement. So an ejected owner is released, and may be replaced, when each proxy has either
confirmed the ejection or outlived its lease. Times are whole microseconds.
"""

from collections.abc import Mapping, Set
from typing import NamedTuple

from ..clock import SECOND
from .channel_account import MAX_PENDING_ACKS
from .state import AssignerState


class PossibleWriter(NamedTuple):
    """A proxy that may still write to an ejected owner.

    An acknowledgement requested at `ordered_at` or later confirms that it has stopped. Without one
    its writes end by `stops_at`.
    """

    ordered_at: int
    stops_at: int


class EjectedOwner:
    """An owner whose ejection has been ordered, tracked since `tracked_at`.

    `informed` are the joined proxies that the order was sent to since they joined. `writers` are
    those that may still write to it, by number; the others have stopped by `stopped_at`.
    """

    def __init__(
        self, writers: Mapping[int, PossibleWriter], tracked_at: int, stopped_at: int
    ) -> None:
        self.tracked_at = tracked_at
        self.informed: set[int] = set()
        self.writers = dict(writers)
        self.stopped_at = stopped_at

    def writes_end_at(self) -> int:
        """Return when no proxy known to this planner sends writes to it any more."""
        return max([self.stopped_at, *(writer.stops_at for writer in self.writers.values())])


class WriteLeases:
    """The ejected owners of key ranges, and which proxies may still write to them."""

    def __init__(self, state: AssignerState) -> None:
        self.state = state
        self.owners: dict[int, EjectedOwner] = {}
        self.requested_at: dict[int, int] = {}  # by the number of the acknowledgement request

    def track(self, owners: Set[int], now: int) -> None:
        """Track exactly these owners, whose ejection is in force."""
        for owner in self.owners.keys() - owners:
            del self.owners[owner]
        for owner in sorted(owners - self.owners.keys()):
            self.owners[owner] = EjectedOwner(
                self._departed_writers(now), tracked_at=now, stopped_at=self._delivered_by(now)
            )

    def uninformed(self, owner: int) -> set[int]:
        """Return the joined proxies that the owner's ejection was not sent to since they joined."""
        return self.state.proxies.joined() - self.owners[owner].informed

    def on_ejection_sent(self, owner: int, now: int) -> None:
        """Record that the owner's ejection has been sent to all joined proxies."""
        proxies = self.uninformed(owner)
        writer = PossibleWriter(now, self._delivered_by(now) + self.state.settings.write_lease)
        self.owners[owner].informed |= proxies
        self.owners[owner].writers.update(dict.fromkeys(proxies, writer))

    def on_ack_requested(self, number: int, now: int) -> None:
        """Record a request for acknowledgement to all joined proxies."""
        self.requested_at.pop(number, None)
        self.requested_at[number] = now
        if len(self.requested_at) > MAX_PENDING_ACKS:
            del self.requested_at[next(iter(self.requested_at))]

    def on_ack(self, proxy: int, number: int, now: int) -> None:
        """Process an acknowledgement: the proxy has applied all orders before the request."""
        requested_at = self.requested_at.get(number)
        if requested_at is None:
            return
        for owner in self.owners.values():
            writer = owner.writers.get(proxy)
            if writer is not None and requested_at >= writer.ordered_at:
                del owner.writers[proxy]
                owner.stopped_at = max(owner.stopped_at, now)

    def on_proxy_left(self, proxy: int, now: int) -> None:
        """Limit the writes of a proxy whose stream has broken to its lease."""
        lease_end = now + self.state.settings.write_lease
        for owner in self.owners.values():
            owner.informed.discard(proxy)
            writer = owner.writers.get(proxy)
            if writer is not None and lease_end < writer.stops_at:
                owner.writers[proxy] = writer._replace(stops_at=lease_end)

    def is_released(self, owner: int, assigned_at: int, now: int) -> bool:
        """Return whether no write can reach an owner of a key range assigned at `assigned_at`."""
        ejected = self.owners.get(owner)
        if ejected is None or self.uninformed(owner):
            return False
        settings = self.state.settings
        # Proxies followed an earlier process of this planner, or another planner, until then. They
        # may not have joined this one, or not have learned yet that its ejections hold for the
        # key range.
        former_leases_end_at = assigned_at + settings.write_lease
        writes_end_at = max(ejected.writes_end_at(), former_leases_end_at)
        return now >= writes_end_at + settings.write_settle_time

    def _departed_writers(self, now: int) -> dict[int, PossibleWriter]:
        write_lease = self.state.settings.write_lease
        return {
            number: PossibleWriter(now, proxy.left_at + write_lease)
            for number, proxy in self.state.proxies.items()
            if not proxy.joined and proxy.left_at + write_lease > now
        }

    def _delivered_by(self, now: int) -> int:
        """Return when the orders given now have been delivered to all proxies still joined."""
        channel = self.state.settings.channel
        lines_per_second = channel.lines_per_second * self.state.channel.throughput_ratio
        queue_time = round(self.state.channel.queued_lines(now) * SECOND / lines_per_second)
        return now + queue_time + 2 * channel.max_delivery_delay
