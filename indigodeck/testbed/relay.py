"""A relay that goes by a planner's tables, with the clients of one process behind it.

Clients come at random times, wait until their deadline, and some retry. A relay picks a host by
weight, retries at one further host only on proof that the first never ran, and avoids for a while
a host at which its own attempts keep failing. Outcomes are JSON lines (read by `evidence.py`).
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.ioloop import IOLoop
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from ..assignment.seeded_random import SeededRandom, seed_from
from ..client import NoServerError, Tables
from ..client.sasp import SaspClient
from ..clock import SECOND

AVOIDANCE_TIME = 5 * SECOND
MOST_ATTEMPTS = 2  # of a relay for one attempt of its client
MOST_CONNECTIONS = 4096
LONGEST_CONNECT_S = 0.25
SHORTEST_REQUEST_S = 0.01  # with less time left nothing is sent
ATTEMPT_TIME_PER_MS = 600  # microseconds of an attempt for each millisecond of the deadline
NEVER_RAN = ("nowhere", "full", "refused")  # outcomes after which any request may be repeated

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its share of all, its work, and what an answer in time is worth.

    Times are microseconds, work is of one core.
    """

    name: str
    share: float
    work: float
    deadline_ms: float
    latency_objective: float
    priority_weight: float
    late_priority_share: float
    is_idempotent: bool

    @classmethod
    def from_json(cls, stated: dict[str, Any]) -> "RequestClass":
        """Read a class as a script and settings state it; defaults are those of the settings."""
        return cls(
            stated["name"],
            stated["share"],
            stated["work_ms"] * 1000,
            stated["patience_ms"],
            stated["agreed_time_ms"] * 1000,
            stated.get("credit", 1),
            stated.get("late_credit", 0),
            stated.get("repeats", "safe") == "safe",
        )


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """What a relay is told at its start.

    `initial_hosts` make up its tables until a planner gives one. `rate` is requests a second.
    A client retries `retries` times. The relay avoids a host after `failure_limit` failures in a
    row (0: never). `misbehaviour`, to see that the audit notices: "keeps" (it goes by its first
    table for ever) or "repeats" (it retries whatever happened).
    """

    uid: str
    planners: list[Address]
    classes: dict[str, RequestClass]
    rate: float
    seed: int = 0
    protocol: str = "sasp"
    zone: str = ""
    response_timeout: float = 3.0  # seconds
    initial_hosts: tuple[Address, ...] = ()
    retries: int = 0
    failure_limit: int = 0
    misbehaviour: str | None = None

    @classmethod
    def from_json(cls, stated: dict[str, Any]) -> "RelaySettings":
        """Read the settings in a command that starts a relay."""
        classes = [RequestClass.from_json(given) for given in stated["classes"]]
        return cls(
            stated["uid"],
            [(address, port) for address, port in stated["planners"]],
            {given.name: given for given in classes},
            stated["rate"],
            stated.get("seed", 0),
            stated.get("wire", "sasp"),
            stated.get("hall", ""),
            stated.get("planner_patience", 3.0),
            tuple((address, port) for address, port in stated.get("standing", [])),
            stated.get("retries", 0),
            stated.get("strikes", 0),
            stated.get("unruly"),
        )


