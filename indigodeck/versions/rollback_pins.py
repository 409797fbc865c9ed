"""Classes pinned to an old version, free of I/O: what is published while a rollback holds.

A rollback overrules the assigner's judgement, but not the safety rules. While it holds:

- a server that drains, is gone or is not listed as ready gets no weight, whatever the old table
  says;
- a cold server gets no larger a share of a table than the assigner gives it today (which guards it
  over all tables);
- a table of which less than half the weight is left, or no warm server, stays as the assigner has
  it: a class must not be left without servers, nor press on the few that are left.

Admission and retry policy stay the assigner's: they protect servers from today's load.

The way there and back is paced: one table at a time, as the channel's queue has room. What a rule
takes away is taken at once.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

from .model import AssignedTable, ServerReadiness

MIN_REMAINING_SHARE = 0.5  # of an old table's weight, below which the table stays the assigner's
MAX_QUEUE_SHARE = 0.4  # of the lines that may wait, which a rollback may fill

Weights = Mapping[int, float]


class RollbackPinsHost(Protocol):
    """What rollback pins ask of the program around them. Servers are indices here."""

    def readiness(self, server: int) -> ServerReadiness:
        """Return how far a server may serve from an old table."""

    def assigned_proxy_count(self, table: int) -> int:
        """Return how many proxies are on a table."""

    def free_lines(self) -> float:
        """Return the lines that may wait in the channel's queue, less those that do."""

    def max_waiting_lines(self) -> float:
        """Return the lines that may wait in the channel's queue."""

    def message_overhead_lines(self) -> float:
        """Return the lines that a message's head counts as."""

    def mark_changed(self, table: int, servers: Iterable[int]) -> None:
        """Send these lines of a table to all proxies on it."""


class PinnedTable(NamedTuple):
    """The weights that a table should have, and why they are not the old ones, if so."""

    weights: Weights
    override_reason: str | None


def pinned_table(
    old: Weights, assigned: Weights, readiness: Callable[[int], ServerReadiness]
) -> PinnedTable:
    """Return an old table as far as the rules let it serve today, or else the assigned one."""
    warm = {
        server: weight
        for server, weight in old.items()
        if readiness(server) is ServerReadiness.WARM
    }
    if not warm:
        # Where all are cold, the assigned shares are guarded over all tables.
        return PinnedTable(assigned, "nobody of it is warm")
    assigned_total = sum(assigned.values())
    warm_total = sum(warm.values())
    weights: dict[int, float] = {}
    for server, weight in old.items():
        state = readiness(server)
        if state is ServerReadiness.COLD:
            # Of the warm ones' weight alone, so that no cold one adds to what another may have.
            share = assigned.get(server, 0.0)
            cap = warm_total * share / assigned_total if assigned_total else 0.0
            weight = min(weight, cap)
        if state is not ServerReadiness.UNAVAILABLE and weight > 0:
            weights[server] = weight
    if sum(weights.values()) < MIN_REMAINING_SHARE * sum(old.values()):
        return PinnedTable(assigned, "too little of it is left")
    return PinnedTable(weights, None)


class RollbackPins:
    """The classes that are pinned, and the tables that are published otherwise than assigned.

    Attributes
    ----------
    published_weights
        By table, the weights that are published where they differ from the assigned ones.
    override_reasons
        By table, why a rule keeps it as assigned; None where none does.
    """

    def __init__(self, host: RollbackPinsHost):
        self.published_weights: dict[int, Weights] = {}
        self.override_reasons: dict[int, str | None] = {}
        self._host = host
        # By class index, the tables of the version that the class is pinned to.
        self._old_tables: dict[int, dict[int, Weights]] = {}

    def is_active(self) -> bool:
        """Return whether a class is pinned, or a table still on its way back."""
        return bool(self._old_tables or self.published_weights)

    def weights_of(self, table: int, assigned: Weights) -> Weights:
        """Return the weights of a table as they are published."""
        return self.published_weights.get(table, assigned)

    def pin(self, class_index: int, old_tables: dict[int, Weights]) -> None:
        """Pin a class to these tables."""
        self._old_tables[class_index] = old_tables

    def unpin(self, class_index: int) -> None:
        """Let a class follow the assigner again."""
        self._old_tables.pop(class_index, None)

    def has_pending_tables(self, assigned_tables: Mapping[int, AssignedTable]) -> bool:
        """Return whether a table is still on its way to what it should be."""
        return any(
            self._target(table, assigned).weights != self.weights_of(table, assigned.weights)
            for table, assigned in assigned_tables.items()
        )

    def update(self, assigned_tables: Mapping[int, AssignedTable]) -> None:
        """Bring tables nearer to what they should be, as the channel's queue has room."""
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
            # Until its turn comes it goes on with what it had when others changed, not with
            # what they have.
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
            return PinnedTable(assigned.weights, "it was not there")
        return pinned_table(old, assigned.weights, self._host.readiness)

    def _is_urgent(self, published: Weights, target: Weights) -> bool:
        """Return whether a rule takes weight away from a table as it is published."""
        return any(
            self._host.readiness(server) is not ServerReadiness.WARM
            and target.get(server, 0.0) < weight
            for server, weight in published.items()
        )


class _LineBudget:
    """The lines that one update may send.

    An empty queue takes its first table however long that is, so that the longest gets its turn.
    """

    def __init__(self, host: RollbackPinsHost):
        max_waiting_lines = host.max_waiting_lines()
        self.spent = 0.0
        self._available = host.free_lines() - (1 - MAX_QUEUE_SHARE) * max_waiting_lines
        self._queue_is_empty = self._available >= max_waiting_lines * MAX_QUEUE_SHARE

    def allows(self, cost: float) -> bool:
        """Return whether so many lines more may be sent now."""
        if self.spent + cost <= max(self._available, 0):
            return True
        return self._queue_is_empty and not self.spent
