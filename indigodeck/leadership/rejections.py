"""Registry of the tables that relays rejected, durable and shared with other controllers.

It is free of I/O. A table that a relay could not use must not be sent to it again by the next
leader, nor after a restart of all controllers; the relay itself reports only what it holds. A
rejection names the version of the content (a hash of it), not the controller that sent it.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from ..clock import SECOND

MAX_RELAYS = 4096  # beyond this, the oldest are dropped
MAX_CLASSES_PER_RELAY = 32  # beyond this, the oldest are dropped
MAX_PER_MESSAGE = 64
WRITE_INTERVAL = SECOND  # limits a relay that rejects continuously to one write per second


class Rejection(NamedTuple):
    """A version of a class's table that a relay could not use."""

    relay: str
    class_name: str
    content: str


class RejectionHost(Protocol):
    """What the registry needs from the program that runs it."""

    def start_timer(self, delay: int, callback: Callable[[], None]) -> None:
        """Call back after `delay` microseconds."""

    def save_rejections(self, rejections: list[Rejection]) -> bool:
        """Save the rejections so that they survive a restart; return False on failure."""

    def broadcast_rejections(self, rejections: list[Rejection]) -> None:
        """Send the rejections to all other controllers; messages may be lost."""


class RejectionRegistry:
    """Holds the last content that each relay rejected for each class.

    `rejections` are the saved ones, oldest first.
    """

    def __init__(self, host: RejectionHost, rejections: Iterable[Rejection] = ()) -> None:
        self._host = host
        self.by_relay: dict[str, dict[str, str]] = {}  # content by class by relay
        self._is_dirty = False
        self._timer_is_running = False
        self._unsent: list[Rejection] = []
        for rejection in rejections:
            self._store(rejection)

    def record(self, relay: str, class_name: str, content: str) -> None:
        """Record a rejection by a relay of this controller, and share it with the others."""
        rejection = Rejection(relay, class_name, content)
        if self._store(rejection):
            self._unsent = [*self._unsent, rejection][-MAX_PER_MESSAGE:]
            self._on_change()

    def on_notice(self, rejections: list[Rejection]) -> None:
        """Record the rejections that another controller sent; they are not forwarded."""
        are_new = [self._store(rejection) for rejection in rejections[:MAX_PER_MESSAGE]]
        if any(are_new):
            self._on_change()

    def for_relay(self, relay: str) -> dict[str, str]:
        """Return the content that a relay last rejected, by class."""
        return dict(self.by_relay.get(relay, {}))

    def _store(self, rejection: Rejection) -> bool:
        """Store a rejection as the newest one of its relay; return whether it is new."""
        contents = self.by_relay.pop(rejection.relay, {})
        is_known = contents.pop(rejection.class_name, None) == rejection.content
        contents[rejection.class_name] = rejection.content
        self.by_relay[rejection.relay] = contents
        if len(contents) > MAX_CLASSES_PER_RELAY:
            del contents[next(iter(contents))]
        if len(self.by_relay) > MAX_RELAYS:
            del self.by_relay[next(iter(self.by_relay))]
        return not is_known

    def _all(self) -> list[Rejection]:
        return [
            Rejection(relay, class_name, content)
            for relay, contents in self.by_relay.items()
            for class_name, content in contents.items()
        ]

    def _on_change(self) -> None:
        self._is_dirty = True
        if not self._timer_is_running:
            self._timer_is_running = True
            self._host.start_timer(0, self._on_timer)

    def _on_timer(self) -> None:
        """Broadcast and save new rejections, once per interval; retry a failed save."""
        self._timer_is_running = False
        if self._unsent:
            self._host.broadcast_rejections(self._unsent)
            self._unsent = []
        if self._is_dirty:
            self._is_dirty = not self._host.save_rejections(self._all())
            self._timer_is_running = True
            self._host.start_timer(WRITE_INTERVAL, self._on_timer)
