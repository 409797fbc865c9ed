"""Shards: the random combination of servers that serves each table (see docs/design.md).

A shard's size follows its class's share of demand. It is drawn at random once, capped in its
overlap with others; then single members are replaced, added or removed, and the others stay.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..clock import SECOND
from .admission import AdmissionLevels
from .interface import Server
from .shard_draws import LEAST_SERVERS, ShardSide, draw_shard, fill_shard
from .state import AssignerState
from .tables import TINY, ServerGroup, Table, total_weight

SIZE_FACTOR = 3.0  # a shard's share of listed weight, over its class's share of demand
SIZE_FACTOR_GROUPED = 2.0  # for groups whose proxies never avoid a failing server themselves
RESIZE_EVERY = 10 * SECOND  # each change of size closes connections
RESIZE_THRESHOLD = 0.08  # change of a class's share of demand
REMOVE_SURPLUS_EVERY = RESIZE_EVERY // 4
# Planned load by zone-bound shards, over the fleet's mean, that keeps a server out of others, and
# below which it is taken again.
HOT = 1.15
COOL = 0.95
FAR_STEPS = 8  # the part of far servers moves in so many steps, for demand is never steady
NEGLIGIBLE_LOAD = 1e-6  # requests a second


@dataclass(slots=True)
class _Round:
    """Sums over all tables for one update: with hundreds of tables they can't be done for each.

    `loads` is the planned requests a second of each server, `zone_bound_loads` those that
    zone-bound tables bring. `mean_load` is for a unit of weight.
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
    sides: dict[tuple[int, int], tuple[ServerGroup, ServerGroup]] = field(default_factory=dict)


class ShardPlanner:
    """Draws and keeps the shards; a table's `members` are changed here alone.

    `class_shares` is each class's share of demand, as shards are sized by at present.
    """

    def __init__(self, state: AssignerState, admission: AdmissionLevels) -> None:
        self.state = state
        self.admission = admission
        self.class_shares: dict[int, float] = {}
        self.sized_at = 0

    def resume(self, published: Mapping[int, Sequence[int]]) -> None:
        """Go on with the servers by table number that were published before a start or takeover."""
        for table in self.state.tables:
            table.members = list(published.get(table.number, ()))
            table.drawn = table.number in published

    def eligible_servers(self, table: Table) -> dict[int, Server]:
        """Return the servers that a table's shard may hold.

        Where most of the weight is ejected, ejected servers beat too few: those left would be next.
        """
        ready = self.state.ready_servers(table.zone if table.zone_bound else None)
        keep_out = not self.admission.fleet.is_full()
        health = self.state.health
        eligible = {
            index: server
            for index, server in ready.items()
            if not health[index].fully_ejected
            and not (keep_out and table.class_index in health[index].ejected_classes)
        }
        enough = 2 * total_weight(eligible.values()) >= total_weight(ready.values())
        return eligible if enough else ready

    def has_substitute(self, server: int, class_index: int) -> bool:
        """Whether another near server could take a server's place in some shard of the class."""
        return any(
            server in table.members
            and table.near(self.eligible_servers(table)).keys() - set(table.members)
            for table in self.state.tables
            if table.class_index == class_index
        )

    def update_sizes(self) -> None:
        """Take over the classes' shares of demand, if they have moved far enough."""
        now = self.state.host.now()
        shares = self.admission.demand_shares
        moved = max(
            abs(shares[class_index] - self.class_shares.get(class_index, 0))
            for class_index in self.state.class_order
        )
        due = moved > RESIZE_THRESHOLD and now - self.sized_at > RESIZE_EVERY
        if not self.class_shares or due:
            self.class_shares = shares
            self.sized_at = now

    def update(self, rates: Mapping[int, float]) -> None:
        """Bring all shards in line with the servers, their health and the planned rates."""
        this_round = self._start_round(rates)
        for table in self.state.tables:
            self._update_table(table, this_round)
        self._use_all_servers(this_round)

    def _start_round(self, rates: Mapping[int, float]) -> _Round:
        fleet_weight = total_weight(self.state.ready_servers().values())
        this_round = _Round(self.state.host.now(), rates, fleet_weight)
        for table in self.state.tables:
            self._add_load(table, rates, this_round.loads)
            if table.zone_bound:
                self._add_load(table, rates, this_round.zone_bound_loads)
            this_round.class_rates[table.class_index] += rates[table.number]
            admitted_rate = self.admission.admitted_rate(table, rates)
            this_round.admitted_rates[table.zone, table.zone_bound] += admitted_rate
        total_rate = sum(self.admission.admitted_rate(table, rates) for table in self.state.tables)
        this_round.mean_load = total_rate / max(TINY, fleet_weight)
        return this_round

    def _add_load(
        self, table: Table, rates: Mapping[int, float], loads: dict[int, float], sign: int = 1
    ) -> None:
        """Add a shard's planned load on each of its servers, by listed weight, or take it off."""
        servers = self.state.servers
        members = [servers[member] for member in table.members if member in servers]
        rate = sign * self.admission.admitted_rate(table, rates) / max(TINY, total_weight(members))
        for server in members:
            loads[server.index] += rate * server.weight

    def _update_table(self, table: Table, this_round: _Round) -> None:
        key = _pool_key(table)
        pool = this_round.pools.get(key) or self.eligible_servers(table)
        this_round.pools[key] = pool
        if not pool:
            table.members = []
            return
        loads = this_round.loads
        self._add_load(table, this_round.rates, loads, -1)
        if table.zone is None:
            pool = _without_hot_servers(table, pool, this_round)
        sides = self._sides(table, pool, this_round)
        if not table.drawn:
            table.members = draw_shard(table, self.state.tables, pool, sides, loads)
            table.drawn = True
        table.members = [member for member in table.members if member in pool]
        fill_shard(table, table.members, sides, loads)
        if this_round.now - table.resized_at > REMOVE_SURPLUS_EVERY:
            for side in sides:
                _remove_surplus(table, side, pool, this_round)
        self._add_load(table, this_round.rates, loads)

    def _sides(
        self, table: Table, pool: dict[int, Server], this_round: _Round
    ) -> tuple[ShardSide, ShardSide]:
        """Return what a shard should hold of near servers, and of far ones.

        Far ones get what is above that which near ones do at the fleet's mean load.
        """
        near, far = self._near_and_far(table, pool, this_round)
        needed = self._needed_weight(table, near, far, this_round)
        near_part = 1.0
        if not (table.zone_bound or table.zone is None):
            bound_rate = this_round.admitted_rates[table.zone, True]
            free_rate = max(TINY, this_round.admitted_rates[table.zone, False])
            near_part = (this_round.mean_load * near.weight - bound_rate) / free_rate
            near_part = round(max(0.0, min(1.0, near_part)) * FAR_STEPS) / FAR_STEPS
        return (
            ShardSide(near.servers, near.weight, needed * near_part),
            ShardSide(far.servers, far.weight, needed * (1 - near_part)),
        )

    def _near_and_far(
        self, table: Table, pool: dict[int, Server], this_round: _Round
    ) -> tuple[ServerGroup, ServerGroup]:
        if table.zone is None:
            return table.near_and_far(pool)
        key = table.class_index, table.zone
        known = this_round.sides.get(key)
        if known is None:
            known = this_round.sides[key] = table.near_and_far(pool)
        return known

    def _needed_weight(
        self, table: Table, near: ServerGroup, far: ServerGroup, this_round: _Round
    ) -> float:
        everything = near.weight if table.zone_bound else near.weight + far.weight
        if self.admission.fleet.is_full() and self.state.group_count == 1:
            # Too busy to keep classes apart: some servers would idle beside overloaded ones.
            return everything
        class_rate = max(TINY, this_round.class_rates[table.class_index])
        share = self.class_shares[table.class_index] * this_round.rates[table.number] / class_rate
        # Larger shards are evener; where proxies can't avoid a failing server, smaller groups keep
        # the failure from one another.
        factor = SIZE_FACTOR
        if self.state.grouped and not self.state.settings.proxy_failure_limit:
            factor = SIZE_FACTOR_GROUPED
        whole = this_round.fleet_weight if table.zone is not None else everything
        return min(everything, factor * share * whole)

    def _use_all_servers(self, this_round: _Round) -> None:
        """Add each server that is in no shard to the one with the most load for its weight."""
        used = set().union(*(table.members for table in self.state.tables))
        unused = [
            server for index, server in self.state.ready_servers().items() if index not in used
        ]
        for server in sorted(unused, key=lambda server: server.stable_id):
            tables = [
                table
                for table in self.state.tables
                if server.index in this_round.pools[_pool_key(table)]
            ]
            if tables:
                neediest = max(tables, key=lambda table: self._need(table, server, this_round))
                neediest.members.append(server.index)

    def _need(self, table: Table, server: Server, this_round: _Round) -> tuple[bool, float]:
        weight = total_weight(self.state.servers[member] for member in table.members)
        rate = self.admission.admitted_rate(table, this_round.rates)
        return table.zone in (None, server.zone), rate / max(TINY, weight)


