"""Who the members are: changes that a majority decides, one member at a time.

Each change is decided by a majority of the members before it (one decree for each number, as in L.
Lamport, "The Part-Time Parliament", TOCS 1998; one member at a time as in D. Ongaro, "Consensus:
Bridging Theory and Practice", 2014, section 4.1, because majorities of neighbouring memberships
meet). Who leads the first relay group proposes, under its epoch.
"""

from typing import TYPE_CHECKING

from ..assignment.seeded_random import SeededRandom
from .candidacy import EPOCHS_PER_TURN
from .messages import AcceptMembers, MembershipNotice, ProposeMembers
from .state import MAX_MEMBERS, NEVER, KnownEpoch, Members, Membership, MemberState, Proposal

if TYPE_CHECKING:
    from .election import LeaderElection

FORCED_STEP = 1 << 20  # how far a forced membership's number is ahead of any that was decided


class MembershipChanges:
    """Proposes changes while this member leads, accepts those of others, adopts what is decided."""

    def __init__(
        self, election: "LeaderElection", state: MemberState, random: SeededRandom
    ) -> None:
        self._election = election
        self._state = state
        self._random = random
        self._adopted_at = state.host.now()
        self._proposal: Proposal | None = None  # what this member proposes as a leader
        self._accepted_by: set[str] = set()
        self.requested: Members | None = None  # by an operator, and not decided yet
        self._informed_at: dict[str, int] = {}

    # What operators ask for.

    def change(self, members: Members) -> str | None:
        """Begin to add or remove one member; done when the membership has the next number.

        Returns None, or why it can't be.
        """
        reason = self._refusal(members)
        if reason is None and members != self._state.members:
            self.requested = dict(members)
            self.on_timer()
        return reason

    def _refusal(self, members: Members) -> str | None:
        state = self._state
        if self._election.leading_epoch(self._election.relay_groups[0]) is None:
            return "another is in charge"
        if not 1 <= len(members) <= MAX_MEMBERS:
            return f"{len(members)} members, 1 to {MAX_MEMBERS} may be"
        if members == state.members:
            return None
        if len(members.items() ^ state.members.items()) != 1:
            return "one member is added or removed at a time"
        if self.unfinished_proposal() or self.requested:
            return "another change is under way"
        silent = [member for member in state.peers if not state.is_alive(member)]
        if len(members) > len(state.members) and silent:
            # A new member must hear from a majority besides itself before it counts: with others
            # down it might never.
            return f"{', '.join(silent)} is not heard of: start or remove it first"
        return None

    def force(self, members: Members) -> str | None:
        """Make these the members without a majority, after the others are gone for good.

        If they are not, two may lead until they meet: then the higher number counts, and relays
        that know epochs follow it. Returns None, or why it can't be.
        """
        state = self._state
        if state.member_id not in members or not 1 <= len(members) <= MAX_MEMBERS:
            return "who is forced to be a member must be told so itself"
        if state.number < 0:
            return "it was never a member"
        # Two forced at once must not have one number; epochs are ahead of any that the others may
        # have granted.
        step = FORCED_STEP + self._random.randbelow(FORCED_STEP)
        state.learn_epochs(
            {
                group: KnownEpoch(state.known_epoch(group).epoch + step * EPOCHS_PER_TURN, None)
                for group in self._election.relay_groups
            }
        )
        self.adopt(state.number + step, members)
        if state.members != members:
            return "the record could not be written"
        for member in state.peers:
            self.inform(member)
        return None

    # Proposing, as the leader of the first relay group.

    def unfinished_proposal(self) -> Proposal | None:
        """Return a change that must be finished before any other.

        It may have been decided under an earlier epoch.
        """
        first_group = self._election.relay_groups[0]
        found = self._election.candidate.candidacies[first_group].found_proposal
        return found if found and found.number == self._state.number + 1 else None

    def on_timer(self) -> None:
        """Propose the change that is due until it is decided; inform members that lag behind."""
        state = self._state
        self._propose()
        for member in state.peers:
            if state.is_alive(member) and state.peer_numbers.get(member, -1) < state.number:
                self.inform(member)

    def _propose(self) -> None:
        state = self._state
        first_group = self._election.relay_groups[0]
        epoch = self._election.leading_epoch(first_group)
        unfinished = self.unfinished_proposal()
        members = unfinished.members if unfinished else self.requested
        if epoch is None or not members:
            return
        if self._election.candidate.candidacies[first_group].granted_membership != state.number:
            # Until a majority of this very membership has granted the epoch, it is not known here
            # what that accepted.
            return
        proposal = self._proposal
        if proposal is None or proposal[:2] != (state.number + 1, epoch):
            # One proposal an epoch, whatever is learned later.
            proposal = Proposal(state.number + 1, epoch, dict(members))
            self._proposal = proposal
            self._accepted_by = set()
        for member in state.peers:
            if member not in self._accepted_by:
                state.host.send(member, ProposeMembers(*proposal))
        if state.member_id not in self._accepted_by and self.accepts(state.member_id, proposal):
            self.count_acceptance(state.member_id, proposal)

    def on_acceptance(self, member: str, message: AcceptMembers) -> None:
        """Count that another member has accepted and written down what is proposed here."""
        state = self._state
        state.note_heard(member)
        proposal = self._proposal
        if proposal is None or proposal[:2] != (message.membership_number, message.epoch):
            return
        if message.membership_number != state.number + 1:
            return
        # The next members must know all epochs that this one granted: their majority may lack who
        # granted them.
        state.learn_epochs(message.epochs)
        if member in state.members:
            self.count_acceptance(member, proposal)

    def count_acceptance(self, member: str, proposal: Proposal) -> None:
        """Adopt a proposal that a majority has accepted, and inform all whom it concerns."""
        state = self._state
        self._accepted_by.add(member)
        if len(self._accepted_by) < state.majority:
            return
        before = dict(state.members)
        self.adopt(proposal.number, proposal.members)
        if state.number == proposal.number:
            for name in sorted(before.keys() | state.members.keys()):
                self._informed_at.pop(name, None)
                self.inform(name)

    # Accepting.

    def on_proposal(self, member: str, message: ProposeMembers) -> None:
        """Accept what a leader proposes, or tell it what was decided since."""
        state = self._state
        state.note_heard(member)
        if message.membership_number <= state.number:
            if message.membership_number < state.number:
                self.inform(member)
            return
        proposal = Proposal(message.membership_number, message.epoch, message.members)
        if self.accepts(member, proposal):
            answer = AcceptMembers(proposal.number, proposal.epoch, dict(state.known_epochs))
            state.host.send(member, answer)

    def accepts(self, member: str, proposal: Proposal) -> bool:
        """Return whether a proposal is accepted, and written down.

        A member that has changed memberships accepts no further change until what it granted under
        the one before has ended, so that only leases of neighbouring memberships ever run at once.
        It accepts one only from whom it granted the first relay group to, under that epoch:
        granting was the promise.
        """
        state = self._state
        if proposal.number != state.number + 1 or member not in state.members:
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

    # What was decided.

    def inform(self, member: str) -> None:
        """Tell who the members are; once a tick at most, as the other may ask for many groups."""
        state = self._state
        now = state.host.now()
        if (
            member == state.member_id
            or now - self._informed_at.get(member, NEVER) < state.settings.tick
        ):
            return
        self._informed_at[member] = now
        notice = MembershipNotice(state.number, state.members, dict(state.known_epochs))
        state.host.send(member, notice)

    def on_notice(self, member: str, message: MembershipNotice) -> None:
        """Take over a membership that was decided, or tell a newer one."""
        state = self._state
        state.note_heard(member, message.membership_number)
        if message.membership_number < state.number:
            self.inform(member)
            return
        state.learn_epochs(message.epochs)
        self.adopt(message.membership_number, message.members)

    def adopt(self, number: int, members: Members) -> None:
        """Take over members that were decided, with all epochs known by now, if they are newer."""
        state = self._state
        if number <= state.number:
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
        if number - state.number >= FORCED_STEP and state.number >= 0:
            # Forced by an operator: leases may run that none of these members granted.
            state.started_at = state.host.now()
        self._election.recovery.on_membership_changed()
        state.number = number
        state.members = dict(members)
        self._adopted_at = state.host.now()
        self._proposal = None
        self._accepted_by = set()
        self.requested = None
        self._election.candidate.on_membership_changed()
        state.host.log("members_changed", number=number, members=sorted(members))
        state.host.on_members_changed(number, dict(members))
