"""State of one member of the election, its durable part, its settings and its host's interface.

A relay group is the set of relays that one leader serves: all relays of the fleet, or those of one
zone. Times are in whole microseconds of the member's own monotonic clock.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from .messages import ElectionMessage

MAX_MEMBERS = 15
NEVER = -(1 << 60)  # earlier than any time of a clock
COUNTER_BITS = 24  # low bits of a counter whose high bits are the incarnation
TICKS_PER_LEASE = 8

Members = dict[str, str]  # the "HOST:PORT" on which each member listens, by member id


class KnownEpoch(NamedTuple):
    """The highest epoch known of a relay group, and its holder if known."""

    epoch: int
    holder: str | None


UNKNOWN_EPOCH = KnownEpoch(0, None)


class Membership(NamedTuple):
    """A set of members that was decided; each decision increments the number."""

    number: int
    members: Members


class Proposal(NamedTuple):
    """Members that a leader proposed under an epoch as the membership with this number."""

    number: int
    epoch: int
    members: Members


class LeaseRecord(NamedTuple):
    """The durable state of a member, which must survive a restart.

    `serial` counts the writes of the record. `epochs` holds, by relay group, the highest epoch that
    was granted or adopted, and its holder. `membership` is None while the members are those of the
    settings. `proposal` is the last one accepted, unless it is known to be decided.
    """

    serial: int
    epochs: Mapping[str, KnownEpoch]
    membership: Membership | None = None
    proposal: Proposal | None = None


class ElectionHost(Protocol):
    """What the election needs from the program that runs it."""

    def now(self) -> int:
        """Return the time on the member's monotonic clock."""

    def planner_idle_time(self) -> int:
        """Return for how long this controller's planner has not responded."""

    def start_timer(self, delay: int) -> None:
        """Call `on_timer` after `delay`."""

    def send(self, member: str, message: "ElectionMessage") -> None:
        """Send to another member; messages may be lost, delayed, duplicated or reordered."""

    def save_record(self, record: LeaseRecord) -> bool:
        """Save a record so that only loss of the disk can lose it; return False on failure."""

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Handle that this member starts to lead a relay group."""

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Handle that this member no longer leads a relay group."""

    def on_members_changed(self, number: int, members: Members) -> None:
        """Handle a new membership: messages to and from all of its members should pass."""

    def log(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""


@dataclass(frozen=True, slots=True)
class ElectionSettings:
    """Settings of one member.

    `members` is the first membership, including this member, which counts until another one is
    decided. `drift` is the largest fraction by which any member's clock may run faster or slower
    than true time. `incarnation` is a number that no earlier start of this member used. A `joining`
    controller is not a member and requests no leases until it is added; `members` are then the
    controllers that may contact it.
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
        """The interval between checks of the leases."""
        return self.lease // TICKS_PER_LEASE

    @property
    def held_duration(self) -> int:
        """A lease as its holder counts it, shortened in case the holder's clock is slow."""
        return round(self.lease * (1 - self.drift))

    @property
    def granted_duration(self) -> int:
        """A lease as its grantor counts it, extended in case the grantor's clock is fast."""
        return round(self.lease * (1 + self.drift))


@dataclass(slots=True)
class MemberState:
    """What a member knows of epochs and of its peers; shared by the parts of an election."""

    host: ElectionHost
    settings: ElectionSettings
    record: LeaseRecord
    membership_number: int = 0
    members: Members = field(default_factory=dict)
    known_epochs: dict[str, KnownEpoch] = field(default_factory=dict)
    seen_serials: dict[str, int] = field(default_factory=dict)  # highest, of each peer's record
    last_heard: dict[str, int] = field(default_factory=dict)
    peer_membership_numbers: dict[str, int] = field(default_factory=dict)  # as peers reported
    started_at: int = 0

    def __post_init__(self) -> None:
        """Initialize the membership from the record, or else from the settings."""
        if self.record.membership:
            self.membership_number, self.members = self.record.membership
        elif self.settings.joining:
            self.membership_number = -1
        else:
            self.members = dict(self.settings.members)
        self.known_epochs = dict(self.record.epochs)
        self.started_at = self.host.now()

    @property
    def member_id(self) -> str:
        """The id of this member."""
        return self.settings.member_id

    @property
    def is_member(self) -> bool:
        """Whether this controller belongs to the membership that it knows."""
        return self.member_id in self.members

    @property
    def majority(self) -> int:
        """The number of members that form a majority."""
        return len(self.members) // 2 + 1

    @property
    def peers(self) -> list[str]:
        """The ids of all other members."""
        return [member for member in self.members if member != self.member_id]

    def mark_heard(self, member: str, number: int | None = None) -> None:
        """Record that a member was heard from now, and the membership number that it reported."""
        self.last_heard[member] = self.host.now()
        if number is not None:
            self.peer_membership_numbers[member] = number

    def is_alive(self, member: str) -> bool:
        """Return whether a peer was heard from within the last two leases."""
        return self.host.now() - self.last_heard.get(member, NEVER) < 2 * self.settings.lease

    def known_epoch(self, relay_group: str) -> KnownEpoch:
        """Return the highest epoch known of a relay group."""
        return self.known_epochs.get(relay_group, UNKNOWN_EPOCH)

    def recorded_epoch(self, relay_group: str) -> KnownEpoch:
        """Return the epoch of a relay group in the saved record."""
        return self.record.epochs.get(relay_group, UNKNOWN_EPOCH)

    def learn_epochs(self, epochs: Mapping[str, KnownEpoch]) -> None:
        """Adopt epochs that are higher than those known."""
        for relay_group, known in epochs.items():
            if known.epoch > self.known_epoch(relay_group).epoch:
                self.known_epochs[relay_group] = known

    def save(self, record: LeaseRecord) -> bool:
        """Save a record under the next serial; on failure, change nothing and return False."""
        record = record._replace(serial=self.record.serial + 1)
        if not self.host.save_record(record):
            self.host.log("lease_record_write_failed", serial=record.serial)
            return False
        self.record = record
        return True
