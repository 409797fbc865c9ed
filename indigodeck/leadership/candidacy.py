"""The holder's side of leases: campaigns for relay groups, renews their leases and leads them.

A candidate that a majority has granted a lease leads until that lease may have expired by its own
clock, counted from the time of its request.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..assignment.seeded_random import SeededRandom, seed_from
from .messages import LeaseDenial, LeaseGrant, LeaseRelease, LeaseRequest
from .state import COUNTER_BITS, MemberState, Proposal

if TYPE_CHECKING:
    from .election import LeaderElection

EPOCHS_PER_BLOCK = 16  # each member has one epoch of its own in every block
RENEWALS_PER_LEASE = 4
MAX_BACKOFF_STEPS = 5  # failed attempts after which the backoff stops growing
MAX_VACANT_LEASES = 2  # after this many leases without a known holder, any member may campaign
COOLDOWN_LEASES = 2  # for this many leases a member does not campaign for a group it released


@dataclass(slots=True)
class Candidacy:
    """State of this member's candidacy for one relay group, and of its lease once it leads."""

    epoch: int = 0
    round: int = 0
    requested_at: int = 0
    granted_by: set[str] = field(default_factory=set)
    expires_at: int = 0
    is_leading: bool = False
    retry_at: int = 0
    failures: int = 0
    # Of the proposals that the grantors had accepted, the one with the highest epoch.
    reported_proposal: Proposal | None = None
    # Number of the membership whose majority granted this epoch.
    granted_membership: int | None = None


