"""Shards: the random combination of servers that serves each table (see docs/design.md).

The size of a shard follows its class's share of the demand. A shard is drawn at random once, with
a limited overlap with other shards; afterwards single members are replaced, added or removed while
the others stay.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..clock import SECOND
from .admission import AdmissionLevels
from .interface import Server
from .shard_draws import MIN_SHARD_SIZE, ZoneTarget, draw_shard, fill_shard
from .state import AssignerState
from .tables import EPSILON, ServerSubset, Table, total_weight

SHARD_SIZE_FACTOR = 3.0  # a shard's share of the listed weight over its class's share of demand
GROUPED_SHARD_SIZE_FACTOR = 2.0  # for proxy groups whose proxies do not avoid failing servers
RESIZE_INTERVAL = 10 * SECOND  # minimum time between changes of size, which close connections
RESIZE_THRESHOLD = 0.08  # change of a class's share of demand
SURPLUS_REMOVAL_INTERVAL = RESIZE_INTERVAL // 4
# Planned load from zone-bound shards, over the mean load of the fleet, above which other shards
# drop a server, and below which they may take it again.
HOT_LOAD_RATIO = 1.15
COOL_LOAD_RATIO = 0.95
# Number of steps for the share of remote servers. Demand is never steady, so without steps this
# share would change all the time.
REMOTE_SHARE_STEPS = 8
NEGLIGIBLE_LOAD = 1e-6  # requests per second


@dataclass(slots=True)
class _UpdateContext:
    """Sums over all tables, computed once per update.

    With hundreds of tables, computing them again for each table would take too long. `loads` are
    the planned requests per second of each server, `zone_bound_loads` those of zone-bound tables
    only. `mean_load` is for one unit of weight.
    """

    now: int
    rates: Mapping[int, float]
    fleet_weight: float
    mean_load: float = 0.0
    loads: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    zone_bound_loads: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    class_rates: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    admitted_rates: defaultdict[tuple[int | None, bool], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    pools: dict[tuple[int, int | None], dict[int, Server]] = field(default_factory=dict)
    zone_splits: dict[tuple[int, int], tuple[ServerSubset, ServerSubset]] = field(
        default_factory=dict
    )


class ShardPlanner:
    """Draws and maintains the shards; only this class changes the `members` of a table.

    `class_shares` are the classes' shares of demand by which shards are currently sized.
    """

    def __init__(self, state: AssignerState, admission: AdmissionLevels) -> None:
        self.state = state
        self.admission = admission
        self.class_shares: dict[int, float] = {}
        self.shares_updated_at = 0

    def resume(self, published: Mapping[int, Sequence[int]]) -> None:
        """Start from the shards, by table number, that were published before this planner started.

        That was by an earlier process, or by the planner that this one takes over from.
        """
        for table in self.state.tables:
            table.members = list(published.get(table.number, ()))
            table.drawn = table.number in published

    def eligible_servers(self, table: Table) -> dict[int, Server]:
        """Return the servers that a table's shard may contain.

        If more than half of the weight is ejected, ejected servers are eligible too: the few
        others would be overloaded and ejected next.
        """
        ready = self.state.ready_servers(table.zone if table.zone_bound else None)
        respect_ejections = not self.admission.fleet.is_saturated()
        health = self.state.health
        eligible = {
            index: server
            for index, server in ready.items()
            if not health[index].fully_ejected
            and not (respect_ejections and table.class_index in health[index].ejected_classes)
        }
        enough = 2 * total_weight(eligible.values()) >= total_weight(ready.values())
        return eligible if enough else ready

    def has_substitute(self, server: int, class_index: int) -> bool:
        """Return whether another server in the zone could replace a server in a shard of the class.

        For a table that serves all zones, a server of any zone will do.
        """
        return any(
            server in table.members
            and table.in_zone(self.eligible_servers(table)).keys() - set(table.members)
            for table in self.state.tables
            if table.class_index == class_index
        )

    def update_class_shares(self) -> None:
        """Adopt the classes' current shares of demand, if one has changed enough."""
        now = self.state.host.now()
        shares = self.admission.demand_shares
        largest_change = max(
            abs(shares[class_index] - self.class_shares.get(class_index, 0))
            for class_index in self.state.class_order
        )
        due = largest_change > RESIZE_THRESHOLD and now - self.shares_updated_at > RESIZE_INTERVAL
        if not self.class_shares or due:
            self.class_shares = shares
            self.shares_updated_at = now

    def update(self, rates: Mapping[int, float]) -> None:
        """Update all shards for the current servers, their health and the planned rates."""
        context = self._new_context(rates)
        for table in self.state.tables:
            self._update_table(table, context)
        self._use_all_servers(context)

    def _new_context(self, rates: Mapping[int, float]) -> _UpdateContext:
        fleet_weight = total_weight(self.state.ready_servers().values())
        context = _UpdateContext(self.state.host.now(), rates, fleet_weight)
        for table in self.state.tables:
            self._add_load(table, rates, context.loads)
            if table.zone_bound:
                self._add_load(table, rates, context.zone_bound_loads)
            context.class_rates[table.class_index] += rates[table.number]
            admitted_rate = self.admission.admitted_rate(table, rates)
            context.admitted_rates[table.zone, table.zone_bound] += admitted_rate
        total_rate = sum(self.admission.admitted_rate(table, rates) for table in self.state.tables)
        context.mean_load = total_rate / max(EPSILON, fleet_weight)
        return context

    def _add_load(
        self, table: Table, rates: Mapping[int, float], loads: dict[int, float], sign: int = 1
    ) -> None:
        """Add a shard's planned load to its servers by listed weight; with `sign` -1, remove it."""
        servers = self.state.servers
        members = [servers[member] for member in table.members if member in servers]
        rate = (
            sign * self.admission.admitted_rate(table, rates) / max(EPSILON, total_weight(members))
        )
        for server in members:
            loads[server.index] += rate * server.weight

    def _update_table(self, table: Table, context: _UpdateContext) -> None:
        pool_key = _pool_key(table)
        pool = context.pools.get(pool_key) or self.eligible_servers(table)
        context.pools[pool_key] = pool
        if not pool:
            table.members = []
            return
        loads = context.loads
        self._add_load(table, context.rates, loads, -1)
        if table.zone is None:
            pool = _without_hot_servers(table, pool, context)
        zone_targets = self._zone_targets(table, pool, context)
        if not table.drawn:
            table.members = draw_shard(table, self.state.tables, pool, zone_targets, loads)
            table.drawn = True
        table.members = [member for member in table.members if member in pool]
        fill_shard(table, table.members, zone_targets, loads)
        if context.now - table.resized_at > SURPLUS_REMOVAL_INTERVAL:
            for zone_target in zone_targets:
                _remove_surplus(table, zone_target, pool, context)
        self._add_load(table, context.rates, loads)

    def _zone_targets(
        self, table: Table, pool: dict[int, Server], context: _UpdateContext
    ) -> tuple[ZoneTarget, ZoneTarget]:
        """Return the targets for local servers (the table's zone) and for remote servers.

        Remote servers get the load above what local servers take at the mean load of the fleet.
        """
        local, remote = self._split_by_zone(table, pool, context)
        needed = self._needed_weight(table, local, remote, context)
        local_share = self._local_share(table, local, remote, context)
        return (
            ZoneTarget(local.servers, local.weight, needed * local_share),
            ZoneTarget(remote.servers, remote.weight, needed * (1 - local_share)),
        )

    def _local_share(
        self, table: Table, local: ServerSubset, remote: ServerSubset, context: _UpdateContext
    ) -> float:
        """Return the share of a table's load for local servers, rounded to steps.

        Without eligible remote servers, local ones take the whole load, even if that is above the
        mean of the fleet: the mean also counts ejected servers, which take none.
        """
        if not remote.servers:
            return 1.0
        zone_bound_rate = context.admitted_rates[table.zone, True]
        unbound_rate = max(EPSILON, context.admitted_rates[table.zone, False])
        share = (context.mean_load * local.weight - zone_bound_rate) / unbound_rate
        return round(max(0.0, min(1.0, share)) * REMOTE_SHARE_STEPS) / REMOTE_SHARE_STEPS

    def _split_by_zone(
        self, table: Table, pool: dict[int, Server], context: _UpdateContext
    ) -> tuple[ServerSubset, ServerSubset]:
        if table.zone is None:
            return table.split_by_zone(pool)
        split_key = table.class_index, table.zone
        split = context.zone_splits.get(split_key)
        if split is None:
            split = context.zone_splits[split_key] = table.split_by_zone(pool)
        return split

    def _needed_weight(
        self, table: Table, local: ServerSubset, remote: ServerSubset, context: _UpdateContext
    ) -> float:
        available_weight = local.weight if table.zone_bound else local.weight + remote.weight
        if self.admission.fleet.is_saturated() and self.state.group_count == 1:
            # The fleet is too busy to keep classes on separate servers: some would be idle while
            # others are overloaded.
            return available_weight
        class_rate = max(EPSILON, context.class_rates[table.class_index])
        share = self.class_shares[table.class_index] * context.rates[table.number] / class_rate
        # Larger shards spread load more evenly. Where proxies cannot avoid a failing server
        # themselves, smaller shards limit a failure to fewer proxy groups.
        factor = SHARD_SIZE_FACTOR
        if self.state.grouped and not self.state.settings.proxy_failure_limit:
            factor = GROUPED_SHARD_SIZE_FACTOR
        base_weight = context.fleet_weight if table.zone is not None else available_weight
        return min(available_weight, factor * share * base_weight)

    def _use_all_servers(self, context: _UpdateContext) -> None:
        """Add each server that is in no shard to the shard with the highest load per weight."""
        used = set().union(*(table.members for table in self.state.tables))
        unused = [
            server for index, server in self.state.ready_servers().items() if index not in used
        ]
        for server in sorted(unused, key=lambda server: server.stable_id):
            tables = [
                table
                for table in self.state.tables
                if server.index in context.pools[_pool_key(table)]
            ]
            if tables:
                most_loaded = max(tables, key=lambda table: self._load_rank(table, server, context))
                most_loaded.members.append(server.index)

    def _load_rank(
        self, table: Table, server: Server, context: _UpdateContext
    ) -> tuple[bool, float]:
        weight = total_weight(self.state.servers[member] for member in table.members)
        rate = self.admission.admitted_rate(table, context.rates)
        return table.zone in (None, server.zone), rate / max(EPSILON, weight)


