"""Versions and wishes among controllers of one fleet, free of I/O: who stands by has what it needs to go on.

Messages may be lost, late, twice or out of order; nothing here depends on one that came. Each version is told of as what it changes
of its parent, and taken where that is the newest here. Who is in charge says now and then which version is the newest, and what
operators want; who lacks one of them asks for it, and is told in parts that each fit a message. A set is taken only whole, with
the hash that was said; versions between that were missed are missing from this history and no other. An operator's word is kept by a majority before it is
called kept, and who takes over asks all before it trusts its own copy, so a word that was called kept is never forgotten.
"""

import json
from typing import Protocol

from . import snapshots as sets
from .version_log import Number, Version

PART_BYTES = 24 << 10  # of a message: what one part of a set may fill
TURN = 1_000_000  # between two times that the newest is told of


class Environment(Protocol):
    """What copies may ask of the program around them."""

    def now(self) -> int: ...

    def later(self, after: int, call) -> None: ...

    def send(self, member: str, kind: str, **fields) -> None: ...

    def others(self) -> list:
        """The other controllers' ids."""

    def in_charge(self) -> bool: ...


class VersionReplicator:
    """`books`: versions.books.Books."""

    def __init__(self, host, books):
        self.host, self.books = host, books
        self.parts = {}  # {number: {part: sheets}} of what comes in parts; of one set at a time
        self.noted = {}  # {member: serial of the wishes that it has}
        self.asked = {}  # {number: when it was asked for}
        host.later(TURN, self.turn)

    # Who is in charge.

    def turn(self):
        self.host.later(TURN, self.turn)
        if self.host.in_charge():
            newest = self.books.newest()
            for member in self.host.others():
                self.host.send(
                    member,
                    "book",
                    newest=list(newest) if newest else None,
                    content=self.books.ledger.content() if newest else "",
                    wishes=self.books.wishes.document(),
                )

    def published(self, version, changes):
        """What does not fit a message is asked for, when the newest is told of."""
        if len(json.dumps(changes)) <= PART_BYTES:
            told = {
                **version._asdict(),
                "number": list(version.number),
                "parent": version.parent and list(version.parent),
            }
            del told["first"]
            for member in self.host.others():
                self.host.send(member, "version", entry=told, changes=changes)

    def wishes_changed(self, document):
        for member in self.host.others():
            self.host.send(member, "wishes", wishes=document)

    def took_over(self):
        """Before its own copy of the wishes counts for sure, all others are asked for theirs."""
        for member in self.host.others():
            self.host.send(member, "ask wishes")

    def kept_by(self, serial):
        """How many controllers, this one among them, have the wishes of this serial, or newer ones."""
        return 1 + sum(
            tuple(self.noted.get(member, (0, 0))) >= tuple(serial) for member in self.host.others()
        )

    def wanted(self, member, number):
        """A member lacks a version."""
        held = self.books.ledger.sheets_of(Number(*number))
        version = self.books.ledger.versions.get(Number(*number))
        if held is None:
            return
        parts, size = [{}], 0
        for table, sheet in sorted(held.items()):
            cost = len(json.dumps(sheet)) + len(table) + 8
            if size + cost > PART_BYTES and parts[-1]:
                parts.append({})
                size = 0
            parts[-1][table] = sheet
            size += cost
        for nth, part in enumerate(parts):
            self.host.send(
                member,
                "sheets",
                number=list(number),
                part=nth,
                of=len(parts),
                sheets=part,
                about=[version.at, version.cause, version.author, version.content],
                parent=version.parent and list(version.parent),
            )

    def note(self, member, serial):
        self.noted[member] = max(tuple(serial), self.noted.get(member, (0, 0)))

    # Who stands by.

    def asked_wishes(self, member):
        self.host.send(member, "wishes", wishes=self.books.wishes.document())

    def wished(self, member, wishes):
        """Another's wishes. Said back with the serial that is held here now, which may be a newer one."""
        self._copy(member, wishes)
        self.host.send(member, "noted", serial=list(self.books.wishes.serial))

    def _copy(self, member, wishes):
        if not self.books.wishes_copied(wishes):
            return
        for hold in self.books.wishes.holds.values():
            self._need(member, hold.number)

    def told(self, member, entry, changes):
        """The next version, by what it changes."""
        if not self.host.in_charge() and not self.books.ledger.followed(
            Version(
                Number(*entry["number"]),
                entry["parent"] and Number(*entry["parent"]),
                entry["at"],
                entry["cause"],
                entry["author"],
                entry["content"],
                None,
            ),
            changes,
        ):
            # One before it was missed: this one may still be had whole.
            self._need(member, entry["number"])

    def booked(self, member, newest, content, wishes):
        """What the one in charge says of its books."""
        self._copy(member, wishes)
        self.host.send(member, "noted", serial=list(self.books.wishes.serial))
        for hold in self.books.wishes.holds.values():
            self._need(member, hold.number)
        if newest is not None and not self.host.in_charge():
            own = self.books.ledger.newest
            if own is None or own < Number(*newest):
                self._need(member, newest)

    def _need(self, member, number):
        number, now = Number(*number), self.host.now()
        if number in self.books.ledger.versions or now - self.asked.get(number, -TURN) < TURN // 2:
            return
        self.asked = {one: at for one, at in self.asked.items() if now - at < 10 * TURN}
        self.asked[number] = now
        self.host.send(member, "want", number=list(number))

    def came(self, member, number, part, of, sheets, about, parent):
        """A part of a version that was asked for."""
        number = Number(*number)
        if (
            number not in self.asked
            or number in self.books.ledger.versions
            or not 0 <= part < of <= 4096
        ):
            return
        held = self.parts.setdefault(number, {})
        held[part] = sheets
        while len(self.parts) > 4:
            del self.parts[next(iter(self.parts))]
        if len(held) < of:
            return
        del self.parts[number]
        whole = {table: sheet for one in held.values() for table, sheet in one.items()}
        at, cause, author, content = about
        if sets.content_of(whole) != content:
            return  # parts of two answers to two askings, perhaps: asked for again with the next word of it
        self.books.copied(
            Version(number, parent and Number(*parent), at, cause, author, content, number), whole
        )
