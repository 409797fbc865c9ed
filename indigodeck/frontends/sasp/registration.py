"""The load balancers that are connected over SASP, and their registrations, without I/O."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from .codec import Address, Bounds, Member

if TYPE_CHECKING:
    from ...planner.planner_host import PlannerHost
    from .conversation import Conversation

# How often new connections may take over one load balancer's id within the takeover window.
MAX_TAKEOVERS = 3
MESSAGE_ID_MASK = 0xFFFFFFFF


class SaspEnvironment(Protocol):
    """The services of the planner that conversations use."""

    def proxy_index(self, load_balancer_id: bytes) -> int | None:
        """Return the index of a proxy, or None if it may not be served by this planner."""

    def on_proxy_joined(self, proxy: int, load_balancer_id: bytes) -> None:
        """Start to serve a proxy."""

    def on_proxy_left(self, proxy: int) -> None:
        """Stop serving a proxy."""

    def server_at(self, address: Address) -> int | None:
        """Return the index of the server at an address, or None."""

    def address_of(self, server: int) -> Address | None:
        """Return a server's address, or None."""

    def answered_recently(self, server: int) -> bool:
        """Return whether a server has answered the planner recently."""

    def on_host_quiesced(self, address: Address, quiesced: bool) -> Any:
        """Handle a server's own statement of whether it wants no new requests."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""


class SentEntry(NamedTuple):
    """The values of a member's weight entry that was last sent to a load balancer."""

    weight: int
    flags: int
    state: int


@dataclass(slots=True)
class Group:
    """One group of one load balancer: its members, their states and the entries last sent."""

    members: dict[Address, Member] = field(default_factory=dict)
    registered_by_balancer: set[Address] = field(default_factory=set)
    quiesced: set[Address] = field(default_factory=set)  # at the load balancer's request
    states: dict[Address, int] = field(default_factory=dict)
    sent: dict[Address, SentEntry] = field(default_factory=dict)

    def remove(self, address: Address) -> None:
        """Remove a registered member."""
        del self.members[address]
        self.registered_by_balancer.discard(address)
        self.quiesced.discard(address)
        self.sent.pop(address, None)


class RegistrationRegistry:
    """All conversations of one planner's SASP frontend.

    Parameters
    ----------
    planner_host
        The planner host, which holds the tables.
    environment
        The planner's services for conversations.
    class_names
        The names of the classes, which are the groups of this protocol.
    bounds
        The limits for messages of one peer.
    poll_interval
        The interval in seconds at which load balancers should poll.
    takeover_window
        The time in microseconds over which takeovers of one id are counted.
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
        self._takeovers: dict[bytes, list[int]] = {}  # the times of recent takeovers, by id
        self._last_message_id = 0

    def claim(self, load_balancer_id: bytes, conversation: "Conversation") -> bool:
        """Give a load balancer's id to a conversation, and return whether that is allowed.

        The newest conversation takes over the id, since the older one is most often on a broken
        connection that was not detected as such. If two load balancers with the same id take it
        from each other in turn, takeovers become too frequent, and the newest is rejected.
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
        self._drop_old_takeovers(now)
        return True

    def _drop_old_takeovers(self, now: int) -> None:
        old = [
            load_balancer_id
            for load_balancer_id, times in self._takeovers.items()
            if now - times[-1] >= self.takeover_window
        ]
        for load_balancer_id in old:
            del self._takeovers[load_balancer_id]

    def release(self, load_balancer_id: bytes, conversation: "Conversation") -> None:
        """Remove a conversation, unless another one has taken over its id."""
        if self.conversations.get(load_balancer_id) is conversation:
            del self.conversations[load_balancer_id]

    def next_message_id(self) -> int:
        """Return the id for a message that is not a reply.

        These ids count down from the highest, as load balancers count the ids of requests up.
        """
        self._last_message_id = (self._last_message_id - 1) & MESSAGE_ID_MASK
        return self._last_message_id
