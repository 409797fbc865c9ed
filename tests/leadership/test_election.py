"""Tests of one member of the election on simulated time; the test sends its peers' messages."""

import unittest

from harness import SimulatedLoop

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.clock import SECOND
from indigodeck.leadership.election import LeaderElection
from indigodeck.leadership.messages import (
    AcceptMembers,
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    MembershipNotice,
    ProposeMembers,
    RecoveryAnswer,
)
from indigodeck.leadership.state import ElectionSettings, KnownEpoch, LeaseRecord, Proposal

ADDRESSES = {name: f"127.0.0.1:{index}" for index, name in enumerate("abc", 1)}


class SingleMemberHost(SimulatedLoop):
    """The host of one member of three, with methods that send its peers' messages."""

    def __init__(self, record=None, incarnation=2):
        super().__init__()
        self.sent = []
        self.saved_records = []
        self.disk_fails = False
        self.planner_hung_at = None
        settings = ElectionSettings("a", ADDRESSES, ("fleet",), 2 * SECOND, 0.05, incarnation)
        self.election = LeaderElection(self, settings, SeededRandom(1), record)

    def planner_idle_time(self):
        """Return for how long the planner has hung."""
        return 0 if self.planner_hung_at is None else self.clock - self.planner_hung_at

    def start_timer(self, delay):
        """Call the election's timer later."""
        self.call_later(delay, lambda: self.election.on_timer())

    def send(self, member, message):
        """Record a message."""
        self.sent.append((member, message))

    def save_record(self, record):
        """Record what is saved; fail if `disk_fails` is set."""
        self.saved_records.append(record)
        return not self.disk_fails

    def on_leadership_acquired(self, relay_group, epoch):
        """Record the event."""
        self.log_event(f"leads under {epoch}")

    def on_leadership_lost(self, relay_group, epoch, reason):
        """Record the event."""
        self.log_event(f"leads no longer: {reason}")

    def on_members_changed(self, number, members):
        """Record the event."""
        self.log_event(f"members by {number}")

    def log(self, event, **facts):
        """Record an event."""
        self.log_event(event, **facts)

    def answer_recovery(
        self, member, epochs=None, serial=0, number=0, members=ADDRESSES, proposal=None, nonce=None
    ):
        """Answer the member's recovery query as a peer."""
        answer = RecoveryAnswer(
            nonce or self.election.recovery.nonce, epochs or {}, serial, number, members, proposal
        )
        self.election.on_message(member, answer)

    def grant_last_request(self, member, proposal=None, number=0):
        """Grant the member's last request as a peer."""
        request = self.last_sent(LeaseRequest)
        grant = LeaseGrant("fleet", request.epoch, request.round, 1, number, proposal)
        self.election.on_message(member, grant)

    def request_lease(self, member, epoch, number=0):
        """Request a lease as a peer; return the type of the last message that the member sent."""
        self.election.on_message(member, LeaseRequest("fleet", epoch, 1, 0, number))
        return type(self.sent[-1][1])

    def last_sent(self, message_type):
        """Return the last message of a type that the member sent."""
        return self.all_sent(message_type)[-1]

    def all_sent(self, message_type):
        """Return all messages of a type that the member sent."""
        return [message for _, message in self.sent if isinstance(message, message_type)]


