"""The state of one resource type on one stream: names subscribed to, and versions sent."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...planner.pending_updates import TableUpdate

WILDCARD = "*"


@dataclass(frozen=True, slots=True)
class SentResponse:
    """A response that the proxy has not answered yet.

    `versions` are those of the resources in it, by name; `removed` names the resources that it
    removes; `updates` count as delivered when it is acknowledged.
    """

    versions: dict[str, str]
    removed: list[str]
    updates: list[TableUpdate]


@dataclass(slots=True)
class Subscription:
    """One resource type on one stream.

    `sent`, `acknowledged` and `rejected` hold versions by resource name.
    """

    names: set[str] = field(default_factory=set)  # subscribed to by name
    wildcard: bool = False
    started: bool = False
    sent: dict[str, str] = field(default_factory=dict)
    acknowledged: dict[str, str] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)
    unanswered: OrderedDict[str, SentResponse] = field(default_factory=OrderedDict)  # by nonce
    reported_absent: set[str] = field(default_factory=set)  # names reported as not existing
    answer_due: bool = False  # the last request needs a response even if nothing has changed

    def covers(self, name: str) -> bool:
        """Return whether the subscription includes a resource."""
        return self.wildcard or name in self.names

    def is_pending(self, name: str, version: str) -> bool:
        """Return whether a version must be sent: it was not sent yet, and not rejected either."""
        return self.sent.get(name) != version and self.rejected.get(name) != version

    def forget(self, names: Iterable[str]) -> None:
        """Drop the versions of resources, so that a new subscription gets them again."""
        for name in names:
            self.sent.pop(name, None)
            self.acknowledged.pop(name, None)
            self.rejected.pop(name, None)

    def forget_unsubscribed(self) -> None:
        """Drop the versions of resources that are no longer subscribed to."""
        known = self.sent.keys() | self.acknowledged.keys() | self.rejected.keys()
        self.forget([name for name in known if not self.covers(name)])

    def on_acknowledged(self, response: SentResponse) -> None:
        """Record that the proxy uses the resources of a response."""
        self.acknowledged.update(response.versions)
        for name in response.removed:
            self.acknowledged.pop(name, None)

    def on_rejected(self, response: SentResponse) -> None:
        """Record that the proxy keeps its previous versions of the resources of a response."""
        self.rejected.update(response.versions)
        for name in response.versions:
            if name in self.acknowledged:
                self.sent[name] = self.acknowledged[name]
            else:
                self.sent.pop(name, None)

    def on_uncertain(self, response: SentResponse) -> None:
        """Have the resources of a response sent again, as the proxy may not have applied them."""
        for name in response.versions:
            self.sent.pop(name, None)
            self.acknowledged.pop(name, None)
        for name in response.removed:
            self.sent[name] = self.acknowledged.get(name, "")
