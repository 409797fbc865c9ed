"""Write leases: until when proxies may still write to a former exclusive owner of a key range.

A proxy whose stream has broken goes on writing to the owners that it knows until its write lease
ends. A joined proxy stops when it applies the owner's ejection, which it confirms with an
acknowledgement. So an ejected owner is released, and may be replaced, when each proxy has either
confirmed the ejection or outlived its lease. It stays ejected until, in the same way, no proxy
takes it for the owner any more. Times are whole microseconds.
"""

from collections.abc import Iterator, Mapping, Set
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


class WriterSet:
    """The proxies that may still write to a server, by number; others have stopped by `stopped_at`.

    A proxy is removed when it confirms that it has stopped.
    """

    def __init__(self, writers: Mapping[int, PossibleWriter], stopped_at: int) -> None:
        self.writers = dict(writers)
        self.stopped_at = stopped_at

    def writes_end_at(self) -> int:
        """Return when no proxy known to this planner sends writes to the server any more."""
        return max([self.stopped_at, *(writer.stops_at for writer in self.writers.values())])

    def on_ack(self, proxy: int, requested_at: int, now: int) -> None:
        """Process an acknowledgement that was requested at `requested_at`."""
        writer = self.writers.get(proxy)
        if writer is not None and requested_at >= writer.ordered_at:
            del self.writers[proxy]
            self.stopped_at = max(self.stopped_at, now)

    def on_proxy_left(self, proxy: int, lease_end: int) -> None:
        """Limit the writes of a proxy whose stream has broken to its lease."""
        writer = self.writers.get(proxy)
        if writer is not None and lease_end < writer.stops_at:
            self.writers[proxy] = writer._replace(stops_at=lease_end)


class EjectedOwner(WriterSet):
    """An owner whose ejection has been ordered, tracked since `tracked_at`.

    `informed` are the joined proxies that the order was sent to since they joined.
    """

    def __init__(
        self, writers: Mapping[int, PossibleWriter], tracked_at: int, stopped_at: int
    ) -> None:
        super().__init__(writers, stopped_at)
        self.tracked_at = tracked_at
        self.informed: set[int] = set()


class WriteLeases:
    """The ejected owners of key ranges, and which proxies may still write to them.

    `owners` still have a key range. `replaced` have lost one: proxies that do not know the next
    owner yet would write to the former one again if its ejection ended. The process, which began at
    `started_at`, does not know which owners a former one has replaced.
    """

    def __init__(self, state: AssignerState) -> None:
        self.state = state
        self.started_at = state.host.now()
        self.owners: dict[int, EjectedOwner] = {}
        self.replaced: dict[int, WriterSet] = {}
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
        self.owners[owner].informed |= proxies
        self.owners[owner].writers.update(dict.fromkeys(proxies, self._informed_writer(now)))

    def on_replaced(self, owner: int, now: int) -> None:
        """Record that the next owner of a key range has been sent to all joined proxies."""
        writers = self._departed_writers(now)
        writers.update(dict.fromkeys(self.state.proxies.joined(), self._informed_writer(now)))
        self.replaced[owner] = WriterSet(writers, stopped_at=now)

    def not_yet_readmitted(self, now: int) -> set[int]:
        """Return the ejected servers that some proxy may still take for an owner."""
        settings = self.state.settings
        self.replaced = {
            owner: writers
            for owner, writers in self.replaced.items()
            if now < writers.writes_end_at() + settings.write_settle_time
        }
        former_leases_end_at = self.started_at + settings.write_lease
        if now < former_leases_end_at + settings.write_settle_time:
            return self.state.ejected | self.replaced.keys()
        return set(self.replaced)

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
        for writers in self._all_writers():
            writers.on_ack(proxy, requested_at, now)

    def on_proxy_left(self, proxy: int, now: int) -> None:
        """Limit the writes of a proxy whose stream has broken to its lease."""
        for owner in self.owners.values():
            owner.informed.discard(proxy)
        for writers in self._all_writers():
            writers.on_proxy_left(proxy, now + self.state.settings.write_lease)

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

    def _all_writers(self) -> Iterator[WriterSet]:
        yield from self.owners.values()
        yield from self.replaced.values()

    def _informed_writer(self, now: int) -> PossibleWriter:
        """Return a joined proxy's entry: it stops when it applies the orders given now."""
        return PossibleWriter(now, self._delivered_by(now) + self.state.settings.write_lease)

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
