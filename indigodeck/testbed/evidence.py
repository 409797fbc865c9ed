"""Records of a scenario made outside the planner: receipts, outcomes, messages and endpoint lists.

All times are in microseconds and come from the same clock. Hosts and relays write receipts and
outcomes as JSON lines (`host_pool.py`, `relay_pool.py`); only this module reads their keys.
"""

import json
import pathlib
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..clock import SECOND
from ..settings import DeploymentSettings
from .recording_proxy import StreamEvent


class Receipt(NamedTuple):
    """One request as it reached a host.

    `state`: "begun" (accepted), "full" (rejected: the queue is full), "fallen" (the host has
    crashed from overload) or "silent" (accepted but never answered). `work` is in microseconds of
    one core, `capacity` in cores.
    """

    at: int
    host: str
    relay: str
    key: str
    class_name: str
    work: int
    capacity: float
    is_cold: bool
    state: str

    @classmethod
    def from_json(cls, line: dict[str, Any]) -> "Receipt":
        """Parse a JSON line written by a host."""
        return cls(
            line["at"],
            line["host"],
            line["relay"],
            line["key"],
            line["class"],
            line["work"],
            line["able"],
            line["cold"],
            line["state"],
        )


class Outcome(NamedTuple):
    """The result of one client request, with the priority weight that it requested and earned."""

    at: int
    relay: str
    class_name: str
    outcome: str  # "ok", "nowhere" (no server), "late" and others; see relay.py
    weight_asked: float
    weight_earned: float

    @classmethod
    def from_json(cls, line: dict[str, Any]) -> "Outcome":
        """Parse a JSON line written by a relay."""
        return cls(
            line["at"],
            line["relay"],
            line["class"],
            line["outcome"],
            line["asked"],
            line["earned"],
        )


class Publication(NamedTuple):
    """One host's state as published in the endpoint list."""

    at: int
    host: str
    state: str  # "ready", "draining" or "gone"
    host_started: int


class LeaseAcquisition(NamedTuple):
    """A controller became the leader, according to its own log."""

    at: int
    epoch: int
    controller: str


@dataclass(slots=True)
class Evidence:
    """The complete input of an audit.

    `settings.channel.max_messages` limits all messages to a relay, including answers to its own
    requests. `lease_acquisitions` is empty if there is only one controller.
    """

    settings: DeploymentSettings
    class_names: list[str]
    started_at: int
    receipts: list[Receipt] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    stream_events: list[StreamEvent] = field(default_factory=list)
    publications: list[Publication] = field(default_factory=list)
    planner_starts: list[int] = field(default_factory=list)
    lease_acquisitions: list[LeaseAcquisition] = field(default_factory=list)

    def seconds_since_start(self, at: int) -> float:
        """Return a time as seconds since the scenario started."""
        return (at - self.started_at) / SECOND

    def sort(self) -> None:
        """Sort all records by time."""
        self.receipts.sort(key=lambda receipt: receipt.at)
        self.outcomes.sort(key=lambda outcome: outcome.at)
        self.stream_events.sort(key=lambda event: event.at)
        self.publications.sort(key=lambda publication: publication.at)

    def planner_start_count(self, at: int) -> int:
        """Return how many planners had started by this time."""
        return sum(started <= at for started in self.planner_starts)


def read_json_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the JSON lines of a file, up to the first that is truncated."""
    lines = []
    with path.open() as file:
        for line in file:
            try:
                lines.append(json.loads(line))
            except ValueError:
                break
    return lines
