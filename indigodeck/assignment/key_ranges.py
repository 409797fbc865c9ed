"""Key ranges: each keeps its server until that drains or goes, and is drawn another then."""

from .delivery import Delivery
from .interface import Server
from .seeded_random import SeededRandom, seed_from
from .state import AssignerState


class KeyRanges:
    """The key ranges that this planner assigns, and their servers.

    `servers_of` holds, by table number, the servers that a range is known to be at. A range's
    demand moves nothing.
    """

    def __init__(self, state: AssignerState, delivery: Delivery) -> None:
        self.state = state
        self.delivery = delivery
        self.servers_of: dict[int, set[int]] = {}

    def set_assigned(self, table: int, on: bool) -> None:
        """Begin to assign a key range, with no server known, or end that."""
        self.servers_of.pop(table, None)
        if on:
            self.servers_of[table] = set()

    def add_server(self, table: int, server: int, weight: float) -> None:
        """Take in that a key range is at a server."""
        if table in self.servers_of and weight > 0:
            self.servers_of[table].add(server)

    def update(self) -> None:
        """Eject servers that are not ready, and name new ones for the ranges that were at these."""
        now = self.state.host.now()
        ready = self.state.ready_servers()
        self.delivery.update_ejections(ready)
        in_order = sorted(ready.values(), key=lambda server: server.stable_id)
        for table, servers in sorted(self.servers_of.items()):
            if self._needs_server(servers, ready, now) and in_order and self._has_room(now):
                self._move(table, servers, in_order, now)

    def _needs_server(self, servers: set[int], ready: dict[int, Server], now: int) -> bool:
        handover_delay = self._handover_delay()
        return not servers & ready.keys() and all(
            now >= self.state.health[server].next_check_at + handover_delay for server in servers
        )

    def _handover_delay(self) -> int:
        """Return the microseconds until no write can be on its way to a single owner any more."""
        settings = self.state.settings
        if not settings.exclusive_ownership:
            return 0
        return 2 * settings.channel.max_delivery_delay + settings.write_settle_time

    def _has_room(self, now: int) -> bool:
        return self.state.channel.queued_lines(now) < self.delivery.queue_limit()

    def _move(self, table: int, servers: set[int], in_order: list[Server], now: int) -> None:
        ids = [server.stable_id for server in in_order]
        random = SeededRandom(seed_from(str(table), ids))
        drawn = in_order[random.randbelow(len(in_order))].index
        self.servers_of[table] = {drawn}
        if not self.state.settings.exclusive_ownership:
            for server in sorted(servers):
                self.state.host.set_weight(table, server, 0.0)
        self.state.host.set_weight(table, drawn, 1.0)
        joined = self.state.proxies.joined()
        self.state.channel.record_orders(self.state.proxies, joined, 2, now)
