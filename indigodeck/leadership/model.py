"""Controllers, network and clocks on simulated time, running the real decisions: finds schedules that break them.

Everything comes from a seed: who pauses, what is lost, twice, late or out of order, who is cut from whom and in which
direction, how clocks drift, who restarts and what its disk still holds. At every moment the model knows the true time
and checks: at most one member may write for a ward; epochs in charge never go back; and once faults end and a majority is
up, somebody is in charge again within a stated time.
"""

import heapq

from ..assignment.seeded_random import SeededRandom
from .election import LeaderElection, heard

SECOND = 1_000_000
LEASE, DRIFT = 2 * SECOND, 0.05
QUIET = 14 * LEASE  # after the last fault: by then somebody must be in charge


class Broken(AssertionError):
    """An invariant does not hold; `at` is the true time."""


class Seat:
    """One member's surroundings: a clock that drifts, a disk, a process that may be paused or gone."""

    def __init__(self, world, name, rate, offset):
        self.world, self.name, self.rate, self.offset = world, name, rate, offset
        self.charge, self.disk, self.lives = None, None, 0
        self.paused, self.waiting, self.copies = False, [], []
        self.hung_at = None  # since when its planner hangs, while the member itself runs

    def start(self, record):
        self.lives += 1
        self.paused, self.waiting = False, []
        # A member that is let in later, and one whose disk is lost, are told today's members, as a charter should.
        self.charge = self.world.make(
            self,
            self.name,
            self.world.stated(),
            ["fleet"],
            LEASE,
            DRIFT,
            SeededRandom(
                self.world.seed * 97 + self.lives * 31 + ord(self.name[0]) + ord(self.name[-1])
            ),
            self.lives,
            record,
            self.name not in self.world.stated(),
        )

    def now(self):
        return self.offset + round(self.world.clock * self.rate)

    def silent(self):
        return 0 if self.hung_at is None else round((self.world.clock - self.hung_at) * self.rate)

    def later(self, after):
        life = self.lives
        self.world.at(
            self.world.clock + round(after / self.rate),
            lambda: self.run(life, lambda: self.charge.woken()),
        )

    def run(self, life, call):
        """Something happens at this member, unless it was in an earlier life; a paused one sees it when it wakes."""
        if life != self.lives or self.charge is None:
            return
        if self.paused:
            self.waiting.append((life, call))
        else:
            call()

    def send(self, member, kind, **fields):
        self.world.carry(self.name, member, kind, fields)

    def keep(self, record):
        if self.world.chance.below(100) < 2 and self.world.faulty():
            return False
        self.disk = record
        self.copies.append(record)
        return True

    def in_charge(self, ward, epoch):
        self.world.charges.append((self.world.clock, epoch, self.name))

    def out_of_charge(self, ward, epoch, why):
        pass

    def members_changed(self, number, members):
        self.world.decided(number, members)

    def note(self, text):
        pass


