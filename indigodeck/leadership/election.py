"""Lease election, free of I/O: which member leads a relay group, and who the members are.

A member that wants to lead a relay group asks all members; each grants a group to one holder at a
time, for a lease, and writes the epoch down before it says so. With grants of a majority the
candidate leads until its lease could have ended by its own clock, counted from when it asked. (The
leases are those of C. Gray and D. Cheriton, "Leases", SOSP 1989, over majorities as in L. Lamport,
"The Part-Time Parliament", TOCS 1998, without its log: nothing but the epoch must outlast a lease.)

Clocks may drift: no member's clock may run faster or slower than true time by more than
`ElectionSettings.drift`. They need not agree on the time.
"""

from ..assignment.seeded_random import SeededRandom
from .candidacy import Candidate
from .lease_grants import LeaseGrantor
from .membership import MembershipChanges
from .messages import (
    AcceptMembers,
    ElectionMessage,
    Heartbeat,
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    LeaseStatus,
    MembershipNotice,
    MemberStatus,
    ProposeMembers,
    RecoveryAnswer,
    RecoveryQuery,
    Status,
)
from .recovery import Recovery
from .state import ElectionHost, ElectionSettings, LeaseRecord, Members, MemberState

HEARTBEATS_PER_LEASE = 2


class LeaderElection:
    """One member; `record` is what its disk gave, or None.

    Its parts have one job each: `recovery` what may have been forgotten at a start, `grantor` the
    leases that it grants, `candidate` those that it asks for and holds, `membership` who the
    members are. All of them read and change one `MemberState`.
    """

    settings_class = ElectionSettings  # what to make settings of
    state_class = MemberState
    recovery_class: type[Recovery] = Recovery
    grantor_class = LeaseGrantor
    candidate_class = Candidate
    membership_class = MembershipChanges

    def __init__(
        self,
        host: ElectionHost,
        settings: ElectionSettings,
        random: SeededRandom,
        record: LeaseRecord | None = None,
    ) -> None:
        self._host = host
        self.settings = settings
        self.relay_groups = settings.relay_groups
        self.state = self.state_class(host, settings, record or LeaseRecord(0, {}))
        self.recovery = self.recovery_class(self, self.state)
        self.grantor = self.grantor_class(self, self.state)
        self.candidate = self.candidate_class(self, self.state, random)
        self.membership = self.membership_class(self, self.state, random)
        self._heartbeat_sent_at = host.now()
        self._handlers = {
            Heartbeat: self._on_heartbeat,
            RecoveryQuery: self.recovery.on_query,
            RecoveryAnswer: self.recovery.on_answer,
            LeaseRequest: self.grantor.on_request,
            LeaseGrant: self.candidate.on_grant,
            LeaseDenial: self.candidate.on_denial,
            LeaseRelease: self.grantor.on_release,
            ProposeMembers: self.membership.on_proposal,
            AcceptMembers: self.membership.on_acceptance,
            MembershipNotice: self.membership.on_notice,
        }
        self.recovery.query()
        host.start_timer(settings.tick)

    @property
    def member_id(self) -> str:
        """Id of this member."""
        return self.settings.member_id

    @property
    def members(self) -> Members:
        """The members that were decided on last, as far as known here."""
        return self.state.members

    @property
    def membership_number(self) -> int:
        """The number of that decision; -1 before this one was ever a member."""
        return self.state.number

    # Events.

    def on_message(self, member: str, message: ElectionMessage) -> None:
        """Take one message from another member."""
        self._handlers[type(message)](member, message)  # type: ignore[operator]

    def on_timer(self) -> None:
        """Look at all leases; comes once a tick."""
        settings = self.settings
        state = self.state
        self._host.start_timer(settings.tick)
        now = self._host.now()
        # Who would lead relays and write them nothing must not keep others from it.
        planner_works = self._host.planner_idle_time() < settings.lease
        if planner_works:
            self._send_heartbeats(now)
        if not self.recovery.is_recovered():
            waited = now - self.recovery.queried_at
            if state.is_member or waited >= settings.lease:
                self.recovery.query()
        for group in self.relay_groups:
            self.candidate.on_timer(group, now, planner_works)
        if self.relay_groups and self.candidate.candidacies[self.relay_groups[0]].is_leading:
            self.membership.on_timer()

    def _send_heartbeats(self, now: int) -> None:
        """Let members that lead nothing hear of each other.

        Otherwise all would try at once when the leader stops.
        """
        interval = self.settings.lease // HEARTBEATS_PER_LEASE
        if not self.state.is_member or now - self._heartbeat_sent_at < interval:
            return
        self._heartbeat_sent_at = now
        for member in self.state.peers:
            self._host.send(member, Heartbeat(self.state.number))

    def _on_heartbeat(self, member: str, message: Heartbeat) -> None:
        self.state.note_heard(member, message.membership_number)
        if message.membership_number < self.state.number:
            self.membership.inform(member)

    # Leading.

    def may_write(self, relay_group: str, epoch: int) -> bool:
        """Return whether an order under this epoch may leave now; ask as its bytes leave."""
        return self.candidate.may_write(relay_group, epoch)

    def leading_epoch(self, relay_group: str) -> int | None:
        """Return the epoch under which this member leads a relay group at this moment, or None."""
        return self.candidate.leading_epoch(relay_group)

    # What operators ask for.

    def transfer_leadership(self, relay_group: str) -> bool:
        """Give a relay group up at once, for others to take; False where it is not led here."""
        return self.candidate.transfer(relay_group)

    def transfer_all(self) -> None:
        """Give up all relay groups that are led here."""
        for group in self.relay_groups:
            self.candidate.transfer(group)

    def change_members(self, members: Members) -> str | None:
        """Begin to add or remove one member; None, or why it can't be."""
        return self.membership.change(members)

    def force_members(self, members: Members) -> str | None:
        """Make these the members without a majority; None, or why it can't be."""
        return self.membership.force(members)

    def status(self) -> Status:
        """Return what is known here of members and leases."""
        state = self.state
        return Status(
            me=self.member_id,
            may_grant=self.recovery.may_grant(),
            membership_number=state.number,
            change_pending=bool(self.membership.requested),
            members={
                member: self._member_status(member, address)
                for member, address in sorted(state.members.items())
            },
            leases={group: self._lease_status(group) for group in self.relay_groups},
        )

    def _member_status(self, member: str, address: str) -> MemberStatus:
        state = self.state
        heard_at = state.last_heard.get(member)
        if member == self.member_id or state.is_alive(member):
            liveness = "alive"
        else:
            liveness = "unheard" if heard_at is None else "suspected"
        return MemberStatus(
            address=address,
            liveness=liveness,
            heard_ago=None if heard_at is None else self._host.now() - heard_at,
            membership_number=(
                state.number if member == self.member_id else state.peer_numbers.get(member)
            ),
        )

    def _lease_status(self, relay_group: str) -> LeaseStatus:
        granted = self.grantor.leases[relay_group]
        return LeaseStatus(
            epoch=self.state.known_epoch(relay_group).epoch,
            granted_to=granted.holder,
            granted_for=max(0, granted.until - self._host.now()),
            leading_epoch=self.leading_epoch(relay_group),
        )
