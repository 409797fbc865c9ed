"""Elections that each forget one thing they must not: the model must break every one."""

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
    """Grants under any epoch, also one below what it has granted."""

    grantor_class = _EpochDroppingGrantor


class _ReplyCountingCandidate(Candidate):
    def count_grant(self, member: str, grant: LeaseGrant) -> None:
        candidacy = self.candidacies[grant.relay_group]
        if (grant.epoch, grant.round) == (candidacy.epoch, candidacy.round):
            candidacy.asked_at = self._state.host.now()
        super().count_grant(member, grant)


class CountsFromReply(LeaderElection):
    """Counts its lease from when the grants came, not from when it asked."""

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
    """Says that the record is written and does not write it; believes its disk at a start."""

    state_class = _UnsavedState
    recovery_class = _DiskTrustingRecovery


class _HastyRecovery(Recovery):
    def may_grant(self) -> bool:
        return self._state.is_member


class GrantsAtOnce(LeaderElection):
    """Grants as soon as it starts, as if it remembered what it granted before."""

    recovery_class = _HastyRecovery


class _SkippedRecovery(Recovery):
    def is_recovered(self) -> bool:
        return self._state.is_member

    def on_answer(self, member: str, message: RecoveryAnswer) -> None:
        pass


class BelievesItsDisk(LeaderElection):
    """Asks nobody at a start: an old copy of its record counts as the newest."""

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
    """Counts a lease alike on both sides, and a little long where it holds."""

    settings_class = _DriftlessSettings


class _ImpatientGrantor(LeaseGrantor):
    def on_request(self, member: str, message: LeaseRequest) -> None:
        lease = self.leases[message.relay_group]
        lease.until = min(lease.until, self._state.host.now())
        super().on_request(member, message)


class IgnoresOthersLeases(LeaderElection):
    """Grants to whoever asks under a higher epoch, while another's lease runs."""

    grantor_class = _ImpatientGrantor


class _LoneDecider(MembershipChanges):
    def count_acceptance(self, member: str, proposal: Proposal) -> None:
        self._accepted_by |= self._state.members.keys()
        super().count_acceptance(member, proposal)


class DecidesAlone(LeaderElection):
    """Takes a change of members as decided when it has accepted it itself."""

    membership_class = _LoneDecider


class _NumberBlindMembership(MembershipChanges):
    def inform(self, member: str) -> None:
        if member in self._state.members:
            super().inform(member)


class _NumberBlindGrantor(LeaseGrantor):
    def refusal(self, member: str, relay_group: str, epoch: int, number: int) -> int | None:
        state = self._state
        members = state.members
        state.members = {**members, member: ""}
        try:
            return super().refusal(member, relay_group, epoch, state.number)
        finally:
            state.members = members


class _NumberBlindCandidate(Candidate):
    def count_grant(self, member: str, grant: LeaseGrant) -> None:
        grant = dataclasses.replace(grant, membership_number=self._state.number)
        super().count_grant(member, grant)


class ServesAnyMembership(LeaderElection):
    """Grants to who asks by another membership's number, and counts such grants.

    It never tells who was removed.
    """

    membership_class = _NumberBlindMembership
    grantor_class = _NumberBlindGrantor
    candidate_class = _NumberBlindCandidate


class _ForgetfulMembership(MembershipChanges):
    def unfinished_proposal(self) -> Proposal | None:
        return None


class ForgetsProposals(LeaderElection):
    """Proposes what it is asked, whatever may have been decided under an epoch before."""

    membership_class = _ForgetfulMembership


class _DoubleChange(MembershipChanges):
    def change(self, members: Members) -> str | None:
        known = self._state.members
        spare = [name for name in ("s0", "s1") if (name in known) == (name in members)]
        members = dict(members)
        for name in spare:
            if members.pop(name, None) is None:
                members[name] = ""
        leads = self._election.leading_epoch(self._election.relay_groups[0]) is not None
        if leads and not self.unfinished_proposal() and not self.requested and len(members) > 1:
            self.requested = members
        return None


class ChangesTwiceAtOnce(LeaderElection):
    """Lets members change two at a time."""

    membership_class = _DoubleChange


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
