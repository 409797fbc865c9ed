"""Leader election by leases, free of I/O: who leads each relay group, and who the members are.

A candidate for a relay group requests a lease from all members. Each member grants a group to one
holder at a time, for the length of a lease, and saves the epoch to disk before it answers. With
grants from a majority the candidate leads until its lease may have expired by its own clock,
counted from the time of its request. (Leases as in C. Gray and D. Cheriton, "Leases", SOSP 1989,
over majorities as in L. Lamport, "The Part-Time Parliament", TOCS 1998, but without the latter's
log: only the epoch must survive a lease.)

Clocks need not agree on the time, but may run faster or slower than true time by no more than
`ElectionSettings.drift`.
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
    """One member of the election; `record` is its lease record as read from disk, or None.

    `recovery` restores the state that a restarted member may lack, `grantor` grants leases,
    `candidate` requests and holds them, and `membership` changes the set of members. They share one
    `MemberState`.
    """

    settings_class = ElectionSettings
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
        """The id of this member."""
        return self.settings.member_id

    @property
    def members(self) -> Members:
        """The members of the newest membership known here."""
        return self.state.members

    @property
    def membership_number(self) -> int:
        """The number of the newest membership known here; -1 before this member first joins."""
        return self.state.membership_number

    def on_message(self, member: str, message: ElectionMessage) -> None:
        """Handle a message from another member."""
        self._handlers[type(message)](member, message)  # type: ignore[operator]

    def on_timer(self) -> None:
        """Check all leases; called once per tick."""
        settings = self.settings
        state = self.state
        self._host.start_timer(settings.tick)
        now = self._host.now()
        # A member whose planner hangs would lead relays without sending them anything, so it must
        # not keep other members from leading.
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
        """Show the other members that this one is alive.

        Without heartbeats, members that lead nothing would not hear from each other, and all would
        campaign simultaneously once the leader stops.
        """
        interval = self.settings.lease // HEARTBEATS_PER_LEASE
        if not self.state.is_member or now - self._heartbeat_sent_at < interval:
            return
        self._heartbeat_sent_at = now
        for member in self.state.peers:
            self._host.send(member, Heartbeat(self.state.membership_number))

    def _on_heartbeat(self, member: str, message: Heartbeat) -> None:
        self.state.mark_heard(member, message.membership_number)
        if message.membership_number < self.state.membership_number:
            self.membership.inform(member)

    def may_write(self, relay_group: str, epoch: int) -> bool:
        """Return whether an order under this epoch may be sent; call it as bytes are written."""
        return self.candidate.may_write(relay_group, epoch)

    def leading_epoch(self, relay_group: str) -> int | None:
        """Return the epoch under which this member leads a relay group now, or None."""
        return self.candidate.leading_epoch(relay_group)

    def transfer_leadership(self, relay_group: str) -> bool:
        """Release a relay group for another member to lead; False if it is not led here."""
        return self.candidate.transfer(relay_group)

    def transfer_all(self) -> None:
        """Release all relay groups that are led here."""
        for group in self.relay_groups:
            self.candidate.transfer(group)

    def change_members(self, members: Members) -> str | None:
        """Start to add or remove one member; return None, or why that is impossible."""
        return self.membership.change(members)

    def force_members(self, members: Members) -> str | None:
        """Set the members without a majority's consent; return None, or why that is impossible."""
        return self.membership.force(members)

    def status(self) -> Status:
        """Return the members and leases as this member knows them."""
        state = self.state
        return Status(
            me=self.member_id,
            may_grant=self.recovery.may_grant(),
            membership_number=state.membership_number,
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
                state.membership_number
                if member == self.member_id
                else state.peer_membership_numbers.get(member)
            ),
        )

    def _lease_status(self, relay_group: str) -> LeaseStatus:
        granted = self.grantor.leases[relay_group]
        return LeaseStatus(
            epoch=self.state.known_epoch(relay_group).epoch,
            granted_to=granted.holder,
            granted_for=max(0, granted.expires_at - self._host.now()),
            leading_epoch=self.leading_epoch(relay_group),
        )
