"""Startup from a stored endpoint list while its source is unavailable; free of I/O.

An entry of the cached list is used once its host has answered a health check of this planner. A
host that does not answer is left out, however recent the list, and is checked again later; if it
answers then, it is treated as newly started. Hosts that were draining stay draining without a
check, because a wrong drain costs little. Nothing is published before hosts with half of the cached
weight have answered, or all hosts have been checked: otherwise the first few hosts to answer would
receive all requests. Until then proxies continue with the tables they have.

A list from the source replaces the cached one at once, unless it is older than the cached one,
which can happen if the source was restored from an old copy. In that case the hosts that only the
older list names are health-checked too, and the cached list stays in use until a newer list
arrives.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from ..clock import SECOND
from .endpoint_list import HostEntry

LIST_TIMEOUT = 1 * SECOND  # time allowed for the source before the cached list is used
MAX_CONCURRENT_CHECKS = 32
CHECK_INTERVAL = SECOND // 4
RECHECK_INTERVAL = 5 * SECOND  # until a host that failed its check is checked again
QUORUM = 0.5  # share of the cached weight that must have answered before publishing
# The trust value that operators see halves in this time if hosts cannot be checked.
TRUST_HALF_LIFE = 24 * 3600 * SECOND
MAX_LOGGED_HOSTS = 20


class Environment(Protocol):
    """What `CachedEndpointList` needs from the program that runs it."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""

    def wall_clock(self) -> int:
        """Return the wall-clock time in microseconds since 1970."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` microseconds."""

    def check_cached_host(self, entry: HostEntry) -> None:
        """Check a host; its id is passed to `on_check_succeeded` or `on_check_failed`."""

    def use_cached_entries(self, entries: list[HostEntry], is_first: bool) -> None:
        """Use these entries, alone if `is_first`, otherwise in addition to those used before."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""


class CachedEndpointList:
    """Checks the hosts of a stored list and publishes those that answer until a newer list arrives.

    `record` is the stored {"hosts": [entry], "at": wall clock in microseconds, ..}. If
    `checks_enabled` is False, all entries are used without checks.
    """

    def __init__(
        self, environment: Environment, record: dict[str, Any], checks_enabled: bool = True
    ) -> None:
        self.environment = environment
        self.checks_enabled = checks_enabled
        self.superseded = False  # a newer list has arrived
        self._stored_at: int = record["at"]
        self._entries: dict[str, HostEntry] = {
            entry["id"]: dict(entry) for entry in record["hosts"] if entry["state"] != "gone"
        }
        self._responding: set[str] = set()
        self._failed_at: dict[str, int] = {}
        self._checks_in_progress: set[str] = set()
        self._published: set[str] | None = None  # None before the cached list is first used
        environment.call_later(LIST_TIMEOUT, self._start_checks)

    def on_check_succeeded(self, host_id: str) -> None:
        """Mark a host as answering."""
        self._checks_in_progress.discard(host_id)
        if self.superseded or host_id not in self._entries:
            return
        if host_id in self._failed_at:
            del self._failed_at[host_id]
            # The host was down a moment ago, so it has restarted, whatever the list says of its
            # start.
            self._entries[host_id]["started_ms"] = self.environment.wall_clock() // 1000
        self._responding.add(host_id)
        self._publish(without_quorum=False)
        self._check_next()

    def on_check_failed(self, host_id: str) -> None:
        """Mark a host that did not answer its check, or answered with an error."""
        self._checks_in_progress.discard(host_id)
        if self.superseded or host_id not in self._entries:
            return
        self._failed_at[host_id] = self.environment.now()
        self._publish(without_quorum=False)
        self._check_next()

    def on_newer_list(self, entries: dict[str, HostEntry]) -> None:
        """Stop using the cached list; `entries` of the newer list are by host id."""
        if self.superseded:
            return
        self.superseded = True
        if self._published is None:
            return  # the source answered before the cached list was used
        self.environment.log_event(
            "cached_list_superseded",
            more=len(entries.keys() - self._entries.keys()),
            fewer=len(self._entries.keys() - entries.keys()),
            **self.stats(),
        )

    def on_stale_list(self, entries: dict[str, HostEntry]) -> None:
        """Check the ready hosts that only a list older than the cached one names."""
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
        """Return how far the cached list is verified, from 0 to 1.

        This is the share of the list's weight whose hosts have answered. If hosts cannot be
        checked, it is a value that decays with the age of the list.
        """
        if not self.checks_enabled:
            return round(0.5 ** (self._age() / TRUST_HALF_LIFE), 3)
        ready_weight = self._total_weight(self._ready_ids())
        return (
            round(self._total_weight(self._responding) / ready_weight, 3) if ready_weight else 0.0
        )

    def stats(self) -> dict[str, Any]:
        """Return the figures that operators and the log are given."""
        return {
            "age_s": self._age() // SECOND,
            "named": len(self._entries),
            "answer": len(self._responding),
            "do_not": len(self._failed_at),
            "trust": self.trust(),
        }

    def _age(self) -> int:
        return max(0, self.environment.wall_clock() - self._stored_at)

    def _start_checks(self) -> None:
        if self.superseded:
            return
        self.environment.log_event("cached_list_checked", **self.stats())
        self._published = set()
        if not self.checks_enabled:
            self._responding = set(self._ready_ids())
            self._publish(without_quorum=True)
            return
        self._check_due()

    def _check_due(self) -> None:
        """Check hosts that are unchecked or failed long ago; repeats every CHECK_INTERVAL."""
        if self.superseded:
            return
        now = self.environment.now()
        due = [
            host_id
            for host_id in self._unverified()
            if now - self._failed_at.get(host_id, -RECHECK_INTERVAL) >= RECHECK_INTERVAL
        ]
        self._check(sorted(due, key=lambda host_id: (host_id in self._failed_at, host_id)))
        self.environment.call_later(CHECK_INTERVAL, self._check_due)

    def _check_next(self) -> None:
        """Check further hosts as soon as earlier checks have ended."""
        self._check(
            sorted(host_id for host_id in self._unverified() if host_id not in self._failed_at)
        )

    def _check(self, host_ids: list[str]) -> None:
        for host_id in host_ids[: MAX_CONCURRENT_CHECKS - len(self._checks_in_progress)]:
            self._checks_in_progress.add(host_id)
            self.environment.check_cached_host(self._entries[host_id])

    def _unverified(self) -> list[str]:
        return [
            host_id
            for host_id in self._ready_ids()
            if host_id not in self._responding and host_id not in self._checks_in_progress
        ]

    def _ready_ids(self) -> list[str]:
        return [host_id for host_id, entry in self._entries.items() if entry["state"] == "ready"]

    def _total_weight(self, host_ids: Iterable[str]) -> float:
        return sum(self._entries[host_id].get("weight", 1.0) for host_id in host_ids)

    def _publish(self, without_quorum: bool) -> None:
        published = self._published or set()
        if not published and not without_quorum and not self._has_quorum():
            return
        added = [self._entries[host_id] for host_id in sorted(self._responding - published)]
        if not published:
            draining = [entry for entry in self._entries.values() if entry["state"] == "draining"]
            self.environment.log_event("cached_list_used", **self.stats())
            self.environment.use_cached_entries(added + draining, True)
        elif added:
            self.environment.use_cached_entries(added, False)
        self._published = set(self._responding)

    def _has_quorum(self) -> bool:
        if not self._responding:
            return False
        ready = self._ready_ids()
        if len(self._responding) + len(self._failed_at) >= len(ready):
            return True  # every host has been checked
        return self._total_weight(self._responding) >= QUORUM * self._total_weight(ready)
