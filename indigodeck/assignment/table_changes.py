"""Table changes: how the tables that proxies should have differ from those published to them."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from .admission import AdmissionLevels
from .interface import Server
from .state import AssignerState
from .tables import Table

MIN_WEIGHT_CHANGE = 0.1  # of the larger weight; smaller changes are not sent
MIN_LEVEL_CHANGE = 0.03
WEIGHT_DECIMALS = 4
LEVEL_ENTRY = -1  # stands in for the server in a change of a table's level
LEVEL_CHANGE_SIZE = 9e9  # sorts a change of level before all changes of weight


class TableChange(NamedTuple):
    """A table line to send; changes are sent in the order of the first four fields."""

    deferrable: bool  # no rule requires it, so it may wait
    negative_size: float
    table_number: int
    server: int  # or LEVEL_ENTRY
    value: float
    table: Table

    def precedes_joining(self, ready: Mapping[int, Server]) -> bool:
        """Return whether proxies that wait for their tables have to wait for this change too.

        It keeps servers from overload, or belongs to a table without any server to use.
        """
        limits_load = not self.deferrable and (self.server == LEVEL_ENTRY or self.server in ready)
        return limits_load or ready.keys().isdisjoint(self.table.published_weights)


def table_changes(
    state: AssignerState, admission: AdmissionLevels, ready: Mapping[int, Server]
) -> Iterator[TableChange]:
    """Yield the changes of all tables, in no particular order."""
    for table in state.tables:
        yield from _weight_changes(state, table, ready)
        level = min(table.cold_level, admission.level(table))
        if _level_differs(level, table.published_level):
            deferrable = level >= (table.published_level or 0)
            yield TableChange(
                deferrable, -LEVEL_CHANGE_SIZE, table.number, LEVEL_ENTRY, level, table
            )


def _weight_changes(
    state: AssignerState, table: Table, ready: Mapping[int, Server]
) -> Iterator[TableChange]:
    now = state.host.now()
    published = table.published_weights
    target = table.target_weights
    for server in published.keys() | target.keys():
        old = published.get(server, 0.0)
        new = round(target.get(server, 0.0), WEIGHT_DECIMALS)
        if abs(new - old) <= MIN_WEIGHT_CHANGE * max(new, old):
            continue
        cold = server in ready and now - ready[server].started < state.settings.warm_up_time
        deferrable = server in ready and not (cold and new < old)
        yield TableChange(deferrable, -abs(new - old), table.number, server, new, table)


def _level_differs(level: float, published: float | None) -> bool:
    if published is None or abs(level - published) > MIN_LEVEL_CHANGE:
        return True
    return level == 1.0 and published != 1.0
