"""Controllers, network and clocks on simulated time, running the real decisions: finds schedules that break them.

Everything comes from a seed: who pauses, what is lost, twice, late or out of order, who is cut from whom and in which
direction, how clocks drift, who restarts and what its disk still holds. At every moment the model knows the true time
and checks: at most one member may write for a ward; epochs in charge never go back; and once faults end and a majority is
up, somebody is in charge again within a stated time.
"""
import heapq

from ..chance import Chance
from .charge import Charge, Record

SECOND = 1_000_000
LEASE, DRIFT = 2 * SECOND, 0.05
QUIET = 14 * LEASE        # after the last fault: by then somebody must be in charge


class Broken(AssertionError):
    """An invariant does not hold; `at` is the true time."""


class Seat:
    """One member's surroundings: a clock that drifts, a disk, a process that may be paused or gone."""

    def __init__(self, world, name, rate, offset):
        self.world, self.name, self.rate, self.offset = world, name, rate, offset
        self.charge, self.disk, self.unsynced, self.lives = None, None, None, 0
        self.paused, self.waiting, self.copies = False, [], []

    def start(self, record):
        self.lives += 1
        self.paused, self.waiting = False, []
        self.charge = self.world.make(self, self.name, self.world.names, ["fleet"], LEASE, DRIFT,
                                      Chance(self.world.seed * 97 + self.lives * 31 + len(self.name) + ord(self.name[-1])),
                                      self.lives, record)

    def now(self):
        return self.offset + round(self.world.clock * self.rate)

    def later(self, after):
        life = self.lives
        self.world.at(self.world.clock + round(after / self.rate), lambda: self.run(life, lambda: self.charge.woken()))

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

    def note(self, text):
        pass


CALLS = {"greet": "greeted", "tell": "told", "ask": "asked", "grant": "granted", "deny": "denied", "release": "released"}


class World:
    """`make`: the decisions to run, Charge or a mutant of it."""

    def __init__(self, seed, members=3, seconds=120, make=Charge):
        self.seed, self.make, self.chance = seed, make, Chance(seed * 2654435761 + 1)
        self.clock, self.queue, self.nth, self.end = 0, [], 0, seconds * SECOND
        self.names = [f"c{nth}" for nth in range(members)]
        self.cut, self.loss, self.charges, self.epoch = set(), 0, [], 0
        self.seats, self.fault_until = {}, self.end - QUIET
        for name in self.names:
            rate = 1 + DRIFT * (self.chance.below(2001) - 1000) / 1000
            self.seats[name] = Seat(self, name, rate, self.chance.below(1000 * SECOND))
        for seat in self.seats.values():
            seat.start(None)
        self.at(self.chance.below(LEASE), self.trouble)

    def faulty(self):
        return self.clock < self.fault_until

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
            self.at(self.clock + delay, lambda: seat.run(seat.lives, lambda: self._hear(seat, source, kind, fields)))

    @staticmethod
    def _hear(seat, source, kind, fields):
        given = dict(fields)
        if "round" in given:
            given["round_"] = given.pop("round")
        getattr(seat.charge, CALLS[kind])(source, **given)

    # What goes wrong.

    def trouble(self):
        if not self.faulty():
            self.cut, self.loss = set(), 0
            for seat in self.seats.values():
                self.resume(seat)
                if seat.charge is None:
                    seat.start(seat.disk)
            return
        seat = self.seats[self.names[self.chance.below(len(self.names))]]
        kind = self.chance.below(8)
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
        elif kind == 7:
            for other in self.seats.values():
                if self.chance.below(3) == 0 and other.charge is not None:
                    other.charge = None
                    self.at(self.clock + self.chance.below(LEASE), lambda other=other: self.restart(other))
        self.at(self.clock + self.chance.below(2 * LEASE), self.trouble)

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
        others = [other for other in self.seats.values() if other is not seat]
        if all(other.charge is not None and other.charge.settled for other in others) and seat.copies:
            if draw == 0:
                record = None
            elif draw == 1:
                record = seat.copies[self.chance.below(len(seat.copies))]
        seat.disk = record
        seat.start(record)

    # What must hold.

    def check(self):
        writers = [(seat.name, seat.charge.holds("fleet")) for seat in self.seats.values()
                   if seat.charge is not None and seat.charge.holds("fleet") is not None]
        if len(writers) > 1:
            raise Broken(f"{self.clock / SECOND:.3f} s: {writers} may all write (seed {self.seed})")
        for at, epoch, name in self.charges:
            if epoch <= self.epoch:
                raise Broken(f"{at / SECOND:.3f} s: {name} is in charge under {epoch}, after {self.epoch} (seed {self.seed})")
            self.epoch = epoch
        self.charges.clear()
        return writers

    def run(self):
        """Plays to the end; the number of takeovers."""
        takeovers, last = 0, None
        while self.queue and self.queue[0][0] <= self.end:
            self.clock, _, call = heapq.heappop(self.queue)
            call()
            writers = self.check()
            if writers and writers[0] != last:
                takeovers, last = takeovers + 1, writers[0]
        if not self.check():
            raise Broken(f"nobody is in charge {QUIET / SECOND:.0f} s after the last fault (seed {self.seed})")
        return takeovers


