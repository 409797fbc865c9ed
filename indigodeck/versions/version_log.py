"""The versions of what was published, free of I/O: their numbers, what they are kept as, and which are kept.

A number is EPOCH.SERIAL. The epoch is the one that the controller is in charge under; a planner alone counts its starts, each
written down before anything is published. Neither is ever given twice, so no number is, though a version was pushed and its
record lost: what follows has a higher epoch. As long as its start could not be written down a planner alone has no epoch to count
on, and what it publishes is not numbered.

A version is kept as what it changes of its parent, or whole: now and then, and where the change is no shorter. Whole ones begin a
chain; chains are dropped as they are, oldest first, but for what is asked to be kept: what relays hold, what is rolled back to, what
is pinned.
"""

import json
from typing import NamedTuple, Protocol

from . import snapshots as sets

CHAIN = 32  # versions in one chain: so many changes are applied at most to have any version
CAUSE_LONGEST = 1000
SECOND = 1_000_000
DAY = 86_400 * SECOND


class Number(NamedTuple):
    epoch: int
    serial: int

    def __str__(self):
        return f"{self.epoch}.{self.serial}"


def number(text):
    """The number in a text; ValueError if there is none."""
    epoch, dot, serial = text.partition(".")
    if not (dot and epoch.isascii() and epoch.isdigit() and serial.isascii() and serial.isdigit()):
        raise ValueError(f"{text!r} is no version: EPOCH.SERIAL")
    return Number(int(epoch), int(serial))


class Version(NamedTuple):
    """`at`: wall clock in microseconds; `cause`: why, in words; `author`: who, where it was an operator; `content`: hash of the set;
    `first`: the version that its chain begins with.
    """

    number: Number
    parent: Number | None
    at: int
    cause: str
    author: str
    content: str
    first: Number


class Environment(Protocol):
    """What the ledger may ask of the program around it."""

    def wall(self) -> int:
        """Microseconds since 1970."""

    def keep(self, changes: list) -> None:
        """[(key, value, or None to drop it)], all or none, soon."""

    def kept(self, key: str):
        """The value under a key, or None."""


def key_of(number):
    return f"version/{number.epoch:012d}.{number.serial:012d}"


