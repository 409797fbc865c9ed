"""Mutants of the election, each without one safety rule; the model must break every one."""

import dataclasses

from .candidacy import Candidate
from .election import LeaderElection
from .lease_grants import LeaseGrantor
from .membership import MembershipChanges
from .messages import LeaseGrant, LeaseRequest, RecoveryAnswer
from .recovery import Recovery
from .state import ElectionSettings, LeaseRecord, Members, MemberState, Proposal


class _EpochDroppingGrantor(LeaseGrantor):
    def on_request(self, member: str, message: LeaseRequest) -> None:
        self._state.known_epochs.clear()
        super().on_request(member, message)


class DropsEpochs(LeaderElection):
    """Grants under any epoch, even one below an epoch that it has granted."""

    grantor_class = _EpochDroppingGrantor


class _ReplyCountingCandidate(Candidate):
    def count_grant(self, member: str, grant: LeaseGrant) -> None:
        candidacy = self.candidacies[grant.relay_group]
        if (grant.epoch, grant.round) == (candidacy.epoch, candidacy.round):
            candidacy.requested_at = self._state.host.now()
        super().count_grant(member, grant)


class CountsFromReply(LeaderElection):
    """Counts its lease from the arrival of the grants instead of from its request."""

    candidate_class = _ReplyCountingCandidate


class _UnsavedState(MemberState):
    def save(self, record: LeaseRecord) -> bool:
        self.record = record._replace(serial=self.record.serial + 1)
        return True


class _DiskTrustingRecovery(Recovery):
    def on_answer(self, member: str, message: RecoveryAnswer) -> None:
        message = dataclasses.replace(message, epochs={}, serial=0, proposal=None)
        super().on_answer(member, message)


class SavesNothing(LeaderElection):
    """Reports its record as saved without saving it, and recovers only from its own disk."""

    state_class = _UnsavedState
    recovery_class = _DiskTrustingRecovery


class _ImmediateGrantRecovery(Recovery):
    def may_grant(self) -> bool:
        return self._state.is_member


class GrantsAtOnce(LeaderElection):
    """Grants immediately after a restart, as if all its earlier grants were known."""

    recovery_class = _ImmediateGrantRecovery


class _SkippedRecovery(Recovery):
    def is_recovered(self) -> bool:
        return self._state.is_member

    def on_answer(self, member: str, message: RecoveryAnswer) -> None:
        pass


class BelievesItsDisk(LeaderElection):
    """Skips recovery after a restart, so that an outdated record counts as the newest."""

    recovery_class = _SkippedRecovery


class _DriftlessSettings(ElectionSettings):
    __slots__ = ()

    @property
    def held_duration(self) -> int:
        return round(self.lease * (1 + self.drift))

    @property
    def granted_duration(self) -> int:
        return self.lease


class IgnoresDrift(LeaderElection):
    """Does not extend a lease as its grantor, and extends it as its holder."""

    settings_class = _DriftlessSettings


class _LeaseIgnoringGrantor(LeaseGrantor):
    def on_request(self, member: str, message: LeaseRequest) -> None:
        lease = self.leases[message.relay_group]
        lease.expires_at = min(lease.expires_at, self._state.host.now())
        super().on_request(member, message)


class IgnoresOthersLeases(LeaderElection):
    """Grants any request with a higher epoch, even while another member's lease runs."""

    grantor_class = _LeaseIgnoringGrantor


class _UnilateralMembership(MembershipChanges):
    def count_acceptance(self, member: str, proposal: Proposal) -> None:
        self._accepted_by |= self._state.members.keys()
        super().count_acceptance(member, proposal)


class DecidesAlone(LeaderElection):
    """Treats a membership change as decided once it has accepted it itself."""

    membership_class = _UnilateralMembership


class _NumberBlindMembership(MembershipChanges):
    def inform(self, member: str) -> None:
        if member in self._state.members:
            super().inform(member)


class _NumberBlindGrantor(LeaseGrantor):
    def denial_delay(self, member: str, relay_group: str, epoch: int, number: int) -> int | None:
        state = self._state
        members = state.members
        state.members = {**members, member: ""}
        try:
            return super().denial_delay(member, relay_group, epoch, state.membership_number)
        finally:
            state.members = members


class _NumberBlindCandidate(Candidate):
    def count_grant(self, member: str, grant: LeaseGrant) -> None:
        grant = dataclasses.replace(grant, membership_number=self._state.membership_number)
        super().count_grant(member, grant)


class ServesAnyMembership(LeaderElection):
    """Grants requests that carry another membership number, and counts such grants.

    It never informs removed members of their removal.
    """

    membership_class = _NumberBlindMembership
    grantor_class = _NumberBlindGrantor
    candidate_class = _NumberBlindCandidate


class _ProposalForgettingMembership(MembershipChanges):
    def unfinished_proposal(self) -> Proposal | None:
        return None


class ForgetsProposals(LeaderElection):
    """Proposes requested changes even if another one may be decided under an earlier epoch."""

    membership_class = _ProposalForgettingMembership


class _TwoMemberChange(MembershipChanges):
    def change(self, members: Members) -> str | None:
        current = self._state.members
        unchanged = [name for name in ("s0", "s1") if (name in current) == (name in members)]
        members = dict(members)
        for name in unchanged:
            if members.pop(name, None) is None:
                members[name] = ""
        is_leading = self._election.leading_epoch(self._election.relay_groups[0]) is not None
        if (
            is_leading
            and not self.unfinished_proposal()
            and not self.requested
            and len(members) > 1
        ):
            self.requested = members
        return None


class ChangesTwiceAtOnce(LeaderElection):
    """Changes two members at a time."""

    membership_class = _TwoMemberChange


MUTANTS = (
    DropsEpochs,
    CountsFromReply,
    SavesNothing,
    GrantsAtOnce,
    BelievesItsDisk,
    IgnoresDrift,
    IgnoresOthersLeases,
    DecidesAlone,
    ServesAnyMembership,
    ForgetsProposals,
    ChangesTwiceAtOnce,
)
