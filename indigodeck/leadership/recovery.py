"""What a member asks the others at its start, because its own record may be gone or an old copy.

It may have granted a lease that it no longer remembers. So it grants nothing before a majority of
the others has said which epochs they know and how much of its own writing they have seen, and
before a whole lease has passed.
"""

from typing import TYPE_CHECKING

from .messages import RecoveryAnswer, RecoveryQuery
from .state import COUNTER_BITS, MemberState

if TYPE_CHECKING:
    from .election import LeaderElection


class Recovery:
    """The questions of one incarnation of a member, and its answers to those of others."""

    def __init__(self, election: "LeaderElection", state: MemberState) -> None:
        self._election = election
        self._state = state
        self.nonce = state.settings.incarnation << COUNTER_BITS
        self.queried_at = 0
        self.answered: set[str] = set()  # who answered by the membership that is known here
        self._recovered = False

    def query(self) -> None:
        """Ask all others; a new question, to which answers to earlier ones do not count."""
        state = self._state
        self.nonce += 1
        self.queried_at = state.host.now()
        listed = [name for name in state.settings.members if name != state.member_id]
        for member in state.peers or listed:
            state.host.send(member, RecoveryQuery(self.nonce, max(0, state.number)))

    def is_recovered(self) -> bool:
        """Return whether this member knows what it may have forgotten.

        A majority of the others holds one of every majority that this member ever was part of.
        Once it is so, it stays so for this incarnation: a new member that is down must not hold
        it up.
        """
        state = self._state
        if not state.is_member:
            return False
        answers = len(self.answered & state.members.keys())
        if answers >= min(state.majority, len(state.members) - 1):
            self._recovered = True
        return self._recovered

    def may_grant(self) -> bool:
        """Return whether all that was granted before this start is known or has ended."""
        state = self._state
        waited = state.host.now() - state.started_at
        return self.is_recovered() and waited > state.settings.granted_duration

    def on_query(self, member: str, message: RecoveryQuery) -> None:
        """Tell a member that starts all epochs known here, and how much of its writing was seen."""
        state = self._state
        state.note_heard(member, message.membership_number)
        if state.number < 0:
            return
        answer = RecoveryAnswer(
            nonce=message.nonce,
            epochs=dict(state.known_epochs),
            serial=state.seen_serials.get(member, 0),
            membership_number=state.number,
            members=state.members,
            proposal=state.record.proposal,
        )
        state.host.send(member, answer)

    def on_answer(self, member: str, message: RecoveryAnswer) -> None:
        """Take what another member knows; an answer to an earlier question does not count."""
        state = self._state
        state.note_heard(member, message.membership_number)
        if message.nonce != self.nonce:
            return
        state.learn_epochs(message.epochs)
        self._compare_serial(member, message.serial)
        if message.members is not None:
            self._election.membership.adopt(message.membership_number, message.members)
        self._recover_proposal(message)
        if message.membership_number == state.number:
            self.answered.add(member)
        elif message.membership_number < state.number:
            self._election.membership.inform(member)

    def on_membership_changed(self) -> None:
        """Forget answers that say nothing of grants under the membership adopted now."""
        if not self.is_recovered():
            self.answered = set()

    def _compare_serial(self, member: str, seen: int) -> None:
        """Go on from the serial that others saw: this disk may be new, or an old copy."""
        state = self._state
        if seen > state.record.serial:
            state.host.log(
                "lease_record_outdated", serial=state.record.serial, seen=seen, member=member
            )
            state.record = state.record._replace(serial=seen)

    def _recover_proposal(self, message: RecoveryAnswer) -> None:
        """Take over a proposal: this member may have accepted it before it lost its disk.

        What is decided must not be forgotten.
        """
        state = self._state
        proposal = message.proposal
        if not proposal or message.membership_number != state.number:
            return
        accepted = state.record.proposal
        newer = not accepted or proposal.epoch > accepted.epoch
        if proposal.number == state.number + 1 and newer:
            state.save(state.record._replace(proposal=proposal))
