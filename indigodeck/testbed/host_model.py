"""The capacity model of a host, free of I/O: few cores, a bounded queue, slow start, overload.

Times are microseconds; work is microseconds of one core at full speed.
"""

import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from tornado.locks import Event

from ..clock import SECOND

OVERLOAD_SLACK = 1.1  # for chance: a host falls over a little later than stated
LONGEST_HISTORY = 4096  # completed requests that reports look back on


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What one host can do.

    It serves `slots` requests at a time, and `queue_limit` more may wait. A host that started at
    `started` (0: long ago) is cold for `warm_up_time`, and begins with `cold_capacity_share` of
    its capacity. A cold host falls over for good when it is sent more than `overload_multiple`
    times what it can do (0: never), held for `overload_time`.
    """

    cores: int
    slots: int
    queue_limit: int
    started: int = 0
    warm_up_time: int = 0
    cold_capacity_share: float = 1.0
    overload_multiple: float = 0
    overload_time: int = 0

    @classmethod
    def from_json(cls, stated: dict[str, Any]) -> "HostSettings":
        """Read the settings in a command that starts a host."""
        return cls(
            stated["cores"],
            stated["slots"],
            stated["room"],
            stated.get("started", 0),
            stated.get("cold_time", 0),
            stated.get("cold_share", 1.0),
            stated.get("tip_multiple", 0),
            stated.get("tip_time", 0),
        )


class ArrivedWork(NamedTuple):
    """Work that reached a cold host."""

    at: int
    work: int


class CompletedRequest(NamedTuple):
    """A request that was answered."""

    at: int
    class_name: str
    succeeded: bool
    service_time: float


class HostModel:
    """One host's capacity and what occupies it."""

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.in_flight = 0
        self.queue: deque[Event] = deque()  # of requests that wait for a slot
        self.speed = 1.0  # less while a fault slows the host down
        self.is_fallen = False
        self._arrived: deque[ArrivedWork] = deque()
        self._completed: deque[CompletedRequest] = deque(maxlen=LONGEST_HISTORY)

    def capacity_share(self, now: int) -> float:
        """Return the part of its capacity that the host has by now."""
        settings = self.settings
        if not settings.started or now - settings.started >= settings.warm_up_time:
            return 1.0
        warm_part = (now - settings.started) / settings.warm_up_time
        return settings.cold_capacity_share + (1 - settings.cold_capacity_share) * warm_part

    def capacity(self, now: int) -> float:
        """Return the cores' worth of work that the host can do by now."""
        return self.settings.cores * self.capacity_share(now)

    def arrive(self, now: int, work: int) -> bool:
        """Take note of work that arrives; return whether the host still stands."""
        settings = self.settings
        if self.capacity_share(now) < 1 and settings.overload_multiple:
            self._arrived.append(ArrivedWork(now, work))
            while self._arrived[0].at < now - settings.overload_time:
                self._arrived.popleft()
            possible = self.capacity(now) * settings.overload_time
            limit = settings.overload_multiple * possible * OVERLOAD_SLACK
            if sum(arrived.work for arrived in self._arrived) > limit:
                self.is_fallen = True
        return not self.is_fallen

    def service_time(self, now: int, work: int) -> float:
        """Return how long work takes that begins now: more requests than cores slow all down."""
        crowding = max(1.0, (self.in_flight + 1) / self.settings.cores)
        return work * crowding / (self.capacity_share(now) * self.speed)

    def is_full(self) -> bool:
        """Return whether no more requests may wait."""
        return len(self.queue) >= self.settings.queue_limit

    def complete(self, request: CompletedRequest) -> None:
        """Count an answered request for the load reports."""
        self._completed.append(request)

    def load_report(self, now: int, class_names: Iterable[str]) -> str:
        """Return the load report, as the JSON form of an ORCA header. Rates are of the last 1 s."""
        while self._completed and self._completed[0].at < now - SECOND:
            self._completed.popleft()
        times = [request.service_time for request in self._completed if request.succeeded]
        metrics: dict[str, float] = {
            "inflight": self.in_flight + len(self.queue),
            "latency_ms": round(sum(times) / len(times) / 1000, 1) if times else 0.0,
        }
        for name in class_names:
            metrics[f"rps.{name}"] = sum(
                1 for request in self._completed if request.class_name == name
            )
        return "JSON " + json.dumps(
            {
                "cpu_utilization": min(1.0, round(self.in_flight / self.settings.cores, 3)),
                "rps_fractional": len(self._completed),
                "eps": len(self._completed) - len(times),
                "named_metrics": metrics,
            }
        )