class World:
    """`make`: the decisions to run, Charge or a mutant of it. Two more controllers than `members` stand by to be let in."""

    def __init__(self, seed, members=3, seconds=120, make=LeaderElection):
        self.seed, self.make, self.chance = seed, make, SeededRandom(seed * 2654435761 + 1)
        self.hangs = SeededRandom(seed * 2654435761 + 2)
        self.clock, self.queue, self.nth, self.end = 0, [], 0, seconds * SECOND
        self.names = [f"c{nth}" for nth in range(members)] + ["s0", "s1"]
        self.fleets = {
            0: {name: "" for name in self.names[:members]}
        }  # by number, as they were decided
        self.cut, self.loss, self.charges, self.epoch = set(), 0, [], 0
        self.last = None  # who was in charge last
        self.out = {}  # by name: the number by which it was taken out last
        self.seats, self.fault_until = {}, self.end - QUIET
        for name in self.names:
            rate = 1 + DRIFT * (self.chance.below(2001) - 1000) / 1000
            self.seats[name] = Seat(self, name, rate, self.chance.below(1000 * SECOND))
        for seat in self.seats.values():
            seat.start(None)
        self.at(self.chance.below(LEASE), self.trouble)

    def faulty(self):
        return self.clock < self.fault_until

    def stated(self):
        return self.fleets[max(self.fleets)]

    def decided(self, number, members):
        fresh = number not in self.fleets
        if fresh and number - 1 in self.fleets:
            self.out.update(
                {name: number for name in self.fleets[number - 1].keys() - members.keys()}
            )
        if number and self.fleets.setdefault(number, members) != members:
            raise Broken(
                f"{self.clock / SECOND:.3f} s: {members} and {self.fleets[number]} are both number {number}"
            )

    def at(self, time, call):
        self.nth += 1
        heapq.heappush(self.queue, (max(time, self.clock), self.nth, call))

    def carry(self, source, target, kind, fields):
        if (source, target) in self.cut or self.chance.below(100) < self.loss:
            return
        for _ in range(2 if self.faulty() and self.chance.below(100) < 3 else 1):
            slow = self.faulty() and self.chance.below(100) < 5
            delay = 1000 + self.chance.below(3 * LEASE if slow else 50_000)
            seat = self.seats[target]
            self.at(
                self.clock + delay,
                lambda: seat.run(seat.lives, lambda: heard(seat.charge, source, kind, fields)),
            )

    # What goes wrong.

    def trouble(self):
        if not self.faulty():
            self.cut, self.loss = set(), 0
            for seat in self.seats.values():
                self.resume(seat)
                seat.hung_at = None
                if seat.charge is None:
                    seat.start(seat.disk)
            return
        seat = self.seats[self.names[self.chance.below(len(self.names))]]
        if self.hangs.below(16) == 0:
            hung = self.seats[self.names[self.hangs.below(len(self.names))]]
            hung.hung_at = self.clock
            self.at(
                self.clock + self.hangs.below(6 * LEASE), lambda: setattr(hung, "hung_at", None)
            )
        kind = self.chance.below(12)
        if kind == 0:
            seat.paused = seat.charge is not None
            self.at(self.clock + self.chance.below(3 * LEASE), lambda: self.resume(seat))
        elif kind == 1 and seat.charge is not None:
            seat.charge = None
            self.at(self.clock + self.chance.below(LEASE), lambda: self.restart(seat))
        elif kind == 2:
            # One way or both, between some; messages alone are lost, members run.
            for other in self.names:
                if self.chance.below(2):
                    self.cut.add((seat.name, other))
                if self.chance.below(2):
                    self.cut.add((other, seat.name))
        elif kind in (3, 4):
            self.cut = set()
        elif kind == 5:
            self.loss = (0, 10, 40)[self.chance.below(3)]
        elif kind == 6 and seat.charge is not None and not seat.paused:
            seat.charge.hand_over("fleet")
        elif kind in (8, 9):
            self.change(seat.name)
        elif kind == 10:
            # Who is in charge is told to change members and, just then, hears nobody, is heard by nobody, or stops.
            how, held = self.chance.below(3), self.holders()
            for other in held if how < 2 else ():
                self.cut |= {(name, other.name) for name in self.names}
                self.cut |= {(other.name, name) for name in self.names if how}
            self.change(seat.name)
            for other in held if how == 2 else ():
                other.paused = True
                self.at(
                    self.clock + 2 * LEASE + self.chance.below(3 * LEASE),
                    lambda other=other: self.resume(other),
                )
        elif kind == 11:
            side = {name for name in self.names if self.chance.below(2)}
            self.cut = {
                (a, b) for a in self.names for b in self.names if (a in side) != (b in side)
            }
        elif kind == 7:
            for other in self.seats.values():
                if self.chance.below(3) == 0 and other.charge is not None:
                    other.charge = None
                    self.at(
                        self.clock + self.chance.below(LEASE),
                        lambda other=other: self.restart(other),
                    )
        self.at(self.clock + self.chance.below(2 * LEASE), self.trouble)

    def change(self, name):
        """An operator lets this one in, or takes it out, wherever somebody says that it is in charge."""
        for other in self.holders():
            members = dict(other.charge.members)
            if members.pop(name, None) is None:
                members[name] = ""
            if len(members) >= 2:
                other.charge.change(members)

    def holders(self):
        """Seats that hold themselves to be in charge."""
        return [
            seat
            for seat in self.seats.values()
            if seat.charge is not None and not seat.paused and seat.charge.bids["fleet"].held
        ]

    def resume(self, seat):
        if seat.paused:
            seat.paused, waiting, seat.waiting = False, seat.waiting, []
            for life, call in waiting:
                seat.run(life, call)

    def restart(self, seat):
        if seat.charge is not None:
            return
        # One disk at a time may be lost or old: a majority of lost disks is not protected from.
        record, draw = seat.disk, self.chance.below(10)
        members, newest = self.stated(), max(self.fleets)
        others = [other for other in self.seats.values() if other is not seat]
        # Those that were taken out know it by then, or are gone for good: what a charter may name must not be stale.
        if (
            seat.copies
            and seat.name in members
            and all(
                other.charge is not None
                and (
                    other.charge.number == newest and other.charge.settled()
                    if other.name in members
                    else other.charge.number >= self.out.get(other.name, -1)
                )
                for other in others
            )
        ):
            if draw == 0:
                record = None
            elif draw == 1:
                record = seat.copies[self.chance.below(len(seat.copies))]
        seat.disk = record
        seat.start(record)

    # What must hold.

    def check(self):
        writers = [
            (seat.name, seat.charge.holds("fleet"))
            for seat in self.seats.values()
            if seat.charge is not None and seat.charge.holds("fleet") is not None
        ]
        if len(writers) > 1:
            raise Broken(f"{self.clock / SECOND:.3f} s: {writers} may all write (seed {self.seed})")
        for at, epoch, name in self.charges:
            if epoch <= self.epoch:
                raise Broken(
                    f"{at / SECOND:.3f} s: {name} is in charge under {epoch}, after {self.epoch} (seed {self.seed})"
                )
            self.epoch = epoch
        self.charges.clear()
        return writers

    def play(self, until):
        """The number of takeovers until that true time, in microseconds."""
        takeovers = 0
        while self.queue and self.queue[0][0] <= until:
            self.clock, _, call = heapq.heappop(self.queue)
            call()
            writers = self.check()
            if writers and writers[0] != self.last:
                takeovers, self.last = takeovers + 1, writers[0]
        return takeovers

    def run(self):
        """Plays to the end; the number of takeovers."""
        takeovers = self.play(self.end)
        if not self.check():
            raise Broken(
                f"nobody is in charge {QUIET / SECOND:.0f} s after the last fault (seed {self.seed})"
            )
        return takeovers


