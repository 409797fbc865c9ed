"""A model of a host's capacity, without I/O: cores, a bounded queue, slow start and overload.

Times are in microseconds; work is in microseconds of one core at full speed.
"""

import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from tornado.locks import Event

from ..clock import SECOND

OVERLOAD_TOLERANCE = 1.1  # allows for random variation: a host crashes slightly above its limit
MAX_COMPLETED_REQUESTS = 4096  # kept for load reports


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The capacity of one host.

    It serves `slots` requests at a time, and `queue_limit` more may wait. A host that started at
    `started` (0: long ago) is cold for `warm_up_time`, and starts with `cold_capacity_share` of
    its capacity. A cold host crashes when the work that arrives within `overload_time` exceeds
    `overload_multiple` times its capacity (0: never).
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
    def from_json(cls, document: dict[str, Any]) -> "HostSettings":
        """Parse the settings in a command that starts a host."""
        return cls(
            document["cores"],
            document["slots"],
            document["room"],
            document.get("started", 0),
            document.get("cold_time", 0),
            document.get("cold_share", 1.0),
            document.get("tip_multiple", 0),
            document.get("tip_time", 0),
        )


class ArrivedWork(NamedTuple):
    """Work that arrived at a cold host."""

    at: int
    work: int


class CompletedRequest(NamedTuple):
    """A request that was answered, with its service time in microseconds."""

    at: int
    class_name: str
    succeeded: bool
    service_time: float


class HostModel:
    """The state of one host: its capacity, requests in flight and queue."""

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.in_flight = 0
        self.queue: deque[Event] = deque()  # one event per request that waits for a slot
        self.speed = 1.0  # below 1 while a fault slows the host down
        self.has_crashed = False
        self._arrived: deque[ArrivedWork] = deque()
        self._completed: deque[CompletedRequest] = deque(maxlen=MAX_COMPLETED_REQUESTS)

    def capacity_share(self, now: int) -> float:
        """Return the share of its full capacity that the host has reached."""
        settings = self.settings
        if not settings.started or now - settings.started >= settings.warm_up_time:
            return 1.0
        warm_up_progress = (now - settings.started) / settings.warm_up_time
        return settings.cold_capacity_share + (1 - settings.cold_capacity_share) * warm_up_progress

    def capacity(self, now: int) -> float:
        """Return the host's current capacity, in cores."""
        return self.settings.cores * self.capacity_share(now)

    def add_arrival(self, now: int, work: int) -> bool:
        """Record arriving work; return whether the host is still running."""
        settings = self.settings
        if self.capacity_share(now) < 1 and settings.overload_multiple:
            self._arrived.append(ArrivedWork(now, work))
            while self._arrived[0].at < now - settings.overload_time:
                self._arrived.popleft()
            possible_work = self.capacity(now) * settings.overload_time
            limit = settings.overload_multiple * possible_work * OVERLOAD_TOLERANCE
            if sum(arrived.work for arrived in self._arrived) > limit:
                self.has_crashed = True
        return not self.has_crashed

    def service_time(self, now: int, work: int) -> float:
        """Return the time that work takes from now; more requests than cores slow it down."""
        slowdown = max(1.0, (self.in_flight + 1) / self.settings.cores)
        return work * slowdown / (self.capacity_share(now) * self.speed)

    def is_full(self) -> bool:
        """Return whether the queue is full."""
        return len(self.queue) >= self.settings.queue_limit

    def record_completion(self, request: CompletedRequest) -> None:
        """Record an answered request for the load reports."""
        self._completed.append(request)

    def load_report(self, now: int, class_names: Iterable[str]) -> str:
        """Return the load report as a JSON ORCA header; rates cover the last second."""
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
