"""The books of one planner, free of I/O: what is published and by which version, what operators hold, who holds which.

The desk tells after each call of the assigner that its orders are laid out (`settle`); what is published then, holds
applied, is a version if it differs from the last. A relay holds the version that was the newest when its message was made, once the
transport says that it took that message; what changed since concerns it only as far as its own tables did.
"""

from typing import Protocol

from . import snapshots as sets
from .operator_requests import OperatorRequests, RejectedError
from .rollback_pins import RollbackPins
from .version_log import Number, VersionLog

SECOND = 1_000_000
RELAYS_EVERY, TIDY_EVERY = 10 * SECOND, 60 * SECOND
CARRIED = 60 * SECOND
RELAYS_MOST = 65_536


class Environment(Protocol):
    """What the books may ask of the program around them. Servers and proxies are indices, classes places."""

    def now(self) -> int: ...

    def wall(self) -> int: ...

    def keep(self, changes: list) -> None: ...

    def kept(self, key: str): ...

    def keys(self, prefix: str) -> list: ...

    def tables(self) -> dict:
        """{table: (place, {server: weight}, (level, way), edition)} as the assigner has them; the edition changes with them."""

    def name(self, server: int) -> str: ...

    def number(self, name: str):
        """The server's index, or None if it was never listed here."""

    def standing(self, server: int) -> str:
        """holds.OUT, COLD or WARM."""

    def withdrawn(self): ...

    def users(self, table: int) -> int: ...

    def relay(self, proxy: int) -> str: ...

    def bound(self, proxy: int) -> dict:
        """{place: table}"""

    def room(self) -> float: ...

    def most(self) -> int: ...

    def head(self) -> int: ...

    def touch(self, table: int, servers) -> None: ...

    def resume(self, held: dict) -> None:
        """{table: [server]} as they were published last: to be gone on with."""

    def published(self, version, changes: dict) -> None:
        """This is the newest version now, and what it changes of its parent."""

    def wishes_changed(self, document: dict) -> None:
        """What operators want is another now."""

    def note(self, event: str, **facts) -> None: ...