class Election(unittest.TestCase):
    """Recovery, grants, leases and changes of members."""

    def recovered_member(self, campaigns=True, **options):
        """Return the host of a member that may grant, and campaigns if `campaigns` is set."""
        host = SingleMemberHost(**options)
        if not campaigns:
            host.election.candidate.should_campaign = lambda relay_group: False
        for member in "bc":
            host.answer_recovery(member)
        host.run(3)
        return host

    def test_answers_to_an_earlier_incarnation_or_question_do_not_count(self):
        """Answers with the nonce of an earlier incarnation do not let a member grant."""
        host = SingleMemberHost(incarnation=2)
        earlier = SingleMemberHost(incarnation=1)
        self.assertNotEqual(host.election.recovery.nonce, earlier.election.recovery.nonce)
        for member in "bc":
            host.answer_recovery(member, nonce=earlier.election.recovery.nonce)
        host.run(5)
        self.assertFalse(host.election.recovery.is_recovered())
        self.assertEqual(host.request_lease("b", 5), LeaseDenial)

    def test_recovery_restores_the_serial_and_epochs_that_peers_report(self):
        """Higher serials and epochs that peers report replace those of an outdated record."""
        host = SingleMemberHost(record=LeaseRecord(3, {"fleet": KnownEpoch(4, "b")}))
        host.election.candidate.should_campaign = lambda relay_group: False
        host.answer_recovery("b", {"fleet": KnownEpoch(11, "b")}, 9)
        host.answer_recovery("c", {"fleet": KnownEpoch(8, "c")}, 0)
        host.run(3)
        self.assertEqual(
            (host.request_lease("c", 10), host.sent[-1][1].highest_epoch), (LeaseDenial, 11)
        )
        # The holder that peers reported may renew its lease; no other member gets that epoch.
        self.assertEqual(
            (host.request_lease("c", 11), host.request_lease("b", 11)), (LeaseDenial, LeaseGrant)
        )
        host.election.on_message("b", LeaseRelease("fleet", 11))
        self.assertEqual(host.request_lease("c", 14), LeaseGrant)
        self.assertEqual([record.serial for record in host.saved_records], [10, 11])

    def test_a_lease_is_not_granted_if_the_record_cannot_be_saved(self):
        """A grant is sent only once the record is saved."""
        host = self.recovered_member(campaigns=False)
        host.disk_fails = True
        before = len(host.sent)
        host.request_lease("b", 7)
        self.assertFalse(
            [message for _, message in host.sent[before:] if isinstance(message, LeaseGrant)]
        )
        host.disk_fails = False
        self.assertEqual(host.request_lease("b", 7), LeaseGrant)

    def leading_member(self):
        """Return the host of a member that leads."""
        host = self.recovered_member()
        host.election.candidate.should_campaign = lambda relay_group: True
        host.run(3)
        host.grant_last_request("b")
        host.grant_last_request("c")
        self.assertIsNotNone(host.election.leading_epoch("fleet"))
        return host

    def test_members_change_one_at_a_time_by_a_majority_of_the_old_members(self):
        """A change is proposed, accepted by a majority of the old members, and adopted."""
        host = self.leading_member()
        more = dict(ADDRESSES, d="127.0.0.1:4")
        self.assertEqual(
            host.election.change_members(dict(more, e="127.0.0.1:5")),
            "only one member can be added or removed at a time",
        )
        self.assertIsNone(host.election.change_members(more))
        self.assertEqual(
            host.election.change_members({"a": ADDRESSES["a"], "b": ADDRESSES["b"]}),
            "another change is under way",
        )
        proposed = host.last_sent(ProposeMembers)
        self.assertEqual((proposed.membership_number, proposed.members), (1, more))
        host.election.on_message(
            "d", AcceptMembers(1, proposed.epoch, {})
        )  # not a member yet, so its acceptance does not count
        self.assertEqual(host.election.members, ADDRESSES)
        host.election.on_message(
            "c", AcceptMembers(1, proposed.epoch, {"fleet": KnownEpoch(900, "c")})
        )
        self.assertEqual((host.election.membership_number, host.election.members), (1, more))
        self.assertEqual(host.saved_records[-1].membership, (1, more))
        self.assertEqual(
            {
                member
                for member, message in host.sent
                if isinstance(message, MembershipNotice) and message.membership_number == 1
            },
            set("bcd"),
        )
        # Epochs that an accepting member reports are passed on to all new members.
        self.assertEqual(host.last_sent(MembershipNotice).epochs, {"fleet": KnownEpoch(900, "c")})
        # No further change is accepted until the leases of the previous membership have expired.
        self.assertFalse(
            host.election.membership.accept("a", Proposal(2, proposed.epoch, ADDRESSES))
        )

    def test_requests_with_another_membership_number_are_denied(self):
        """Such requests are denied and outdated peers informed; a removed member grants nothing."""
        host = self.recovered_member(campaigns=False)
        self.assertEqual(host.request_lease("b", 40, number=3), LeaseDenial)
        host.election.on_message("b", MembershipNotice(3, dict(ADDRESSES, d="127.0.0.1:4"), {}))
        self.assertEqual(host.request_lease("c", 50, number=0), LeaseDenial)
        self.assertEqual(
            [
                message.membership_number
                for member, message in host.sent
                if member == "c" and isinstance(message, MembershipNotice)
            ],
            [3],
        )
        self.assertEqual(host.request_lease("c", 50, number=3), LeaseGrant)
        # A member that was removed grants nothing, and leads no longer.
        host.election.on_message(
            "b", MembershipNotice(4, {"b": "127.0.0.1:2", "d": "127.0.0.1:4"}, {})
        )
        self.assertEqual(host.request_lease("c", 66, number=4), LeaseDenial)
        self.assertIsNone(host.election.leading_epoch("fleet"))

    def test_a_change_that_may_already_be_decided_is_completed_first(self):
        """A proposal that a grantor had accepted is proposed again, under the new epoch."""
        host = self.recovered_member()
        host.election.candidate.should_campaign = lambda relay_group: True
        host.run(3)
        fewer = {"a": ADDRESSES["a"], "c": ADDRESSES["c"]}
        host.grant_last_request("c", proposal=Proposal(1, 5, fewer))
        self.assertEqual(
            host.election.change_members(dict(ADDRESSES, d="127.0.0.1:4")),
            "another change is under way",
        )
        host.run(0.5)
        self.assertEqual(
            (host.last_sent(ProposeMembers).members, host.last_sent(ProposeMembers).epoch),
            (fewer, host.election.leading_epoch("fleet")),
        )

    def test_a_forced_membership_waits_for_a_lease_and_exceeds_all_granted_epochs(self):
        """After a lease, a forced member leads under an epoch above all that it granted."""
        host = self.recovered_member(campaigns=False)
        host.request_lease("c", 200)
        self.assertIsNotNone(host.election.force_members({"b": ADDRESSES["b"]}))
        self.assertIsNone(host.election.force_members({"a": ADDRESSES["a"]}))
        self.assertFalse(host.election.status().may_grant)
        host.election.candidate.should_campaign = lambda relay_group: True
        host.run(6)
        self.assertGreater(host.election.leading_epoch("fleet"), 200 + (1 << 20))
        # Other members that still run adopt the higher number as soon as they learn of it.
        self.assertGreater(host.election.membership_number, 1 << 20)

    def test_a_lease_counts_from_its_request_and_expires_by_the_holders_clock(self):
        """Writing ends with the lease, which is shortened by the drift, before any timer fires."""
        host = self.recovered_member()
        request = host.last_sent(LeaseRequest)
        host.grant_last_request("b")
        epoch = host.election.leading_epoch("fleet")
        self.assertEqual(epoch, request.epoch)
        expires_at = host.election.candidate.candidacies["fleet"].expires_at
        self.assertEqual(
            expires_at,
            host.election.candidate.candidacies["fleet"].requested_at + round(1.9 * SECOND),
        )
        host.clock = expires_at - 1
        self.assertTrue(host.election.may_write("fleet", epoch))
        host.clock = expires_at
        self.assertFalse(host.election.may_write("fleet", epoch))  # before any timer fires
        host.grant_last_request("c")
        self.assertFalse(host.election.may_write("fleet", epoch))

    def test_a_member_renews_its_lease_while_its_planner_is_busy_but_not_while_it_hangs(self):
        """A lease is renewed only if the planner has responded within a lease."""
        host = self.leading_member()
        for quarter_seconds, keeps_lease in ((1, True), (20, False)):
            host.planner_hung_at = host.clock
            for _ in range(quarter_seconds):
                host.run(0.25)
                if host.election.leading_epoch("fleet") is not None:
                    host.grant_last_request("b")
            self.assertEqual(host.election.leading_epoch("fleet") is not None, keeps_lease)
        request_count = len(host.all_sent(LeaseRequest))
        host.run(10)
        self.assertEqual(len(host.all_sent(LeaseRequest)), request_count)
        host.planner_hung_at = None
        host.run(2)
        host.grant_last_request("c")
        self.assertIsNotNone(host.election.leading_epoch("fleet"))


if __name__ == "__main__":
    unittest.main()
