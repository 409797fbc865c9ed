"""Who is in charge of a ward, free of I/O: leases granted by a majority, with epochs that only grow.

A ward is a part of the relays (all, or a hall's). A member that wants one asks all members; each grants a ward to one
holder at a time, for a lease, and writes the epoch down before it says so. With grants of a majority the asker is
in charge until its lease could have ended by its own clock, counted from when it asked. (The leases are those of
C. Gray and D. Cheriton, "Leases", SOSP 1989, over majorities as in L. Lamport, "The Part-Time Parliament", TOCS 1998,
without its log: nothing but the epoch must outlast a lease.)

Clocks may drift: no member's clock may run faster or slower than true time by more than `drift` (a part). They need not
agree on the time. Times are whole microseconds of the member's own monotonic clock.
"""
from typing import NamedTuple, Protocol


class Record(NamedTuple):
    """What must outlast a restart: by ward the highest epoch granted, its holder, and how often that was written."""
    serial: int
    wards: dict        # ward: (epoch, holder)


class Surroundings(Protocol):
    """What a member may ask of the program around it."""

    def now(self) -> int: ...

    def later(self, after: int) -> None:
        """Call `woken` after this time."""

    def send(self, member: str, kind: str, **fields) -> None:
        """A message to another member, which may be lost, late, twice or out of order."""

    def keep(self, record: Record) -> bool:
        """Write the record so that it outlasts anything but the loss of the disk; False if that failed."""

    def in_charge(self, ward: str, epoch: int) -> None: ...

    def out_of_charge(self, ward: str, epoch: int, why: str) -> None: ...

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
        self.renewed_at = 0


