"""Random draws of servers: of a whole shard, or of single servers to complete a shard."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .interface import Server
from .seeded_random import SeededRandom, seed_from
from .tables import Table, total_weight

MIN_SHARD_SIZE = 4  # servers
MAX_OVERLAP = 0.5  # share of a shard's servers that any other shard may also contain
MAX_DRAWS = 5  # attempts to draw a whole shard within that overlap
CANDIDATES_PER_PICK = 8  # servers drawn for each pick, of which the least loaded one is taken
FILL_SLACK = 0.5  # of the mean weight of a server, by which a shard may fall short


class ZoneTarget(NamedTuple):
    """The servers of the table's own zone, or of other zones, that a shard may contain.

    `weight` is their total weight, `needed_weight` how much of it the shard should contain.
    """

    servers: dict[int, Server]
    weight: float
    needed_weight: float


class ShardDraw(NamedTuple):
    """A drawn shard, ordered by preference: lowest overlap first, then lowest load."""

    overlap: float
    highest_load: float
    members: list[int]


def draw_shard(
    table: Table,
    tables: Iterable[Table],
    pool: dict[int, Server],
    zone_targets: Sequence[ZoneTarget],
    loads: Mapping[int, float],
) -> list[int]:
    """Draw a shard at random; of a few draws, use the one with the lowest overlap with others."""
    ids = sorted(server.stable_id for server in pool.values())
    random = SeededRandom(seed_from(table.name, ids))
    others = [set(other.members) for other in tables if other is not table]
    draws = []
    for _ in range(MAX_DRAWS):
        shard = fill_shard(table, [], zone_targets, loads, random)
        shared_members = max((len(other.intersection(shard)) for other in others), default=0)
        overlap = shared_members / len(shard)
        highest_load = max(loads[member] / pool[member].weight for member in shard)
        draws.append(ShardDraw(overlap, highest_load, shard))
        if overlap <= MAX_OVERLAP:
            break
    return min(draws).members


def fill_shard(
    table: Table,
    shard: list[int],
    zone_targets: Sequence[ZoneTarget],
    loads: Mapping[int, float],
    random: SeededRandom | None = None,
) -> list[int]:
    """Add servers to a shard until it meets each zone target.

    Each pick takes the least loaded of a few servers drawn at random. Without a generator, each
    pick is seeded by the servers that remain, so that it does not depend on earlier picks.
    """
    for zone_target in zone_targets:
        weight = total_weight(
            zone_target.servers[member] for member in shard if member in zone_target.servers
        )
        slack = FILL_SLACK * zone_target.weight / max(1, len(zone_target.servers))
        required_weight = zone_target.needed_weight - slack
        if weight >= required_weight and len(shard) >= MIN_SHARD_SIZE:
            continue
        remaining = sorted(
            (zone_target.servers[index] for index in zone_target.servers.keys() - set(shard)),
            key=lambda server: server.stable_id,
        )
        while remaining and (weight < required_weight or len(shard) < MIN_SHARD_SIZE):
            generator = random or SeededRandom(
                seed_from(table.name, [server.stable_id for server in remaining])
            )
            candidates = [
                remaining[generator.randbelow(len(remaining))] for _ in range(CANDIDATES_PER_PICK)
            ]
            server = min(
                candidates,
                key=lambda server: (loads[server.index] / server.weight, server.stable_id),
            )
            remaining.remove(server)
            shard.append(server.index)
            weight += server.weight
    return shard
