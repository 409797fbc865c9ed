"""Membership changes, each decided by a majority and adding or removing one member.

The majority is one of the members before the change. There is one decision per membership number
(a decree in L. Lamport, "The Part-Time Parliament", TOCS 1998). Changing one member at a time makes
majorities of adjacent memberships overlap (D. Ongaro, "Consensus: Bridging Theory and Practice",
2014, section 4.1). The leader of the first relay group proposes changes, under its epoch.
"""

from typing import TYPE_CHECKING

from ..assignment.seeded_random import SeededRandom
from .candidacy import EPOCHS_PER_BLOCK
from .messages import AcceptMembers, MembershipNotice, ProposeMembers
from .state import MAX_MEMBERS, NEVER, KnownEpoch, Members, Membership, MemberState, Proposal

if TYPE_CHECKING:
    from .election import LeaderElection

FORCED_NUMBER_STEP = 1 << 20  # lead of a forced membership's number, at least


class MembershipChanges:
    """Proposes changes while this member leads, accepts those of leaders, adopts decided ones."""

    def __init__(
        self, election: "LeaderElection", state: MemberState, random: SeededRandom
    ) -> None:
        self._election = election
        self._state = state
        self._random = random
        self._adopted_at = state.host.now()
        self._proposal: Proposal | None = None  # this member's own, as a leader
        self._accepted_by: set[str] = set()
        self.requested: Members | None = None  # an operator's request that is not decided yet
        self._informed_at: dict[str, int] = {}

    def change(self, members: Members) -> str | None:
        """Start to add or remove one member; complete once the membership has the next number.

        Returns None, or why the change is rejected.
        """
        reason = self._rejection_reason(members)
        if reason is None and members != self._state.members:
            self.requested = dict(members)
            self.on_timer()
        return reason

    def _rejection_reason(self, members: Members) -> str | None:
        state = self._state
        if self._election.leading_epoch(self._election.relay_groups[0]) is None:
            return "this controller does not lead the first relay group"
        if not 1 <= len(members) <= MAX_MEMBERS:
            return f"{len(members)} members; 1 to {MAX_MEMBERS} are allowed"
        if members == state.members:
            return None
        if len(members.items() ^ state.members.items()) != 1:
            return "only one member can be added or removed at a time"
        if self.unfinished_proposal() or self.requested:
            return "another change is under way"
        silent = [member for member in state.peers if not state.is_alive(member)]
        if len(members) > len(state.members) and silent:
            # A new member may grant only after a majority besides itself has answered it, which
            # might never happen while others are down.
            return f"no messages from {', '.join(silent)}: start or remove it first"
        return None

    def force(self, members: Members) -> str | None:
        """Set the members without a majority's consent, after the others are permanently lost.

        If the others still run, two members may lead until they exchange messages: then the higher
        membership number wins, and relays that compare epochs follow its leader. Returns None, or
        why the change is rejected.
        """
        state = self._state
        if state.member_id not in members or not 1 <= len(members) <= MAX_MEMBERS:
            return f"a forced membership has 1 to {MAX_MEMBERS} members, including this controller"
        if state.membership_number < 0:
            return "this controller was never a member"
        # The random step keeps two memberships that are forced at the same time from sharing a
        # number. The epochs are raised above any that the other members may have granted.
        step = FORCED_NUMBER_STEP + self._random.randbelow(FORCED_NUMBER_STEP)
        state.learn_epochs(
            {
                group: KnownEpoch(state.known_epoch(group).epoch + step * EPOCHS_PER_BLOCK, None)
                for group in self._election.relay_groups
            }
        )
        self.adopt(state.membership_number + step, members)
        if state.members != members:
            return "the lease record could not be written"
        for member in state.peers:
            self.inform(member)
        return None

    # Proposals are made by the leader of the first relay group.

    def unfinished_proposal(self) -> Proposal | None:
        """Return a proposal that must be completed before any other, or None.

        Such a proposal may already have been decided under an earlier epoch.
        """
        first_group = self._election.relay_groups[0]
        found = self._election.candidate.candidacies[first_group].reported_proposal
        return found if found and found.number == self._state.membership_number + 1 else None

    def on_timer(self) -> None:
        """Propose the pending change until it is decided, and inform members that lag behind."""
        state = self._state
        self._propose()
        for member in state.peers:
            if (
                state.is_alive(member)
                and state.peer_membership_numbers.get(member, -1) < state.membership_number
            ):
                self.inform(member)

    def _propose(self) -> None:
        state = self._state
        first_group = self._election.relay_groups[0]
        epoch = self._election.leading_epoch(first_group)
        unfinished = self.unfinished_proposal()
        members = unfinished.members if unfinished else self.requested
        if epoch is None or not members:
            return
        if (
            self._election.candidate.candidacies[first_group].granted_membership
            != state.membership_number
        ):
            # Until a majority of the current membership has granted this epoch, a proposal that
            # such a majority accepted earlier may be unknown here.
            return
        proposal = self._proposal
        if proposal is None or proposal[:2] != (state.membership_number + 1, epoch):
            # One proposal per epoch, whatever is learned later.
            proposal = Proposal(state.membership_number + 1, epoch, dict(members))
            self._proposal = proposal
            self._accepted_by = set()
        for member in state.peers:
            if member not in self._accepted_by:
                state.host.send(member, ProposeMembers(*proposal))
        if state.member_id not in self._accepted_by and self.accept(state.member_id, proposal):
            self.count_acceptance(state.member_id, proposal)

    def on_acceptance(self, member: str, message: AcceptMembers) -> None:
        """Count another member's acceptance of this member's proposal."""
        state = self._state
        state.mark_heard(member)
        proposal = self._proposal
        if proposal is None or proposal[:2] != (message.membership_number, message.epoch):
            return
        if message.membership_number != state.membership_number + 1:
            return
        # The new membership must know all epochs that this member granted: a majority of it need
        # not include any member that granted them.
        state.learn_epochs(message.epochs)
        if member in state.members:
            self.count_acceptance(member, proposal)

    def count_acceptance(self, member: str, proposal: Proposal) -> None:
        """Adopt a proposal that a majority has accepted, and inform old and new members."""
        state = self._state
        self._accepted_by.add(member)
        if len(self._accepted_by) < state.majority:
            return
        old_members = dict(state.members)
        self.adopt(proposal.number, proposal.members)
        if state.membership_number == proposal.number:
            for name in sorted(old_members.keys() | state.members.keys()):
                self._informed_at.pop(name, None)
                self.inform(name)

    def on_proposal(self, member: str, message: ProposeMembers) -> None:
        """Accept a leader's proposal, or inform the leader of a newer membership."""
        state = self._state
        state.mark_heard(member)
        if message.membership_number <= state.membership_number:
            if message.membership_number < state.membership_number:
                self.inform(member)
            return
        proposal = Proposal(message.membership_number, message.epoch, message.members)
        if self.accept(member, proposal):
            answer = AcceptMembers(proposal.number, proposal.epoch, dict(state.known_epochs))
            state.host.send(member, answer)

    def accept(self, member: str, proposal: Proposal) -> bool:
        """Accept a proposal if that is safe, and save it; return whether it was accepted.

        After a change of membership a member accepts no further proposal until the leases that it
        granted under the previous membership have expired. So only leases of adjacent memberships
        ever run at the same time. It accepts proposals only from the member to which it granted the
        first relay group, and only under that epoch: the grant promised that.
        """
        state = self._state
        if proposal.number != state.membership_number + 1 or member not in state.members:
            return False
        if not self._election.recovery.may_grant():
            return False
        if state.host.now() - self._adopted_at <= state.settings.granted_duration:
            return False
        granted = state.record.epochs.get(self._election.relay_groups[0])
        if granted != (proposal.epoch, member):
            return False
        proposal = proposal._replace(members=dict(proposal.members))
        if state.record.proposal == proposal:
            return True
        return state.save(state.record._replace(proposal=proposal))

    def inform(self, member: str) -> None:
        """Send a member the membership, at most once per tick: it may request many groups."""
        state = self._state
        now = state.host.now()
        if (
            member == state.member_id
            or now - self._informed_at.get(member, NEVER) < state.settings.tick
        ):
            return
        self._informed_at[member] = now
        notice = MembershipNotice(state.membership_number, state.members, dict(state.known_epochs))
        state.host.send(member, notice)

    def on_notice(self, member: str, message: MembershipNotice) -> None:
        """Adopt a decided membership, or inform the sender of a newer one."""
        state = self._state
        state.mark_heard(member, message.membership_number)
        if message.membership_number < state.membership_number:
            self.inform(member)
            return
        state.learn_epochs(message.epochs)
        self.adopt(message.membership_number, message.members)

    def adopt(self, number: int, members: Members) -> None:
        """Adopt and save a decided membership, with all known epochs, if it is newer."""
        state = self._state
        if number <= state.membership_number:
            return
        epochs = dict(state.record.epochs)
        for group, known in state.known_epochs.items():
            if known.epoch > state.recorded_epoch(group).epoch:
                epochs[group] = known
        membership = Membership(number, dict(members))
        adopted = state.record._replace(epochs=epochs, membership=membership, proposal=None)
        if not state.save(adopted):
            return
        if state.member_id not in members:
            self._election.transfer_all()
        if number - state.membership_number >= FORCED_NUMBER_STEP and state.membership_number >= 0:
            # An operator forced this membership: leases may run that none of its members granted.
            state.started_at = state.host.now()
        self._election.recovery.on_membership_changed()
        state.membership_number = number
        state.members = dict(members)
        self._adopted_at = state.host.now()
        self._proposal = None
        self._accepted_by = set()
        self.requested = None
        self._election.candidate.on_membership_changed()
        state.host.log("members_changed", number=number, members=sorted(members))
        state.host.on_members_changed(number, dict(members))
