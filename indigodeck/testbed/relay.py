"""A relay that uses a planner's tables, and simulates the clients that send requests to it.

Requests arrive at random times, and clients may retry until a deadline. The relay picks hosts by
weight. It retries at one other host, and only if the first host provably did not execute the
request. It avoids a host for some time after its own consecutive failures there. Outcomes are JSON
lines (read by `evidence.py`).
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
MAX_ATTEMPTS = 2  # by a relay, for one attempt of its client
MAX_CONNECTIONS = 4096
CONNECT_TIMEOUT_S = 0.25
MIN_REQUEST_TIME_S = 0.01  # nothing is sent with less time left
ATTEMPT_TIME_PER_MS = 600  # microseconds per attempt for each millisecond of the deadline
NEVER_EXECUTED = ("nowhere", "full", "refused")  # outcomes after which any request may be retried

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its share of all requests, its work, and the weight of its answers.

    Times are in microseconds if not stated otherwise; work is in microseconds of one core.
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
    def from_json(cls, document: dict[str, Any]) -> "RequestClass":
        """Parse a class, merged from a script and settings; defaults are those of the settings."""
        return cls(
            document["name"],
            document["share"],
            document["work_ms"] * 1000,
            document["patience_ms"],
            document["agreed_time_ms"] * 1000,
            document.get("credit", 1),
            document.get("late_credit", 0),
            document.get("repeats", "safe") == "safe",
        )


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """The settings of a relay.

    `initial_hosts` make up its tables until a planner sends one. `rate` is in requests per second.
    A client retries up to `retries` times. The relay avoids a host after `failure_limit`
    consecutive failures (0: never). `misbehavior` breaks rules that the audit has to detect:
    "keeps" (the relay never replaces its first tables) or "repeats" (it retries after any failure).
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
    misbehavior: str | None = None

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> "RelaySettings":
        """Parse the settings in a command that starts a relay."""
        classes = [RequestClass.from_json(entry) for entry in document["classes"]]
        return cls(
            document["uid"],
            [(address, port) for address, port in document["planners"]],
            {request_class.name: request_class for request_class in classes},
            document["rate"],
            document.get("seed", 0),
            document.get("wire", "sasp"),
            document.get("hall", ""),
            document.get("planner_patience", 3.0),
            tuple((address, port) for address, port in document.get("standing", [])),
            document.get("retries", 0),
            document.get("strikes", 0),
            document.get("unruly"),
        )


class Relay:
    """One relay. It passes outcomes to `write`; requests arrive until the time `until`."""

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
        self._http = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)
        self._request_count = 0
        self._consecutive_failures: dict[Address, int] = {}
        self._avoided_until: dict[Address, int] = {}
        self._kept_tables: Tables | None = None  # the first tables, with misbehavior "keeps"
        self.client = self._make_client()

    def start(self) -> None:
        """Connect to a planner and start the arrival of requests."""
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
        """Report an event on the relay's stream, which the recording proxy cannot read (xDS)."""
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
        """Return a random time in seconds, such that requests arrive as a Poisson process."""
        return -math.log((1 + self._random.randbelow(1 << 30)) / (1 << 30)) / self._settings.rate

    def _on_request(self) -> None:
        if self._now() >= self._until:
            return
        # Arrivals do not depend on whether earlier requests have completed.
        IOLoop.current().call_later(self._time_to_next_request(), self._on_request)
        request_class = self._draw_class()
        self._request_count += 1
        key = f"{self.uid}/{self._request_count}"
        IOLoop.current().add_callback(self._serve_client, request_class, key)

    def _draw_class(self) -> RequestClass:
        remaining_share = self._random.randbelow(1000) / 1000
        classes = list(self._settings.classes.values())
        for request_class in classes:
            remaining_share -= request_class.share
            if remaining_share < 0:
                return request_class
        return classes[-1]

    async def _serve_client(self, request_class: RequestClass, key: str) -> None:
        """Serve one client, which may retry until its deadline, and write the outcome."""
        started = self._now()
        work = round(request_class.work * (0.6 + 0.8 * self._random.randbelow(1000) / 1000))
        outcome = "nowhere"
        attempts = 0
        for attempt in range(1 + self._settings.retries):
            time_left = request_class.deadline_ms * 1000 - (self._now() - started)
            may_repeat = request_class.is_idempotent or outcome in NEVER_EXECUTED
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
        """Forward one attempt of a client; try another host if the first did not execute it."""
        started = self._now()
        # The admission decision depends on the request only, so that a retry is rejected again.
        client_key = key.rpartition("/")[0]
        position = SeededRandom(seed_from(client_key, [])).randbelow(1 << 20) / (1 << 20)
        if not self.tables.admits(name, position):
            return "refused"
        outcome = "nowhere"
        attempted: list[Address] = []
        for attempt in range(MAX_ATTEMPTS):
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
            always_retries = self._settings.misbehavior == "repeats" and outcome != "ok"
            if outcome != "unreachable" and not always_retries:
                return outcome
        return outcome

    def _pick(self, name: str, avoid: list[Address]) -> Address:
        if self._settings.misbehavior == "keeps":
            if self._kept_tables is None and self.tables.updated_at[name] is not None:
                self._kept_tables = Tables(self._settings.classes, self._now)
                self._kept_tables.lines = {
                    class_name: dict(lines) for class_name, lines in self.tables.lines.items()
                }
            if self._kept_tables is not None:
                return self._kept_tables.pick(name, avoid)
        return self.tables.pick(name, avoid)

    async def _send(
        self, address: Address, name: str, key: str, attempt: int, work: int, timeout_s: float
    ) -> str:
        """Send one request to one host; return its outcome."""
        if timeout_s <= MIN_REQUEST_TIME_S:
            return "late"
        request = HTTPRequest(
            f"http://{address[0]}:{address[1]}/exchange/{name}",
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
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
            return "broken"  # it is unknown whether the host executed the request
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
