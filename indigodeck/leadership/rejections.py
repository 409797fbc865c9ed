"""What relays have rejected, free of I/O: remembered over restarts, and told to other controllers.

A table that a relay could not use must not be pushed to it again by a successor, or by the same
controller after all have started anew: the relay itself only says what it holds. What is kept is
the content's own version (a hash of it), not who sent it.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from ..clock import SECOND

MAX_RELAYS = 4096  # the oldest go first
MAX_CLASSES_PER_RELAY = 32  # the oldest go first
MAX_PER_MESSAGE = 64
WRITE_INTERVAL = SECOND  # a relay that rejects for ever costs one writing a second


class Rejection(NamedTuple):
    """A relay could not use this content for a class."""

    relay: str
    class_name: str
    content: str


class RejectionHost(Protocol):
    """What the registry may do to the program around it."""

    def start_timer(self, delay: int, callback: Callable[[], None]) -> None:
        """Call back after `delay` microseconds."""

    def save_rejections(self, rejections: list[Rejection]) -> bool:
        """Write so that it outlasts a restart; False if that failed."""

    def broadcast_rejections(self, rejections: list[Rejection]) -> None:
        """Tell all other controllers; may be lost."""


class RejectionRegistry:
    """Holds the last content that each relay rejected for each class.

    `rejections` are those that were saved, oldest first.
    """

    def __init__(self, host: RejectionHost, rejections: Iterable[Rejection] = ()) -> None:
        self._host = host
        self.by_relay: dict[str, dict[str, str]] = {}  # content by class by relay
        self._is_dirty = False
        self._timer_runs = False
        self._untold: list[Rejection] = []
        for rejection in rejections:
            self._put(rejection)

    def record(self, relay: str, class_name: str, content: str) -> None:
        """Remember what a relay rejected here, and tell the others."""
        rejection = Rejection(relay, class_name, content)
        if self._put(rejection):
            self._untold = [*self._untold, rejection][-MAX_PER_MESSAGE:]
            self._on_change()

    def on_notice(self, rejections: list[Rejection]) -> None:
        """Remember what another controller tells; it is not told on."""
        news = [self._put(rejection) for rejection in rejections[:MAX_PER_MESSAGE]]
        if any(news):
            self._on_change()

    def of_relay(self, relay: str) -> dict[str, str]:
        """Return the content that this relay rejected last, by class."""
        return dict(self.by_relay.get(relay, {}))

    def _put(self, rejection: Rejection) -> bool:
        """Remember one, as the newest of its relay; return whether it was not known."""
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
        if not self._timer_runs:
            self._timer_runs = True
            self._host.start_timer(0, self._on_timer)

    def _on_timer(self) -> None:
        """Tell and write what is new, at most once an interval; try again what failed."""
        self._timer_runs = False
        if self._untold:
            self._host.broadcast_rejections(self._untold)
            self._untold = []
        if self._is_dirty:
            self._is_dirty = not self._host.save_rejections(self._all())
            self._timer_runs = True
            self._host.start_timer(WRITE_INTERVAL, self._on_timer)
