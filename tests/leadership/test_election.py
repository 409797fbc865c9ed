"""One member's decisions on simulated time, with its peers played by the test."""

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

PLACES = {name: f"127.0.0.1:{nth}" for nth, name in enumerate("abc", 1)}


class LoneMember(SimulatedLoop):
    """One member of three, whose peers are played by the test."""

    def __init__(self, record=None, incarnation=2):
        super().__init__()
        self.sent = []
        self.kept = []
        self.broken_disk = False
        self.hung_since = None
        settings = ElectionSettings("a", PLACES, ("fleet",), 2 * SECOND, 0.05, incarnation)
        self.election = LeaderElection(self, settings, SeededRandom(1), record)

    def planner_idle_time(self):
        """Return for how long the planner hangs."""
        return 0 if self.hung_since is None else self.clock - self.hung_since

    def start_timer(self, delay):
        """Wake the election later."""
        self.call_later(delay, lambda: self.election.on_timer())

    def send(self, member, message):
        """Keep a message."""
        self.sent.append((member, message))

    def save_record(self, record):
        """Keep a record, and fail where the disk is broken."""
        self.kept.append(record)
        return not self.broken_disk

    def on_leadership_acquired(self, relay_group, epoch):
        """Print it."""
        self.log_event(f"leads under {epoch}")

    def on_leadership_lost(self, relay_group, epoch, reason):
        """Print it."""
        self.log_event(f"leads no longer: {reason}")

    def on_members_changed(self, number, members):
        """Print it."""
        self.log_event(f"members by {number}")

    def log(self, event, **facts):
        """Print an event."""
        self.log_event(event, **facts)

    def answered(
        self, member, epochs=None, serial=0, number=0, members=PLACES, proposal=None, nonce=None
    ):
        """Let a peer answer what the member asked at its start."""
        answer = RecoveryAnswer(
            nonce or self.election.recovery.nonce, epochs or {}, serial, number, members, proposal
        )
        self.election.on_message(member, answer)

    def granted(self, member, proposal=None, number=0):
        """Let a peer grant what was asked last."""
        asked = self.last(LeaseRequest)
        grant = LeaseGrant("fleet", asked.epoch, asked.round, 1, number, proposal)
        self.election.on_message(member, grant)

    def asked(self, member, epoch, number=0):
        """Let a peer ask for the relay group; return the type of the last message sent."""
        self.election.on_message(member, LeaseRequest("fleet", epoch, 1, 0, number))
        return type(self.sent[-1][1])

    def last(self, message_type):
        """Return the last message of a type."""
        return self.all(message_type)[-1]

    def all(self, message_type):
        """Return all messages of a type."""
        return [message for _, message in self.sent if isinstance(message, message_type)]


