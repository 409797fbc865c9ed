"""Simulation of controllers, network and clocks that searches for schedules breaking the election.

It runs the real election code on simulated time. A seed determines every fault: which members
pause, which messages are lost, duplicated, delayed or reordered, which links fail in which
direction, how clocks drift, which members restart and what their disks still hold. After every
event the model, which knows the true time, checks that at most one member may write for a relay
group and that every new leader's epoch is above all earlier ones. After the last fault, with a
majority running, some member must lead again within `RECOVERY_TIME`.
"""

import heapq
from collections.abc import Sequence

from ..assignment.seeded_random import SeededRandom
from ..clock import SECOND
from .election import LeaderElection
from .messages import ElectionMessage
from .simulated_member import DRIFT, LEASE, RELAY_GROUP, Callback, SimulatedMember
from .state import Members

RECOVERY_TIME = 14 * LEASE  # from the last fault until some member must lead
SPARE_MEMBERS = ("s0", "s1")  # running controllers that are not members until they are added


class InvariantError(AssertionError):
    """An invariant is violated; the message gives the true time."""


class World:
    """A simulation of all members on one true clock.

    `election_class` is the election to run, `LeaderElection` or a mutant of it. Besides `members`
    members, two controllers run that can be added.
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
        self._decided_memberships = {0: first_members}  # by membership number
        self.cut: set[tuple[str, str]] = set()  # failed links, as source and target
        self._loss_percent = 0
        self.acquisitions: list[tuple[int, int, str]] = []  # unchecked: time, epoch, name
        self._highest_epoch = 0
        self._last_leader: tuple[str, int] | None = None
        self._removed_by: dict[str, int] = {}  # number of the last removal of each
        self.members: dict[str, SimulatedMember] = {}
        self.faults_until = self._end - RECOVERY_TIME
        for name in self.names:
            rate = 1 + DRIFT * (self.random.randbelow(2001) - 1000) / 1000
            offset = self.random.randbelow(1000 * SECOND)
            self.members[name] = SimulatedMember(self, name, rate, offset)
        for member in self.members.values():
            member.start(None)
        self._faults = {
            0: self._pause,
            1: self._crash,
            2: self._cut_links,
            3: self._heal,
            4: self._heal,
            5: self._lose_messages,
            6: self._transfer,
            7: self._crash_some,
            8: self._change_membership,
            9: self._change_membership,
            10: self._change_during_fault,
            11: self._partition_randomly,
        }
        self.schedule(self.random.randbelow(LEASE), self.cause_fault)

    def has_faults(self) -> bool:
        """Return whether faults are still injected."""
        return self.clock < self.faults_until

    def decided_members(self) -> Members:
        """Return the members of the newest decided membership."""
        return self._decided_memberships[max(self._decided_memberships)]

    def on_decision(self, number: int, members: Members) -> None:
        """Record an adopted membership; one number must never stand for two memberships."""
        before = self._decided_memberships.get(number - 1)
        if number not in self._decided_memberships and before is not None:
            self._removed_by.update(dict.fromkeys(before.keys() - members.keys(), number))
        if number and self._decided_memberships.setdefault(number, members) != members:
            raise InvariantError(
                f"{self.clock / SECOND:.3f} s: {members} and {self._decided_memberships[number]}"
                f" are both number {number}"
            )

    def schedule(self, time: int, callback: Callback) -> None:
        """Schedule a callback at a true time."""
        self._scheduled_count += 1
        heapq.heappush(self._queue, (max(time, self.clock), self._scheduled_count, callback))

    def transmit(self, source: str, target: str, message: ElectionMessage) -> None:
        """Deliver a message to another member; it may be lost, delayed or duplicated."""
        if (source, target) in self.cut or self.random.randbelow(100) < self._loss_percent:
            return
        member = self.members[target]
        is_duplicated = self.has_faults() and self.random.randbelow(100) < 3
        for _ in range(2 if is_duplicated else 1):
            is_slow = self.has_faults() and self.random.randbelow(100) < 5
            delay = 1000 + self.random.randbelow(3 * LEASE if is_slow else 50_000)
            self.schedule(self.clock + delay, lambda: member.deliver(source, message))

    def cause_fault(self) -> None:
        """Inject one fault and schedule the next; once faults end, repair everything."""
        if not self.has_faults():
            self._repair_all()
            return
        member = self._draw_member(self.random)
        if self._hang_random.randbelow(16) == 0:
            self._hang_planner()
        self._faults[self.random.randbelow(len(self._faults))](member)
        self.schedule(self.clock + self.random.randbelow(2 * LEASE), self.cause_fault)

    def _repair_all(self) -> None:
        self.cut = set()
        self._loss_percent = 0
        for member in self.members.values():
            member.resume()
            member.planner_hung_at = None
            if member.election is None:
                member.start(member.disk_record)

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

    def _crash(self, member: SimulatedMember) -> None:
        if member.election is not None:
            member.election = None
            delay = self.random.randbelow(LEASE)
            self.schedule(self.clock + delay, lambda: self.restart(member))

    def _crash_some(self, _: SimulatedMember) -> None:
        for member in self.members.values():
            if self.random.randbelow(3) == 0:
                self._crash(member)

    def _cut_links(self, member: SimulatedMember) -> None:
        """Cut random links between a member and others, in one direction or both."""
        for other in self.names:
            if self.random.randbelow(2):
                self.cut.add((member.name, other))
            if self.random.randbelow(2):
                self.cut.add((other, member.name))

    def _partition_randomly(self, _: SimulatedMember) -> None:
        self.partition({name for name in self.names if self.random.randbelow(2)})

    def partition(self, side: set[str]) -> None:
        """Cut all links between these members and all others, and no other links."""
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

    def _change_membership(self, member: SimulatedMember) -> None:
        self.change(member.name)

    def _change_during_fault(self, member: SimulatedMember) -> None:
        """Request a membership change just as the leader is cut off or paused."""
        isolated, paused = 1, 2  # 0: only the leader's incoming links are cut
        fault = self.random.randbelow(3)
        leaders = self.leaders()
        if fault != paused:
            for leader in leaders:
                self.cut |= {(name, leader.name) for name in self.names}
                if fault == isolated:
                    self.cut |= {(leader.name, name) for name in self.names}
        self.change(member.name)
        if fault == paused:
            for leader in leaders:
                leader.is_paused = True
                pause = 2 * LEASE + self.random.randbelow(3 * LEASE)
                self.schedule(self.clock + pause, leader.resume)

    def change(self, name: str) -> None:
        """Request, as an operator, to add or remove a member at every member that leads."""
        for leader in self.leaders():
            if leader.election is None:
                continue
            members = dict(leader.election.members)
            if members.pop(name, None) is None:
                members[name] = ""
            if len(members) >= 2:
                leader.election.change_members(members)

    def leaders(self) -> list[SimulatedMember]:
        """Return the members that consider themselves leaders."""
        return [
            member
            for member in self.members.values()
            if member.election is not None
            and not member.is_paused
            and member.election.candidate.candidacies[RELAY_GROUP].is_leading
        ]

    def restart(self, member: SimulatedMember) -> None:
        """Restart a member that is down, sometimes with a lost disk or an outdated copy of it."""
        if member.election is not None:
            return
        record = member.disk_record
        draw = self.random.randbelow(10)
        if self._may_lose_disk(member):
            if draw == 0:
                record = None
            elif draw == 1:
                record = member.past_records[self.random.randbelow(len(member.past_records))]
        member.disk_record = record
        member.start(record)

    def _may_lose_disk(self, member: SimulatedMember) -> bool:
        """Return whether this member's disk may be lost or replaced by an outdated copy.

        The election does not protect against losing a majority of disks, so all other controllers
        must run and be up to date. Removed members must know of their removal, as operators must
        not keep stale members in the settings.
        """
        members = self.decided_members()
        if not member.past_records or member.name not in members:
            return False
        return all(
            self._is_up_to_date(other) for other in self.members.values() if other is not member
        )

    def _is_up_to_date(self, member: SimulatedMember) -> bool:
        election = member.election
        if election is None:
            return False
        if member.name in self.decided_members():
            newest = max(self._decided_memberships)
            return election.membership_number == newest and election.recovery.is_recovered()
        return election.membership_number >= self._removed_by.get(member.name, -1)

    def check(self) -> list[tuple[str, int]]:
        """Return the members that may write now, at most one, with their epochs.

        Raises
        ------
        InvariantError
            If two members may write, or one leads under an epoch that is not above all earlier
            ones.
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
        for at, epoch, name in self.acquisitions:
            if epoch <= self._highest_epoch:
                raise InvariantError(
                    f"{at / SECOND:.3f} s: {name} leads under {epoch},"
                    f" after {self._highest_epoch} (seed {self.seed})"
                )
            self._highest_epoch = epoch
        self.acquisitions.clear()
        return writers

    def play(self, until: int) -> int:
        """Run the simulation to a true time; return the number of takeovers."""
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
        """Run the simulation to the end; return the number of takeovers.

        Raises
        ------
        InvariantError
            If an invariant is violated on the way, or no member leads at the end.
        """
        takeovers = self.play(self._end)
        if not self.check():
            raise InvariantError(
                f"no member leads {RECOVERY_TIME / SECOND:.0f} s after the last fault"
                f" (seed {self.seed})"
            )
        return takeovers