def explore(seeds, members=(3, 5), seconds=60, make=Charge):
    """Plays schedules until one breaks: (how many were played, takeovers seen, what broke or None)."""
    takeovers = 0
    for played, seed in enumerate(seeds):
        try:
            takeovers += World(seed, members[seed % len(members)], seconds, make).run()
        except Broken as error:
            return played + 1, takeovers, str(error)
    return len(seeds), takeovers, None


# Mutants: each forgets one thing that the decisions must not forget. The model must break every one.

class DropsEpochs(Charge):
    """Grants under any epoch, also one below what it has granted."""

    def asked(self, member, ward, epoch, round_, serial):
        self.record = Record(self.record.serial, {})
        self.highest.clear()
        super().asked(member, ward, epoch, round_, serial)


class CountsFromReply(Charge):
    """Counts its lease from when the grants came, not from when it asked."""

    def _count(self, member, ward, epoch, round_):
        bid = self.bids[ward]
        if (epoch, round_) == (bid.epoch, bid.round):
            bid.asked_at = self.host.now()
        super()._count(member, ward, epoch, round_)


class KeepsNothing(Charge):
    """Says that the record is written and does not write it; believes its disk at a start."""

    def _keep(self, ward, epoch, member):
        self.record = Record(self.record.serial + 1, dict(self.record.wards, **{ward: (epoch, member)}))
        return True

    def told(self, member, hello, epochs, serial):
        super().told(member, hello, {}, 0)


class GrantsAtOnce(Charge):
    """Grants as soon as it starts, as if it remembered what it granted before."""

    def _may_grant(self):
        return True


class BelievesItsDisk(Charge):
    """Asks nobody at a start: an old copy of its record counts as the newest."""

    def __init__(self, *given):
        super().__init__(*given)
        self.settled = True

    def told(self, member, hello, epochs, serial):
        pass


class IgnoresDrift(Charge):
    """Counts a lease alike on both sides, and a little long where it holds."""

    def _holds_for(self):
        return round(self.lease * (1 + self.drift))

    def _grants_for(self):
        return self.lease


class IgnoresOthersLeases(Charge):
    """Grants to whoever asks under a higher epoch, while another's lease runs."""

    def asked(self, member, ward, epoch, round_, serial):
        self.grants[ward].until = min(self.grants[ward].until, self.host.now())
        super().asked(member, ward, epoch, round_, serial)


MUTANTS = (DropsEpochs, CountsFromReply, KeepsNothing, GrantsAtOnce, BelievesItsDisk, IgnoresDrift, IgnoresOthersLeases)
