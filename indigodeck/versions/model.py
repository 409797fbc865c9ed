"""Data types shared by the modules of this package.

Servers are identified by small integer indices in the running program, and by the deployment's own
ids inside a version, so that a version means the same after a restart and on another controller.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Self

from ..errors import IndigodeckError


class InvalidVersionNumberError(IndigodeckError, ValueError):
    """A string is not a valid version number; the message quotes it."""


class VersionNumber(NamedTuple):
    """The number of a version, written as EPOCH.SERIAL."""

    epoch: int
    serial: int

    def __str__(self) -> str:
        """Return the form that operators read and enter."""
        return f"{self.epoch}.{self.serial}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse a version number.

        Raises
        ------
        InvalidVersionNumberError
            If the text is not two groups of decimal digits separated by a dot.
        """
        epoch, dot, serial = text.partition(".")
        if not (dot and _is_decimal(epoch) and _is_decimal(serial)):
            raise InvalidVersionNumberError(
                f"{text!r} is not a version number: expected EPOCH.SERIAL"
            )
        return cls(int(epoch), int(serial))


class Version(NamedTuple):
    """The metadata of a version: everything except its snapshot.

    Attributes
    ----------
    number
        The version's number; a number is never used twice.
    parent
        The version that was published before it, if any.
    published_at
        Wall-clock time in microseconds since 1970.
    cause
        Why the version was published, as text.
    author
        The operator who requested it; empty if no operator did.
    content_hash
        The hash of its snapshot.
    chain_start
        The first version of the delta chain that this version belongs to.
    """

    number: VersionNumber
    parent: VersionNumber | None
    published_at: int
    cause: str
    author: str
    content_hash: str
    chain_start: VersionNumber


@dataclass(frozen=True, slots=True)
class TableSnapshot:
    """One table of a version: its traffic class, the weight of each server, and its admission.

    `admitted_share` is the share of the class's requests that is admitted; `retry_policy` is the
    value of an `assignment.interface.RetryPolicy`.
    """

    class_name: str
    weights: Mapping[str, float]
    admitted_share: float
    retry_policy: int


@dataclass(frozen=True, slots=True)
class TableDelta:
    """The change from the table with the hash `base_hash` to the next table.

    A weight of None removes the server.
    """

    base_hash: str
    weights: Mapping[str, float | None]
    admitted_share: float
    retry_policy: int


# All tables of a version, keyed by the table number as a decimal string.
Snapshot = dict[str, TableSnapshot]

# The change from one snapshot to another, keyed by table: a delta, the complete table if it is new
# or a delta would be no shorter, or None if the table was removed.
SnapshotDelta = dict[str, TableSnapshot | TableDelta | None]


class AssignedTable(NamedTuple):
    """The current state of one of the assigner's tables; `revision` changes whenever it does."""

    class_index: int
    weights: Mapping[int, float]
    admitted_share: float
    retry_policy: int
    revision: int


class ServerReadiness(Enum):
    """Whether a server may get weight from the table of an earlier version."""

    UNAVAILABLE = "unavailable"  # draining, removed, ejected, or not listed as ready
    COLD = "cold"  # warming up
    WARM = "warm"


class RequestSerial(NamedTuple):
    """The serial number of an operator request: its epoch, and its position within that epoch."""

    epoch: int
    position: int


class RollbackPin(NamedTuple):
    """An operator's rollback of one class: the version it is pinned to, by whom and why.

    `requested_at` is wall-clock time in microseconds since 1970.
    """

    version: VersionNumber
    author: str
    reason: str
    requested_at: int
    serial: RequestSerial


@dataclass(frozen=True, slots=True)
class RequestState:
    """All active operator requests: the rollback pins by class name, and the pinned versions."""

    serial: RequestSerial
    rollbacks: Mapping[str, RollbackPin]
    pinned_versions: frozenset[VersionNumber]


class RelayStatus(NamedTuple):
    """The version that a connected relay holds.

    `up_to_date` means that the relay's own tables have not changed since that version. `confirmed`
    means that the relay process has received the version; otherwise only its machine's network
    stack is known to have received it.
    """

    relay: str
    version: VersionNumber
    up_to_date: bool
    confirmed: bool


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit()
