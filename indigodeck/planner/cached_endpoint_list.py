"""Start without an endpoint list: how far the stored one may be used; free of I/O.

An entry of the cached list counts once its host has answered a health check of the planner's own. A
host that does not answer is left out, however young the list, and checked again; one that answers
after it had not is taken for one that has just started. Drains that were known stay drained,
unproved: believing them costs little. Nothing is published before half of the cached weight has
answered, or all hosts have been checked: the first few to answer would be brought everybody's
requests. Proxies go on with what they hold meanwhile.

A list from its source ends this at once, unless it is older than the cached one: its source may
have come back from an old copy. Then what it names beyond the cached list is checked like the rest,
and the cached list goes on counting until a list is newer.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from ..clock import SECOND
from .endpoint_list import Entry

LIST_TIMEOUT = 1 * SECOND  # for the list itself, before the cached one is used
MAX_CHECKS_AT_ONCE = 32
CHECK_INTERVAL = SECOND // 4
RECHECK_AFTER = 5 * SECOND  # until a host that did not answer is checked again
QUORUM = 0.5  # of the cached weight, before anything is published
# Of trust by age alone: what operators see, and for hosts that can't be checked.
TRUST_HALF_LIFE = 24 * 3600 * SECOND
MAX_LOGGED_HOSTS = 20


class Environment(Protocol):
    """What a cached list may ask of the program around it."""

    def now(self) -> int:
        """Return the time on a clock that never goes back."""

    def wall_clock(self) -> int:
        """Return the time of day, in microseconds since 1970."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call back after this time."""

    def check_cached_host(self, entry: Entry) -> None:
        """Check a host's health; `on_answer` or `on_no_answer` is called with its id."""

    def use_cached_entries(self, entries: list[Entry], is_first: bool) -> None:
        """Use these entries: all there are (`is_first`), or more of them."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the log."""


