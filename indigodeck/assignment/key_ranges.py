"""Key ranges: each stays on its server until that drains or is gone, and then gets another one."""

from .delivery import Delivery
from .interface import Server
from .seeded_random import SeededRandom, seed_from
from .server_health import ServerHealth
from .state import AssignerState
from .write_leases import WriteLeases


class KeyRanges:
    """The key ranges that this planner assigns, and their servers.

    `servers_of` holds the servers known to have each key range, by table number, and `assigned_at`
    since when this planner assigns it. Key ranges do not move because of their demand.
    """

    def __init__(self, state: AssignerState, delivery: Delivery) -> None:
        self.state = state
        self.delivery = delivery
        self.write_leases = WriteLeases(state)
        self.servers_of: dict[int, set[int]] = {}
        self.assigned_at: dict[int, int] = {}

    def set_assigned(self, table: int, assigned: bool) -> None:
        """Start assigning a key range, without any known server, or stop assigning it."""
        self.servers_of.pop(table, None)
        self.assigned_at.pop(table, None)
        if assigned:
            self.servers_of[table] = set()
            self.assigned_at[table] = self.state.host.now()

    def add_server(self, table: int, server: int, weight: float) -> None:
        """Record that a server holds a key range, and track its health even if it is not listed."""
        if table in self.servers_of and weight > 0:
            self.servers_of[table].add(server)
            self.state.health.setdefault(server, ServerHealth())

    def servers_in_use(self) -> set[int]:
        """Return the servers that hold a key range."""
        return set().union(*self.servers_of.values())

    def update(self) -> None:
        """Eject servers that are not ready, and move their key ranges to other servers."""
        now = self.state.host.now()
        ready = self._usable_servers(now)
        # Proxies read their tables from the store, so none waits for this planner to assign them.
        self.delivery.joining.clear()
        ejected_before = set(self.state.ejected)
        self.delivery.update_ejections(ready)
        self.write_leases.track(self.servers_in_use() & self.state.ejected, now)
        needs_ack = self._inform_joined_proxies(self.state.ejected - ejected_before, now)
        ordered_servers = sorted(ready.values(), key=lambda server: server.stable_id)
        for table, servers in sorted(self.servers_of.items()):
            if servers & ready.keys() or not ordered_servers:
                continue
            if self._may_reassign(table, servers, now) and self._has_room(now):
                self._reassign(table, servers, ordered_servers, now)
                needs_ack = True
        exclusive = self.state.settings.exclusive_ownership
        if needs_ack and exclusive and self.state.proxies.joined():
            number = self.delivery.request_ack(all_proxies=True)
            self.write_leases.on_ack_requested(number, now)

    def _usable_servers(self, now: int) -> dict[int, Server]:
        """Return the ready servers without those that proxies may wrongly take for an owner."""
        ready = self.state.ready_servers()
        if not self.state.settings.exclusive_ownership:
            return ready
        excluded = self.write_leases.not_yet_readmitted(now)
        return {index: server for index, server in ready.items() if index not in excluded}

    def _inform_joined_proxies(self, newly_ejected: set[int], now: int) -> bool:
        """Repeat the ejections of servers in use for proxies that have joined since.

        They read the former server from the store, and earlier orders have not reached them.
        Returns whether any proxy has been informed.
        """
        any_sent = False
        for owner in self.write_leases.owners:
            if not self.write_leases.uninformed(owner):
                continue
            if owner in newly_ejected or self.delivery.repeat_ejection(owner):
                self.write_leases.on_ejection_sent(owner, now)
                any_sent = True
        return any_sent

    def _may_reassign(self, table: int, servers: set[int], now: int) -> bool:
        """Return whether no write can reach the previous servers if each has to be the only one."""
        return not self.state.settings.exclusive_ownership or all(
            self.write_leases.is_released(server, self.assigned_at[table], now)
            for server in servers
        )

    def _has_room(self, now: int) -> bool:
        return self.state.channel.queued_lines(now) < self.delivery.queue_limit()

    def _reassign(
        self, table: int, servers: set[int], ordered_servers: list[Server], now: int
    ) -> None:
        ids = [server.stable_id for server in ordered_servers]
        random = SeededRandom(seed_from(str(table), ids))
        new_server = ordered_servers[random.randbelow(len(ordered_servers))].index
        self.servers_of[table] = {new_server}
        exclusive = self.state.settings.exclusive_ownership
        if not exclusive:
            for server in sorted(servers):
                self.state.host.set_weight(table, server, 0.0)
        self.state.host.set_weight(table, new_server, 1.0)
        joined = self.state.proxies.joined()
        self.state.channel.record_orders(self.state.proxies, joined, 2, now)
        if exclusive:
            self._record_replacement(table, servers, new_server, now)

    def _record_replacement(
        self, table: int, former_owners: set[int], owner: int, now: int
    ) -> None:
        """Track who knows the next owner; log how long it took, and how many leases had to end."""
        for former in sorted(former_owners):
            self.write_leases.on_replaced(former, now)
            ejected = self.write_leases.owners[former]
            self.state.host.log(
                f"owner_replaced table={table} former={former} owner={owner}"
                f" waited_us={now - ejected.tracked_at} leases_ended={len(ejected.writers)}"
            )
