"""Health checks of servers from this planner; the answer's body is the server's load report."""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from tornado.ioloop import IOLoop

from ..assignment.interface import HealthCheckOutcome
from ..clock import SECOND
from ..errors import MalformedMessageError
from ..planner.host_client import HttpHostClient
from .assigner_host import CheckedServer
from .codec import MessageCodec
from .json_fields import read_object
from .messages import Address

PATH = "/_load"
TIMEOUT = SECOND // 2  # microseconds
MAX_CONCURRENT = 16
MAX_WAITING = 256

Load = dict[str, float]
OnHealthCheck = Callable[[CheckedServer, HealthCheckOutcome, int, Load | None], None]


class WaitingCheck(NamedTuple):
    """A health check that has not begun."""

    checked: CheckedServer
    address: Address


class EdgeHttpHealthCheck(HttpHostClient):
    """A health check as the platform's servers answer it."""

    def __init__(self, codec: MessageCodec) -> None:
        super().__init__(PATH)
        self._codec = codec

    def read_report(self, answer: Any) -> Load | None:
        """Return the load report that an answer carries, or None."""
        if answer.code != 200 or not answer.body:
            return None
        try:
            return self._codec.read_load(read_object(answer.body))
        except MalformedMessageError:
            return None


class HealthChecker:
    """Runs health checks, some at once; `on_health_check` is called once for each.

    One too many is reported as never answered.
    """

    def __init__(
        self, codec: MessageCodec, now: Callable[[], int], on_health_check: OnHealthCheck
    ) -> None:
        self._http = EdgeHttpHealthCheck(codec)
        self._now = now
        self._on_health_check = on_health_check
        self._waiting: deque[WaitingCheck] = deque()
        self._running = 0

    def check(self, checked: CheckedServer, address: Address) -> None:
        """Check a server as soon as there is room."""
        if len(self._waiting) >= MAX_WAITING:
            dropped = self._waiting.popleft()
            IOLoop.current().add_callback(
                self._on_health_check, dropped.checked, HealthCheckOutcome.TIMED_OUT, TIMEOUT, None
            )
        self._waiting.append(WaitingCheck(checked, address))
        if self._running < MAX_CONCURRENT:
            self._running += 1
            IOLoop.current().add_callback(self._run)

    async def _run(self) -> None:
        try:
            while self._waiting:
                checked, address = self._waiting.popleft()
                began = self._now()
                outcome: HealthCheckOutcome
                load: Load | None
                try:
                    outcome, load = await self._http.check(address, TIMEOUT / SECOND)
                except Exception:  # a check that is never reported would be the server's last
                    outcome = HealthCheckOutcome.ERROR
                    load = None
                self._on_health_check(checked, outcome, self._now() - began, load)
        finally:
            self._running -= 1
