"""One member of an election in the model: its clock, its disk and its process."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..assignment.seeded_random import SeededRandom
from ..clock import SECOND
from .election import LeaderElection
from .messages import ElectionMessage
from .state import LeaseRecord, Members

if TYPE_CHECKING:
    from .model import World

LEASE = 2 * SECOND
DRIFT = 0.05
RELAY_GROUP = "fleet"

Callback = Callable[[], Any]


class SimulatedMember:
    """One member's surroundings: a clock that drifts, a disk, a process that pauses or is gone."""

    def __init__(self, world: "World", name: str, rate: float, offset: int) -> None:
        self.name = name
        self._world = world
        self._rate = rate
        self._offset = offset
        self.election: LeaderElection | None = None  # None while the process is gone
        self.disk: LeaseRecord | None = None
        self.disk_copies: list[LeaseRecord] = []
        self.incarnation = 0
        self.is_paused = False
        self.delayed: list[tuple[int, Callback]] = []  # with the incarnation that it is for
        self.planner_hung_at: int | None = None  # while the member itself runs

    def start(self, record: LeaseRecord | None) -> None:
        """Start a process anew, with this record on its disk."""
        self.incarnation += 1
        self.is_paused = False
        self.delayed = []
        # A member that is added later, and one whose disk is lost, are told today's members, as
        # settings should.
        members = self._world.decided_members()
        settings = self._world.election_class.settings_class(
            member_id=self.name,
            members=members,
            relay_groups=(RELAY_GROUP,),
            lease=LEASE,
            drift=DRIFT,
            incarnation=self.incarnation,
            joining=self.name not in members,
        )
        name_seed = ord(self.name[0]) + ord(self.name[-1])
        random = SeededRandom(self._world.seed * 97 + self.incarnation * 31 + name_seed)
        self.election = self._world.election_class(self, settings, random, record)

    def run(self, incarnation: int, callback: Callback) -> None:
        """Let something happen, unless it was for an earlier incarnation; later while paused."""
        if incarnation != self.incarnation or self.election is None:
            return
        if self.is_paused:
            self.delayed.append((incarnation, callback))
        else:
            callback()

    def resume(self) -> None:
        """Go on after a pause, with all that came meanwhile."""
        if not self.is_paused:
            return
        self.is_paused = False
        delayed = self.delayed
        self.delayed = []
        for incarnation, callback in delayed:
            self.run(incarnation, callback)

    def deliver(self, source: str, message: ElectionMessage) -> None:
        """Take a message, if the process still runs when it has come."""

        def take() -> None:
            if self.election is not None:
                self.election.on_message(source, message)

        self.run(self.incarnation, take)

    # What the election may ask.

    def now(self) -> int:
        """Return the time on this member's clock."""
        return self._offset + round(self._world.clock * self._rate)

    def planner_idle_time(self) -> int:
        """Return for how long the planner hangs, on this member's clock."""
        if self.planner_hung_at is None:
            return 0
        return round((self._world.clock - self.planner_hung_at) * self._rate)

    def start_timer(self, delay: int) -> None:
        """Wake the election after a time on this member's clock."""
        incarnation = self.incarnation

        def wake() -> None:
            if self.election is not None:
                self.election.on_timer()

        at = self._world.clock + round(delay / self._rate)
        self._world.schedule(at, lambda: self.run(incarnation, wake))

    def send(self, member: str, message: ElectionMessage) -> None:
        """Give a message to the network."""
        self._world.carry(self.name, member, message)

    def save_record(self, record: LeaseRecord) -> bool:
        """Write to the disk, which fails now and then."""
        if self._world.random.randbelow(100) < 2 and self._world.has_faults():
            return False
        self.disk = record
        self.disk_copies.append(record)
        return True

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Note who leads."""
        self._world.acquired.append((self._world.clock, epoch, self.name))

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Do nothing; that the lease has ended is asked at each moment."""

    def on_members_changed(self, number: int, members: Members) -> None:
        """Check what was decided."""
        self._world.on_decision(number, members)

    def log(self, event: str, **facts: Any) -> None:
        """Write nothing."""
