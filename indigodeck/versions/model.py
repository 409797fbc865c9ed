"""The values that the parts of this package pass to each other.

Servers appear twice: inside the program as small indices, and inside a version under the
deployment's own ids, so that a version means the same after a restart and to another controller.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Self

from ..errors import IndigodeckError


class InvalidVersionNumberError(IndigodeckError, ValueError):
    """A text that is no version number; the message quotes it."""


class VersionNumber(NamedTuple):
    """The number of a version, written EPOCH.SERIAL."""

    epoch: int
    serial: int

    def __str__(self) -> str:
        """Return the form that operators read and type."""
        return f"{self.epoch}.{self.serial}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the number in a text.

        Raises
        ------
        InvalidVersionNumberError
            If the text is not two runs of decimal digits with a dot between them.
        """
        epoch, dot, serial = text.partition(".")
        if not (dot and _is_decimal(epoch) and _is_decimal(serial)):
            raise InvalidVersionNumberError(f"{text!r} is no version: EPOCH.SERIAL")
        return cls(int(epoch), int(serial))


class Version(NamedTuple):
    """What is known of a version besides its snapshot.

    Attributes
    ----------
    number
        Its number, never given twice.
    parent
        The version that was published before it, if any.
    published_at
        Wall clock in microseconds.
    cause
        Why it was published, in words.
    author
        Who asked for it, where that was an operator; else empty.
    content_hash
        Hash of its snapshot.
    chain_start
        The version that its chain of deltas begins with.
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
    """One table of a version: its class, the weight of each server, and its admission.

    `retry_policy` is the value of an `assignment.interface.RetryPolicy`.
    """

    class_name: str
    weights: Mapping[str, float]
    admitted_share: float
    retry_policy: int


@dataclass(frozen=True, slots=True)
class TableDelta:
    """What turns the table of hash `base_hash` into the next; weight None removes a server."""

    base_hash: str
    weights: Mapping[str, float | None]
    admitted_share: float
    retry_policy: int


# All tables of a version, by the table's number in decimal digits.
Snapshot = dict[str, TableSnapshot]

# What turns one snapshot into another: per table its delta, the whole of a table that is new or
# that changes too much, or None for a table that is gone.
SnapshotDelta = dict[str, TableSnapshot | TableDelta | None]


class AssignedTable(NamedTuple):
    """One table as the assigner has it now; the revision changes with it."""

    class_index: int
    weights: Mapping[int, float]
    admitted_share: float
    retry_policy: int
    revision: int


class ServerReadiness(Enum):
    """How far a server may serve from an old table."""

    UNAVAILABLE = "unavailable"  # it drains, is gone, ejected, or not listed as ready
    COLD = "cold"  # it is warming up
    WARM = "warm"


class RequestSerial(NamedTuple):
    """The serial of an operator request: the epoch it was accepted under, and its place in it."""

    epoch: int
    position: int


class RollbackPin(NamedTuple):
    """An operator's rollback of one class: the version it is pinned to, by whom and why.

    `requested_at` is wall clock in microseconds.
    """

    version: VersionNumber
    author: str
    reason: str
    requested_at: int
    serial: RequestSerial


@dataclass(frozen=True, slots=True)
class RequestState:
    """All that operators want at one moment: rollback pins by class name, and versions to keep."""

    serial: RequestSerial
    rollbacks: Mapping[str, RollbackPin]
    pinned_versions: frozenset[VersionNumber]


class RelayStatus(NamedTuple):
    """Which version a connected relay holds.

    `up_to_date` says that its own tables have not changed since; `confirmed` that its program has
    taken the version, and not only its machine.
    """

    relay: str
    version: VersionNumber
    up_to_date: bool
    confirmed: bool


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit()
