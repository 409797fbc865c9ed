"""Controllers, network and clocks on simulated time, running the real elections.

It finds schedules that break them. Everything comes from a seed: who pauses, what is lost, twice,
late or out of order, who is cut off from whom and in which direction, how clocks drift, who
restarts and what its disk still holds. At every moment the model knows the true time and checks: at
most one member may write for a relay group; epochs of leaders never go back; and once faults end
and a majority is up, somebody leads again within a stated time.
"""

import heapq
from collections.abc import Sequence

from ..assignment.seeded_random import SeededRandom
from ..clock import SECOND
from .election import LeaderElection
from .messages import ElectionMessage
from .simulated_member import DRIFT, LEASE, RELAY_GROUP, Callback, SimulatedMember
from .state import Members

QUIET = 14 * LEASE  # after the last fault: by then somebody must lead
SPARE_MEMBERS = ("s0", "s1")  # stand by to be added


class InvariantError(AssertionError):
    """An invariant does not hold; the message says at which true time."""


class World:
    """All members on one true clock.

    `election_class` is the election to run, `LeaderElection` or a mutant of it. Two more
    controllers than `members` stand by to be added.
    """

    def __init__(
        self,
        seed: int,
        members: int = 3,
        seconds: int = 120,
        election_class: type[LeaderElection] = LeaderElection,
    ) -> None:
        self.seed = seed
        self.election_class = election_class
        self.random = SeededRandom(seed * 2654435761 + 1)
        self._hang_random = SeededRandom(seed * 2654435761 + 2)
        self.clock = 0
        self._queue: list[tuple[int, int, Callback]] = []
        self._scheduled_count = 0
        self._end = seconds * SECOND
        self.names = [f"c{index}" for index in range(members)] + list(SPARE_MEMBERS)
        first_members = {name: "" for name in self.names[:members]}
        self._decided = {0: first_members}  # by number
        self.cut: set[tuple[str, str]] = set()  # from whom to whom nothing passes
        self._loss_percent = 0
        self.acquired: list[tuple[int, int, str]] = []  # when, epoch, who: not checked yet
        self._highest_epoch = 0
        self._last_leader: tuple[str, int] | None = None
        self._removed_by: dict[str, int] = {}  # by name: the number that removed it last
        self.members: dict[str, SimulatedMember] = {}
        self.faults_until = self._end - QUIET
        for name in self.names:
            rate = 1 + DRIFT * (self.random.randbelow(2001) - 1000) / 1000
            offset = self.random.randbelow(1000 * SECOND)
            self.members[name] = SimulatedMember(self, name, rate, offset)
        for member in self.members.values():
            member.start(None)
        self._faults = {
            0: self._pause,
            1: self._stop,
            2: self._cut_some,
            3: self._heal,
            4: self._heal,
            5: self._lose_messages,
            6: self._transfer,
            7: self._stop_some,
            8: self._change_one,
            9: self._change_one,
            10: self._change_amid_a_fault,
            11: self._partition,
        }
        self.schedule(self.random.randbelow(LEASE), self.cause_fault)

    def has_faults(self) -> bool:
        """Return whether faults still happen."""
        return self.clock < self.faults_until

    def decided_members(self) -> Members:
        """Return the members that were decided on last."""
        return self._decided[max(self._decided)]

    def on_decision(self, number: int, members: Members) -> None:
        """Note members that somebody has adopted; one number must not mean two memberships."""
        before = self._decided.get(number - 1)
        if number not in self._decided and before is not None:
            self._removed_by.update(dict.fromkeys(before.keys() - members.keys(), number))
        if number and self._decided.setdefault(number, members) != members:
            raise InvariantError(
                f"{self.clock / SECOND:.3f} s: {members} and {self._decided[number]}"
                f" are both number {number}"
            )

    def schedule(self, time: int, callback: Callback) -> None:
        """Call back at a true time."""
        self._scheduled_count += 1
        heapq.heappush(self._queue, (max(time, self.clock), self._scheduled_count, callback))

    def carry(self, source: str, target: str, message: ElectionMessage) -> None:
        """Bring a message to another member; perhaps not, late or twice."""
        if (source, target) in self.cut or self.random.randbelow(100) < self._loss_percent:
            return
        member = self.members[target]
        is_doubled = self.has_faults() and self.random.randbelow(100) < 3
        for _ in range(2 if is_doubled else 1):
            is_slow = self.has_faults() and self.random.randbelow(100) < 5
            delay = 1000 + self.random.randbelow(3 * LEASE if is_slow else 50_000)
            self.schedule(self.clock + delay, lambda: member.deliver(source, message))

    # What goes wrong.

    def cause_fault(self) -> None:
        """Let one thing go wrong, and another soon; at the end all that was wrong is mended."""
        if not self.has_faults():
            self._mend_all()
            return
        member = self._draw_member(self.random)
        if self._hang_random.randbelow(16) == 0:
            self._hang_planner()
        self._faults[self.random.randbelow(len(self._faults))](member)
        self.schedule(self.clock + self.random.randbelow(2 * LEASE), self.cause_fault)

    def _mend_all(self) -> None:
        self.cut = set()
        self._loss_percent = 0
        for member in self.members.values():
            member.resume()
            member.planner_hung_at = None
            if member.election is None:
                member.start(member.disk)

    def _draw_member(self, random: SeededRandom) -> SimulatedMember:
        return self.members[self.names[random.randbelow(len(self.names))]]

    def _hang_planner(self) -> None:
        member = self._draw_member(self._hang_random)
        member.planner_hung_at = self.clock

        def recover() -> None:
            member.planner_hung_at = None

        self.schedule(self.clock + self._hang_random.randbelow(6 * LEASE), recover)

    def _pause(self, member: SimulatedMember) -> None:
        member.is_paused = member.election is not None
        self.schedule(self.clock + self.random.randbelow(3 * LEASE), member.resume)

    def _stop(self, member: SimulatedMember) -> None:
        if member.election is not None:
            member.election = None
            delay = self.random.randbelow(LEASE)
            self.schedule(self.clock + delay, lambda: self.restart(member))

    def _stop_some(self, _: SimulatedMember) -> None:
        for member in self.members.values():
            if self.random.randbelow(3) == 0:
                self._stop(member)

    def _cut_some(self, member: SimulatedMember) -> None:
        """Cut off one way or both, from some; messages alone are lost, members run."""
        for other in self.names:
            if self.random.randbelow(2):
                self.cut.add((member.name, other))
            if self.random.randbelow(2):
                self.cut.add((other, member.name))

    def _partition(self, _: SimulatedMember) -> None:
        self.cut_off({name for name in self.names if self.random.randbelow(2)})

    def cut_off(self, side: set[str]) -> None:
        """Let nothing pass between these members and all others."""
        self.cut = {
            (source, target)
            for source in self.names
            for target in self.names
            if (source in side) != (target in side)
        }

    def _heal(self, _: SimulatedMember) -> None:
        self.cut = set()

    def _lose_messages(self, _: SimulatedMember) -> None:
        self._loss_percent = (0, 10, 40)[self.random.randbelow(3)]

    def _transfer(self, member: SimulatedMember) -> None:
        if member.election is not None and not member.is_paused:
            member.election.transfer_leadership(RELAY_GROUP)

    def _change_one(self, member: SimulatedMember) -> None:
        self.change(member.name)

    def _change_amid_a_fault(self, member: SimulatedMember) -> None:
        """Ask the leader for a change just as it hears nobody, is heard by nobody, or stops."""
        is_unheard, is_paused = 1, 2  # 0: it hears nobody
        fault = self.random.randbelow(3)
        leaders = self.leaders()
        if fault != is_paused:
            for leader in leaders:
                self.cut |= {(name, leader.name) for name in self.names}
                if fault == is_unheard:
                    self.cut |= {(leader.name, name) for name in self.names}
        self.change(member.name)
        if fault == is_paused:
            for leader in leaders:
                leader.is_paused = True
                pause = 2 * LEASE + self.random.randbelow(3 * LEASE)
                self.schedule(self.clock + pause, leader.resume)

    def change(self, name: str) -> None:
        """As an operator, add or remove this one wherever somebody says that it leads."""
        for leader in self.leaders():
            if leader.election is None:
                continue
            members = dict(leader.election.members)
            if members.pop(name, None) is None:
                members[name] = ""
            if len(members) >= 2:
                leader.election.change_members(members)

    def leaders(self) -> list[SimulatedMember]:
        """Return the members that hold themselves to lead."""
        return [
            member
            for member in self.members.values()
            if member.election is not None
            and not member.is_paused
            and member.election.candidate.candidacies[RELAY_GROUP].is_leading
        ]

    def restart(self, member: SimulatedMember) -> None:
        """Start a member that is gone, now and then with a lost disk or an old copy of it."""
        if member.election is not None:
            return
        record = member.disk
        draw = self.random.randbelow(10)
        if self._may_lose_disk(member):
            if draw == 0:
                record = None
            elif draw == 1:
                record = member.disk_copies[self.random.randbelow(len(member.disk_copies))]
        member.disk = record
        member.start(record)

    def _may_lose_disk(self, member: SimulatedMember) -> bool:
        """Return whether all others run and know what they must.

        One disk at a time may be lost or old: a majority of lost disks is not protected from. Those
        that were removed know it by then, or are gone for good: what settings may name must not be
        stale.
        """
        members = self.decided_members()
        if not member.disk_copies or member.name not in members:
            return False
        return all(
            self._is_up_to_date(other) for other in self.members.values() if other is not member
        )

    def _is_up_to_date(self, member: SimulatedMember) -> bool:
        election = member.election
        if election is None:
            return False
        if member.name in self.decided_members():
            newest = max(self._decided)
            return election.membership_number == newest and election.recovery.is_recovered()
        return election.membership_number >= self._removed_by.get(member.name, -1)

    # What must hold.

    def check(self) -> list[tuple[str, int]]:
        """Return who may write now, and under which epoch; one at most.

        Raises
        ------
        InvariantError
            If two may write, or somebody leads under an epoch that is not above all before.
        """
        writers = []
        for member in self.members.values():
            if member.election is not None:
                epoch = member.election.leading_epoch(RELAY_GROUP)
                if epoch is not None:
                    writers.append((member.name, epoch))
        if len(writers) > 1:
            raise InvariantError(
                f"{self.clock / SECOND:.3f} s: {writers} may all write (seed {self.seed})"
            )
        for at, epoch, name in self.acquired:
            if epoch <= self._highest_epoch:
                raise InvariantError(
                    f"{at / SECOND:.3f} s: {name} leads under {epoch},"
                    f" after {self._highest_epoch} (seed {self.seed})"
                )
            self._highest_epoch = epoch
        self.acquired.clear()
        return writers

    def play(self, until: int) -> int:
        """Play to a true time; return the number of takeovers."""
        takeovers = 0
        while self._queue and self._queue[0][0] <= until:
            self.clock, _, callback = heapq.heappop(self._queue)
            callback()
            writers = self.check()
            if writers and writers[0] != self._last_leader:
                takeovers += 1
                self._last_leader = writers[0]
        return takeovers

    def run(self) -> int:
        """Play to the end; return the number of takeovers.

        Raises
        ------
        InvariantError
            If an invariant is broken on the way, or nobody leads at the end.
        """
        takeovers = self.play(self._end)
        if not self.check():
            raise InvariantError(
                f"nobody leads {QUIET / SECOND:.0f} s after the last fault (seed {self.seed})"
            )
        return takeovers


