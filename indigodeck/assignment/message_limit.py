"""The limit on messages to each proxy, with reserves that keep ejections possible."""

from collections.abc import Set
from math import ceil

from .state import AssignerState

# Messages to each proxy that stay available for more urgent orders after the one being sent.
RESERVE_AFTER_EJECTION = 1
RESERVE_AFTER_URGENT = 3
RESERVE_AFTER_DEFERRABLE = 5


class MessageLimit:
    """Decides whether proxies may get a message now; later lines of a call go into the same one."""

    def __init__(self, state: AssignerState) -> None:
        self.state = state

    def allows(self, proxies: Set[int], reserve: int) -> bool:
        """Return whether each proxy may get a message.

        It must leave `reserve` more below the message limit, and a message for ejections every
        `_max_ejection_wait` from now on.
        """
        max_messages = self.state.settings.channel.max_messages
        if not max_messages:
            return True
        now = self.state.host.now()
        channel = self.state.channel
        max_wait = self._max_ejection_wait()
        recipients = [self.state.proxies[proxy] for proxy in channel.new_recipients(proxies)]
        return all(
            channel.recent_message_count(proxy, now) + reserve < max_messages
            and channel.can_continue(proxy, now, max_wait, max_messages - RESERVE_AFTER_EJECTION)
            for proxy in recipients
        )

    def _max_ejection_wait(self) -> int:
        """Return for how many microseconds ejections may be gathered into one message.

        Half of the drain grace that delivery leaves; the other half covers timers and the queue.
        It is longer where the message limit does not allow that many messages.
        """
        settings = self.state.settings
        channel = settings.channel
        spare_time = (settings.drain_grace - channel.max_delivery_delay) // 2
        messages_per_window = max(1, channel.max_messages - RESERVE_AFTER_EJECTION - 1)
        sustainable_interval = ceil(channel.message_window / messages_per_window)
        return max(1, spare_time, sustainable_interval)