class Neighbours(World):
    """A schedule that chance seldom finds: two members that were taken out without hearing of it are left with one more,
    and were a majority together before; the rest is a majority of those that stayed.
    """

    def __init__(self, seed, members=5, seconds=120, make=LeaderElection):
        super().__init__(seed, 5, seconds, make)
        self.step, self.missed = 0, []

    def faulty(self):
        return False

    def trouble(self):
        held = self.holders()
        if self.step == 0 and held:
            others = [name for name in self.names[:5] if name != held[0].name]
            self.missed, self.between, self.step = others[:2], others[2], 1
            self.cut = {
                (a, b)
                for a in self.names
                for b in self.names
                if (a in self.missed) != (b in self.missed)
            }
        elif self.step in (1, 2) and held:
            if self.missed[self.step - 1] in held[0].charge.members:
                self.change(self.missed[self.step - 1])
            else:
                self.step += 1
        elif self.step == 3 and held:
            side = {*self.missed, self.between}
            self.cut = {
                (a, b) for a in self.names for b in self.names if (a in side) != (b in side)
            }
            self.step, self.fault_until = 4, self.clock + 6 * LEASE
        elif self.step == 4 and self.clock > self.fault_until:
            self.cut = set()
        self.at(self.clock + LEASE // 2, self.trouble)


def explore(seeds, members=(3, 5), seconds=60, make=LeaderElection):
    """Plays schedules until one breaks: (how many were played, takeovers seen, what broke or None)."""
    takeovers = 0
    for played, seed in enumerate(seeds):
        try:
            world = Neighbours if seed % 16 == 15 else World
            takeovers += world(seed, members[seed % len(members)], seconds, make).run()
        except Broken as error:
            return played + 1, takeovers, str(error)
    return len(seeds), takeovers, None


# Mutants: each forgets one thing that the decisions must not forget. The model must break every one.


class DropsEpochs(LeaderElection):
    """Grants under any epoch, also one below what it has granted."""

    def asked(self, member, **given):
        self.known.clear()
        super().asked(member, **given)


class CountsFromReply(LeaderElection):
    """Counts its lease from when the grants came, not from when it asked."""

    def _count(self, member, ward, epoch, round_, *given):
        bid = self.bids[ward]
        if (epoch, round_) == (bid.epoch, bid.round):
            bid.asked_at = self.host.now()
        super()._count(member, ward, epoch, round_, *given)


class KeepsNothing(LeaderElection):
    """Says that the record is written and does not write it; believes its disk at a start."""

    def _keep(self, record):
        self.record = record._replace(serial=self.record.serial + 1)
        return True

    def told(self, member, hello, epochs, serial, number, members, plan):
        super().told(member, hello, {}, 0, number, members, None)


class GrantsAtOnce(LeaderElection):
    """Grants as soon as it starts, as if it remembered what it granted before."""

    def _may_grant(self):
        return self.me in self.members


class BelievesItsDisk(LeaderElection):
    """Asks nobody at a start: an old copy of its record counts as the newest."""

    def settled(self):
        return self.me in self.members

    def told(self, member, **given):
        pass


class IgnoresDrift(LeaderElection):
    """Counts a lease alike on both sides, and a little long where it holds."""

    def _holds_for(self):
        return round(self.lease * (1 + self.drift))

    def _grants_for(self):
        return self.lease


class IgnoresOthersLeases(LeaderElection):
    """Grants to whoever asks under a higher epoch, while another's lease runs."""

    def asked(self, member, ward, **given):
        self.grants[ward].until = min(self.grants[ward].until, self.host.now())
        super().asked(member, ward, **given)


class DecidesAlone(LeaderElection):
    """Takes a change of members as decided when it has accepted it itself."""

    def _accepted(self, member, plan):
        self.accepts |= self.members.keys()
        super()._accepted(member, plan)


class ServesAnyFleet(LeaderElection):
    """Grants to who asks by another fleet's number, counts such grants, and never tells who was taken out of it."""

    def _teach(self, member):
        if member in self.members:
            super()._teach(member)

    def _why_not(self, member, ward, epoch, number):
        members, self.members = self.members, {**self.members, member: ""}
        try:
            return super()._why_not(member, ward, epoch, self.number)
        finally:
            self.members = members

    def _count(self, member, ward, epoch, round_, number, plan):
        super()._count(member, ward, epoch, round_, self.number, plan)


class ForgetsPlans(LeaderElection):
    """Proposes what it is asked, whatever may have been decided under an epoch before."""

    def _pending(self):
        return None


class ChangesTwiceAtOnce(LeaderElection):
    """Lets members change two at a time."""

    def change(self, members):
        spare = [name for name in ("s0", "s1") if (name in self.members) == (name in members)]
        members = dict(members)
        for name in spare:
            if members.pop(name, None) is None:
                members[name] = ""
        if (
            self.holds(self.wards[0]) is not None
            and not self._pending()
            and not self.asked_for
            and len(members) > 1
        ):
            self.asked_for = members


MUTANTS = (
    DropsEpochs,
    CountsFromReply,
    KeepsNothing,
    GrantsAtOnce,
    BelievesItsDisk,
    IgnoresDrift,
    IgnoresOthersLeases,
    DecidesAlone,
    ServesAnyFleet,
    ForgetsPlans,
    ChangesTwiceAtOnce,
)
