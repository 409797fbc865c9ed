"""The channel to the proxies: what waits in it, how late it is, who was written to."""

from collections.abc import Set
from typing import NamedTuple

from ..clock import SECOND
from ..settings import DeploymentSettings
from .demand import Proxy, ProxyRegistry

HIGHEST_ACK_NUMBER = 65535  # then they start again from 1
PENDING_ACKS_KEPT = 256  # older requests are given up: their proxies have left
SLOWEST_PACE = 0.05  # of the stated lines a second; a wrong acknowledgement must not stop all


class PendingAck(NamedTuple):
    """A request for acknowledgement that waits for its first answer.

    Orders up to it should take at most `promised` microseconds; `lines_ordered` is the sum of all
    lines ordered until then.
    """

    ordered_at: int
    promised: float
    lines_ordered: float


class ChannelAccount:
    """The planner's own account of one channel, kept up from orders and acknowledgements.

    `pace` is the part of the stated lines a second that the channel shows. `reached` holds the
    proxies that the orders of the present call go to: a further line to them starts no message.
    A request that nobody answers counts for `give_up_after` microseconds.
    """

    def __init__(self, settings: DeploymentSettings, now: int, give_up_after: int) -> None:
        self.settings = settings
        self.give_up_after = give_up_after
        self.pace = 1.0
        self.reached: set[int] = set()
        self.pending_acks: dict[int, PendingAck] = {}
        self.last_ack_number = 0
        self.lines_waiting = 0.0
        self.lines_waiting_at = now
        self.lines_ordered = 0.0
        self.lines_delivered = 0.0
        self.last_lateness: float = 0
        self.last_ack_at = now

    def queued_lines(self, now: int) -> float:
        """Return the lines that wait, by the pace shown.

        While acknowledgements are overdue, these are all lines that none has accounted for.
        """
        stated_rate = self.settings.channel.lines_per_second
        sent = (now - self.lines_waiting_at) * stated_rate * self.pace / SECOND
        self.lines_waiting = max(0.0, self.lines_waiting - sent)
        self.lines_waiting_at = now
        if self.lateness(now) > self.settings.channel.max_delivery_delay:
            return max(self.lines_waiting, self.lines_ordered - self.lines_delivered)
        return self.lines_waiting

    def lateness(self, now: int) -> float:
        """Return how many microseconds longer than promised orders take.

        Told by the last acknowledgement and by requests that still wait for one.
        """
        waits = (
            now - pending.ordered_at - pending.promised
            for pending in self.pending_acks.values()
            if now - pending.ordered_at < self.give_up_after
        )
        return max(0, self.last_lateness - (now - self.last_ack_at), *waits)

    def cost(self, proxies: Set[int], lines: int) -> float:
        """Return what so many lines to each proxy cost, with the overhead of new messages."""
        return (
            len(proxies) * lines
            + len(proxies - self.reached) * self.settings.channel.message_overhead_lines
        )

    def record_orders(
        self, registry: ProxyRegistry, proxies: Set[int], lines: int, now: int
    ) -> None:
        """Enter so many lines ordered to each of the proxies."""
        self.queued_lines(now)
        cost = self.cost(proxies, lines)
        self.lines_waiting += cost
        self.lines_ordered += cost
        for number in proxies - self.reached:
            registry[number].message_times.append(now)
        self.reached |= proxies

    def messages_written(self, proxy: Proxy, now: int) -> int:
        """Return how many messages a proxy was written within the window they are counted over.

        One that is under way in this call may not be among them.
        """
        window_start = now - self.settings.channel.message_window
        while proxy.message_times and proxy.message_times[0] < window_start:
            proxy.message_times.popleft()
        return len(proxy.message_times)

    def new_ack_request(self, now: int) -> int:
        """Enter a request to acknowledge all orders until now, and return its number."""
        self.last_ack_number = self.last_ack_number % HIGHEST_ACK_NUMBER + 1
        promised = (
            self.lines_waiting / self.settings.channel.lines_per_second * SECOND
            + self.settings.channel.max_delivery_delay
        )
        self.pending_acks[self.last_ack_number] = PendingAck(now, promised, self.lines_ordered)
        oldest = self.last_ack_number + HIGHEST_ACK_NUMBER - PENDING_ACKS_KEPT
        self.pending_acks.pop(oldest % (HIGHEST_ACK_NUMBER + 1), None)
        return self.last_ack_number

    def on_ack(self, number: int, took: int, now: int) -> None:
        """Take in an acknowledgement that came `took` microseconds after its orders.

        The first for a request tells what has left; those after it add the proxies' own stalls.
        """
        if number not in self.pending_acks:
            return
        _, promised, self.lines_delivered = self.pending_acks[number]
        self.pending_acks = {
            other: pending
            for other, pending in self.pending_acks.items()
            if pending.lines_ordered > self.lines_delivered
        }
        self.last_lateness = took - promised
        self.last_ack_at = now
        self.pace = max(SLOWEST_PACE, min(1.0, promised / max(took, 1)))
