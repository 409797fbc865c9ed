"""The grantor's side of a lease: to whom this member granted a relay group, and until when."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .messages import LeaseDenial, LeaseGrant, LeaseRelease, LeaseRequest
from .state import KnownEpoch, MemberState

if TYPE_CHECKING:
    from .election import LeaderElection

DENIALS_PER_LEASE = 4  # how often one may ask again that is denied for another reason than a lease
PASSED_OVER_LEASES = 3  # for how many leases who gave a group up is not waited for


@dataclass(slots=True)
class GrantedLease:
    """What was granted of one relay group, by the grantor's clock. Not kept over restarts."""

    holder: str | None = None
    until: int = 0


class LeaseGrantor:
    """Grants each relay group to one holder at a time, and writes the epoch down first."""

    def __init__(self, election: "LeaderElection", state: MemberState) -> None:
        self._election = election
        self._state = state
        self.leases = {group: GrantedLease() for group in state.settings.relay_groups}
        self._passed_over_until: dict[tuple[str, str], int] = {}  # by relay group and member

    def on_request(self, member: str, message: LeaseRequest) -> None:
        """Answer a member that asks for a relay group, or for more time with it."""
        state = self._state
        group = message.relay_group
        state.note_heard(member, message.membership_number)
        self.note_serial(member, message.serial)
        known = state.known_epoch(group)
        retry_after = self.refusal(member, group, message.epoch, message.membership_number)
        if retry_after is not None:
            if message.membership_number < state.number:
                self._election.membership.inform(member)
            denial = LeaseDenial(
                relay_group=group,
                epoch=message.epoch,
                round=message.round,
                highest_epoch=known.epoch,
                holder=known.holder or "",
                retry_after=retry_after,
                membership_number=max(0, state.number),
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
            membership_number=state.number,
            proposal=state.record.proposal if is_first_group else None,
        )
        state.host.send(member, answer)

    def refusal(self, member: str, relay_group: str, epoch: int, number: int) -> int | None:
        """Return None where a group may be granted; else how long to wait before asking again."""
        state = self._state
        later = state.settings.lease // DENIALS_PER_LEASE
        if relay_group not in self.leases or member not in state.members:
            return later
        if number != state.number or not self._election.recovery.may_grant():
            # The other knows an older membership, or a newer one that is not known here yet: each
            # counts its own majority.
            return later
        lease = self.leases[relay_group]
        if lease.holder not in (None, member) and state.host.now() < lease.until:
            return lease.until - state.host.now()
        # What was granted here is renewed though somebody else has asked for a higher epoch
        # elsewhere: that one may never get it.
        known = state.known_epoch(relay_group)
        renews = (epoch, member) in (known, state.record.epochs.get(relay_group))
        return None if renews or epoch > known.epoch else later

    def grant(self, member: str, relay_group: str, epoch: int) -> bool:
        """Grant for the time of a lease, written down first; False if that failed."""
        state = self._state
        granted = KnownEpoch(epoch, member)
        if state.record.epochs.get(relay_group) != granted:
            epochs = {**state.record.epochs, relay_group: granted}
            if not state.save(state.record._replace(epochs=epochs)):
                return False
            state.learn_epochs({relay_group: granted})
        lease = self.leases[relay_group]
        lease.holder = member
        lease.until = state.host.now() + state.settings.granted_duration
        return True

    def on_release(self, member: str, message: LeaseRelease) -> None:
        """End the lease of a holder that gives its relay group back early."""
        state = self._state
        group = message.relay_group
        state.note_heard(member)
        lease = self.leases.get(group)
        if lease is None or lease.holder != member:
            return
        if state.recorded_epoch(group).epoch != message.epoch:
            return
        lease.until = state.host.now()
        # Who gave it up by plan is not waited for: the next in order takes it at once.
        passed_over = PASSED_OVER_LEASES * state.settings.lease
        self._passed_over_until[group, member] = state.host.now() + passed_over

    def is_passed_over(self, relay_group: str, member: str) -> bool:
        """Return whether a member gave this relay group up a short while ago."""
        return self._state.host.now() < self._passed_over_until.get((relay_group, member), 0)

    def lapsed_holder(self, relay_group: str) -> str | None:
        """Return who let its lease of a relay group end within the last two leases."""
        now = self._state.host.now()
        lease = self.leases[relay_group]
        if lease.until <= now < lease.until + 2 * self._state.settings.lease:
            return lease.holder
        return None

    def vacant_time(self, relay_group: str) -> int:
        """Return for how long nobody is known here to hold a relay group."""
        state = self._state
        return state.host.now() - max(self.leases[relay_group].until, state.started_at)

    def note_serial(self, member: str, serial: int) -> None:
        """Note how much of a peer's writing was seen, to tell it when it starts anew."""
        seen = self._state.seen_serials
        seen[member] = max(seen.get(member, 0), serial)
