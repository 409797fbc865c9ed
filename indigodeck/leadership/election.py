"""Who is in charge of a ward, and who the members are, free of I/O: leases by a majority, with epochs that only grow.

A ward is a part of the relays (all, or a hall's). A member that wants one asks all members; each grants a ward to one
holder at a time, for a lease, and writes the epoch down before it says so. With grants of a majority the asker is
in charge until its lease could have ended by its own clock, counted from when it asked. (The leases are those of
C. Gray and D. Cheriton, "Leases", SOSP 1989, over majorities as in L. Lamport, "The Part-Time Parliament", TOCS 1998,
without its log: nothing but the epoch must outlast a lease.)

Members are added and removed one at a time, each change decided by a majority of the members before it (a decree of
Lamport's for each number; one member at a time as in D. Ongaro, "Consensus: Bridging Theory and Practice", 2014,
section 4.1, because majorities of neighbouring fleets meet). Who is in charge of the first ward proposes, under its epoch.

Clocks may drift: no member's clock may run faster or slower than true time by more than `drift` (a part). They need not
agree on the time. Times are whole microseconds of the member's own monotonic clock.
"""

from typing import NamedTuple, Protocol

from ..assignment.seeded_random import seed_from

MEMBERS_MOST = 15
STRIDE = 16  # epochs that one turn of all members takes: each has numbers of its own
FORCED = 1 << 20  # how far a forced fleet's number is ahead of any that was decided


class LeaseRecord(NamedTuple):
    """What must outlast a restart. `wards`: by ward the highest epoch granted or adopted, and its holder; `serial`: how
    often this was written; `fleet`: (number, {member: place}) or None while it is as the charter says; `plan`: the change
    accepted last and not known to be decided, (number, epoch it was proposed under, members).
    """

    serial: int
    wards: dict
    fleet: tuple | None = None
    plan: tuple | None = None


class Environment(Protocol):
    """What a member may ask of the program around it."""

    def now(self) -> int: ...

    def silent(self) -> int:
        """For how long the planner beside this member has not been seen at work."""

    def later(self, after: int) -> None:
        """Call `woken` after this time."""

    def send(self, member: str, kind: str, **fields) -> None:
        """A message to another member, which may be lost, late, twice or out of order."""

    def keep(self, record: LeaseRecord) -> bool:
        """Write the record so that it outlasts anything but the loss of the disk; False if that failed."""

    def in_charge(self, ward: str, epoch: int) -> None: ...

    def out_of_charge(self, ward: str, epoch: int, why: str) -> None: ...

    def members_changed(self, number: int, members: dict) -> None:
        """These are the members now, by place; messages to and from all of them should pass."""

    def note(self, text: str) -> None: ...


class Grant:
    """What this member granted of one ward: to whom, and until when by its own clock. Not kept over restarts."""

    def __init__(self):
        self.holder, self.until = None, 0


class Bid:
    """What this member asks, or holds, of one ward."""

    def __init__(self):
        self.epoch, self.round, self.asked_at, self.granted = 0, 0, 0, set()
        self.until, self.held, self.retry_at, self.failures = 0, False, 0, 0
        self.found = None  # the plan of the highest epoch that those who granted had accepted
        self.backed = None  # the fleet's number by which a majority has granted this epoch


