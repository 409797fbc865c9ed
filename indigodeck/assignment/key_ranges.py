"""Key ranges: each stays on its server until that drains or is gone, and then gets another one."""

from .delivery import Delivery
from .interface import Server
from .seeded_random import SeededRandom, seed_from
from .state import AssignerState


class KeyRanges:
    """The key ranges that this planner assigns, and their servers.

    `servers_of` holds the servers known to have each key range, by table number. Key ranges do not
    move because of their demand.
    """

    def __init__(self, state: AssignerState, delivery: Delivery) -> None:
        self.state = state
        self.delivery = delivery
        self.servers_of: dict[int, set[int]] = {}

    def set_assigned(self, table: int, assigned: bool) -> None:
        """Start assigning a key range, without any known server, or stop assigning it."""
        self.servers_of.pop(table, None)
        if assigned:
            self.servers_of[table] = set()

    def add_server(self, table: int, server: int, weight: float) -> None:
        """Record that a server holds a key range."""
        if table in self.servers_of and weight > 0:
            self.servers_of[table].add(server)

    def update(self) -> None:
        """Eject servers that are not ready, and move their key ranges to other servers."""
        now = self.state.host.now()
        ready = self.state.ready_servers()
        self.delivery.update_ejections(ready)
        ordered_servers = sorted(ready.values(), key=lambda server: server.stable_id)
        for table, servers in sorted(self.servers_of.items()):
            if self._needs_server(servers, ready, now) and ordered_servers and self._has_room(now):
                self._reassign(table, servers, ordered_servers, now)

    def _needs_server(self, servers: set[int], ready: dict[int, Server], now: int) -> bool:
        handover_delay = self._handover_delay()
        return not servers & ready.keys() and all(
            now >= self.state.health[server].next_check_at + handover_delay for server in servers
        )

    def _handover_delay(self) -> int:
        """Return the delay after which no write can still reach the previous exclusive owner."""
        settings = self.state.settings
        if not settings.exclusive_ownership:
            return 0
        return 2 * settings.channel.max_delivery_delay + settings.write_settle_time

    def _has_room(self, now: int) -> bool:
        return self.state.channel.queued_lines(now) < self.delivery.queue_limit()

    def _reassign(
        self, table: int, servers: set[int], ordered_servers: list[Server], now: int
    ) -> None:
        ids = [server.stable_id for server in ordered_servers]
        random = SeededRandom(seed_from(str(table), ids))
        new_server = ordered_servers[random.randbelow(len(ordered_servers))].index
        self.servers_of[table] = {new_server}
        if not self.state.settings.exclusive_ownership:
            for server in sorted(servers):
                self.state.host.set_weight(table, server, 0.0)
        self.state.host.set_weight(table, new_server, 1.0)
        joined = self.state.proxies.joined()
        self.state.channel.record_orders(self.state.proxies, joined, 2, now)