class CachedEndpointList:
    """Checks the hosts of a stored list, and has those that answer used until a newer list comes.

    `record` is {"hosts": [entry], "at": wall clock in microseconds, ..} as it was stored.
    `checks_enabled`: whether hosts may be checked; otherwise the list alone counts.
    """

    def __init__(
        self, environment: Environment, record: dict[str, Any], checks_enabled: bool = True
    ) -> None:
        self.environment = environment
        self.checks_enabled = checks_enabled
        self.superseded = False  # a newer list has come
        self._stored_at: int = record["at"]
        self._entries: dict[str, Entry] = {
            entry["id"]: dict(entry) for entry in record["hosts"] if entry["state"] != "gone"
        }
        self._answering: set[str] = set()
        self._silent_since: dict[str, int] = {}
        self._in_progress: set[str] = set()
        self._published: set[str] | None = None  # None: the cached list is not used yet
        environment.call_later(LIST_TIMEOUT, self._begin)

    def on_answer(self, host_id: str) -> None:
        """Take note that a host has answered its check."""
        self._in_progress.discard(host_id)
        if self.superseded or host_id not in self._entries:
            return
        if host_id in self._silent_since:
            del self._silent_since[host_id]
            # It was not there a moment ago: whatever the list says of its start, this is a new one.
            self._entries[host_id]["started_ms"] = self.environment.wall_clock() // 1000
        self._answering.add(host_id)
        self._publish(without_quorum=False)
        self._check_next()

    def on_no_answer(self, host_id: str) -> None:
        """Take note that a host did not answer its check, or with an error."""
        self._in_progress.discard(host_id)
        if self.superseded or host_id not in self._entries:
            return
        self._silent_since[host_id] = self.environment.now()
        self._publish(without_quorum=False)
        self._check_next()

    def on_list(self, entries: dict[str, Entry]) -> None:
        """End this: a list that counts has come from its source, by ids."""
        if self.superseded:
            return
        self.superseded = True
        if self._published is None:
            return  # in time: the cached list was never used
        self.environment.log_event(
            "cached_list_superseded",
            more=len(entries.keys() - self._entries.keys()),
            fewer=len(self._entries.keys() - entries.keys()),
            **self.figures(),
        )

    def on_stale_list(self, entries: dict[str, Entry]) -> None:
        """Have checked what a list that is older than the cached one names beyond it."""
        added = {
            host_id: entry
            for host_id, entry in entries.items()
            if host_id not in self._entries and entry["state"] == "ready"
        }
        if not added or self.superseded:
            return
        self.environment.log_event("stale_list_names_more", hosts=sorted(added)[:MAX_LOGGED_HOSTS])
        self._entries.update((host_id, dict(entry)) for host_id, entry in added.items())

    def trust(self) -> float:
        """Return how far the cached list is proved, from 0 to 1.

        That is the share of its weight that answers, or what its age leaves where nothing is
        checked.
        """
        if not self.checks_enabled:
            return round(0.5 ** (self._age() / TRUST_HALF_LIFE), 3)
        ready_weight = self._weight(self._ready())
        return round(self._weight(self._answering) / ready_weight, 3) if ready_weight else 0.0

    def figures(self) -> dict[str, Any]:
        """Return the figures for operators and the log."""
        return {
            "age_s": self._age() // SECOND,
            "named": len(self._entries),
            "answer": len(self._answering),
            "do_not": len(self._silent_since),
            "trust": self.trust(),
        }

    def _age(self) -> int:
        return max(0, self.environment.wall_clock() - self._stored_at)

    def _begin(self) -> None:
        if self.superseded:
            return
        self.environment.log_event("cached_list_checked", **self.figures())
        self._published = set()
        if not self.checks_enabled:
            self._answering = set(self._ready())
            self._publish(without_quorum=True)
            return
        self._check_due()

    def _check_due(self) -> None:
        """Check who was not yet, and who has long been silent; again after CHECK_INTERVAL."""
        if self.superseded:
            return
        now = self.environment.now()
        due = [
            host_id
            for host_id in self._unproved()
            if now - self._silent_since.get(host_id, -RECHECK_AFTER) >= RECHECK_AFTER
        ]
        self._check(sorted(due, key=lambda host_id: (host_id in self._silent_since, host_id)))
        self.environment.call_later(CHECK_INTERVAL, self._check_due)

    def _check_next(self) -> None:
        """Check hosts that wait for their turn as soon as others have been."""
        self._check(
            sorted(host_id for host_id in self._unproved() if host_id not in self._silent_since)
        )

    def _check(self, host_ids: list[str]) -> None:
        for host_id in host_ids[: MAX_CHECKS_AT_ONCE - len(self._in_progress)]:
            self._in_progress.add(host_id)
            self.environment.check_cached_host(self._entries[host_id])

    def _unproved(self) -> list[str]:
        return [
            host_id
            for host_id in self._ready()
            if host_id not in self._answering and host_id not in self._in_progress
        ]

    def _ready(self) -> list[str]:
        return [host_id for host_id, entry in self._entries.items() if entry["state"] == "ready"]

    def _weight(self, host_ids: Iterable[str]) -> float:
        return sum(self._entries[host_id].get("weight", 1.0) for host_id in host_ids)

    def _publish(self, without_quorum: bool) -> None:
        already_used = self._published or set()
        if not already_used and not without_quorum and not self._has_quorum():
            return
        added = [self._entries[host_id] for host_id in sorted(self._answering - already_used)]
        if not already_used:
            draining = [entry for entry in self._entries.values() if entry["state"] == "draining"]
            self.environment.log_event("cached_list_used", **self.figures())
            self.environment.use_cached_entries(added + draining, True)
        elif added:
            self.environment.use_cached_entries(added, False)
        self._published = set(self._answering)

    def _has_quorum(self) -> bool:
        if not self._answering:
            return False
        ready = self._ready()
        if len(self._answering) + len(self._silent_since) >= len(ready):
            return True  # all have been checked
        return self._weight(self._answering) >= QUORUM * self._weight(ready)