class LeaderElection:
    """One member. `members`: {id: place} of all, itself among them, as long as nothing else was decided; `wards`: names.

    `record` is what the disk gave, or None. A member that starts grants nothing until it has heard, from a majority of
    the others, what epochs they know of and how much of its own writing they have seen, and until a whole lease has
    passed: it may have granted one that it no longer remembers, and its disk may be gone or an old copy.
    `life`: a number that no earlier start of this member had; answers to an earlier life must not count in this one.
    `joins`: it is not a member yet and asks nobody for anything until it is let in; `members` are whom it may hear.
    """

    def __init__(
        self, host, me, members, wards, lease, drift, chance, life, record=None, joins=False
    ):
        self.host, self.me, self.wards = host, me, list(wards)
        self.lease, self.drift, self.chance = lease, drift, chance
        self.record = record or LeaseRecord(0, {})
        self.first_known = dict(members)
        self.number, self.members = self.record.fleet or ((-1, {}) if joins else (0, dict(members)))
        self.grants, self.bids = {ward: Grant() for ward in wards}, {ward: Bid() for ward in wards}
        self.known = dict(
            self.record.wards
        )  # by ward: the highest epoch heard of, and its holder if that was said
        self.seen, self.heard_at, self.numbers = (
            {},
            {},
            {},
        )  # of others: highest serial, last heard, fleet's number
        self.began, self.answers, self.remembers = host.now(), set(), False
        self.adopted_at, self.proposed_plan, self.accepts, self.asked_for = (
            host.now(),
            None,
            set(),
            None,
        )
        self.here_at = host.now()
        self.taught_at, self.resting, self.stepped = {}, {}, {}
        self.hello, self.rounds = life << 24, life << 24
        self._greet()
        host.later(self._tick())

    def _tick(self):
        return self.lease // 8

    def _majority(self):
        return len(self.members) // 2 + 1

    # Lengths of a lease, as each side must count it.

    def _holds_for(self):
        """The holder's count: short by what its clock may be slow."""
        return round(self.lease * (1 - self.drift))

    def _grants_for(self):
        """The grantor's count: long by what its clock may be fast."""
        return round(self.lease * (1 + self.drift))

    # Starting.

    def _greet(self):
        self.hello, self.greeted_at = self.hello + 1, self.host.now()
        for member in self._others() or [name for name in self.first_known if name != self.me]:
            self.host.send(member, "greet", hello=self.hello, number=max(0, self.number))

    def _others(self):
        return [member for member in self.members if member != self.me]

    def settled(self):
        """Whether it knows what it may have forgotten: a majority of the others holds one of every majority that this
        member ever was part of. Once it does, that lasts for its life: a new member that is down must not hold it up.
        """
        if self.me in self.members and len(self.answers & self.members.keys()) >= min(
            self._majority(), len(self.members) - 1
        ):
            self.remembers = True
        return self.me in self.members and self.remembers

    def greeted(self, member, hello, number):
        """Another member starts: it is told all epochs known here, and how much of its writing was seen."""
        self._heard(member, number)
        if self.number >= 0:
            self.host.send(
                member,
                "tell",
                hello=hello,
                epochs=self._epochs(),
                serial=self.seen.get(member, 0),
                number=self.number,
                members=self.members,
                plan=self.record.plan,
            )

    def here(self, member, number):
        """Another member runs, by that number of the fleet."""
        self._heard(member, number)
        if number < self.number:
            self._teach(member)

    def _heard(self, member, number=None):
        self.heard_at[member] = self.host.now()
        if number is not None:
            self.numbers[member] = number

    def _epochs(self):
        return {ward: list(known) for ward, known in self.known.items()}

    def told(self, member, hello, epochs, serial, number, members, plan):
        self._heard(member, number)
        if hello != self.hello:
            return  # an answer to an earlier life, or to an earlier question
        self._learn(epochs)
        if serial > self.record.serial:
            # The disk is an old copy, or new: others have seen more of this member's writing than it has.
            self.host.note(
                f"record {self.record.serial} is older than {serial}, which {member} has seen"
            )
            self.record = self.record._replace(serial=serial)
        if members is not None:
            self._adopt(number, members)
        if (
            plan
            and number == self.number
            and plan[0] == number + 1
            and (not self.record.plan or plan[1] > self.record.plan[1])
        ):
            # It may have accepted this, too, before it lost its disk: what is decided must not be forgotten.
            self._keep(self.record._replace(plan=tuple(plan)))
        if number == self.number:
            self.answers.add(member)
        elif number < self.number:
            self._teach(member)

    def _learn(self, epochs):
        for ward, (epoch, holder) in epochs.items():
            if epoch > self.known.get(ward, (0, None))[0]:
                self.known[ward] = epoch, holder

    def _may_grant(self):
        return self.settled() and self.host.now() - self.began > self._grants_for()

    # Granting.

    def asked(self, member, ward, epoch, round_, serial, number):
        """A member asks for a ward, or for more time with it."""
        self._heard(member, number)
        self.seen[member] = max(self.seen.get(member, 0), serial)
        known, holder = self.known.get(ward, (0, None))
        why_not = self._why_not(member, ward, epoch, number)
        if why_not is not None:
            if number < self.number:
                self._teach(member)
            return self.host.send(
                member,
                "deny",
                ward=ward,
                epoch=epoch,
                round=round_,
                highest=known,
                holder=holder or "",
                wait=why_not,
                number=max(0, self.number),
            )
        if not self._grant(member, ward, epoch):
            return None
        return self.host.send(
            member,
            "grant",
            ward=ward,
            epoch=epoch,
            round=round_,
            serial=self.record.serial,
            number=self.number,
            plan=self.record.plan if ward == self.wards[0] else None,
        )

    def _why_not(self, member, ward, epoch, number):
        """None where a ward may be granted; else how long to wait before asking again, in microseconds."""
        if (
            ward not in self.grants
            or member not in self.members
            or number != self.number
            or not self._may_grant()
        ):
            # Asked by an older fleet, or by a newer one that is not known here yet: each counts its own majority.
            return self.lease // 4
        grant, known = self.grants[ward], self.known.get(ward, (0, None))
        if grant.holder not in (None, member) and self.host.now() < grant.until:
            return grant.until - self.host.now()
        # What was granted here is renewed though somebody else has asked for more elsewhere: he may never get it.
        renews = (epoch, member) in (known, self.record.wards.get(ward))
        return None if renews or epoch > known[0] else self.lease // 4

    def _grant(self, member, ward, epoch):
        """Grants it for a lease, written down first; False if that failed."""
        if self.record.wards.get(ward) != (epoch, member):
            if not self._keep(
                self.record._replace(wards=dict(self.record.wards, **{ward: (epoch, member)}))
            ):
                return False
            self._learn({ward: (epoch, member)})
        grant = self.grants[ward]
        grant.holder, grant.until = member, self.host.now() + self._grants_for()
        return True

    def _keep(self, record):
        record = record._replace(serial=self.record.serial + 1)
        if not self.host.keep(record):
            self.host.note("the record could not be written: nothing is granted")
            return False
        self.record = record
        return True

    def released(self, member, ward, epoch):
        """A holder gives a ward back before its lease ends."""
        self._heard(member)
        grant = self.grants.get(ward)
        if (
            grant is not None
            and grant.holder == member
            and self.record.wards.get(ward, (0, None))[0] == epoch
        ):
            grant.until = self.host.now()
            # Who gave it up by plan is not waited for: the next in order takes it at once.
            self.stepped[ward, member] = self.host.now() + 3 * self.lease

    # Asking and holding.

    def order(self, ward):
        """The members in the order in which they should hold a ward: seeded by the ward, so that wards spread."""
        return sorted(
            self.members, key=lambda member: (seed_from(ward, [b"/", member.encode()]), member)
        )

    def wanted(self, ward):
        """Whether this member should try for a ward: it goes to the first in order of those that were heard of lately and
        did not just let it lapse; others try when nobody is known to hold it for long.
        """
        now, rest, grant = self.host.now(), self.resting.get(ward, 0), self.grants[ward]
        lapsed = grant.holder if grant.until <= now < grant.until + 2 * self.lease else None
        alive = [
            member
            for member in self.order(ward)
            if now >= self.stepped.get((ward, member), 0)
            and (member == self.me or member != lapsed and self._alive(member))
        ]
        return now >= rest and (self.me in alive[:1] or self._vacant(ward) > 2 * self.lease)

    def _alive(self, member):
        return self.host.now() - self.heard_at.get(member, -(1 << 60)) < 2 * self.lease

    def _vacant(self, ward):
        """For how long nobody is known here to hold a ward."""
        return self.host.now() - max(self.grants[ward].until, self.began)

    def woken(self):
        self.host.later(self._tick())
        # Who would be in charge of relays and write them nothing must not keep others from it.
        now, works = self.host.now(), self.host.silent() < self.lease
        if works and self.me in self.members and now - self.here_at >= self.lease // 2:
            # Members that hold nothing would else never hear of each other, and all try at once when the holder stops.
            self.here_at = now
            for member in self._others():
                self.host.send(member, "here", number=self.number)
        if not self.settled() and (self.me in self.members or now - self.greeted_at >= self.lease):
            self._greet()
        for ward in self.wards:
            bid = self.bids[ward]
            if bid.held and now >= bid.until:
                self._lose(ward, "its lease has ended")
            if bid.held and works and now - bid.asked_at >= self.lease // 4:
                self._ask(ward, bid.epoch)
            elif (
                not bid.held
                and works
                and now >= bid.retry_at
                and self._may_grant()
                and self.wanted(ward)
            ):
                turn = max(self.known.get(ward, (0, None))[0], bid.epoch) // STRIDE + 1
                # No two members ever ask under one epoch: each has numbers of its own, and uses each once.
                self._ask(ward, turn * STRIDE + sorted(self.members).index(self.me))
        if self.wards and self.bids[self.wards[0]].held:
            self._lead()

    def _ask(self, ward, epoch):
        bid, now = self.bids[ward], self.host.now()
        if epoch != bid.epoch:
            bid.epoch, bid.held, bid.found, bid.backed = epoch, False, None, None
        self.rounds += 1
        bid.round, bid.asked_at, bid.granted = self.rounds, now, set()
        # Tried again after a while that differs, so that members that asked at once do not go on so.
        bid.failures = min(bid.failures + 1, 5)
        bid.retry_at = now + self.lease // 4 + self.chance.below(self.lease * bid.failures // 2)
        for member in self._others():
            self.host.send(
                member,
                "ask",
                ward=ward,
                epoch=epoch,
                round=bid.round,
                serial=self.record.serial,
                number=self.number,
            )
        self._ask_myself(ward, epoch, bid)

    def _ask_myself(self, ward, epoch, bid):
        if self._why_not(self.me, ward, epoch, self.number) is None and self._grant(
            self.me, ward, epoch
        ):
            self._count(self.me, ward, epoch, bid.round, self.number, self.record.plan)

    def granted(self, member, ward, epoch, round_, serial, number, plan):
        self._heard(member, number)
        self.seen[member] = max(self.seen.get(member, 0), serial)
        self._count(member, ward, epoch, round_, number, plan)

    def _count(self, member, ward, epoch, round_, number, plan):
        bid = self.bids.get(ward)
        if (
            bid is None
            or (epoch, round_) != (bid.epoch, bid.round)
            or self.resting.get(ward, 0) > self.host.now()
            or number != self.number
            or member not in self.members
        ):
            return
        bid.granted.add(member)
        if plan and plan[0] == self.number + 1 and (not bid.found or plan[1] > bid.found[1]):
            bid.found = tuple(plan)
        # Counted from the asking: the grantors' leases began later than that, whenever their answers come.
        until = bid.asked_at + self._holds_for()
        if len(bid.granted) >= self._majority() and self.host.now() < until:
            bid.until, bid.failures, bid.backed = (
                max(bid.until, until) if bid.held else until,
                0,
                self.number,
            )
            if not bid.held:
                bid.held = True
                self.host.in_charge(ward, epoch)

    def denied(self, member, ward, epoch, round_, highest, holder, wait, number):
        self._heard(member, number)
        self._learn({ward: (highest, holder or None)})
        if number < self.number:
            self._teach(member)
        bid = self.bids.get(ward)
        if bid is not None and (epoch, round_) == (bid.epoch, bid.round) and not bid.held:
            bid.retry_at = max(
                bid.retry_at,
                self.host.now() + min(wait, self.lease) + self.chance.below(self._tick()),
            )

    def may_write(self, ward, epoch):
        """Whether an order under this epoch may leave now. Asked as the bytes leave, not as they are queued."""
        bid = self.bids[ward]
        return bid.held and bid.epoch == epoch and self.host.now() < bid.until

    def holds(self, ward):
        """The epoch under which this member is in charge of a ward at this moment, or None."""
        bid = self.bids[ward]
        return bid.epoch if self.may_write(ward, bid.epoch) else None

    def _lose(self, ward, why):
        bid = self.bids[ward]
        if bid.held:
            # Grants that are still on their way would bring it back under an epoch that has ended.
            bid.held, bid.until, bid.round = False, 0, 0
            self.host.out_of_charge(ward, bid.epoch, why)

    # By plan.

    def hand_over(self, ward):
        """Gives a ward up at once, for others to take: nothing of it is written any more, then the grants go back."""
        bid = self.bids[ward]
        if not bid.held:
            return False
        epoch = bid.epoch
        self.resting[ward] = self.host.now() + 2 * self.lease
        self._lose(ward, "handed over")
        self.released(self.me, ward, epoch)
        for member in self._others():
            self.host.send(member, "release", ward=ward, epoch=epoch)
        return True

    # Who the members are.

    def change(self, members):
        """An operator wants these as members: {id: place}, one more or one less. None, or why it can't be; it is done
        when `fleet()` shows the next number.
        """
        epoch = self.holds(self.wards[0])
        if epoch is None:
            return "another is in charge"
        if not 1 <= len(members) <= MEMBERS_MOST:
            return f"{len(members)} members, 1 to {MEMBERS_MOST} may be"
        if members == self.members:
            return None
        if len(members.items() ^ self.members.items()) != 1:
            return "one member is added or removed at a time"
        if self._pending() or self.asked_for:
            return "another change is under way"
        silent = [member for member in self._others() if not self._alive(member)]
        if len(members) > len(self.members) and silent:
            # A new member must hear from a majority besides itself before it counts: with others down it might never.
            return f"{', '.join(silent)} is not heard of: start or remove it first"
        self.asked_for = dict(members)
        self._lead()
        return None

    def _pending(self):
        """A change that must be finished before any other: it may have been decided under an epoch before."""
        found = self.bids[self.wards[0]].found
        return found if found and found[0] == self.number + 1 else None

    def _lead(self):
        """Proposes the change that is due, again and again until it is decided; tells members that lag behind."""
        epoch, found = self.holds(self.wards[0]), self._pending()
        members = found[2] if found else self.asked_for
        # Not before a majority of this very fleet has granted the epoch: until then what it accepted is not known here.
        if epoch is not None and members and self.bids[self.wards[0]].backed == self.number:
            if self.proposed_plan is None or self.proposed_plan[:2] != (self.number + 1, epoch):
                # One proposal an epoch, whatever is learned later.
                self.proposed_plan, self.accepts = (self.number + 1, epoch, dict(members)), set()
            plan = self.proposed_plan
            for member in self._others():
                if member not in self.accepts:
                    self.host.send(member, "propose", number=plan[0], epoch=epoch, members=plan[2])
            if self.me not in self.accepts and self._accepts(self.me, *plan):
                self._accepted(self.me, plan)
        for member in self._others():
            if self._alive(member) and self.numbers.get(member, -1) < self.number:
                self._teach(member)

    def _accepts(self, member, number, epoch, members):
        """Whether a proposal is taken, and written down. A member that has changed fleets grants no further change
        until what it granted in the fleet before has ended, so that only neighbouring fleets' leases ever run at once;
        and it takes one only from whom it granted the first ward to, under that epoch: granting was the promise.
        """
        if number != self.number + 1 or member not in self.members or not self._may_grant():
            return False
        if self.host.now() - self.adopted_at <= self._grants_for():
            return False
        if self.record.wards.get(self.wards[0]) != (epoch, member):
            return False
        plan = number, epoch, dict(members)
        return self.record.plan == plan or self._keep(self.record._replace(plan=plan))

    def proposed(self, member, number, epoch, members):
        self._heard(member)
        if number <= self.number:
            return self._teach(member) if number < self.number else None
        if self._accepts(member, number, epoch, members):
            self.host.send(member, "accept", number=number, epoch=epoch, epochs=self._epochs())
        return None

    def accepted(self, member, number, epoch, epochs):
        self._heard(member)
        if (
            self.proposed_plan is not None
            and self.proposed_plan[:2] == (number, epoch)
            and number == self.number + 1
        ):
            # The next fleet must know all epochs that this one granted: its majority may lack who granted them.
            self._learn(epochs)
            if member in self.members:
                self._accepted(member, self.proposed_plan)

    def _accepted(self, member, plan):
        self.accepts.add(member)
        if len(self.accepts) >= self._majority():
            before = dict(self.members)
            self._adopt(plan[0], plan[2])
            if self.number == plan[0]:
                for name in sorted(before.keys() | self.members.keys()):
                    self.taught_at.pop(name, None)
                    self._teach(name)

    def _teach(self, member):
        """Tells who the members are; not more often than a tick, as the other may ask for many wards."""
        now = self.host.now()
        if member != self.me and now - self.taught_at.get(member, -(1 << 60)) >= self._tick():
            self.taught_at[member] = now
            self.host.send(
                member, "members", number=self.number, members=self.members, epochs=self._epochs()
            )

    def members_are(self, member, number, members, epochs):
        """Another member tells of a fleet that was decided."""
        self._heard(member, number)
        if number < self.number:
            return self._teach(member)
        self._learn(epochs)
        return self._adopt(number, members)

    def _adopt(self, number, members):
        """Takes a fleet that was decided, with all epochs that are known by now."""
        if number <= self.number:
            return
        wards = dict(self.record.wards)
        for ward, known in self.known.items():
            if known[0] > wards.get(ward, (0, None))[0]:
                wards[ward] = known
        if not self._keep(
            self.record._replace(wards=wards, fleet=(number, dict(members)), plan=None)
        ):
            return
        if self.me not in members:
            for ward in self.wards:
                self.hand_over(ward)
        if number - self.number >= FORCED and self.number >= 0:
            # Forced by an operator: leases of the fleet before may run that no member of this one granted.
            self.began = self.host.now()
        if not self.settled():
            # What was answered by who knew only the fleet before says nothing of grants in this one.
            self.answers = set()
        self.number, self.members, self.adopted_at = number, dict(members), self.host.now()
        self.proposed_plan, self.accepts, self.asked_for = None, set(), None
        for bid in self.bids.values():
            bid.granted, bid.round, bid.found, bid.backed = (
                set(),
                0,
                None,
                None,
            )  # grants of the fleet before
        self.host.note(f"members by number {number}: {', '.join(sorted(members))}")
        self.host.members_changed(number, dict(members))

    def force(self, members):
        """An operator makes these the members without a majority's word, after the others are gone for good. If they are
        not, two may be in charge until they meet: then the higher number counts, and relays that know epochs follow it.
        None, or why it can't be.
        """
        if self.me not in members or not 1 <= len(members) <= MEMBERS_MOST:
            return "who is forced to be a member must be told so itself"
        if self.number < 0:
            return "it was never a member"
        # Two forced at once must not have one number; epochs are ahead of any that the others may have granted.
        ahead = FORCED + self.chance.below(FORCED)
        self._learn(
            {
                ward: (self.known.get(ward, (0, None))[0] + ahead * STRIDE, None)
                for ward in self.wards
            }
        )
        self._adopt(self.number + ahead, members)
        if self.members != members:
            return "the record could not be written"
        for member in self._others():
            self._teach(member)
        return None

    def fleet(self):
        """What is known here of members and wards, for operators. Times in microseconds; `state` of a member: alive,
        suspected (not heard for two leases), unheard.
        """
        now = self.host.now()

        def state(member):
            return (
                "alive"
                if member == self.me or self._alive(member)
                else ("suspected" if member in self.heard_at else "unheard")
            )

        return {
            "me": self.me,
            "settled": self._may_grant(),
            "number": self.number,
            "under_way": bool(self.asked_for),
            "members": {
                member: {
                    "place": place,
                    "state": state(member),
                    "heard": None if member not in self.heard_at else now - self.heard_at[member],
                    "number": self.number if member == self.me else self.numbers.get(member),
                }
                for member, place in sorted(self.members.items())
            },
            "wards": {
                ward: {
                    "epoch": self.known.get(ward, (0, None))[0],
                    "granted_to": self.grants[ward].holder,
                    "granted_for": max(0, self.grants[ward].until - now),
                    "held": self.holds(ward),
                }
                for ward in self.wards
            },
        }


# What another member's message is called, and what it is to this one.
CALLS = {
    "here": LeaderElection.here.__name__,
    "greet": LeaderElection.greeted.__name__,
    "tell": LeaderElection.told.__name__,
    "ask": LeaderElection.asked.__name__,
    "grant": LeaderElection.granted.__name__,
    "deny": LeaderElection.denied.__name__,
    "release": LeaderElection.released.__name__,
    "propose": LeaderElection.proposed.__name__,
    "accept": LeaderElection.accepted.__name__,
    "members": LeaderElection.members_are.__name__,
}


def heard(charge, member, kind, fields):
    """One message from another member."""
    given = dict(fields)
    if "round" in given:
        given["round_"] = given.pop("round")
    getattr(charge, CALLS[kind])(member, **given)
