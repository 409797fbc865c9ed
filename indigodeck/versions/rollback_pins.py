"""Rollback of traffic classes to an earlier version, without I/O: the weights to publish meanwhile.

The old table of a class is its table in the version that the class is pinned to. A rollback
overrides the assigner's decisions, but not the safety rules. While a class is pinned:

- A server that is draining, removed, or not listed as ready gets no weight, even if the old table
  has weight for it.
- A cold server gets no larger share of a table than the assigner currently gives it, since the
  assigner limits the load of cold servers over all tables.
- If less than half of the old table's weight remains, or no warm server, the assigned table is
  published. Otherwise the class might have no servers, or overload the few that remain.

Admission and retry policy are always the assigner's, because they protect servers from the current
load.

Changes to and from the old tables are rate-limited: one table at a time, as the channel's queue has
room. Weight that a safety rule removes is removed at once.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

from .model import AssignedTable, ServerReadiness

MIN_REMAINING_SHARE = 0.5  # of an old table's weight; below it the assigned table is published
MAX_QUEUE_SHARE = 0.4  # of the channel's queue, in lines, that a rollback may fill

Weights = Mapping[int, float]


class RollbackPinsHost(Protocol):
    """The environment of `RollbackPins`. Servers are identified by indices."""

    def readiness(self, server: int) -> ServerReadiness:
        """Return whether a server may get weight from an old table."""

    def assigned_proxy_count(self, table: int) -> int:
        """Return how many proxies are assigned to a table."""

    def free_lines(self) -> float:
        """Return how many more lines may be queued in the channel."""

    def max_waiting_lines(self) -> float:
        """Return how many lines may be queued in the channel in total."""

    def message_overhead_lines(self) -> float:
        """Return the number of lines that a message's header counts as."""

    def mark_changed(self, table: int, servers: Iterable[int]) -> None:
        """Queue these lines of a table for all proxies that are assigned to it."""


class PinnedTable(NamedTuple):
    """The weights that a table should have, and the reason if they are not the old ones."""

    weights: Weights
    override_reason: str | None


def pinned_table(
    old: Weights, assigned: Weights, readiness: Callable[[int], ServerReadiness]
) -> PinnedTable:
    """Return an old table with the safety rules applied, or the assigned table and the reason."""
    warm = {
        server: weight
        for server, weight in old.items()
        if readiness(server) is ServerReadiness.WARM
    }
    if not warm:
        # If all are cold, use the assigned shares, which limit their load over all tables.
        return PinnedTable(assigned, "no server of the old table is warm")
    assigned_total = sum(assigned.values())
    warm_total = sum(warm.values())
    weights: dict[int, float] = {}
    for server, weight in old.items():
        state = readiness(server)
        if state is ServerReadiness.COLD:
            # Relative to the warm servers' weight only, so that no cold server raises the limit
            # of another.
            share = assigned.get(server, 0.0)
            cap = warm_total * share / assigned_total if assigned_total else 0.0
            weight = min(weight, cap)
        if state is not ServerReadiness.UNAVAILABLE and weight > 0:
            weights[server] = weight
    if sum(weights.values()) < MIN_REMAINING_SHARE * sum(old.values()):
        return PinnedTable(assigned, "too little of the old weight remains")
    return PinnedTable(weights, None)


class RollbackPins:
    """The pinned classes, and the tables whose published weights differ from the assigned ones.

    Attributes
    ----------
    published_weights
        By table, the published weights if they differ from the assigned ones.
    override_reasons
        By table, why a safety rule keeps it as assigned; None if no rule does.
    """

    def __init__(self, host: RollbackPinsHost):
        self.published_weights: dict[int, Weights] = {}
        self.override_reasons: dict[int, str | None] = {}
        self._host = host
        # By class index, the tables of the version that the class is pinned to.
        self._old_tables: dict[int, dict[int, Weights]] = {}

    def is_active(self) -> bool:
        """Return whether a class is pinned, or a table has not returned to the assigned weights."""
        return bool(self._old_tables or self.published_weights)

    def weights_of(self, table: int, assigned: Weights) -> Weights:
        """Return the published weights of a table, given the assigned ones."""
        return self.published_weights.get(table, assigned)

    def pin(self, class_index: int, old_tables: dict[int, Weights]) -> None:
        """Pin a class to these tables."""
        self._old_tables[class_index] = old_tables

    def unpin(self, class_index: int) -> None:
        """Unpin a class: its tables follow the assigner again."""
        self._old_tables.pop(class_index, None)

    def has_pending_tables(self, assigned_tables: Mapping[int, AssignedTable]) -> bool:
        """Return whether the published weights of any table differ from its target."""
        return any(
            self._target(table, assigned).weights != self.weights_of(table, assigned.weights)
            for table, assigned in assigned_tables.items()
        )

    def update(self, assigned_tables: Mapping[int, AssignedTable]) -> None:
        """Change published weights toward their targets, as far as the channel's queue has room."""
        if not self.is_active():
            return
        for table in self.published_weights.keys() - assigned_tables.keys():
            del self.published_weights[table]
        budget = _LineBudget(self._host)
        for table, assigned in sorted(assigned_tables.items()):
            self._update_table(table, assigned, budget)

    def _update_table(self, table: int, assigned: AssignedTable, budget: "_LineBudget") -> None:
        target, reason = self._target(table, assigned)
        self.override_reasons[table] = reason
        published = self.weights_of(table, assigned.weights)
        if table not in self.published_weights and target == assigned.weights:
            return
        differing = [
            server
            for server in published.keys() | target.keys()
            if published.get(server) != target.get(server)
        ]
        cost = self._host.assigned_proxy_count(table) * (
            len(differing) + self._host.message_overhead_lines()
        )
        if differing and not self._is_urgent(published, target) and not budget.allows(cost):
            # Until the queue has room for it, the table keeps its published weights, and does not
            # change along with the tables that are sent before it.
            self.published_weights[table] = published
            return
        budget.spent += cost
        if target == assigned.weights:
            self.published_weights.pop(table, None)
        else:
            self.published_weights[table] = target
        if differing:
            self._host.mark_changed(table, sorted(differing))

    def _target(self, table: int, assigned: AssignedTable) -> PinnedTable:
        old_tables = self._old_tables.get(assigned.class_index)
        if old_tables is None:
            return PinnedTable(assigned.weights, None)
        old = old_tables.get(table)
        if old is None:
            return PinnedTable(assigned.weights, "the version has no such table")
        return pinned_table(old, assigned.weights, self._host.readiness)

    def _is_urgent(self, published: Weights, target: Weights) -> bool:
        """Return whether a safety rule removes weight from the published table."""
        return any(
            self._host.readiness(server) is not ServerReadiness.WARM
            and target.get(server, 0.0) < weight
            for server, weight in published.items()
        )


class _LineBudget:
    """The number of lines that one update may send.

    The first table is always allowed if the queue is empty, so that even the longest table is sent
    eventually.
    """

    def __init__(self, host: RollbackPinsHost):
        max_waiting_lines = host.max_waiting_lines()
        self.spent = 0.0
        self._available = host.free_lines() - (1 - MAX_QUEUE_SHARE) * max_waiting_lines
        self._queue_is_empty = self._available >= max_waiting_lines * MAX_QUEUE_SHARE

    def allows(self, cost: float) -> bool:
        """Return whether this many more lines may be sent."""
        if self.spent + cost <= max(self._available, 0):
            return True
        return self._queue_is_empty and not self.spent
