"""Draws of servers: a whole shard at random, or single servers that one lacks."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .interface import Server
from .seeded_random import SeededRandom, seed_from
from .tables import Table, total_weight

LEAST_SERVERS = 4  # in a shard
MOST_OVERLAP = 0.5  # share of a shard's servers that one other shard may hold
DRAWS = 5  # of a whole shard, until one keeps within that overlap
CANDIDATES = 8  # drawn for each place, of which the least loaded is taken
FILL_SLACK = 0.5  # of a mean server's weight, that a shard may lack


class ShardSide(NamedTuple):
    """The near or the far servers that a shard may hold, and the weight it should hold of these."""

    servers: dict[int, Server]
    weight: float
    needed_weight: float


class ShardDraw(NamedTuple):
    """A drawn shard, in the order of preference: least overlap, then least load."""

    overlap: float
    highest_load: float
    members: list[int]


def draw_shard(
    table: Table,
    tables: Iterable[Table],
    pool: dict[int, Server],
    sides: Sequence[ShardSide],
    loads: Mapping[int, float],
) -> list[int]:
    """Draw a shard at random: of a few draws, the one that overlaps least with any other shard."""
    ids = sorted(server.stable_id for server in pool.values())
    random = SeededRandom(seed_from(table.name, ids))
    others = [set(other.members) for other in tables if other is not table]
    draws = []
    for _ in range(DRAWS):
        shard = fill_shard(table, [], sides, loads, random)
        common = max((len(other.intersection(shard)) for other in others), default=0)
        overlap = common / len(shard)
        highest_load = max(loads[member] / pool[member].weight for member in shard)
        draws.append(ShardDraw(overlap, highest_load, shard))
        if overlap <= MOST_OVERLAP:
            break
    return min(draws).members


def fill_shard(
    table: Table,
    shard: list[int],
    sides: Sequence[ShardSide],
    loads: Mapping[int, float],
    random: SeededRandom | None = None,
) -> list[int]:
    """Add servers, each the least loaded of a few drawn at random, until each side has enough.

    Without a generator each draw is seeded by the servers that are left, so that it is the same
    whatever was drawn before.
    """
    for side in sides:
        weight = total_weight(side.servers[member] for member in shard if member in side.servers)
        slack = FILL_SLACK * side.weight / max(1, len(side.servers))
        enough = side.needed_weight - slack
        if weight >= enough and len(shard) >= LEAST_SERVERS:
            continue
        left = sorted(
            (side.servers[index] for index in side.servers.keys() - set(shard)),
            key=lambda server: server.stable_id,
        )
        while left and (weight < enough or len(shard) < LEAST_SERVERS):
            draw = random or SeededRandom(
                seed_from(table.name, [server.stable_id for server in left])
            )
            candidates = [left[draw.randbelow(len(left))] for _ in range(CANDIDATES)]
            server = min(
                candidates,
                key=lambda server: (loads[server.index] / server.weight, server.stable_id),
            )
            left.remove(server)
            shard.append(server.index)
            weight += server.weight
    return shard
