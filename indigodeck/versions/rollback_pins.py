"""An old version and today's fleet brought together, free of I/O: what is published while a rollback holds.

A rollback is an operator's word against the assigner's judgement, not against the rules. While it holds:

- who drains, is gone or is not listed as ready takes nothing, whatever the old table says;
- a cold server gets no larger a part of a table than the assigner gives it today (which guards it over all tables);
- a table of which less than half the weight is left, or nobody warm, is today's: a class must not go bare, nor press on
  the few that are left.

Levels and further tries stay the assigner's: they protect servers from what is brought now.

The way there and back is paced: a table at a time, as the channel's queue has room. What a rule takes away is taken at once.
"""

from typing import NamedTuple, Protocol

LEFT_LEAST = 0.5  # part of an old table's weight that must be there still
PART = 0.4  # of the lines that may wait: what a rollback fills
OUT, COLD, WARM = "out", "cold", "warm"


class Environment(Protocol):
    """What holds may ask of the program around them. Servers are indices here."""

    def today(self) -> dict:
        """{table: (class's place, {server: weight})} as the assigner has them now."""

    def standing(self, server: int) -> str:
        """OUT, COLD or WARM."""

    def users(self, table: int) -> int:
        """Relays that are bound to a table."""

    def room(self) -> float:
        """Lines that may wait, less those that do."""

    def head(self) -> int:
        """Lines that a message's head counts as."""

    def touch(self, table: int, servers) -> None:
        """These lines of a table have changed for all that are bound to it."""

    def most(self) -> int:
        """Lines that may wait."""


class Hold(NamedTuple):
    """`number`: the version that was gone back to; `serial`: of the operator's word, which only grows."""

    number: tuple
    author: str
    reason: str
    at: int
    serial: int


def brought_together(old, today, standing):
    """(lines, None) of an old table as far as it may serve today, or (today's lines, why it may not). `standing(server)`."""
    warm = {server: weight for server, weight in old.items() if standing(server) == WARM}
    if not warm:
        # Where all are cold, today's parts are guarded over all tables.
        return today, "nobody of it is warm"
    total, level, lines = sum(today.values()), sum(warm.values()), {}
    for server, weight in old.items():
        if standing(server) == COLD:
            # Of the warm ones' weight alone, so that no cold one adds to what another may have.
            weight = min(weight, level * today.get(server, 0.0) / total if total else 0.0)
        if standing(server) != OUT and weight > 0:
            lines[server] = weight
    if sum(lines.values()) < LEFT_LEAST * sum(old.values()):
        return today, "too little of it is left"
    return lines, None


class RollbackPins:
    """`by_place`: {class's place: Hold}; `old`: {class's place: {table: {server: weight}}}; `lines`: {table: {server: weight}} of
    those that differ from today's.
    """

    def __init__(self, host):
        self.host, self.by_place, self.old, self.lines, self.overruled = host, {}, {}, {}, {}

    def lines_of(self, table, today):
        return self.lines.get(table, today)

    def held(self, place, hold, old):
        self.by_place[place], self.old[place] = hold, old

    def released(self, place):
        self.by_place.pop(place, None)
        self.old.pop(place, None)

    def waiting(self):
        """Tables that are on their way to what they should hold."""
        return [
            table
            for table, (place, today) in self.host.today().items()
            if self._wanted(table, place, today)[0] != self.lines_of(table, today)
        ]

    def _wanted(self, table, place, today):
        old = self.old.get(place, {}).get(table)
        if old is None:
            return today, "it was not there" if place in self.old else None
        return brought_together(old, today, self.host.standing)

    def settle(self):
        """Brings tables nearer to what they should hold, as the channel has room."""
        if not self.old and not self.lines:
            return
        now = self.host.today()
        for table in self.lines.keys() - now.keys():
            del self.lines[table]
        room, spent = self.host.room() - (1 - PART) * self.host.most(), 0
        for table, (place, today) in sorted(now.items()):
            want, why = self._wanted(table, place, today)
            self.overruled[table] = why
            have = self.lines.get(table, today)
            if table not in self.lines and want == today:
                continue
            differing = [
                server
                for server in have.keys() | want.keys()
                if have.get(server) != want.get(server)
            ]
            cost = self.host.users(table) * (len(differing) + self.host.head())
            if (
                differing
                and not self._pressing(have, want)
                and spent + cost > max(room, 0)
                and (spent or room < self.host.most() * PART)
            ):
                # Until its turn comes it goes on as it is: with what it had when others changed, not with what they have.
                self.lines[table] = have
                continue
            spent += cost
            if want == today:
                self.lines.pop(table, None)
            else:
                self.lines[table] = want
            if differing:
                self.host.touch(table, sorted(differing))

    def _pressing(self, have, want):
        """Whether a rule takes something away from a table as it is."""
        return any(
            self.host.standing(server) != WARM and want.get(server, 0.0) < weight
            for server, weight in have.items()
        )
