"""Starting without a list, free of I/O: how far the last list kept on disk may be gone by, and for how long.

What was kept is a belief. An entry counts once its host has answered an exchange of the planner's own; who does not answer is
left out, however young the list, and tried again; who answers after it had not is taken for one that has just started. Drains
that were known stay drained, unproved: believing them costs little. Nothing is published before half of the weight that was
kept has answered, or all have been tried: the first few to answer would be brought everybody's exchanges. Relays go on with
what they hold meanwhile.

A list from its keeper ends the belief at once, but for one that is older than what was kept: its keeper may have come back from
an old copy. Then what it names more is tried like the rest, and what was kept goes on counting until a list is newer.
"""

from typing import Protocol

SECOND = 1_000_000
PATIENCE = 1 * SECOND  # for the list itself, before anything is gone by
AT_ONCE = 32  # hosts that are tried at one time
AGAIN = 5 * SECOND  # until who did not answer is tried again
ENOUGH = 0.5  # of the weight that was kept
HALF_LIFE = (
    24 * 3600 * SECOND
)  # of trust by age alone: what is told to people, and for who can't be tried


class Environment(Protocol):
    """What a belief may ask of the program around it."""

    def now(self) -> int: ...

    def wall(self) -> int: ...

    def later(self, after: int, call) -> None: ...

    def prove(self, host: dict) -> None:
        """Try an exchange on this host; `proved` or `disproved` is called with its id."""

    def believed(self, hosts: list, fresh: bool) -> None:
        """Go by these entries: all there are (`fresh`), or changes of them."""

    def note(self, event: str, **facts) -> None: ...


class CachedEndpointList:
    """`kept`: {"hosts": [entry as a list has it], "at": wall clock in microseconds, ..}; `tries`: whether hosts may be tried."""

    def __init__(self, host, kept, tries=True):
        self.host, self.tries, self.kept_at = host, tries, kept["at"]
        self.entries = {
            entry["id"]: dict(entry) for entry in kept["hosts"] if entry["state"] != "gone"
        }
        self.there, self.missing, self.underway, self.told, self.over = (
            set(),
            {},
            set(),
            None,
            False,
        )
        host.later(PATIENCE, self._begin)

    def _begin(self):
        if self.over:
            return
        self.host.note("starting from the list that was kept", **self.figures())
        self.told = set()
        if not self.tries:
            # Nobody may be tried: its age is all there is to go by, and who drains.
            self.there = set(self._ready())
            self._publish(True)
            return
        self._turn()

    def _ready(self):
        return [name for name, entry in self.entries.items() if entry["state"] == "ready"]

    def _weight(self, names):
        return sum(self.entries[name].get("weight", 1.0) for name in names)

    def _turn(self):
        if self.over:
            return
        now = self.host.now()
        due = [
            name
            for name in self._ready()
            if name not in self.there
            and name not in self.underway
            and now - self.missing.get(name, -AGAIN) >= AGAIN
        ]
        for name in sorted(due, key=lambda name: (name in self.missing, name))[
            : AT_ONCE - len(self.underway)
        ]:
            self.underway.add(name)
            self.host.prove(self.entries[name])
        self.host.later(SECOND // 4, self._turn)

    def proved(self, name):
        self.underway.discard(name)
        if self.over or name not in self.entries:
            return
        if name in self.missing:
            del self.missing[name]
            # It was not there a moment ago: whatever the list says of its start, this is a new one.
            self.entries[name]["started_ms"] = self.host.wall() // 1000
        self.there.add(name)
        self._publish(False)
        self._more()

    def disproved(self, name):
        self.underway.discard(name)
        if self.over or name not in self.entries:
            return
        self.missing[name] = self.host.now()
        self._publish(False)
        self._more()

    def _more(self):
        """Those that wait for their turn are tried as soon as others have been."""
        untried = [
            name
            for name in self._ready()
            if name not in self.there and name not in self.missing and name not in self.underway
        ]
        for name in sorted(untried)[: AT_ONCE - len(self.underway)]:
            self.underway.add(name)
            self.host.prove(self.entries[name])

    def _publish(self, at_once):
        ready = self._ready()
        if not self.told and not at_once:
            tried = len(self.there) + len(self.missing) >= len(ready)
            if (
                not self.there
                or self._weight(self.there) < ENOUGH * self._weight(ready)
                and not tried
            ):
                return
        draining = [entry for entry in self.entries.values() if entry["state"] == "draining"]
        first = not self.told
        new = sorted(self.there - self.told)
        if first:
            self.host.note("going by the list that was kept", **self.figures())
            self.host.believed([self.entries[name] for name in new] + draining, True)
        elif new:
            self.host.believed([self.entries[name] for name in new], False)
        self.told = set(self.there)

    # What the list's keeper says after all.

    def listed(self, hosts):
        """A list that counts has come: {id: entry} of what it names."""
        if self.over:
            return
        self.over = True
        if self.told is None:
            return  # in time: nothing was gone by
        self.host.note(
            "the list has come",
            more=len(hosts.keys() - self.entries.keys()),
            fewer=len(self.entries.keys() - hosts.keys()),
            **self.figures(),
        )

    def older(self, hosts):
        """A list that is older than what was kept: {id: entry}. What it names more may be there: it is tried."""
        more = {
            name: entry
            for name, entry in hosts.items()
            if name not in self.entries and entry["state"] == "ready"
        }
        if more and not self.over:
            self.host.note(
                "a list older than the one that was kept names more", hosts=sorted(more)[:20]
            )
            self.entries.update((name, dict(entry)) for name, entry in more.items())

    # What people are told.

    def trust(self):
        """From 0 to 1: how much of the kept weight is proved, or where nothing is tried what its age leaves of it."""
        age = max(0, self.host.wall() - self.kept_at)
        ready = self._weight(self._ready())
        if not self.tries:
            return round(0.5 ** (age / HALF_LIFE), 3)
        return round(self._weight(self.there) / ready, 3) if ready else 0.0

    def figures(self):
        return {
            "age_s": max(0, self.host.wall() - self.kept_at) // SECOND,
            "named": len(self.entries),
            "answer": len(self.there),
            "do_not": len(self.missing),
            "trust": self.trust(),
        }