class VersionLog:
    """`keys`: of the versions that are kept, as the store has them; `most`, `age`: so many are kept, however
    old they are; and twice as many if they are not older than that, in microseconds.
    """

    def __init__(self, host, keys=(), most=2000, age=7 * DAY):
        self.host, self.most, self.age = host, most, age
        self.versions, self.chains, self.sheets, self.hashes = (
            {},
            {},
            {},
            {},
        )  # chains: {first: [numbers]}
        self.epoch, self.serial, self.newest = None, 0, None
        self.last = {}  # what the newest version changes of its parent
        self.records = {}  # {number: its changes or whole set, as JSON}: a disk that stands still must hold up no rollback
        for key in sorted(keys):
            held = host.kept(key)
            if held is not None:
                version = Version(
                    Number(*held["number"]),
                    held["parent"] and Number(*held["parent"]),
                    held["at"],
                    held["cause"],
                    held["author"],
                    held["content"],
                    Number(*held["first"]),
                )
                self._add(version, held["sheets"])
        # What is published next is compared with what was last: a restart alone makes no version.
        while self.newest is not None and (found := self.sheets_of(self.newest)) is None:
            self._forget([self.newest])  # its chain is not whole
            self.newest = max(self.versions, default=None)
        if self.newest is not None:
            self._hold(found)

    def _hold(self, held):
        self.sheets, self.hashes = held, {table: sets.hash_of(one) for table, one in held.items()}

    def content(self):
        return sets.content(self.hashes)

    # What happens.

    def in_charge(self, epoch):
        """From now on numbers are under this epoch."""
        if self.epoch is None or epoch > self.epoch:
            last = self.newest
            self.epoch, self.serial = (
                epoch,
                last.serial if last is not None and last.epoch >= epoch else 0,
            )
            if last is not None and last.epoch > epoch:
                self.epoch = (
                    last.epoch
                )  # of a ward that is another's now: numbers go on all the same

    def out_of_charge(self):
        self.epoch = None

    def published(self, held, cause, author="", always=False):
        """The set that is published now, {table: sheet}: its version if that differs from what was published last, or if there is to
        be one `always`; else None.
        """
        hashes = {
            table: self.hashes[table] if self.sheets.get(table) is one else sets.hash_of(one)
            for table, one in held.items()
        }
        if self.epoch is None or hashes == self.hashes and not always:
            return None
        return self._next(held, hashes, cause, author)

    def _next(self, held, hashes, cause, author):
        before, self.sheets, self.hashes = self.sheets, held, hashes
        self.serial += 1
        return self._keep(
            Version(
                Number(self.epoch, self.serial),
                self.newest,
                self.host.wall(),
                cause[:CAUSE_LONGEST],
                author,
                sets.content(hashes),
                None,
            ),
            before,
            held,
        )

    def _keep(self, version, before, held):
        """Adds the newest version, by what it changes of the one before where that is shorter."""
        parent, changes, whole = (
            self.versions.get(version.parent),
            sets.changes_of(before, held),
            True,
        )
        if parent is not None and len(self.chains[parent.first]) < CHAIN:
            whole = sets.lines_in(changes) >= sets.lines_in(held)
        version = version._replace(first=version.number if whole else parent.first)
        self._add(version, held if whole else changes)
        self.host.keep([(key_of(version.number), self.record(version, held if whole else changes))])
        self.last = changes
        return version

    def followed(self, version, changes):
        """Another controller's next version, as what it changes of its parent; whether it follows on what is held here."""
        if version.parent != self.newest:
            return False
        try:
            held = sets.changed(self.sheets, changes)
        except sets.SnapshotMismatchError:
            return False
        if sets.content_of(held) != version.content:
            return False
        before = self.sheets
        self._hold(held)
        self._keep(version, before, held)
        return True

    def _add(self, version, changes):
        self.versions[version.number] = version
        self.records[version.number] = json.dumps(changes, separators=(",", ":")).encode()
        self.chains.setdefault(version.first, []).append(version.number)
        self.newest = version.number

    @staticmethod
    def record(version, changes):
        return {
            **version._asdict(),
            "number": list(version.number),
            "parent": version.parent and list(version.parent),
            "first": list(version.first),
            "sheets": changes,
        }

    def copied(self, version, held):
        """Another controller tells of one of its versions: kept here whole, so that it can be gone back to, and gone on from
        where it is the newest.
        """
        if version.number in self.versions:
            return
        version, newest = version._replace(first=version.number), self.newest
        self._add(version, held)
        if newest is None or version.number > newest:
            self._hold(held)
        else:
            self.newest = newest
        self.host.keep([(key_of(version.number), self.record(version, held))])

    # What is asked.

    def sheets_of(self, wanted):
        """The set of a version, {table: sheet}, proved by its hash; None if it is not kept, or not whole."""
        version = self.versions.get(wanted)
        if version is None:
            return None
        if wanted == self.newest and self.sheets and self.content() == version.content:
            return dict(self.sheets)
        held = {}
        try:
            for one in [one for one in self.chains[version.first] if one <= wanted]:
                record = json.loads(self.records[one])
                held = record if one == version.first else sets.changed(held, record)
        except sets.SnapshotMismatchError:
            return None
        return held if sets.content_of(held) == version.content else None

    def between(self, old, new):
        """What changed from one version to another, or None if one of them is not kept."""
        before, after = self.sheets_of(old), self.sheets_of(new)
        return None if before is None or after is None else sets.changes_of(before, after)

    # What is kept.

    def tidy(self, needed=frozenset()):
        """Drops the oldest chains beyond what is to be kept, unless a version of theirs is `needed` (a set of numbers); the
        numbers dropped.
        """
        now, dropped = self.host.wall(), []
        for first in sorted(self.chains)[:-1]:
            chain, left = self.chains[first], len(self.versions) - len(dropped)
            old = now - max(self.versions[one].at for one in chain) > self.age
            if left - len(chain) < self.most * (1 if old else 2):
                break
            if not needed & set(chain):
                dropped += chain
        if dropped:
            self._forget(dropped)
            self.host.keep([(key_of(one), None) for one in dropped])
        return dropped

    def _forget(self, numbers):
        for one in numbers:
            first = self.versions.pop(one).first
            del self.records[one]
            self.chains[first].remove(one)
            if not self.chains[first]:
                del self.chains[first]
