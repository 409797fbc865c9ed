"""The grantor's side of leases: to which member each relay group is granted, and until when."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .messages import LeaseDenial, LeaseGrant, LeaseRelease, LeaseRequest
from .state import KnownEpoch, MemberState

if TYPE_CHECKING:
    from .election import LeaderElection

RETRIES_PER_LEASE = 4  # sets the retry delay of a denial that is not due to a running lease
EXCLUSION_LEASES = 3  # for this many leases a member that released a group is skipped as candidate


@dataclass(slots=True)
class GrantedLease:
    """The lease granted for one relay group, by the grantor's clock; lost on a restart."""

    holder: str | None = None
    expires_at: int = 0


class LeaseGrantor:
    """Grants each relay group to one holder at a time, and saves the epoch before it answers."""

    def __init__(self, election: "LeaderElection", state: MemberState) -> None:
        self._election = election
        self._state = state
        self.leases = {group: GrantedLease() for group in state.settings.relay_groups}
        self._excluded_until: dict[tuple[str, str], int] = {}  # by relay group and member

    def on_request(self, member: str, message: LeaseRequest) -> None:
        """Answer a member that requests or renews a lease of a relay group."""
        state = self._state
        group = message.relay_group
        state.mark_heard(member, message.membership_number)
        self.record_serial(member, message.serial)
        known = state.known_epoch(group)
        retry_after = self.denial_delay(member, group, message.epoch, message.membership_number)
        if retry_after is not None:
            if message.membership_number < state.membership_number:
                self._election.membership.inform(member)
            denial = LeaseDenial(
                relay_group=group,
                epoch=message.epoch,
                round=message.round,
                highest_epoch=known.epoch,
                holder=known.holder or "",
                retry_after=retry_after,
                membership_number=max(0, state.membership_number),
            )
            state.host.send(member, denial)
            return
        if not self.grant(member, group, message.epoch):
            return
        is_first_group = group == state.settings.relay_groups[0]
        answer = LeaseGrant(
            relay_group=group,
            epoch=message.epoch,
            round=message.round,
            serial=state.record.serial,
            membership_number=state.membership_number,
            proposal=state.record.proposal if is_first_group else None,
        )
        state.host.send(member, answer)

    def denial_delay(self, member: str, relay_group: str, epoch: int, number: int) -> int | None:
        """Return None if the group may be granted, else the delay before the member may retry."""
        state = self._state
        retry_delay = state.settings.lease // RETRIES_PER_LEASE
        if relay_group not in self.leases or member not in state.members:
            return retry_delay
        if number != state.membership_number or not self._election.recovery.may_grant():
            # The member knows an older membership, or a newer one that is unknown here. A majority
            # counts in one membership only.
            return retry_delay
        lease = self.leases[relay_group]
        if lease.holder not in (None, member) and state.host.now() < lease.expires_at:
            return lease.expires_at - state.host.now()
        # A lease granted here is renewed even if another candidate's higher epoch is known here:
        # that candidate may never win a majority.
        known = state.known_epoch(relay_group)
        is_renewal = (epoch, member) in (known, state.record.epochs.get(relay_group))
        return None if is_renewal or epoch > known.epoch else retry_delay

    def grant(self, member: str, relay_group: str, epoch: int) -> bool:
        """Save the epoch and grant a lease; return False if it could not be saved."""
        state = self._state
        granted = KnownEpoch(epoch, member)
        if state.record.epochs.get(relay_group) != granted:
            epochs = {**state.record.epochs, relay_group: granted}
            if not state.save(state.record._replace(epochs=epochs)):
                return False
            state.learn_epochs({relay_group: granted})
        lease = self.leases[relay_group]
        lease.holder = member
        lease.expires_at = state.host.now() + state.settings.granted_duration
        return True

    def on_release(self, member: str, message: LeaseRelease) -> None:
        """End the lease of a holder that releases its relay group early."""
        state = self._state
        group = message.relay_group
        state.mark_heard(member)
        lease = self.leases.get(group)
        if lease is None or lease.holder != member:
            return
        if state.recorded_epoch(group).epoch != message.epoch:
            return
        lease.expires_at = state.host.now()
        # The member that released the group is skipped, so that the next one in preference order
        # campaigns at once.
        exclusion = EXCLUSION_LEASES * state.settings.lease
        self._excluded_until[group, member] = state.host.now() + exclusion

    def is_excluded(self, relay_group: str, member: str) -> bool:
        """Return whether a member released this relay group recently."""
        return self._state.host.now() < self._excluded_until.get((relay_group, member), 0)

    def lapsed_holder(self, relay_group: str) -> str | None:
        """Return the member whose lease of a relay group expired within the last two leases."""
        now = self._state.host.now()
        lease = self.leases[relay_group]
        if lease.expires_at <= now < lease.expires_at + 2 * self._state.settings.lease:
            return lease.holder
        return None

    def vacant_time(self, relay_group: str) -> int:
        """Return for how long a relay group has had no holder known here."""
        state = self._state
        return state.host.now() - max(self.leases[relay_group].expires_at, state.started_at)

    def record_serial(self, member: str, serial: int) -> None:
        """Record the highest serial seen of a peer's record, to report when the peer restarts."""
        seen = self._state.seen_serials
        seen[member] = max(seen.get(member, 0), serial)
