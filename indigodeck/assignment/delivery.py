"""Delivery: what proxies are written, and when, within the limits of the channel.

Ejections and what the rules need come first, then the largest changes, as many as the channel
takes; joined proxies are assigned their tables as there is room.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .admission import RETRY_POLICY, AdmissionLevels
from .interface import Server
from .server_health import LONGEST_EJECTION
from .state import REMEMBER_DEPARTED, TURN, AssignerState
from .tables import Table

QUEUE_SHARE = 0.45  # of the lines that may wait in the channel, which this planner may fill
TURN_SECONDS = 0.25  # seconds of the channel that ordinary lines of one turn may take
WEIGHT_CHANGE = 0.1  # of the larger weight; smaller changes are not written
LEVEL_CHANGE = 0.03
WEIGHT_DIGITS = 4
LEVEL = -1  # in place of a server, in a change of a table's level
LEVEL_SIZE = 9e9  # as a size of change: a level goes before all weights
# Messages to each proxy that are left for more urgent orders, beside the one that is written.
SPARE_AFTER_EJECTION = 1
SPARE_AFTER_URGENT = 3
SPARE_AFTER_ORDINARY = 5


class TableChange(NamedTuple):
    """A line to write; its first four fields give the order of writing."""

    ordinary: bool  # no rule needs it: it may wait
    negative_size: float
    table_number: int
    server: int  # or LEVEL
    value: float
    table: Table


class Delivery:
    """Writes orders to proxies, and keeps to the limits of the channel and of messages.

    `joining` are proxies that wait for their tables; until then they hold older ones.
    """

    def __init__(self, state: AssignerState, admission: AdmissionLevels) -> None:
        self.state = state
        self.admission = admission
        self.joining: list[int] = []
        self.published_at = -LONGEST_EJECTION

    def begin_call(self) -> None:
        """Start the orders of one call; the first line to each proxy starts a message."""
        self.state.channel.reached = set()

    def end_call(self) -> None:
        """Ask the proxies that this call's orders reach for an acknowledgement."""
        channel = self.state.channel
        if channel.reached:
            channel.record_orders(self.state.proxies, channel.reached, 1, self.state.host.now())
            number = channel.new_ack_request(self.state.host.now())
            self.state.host.request_ack(number, False)

    def publish(self) -> None:
        """Write ejections and the changes of tables, as the channel allows."""
        now = self.state.host.now()
        ready = self.state.ready_servers()
        ejections_written = self.update_ejections(ready)
        changes = list(self._changes(ready, now))
        urgent = ejections_written or any(not change.ordinary for change in changes)
        if changes and now - self.published_at < self._least_gap(urgent, ejections_written):
            return
        for change in sorted(changes, key=lambda change: change[:4]):
            if self._has_room(change, now):
                self._write(change, now)
        if self.state.channel.reached:
            self.published_at = now

    def update_ejections(self, ready: dict[int, Server]) -> bool:
        """Order proxies off servers that are not ready, and back to those that are again.

        Returns whether any such order was written. Those that hold a server, or may, are written
        to; a proxy that can't be written holds back the ejections from its own tables alone.
        """
        state = self.state
        joined = state.proxies.joined()
        now = state.host.now()
        to_eject = state.health.keys() - ready.keys() - state.ejected
        to_uneject = state.ejected & ready.keys()
        written = False
        for server in sorted(to_eject | to_uneject):
            holders = joined.intersection(self.joining).union(
                *(table.proxies for table in state.tables if server in table.published_weights)
            )
            if not self._may_write(holders, SPARE_AFTER_EJECTION):
                continue
            if server in ready:
                state.host.uneject_server(server)
            else:
                state.host.eject_server(server)
            state.health[server].next_check_at = now
            state.channel.record_orders(state.proxies, holders, 1, now)
            state.ejected ^= {server}
            written = True
        return written

    def assign_joining(self) -> None:
        """Put joined proxies on their tables as the channel has room, the busiest first."""
        state = self.state
        now = state.host.now()
        channel = state.channel
        limit = self.queue_limit()
        waiting = {proxy for proxy in self.joining if state.proxies[proxy].joined}
        left: list[int] = []
        for proxy in sorted(waiting, key=lambda proxy: (-state.proxies[proxy].stated_rate, proxy)):
            tables = state.proxies.tables_of(proxy)
            lines = sum(
                2
                + len(table.published_weights)
                + len(state.ejected & table.published_weights.keys())
                for table in tables
            )
            queued = channel.queued_lines(now)
            if left or queued and queued + channel.cost({proxy}, lines) > limit:
                left.append(proxy)
                continue
            for table in tables:
                table.proxies.add(proxy)
                state.host.assign_table(proxy, table.number, [table.class_index])
            channel.record_orders(state.proxies, {proxy}, lines, now)
        self.joining = left

    def forget_departed(self, now: int) -> None:
        """Forget ejected servers that were gone for long.

        No table names them any more, and no late report can: a planner that runs for long keeps
        nothing of them.
        """
        if self.joining:
            return
        state = self.state
        for server in sorted(state.ejected - state.servers.keys()):
            long_gone = now - state.health[server].next_check_at > REMEMBER_DEPARTED
            if long_gone and not any(server in table.published_weights for table in state.tables):
                state.ejected.remove(server)
                del state.health[server]
                state.host.forget_server(server)

    def queue_limit(self) -> float:
        """Return how many lines this planner lets wait in the channel."""
        return self.state.settings.channel.max_waiting_lines * QUEUE_SHARE

    def _changes(self, ready: dict[int, Server], now: int) -> Iterator[TableChange]:
        for table in self.state.tables:
            yield from self._weight_changes(table, ready, now)
            level = min(table.cold_level, self.admission.level(table))
            if _level_differs(level, table.published_level):
                ordinary = level >= (table.published_level or 0)
                yield TableChange(ordinary, -LEVEL_SIZE, table.number, LEVEL, level, table)

    def _weight_changes(
        self, table: Table, ready: dict[int, Server], now: int
    ) -> Iterator[TableChange]:
        warm_up_time = self.state.settings.warm_up_time
        published = table.published_weights
        target = table.target_weights
        for server in published.keys() | target.keys():
            old = published.get(server, 0.0)
            new = round(target.get(server, 0.0), WEIGHT_DIGITS)
            if abs(new - old) <= WEIGHT_CHANGE * max(new, old):
                continue
            cold = server in ready and now - ready[server].started < warm_up_time
            ordinary = server in ready and not (cold and new < old)
            yield TableChange(ordinary, -abs(new - old), table.number, server, new, table)

    def _least_gap(self, urgent: bool, ejections_written: bool) -> int:
        """Return the least microseconds between two publications.

        Weights of cold servers and levels move with each join: written at once, they spent the
        messages that an ejection needed then.
        """
        channel = self.state.settings.channel
        gap = 0
        if channel.max_messages and not ejections_written:
            gap = channel.message_window // channel.max_messages
        return gap if urgent else max(TURN, 2 * gap)

    def _has_room(self, change: TableChange, now: int) -> bool:
        proxies = change.table.proxies
        channel = self.state.channel
        room = self.queue_limit()
        spare = SPARE_AFTER_URGENT
        if change.ordinary:
            lines_per_second = self.state.settings.channel.lines_per_second
            room = min(room, lines_per_second * channel.pace * TURN_SECONDS)
            spare = SPARE_AFTER_ORDINARY
        queued = channel.queued_lines(now) + channel.cost(proxies, 1)
        return not proxies or queued <= room and self._may_write(proxies, spare)

    def _write(self, change: TableChange, now: int) -> None:
        table = change.table
        self.state.channel.record_orders(self.state.proxies, table.proxies, 1, now)
        if change.server == LEVEL:
            table.published_level = change.value
            level = self.admission.stated_level(table, change.value)
            self.state.host.set_admission(table.number, [table.class_index], level, RETRY_POLICY)
            return
        self.state.host.set_weight(table.number, change.server, change.value)
        table.published_weights[change.server] = change.value
        if not change.value:
            del table.published_weights[change.server]

    def _may_write(self, proxies: Iterable[int], spare: int) -> bool:
        """Whether a message, and so many more, keep below what each proxy may be written."""
        most = self.state.settings.channel.max_messages
        now = self.state.host.now()
        channel = self.state.channel
        return not most or all(
            channel.messages_written(self.state.proxies[proxy], now) + spare < most
            for proxy in proxies
            if proxy not in channel.reached
        )


def _level_differs(level: float, published: float | None) -> bool:
    if published is None or abs(level - published) > LEVEL_CHANGE:
        return True
    return level == 1.0 and published != 1.0