def _pool_key(table: Table) -> tuple[int, int | None]:
    """Return what tables with the same eligible servers have in common."""
    return table.class_index, table.zone if table.zone_bound else None


def _without_hot_servers(
    table: Table, pool: dict[int, Server], this_round: _Round
) -> dict[int, Server]:
    """Leave out servers that zone-bound shards alone load above the mean, if enough are left.

    A zone-bound class can't move, so a class that may be served anywhere does.
    """
    cooler = {}
    for index, server in pool.items():
        limit = HOT if index in table.members else COOL
        most = limit * this_round.mean_load * server.weight
        if this_round.zone_bound_loads[index] <= most:
            cooler[index] = server
    half_left = 2 * total_weight(cooler.values()) >= total_weight(pool.values())
    return cooler if len(cooler) >= LEAST_SERVERS and half_left else pool


def _remove_surplus(
    table: Table, side: ShardSide, pool: dict[int, Server], this_round: _Round
) -> None:
    """Remove the most loaded server of a side that holds more than it should."""
    loads = this_round.loads
    members = [member for member in table.members if member in side.servers]
    spare = side.weight / len(side.servers) / 2 if side.needed_weight else 0
    if not members or len(table.members) <= LEAST_SERVERS:
        return
    hottest = max(
        members,
        key=lambda member: (loads[member] / pool[member].weight, pool[member].stable_id),
    )
    if side.needed_weight and loads[hottest] <= NEGLIGIBLE_LOAD:
        return
    surplus = total_weight(side.servers[member] for member in members) - spare
    if surplus - pool[hottest].weight > side.needed_weight - TINY:
        table.members.remove(hottest)
        table.resized_at = this_round.now
