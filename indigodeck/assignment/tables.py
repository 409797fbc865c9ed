"""Tables: which servers proxies use for a class, and what was already published to them."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .interface import Server

EPSILON = 1e-9  # avoids division by a zero weight or rate, and is the tolerance in comparisons


class ServerSubset(NamedTuple):
    """A subset of the servers by index, and the sum of their listed weights."""

    servers: dict[int, Server]
    weight: float


class Table:
    """The table of one class, for all proxies or for those of one zone or group.

    `zone` is the zone of its proxies, or None for all zones; a `zone_bound` table contains only
    servers of that zone. `name` seeds its draws. `members` is its shard. `target_weights` are the
    weights that its proxies should have, `published_weights` and `published_level` what they were
    last sent. `cold_level` is the admission level that keeps its cold servers from overload.
    """

    def __init__(
        self, number: int, class_index: int, zone: int | None, zone_bound: bool, name: str
    ) -> None:
        self.number = number
        self.class_index = class_index
        self.zone = zone
        self.zone_bound = zone_bound
        self.name = name
        self.members: list[int] = []
        self.target_weights: dict[int, float] = {}
        self.published_weights: dict[int, float] = {}
        self.published_level: float | None = None
        self.cold_level = 1.0
        self.proxies: set[int] = set()
        self.drawn = False
        self.resized_at = 0

    def in_zone(self, servers: Mapping[int, Server]) -> dict[int, Server]:
        """Return the servers that are in the zone of the table's proxies."""
        return {
            index: server for index, server in servers.items() if self.zone in (None, server.zone)
        }

    def split_by_zone(self, servers: Mapping[int, Server]) -> tuple[ServerSubset, ServerSubset]:
        """Split the servers into those in the zone of the table's proxies and the others."""
        local = self.in_zone(servers)
        remote = {index: servers[index] for index in servers if index not in local}
        return (
            ServerSubset(local, total_weight(local.values())),
            ServerSubset(remote, total_weight(remote.values())),
        )


def total_weight(servers: Iterable[Server]) -> float:
    """Return the sum of the servers' listed weights."""
    return sum(server.weight for server in servers)