class Election(unittest.TestCase):
    """Recovery, grants, leases and changes of members."""

    def recovered(self, asks=True, **given):
        """Return a member that may grant; `asks`: whether it tries to lead, too."""
        lone = LoneMember(**given)
        if not asks:
            lone.election.candidate.wants = lambda relay_group: False
        for member in "bc":
            lone.answered(member)
        lone.run(3)
        return lone

    def test_answers_to_an_earlier_incarnation_or_question_do_not_count(self):
        """Answers with a nonce of an earlier incarnation do not let a member grant."""
        lone = LoneMember(incarnation=2)
        early = LoneMember(incarnation=1)
        self.assertNotEqual(lone.election.recovery.nonce, early.election.recovery.nonce)
        for member in "bc":
            lone.answered(member, nonce=early.election.recovery.nonce)
        lone.run(5)
        self.assertFalse(lone.election.recovery.is_recovered())
        self.assertEqual(lone.asked("b", 5), LeaseDenial)

    def test_a_disk_that_is_an_old_copy_or_lost_is_known_by_what_others_saw(self):
        """The serial and the epochs that peers tell count above the record."""
        lone = LoneMember(record=LeaseRecord(3, {"fleet": KnownEpoch(4, "b")}))
        lone.election.candidate.wants = lambda relay_group: False
        lone.answered("b", {"fleet": KnownEpoch(11, "b")}, 9)
        lone.answered("c", {"fleet": KnownEpoch(8, "c")}, 0)
        lone.run(3)
        self.assertEqual((lone.asked("c", 10), lone.sent[-1][1].highest_epoch), (LeaseDenial, 11))
        # Who holds it by what the others say may go on holding it; nobody else under that epoch.
        self.assertEqual((lone.asked("c", 11), lone.asked("b", 11)), (LeaseDenial, LeaseGrant))
        lone.election.on_message("b", LeaseRelease("fleet", 11))
        self.assertEqual(lone.asked("c", 14), LeaseGrant)
        self.assertEqual([record.serial for record in lone.kept], [10, 11])

    def test_nothing_is_granted_that_could_not_be_written_down(self):
        """A grant is sent only once the record is saved."""
        lone = self.recovered(asks=False)
        lone.broken_disk = True
        before = len(lone.sent)
        lone.asked("b", 7)
        self.assertFalse(
            [message for _, message in lone.sent[before:] if isinstance(message, LeaseGrant)]
        )
        lone.broken_disk = False
        self.assertEqual(lone.asked("b", 7), LeaseGrant)

    def leader(self):
        """Return one that leads."""
        lone = self.recovered()
        lone.election.candidate.wants = lambda relay_group: True
        lone.run(3)
        lone.granted("b")
        lone.granted("c")
        self.assertIsNotNone(lone.election.leading_epoch("fleet"))
        return lone

    def test_members_change_one_at_a_time_and_by_a_majority_of_those_before(self):
        """A change is proposed, accepted by a majority of the old members, and adopted."""
        lone = self.leader()
        more = dict(PLACES, d="127.0.0.1:4")
        self.assertEqual(
            lone.election.change_members(dict(more, e="127.0.0.1:5")),
            "one member is added or removed at a time",
        )
        self.assertIsNone(lone.election.change_members(more))
        self.assertEqual(
            lone.election.change_members({"a": PLACES["a"], "b": PLACES["b"]}),
            "another change is under way",
        )
        proposed = lone.last(ProposeMembers)
        self.assertEqual((proposed.membership_number, proposed.members), (1, more))
        lone.election.on_message(
            "d", AcceptMembers(1, proposed.epoch, {})
        )  # is no member yet: its word does not count
        self.assertEqual(lone.election.members, PLACES)
        lone.election.on_message(
            "c", AcceptMembers(1, proposed.epoch, {"fleet": KnownEpoch(900, "c")})
        )
        self.assertEqual((lone.election.membership_number, lone.election.members), (1, more))
        self.assertEqual(lone.kept[-1].membership, (1, more))
        self.assertEqual(
            {
                member
                for member, message in lone.sent
                if isinstance(message, MembershipNotice) and message.membership_number == 1
            },
            set("bcd"),
        )
        # What one of them granted while it accepted is known to all of the new members.
        self.assertEqual(lone.last(MembershipNotice).epochs, {"fleet": KnownEpoch(900, "c")})
        # Neighbouring memberships only: nothing further is accepted before leases of the one before
        # have ended.
        self.assertFalse(lone.election.membership.accepts("a", Proposal(2, proposed.epoch, PLACES)))

    def test_who_asks_by_another_membership_is_informed_and_not_granted(self):
        """Requests by another number are denied; a member that was removed grants nothing."""
        lone = self.recovered(asks=False)
        self.assertEqual(lone.asked("b", 40, number=3), LeaseDenial)
        lone.election.on_message("b", MembershipNotice(3, dict(PLACES, d="127.0.0.1:4"), {}))
        self.assertEqual(lone.asked("c", 50, number=0), LeaseDenial)
        self.assertEqual(
            [
                message.membership_number
                for member, message in lone.sent
                if member == "c" and isinstance(message, MembershipNotice)
            ],
            [3],
        )
        self.assertEqual(lone.asked("c", 50, number=3), LeaseGrant)
        # One that was taken out gives up at once and is granted nothing more.
        lone.election.on_message(
            "b", MembershipNotice(4, {"b": "127.0.0.1:2", "d": "127.0.0.1:4"}, {})
        )
        self.assertEqual(lone.asked("c", 66, number=4), LeaseDenial)
        self.assertIsNone(lone.election.leading_epoch("fleet"))

    def test_a_change_that_may_have_been_decided_before_is_finished_first(self):
        """A proposal that a grantor had accepted is proposed again, under the new epoch."""
        lone = self.recovered()
        lone.election.candidate.wants = lambda relay_group: True
        lone.run(3)
        fewer = {"a": PLACES["a"], "c": PLACES["c"]}
        lone.granted("c", proposal=Proposal(1, 5, fewer))
        self.assertEqual(
            lone.election.change_members(dict(PLACES, d="127.0.0.1:4")),
            "another change is under way",
        )
        lone.run(0.5)
        self.assertEqual(
            (lone.last(ProposeMembers).members, lone.last(ProposeMembers).epoch),
            (fewer, lone.election.leading_epoch("fleet")),
        )

    def test_a_forced_membership_waits_for_a_lease_and_is_ahead_of_all_that_was_granted(self):
        """A forced member leads after a lease, under an epoch above all that it granted."""
        lone = self.recovered(asks=False)
        lone.asked("c", 200)
        self.assertIsNotNone(lone.election.force_members({"b": PLACES["b"]}))
        self.assertIsNone(lone.election.force_members({"a": PLACES["a"]}))
        self.assertFalse(lone.election.status().may_grant)
        lone.election.candidate.wants = lambda relay_group: True
        lone.run(6)
        self.assertGreater(lone.election.leading_epoch("fleet"), 200 + (1 << 20))
        # The others, should they live, follow as soon as they hear of it.
        self.assertGreater(lone.election.membership_number, 1 << 20)

    def test_a_lease_counts_from_the_asking_and_ends_by_the_holders_own_clock(self):
        """Writing ends with the lease, shortened by drift, before any timer fires."""
        lone = self.recovered()
        asked = lone.last(LeaseRequest)
        lone.granted("b")
        epoch = lone.election.leading_epoch("fleet")
        self.assertEqual(epoch, asked.epoch)
        until_ = lone.election.candidate.candidacies["fleet"].until
        self.assertEqual(
            until_, lone.election.candidate.candidacies["fleet"].asked_at + round(1.9 * SECOND)
        )
        lone.clock = until_ - 1
        self.assertTrue(lone.election.may_write("fleet", epoch))
        lone.clock = until_
        self.assertFalse(lone.election.may_write("fleet", epoch))  # before any timer has said so
        lone.granted("c")
        self.assertFalse(lone.election.may_write("fleet", epoch))

    def test_a_member_whose_planner_hangs_renews_nothing_and_one_that_is_busy_does(self):
        """A lease is renewed only beside a planner that was seen within a lease."""
        lone = self.leader()
        for hung, kept in ((1, True), (20, False)):
            lone.hung_since = lone.clock
            for _ in range(hung):
                lone.run(0.25)
                if lone.election.leading_epoch("fleet") is not None:
                    lone.granted("b")
            self.assertEqual(lone.election.leading_epoch("fleet") is not None, kept)
        asked = len(lone.all(LeaseRequest))
        lone.run(10)
        self.assertEqual(len(lone.all(LeaseRequest)), asked)
        lone.hung_since = None
        lone.run(2)
        lone.granted("c")
        self.assertIsNotNone(lone.election.leading_epoch("fleet"))


if __name__ == "__main__":
    unittest.main()