class TablePublisher:
    """`classes`: names by place; `most`, `age`: as `Ledger`."""

    def __init__(self, host, classes, most, age):
        self.host, self.classes = host, classes
        self.ledger = VersionLog(host, host.keys("version/"), most, age)
        self.wishes, self.holds = OperatorRequests(host.kept("wishes")), RollbackPins(self)
        self.made, self.now_there, self.epoch = (
            {},
            {},
            None,
        )  # made: {table: (what it was made of, sheet)}
        self.carried_until = host.now()
        self.since, self.held, self.sure, self.carried = (
            {},
            {},
            {},
            {},
        )  # {table: number}; {proxy: number}; {relay: number} before
        self.said, self.author, self.way, self.always = [], "", "", False
        self.relays_at = self.tidy_at = host.now()
        self.carried = {relay: Number(*one) for relay, one in (host.kept("relays") or {}).items()}
        self._hold_all()

    # What happens.

    def in_charge(self, epoch, after_another=False):
        """`after_another`: whose last versions may not have come here. What is published now is one of its own then, though it may
        look like the last that is known: whoever holds a version that is not, must see a newer one.
        """
        self.always = self.always or after_another
        self.epoch = epoch if self.epoch is None else max(epoch, self.epoch)
        self.ledger.in_charge(self.epoch)
        self.said.append(f"in charge under epoch {epoch}")
        # What is not bound to anybody yet stays as it was published, for as long as relays may be on their way here.
        self.carried_until = self.host.now() + CARRIED
        self.resume()

    def resume(self):
        """Tables go on from what was published last, here or by the controller before."""
        if self.ledger.sheets:
            self.host.resume(
                {
                    int(table): [
                        server
                        for name in sheet["lines"]
                        if (server := self.host.number(name)) is not None
                    ]
                    for table, sheet in self.ledger.sheets.items()
                }
            )

    def out_of_charge(self):
        self.epoch = None
        self.ledger.out_of_charge()
        self.held.clear()
        self.sure.clear()

    def because(self, text):
        """Something that the assigner said of what it does; stands in the cause of what is published next."""
        if len(self.said) < 20:
            self.said.append(text)

    def settle(self, event):
        """The assigner's orders of one call are laid out. `event`: what the call told of."""
        self.now_there = self.host.tables()
        self.holds.settle()
        if self.epoch is None:
            self.said = []
            return
        held, before = (
            {str(table): self._sheet(table, *rest) for table, rest in self.now_there.items()},
            self.ledger.hashes,
        )
        if self.host.now() < self.carried_until:
            held = {
                **{
                    table: one
                    for table, one in self.ledger.sheets.items()
                    if one["class"] in self.classes
                },
                **held,
            }
        if not held:
            return  # nobody has a table yet, and none was ever published
        version = self.ledger.published(
            held, "; ".join(self.said) or event, self.author, self.always
        )
        if version is not None:
            after = self.ledger.hashes
            self.since.update(
                (table, version.number)
                for table in before.keys() | after.keys()
                if before.get(table) != after.get(table)
            )
            self.host.published(version, self.ledger.last)
            self.host.note("published", version=str(version.number), why=version.cause[:200])
        # Part of the way to what an operator wants is his word as well, until all of it is gone.
        self.author = self.author if self.author and self.holds.waiting() else ""
        self.said, self.always = ([f"on the way: {self.way}"] if self.author else []), False
        self._now_and_then()

    def _sheet(self, table, place, lines, level, edition):
        lines = self.holds.lines_of(table, lines)
        made_of = edition, self.host.withdrawn(), self.holds.lines.get(table)
        known = self.made.get(table)
        if known is None or known[0] != made_of:
            out = made_of[1]
            known = self.made[table] = (
                made_of,
                sets.sheet(
                    self.classes[place],
                    {
                        self.host.name(server): weight
                        for server, weight in lines.items()
                        if server not in out
                    },
                    level,
                ),
            )
        return known[1]

    def _now_and_then(self):
        now = self.host.now()
        if now - self.relays_at >= RELAYS_EVERY:
            self.relays_at = now
            held = dict(
                list(
                    {
                        **self.carried,
                        **{self.host.relay(proxy): one for proxy, one in self.held.items()},
                    }.items()
                )[-RELAYS_MOST:]
            )
            if held != self.carried:
                self.carried = held
                self.host.keep([("relays", {relay: list(one) for relay, one in held.items()})])
        if now - self.tidy_at >= TIDY_EVERY:
            self.tidy_at = now
            self.ledger.tidy(
                {Number(*one) for one in self.wishes.needed()}
                | set(self.held.values())
                | set(self.carried.values())
            )

    def copied(self, version, held):
        """Another controller's version, whole."""
        self.ledger.copied(version, held)
        if any(hold.number == version.number for hold in self.wishes.holds.values()):
            self._hold_all()
            self.settle("a version that is held")

    # What relays hold.

    def newest(self):
        """The version that a message made now brings a relay to, or None."""
        return self.ledger.newest if self.epoch is not None else None

    def took(self, proxy, version, by_program=True):
        """A relay took a message that brings it to a version: its program, or so far as is known only its machine."""
        if version is not None and version >= self.held.get(proxy, version):
            self.held[proxy] = version
            if by_program:
                self.spoke(proxy)

    def spoke(self, proxy):
        """Its program ran after it took what it took last."""
        if proxy in self.held:
            self.sure[proxy] = self.held[proxy]

    def left(self, proxy):
        one, _ = self.held.pop(proxy, None), self.sure.pop(proxy, None)
        if one is not None:
            self.carried[self.host.relay(proxy)] = one

    def relays(self):
        """[(relay, version that it holds, whether that is the newest as far as its tables go, whether its program has said so)]"""
        found = []
        for proxy, one in sorted(self.held.items()):
            tables = self.host.bound(proxy).values()
            found.append(
                (
                    self.host.relay(proxy),
                    str(one),
                    all(self.since.get(str(table), one) <= one for table in tables),
                    self.sure.get(proxy) == one,
                )
            )
        return found

    # What operators want.

    def _old(self, number, name):
        """{table: {server: weight}} of one class in a version; hosts that were never listed here are out of it."""
        held, place = self.ledger.sheets_of(Number(*number)) or {}, self.classes.index(name)
        found = {}
        for table, sheet in held.items():
            if sheet["class"] == self.classes[place]:
                # Who is not known counts as weight that is not there any more.
                known = [
                    (self.host.number(host), weight) for host, weight in sheet["lines"].items()
                ]
                found[int(table)] = {
                    -1 - nth if server is None else server: weight
                    for nth, (server, weight) in enumerate(known)
                }
        return found

    def _hold_all(self):
        for place, name in enumerate(self.classes):
            hold = self.wishes.holds.get(name)
            if hold is None:
                self.holds.released(place)
            else:
                self.holds.held(place, hold, self._old(hold.number, name))

    def _named(self, classes):
        unknown = [name for name in classes if name not in self.classes]
        if unknown:
            raise RejectedError(f"{unknown[0]!r} is none of the classes {self.classes}")
        return list(classes) or list(self.classes)

    def _wished(self, author, text):
        self.author, self.way, self.always = author, text, True
        self.said = [text]
        self._hold_all()
        self._tell_wishes()
        self.settle("an operator's word")

    def _hears(self):
        if self.epoch is None:
            raise RejectedError("another controller is in charge, or the store can't be written")

    def _tell_wishes(self):
        document = self.wishes.document()
        self.host.keep([("wishes", document)])
        self.host.wishes_changed(document)

    def rollback(self, number, classes, author, reason):
        """Goes back to a version and holds it until released, for these classes or all. What was done, in words."""
        self._hears()
        names = self._named(classes)
        if self.ledger.sheets_of(Number(*number)) is None:
            raise RejectedError(f"version {Number(*number)} is not kept")
        new = self.wishes.rollback(number, names, author, reason, self.host.wall(), self.epoch)
        if not new:
            return f"held at {Number(*number)} already: nothing changes"
        self._wished(author, f"rollback of {', '.join(new)} to {Number(*number)}: {reason}")
        replaced = sorted(
            {
                f"{name} was held at {Number(*hold.number)} by {hold.author}"
                for name, hold in new.items()
                if hold
            }
        )
        return "; ".join(
            [f"{', '.join(new)} held at {Number(*number)}", *replaced, *self.overruled(new)]
        )

    def overruled(self, classes):
        """Tables of held classes that a rule keeps as they are today, in words."""
        found = {}
        for table, (place, *_) in self.now_there.items():
            why = self.holds.overruled.get(table)
            if why and self.classes[place] in classes:
                found.setdefault(why, []).append(str(table))
        return [
            f"tables {', '.join(tables)} stay today's: {why}"
            for why, tables in sorted(found.items())
        ]

    def release(self, classes, author, reason):
        self._hears()
        gone = self.wishes.release(self._named(classes), self.epoch)
        if not gone:
            return "nothing was held: nothing changes"
        self._wished(author, f"release of {', '.join(gone)}: {reason}")
        return f"{', '.join(gone)} released"

    def pin(self, number, on):
        self._hears()
        if on and Number(*number) not in self.ledger.versions:
            raise RejectedError(f"version {Number(*number)} is not kept")
        if self.wishes.pin(number, on, self.epoch):
            self._tell_wishes()
        return f"{Number(*number)} is {'' if on else 'not '}pinned"

    def wishes_copied(self, document):
        """Another controller's wishes; whether they are newer."""
        if not self.wishes.copied(document):
            return False
        self.host.keep([("wishes", document)])
        self._hold_all()
        return True

    # What the holds ask.

    def today(self):
        return {table: (place, lines) for table, (place, lines, _, _) in self.now_there.items()}

    def standing(self, server):
        return self.host.standing(server)

    def users(self, table):
        return self.host.users(table)

    def room(self):
        return self.host.room()

    def most(self):
        return self.host.most()

    def head(self):
        return self.host.head()

    def touch(self, table, servers):
        self.host.touch(table, servers)
