"""Messages between controllers, and between operators and controllers, one type per kind.

`message_codec` defines their form on the wire.
"""

from dataclasses import dataclass
from typing import Any

from .state import KnownEpoch, Members, Proposal

Epochs = dict[str, KnownEpoch]  # by relay group


# Between members of an election.


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive."""

    membership_number: int


@dataclass(frozen=True, slots=True)
class RecoveryQuery:
    """A restarted member requests state from its peers that its own record may lack."""

    nonce: int
    membership_number: int


@dataclass(frozen=True, slots=True)
class RecoveryAnswer:
    """What the sender knows; `serial` is the highest one it saw of the querying member's record."""

    nonce: int
    epochs: Epochs
    serial: int
    membership_number: int
    members: Members | None
    proposal: Proposal | None


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A candidate requests a lease of a relay group, or its renewal."""

    relay_group: str
    epoch: int
    round: int
    serial: int
    membership_number: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease is granted; for the first relay group, with the grantor's last accepted proposal."""

    relay_group: str
    epoch: int
    round: int
    serial: int
    membership_number: int
    proposal: Proposal | None


@dataclass(frozen=True, slots=True)
class LeaseDenial:
    """A lease is denied; `holder` is empty if unknown, `retry_after` is in microseconds."""

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
    """A holder releases a relay group before its lease expires."""

    relay_group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ProposeMembers:
    """A leader proposes a membership."""

    membership_number: int
    epoch: int
    members: Members


@dataclass(frozen=True, slots=True)
class AcceptMembers:
    """A proposal was accepted and saved."""

    membership_number: int
    epoch: int
    epochs: Epochs


@dataclass(frozen=True, slots=True)
class MembershipNotice:
    """Announces a membership that was decided."""

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


# Between members, apart from the election.


@dataclass(frozen=True, slots=True)
class RejectionNotice:
    """Tables that relays rejected, each as a list of relay, class and content."""

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
    """Asks a leader to release a relay group."""

    relay_group: str


@dataclass(frozen=True, slots=True)
class ChangeMembers:
    """Asks the leader to add or remove one member."""

    members: Members


@dataclass(frozen=True, slots=True)
class ForceMembers:
    """Sets the members without a majority's consent."""

    members: Members


@dataclass(frozen=True, slots=True)
class ConnectedRelaysQuery:
    """Asks for a page of the relays that this member serves: the ids that sort after `after`."""

    after: str


@dataclass(frozen=True, slots=True)
class VersionRequest:
    """A request about the versions of tables (versions/admin_api.py)."""

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
    """The answer to an operator, as plain JSON values."""

    said: Any


@dataclass(slots=True)
class MemberStatus:
    """One member as another sees it.

    `liveness` is "alive", "suspected" (not heard from for two leases) or "unheard" (never).
    """

    address: str
    liveness: str
    heard_ago: int | None
    membership_number: int | None
    message_version: int | None = None


@dataclass(slots=True)
class LeaseStatus:
    """One relay group as a member sees it; `leading_epoch` is None unless that member leads it."""

    epoch: int
    granted_to: str | None
    granted_for: int
    leading_epoch: int | None
    followers: int = 0


@dataclass(slots=True)
class Status:
    """The other members and the leases as a member sees them."""

    me: str
    may_grant: bool
    membership_number: int
    change_pending: bool
    members: dict[str, MemberStatus]
    leases: dict[str, LeaseStatus]


Message = PeerMessage | OperatorMessage | Answer