def _pool_key(table: Table) -> tuple[int, int | None]:
    """Return a key that is equal for tables with the same eligible servers."""
    return table.class_index, table.zone if table.zone_bound else None


def _without_hot_servers(
    table: Table, pool: dict[int, Server], context: _UpdateContext
) -> dict[int, Server]:
    """Leave out servers that zone-bound shards alone load above the mean, if enough remain.

    A zone-bound class cannot move to other zones, so a class that may be served anywhere does.
    """
    cool_servers = {}
    for index, server in pool.items():
        limit = HOT_LOAD_RATIO if index in table.members else COOL_LOAD_RATIO
        max_load = limit * context.mean_load * server.weight
        if context.zone_bound_loads[index] <= max_load:
            cool_servers[index] = server
    half_left = 2 * total_weight(cool_servers.values()) >= total_weight(pool.values())
    return cool_servers if len(cool_servers) >= MIN_SHARD_SIZE and half_left else pool


def _remove_surplus(
    table: Table, zone_target: ZoneTarget, pool: dict[int, Server], context: _UpdateContext
) -> None:
    """Remove the most loaded server of a zone target if the shard holds more than it needs."""
    loads = context.loads
    members = [member for member in table.members if member in zone_target.servers]
    tolerance = (
        zone_target.weight / len(zone_target.servers) / 2 if zone_target.needed_weight else 0
    )
    if not members or len(table.members) <= MIN_SHARD_SIZE:
        return
    most_loaded = max(
        members,
        key=lambda member: (loads[member] / pool[member].weight, pool[member].stable_id),
    )
    if zone_target.needed_weight and loads[most_loaded] <= NEGLIGIBLE_LOAD:
        return
    surplus = total_weight(zone_target.servers[member] for member in members) - tolerance
    if surplus - pool[most_loaded].weight > zone_target.needed_weight - EPSILON:
        table.members.remove(most_loaded)
        table.resized_at = context.now
