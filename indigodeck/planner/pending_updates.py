"""What one joined proxy is bound to, and what waits for it until it can be written to.

Only the classes and servers that changed are remembered, not their values: a proxy is sent the
newest state at the time of writing, and what was ordered in between is never sent.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

# A proxy that reads nothing would gather requests for ever; the newest say all that is asked.
MAX_REQUESTED_ACKS = 64


class TableUpdate(NamedTuple):
    """What a proxy is handed at one time.

    `class_indices` names the classes that changed. The oldest order in it has waited since
    `waiting_since`. `requested_acks` holds the number of each acknowledgement to give, and when it
    was asked for. `version` is the published version that the proxy is brought to, if any.
    """

    proxy: int
    class_indices: frozenset[int]
    waiting_since: int | None
    requested_acks: tuple[tuple[int, int], ...]
    version: Any = None


class PendingUpdates:
    """One joined proxy: its table for each class, and the changes that wait for it."""

    def __init__(self) -> None:
        self.tables: dict[int, int] = {}  # by class
        self.changed_servers: dict[int, set[int]] = {}  # by class
        self.waiting_since: int | None = None
        self.requested_acks: list[tuple[int, int]] = []

    def add(self, now: int, class_index: int, servers: Iterable[int]) -> None:
        """Note that these servers changed for a class; none: the class's admission alone."""
        if self.waiting_since is None:
            self.waiting_since = now
        self.changed_servers.setdefault(class_index, set()).update(servers)

    def request_acks(self, now: int, numbers: Iterable[int]) -> None:
        """Have the next message acknowledged under these numbers."""
        self.requested_acks.extend((number, now) for number in numbers)
        del self.requested_acks[:-MAX_REQUESTED_ACKS]

    def line_count(self) -> int:
        """Return how many table lines wait; a class without lines counts as one."""
        return sum(max(1, len(servers)) for servers in self.changed_servers.values())

    def take(self, proxy: int, version: Any) -> TableUpdate:
        """Hand over all that waits; from then on nothing does."""
        update = TableUpdate(
            proxy,
            frozenset(self.changed_servers),
            self.waiting_since,
            tuple(self.requested_acks),
            version,
        )
        self.changed_servers = {}
        self.waiting_since = None
        self.requested_acks = []
        return update
