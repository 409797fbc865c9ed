"""Accounting of the channel to the proxies: queued lines, lateness, and messages to each proxy."""

from collections.abc import Set
from typing import NamedTuple

from ..clock import SECOND
from ..settings import DeploymentSettings
from .demand import Proxy, ProxyRegistry

MAX_ACK_NUMBER = 65535  # the next number after it is 1
MAX_PENDING_ACKS = 256  # older requests are dropped: their proxies have left
# Of the configured lines per second; a wrong acknowledgement must not stop all deliveries.
MIN_THROUGHPUT_RATIO = 0.05


class PendingAck(NamedTuple):
    """A request for acknowledgement that has not been answered yet.

    The orders before it should be delivered within `expected_delay` microseconds. `lines_ordered`
    is the total of all lines ordered up to the request. `recipients` are the proxies that can still
    answer.
    """

    ordered_at: int
    expected_delay: float
    lines_ordered: float
    recipients: set[int]


class ChannelAccount:
    """The planner's estimate of the state of one channel, from its orders and acknowledgements.

    `throughput_ratio` is the measured throughput over the configured lines per second.
    `call_recipients` are the proxies that already receive orders of the current call: further lines
    to them go into the same message. `possible_recipients` are others that may receive some. An
    unanswered request for acknowledgement is taken into account for `ack_timeout` microseconds.
    """

    def __init__(self, settings: DeploymentSettings, now: int, ack_timeout: int) -> None:
        self.settings = settings
        self.ack_timeout = ack_timeout
        self.throughput_ratio = 1.0
        self.call_recipients: set[int] = set()
        self.possible_recipients: set[int] = set()
        self.pending_acks: dict[int, PendingAck] = {}
        self.last_ack_number = 0
        self.lines_waiting = 0.0
        self.lines_waiting_at = now
        self.lines_ordered = 0.0
        self.lines_delivered = 0.0
        self.last_lateness: float = 0
        self.last_ack_at = now

    def queued_lines(self, now: int) -> float:
        """Return the number of lines waiting in the channel, estimated from its throughput.

        While acknowledgements are overdue, every line that is not acknowledged counts as waiting.
        """
        configured_rate = self.settings.channel.lines_per_second
        sent = (now - self.lines_waiting_at) * configured_rate * self.throughput_ratio / SECOND
        self.lines_waiting = max(0.0, self.lines_waiting - sent)
        self.lines_waiting_at = now
        if self.lateness(now) > self.settings.channel.max_delivery_delay:
            return max(self.lines_waiting, self.lines_ordered - self.lines_delivered)
        return self.lines_waiting

    def lateness(self, now: int) -> float:
        """Return by how many microseconds orders exceed their expected delay.

        The estimate uses the last acknowledgement and the requests that are still unanswered.
        """
        overdue_times = (
            now - pending.ordered_at - pending.expected_delay
            for pending in self.pending_acks.values()
            if now - pending.ordered_at < self.ack_timeout
        )
        return max(0, self.last_lateness - (now - self.last_ack_at), *overdue_times)

    def cost(self, proxies: Set[int], lines: int) -> float:
        """Return the cost, in lines, of `lines` to each proxy including new messages' overhead."""
        return (
            len(proxies) * lines
            + len(proxies - self.call_recipients) * self.settings.channel.message_overhead_lines
        )

    def begin_call(self) -> None:
        """Start the orders of one call; the first line to each proxy starts a new message."""
        self.call_recipients = set()
        self.possible_recipients = set()

    def record_orders(
        self, registry: ProxyRegistry, proxies: Set[int], lines: int, now: int
    ) -> None:
        """Record that `lines` have been ordered to each of the proxies."""
        self._record_lines(self.cost(proxies, lines), now)
        self._record_messages(registry, proxies, now)
        self.call_recipients |= proxies

    def record_possible_orders(
        self, registry: ProxyRegistry, proxies: Set[int], share: float, now: int
    ) -> None:
        """Record a line that this share of the proxies gets; it is not known which of them.

        Each counts as written a message, but none can be relied on for an acknowledgement.
        """
        self._record_lines(self.cost(proxies, 1) * share, now)
        self._record_messages(registry, proxies, now)
        self.possible_recipients |= proxies

    def _record_lines(self, lines: float, now: int) -> None:
        self.queued_lines(now)
        self.lines_waiting += lines
        self.lines_ordered += lines

    def _record_messages(self, registry: ProxyRegistry, proxies: Set[int], now: int) -> None:
        for number in self.new_recipients(proxies):
            registry[number].message_times.append(now)

    def new_recipients(self, proxies: Set[int]) -> Set[int]:
        """Return the proxies for which a line would start a new message in this call."""
        return proxies - self.call_recipients - self.possible_recipients

    def recent_message_count(self, proxy: Proxy, now: int) -> int:
        """Return how many messages were sent to a proxy within the limit's time window.

        The message of the current call is not counted until an order to the proxy is recorded.
        """
        window_start = now - self.settings.channel.message_window
        while proxy.message_times and proxy.message_times[0] < window_start:
            proxy.message_times.popleft()
        return len(proxy.message_times)

    def can_continue(self, proxy: Proxy, now: int, interval: int, max_messages: int) -> bool:
        """Return whether a message now leaves room for one every `interval` from then on.

        At no time may more than `max_messages` lie within the limit's time window.
        """
        self.recent_message_count(proxy, now)  # drops the times before the window
        window = self.settings.channel.message_window
        for newer_or_equal, sent_at in enumerate(reversed(proxy.message_times), start=1):
            further_messages = (sent_at + window - now) // interval
            if newer_or_equal + 1 + further_messages > max_messages:
                return False
        return True

    def new_ack_request(self, now: int) -> int:
        """Register a request to acknowledge the orders of this call, and return its number."""
        self.last_ack_number = self.last_ack_number % MAX_ACK_NUMBER + 1
        expected_delay = (
            self.lines_waiting / self.settings.channel.lines_per_second * SECOND
            + self.settings.channel.max_delivery_delay
        )
        self.pending_acks[self.last_ack_number] = PendingAck(
            now, expected_delay, self.lines_ordered, set(self.call_recipients)
        )
        oldest = self.last_ack_number + MAX_ACK_NUMBER - MAX_PENDING_ACKS
        self.pending_acks.pop(oldest % (MAX_ACK_NUMBER + 1), None)
        return self.last_ack_number

    def on_ack(self, number: int, delay: int, now: int) -> None:
        """Process an acknowledgement, sent `delay` microseconds after its orders.

        Only the first answer to a request counts: it shows how far the channel has delivered, while
        later ones also contain stalls of individual proxies.
        """
        if number not in self.pending_acks:
            return
        answered = self.pending_acks[number]
        self.lines_delivered = answered.lines_ordered
        self.pending_acks = {
            other: pending
            for other, pending in self.pending_acks.items()
            if pending.lines_ordered > self.lines_delivered
        }
        self.last_lateness = delay - answered.expected_delay
        self.last_ack_at = now
        self.throughput_ratio = max(
            MIN_THROUGHPUT_RATIO, min(1.0, answered.expected_delay / max(delay, 1))
        )

    def on_proxy_left(self, proxy: int) -> None:
        """Drop the requests that nobody can answer any more: they say nothing about the channel."""
        for pending in self.pending_acks.values():
            pending.recipients.discard(proxy)
        self.pending_acks = {
            number: pending for number, pending in self.pending_acks.items() if pending.recipients
        }
