"""Which load balancers are connected over SASP, and what each has registered; free of I/O."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from .codec import Address, Bounds, Member

if TYPE_CHECKING:
    from ...planner.planner_host import PlannerHost
    from .conversation import Conversation

# How often connections may take one id from each other within the window of the message limit.
MAX_TAKEOVERS = 3
MESSAGE_ID_MASK = 0xFFFFFFFF


class SaspEnvironment(Protocol):
    """What conversations may ask of the program around them."""

    def proxy_index(self, load_balancer_id: bytes) -> int | None:
        """Return the index of a proxy that may be served here, or None."""

    def on_proxy_joined(self, proxy: int, load_balancer_id: bytes) -> None:
        """Begin to serve a proxy."""

    def on_proxy_left(self, proxy: int) -> None:
        """Serve a proxy no more."""

    def server_at(self, address: Address) -> int | None:
        """Return the index of the server at an address, or None."""

    def address_of(self, server: int) -> Address | None:
        """Return a server's address, or None."""

    def answered_recently(self, server: int) -> bool:
        """Return whether a server has answered of late."""

    def on_host_quiesced(self, address: Address, quiesced: bool) -> Any:
        """Take in what a server says of itself: whether it wants no new work."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the log."""


class SentEntry(NamedTuple):
    """What a load balancer was last told of a member."""

    weight: int
    flags: int
    state: int


@dataclass(slots=True)
class Group:
    """One group of one load balancer: its members by address, and what is known of each."""

    members: dict[Address, Member] = field(default_factory=dict)
    registered_by_balancer: set[Address] = field(default_factory=set)
    quiesced: set[Address] = field(default_factory=set)  # by the load balancer's own wish
    states: dict[Address, int] = field(default_factory=dict)
    sent: dict[Address, SentEntry] = field(default_factory=dict)

    def remove(self, address: Address) -> None:
        """Forget a member that was registered."""
        del self.members[address]
        self.registered_by_balancer.discard(address)
        self.quiesced.discard(address)
        self.sent.pop(address, None)


class RegistrationRegistry:
    """All conversations of one planner's SASP frontend.

    Parameters
    ----------
    planner_host
        Holds the tables.
    environment
        The program around.
    class_names
        The classes, which are the groups of this protocol.
    bounds
        What one peer may send.
    poll_interval
        Seconds after which a load balancer that polls should do so again.
    takeover_window
        Microseconds within which takeovers of one id are counted.
    """

    def __init__(
        self,
        planner_host: "PlannerHost",
        environment: SaspEnvironment,
        class_names: Sequence[str],
        bounds: Bounds,
        poll_interval: int,
        takeover_window: int,
    ) -> None:
        self.planner_host = planner_host
        self.environment = environment
        self.bounds = bounds
        self.poll_interval = poll_interval
        self.takeover_window = takeover_window
        self.class_indices = {name.encode(): index for index, name in enumerate(class_names)}
        self.group_names = [name.encode() for name in class_names]
        self.conversations: dict[bytes, Conversation] = {}  # by the load balancer's id
        self._takeovers: dict[bytes, list[int]] = {}  # the times of the recent ones, by id
        self._last_message_id = 0

    def claim(self, load_balancer_id: bytes, conversation: "Conversation") -> bool:
        """Let a conversation speak for an id, and return whether it may.

        The newest does: the older is most often a broken one that nobody noticed. Two that take the
        id from each other by turns are told apart from that by their pace, and the newest waits.
        """
        older = self.conversations.get(load_balancer_id)
        if older is conversation:
            return True
        now = self.planner_host.now()
        if older is not None:
            recent = [
                taken_at
                for taken_at in self._takeovers.get(load_balancer_id, ())
                if now - taken_at < self.takeover_window
            ]
            if len(recent) >= MAX_TAKEOVERS:
                self._takeovers[load_balancer_id] = recent
                return False
            self._takeovers[load_balancer_id] = [*recent, now]
            older.on_replaced()
        self.conversations[load_balancer_id] = conversation
        self._forget_old_takeovers(now)
        return True

    def _forget_old_takeovers(self, now: int) -> None:
        old = [
            load_balancer_id
            for load_balancer_id, times in self._takeovers.items()
            if now - times[-1] >= self.takeover_window
        ]
        for load_balancer_id in old:
            del self._takeovers[load_balancer_id]

    def release(self, load_balancer_id: bytes, conversation: "Conversation") -> None:
        """Forget a conversation, unless another speaks for its id by now."""
        if self.conversations.get(load_balancer_id) is conversation:
            del self.conversations[load_balancer_id]

    def next_message_id(self) -> int:
        """Return the id of a message that nobody asked for.

        These count downwards from the top: a load balancer's own requests count upwards.
        """
        self._last_message_id = (self._last_message_id - 1) & MESSAGE_ID_MASK
        return self._last_message_id