class Charge:
    """One member. `members`: ids of all, itself among them; `wanted(ward)`: whether it should hold a ward if it can.

    `record` is what the disk gave, or None. A member that starts grants nothing until it has heard, from a majority of
    the others, what epochs they know of and how much of its own writing they have seen, and until a whole lease has
    passed: it may have granted one that it no longer remembers, and its disk may be gone or an old copy.
    `life`: a number that no earlier start of this member had; answers to an earlier life must not count in this one.
    """

    def __init__(self, host, me, members, wards, lease, drift, chance, life, record=None):
        self.host, self.me, self.members, self.wards = host, me, sorted(members), list(wards)
        self.lease, self.drift, self.chance = lease, drift, chance
        self.record = record or Record(0, {})
        self.majority = len(self.members) // 2 + 1
        self.grants, self.bids = {ward: Grant() for ward in wards}, {ward: Bid() for ward in wards}
        self.highest = {ward: epoch for ward, (epoch, _) in self.record.wards.items()}
        self.seen, self.heard_at = {}, {}       # of others: highest serial; when last heard
        self.began, self.answers, self.settled = host.now(), set(), len(self.members) == 1
        self.resting, self.stepped, self.hello, self.rounds = {}, {}, life << 24, life << 24
        self._greet()
        host.later(self._tick())

    def _tick(self):
        return self.lease // 8

    # Lengths of a lease, as each side must count it.

    def _holds_for(self):
        """The holder's count: short by what its clock may be slow."""
        return round(self.lease * (1 - self.drift))

    def _grants_for(self):
        """The grantor's count: long by what its clock may be fast."""
        return round(self.lease * (1 + self.drift))

    # Starting.

    def _greet(self):
        self.hello += 1
        for member in self._others():
            self.host.send(member, "greet", hello=self.hello)

    def _others(self):
        return [member for member in self.members if member != self.me]

    def greeted(self, member, hello):
        """Another member starts: it is told all epochs known here, and how much of its writing was seen."""
        self.heard_at[member] = self.host.now()
        self.host.send(member, "tell", hello=hello, epochs=dict(self.highest), serial=self.seen.get(member, 0))

    def told(self, member, hello, epochs, serial):
        self.heard_at[member] = self.host.now()
        if hello != self.hello:
            return      # an answer to an earlier life, or to an earlier question
        for ward, epoch in epochs.items():
            self._learn(ward, epoch)
        if serial > self.record.serial:
            # The disk is an old copy, or new: others have seen more of this member's writing than it has.
            self.host.note(f"record {self.record.serial} is older than {serial}, which {member} has seen")
            self.record = self.record._replace(serial=serial)
        self.answers.add(member)
        # A majority of the others holds one of every majority that this member ever was part of.
        if len(self.answers) >= min(self.majority, len(self.members) - 1):
            self.settled = True

    def _learn(self, ward, epoch):
        self.highest[ward] = max(self.highest.get(ward, 0), epoch)

    def _may_grant(self):
        return self.settled and self.host.now() - self.began > self._grants_for()

    # Granting.

    def asked(self, member, ward, epoch, round_, serial):
        """A member asks for a ward, or for more time with it."""
        now = self.host.now()
        self.heard_at[member] = now
        self.seen[member] = max(self.seen.get(member, 0), serial)
        if ward not in self.grants:
            return self.host.send(member, "deny", ward=ward, epoch=epoch, round=round_, highest=0, wait=self.lease)
        grant, (held_epoch, holder) = self.grants[ward], self.record.wards.get(ward, (0, None))
        free = grant.holder in (None, member) or now >= grant.until
        renews = epoch == held_epoch and holder == member
        if not self._may_grant() or not free or not (renews or epoch > max(held_epoch, self.highest.get(ward, 0))):
            wait = max(0, grant.until - now) if not free else self.lease // 4
            return self.host.send(member, "deny", ward=ward, epoch=epoch, round=round_,
                                  highest=max(held_epoch, self.highest.get(ward, 0)), wait=wait)
        if not renews and not self._keep(ward, epoch, member):
            return None
        self._learn(ward, epoch)
        grant.holder, grant.until = member, now + self._grants_for()
        return self.host.send(member, "grant", ward=ward, epoch=epoch, round=round_, serial=self.record.serial)

    def _keep(self, ward, epoch, member):
        record = Record(self.record.serial + 1, dict(self.record.wards, **{ward: (epoch, member)}))
        if not self.host.keep(record):
            self.host.note("the record could not be written: nothing is granted")
            return False
        self.record = record
        return True

    def released(self, member, ward, epoch):
        """A holder gives a ward back before its lease ends."""
        self.heard_at[member] = self.host.now()
        grant = self.grants.get(ward)
        if grant is not None and grant.holder == member and self.record.wards.get(ward, (0, None))[0] == epoch:
            grant.until = self.host.now()
            # Who gave it up by plan is not waited for: the next in order takes it at once.
            self.stepped[ward, member] = self.host.now() + 3 * self.lease

    # Asking and holding.

    def wanted(self, ward):
        """Whether this member should try for a ward: it goes to the first, by a seeded order of its own, of those that
        were heard of lately; others try when they hear nothing of the first."""
        now, rest = self.host.now(), self.resting.get(ward, 0)
        alive = [member for member in self.members if now >= self.stepped.get((ward, member), 0) and (
            member == self.me or now - self.heard_at.get(member, -(1 << 60)) < 2 * self.lease)]
        return now >= rest and self.me in alive[:1] or (now >= rest and self._vacant(ward) > 2 * self.lease)

    def _vacant(self, ward):
        """For how long nobody is known here to hold a ward."""
        return self.host.now() - max(self.grants[ward].until, self.began)

    def woken(self):
        self.host.later(self._tick())
        now = self.host.now()
        if not self.settled:
            self._greet()
        for ward in self.wards:
            bid = self.bids[ward]
            if bid.held and now >= bid.until:
                self._lose(ward, "its lease has ended")
            if bid.held and now - bid.asked_at >= self.lease // 4:
                self._ask(ward, bid.epoch)
            elif not bid.held and now >= bid.retry_at and self._may_grant() and self.wanted(ward):
                counter = max(self.highest.get(ward, 0), bid.epoch) // len(self.members) + 1
                # No two members ever ask under one epoch: each has numbers of its own, and uses each once.
                self._ask(ward, counter * len(self.members) + self.members.index(self.me))

    def _ask(self, ward, epoch):
        bid, now = self.bids[ward], self.host.now()
        if epoch != bid.epoch:
            bid.epoch, bid.held = epoch, False
        self.rounds += 1
        bid.round, bid.asked_at, bid.granted = self.rounds, now, set()
        # Tried again after a while that differs, so that members that asked at once do not go on so.
        bid.failures = min(bid.failures + 1, 5)
        bid.retry_at = now + self.lease // 4 + self.chance.below(self.lease * bid.failures // 2)
        for member in self._others():
            self.host.send(member, "ask", ward=ward, epoch=epoch, round=bid.round, serial=self.record.serial)
        self._ask_myself(ward, epoch, bid)

    def _ask_myself(self, ward, epoch, bid):
        now, grant, (held_epoch, holder) = self.host.now(), self.grants[ward], self.record.wards.get(ward, (0, None))
        renews = epoch == held_epoch and holder == self.me
        if not self._may_grant() or not (grant.holder in (None, self.me) or now >= grant.until):
            return
        if renews or epoch > max(held_epoch, self.highest.get(ward, 0)) and self._keep(ward, epoch, self.me):
            self._learn(ward, epoch)
            grant.holder, grant.until = self.me, now + self._grants_for()
            self._count(self.me, ward, epoch, bid.round)

    def granted(self, member, ward, epoch, round_, serial):
        self.heard_at[member] = self.host.now()
        self.seen[member] = max(self.seen.get(member, 0), serial)
        self._count(member, ward, epoch, round_)

    def _count(self, member, ward, epoch, round_):
        bid = self.bids.get(ward)
        if bid is None or (epoch, round_) != (bid.epoch, bid.round) or self.resting.get(ward, 0) > self.host.now():
            return
        bid.granted.add(member)
        # Counted from the asking: the grantors' leases began later than that, whenever their answers come.
        until = bid.asked_at + self._holds_for()
        if len(bid.granted) >= self.majority and self.host.now() < until:
            bid.until, bid.failures = max(bid.until, until) if bid.held else until, 0
            if not bid.held:
                bid.held = True
                self.host.in_charge(ward, epoch)

    def denied(self, member, ward, epoch, round_, highest, wait):
        self.heard_at[member] = self.host.now()
        self._learn(ward, highest)
        bid = self.bids.get(ward)
        if bid is not None and (epoch, round_) == (bid.epoch, bid.round) and not bid.held:
            bid.retry_at = max(bid.retry_at, self.host.now() + min(wait, self.lease) + self.chance.below(self._tick()))

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

    def fleet(self):
        """What is known here of members and wards, for operators."""
        now = self.host.now()
        return {"me": self.me, "settled": self._may_grant(),
                "members": {member: (None if member not in self.heard_at else now - self.heard_at[member])
                            for member in self._others()},
                "wards": {ward: {"epoch": self.highest.get(ward, 0), "granted_to": self.grants[ward].holder,
                                 "granted_for": max(0, self.grants[ward].until - now), "held": self.holds(ward)}
                          for ward in self.wards}}
