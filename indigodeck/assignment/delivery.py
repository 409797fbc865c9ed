"""Delivery: which orders are sent to proxies, and when, within the limits of the channel.

Ejections and changes that the deployment's rules require are sent first, then the largest other
changes, as many as the channel can take. Joined proxies are assigned their tables when the channel
has room; other changes leave them that room.
"""

from collections.abc import Set
from statistics import mean

from .admission import RETRY_POLICY, AdmissionLevels
from .interface import Server
from .message_limit import (
    RESERVE_AFTER_DEFERRABLE,
    RESERVE_AFTER_EJECTION,
    RESERVE_AFTER_URGENT,
    MessageLimit,
)
from .server_health import MAX_EJECTION_TIME
from .state import DEPARTED_RETENTION, TICK_INTERVAL, AssignerState
from .table_changes import LEVEL_ENTRY, TableChange, table_changes

MAX_QUEUE_SHARE = 0.45  # of the channel's queue capacity, which this planner may fill
# Deferrable changes are sent only while the queue, with them, takes at most this long to deliver.
DEFERRABLE_QUEUE_SECONDS = 0.25


class Delivery:
    """Sends orders to proxies within the limits on the channel's queue and on messages per proxy.

    `joining` are proxies that wait for their tables; until then they may hold older tables.
    `delayed_since` holds since when ejections, or their ends, wait for the message limit.
    """

    def __init__(self, state: AssignerState, admission: AdmissionLevels) -> None:
        self.state = state
        self.admission = admission
        self.message_limit = MessageLimit(state)
        self.joining: list[int] = []
        self.delayed_since: dict[int, int] = {}
        self.published_at = -MAX_EJECTION_TIME

    def begin_call(self) -> None:
        """Start the orders of one call; the first line to each proxy starts a new message."""
        self.state.channel.begin_call()

    def end_call(self) -> None:
        """Request an acknowledgement from the proxies that received orders in this call."""
        if self.state.channel.call_recipients:
            self.request_ack(all_proxies=False)

    def request_ack(self, all_proxies: bool) -> int:
        """Request an acknowledgement of this call's orders, and return the request's number.

        With `all_proxies`, proxies that get no other order are asked too.
        """
        now = self.state.host.now()
        channel = self.state.channel
        proxies = self.state.proxies.joined() if all_proxies else set(channel.call_recipients)
        channel.record_orders(self.state.proxies, proxies, 1, now)
        number = channel.new_ack_request(now)
        self.state.host.request_ack(number, all_proxies)
        return number

    def publish(self) -> None:
        """Send ejections and table changes, as far as the limits allow."""
        now = self.state.host.now()
        ready = self.state.ready_servers()
        ejections_sent = self.update_ejections(ready)
        changes = list(table_changes(self.state, self.admission, ready))
        urgent = ejections_sent or any(not change.deferrable for change in changes)
        if changes and now - self.published_at < self._min_publish_interval(urgent, ejections_sent):
            return
        lines_for_joining = self._lines_for_joining() if changes else 0
        for change in sorted(changes, key=lambda change: change[:4]):
            reserved_lines = 0 if change.precedes_joining(ready) else lines_for_joining
            if self._has_room(change, reserved_lines, now):
                self._send(change, now)
        if self.state.channel.call_recipients or self.state.channel.possible_recipients:
            self.published_at = now

    def update_ejections(self, ready: dict[int, Server]) -> bool:
        """Eject servers that are not ready and uneject those that are ready again.

        Returns whether any order was sent. The orders go to proxies that hold the server in a
        table, or may hold it. A proxy at its message limit delays only the ejections that concern
        its own tables.
        """
        state = self.state
        now = state.host.now()
        to_eject = state.health.keys() - ready.keys() - state.ejected
        to_uneject = state.ejected & ready.keys()
        due = to_eject | to_uneject
        self.delayed_since = {
            server: since for server, since in self.delayed_since.items() if server in due
        }
        if not due:
            return False
        waiting = self._waiting()
        share = self._holding_share(waiting)
        any_sent = False
        for server in sorted(due):
            holders = self._holders(server)
            if not self.message_limit.allows(holders | waiting, RESERVE_AFTER_EJECTION):
                self.delayed_since.setdefault(server, now)
                continue
            self._log_delay(server, now)
            if server in ready:
                state.host.uneject_server(server)
            else:
                state.host.eject_server(server)
            state.health[server].next_check_at = now
            state.channel.record_orders(state.proxies, holders - waiting, 1, now)
            state.channel.record_possible_orders(state.proxies, waiting, share, now)
            state.ejected ^= {server}
            any_sent = True
        return any_sent

    def repeat_ejection(self, server: int) -> bool:
        """Eject a server again, for holders that have joined since; return whether it was sent."""
        state = self.state
        holders = self._holders(server)
        if not self.message_limit.allows(holders, RESERVE_AFTER_EJECTION):
            return False
        state.host.eject_server(server)
        state.channel.record_orders(state.proxies, holders, 1, state.host.now())
        return True

    def _holders(self, server: int) -> set[int]:
        """Return the joined proxies that hold a server in a table of this planner.

        All of them may use each key range.
        """
        state = self.state
        if state.settings.key_range_count:
            return state.proxies.joined()
        return set().union(
            *(table.proxies for table in state.tables if server in table.published_weights)
        )

    def _holding_share(self, waiting: Set[int]) -> float:
        """Return the share of the proxies that wait for tables which hold any one server.

        What they hold is not known. The estimate is the share of all servers that the tables
        which serve them have as members.
        """
        if not waiting:
            return 0.0
        proxies = self.state.proxies
        members = mean(
            sum(len(table.members) for table in proxies.tables_of(proxy)) for proxy in waiting
        )
        return min(1.0, members / max(1, len(self.state.servers)))

    def _log_delay(self, server: int, now: int) -> None:
        """Log how long an ejection, or its end, waited for the message limit, if it did."""
        delay = now - self.delayed_since.pop(server, now)
        if delay:
            self.state.host.log(f"ejection_delayed server={server} delay_us={delay}")

    def assign_joining(self) -> None:
        """Assign joined proxies their tables while the channel has room, in order of joining.

        Until then they use what they held before, and orders from before they joined have not
        reached them. So the time for a drain runs from their joining.
        """
        state = self.state
        now = state.host.now()
        channel = state.channel
        limit = self.queue_limit()
        still_waiting: list[int] = []
        for proxy in sorted(self._waiting(), key=self._join_order):
            lines = self._table_lines(proxy)
            queued = channel.queued_lines(now)
            if still_waiting or queued and queued + channel.cost({proxy}, lines) > limit:
                still_waiting.append(proxy)
                continue
            for table in state.proxies.tables_of(proxy):
                table.proxies.add(proxy)
                state.host.assign_table(proxy, table.number, [table.class_index])
            channel.record_orders(state.proxies, {proxy}, lines, now)
        self.joining = still_waiting

    def _waiting(self) -> set[int]:
        """Return the joined proxies that wait for their tables."""
        return {proxy for proxy in self.joining if self.state.proxies[proxy].joined}

    def _join_order(self, proxy: int) -> tuple[int, float, int]:
        """Return a sort key: by time of joining, at the same time by rate, the highest first."""
        joined = self.state.proxies[proxy]
        return joined.joined_at, -joined.declared_rate, proxy

    def _table_lines(self, proxy: int) -> int:
        """Return the lines that the assignment of its tables costs a proxy."""
        return sum(
            2
            + len(table.published_weights)
            + len(self.state.ejected & table.published_weights.keys())
            for table in self.state.proxies.tables_of(proxy)
        )

    def _lines_for_joining(self) -> float:
        """Return the lines that the tables of all waiting proxies cost."""
        waiting = self._waiting()
        table_lines = sum(self._table_lines(proxy) for proxy in waiting)
        return table_lines + self.state.channel.cost(waiting, 0)

    def forget_departed(self, now: int, in_use: Set[int]) -> None:
        """Forget ejected servers that have been gone for a while and are not `in_use`.

        No table names them any more and no late report can, so that the state of a long-running
        planner does not grow with every server that ever existed.
        """
        if self.joining:
            return
        state = self.state
        for server in sorted(state.ejected - state.servers.keys() - in_use):
            long_gone = now - state.health[server].next_check_at > DEPARTED_RETENTION
            if long_gone and not any(server in table.published_weights for table in state.tables):
                state.ejected.remove(server)
                del state.health[server]
                state.host.forget_server(server)

    def queue_limit(self) -> float:
        """Return how many lines this planner may queue in the channel."""
        return self.state.settings.channel.max_waiting_lines * MAX_QUEUE_SHARE

    def _min_publish_interval(self, urgent: bool, ejections_sent: bool) -> int:
        """Return the minimum number of microseconds between two publications.

        Levels and the weights of cold servers change with every proxy that joins. Sending each
        change at once used up the messages that were needed for a following ejection.
        """
        channel = self.state.settings.channel
        interval = 0
        if channel.max_messages and not ejections_sent:
            interval = channel.message_window // channel.max_messages
        return interval if urgent else max(TICK_INTERVAL, 2 * interval)

    def _has_room(self, change: TableChange, reserved_lines: float, now: int) -> bool:
        proxies = change.table.proxies
        channel = self.state.channel
        room = self.queue_limit()
        reserve = RESERVE_AFTER_URGENT
        if change.deferrable:
            lines_per_second = self.state.settings.channel.lines_per_second
            room = min(room, lines_per_second * channel.throughput_ratio * DEFERRABLE_QUEUE_SECONDS)
            reserve = RESERVE_AFTER_DEFERRABLE
        queued = channel.queued_lines(now) + channel.cost(proxies, 1)
        return not proxies or (
            queued <= room - reserved_lines and self.message_limit.allows(proxies, reserve)
        )

    def _send(self, change: TableChange, now: int) -> None:
        table = change.table
        self.state.channel.record_orders(self.state.proxies, table.proxies, 1, now)
        if change.server == LEVEL_ENTRY:
            table.published_level = change.value
            level = self.admission.proxy_level(table, change.value)
            self.state.host.set_admission(table.number, [table.class_index], level, RETRY_POLICY)
            return
        self.state.host.set_weight(table.number, change.server, change.value)
        table.published_weights[change.server] = change.value
        if not change.value:
            del table.published_weights[change.server]
