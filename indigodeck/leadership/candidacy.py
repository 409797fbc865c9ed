"""The holder's side of a lease: what this member asks of each relay group, and which it leads.

With grants of a majority the candidate leads until its lease could have ended by its own clock,
counted from when it asked.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..assignment.seeded_random import SeededRandom, seed_from
from .messages import LeaseDenial, LeaseGrant, LeaseRelease, LeaseRequest
from .state import COUNTER_BITS, MemberState, Proposal

if TYPE_CHECKING:
    from .election import LeaderElection

EPOCHS_PER_TURN = 16  # epochs that one turn of all members takes: each has numbers of its own
RENEWALS_PER_LEASE = 4
MAX_BACKOFF_STEPS = 5  # failed attempts after which the pause grows no more
VACANT_LEASES = 2  # nobody known to lead for so many leases: any member may try
RESTING_LEASES = 2  # for how many leases who gave a relay group up does not try for it


@dataclass(slots=True)
class Candidacy:
    """What this member asks, or leads, of one relay group."""

    epoch: int = 0
    round: int = 0
    asked_at: int = 0
    granted_by: set[str] = field(default_factory=set)
    until: int = 0
    is_leading: bool = False
    retry_at: int = 0
    failures: int = 0
    # The proposal of the highest epoch that those who granted had accepted.
    found_proposal: Proposal | None = None
    # The number of the membership by which a majority has granted this epoch.
    granted_membership: int | None = None


class Candidate:
    """Tries for relay groups, renews the leases that it has, and gives them up."""

    def __init__(
        self, election: "LeaderElection", state: MemberState, random: SeededRandom
    ) -> None:
        self._election = election
        self._state = state
        self._random = random
        self.candidacies = {group: Candidacy() for group in state.settings.relay_groups}
        self._resting_until: dict[str, int] = {}  # by relay group
        self._rounds = state.settings.incarnation << COUNTER_BITS

    # Which relay groups to try for.

    def preference_order(self, relay_group: str) -> list[str]:
        """Return the members in the order in which they should lead a relay group.

        It is seeded by the group's name, so that groups spread over the members.
        """

        def rank(member: str) -> tuple[int, str]:
            return seed_from(relay_group, [b"/", member.encode()]), member

        return sorted(self._state.members, key=rank)

    def wants(self, relay_group: str) -> bool:
        """Return whether this member should try for a relay group.

        It goes to the first in order of those that were heard lately and did not just let it lapse;
        others try when nobody is known to hold it for long.
        """
        state = self._state
        grantor = self._election.grantor
        lapsed = grantor.lapsed_holder(relay_group)
        eligible = [
            member
            for member in self.preference_order(relay_group)
            if not grantor.is_passed_over(relay_group, member)
            and (member == state.member_id or (member != lapsed and state.is_alive(member)))
        ]
        if self._is_resting(relay_group):
            return False
        vacant = grantor.vacant_time(relay_group)
        return state.member_id in eligible[:1] or vacant > VACANT_LEASES * state.settings.lease

    def _is_resting(self, relay_group: str) -> bool:
        return self._state.host.now() < self._resting_until.get(relay_group, 0)

    # Asking.

    def on_timer(self, relay_group: str, now: int, planner_works: bool) -> None:
        """Give up what has ended, renew what is led, try for what is vacant."""
        state = self._state
        candidacy = self.candidacies[relay_group]
        if candidacy.is_leading and now >= candidacy.until:
            self._lose(relay_group, "its lease has ended")
        if not planner_works:
            return
        renew_after = state.settings.lease // RENEWALS_PER_LEASE
        if candidacy.is_leading:
            if now - candidacy.asked_at >= renew_after:
                self._request(relay_group, candidacy.epoch)
        elif (
            now >= candidacy.retry_at
            and self._election.recovery.may_grant()
            and self.wants(relay_group)
        ):
            self._request(relay_group, self._next_epoch(relay_group))

    def _next_epoch(self, relay_group: str) -> int:
        """Return an epoch above all known; each member has its own numbers and uses each once."""
        state = self._state
        known = state.known_epoch(relay_group).epoch
        turn = max(known, self.candidacies[relay_group].epoch) // EPOCHS_PER_TURN + 1
        return turn * EPOCHS_PER_TURN + sorted(state.members).index(state.member_id)

    def _request(self, relay_group: str, epoch: int) -> None:
        state = self._state
        candidacy = self.candidacies[relay_group]
        now = state.host.now()
        if epoch != candidacy.epoch:
            candidacy.epoch = epoch
            candidacy.is_leading = False
            candidacy.found_proposal = None
            candidacy.granted_membership = None
        self._rounds += 1
        candidacy.round = self._rounds
        candidacy.asked_at = now
        candidacy.granted_by = set()
        # Tried again after a while that differs, so that members that asked at once don't go on so.
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
                membership_number=state.number,
            )
            state.host.send(member, request)
        self._grant_to_itself(relay_group, candidacy)

    def _grant_to_itself(self, relay_group: str, candidacy: Candidacy) -> None:
        state = self._state
        grantor = self._election.grantor
        epoch = candidacy.epoch
        if grantor.refusal(state.member_id, relay_group, epoch, state.number) is not None:
            return
        if grantor.grant(state.member_id, relay_group, epoch):
            grant = LeaseGrant(
                relay_group=relay_group,
                epoch=epoch,
                round=candidacy.round,
                serial=state.record.serial,
                membership_number=state.number,
                proposal=state.record.proposal,
            )
            self.count_grant(state.member_id, grant)

    def on_grant(self, member: str, message: LeaseGrant) -> None:
        """Count what another member granted."""
        self._state.note_heard(member, message.membership_number)
        self._election.grantor.note_serial(member, message.serial)
        self.count_grant(member, message)

    def count_grant(self, member: str, grant: LeaseGrant) -> None:
        """Lead, or go on leading, once a majority has granted."""
        state = self._state
        candidacy = self.candidacies.get(grant.relay_group)
        if candidacy is None or self._is_resting(grant.relay_group):
            return
        if (grant.epoch, grant.round) != (candidacy.epoch, candidacy.round):
            return
        if grant.membership_number != state.number or member not in state.members:
            return
        candidacy.granted_by.add(member)
        self._note_proposal(candidacy, grant.proposal)
        # Counted from the asking: the grantors' leases began later, whenever their answers come.
        until = candidacy.asked_at + state.settings.held_duration
        if len(candidacy.granted_by) < state.majority or state.host.now() >= until:
            return
        candidacy.until = max(candidacy.until, until) if candidacy.is_leading else until
        candidacy.failures = 0
        candidacy.granted_membership = state.number
        if not candidacy.is_leading:
            # Last, for another thread reads whether it leads, and only then until when.
            candidacy.is_leading = True
            state.host.on_leadership_acquired(grant.relay_group, grant.epoch)

    def _note_proposal(self, candidacy: Candidacy, proposal: Proposal | None) -> None:
        if not proposal or proposal.number != self._state.number + 1:
            return
        if not candidacy.found_proposal or proposal.epoch > candidacy.found_proposal.epoch:
            candidacy.found_proposal = proposal

    def on_denial(self, member: str, message: LeaseDenial) -> None:
        """Wait as long as another member says, and learn which epoch it knows."""
        state = self._state
        group = message.relay_group
        state.note_heard(member, message.membership_number)
        state.learn_epochs({group: message.known_epoch})
        if message.membership_number < state.number:
            self._election.membership.inform(member)
        candidacy = self.candidacies.get(group)
        if candidacy is None or candidacy.is_leading:
            return
        if (message.epoch, message.round) == (candidacy.epoch, candidacy.round):
            pause = min(message.retry_after, state.settings.lease)
            jitter = self._random.randbelow(state.settings.tick)
            candidacy.retry_at = max(candidacy.retry_at, state.host.now() + pause + jitter)

    # Leading.

    def may_write(self, relay_group: str, epoch: int) -> bool:
        """Return whether an order under this epoch may leave now.

        To be asked as the bytes leave, not as they are queued; safe to call from another thread.
        """
        candidacy = self.candidacies[relay_group]
        return (
            candidacy.is_leading
            and candidacy.epoch == epoch
            and self._state.host.now() < candidacy.until
        )

    def leading_epoch(self, relay_group: str) -> int | None:
        """Return the epoch under which this member leads a relay group at this moment, or None."""
        epoch = self.candidacies[relay_group].epoch
        return epoch if self.may_write(relay_group, epoch) else None

    def _lose(self, relay_group: str, reason: str) -> None:
        candidacy = self.candidacies[relay_group]
        if not candidacy.is_leading:
            return
        # First, for another thread reads it.
        candidacy.is_leading = False
        candidacy.until = 0
        # Grants that are still on their way would bring it back under an epoch that has ended.
        candidacy.round = 0
        self._state.host.on_leadership_lost(relay_group, candidacy.epoch, reason)

    def transfer(self, relay_group: str) -> bool:
        """Give a relay group up at once, for others to take; False where it is not led.

        Nothing of it is written any more, then the grants go back.
        """
        state = self._state
        candidacy = self.candidacies[relay_group]
        if not candidacy.is_leading:
            return False
        release = LeaseRelease(relay_group, candidacy.epoch)
        resting = RESTING_LEASES * state.settings.lease
        self._resting_until[relay_group] = state.host.now() + resting
        self._lose(relay_group, "leadership transferred")
        self._election.grantor.on_release(state.member_id, release)
        for member in state.peers:
            state.host.send(member, release)
        return True

    def on_membership_changed(self) -> None:
        """Forget grants that were given under the membership before."""
        for candidacy in self.candidacies.values():
            candidacy.granted_by = set()
            candidacy.round = 0
            candidacy.found_proposal = None
            candidacy.granted_membership = None
