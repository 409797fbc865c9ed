"""Tables: which servers the proxies of one class use, and what these proxies already hold of it."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .interface import Server

TINY = 1e-9  # against a division by no weight or rate, and in comparisons of sums


class ServerGroup(NamedTuple):
    """Some servers by index, and the sum of their listed weights."""

    servers: dict[int, Server]
    weight: float


class Table:
    """The table of one class, or of the class's proxies of one zone or group.

    `zone` is that of its proxies, None for all; a `zone_bound` table holds servers of that zone
    only. `name` seeds its draws. `members` is its shard; `target_weights` is what its proxies
    should hold, `published_weights` and `published_level` what they were last sent. `cold_level`
    is the level that keeps its cold servers from overload.
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

    def near(self, servers: Mapping[int, Server]) -> dict[int, Server]:
        """Return those of the servers that are in the zone of the table's proxies."""
        return {
            index: server for index, server in servers.items() if self.zone in (None, server.zone)
        }

    def near_and_far(self, servers: Mapping[int, Server]) -> tuple[ServerGroup, ServerGroup]:
        """Part the servers into those of the zone of the table's proxies and the others."""
        near = self.near(servers)
        far = {index: servers[index] for index in servers if index not in near}
        return (
            ServerGroup(near, total_weight(near.values())),
            ServerGroup(far, total_weight(far.values())),
        )


def total_weight(servers: Iterable[Server]) -> float:
    """Return the sum of the servers' listed weights."""
    return sum(server.weight for server in servers)
