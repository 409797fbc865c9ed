"""What one stream knows of one type of resource: asked, sent, acknowledged, rejected."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...planner.pending_updates import TableUpdate

WILDCARD = "*"


@dataclass(frozen=True, slots=True)
class SentResponse:
    """A response that was not answered yet: versions by name, what it removes, what it delivers."""

    versions: dict[str, str]
    removed: list[str]
    updates: list[TableUpdate]


@dataclass(slots=True)
class Subscription:
    """One type of resource on one stream. `sent`, `acknowledged`, `rejected`: versions by name."""

    names: set[str] = field(default_factory=set)  # asked for by name
    wildcard: bool = False
    started: bool = False
    sent: dict[str, str] = field(default_factory=dict)
    acknowledged: dict[str, str] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)
    unanswered: OrderedDict[str, SentResponse] = field(default_factory=OrderedDict)  # by nonce
    reported_absent: set[str] = field(default_factory=set)  # names that were told not to exist
    answer_due: bool = False  # something was asked that wants an answer even if nothing changed

    def covers(self, name: str) -> bool:
        """Return whether a resource is subscribed to."""
        return self.wildcard or name in self.names

    def is_pending(self, name: str, version: str) -> bool:
        """Return whether a version was neither sent nor rejected."""
        return self.sent.get(name) != version and self.rejected.get(name) != version

    def forget(self, names: Iterable[str]) -> None:
        """Forget what is known of resources: they are sent again when they are asked for again."""
        for name in names:
            self.sent.pop(name, None)
            self.acknowledged.pop(name, None)
            self.rejected.pop(name, None)

    def forget_unsubscribed(self) -> None:
        """Forget the resources that are no longer subscribed to."""
        known = self.sent.keys() | self.acknowledged.keys() | self.rejected.keys()
        self.forget([name for name in known if not self.covers(name)])

    def on_acknowledged(self, response: SentResponse) -> None:
        """Take note that the proxy uses what a response held."""
        self.acknowledged.update(response.versions)
        for name in response.removed:
            self.acknowledged.pop(name, None)

    def on_rejected(self, response: SentResponse) -> None:
        """Take note that the proxy goes on with what it had."""
        self.rejected.update(response.versions)
        for name in response.versions:
            if name in self.acknowledged:
                self.sent[name] = self.acknowledged[name]
            else:
                self.sent.pop(name, None)

    def on_uncertain(self, response: SentResponse) -> None:
        """Have the resources of a response sent again: whether the proxy has them is not known."""
        for name in response.versions:
            self.sent.pop(name, None)
            self.acknowledged.pop(name, None)
        for name in response.removed:
            self.sent[name] = self.acknowledged.get(name, "")