class NeighbouringMemberships(World):
    """A schedule that chance seldom finds.

    Two members that were removed without hearing of it are left with one more, and were a majority
    together before; the rest is a majority of those that stayed.
    """

    def __init__(
        self,
        seed: int,
        members: int = 5,
        seconds: int = 120,
        election_class: type[LeaderElection] = LeaderElection,
    ) -> None:
        super().__init__(seed, 5, seconds, election_class)
        self._step = 0
        self._unaware: list[str] = []  # removed without hearing of it
        self._between = ""

    def has_faults(self) -> bool:
        """Return False: nothing goes wrong by chance."""
        return False

    def cause_fault(self) -> None:
        """Go on to the next step of the schedule once somebody leads."""
        leaders = self.leaders()
        if self._step == 0 and leaders:
            others = [name for name in self.names[:5] if name != leaders[0].name]
            self._unaware = others[:2]
            self._between = others[2]
            self._step = 1
            self.cut_off(set(self._unaware))
        elif self._step in (1, 2) and leaders:
            self._remove(leaders[0], self._unaware[self._step - 1])
        elif self._step == 3 and leaders:
            self.cut_off({*self._unaware, self._between})
            self._step = 4
            self.faults_until = self.clock + 6 * LEASE
        elif self._step == 4 and self.clock > self.faults_until:
            self.cut = set()
        self.schedule(self.clock + LEASE // 2, self.cause_fault)

    def _remove(self, leader: SimulatedMember, name: str) -> None:
        if leader.election is not None and name in leader.election.members:
            self.change(name)
        else:
            self._step += 1


def explore(
    seeds: Sequence[int],
    members: Sequence[int] = (3, 5),
    seconds: int = 60,
    election_class: type[LeaderElection] = LeaderElection,
) -> tuple[int, int, str | None]:
    """Play schedules until one breaks: how many were played, takeovers seen, what broke or None."""
    takeovers = 0
    for played, seed in enumerate(seeds, 1):
        world = NeighbouringMemberships if seed % 16 == 15 else World
        try:
            takeovers += world(seed, members[seed % len(members)], seconds, election_class).run()
        except InvariantError as error:
            return played, takeovers, str(error)
    return len(seeds), takeovers, None
