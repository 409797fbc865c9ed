"""What controllers say to each other, and operators to them: one type for each kind of message.

`message_codec` has their form on the wire.
"""

from dataclasses import dataclass
from typing import Any

from .state import KnownEpoch, Members, Proposal

Epochs = dict[str, KnownEpoch]  # by relay group


# Between members of an election.


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender runs."""

    membership_number: int


@dataclass(frozen=True, slots=True)
class RecoveryQuery:
    """A member that starts asks what it may have forgotten."""

    nonce: int
    membership_number: int


@dataclass(frozen=True, slots=True)
class RecoveryAnswer:
    """What is known here; `serial` is the highest seen of the asker's record."""

    nonce: int
    epochs: Epochs
    serial: int
    membership_number: int
    members: Members | None
    proposal: Proposal | None


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A candidate asks for a relay group, or for more time with it."""

    relay_group: str
    epoch: int
    round: int
    serial: int
    membership_number: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A request is granted; with the proposal accepted last, where the group is the first."""

    relay_group: str
    epoch: int
    round: int
    serial: int
    membership_number: int
    proposal: Proposal | None


@dataclass(frozen=True, slots=True)
class LeaseDenial:
    """A request is not granted; `holder` is empty if unknown, `retry_after` in microseconds."""

    relay_group: str
    epoch: int
    round: int
    highest_epoch: int
    holder: str
    retry_after: int
    membership_number: int

    @property
    def known_epoch(self) -> KnownEpoch:
        """The highest epoch that the grantor knows, and its holder."""
        return KnownEpoch(self.highest_epoch, self.holder or None)


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """A holder gives a relay group back before its lease ends."""

    relay_group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ProposeMembers:
    """A leader proposes members."""

    membership_number: int
    epoch: int
    members: Members


@dataclass(frozen=True, slots=True)
class AcceptMembers:
    """A proposal was accepted and written down."""

    membership_number: int
    epoch: int
    epochs: Epochs


@dataclass(frozen=True, slots=True)
class MembershipNotice:
    """Members that were decided."""

    membership_number: int
    members: Members
    epochs: Epochs


ElectionMessage = (
    Heartbeat
    | RecoveryQuery
    | RecoveryAnswer
    | LeaseRequest
    | LeaseGrant
    | LeaseDenial
    | LeaseRelease
    | ProposeMembers
    | AcceptMembers
    | MembershipNotice
)


# Between members, beside the election.


@dataclass(frozen=True, slots=True)
class RejectionNotice:
    """Tables that relays rejected: lists of relay, class and content."""

    rejections: list[list[str]]


@dataclass(frozen=True, slots=True)
class ReplicationMessage:
    """A message of the replication of versions, by its kind and fields on the wire."""

    kind: str
    fields: dict[str, Any]


PeerMessage = ElectionMessage | RejectionNotice | ReplicationMessage


# From operators to a member.


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Asks for `Status`."""


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Asks a leader to give a relay group up."""

    relay_group: str


@dataclass(frozen=True, slots=True)
class ChangeMembers:
    """Asks the leader to add or remove one member."""

    members: Members


@dataclass(frozen=True, slots=True)
class ForceMembers:
    """Makes these the members without a majority."""

    members: Members


@dataclass(frozen=True, slots=True)
class ConnectedRelaysQuery:
    """Asks which relays this member speaks to, from the one after `after` on, in order of ids."""

    after: str


@dataclass(frozen=True, slots=True)
class VersionRequest:
    """A request to the versions of tables (versions/admin_api.py)."""

    request: Any


OperatorMessage = (
    StatusQuery
    | TransferLeadership
    | ChangeMembers
    | ForceMembers
    | ConnectedRelaysQuery
    | VersionRequest
)


# Answers to operators. Times are in microseconds.


@dataclass(frozen=True, slots=True)
class Answer:
    """What an operator is told; plain values of JSON."""

    said: Any


@dataclass(slots=True)
class MemberStatus:
    """One member as another knows it; alive, suspected (not heard for two leases) or unheard."""

    address: str
    liveness: str
    heard_ago: int | None
    membership_number: int | None
    message_version: int | None = None


@dataclass(slots=True)
class LeaseStatus:
    """One relay group as a member knows it; `leading_epoch` is None unless that member leads it."""

    epoch: int
    granted_to: str | None
    granted_for: int
    leading_epoch: int | None
    followers: int = 0


@dataclass(slots=True)
class Status:
    """What a member knows of the others and of the leases."""

    me: str
    may_grant: bool
    membership_number: int
    change_pending: bool
    members: dict[str, MemberStatus]
    leases: dict[str, LeaseStatus]


Message = PeerMessage | OperatorMessage | Answer
