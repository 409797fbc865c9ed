"""What one member of a fleet of controllers knows, and the facts of it that outlast a restart.

A relay group is the part of the relays (all of them, or those of one hall) that one leader serves.
Times are whole microseconds of the member's own monotonic clock.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from .messages import ElectionMessage

MAX_MEMBERS = 15
NEVER = -(1 << 60)  # a time that lies before any that a clock can show
COUNTER_BITS = 24  # a counter of one incarnation stays below those of the next
TICKS_PER_LEASE = 8  # how often a member looks at its leases

Members = dict[str, str]  # by member's id: the place "ADDRESS:PORT" where it listens


class KnownEpoch(NamedTuple):
    """The highest epoch known of a relay group, and its holder if that was said."""

    epoch: int
    holder: str | None


UNKNOWN_EPOCH = KnownEpoch(0, None)


class Membership(NamedTuple):
    """Members that were decided on; each decision has the next number."""

    number: int
    members: Members


class Proposal(NamedTuple):
    """Members that were proposed under an epoch, to be decided on as the membership `number`."""

    number: int
    epoch: int
    members: Members


class LeaseRecord(NamedTuple):
    """What must outlast a restart.

    `serial` counts how often the record was written. `epochs` has by relay group the highest epoch
    that was granted or adopted, and its holder. `membership` is None while the members are those
    of the settings. `proposal` is the one accepted last and not known to be decided.
    """

    serial: int
    epochs: Mapping[str, KnownEpoch]
    membership: Membership | None = None
    proposal: Proposal | None = None


class ElectionHost(Protocol):
    """What a member may do to the program around it."""

    def now(self) -> int:
        """Return the time on the member's monotonic clock."""

    def planner_idle_time(self) -> int:
        """Return for how long the planner beside this member was not seen at work."""

    def start_timer(self, delay: int) -> None:
        """Call `on_timer` after `delay`."""

    def send(self, member: str, message: "ElectionMessage") -> None:
        """Send to another member; it may be lost, late, twice or out of order."""

    def save_record(self, record: LeaseRecord) -> bool:
        """Write so that it outlasts anything but the loss of the disk; False if that failed."""

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Learn that this member leads a relay group from now on."""

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Learn that this member no longer leads a relay group."""

    def on_members_changed(self, number: int, members: Members) -> None:
        """Learn who the members are; messages to and from all of them should pass."""

    def log(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""


@dataclass(frozen=True, slots=True)
class ElectionSettings:
    """How one member takes part.

    `members` are all, this one among them, as long as nothing else was decided. `drift` bounds by
    what part any member's clock may run faster or slower than true time. `incarnation` is a number
    that no earlier start of this member had. A member that is `joining` is none yet and asks nobody
    for anything until it is added; `members` are then those that it may hear.
    """

    member_id: str
    members: Members
    relay_groups: tuple[str, ...]
    lease: int
    drift: float
    incarnation: int
    joining: bool = False

    @property
    def tick(self) -> int:
        """The time between two looks at the leases."""
        return self.lease // TICKS_PER_LEASE

    @property
    def held_duration(self) -> int:
        """A lease as its holder counts it: short by what the holder's clock may be slow."""
        return round(self.lease * (1 - self.drift))

    @property
    def granted_duration(self) -> int:
        """A lease as its grantor counts it: long by what the grantor's clock may be fast."""
        return round(self.lease * (1 + self.drift))


@dataclass(slots=True)
class MemberState:
    """What a member knows of epochs and of the others; shared by the parts of an election."""

    host: ElectionHost
    settings: ElectionSettings
    record: LeaseRecord
    number: int = 0
    members: Members = field(default_factory=dict)
    known_epochs: dict[str, KnownEpoch] = field(default_factory=dict)
    seen_serials: dict[str, int] = field(default_factory=dict)  # of peers' records, the highest
    last_heard: dict[str, int] = field(default_factory=dict)
    peer_numbers: dict[str, int] = field(default_factory=dict)  # the membership each peer knows
    started_at: int = 0

    def __post_init__(self) -> None:
        """Start from what the record says, or from the settings where it says nothing."""
        if self.record.membership:
            self.number, self.members = self.record.membership
        elif self.settings.joining:
            self.number = -1
        else:
            self.members = dict(self.settings.members)
        self.known_epochs = dict(self.record.epochs)
        self.started_at = self.host.now()

    @property
    def member_id(self) -> str:
        """Id of this member."""
        return self.settings.member_id

    @property
    def is_member(self) -> bool:
        """Whether this one is a member by the membership that it knows."""
        return self.member_id in self.members

    @property
    def majority(self) -> int:
        """How many members are more than half of them."""
        return len(self.members) // 2 + 1

    @property
    def peers(self) -> list[str]:
        """All members but this one."""
        return [member for member in self.members if member != self.member_id]

    def note_heard(self, member: str, number: int | None = None) -> None:
        """Note that a member was heard now, and which membership it knows if it said so."""
        self.last_heard[member] = self.host.now()
        if number is not None:
            self.peer_numbers[member] = number

    def is_alive(self, member: str) -> bool:
        """Return whether a peer was heard within two leases."""
        return self.host.now() - self.last_heard.get(member, NEVER) < 2 * self.settings.lease

    def known_epoch(self, relay_group: str) -> KnownEpoch:
        """Return the highest epoch known of a relay group."""
        return self.known_epochs.get(relay_group, UNKNOWN_EPOCH)

    def recorded_epoch(self, relay_group: str) -> KnownEpoch:
        """Return the highest epoch of a relay group that was written down."""
        return self.record.epochs.get(relay_group, UNKNOWN_EPOCH)

    def learn_epochs(self, epochs: Mapping[str, KnownEpoch]) -> None:
        """Take over the epochs that are higher than those known."""
        for relay_group, known in epochs.items():
            if known.epoch > self.known_epoch(relay_group).epoch:
                self.known_epochs[relay_group] = known

    def save(self, record: LeaseRecord) -> bool:
        """Write a record down under the next serial; False, and nothing changed, if that failed."""
        record = record._replace(serial=self.record.serial + 1)
        if not self.host.save_record(record):
            self.host.log("lease_record_write_failed", serial=record.serial)
            return False
        self.record = record
        return True
