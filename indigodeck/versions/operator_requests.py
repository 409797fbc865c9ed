"""What operators want of versions, free of I/O: which class is held at which version, by whom and why, and which are kept.

One document, with a serial that only grows: (epoch, how manieth word under it). Of two the one with the higher serial counts,
so controllers that copy it from each other end with the same, and a word that was heard before a takeover is not
carried out again after it: it is there already. Who wants what is held already changes nothing, so asking twice is asking once.
"""

from .rollback_pins import Hold

CLASSES_MOST, PINS_MOST, WORDS_LONGEST = 4096, 256, 300


class RejectedError(Exception):
    """A wish that can't be carried out; says why."""


class OperatorRequests:
    """`holds`: {class: Hold}; `pins`: {number}. `document`: as `document()` gave it, or None."""

    def __init__(self, document=None):
        self.serial, self.holds, self.pins = (0, 0), {}, set()
        if document:
            self._read(document)

    def _read(self, document):
        self.serial = tuple(document["serial"])
        self.holds = {
            name: Hold(tuple(number), author, reason, at, tuple(serial))
            for name, (number, author, reason, at, serial) in document["holds"].items()
        }
        self.pins = {tuple(one) for one in document["pins"]}

    def document(self):
        return {
            "serial": list(self.serial),
            "pins": [list(one) for one in sorted(self.pins)],
            "holds": {
                name: [list(hold.number), hold.author, hold.reason, hold.at, list(hold.serial)]
                for name, hold in sorted(self.holds.items())
            },
        }

    def copied(self, document):
        """Another controller's; whether it is newer than what is held here."""
        if tuple(document["serial"]) <= self.serial:
            return False
        self._read(document)
        return True

    def _next(self, epoch):
        last, nth = self.serial
        # Under an epoch below one that a word was heard under there is nobody to hear words: see `books`.
        self.serial = (epoch, 1) if epoch > last else (last, nth + 1)
        return self.serial

    def rollback(self, number, classes, author, reason, at, epoch):
        """Holds classes at a version; those for which that is new, and what they were held at before {class: Hold or None}."""
        if not author:
            raise RejectedError("a rollback needs an author")
        if len(author) > WORDS_LONGEST or len(reason) > WORDS_LONGEST:
            raise RejectedError(f"author and reason are {WORDS_LONGEST} characters at most")
        new = {
            name: self.holds.get(name)
            for name in classes
            if name not in self.holds or self.holds[name].number != tuple(number)
        }
        if new:
            serial = self._next(epoch)
            self.holds.update(
                (name, Hold(tuple(number), author, reason, at, serial)) for name in new
            )
        return new

    def release(self, classes, epoch):
        """Those of the classes that were held: {class: Hold}"""
        gone = {name: self.holds.pop(name) for name in classes if name in self.holds}
        if gone:
            self._next(epoch)
        return gone

    def pin(self, number, on, epoch):
        """Keeps a version for as long as it is pinned; whether that is new."""
        if (tuple(number) in self.pins) == on:
            return False
        if on and len(self.pins) >= PINS_MOST:
            raise RejectedError(f"{PINS_MOST} versions are pinned already")
        (self.pins.add if on else self.pins.discard)(tuple(number))
        self._next(epoch)
        return True

    def needed(self):
        """Versions that must be kept for what is wanted."""
        return self.pins | {hold.number for hold in self.holds.values()}
