"""The state of operator requests, without I/O: the pinned classes and versions.

The state has a serial number that only increases: the epoch, and the number of requests accepted
under it. Of two states, the one with the higher serial takes precedence, so controllers that
exchange their states converge on the same one. A request that was accepted before a takeover is
part of the state already and is not carried out again after it. Requests are idempotent: one that
asks for the current state changes nothing.
"""

from collections.abc import Iterable

from ..errors import RejectedError
from .model import RequestSerial, RequestState, RollbackPin, VersionNumber

MAX_PINNED_VERSIONS = 256
MAX_TEXT_LENGTH = 300  # characters of an author or a reason


class OperatorRequests:
    """The active operator requests.

    Attributes
    ----------
    serial
        The serial of the last accepted request.
    rollbacks
        The rollback pins, by class name.
    pinned_versions
        Versions that are exempt from pruning until they are unpinned.
    """

    def __init__(self, state: RequestState | None = None):
        self.serial = RequestSerial(0, 0)
        self.rollbacks: dict[str, RollbackPin] = {}
        self.pinned_versions: set[VersionNumber] = set()
        if state is not None:
            self._replace(state)

    def state(self) -> RequestState:
        """Return a copy of the current state."""
        return RequestState(self.serial, dict(self.rollbacks), frozenset(self.pinned_versions))

    def replace_if_newer(self, state: RequestState) -> bool:
        """Adopt another controller's state if it is newer; return whether it was."""
        if state.serial <= self.serial:
            return False
        self._replace(state)
        return True

    def roll_back(
        self,
        version: VersionNumber,
        class_names: Iterable[str],
        author: str,
        reason: str,
        requested_at: int,
        epoch: int,
    ) -> dict[str, RollbackPin | None]:
        """Pin classes to a version.

        Return the classes that were not pinned to that version yet, each with its previous pin.

        Raises
        ------
        RejectedError
            If there is no author, or the author or reason is too long.
        """
        if not author:
            raise RejectedError("a rollback needs an author")
        if len(author) > MAX_TEXT_LENGTH or len(reason) > MAX_TEXT_LENGTH:
            raise RejectedError(
                f"author and reason are limited to {MAX_TEXT_LENGTH} characters each"
            )
        previous_pins = {
            name: self.rollbacks.get(name)
            for name in class_names
            if name not in self.rollbacks or self.rollbacks[name].version != version
        }
        if previous_pins:
            serial = self._advance_serial(epoch)
            for name in previous_pins:
                self.rollbacks[name] = RollbackPin(version, author, reason, requested_at, serial)
        return previous_pins

    def release(self, class_names: Iterable[str], epoch: int) -> dict[str, RollbackPin]:
        """Unpin classes; return the pins that were removed."""
        released = {
            name: self.rollbacks.pop(name) for name in class_names if name in self.rollbacks
        }
        if released:
            self._advance_serial(epoch)
        return released

    def set_version_pinned(self, version: VersionNumber, pinned: bool, epoch: int) -> bool:
        """Pin or unpin a version; return whether that changes anything.

        Raises
        ------
        RejectedError
            If too many versions are pinned already.
        """
        if (version in self.pinned_versions) == pinned:
            return False
        if pinned and len(self.pinned_versions) >= MAX_PINNED_VERSIONS:
            raise RejectedError(f"{MAX_PINNED_VERSIONS} versions are pinned already")
        if pinned:
            self.pinned_versions.add(version)
        else:
            self.pinned_versions.discard(version)
        self._advance_serial(epoch)
        return True

    def needed_versions(self) -> set[VersionNumber]:
        """Return the versions that these requests refer to, which must not be pruned."""
        return self.pinned_versions | {pin.version for pin in self.rollbacks.values()}

    def _replace(self, state: RequestState) -> None:
        self.serial = state.serial
        self.rollbacks = dict(state.rollbacks)
        self.pinned_versions = set(state.pinned_versions)

    def _advance_serial(self, epoch: int) -> RequestSerial:
        # `epoch` is never below the last one: a controller under such an epoch does not lead, and
        # accepts no requests.
        if epoch > self.serial.epoch:
            self.serial = RequestSerial(epoch, 1)
        else:
            self.serial = RequestSerial(self.serial.epoch, self.serial.position + 1)
        return self.serial