class Candidate:
    """Campaigns for relay groups, renews the leases it holds, and releases them."""

    def __init__(
        self, election: "LeaderElection", state: MemberState, random: SeededRandom
    ) -> None:
        self._election = election
        self._state = state
        self._random = random
        self.candidacies = {group: Candidacy() for group in state.settings.relay_groups}
        self._cooldown_until: dict[str, int] = {}  # by relay group
        self._rounds = state.settings.incarnation << COUNTER_BITS

    def preference_order(self, relay_group: str) -> list[str]:
        """Return the members by their priority as leaders of a relay group, highest first.

        The order is derived from the group's name, so that groups spread over the members.
        """

        def rank(member: str) -> tuple[int, str]:
            return seed_from(relay_group, [b"/", member.encode()]), member

        return sorted(self._state.members, key=rank)

    def should_campaign(self, relay_group: str) -> bool:
        """Return whether this member should campaign for a relay group.

        The first eligible member in preference order campaigns. Not eligible are members that
        released the group recently, and peers that let its lease expire or were not heard from
        recently. Any member campaigns once the group has had no known holder for
        `MAX_VACANT_LEASES`, except for one that released it recently itself.
        """
        state = self._state
        grantor = self._election.grantor
        lapsed = grantor.lapsed_holder(relay_group)
        eligible = [
            member
            for member in self.preference_order(relay_group)
            if not grantor.is_excluded(relay_group, member)
            and (member == state.member_id or (member != lapsed and state.is_alive(member)))
        ]
        if self._in_cooldown(relay_group):
            return False
        vacant = grantor.vacant_time(relay_group)
        return state.member_id in eligible[:1] or vacant > MAX_VACANT_LEASES * state.settings.lease

    def _in_cooldown(self, relay_group: str) -> bool:
        return self._state.host.now() < self._cooldown_until.get(relay_group, 0)

    def on_timer(self, relay_group: str, now: int, planner_works: bool) -> None:
        """End leadership whose lease has expired, renew the lease, or campaign for the group."""
        state = self._state
        candidacy = self.candidacies[relay_group]
        if candidacy.is_leading and now >= candidacy.expires_at:
            self._end_leadership(relay_group, "lease expired")
        if not planner_works:
            return
        renew_after = state.settings.lease // RENEWALS_PER_LEASE
        if candidacy.is_leading:
            if now - candidacy.requested_at >= renew_after:
                self._send_requests(relay_group, candidacy.epoch)
        elif (
            now >= candidacy.retry_at
            and self._election.recovery.may_grant()
            and self.should_campaign(relay_group)
        ):
            self._send_requests(relay_group, self._next_epoch(relay_group))

    def _next_epoch(self, relay_group: str) -> int:
        """Return an epoch above all known ones.

        Members never share an epoch: each has its own one in every block of `EPOCHS_PER_BLOCK`,
        and uses it for one candidacy only.
        """
        state = self._state
        known = state.known_epoch(relay_group).epoch
        block = max(known, self.candidacies[relay_group].epoch) // EPOCHS_PER_BLOCK + 1
        return block * EPOCHS_PER_BLOCK + sorted(state.members).index(state.member_id)

    def _send_requests(self, relay_group: str, epoch: int) -> None:
        state = self._state
        candidacy = self.candidacies[relay_group]
        now = state.host.now()
        if epoch != candidacy.epoch:
            candidacy.epoch = epoch
            candidacy.is_leading = False
            candidacy.reported_proposal = None
            candidacy.granted_membership = None
        self._rounds += 1
        candidacy.round = self._rounds
        candidacy.requested_at = now
        candidacy.granted_by = set()
        # The backoff is random, so that members that campaigned at once do not collide again.
        candidacy.failures = min(candidacy.failures + 1, MAX_BACKOFF_STEPS)
        lease = state.settings.lease
        backoff = self._random.randbelow(lease * candidacy.failures // 2)
        candidacy.retry_at = now + lease // RENEWALS_PER_LEASE + backoff
        for member in state.peers:
            request = LeaseRequest(
                relay_group=relay_group,
                epoch=epoch,
                round=candidacy.round,
                serial=state.record.serial,
                membership_number=state.membership_number,
            )
            state.host.send(member, request)
        self._grant_to_self(relay_group, candidacy)

    def _grant_to_self(self, relay_group: str, candidacy: Candidacy) -> None:
        state = self._state
        grantor = self._election.grantor
        epoch = candidacy.epoch
        if (
            grantor.denial_delay(state.member_id, relay_group, epoch, state.membership_number)
            is not None
        ):
            return
        if grantor.grant(state.member_id, relay_group, epoch):
            grant = LeaseGrant(
                relay_group=relay_group,
                epoch=epoch,
                round=candidacy.round,
                serial=state.record.serial,
                membership_number=state.membership_number,
                proposal=state.record.proposal,
            )
            self.count_grant(state.member_id, grant)

    def on_grant(self, member: str, message: LeaseGrant) -> None:
        """Count another member's grant."""
        self._state.mark_heard(member, message.membership_number)
        self._election.grantor.record_serial(member, message.serial)
        self.count_grant(member, message)

    def count_grant(self, member: str, grant: LeaseGrant) -> None:
        """Count a grant; acquire or renew leadership once a majority has granted."""
        state = self._state
        candidacy = self.candidacies.get(grant.relay_group)
        if candidacy is None or self._in_cooldown(grant.relay_group):
            return
        if (grant.epoch, grant.round) != (candidacy.epoch, candidacy.round):
            return
        if grant.membership_number != state.membership_number or member not in state.members:
            return
        candidacy.granted_by.add(member)
        self._record_proposal(candidacy, grant.proposal)
        # The lease counts from the request. The grantors' leases began later, so they end after it
        # however long the grants took to arrive.
        lease_end = candidacy.requested_at + state.settings.held_duration
        if len(candidacy.granted_by) < state.majority or state.host.now() >= lease_end:
            return
        candidacy.expires_at = (
            max(candidacy.expires_at, lease_end) if candidacy.is_leading else lease_end
        )
        candidacy.failures = 0
        candidacy.granted_membership = state.membership_number
        if not candidacy.is_leading:
            # Set last: another thread reads `is_leading` first, then `expires_at`.
            candidacy.is_leading = True
            state.host.on_leadership_acquired(grant.relay_group, grant.epoch)

    def _record_proposal(self, candidacy: Candidacy, proposal: Proposal | None) -> None:
        if not proposal or proposal.number != self._state.membership_number + 1:
            return
        if not candidacy.reported_proposal or proposal.epoch > candidacy.reported_proposal.epoch:
            candidacy.reported_proposal = proposal

    def on_denial(self, member: str, message: LeaseDenial) -> None:
        """Wait as long as the grantor demands, and learn the epoch that it knows."""
        state = self._state
        group = message.relay_group
        state.mark_heard(member, message.membership_number)
        state.learn_epochs({group: message.known_epoch})
        if message.membership_number < state.membership_number:
            self._election.membership.inform(member)
        candidacy = self.candidacies.get(group)
        if candidacy is None or candidacy.is_leading:
            return
        if (message.epoch, message.round) == (candidacy.epoch, candidacy.round):
            pause = min(message.retry_after, state.settings.lease)
            jitter = self._random.randbelow(state.settings.tick)
            candidacy.retry_at = max(candidacy.retry_at, state.host.now() + pause + jitter)

    def may_write(self, relay_group: str, epoch: int) -> bool:
        """Return whether an order under this epoch may be sent now.

        Call it when the bytes are written to the socket, not when they are queued. It is safe to
        call from another thread.
        """
        candidacy = self.candidacies[relay_group]
        return (
            candidacy.is_leading
            and candidacy.epoch == epoch
            and self._state.host.now() < candidacy.expires_at
        )

    def leading_epoch(self, relay_group: str) -> int | None:
        """Return the epoch under which this member leads a relay group now, or None."""
        epoch = self.candidacies[relay_group].epoch
        return epoch if self.may_write(relay_group, epoch) else None

    def _end_leadership(self, relay_group: str, reason: str) -> None:
        candidacy = self.candidacies[relay_group]
        if not candidacy.is_leading:
            return
        # Cleared first: another thread reads it.
        candidacy.is_leading = False
        candidacy.expires_at = 0
        # Otherwise grants still in flight would restore leadership under an epoch that has ended.
        candidacy.round = 0
        self._state.host.on_leadership_lost(relay_group, candidacy.epoch, reason)

    def transfer(self, relay_group: str) -> bool:
        """Release a relay group at once for another member to lead; False if it is not led here.

        Leadership ends first, so that no more orders are written; then the grants are released.
        """
        state = self._state
        candidacy = self.candidacies[relay_group]
        if not candidacy.is_leading:
            return False
        release = LeaseRelease(relay_group, candidacy.epoch)
        cooldown = COOLDOWN_LEASES * state.settings.lease
        self._cooldown_until[relay_group] = state.host.now() + cooldown
        self._end_leadership(relay_group, "leadership transferred")
        self._election.grantor.on_release(state.member_id, release)
        for member in state.peers:
            state.host.send(member, release)
        return True

    def on_membership_changed(self) -> None:
        """Discard the grants of the previous membership."""
        for candidacy in self.candidacies.values():
            candidacy.granted_by = set()
            candidacy.round = 0
            candidacy.reported_proposal = None
            candidacy.granted_membership = None
