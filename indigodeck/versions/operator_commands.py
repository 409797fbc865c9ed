"""Operator commands on versions, without I/O: roll classes back, release them, pin versions.

Each command returns a text that says what was done. Only the leader accepts commands.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from ..errors import RejectedError
from .model import VersionNumber
from .publisher import TablePublisher


class OperatorClock(Protocol):
    """The clock for the timestamps of requests."""

    def wall_clock(self) -> int:
        """Return the microseconds since 1970."""


class OperatorCommands:
    """Carries out operator commands on one publisher."""

    def __init__(self, publisher: TablePublisher, clock: OperatorClock):
        self._publisher = publisher
        self._clock = clock

    def roll_back(
        self, number: VersionNumber, class_names: Sequence[str], author: str, reason: str
    ) -> str:
        """Pin these classes, or all if none are given, to a version until they are released.

        Raises
        ------
        RejectedError
            If this controller does not lead, the version is not kept, a class is unknown, the
            author is missing, or the author or reason is too long.
        """
        epoch = self._require_leadership()
        names = self._resolve_class_names(class_names)
        if self._publisher.version_log.snapshot_of(number) is None:
            raise RejectedError(f"version {number} is not kept")
        previous_pins = self._publisher.requests.roll_back(
            number, names, author, reason, self._clock.wall_clock(), epoch
        )
        if not previous_pins:
            return f"held at {number} already: nothing changes"
        self._publisher.publish_for_operator(
            author, f"rollback of {', '.join(previous_pins)} to {number}: {reason}"
        )
        earlier_pins = sorted(
            {
                f"{name} was held at {pin.version} by {pin.author}"
                for name, pin in previous_pins.items()
                if pin
            }
        )
        return "; ".join(
            [
                f"{', '.join(previous_pins)} held at {number}",
                *earlier_pins,
                *self.describe_overrides(previous_pins),
            ]
        )

    def release(self, class_names: Sequence[str], author: str, reason: str) -> str:
        """Unpin these classes, or all if none are given: they follow the assigner again.

        Raises
        ------
        RejectedError
            If this controller does not lead, or a class is unknown.
        """
        epoch = self._require_leadership()
        released = self._publisher.requests.release(self._resolve_class_names(class_names), epoch)
        if not released:
            return "nothing was held: nothing changes"
        names = ", ".join(released)
        self._publisher.publish_for_operator(author, f"release of {names}: {reason}")
        return f"{names} released"

    def set_version_pinned(self, number: VersionNumber, pinned: bool) -> str:
        """Pin a version, which exempts it from pruning, or unpin it.

        Raises
        ------
        RejectedError
            If this controller does not lead, the version is not kept, or too many are pinned.
        """
        epoch = self._require_leadership()
        if pinned and number not in self._publisher.version_log.versions:
            raise RejectedError(f"version {number} is not kept")
        if self._publisher.requests.set_version_pinned(number, pinned, epoch):
            self._publisher.save_requests()
        return f"{number} is {'' if pinned else 'not '}pinned"

    def describe_overrides(self, class_names: Iterable[str]) -> list[str]:
        """Describe the tables of these classes for which a safety rule overrides the rollback."""
        publisher = self._publisher
        wanted = set(class_names)
        tables_by_reason: dict[str, list[str]] = {}
        for table, assigned in publisher.assigned_tables.items():
            reason = publisher.rollback_pins.override_reasons.get(table)
            if reason and publisher.class_names[assigned.class_index] in wanted:
                tables_by_reason.setdefault(reason, []).append(str(table))
        return [
            f"tables {', '.join(tables)} stay as assigned: {reason}"
            for reason, tables in sorted(tables_by_reason.items())
        ]

    def _require_leadership(self) -> int:
        """Return the epoch that this controller leads under; raise RejectedError if it does not."""
        epoch = self._publisher.epoch
        if epoch is None:
            raise RejectedError("another controller is in charge, or the store can't be written")
        return epoch

    def _resolve_class_names(self, class_names: Sequence[str]) -> list[str]:
        """Return these classes, or all if none are given; raise RejectedError for unknown ones."""
        known = self._publisher.class_names
        unknown = [name for name in class_names if name not in known]
        if unknown:
            raise RejectedError(f"unknown class {unknown[0]!r}: the classes are {known}")
        return list(class_names) or list(known)
