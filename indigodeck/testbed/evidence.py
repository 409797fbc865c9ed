"""What is known of a played scenario from outside the planner: receipts, outcomes, messages, lists.

All times are microseconds of one clock. Hosts and relays write receipts and outcomes as JSON lines
(`host_pool.py`, `relay_pool.py`); their keys are read here alone.
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

    `state`: "begun", "full" (rejected), "fallen" (the host is overloaded for good) or "silent"
    (taken, and never answered). `work` is microseconds of one core, `capacity` cores.
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
        """Read a line that a host wrote."""
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
    """What became of one client's request: the priority weight it asked for and earned."""

    at: int
    relay: str
    class_name: str
    outcome: str  # "ok", "nowhere", "late" and others of relay_pool.py
    weight_asked: float
    weight_earned: float

    @classmethod
    def from_json(cls, line: dict[str, Any]) -> "Outcome":
        """Read a line that a relay wrote."""
        return cls(
            line["at"],
            line["relay"],
            line["class"],
            line["outcome"],
            line["asked"],
            line["earned"],
        )


class Publication(NamedTuple):
    """One host's state as the endpoint list stated it."""

    at: int
    host: str
    state: str  # "ready", "draining" or "gone"
    host_started: int


class LeaseAcquisition(NamedTuple):
    """A controller became the leader, by its own log."""

    at: int
    epoch: int
    controller: str


@dataclass(slots=True)
class Evidence:
    """All that an audit goes by.

    `settings.channel.max_messages` is what may be written to a relay in all. `lease_acquisitions`
    is empty where there is one controller.
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
        """Put all in the order of time."""
        self.receipts.sort(key=lambda receipt: receipt.at)
        self.outcomes.sort(key=lambda outcome: outcome.at)
        self.stream_events.sort(key=lambda event: event.at)
        self.publications.sort(key=lambda publication: publication.at)

    def planner_starts_until(self, at: int) -> int:
        """Return how many planners had started by this time."""
        return sum(started <= at for started in self.planner_starts)


def read_json_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the JSON lines of a file; a last one that was cut off is left out."""
    lines = []
    with path.open() as file:
        for line in file:
            try:
                lines.append(json.loads(line))
            except ValueError:
                break
    return lines