class AdjacentMemberships(World):
    """A schedule that random faults rarely produce.

    Two of five members are cut off and removed without being informed of it. Then a third member is
    cut off together with them. These three are a majority of the old membership, and the other two
    are a majority of the new one.
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
        self._unaware: list[str] = []  # removed without learning of it
        self._third_member = ""

    def has_faults(self) -> bool:
        """Return False: there are no random faults."""
        return False

    def cause_fault(self) -> None:
        """Take the next step of the schedule, which needs a leader for all but the last one."""
        leaders = self.leaders()
        if self._step == 0 and leaders:
            others = [name for name in self.names[:5] if name != leaders[0].name]
            self._unaware = others[:2]
            self._third_member = others[2]
            self._step = 1
            self.partition(set(self._unaware))
        elif self._step in (1, 2) and leaders:
            self._remove(leaders[0], self._unaware[self._step - 1])
        elif self._step == 3 and leaders:
            self.partition({*self._unaware, self._third_member})
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
    """Run schedules until one violates an invariant.

    Returns the number of schedules run, the number of takeovers, and the violation or None.
    """
    takeovers = 0
    for count, seed in enumerate(seeds, 1):
        world_class = AdjacentMemberships if seed % 16 == 15 else World
        try:
            takeovers += world_class(
                seed, members[seed % len(members)], seconds, election_class
            ).run()
        except InvariantError as error:
            return count, takeovers, str(error)
    return len(seeds), takeovers, None
