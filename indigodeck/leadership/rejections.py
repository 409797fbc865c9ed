"""What relays have refused, free of I/O: remembered over restarts and told to the other controllers.

A table that a relay could not use must not be pushed to it again by a successor, or by the same controller after all have
started anew: the relay itself only says what it holds. Kept is the content's own version (a hash of it), not who sent it.
"""

from typing import Protocol

RELAYS_MOST, EACH_MOST = 4096, 32  # the oldest go first
TOLD_MOST = 64  # in one message
PAUSE = 1_000_000  # between two writings: a relay that refuses for ever costs one a second


class Environment(Protocol):
    """What the memory may ask of the program around it."""

    def later(self, after: int, call) -> None: ...

    def keep_refused(self, entries: list) -> bool:
        """Write [(relay, class, content)] so that it outlasts a restart; False if that failed."""

    def tell_refused(self, entries: list) -> None:
        """To all other controllers; may be lost."""


class RejectionRegistry:
    """`entries`: [(relay, class, content)] as kept, oldest first."""

    def __init__(self, host, entries=()):
        self.host, self.by_relay, self.fresh, self.waiting, self.unsaid = host, {}, False, False, []
        for relay, name, content in entries:
            self._put(relay, name, content)

    def _put(self, relay, name, content):
        """Whether that is new. One content for each class: the last that was refused."""
        held = self.by_relay.pop(relay, {})
        known = held.pop(name, None) == content
        held[name] = content
        self.by_relay[relay] = held
        if len(held) > EACH_MOST:
            del held[next(iter(held))]
        if len(self.by_relay) > RELAYS_MOST:
            del self.by_relay[next(iter(self.by_relay))]
        return not known

    def refused(self, relay, name, content):
        if self._put(relay, name, content):
            self.unsaid = (self.unsaid + [(relay, name, content)])[-TOLD_MOST:]
            self._changed()

    def heard(self, entries):
        """What another controller tells: [(relay, class, content)]"""
        if any([self._put(*entry) for entry in entries[:TOLD_MOST]]):
            self._changed()

    def of(self, relay):
        """{class: content} that this relay refused last."""
        return dict(self.by_relay.get(relay, {}))

    def entries(self):
        return [
            (relay, name, content)
            for relay, held in self.by_relay.items()
            for name, content in held.items()
        ]

    def _changed(self):
        self.fresh = True
        if not self.waiting:
            self.waiting = True
            self.host.later(0, self._write)

    def _write(self):
        """Written when something came, at most once a pause; tried again after one that failed."""
        self.waiting = False
        if self.unsaid:
            self.host.tell_refused(self.unsaid)
            self.unsaid = []
        if self.fresh:
            self.fresh = not self.host.keep_refused(self.entries())
            self.waiting = True
            self.host.later(PAUSE, self._write)
