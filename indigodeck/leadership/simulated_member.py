"""One simulated member of an election: its clock, its disk and its process."""

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
    """The host of one simulated election, with a drifting clock, a disk and a process.

    The process can pause, crash and restart.
    """

    def __init__(self, world: "World", name: str, rate: float, offset: int) -> None:
        self.name = name
        self._world = world
        self._rate = rate
        self._offset = offset
        self.election: LeaderElection | None = None  # None while the process is down
        self.disk_record: LeaseRecord | None = None
        self.past_records: list[LeaseRecord] = []
        self.incarnation = 0
        self.is_paused = False
        self.deferred: list[tuple[int, Callback]] = []  # with the incarnation
        self.planner_hung_at: int | None = None  # the member itself still runs

    def start(self, record: LeaseRecord | None) -> None:
        """Start a new process with this record on its disk."""
        self.incarnation += 1
        self.is_paused = False
        self.deferred = []
        # Settings should name the current members, also for a member that is added later and for
        # one whose disk is lost.
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

    def run_or_defer(self, incarnation: int, callback: Callback) -> None:
        """Run a callback, or defer it while paused; drop one of an earlier incarnation."""
        if incarnation != self.incarnation or self.election is None:
            return
        if self.is_paused:
            self.deferred.append((incarnation, callback))
        else:
            callback()

    def resume(self) -> None:
        """End a pause, and run the callbacks that were deferred."""
        if not self.is_paused:
            return
        self.is_paused = False
        deferred = self.deferred
        self.deferred = []
        for incarnation, callback in deferred:
            self.run_or_defer(incarnation, callback)

    def deliver(self, source: str, message: ElectionMessage) -> None:
        """Deliver a message, unless the process is down."""

        def handle() -> None:
            if self.election is not None:
                self.election.on_message(source, message)

        self.run_or_defer(self.incarnation, handle)

    # The election's host (`state.ElectionHost`).

    def now(self) -> int:
        """Return the time on this member's clock."""
        return self._offset + round(self._world.clock * self._rate)

    def planner_idle_time(self) -> int:
        """Return for how long the planner hangs, on this member's clock."""
        if self.planner_hung_at is None:
            return 0
        return round((self._world.clock - self.planner_hung_at) * self._rate)

    def start_timer(self, delay: int) -> None:
        """Call the election's timer after a delay on this member's clock."""
        incarnation = self.incarnation

        def fire() -> None:
            if self.election is not None:
                self.election.on_timer()

        at = self._world.clock + round(delay / self._rate)
        self._world.schedule(at, lambda: self.run_or_defer(incarnation, fire))

    def send(self, member: str, message: ElectionMessage) -> None:
        """Pass a message to the simulated network."""
        self._world.transmit(self.name, member, message)

    def save_record(self, record: LeaseRecord) -> bool:
        """Write to the disk, which sometimes fails."""
        if self._world.random.randbelow(100) < 2 and self._world.has_faults():
            return False
        self.disk_record = record
        self.past_records.append(record)
        return True

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Record who leads."""
        self._world.acquisitions.append((self._world.clock, epoch, self.name))

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Do nothing: the model checks after every event who leads."""

    def on_members_changed(self, number: int, members: Members) -> None:
        """Check the decided membership."""
        self._world.on_decision(number, members)

    def log(self, event: str, **facts: Any) -> None:
        """Discard the event."""
