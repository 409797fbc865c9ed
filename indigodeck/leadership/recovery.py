"""Recovery of a restarted member, whose own record may be lost or an outdated copy.

The member may have granted a lease that its record does not show. So it grants nothing until a
majority of the other members has reported the epochs that they know and the highest serial of its
record that they saw, and until a whole lease has passed.
"""

from typing import TYPE_CHECKING

from .messages import RecoveryAnswer, RecoveryQuery
from .state import COUNTER_BITS, MemberState

if TYPE_CHECKING:
    from .election import LeaderElection


class Recovery:
    """Sends the recovery queries of one incarnation of a member, and answers those of its peers."""

    def __init__(self, election: "LeaderElection", state: MemberState) -> None:
        self._election = election
        self._state = state
        self.nonce = state.settings.incarnation << COUNTER_BITS
        self.queried_at = 0
        self.answered_by: set[str] = set()  # peers that answered under the membership known here
        self._recovered = False

    def query(self) -> None:
        """Query all other members with a new nonce; answers to earlier queries no longer count."""
        state = self._state
        self.nonce += 1
        self.queried_at = state.host.now()
        configured = [name for name in state.settings.members if name != state.member_id]
        for member in state.peers or configured:
            state.host.send(member, RecoveryQuery(self.nonce, max(0, state.membership_number)))

    def is_recovered(self) -> bool:
        """Return whether this member has received the state that its record may lack.

        Enough of the other members must answer to include one of every majority that this member
        was ever part of. Once true, the result stays true for this incarnation, so that a new
        member that is down cannot block this one.
        """
        state = self._state
        if not state.is_member:
            return False
        answers = len(self.answered_by & state.members.keys())
        if answers >= min(state.majority, len(state.members) - 1):
            self._recovered = True
        return self._recovered

    def may_grant(self) -> bool:
        """Return whether every lease granted before this start is known or has expired."""
        state = self._state
        waited = state.host.now() - state.started_at
        return self.is_recovered() and waited > state.settings.granted_duration

    def on_query(self, member: str, message: RecoveryQuery) -> None:
        """Send a restarted member the epochs known here and the last serial seen of its record."""
        state = self._state
        state.mark_heard(member, message.membership_number)
        if state.membership_number < 0:
            return
        answer = RecoveryAnswer(
            nonce=message.nonce,
            epochs=dict(state.known_epochs),
            serial=state.seen_serials.get(member, 0),
            membership_number=state.membership_number,
            members=state.members,
            proposal=state.record.proposal,
        )
        state.host.send(member, answer)

    def on_answer(self, member: str, message: RecoveryAnswer) -> None:
        """Learn what another member knows; answers to earlier queries are ignored."""
        state = self._state
        state.mark_heard(member, message.membership_number)
        if message.nonce != self.nonce:
            return
        state.learn_epochs(message.epochs)
        self._compare_serial(member, message.serial)
        if message.members is not None:
            self._election.membership.adopt(message.membership_number, message.members)
        self._recover_proposal(message)
        if message.membership_number == state.membership_number:
            self.answered_by.add(member)
        elif message.membership_number < state.membership_number:
            self._election.membership.inform(member)

    def on_membership_changed(self) -> None:
        """Discard answers, which do not cover grants under the new membership."""
        if not self.is_recovered():
            self.answered_by = set()

    def _compare_serial(self, member: str, seen: int) -> None:
        """Continue from the serial that peers saw, as the disk may be new or an outdated copy."""
        state = self._state
        if seen > state.record.serial:
            state.host.log(
                "lease_record_outdated", serial=state.record.serial, seen=seen, member=member
            )
            state.record = state.record._replace(serial=seen)

    def _recover_proposal(self, message: RecoveryAnswer) -> None:
        """Adopt a peer's proposal: this member may have accepted it before it lost its disk.

        Without this, a change that was already decided could be lost.
        """
        state = self._state
        proposal = message.proposal
        if not proposal or message.membership_number != state.membership_number:
            return
        accepted = state.record.proposal
        is_newer = not accepted or proposal.epoch > accepted.epoch
        if proposal.number == state.membership_number + 1 and is_newer:
            state.save(state.record._replace(proposal=proposal))