class Relay:
    """One relay. `write` takes its outcomes; requests come until `until`."""

    def __init__(
        self,
        now: Callable[[], int],
        write: Callable[[dict[str, Any]], None],
        settings: RelaySettings,
        until: int,
    ) -> None:
        self.uid = settings.uid
        self.tables = Tables(settings.classes, now, settings.initial_hosts)
        self._now = now
        self._write = write
        self._settings = settings
        self._until = until
        self._random = SeededRandom(seed_from(self.uid, [str(settings.seed).encode()]))
        self._http = SimpleAsyncHTTPClient(force_instance=True, max_clients=MOST_CONNECTIONS)
        self._request_count = 0
        self._consecutive_failures: dict[Address, int] = {}
        self._avoided_until: dict[Address, int] = {}
        self._first_tables: Tables | None = None  # of one that keeps them for ever
        self.client = self._make_client()

    def start(self) -> None:
        """Connect to a planner, and let requests come."""
        IOLoop.current().add_callback(self.client.run)
        if self._settings.rate > 0:
            IOLoop.current().call_later(self._time_to_next_request(), self._on_request)

    def _make_client(self) -> Any:
        settings = self._settings
        if settings.protocol != "xds":
            return SaspClient(
                self.uid,
                settings.planners,
                self.tables,
                settings.initial_hosts,
                response_timeout=settings.response_timeout,
            )
        from ..client.xds import XdsClient

        return XdsClient(
            self.uid,
            settings.planners,
            self.tables,
            response_timeout=settings.response_timeout,
            zone=settings.zone,
            observer=self._on_stream_event,
        )

    def _on_stream_event(self, event_type: str, tables: Any) -> None:
        """Report what passed the relay's own end of a stream that no proxy can read."""
        self._write(
            {
                "at": self._now(),
                "relay": self.uid,
                "seen": event_type,
                "tables": tables,
                "epoch": self.tables.epoch,
                "to": self.client.attempts % len(self._settings.planners),
            }
        )

    def _time_to_next_request(self) -> float:
        """Return seconds, drawn for requests that come independently of one another."""
        return -math.log((1 + self._random.randbelow(1 << 30)) / (1 << 30)) / self._settings.rate

    def _on_request(self) -> None:
        if self._now() >= self._until:
            return
        # The next comes whatever becomes of this one.
        IOLoop.current().call_later(self._time_to_next_request(), self._on_request)
        request_class = self._draw_class()
        self._request_count += 1
        key = f"{self.uid}/{self._request_count}"
        IOLoop.current().add_callback(self._serve_client, request_class, key)

    def _draw_class(self) -> RequestClass:
        point = self._random.randbelow(1000) / 1000
        classes = list(self._settings.classes.values())
        for request_class in classes:
            point -= request_class.share
            if point < 0:
                return request_class
        return classes[-1]

    async def _serve_client(self, request_class: RequestClass, key: str) -> None:
        """Serve one client, which retries until its deadline."""
        started = self._now()
        work = round(request_class.work * (0.6 + 0.8 * self._random.randbelow(1000) / 1000))
        outcome = "nowhere"
        attempts = 0
        for attempt in range(1 + self._settings.retries):
            time_left = request_class.deadline_ms * 1000 - (self._now() - started)
            may_repeat = request_class.is_idempotent or outcome in NEVER_RAN
            if time_left <= 0 or (attempt and not may_repeat):
                break
            attempts += 1
            attempt_time = min(time_left, request_class.deadline_ms * ATTEMPT_TIME_PER_MS)
            outcome = await self._forward(
                request_class.name, f"{key}/{attempt}", work, attempt_time
            )
            if outcome == "ok":
                break
        elapsed = self._now() - started
        self._write(
            {
                "at": started,
                "relay": self.uid,
                "class": request_class.name,
                "key": key,
                "outcome": outcome,
                "took": elapsed,
                "tries": attempts,
                "asked": request_class.priority_weight,
                "earned": _earned_weight(request_class, outcome, elapsed),
            }
        )

    async def _forward(self, name: str, key: str, work: int, timeout: float) -> str:
        """Forward one attempt of a client; a host that never ran it is followed by another."""
        started = self._now()
        # A client that retries is rejected again: by what it asks, and not by a new draw.
        client_key = key.rpartition("/")[0]
        point = SeededRandom(seed_from(client_key, [])).randbelow(1 << 20) / (1 << 20)
        if not self.tables.admits(name, point):
            return "refused"
        outcome = "nowhere"
        attempted: list[Address] = []
        for attempt in range(MOST_ATTEMPTS):
            try:
                address = self._pick(name, self._avoided() + attempted)
            except NoServerError:
                return outcome
            if address in attempted:
                return outcome
            attempted.append(address)
            sent = self._now()
            seconds_left = (timeout - (self._now() - started)) / SECOND
            outcome = await self._send(address, name, key, attempt, work, seconds_left)
            self._count_outcome(address, outcome)
            if self._settings.protocol == "xds":
                self.client.count_request(name, address, outcome == "ok", self._now() - sent)
            repeats_anything = self._settings.misbehaviour == "repeats" and outcome != "ok"
            if outcome != "unreachable" and not repeats_anything:
                return outcome
        return outcome

    def _pick(self, name: str, avoid: list[Address]) -> Address:
        if self._settings.misbehaviour == "keeps":
            if self._first_tables is None and self.tables.updated_at[name] is not None:
                self._first_tables = Tables(self._settings.classes, self._now)
                self._first_tables.lines = {
                    other: dict(lines) for other, lines in self.tables.lines.items()
                }
            if self._first_tables is not None:
                return self._first_tables.pick(name, avoid)
        return self.tables.pick(name, avoid)

    async def _send(
        self, address: Address, name: str, key: str, attempt: int, work: int, timeout_s: float
    ) -> str:
        """Send one request to one host; return its outcome."""
        if timeout_s <= SHORTEST_REQUEST_S:
            return "late"
        request = HTTPRequest(
            f"http://{address[0]}:{address[1]}/exchange/{name}",
            connect_timeout=min(LONGEST_CONNECT_S, timeout_s),
            request_timeout=timeout_s,
            headers={
                "Relay": self.uid,
                "Exchange": key,
                "Work": str(work),
                "Try": str(attempt),
            },
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except HTTPTimeoutError as error:
            return "unreachable" if "connecting" in str(error) else "late"
        except ConnectionRefusedError:
            return "unreachable"
        except (OSError, HTTPClientError):
            return "broken"  # nothing is known of the attempt
        if response.code < 400:
            return "ok"
        return "full" if response.code == 503 else "error"

    def _avoided(self) -> list[Address]:
        now = self._now()
        return [address for address, until in self._avoided_until.items() if until > now]

    def _count_outcome(self, address: Address, outcome: str) -> None:
        failures = 0 if outcome == "ok" else self._consecutive_failures.get(address, 0) + 1
        limit = self._settings.failure_limit
        if limit and failures >= limit:
            self._avoided_until[address] = self._now() + AVOIDANCE_TIME
            failures = 0
        self._consecutive_failures[address] = failures


def _earned_weight(request_class: RequestClass, outcome: str, elapsed: int) -> float:
    if outcome != "ok":
        return 0
    if elapsed <= request_class.latency_objective:
        return request_class.priority_weight
    if elapsed <= request_class.deadline_ms * 1000:
        return request_class.priority_weight * request_class.late_priority_share
    return 0
