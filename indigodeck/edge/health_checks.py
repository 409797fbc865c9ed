"""Health checks of servers by this planner; the response body is the server's load report."""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from tornado.ioloop import IOLoop

from ..assignment.interface import HealthCheckOutcome
from ..clock import SECOND
from ..errors import MalformedMessageError
from ..planner.host_client import HttpHostClient
from .assigner_host import HealthCheckTarget
from .codec import MessageCodec
from .json_fields import read_object
from .messages import Address

PATH = "/_load"
TIMEOUT = SECOND // 2  # microseconds
MAX_CONCURRENT = 16
MAX_QUEUED = 256

Load = dict[str, float]
HealthCheckCallback = Callable[[HealthCheckTarget, HealthCheckOutcome, int, Load | None], None]


class QueuedCheck(NamedTuple):
    """A health check that has not started."""

    target: HealthCheckTarget
    address: Address


class HealthCheckClient(HttpHostClient):
    """An HTTP client for the health checks of the platform's servers."""

    def __init__(self, codec: MessageCodec) -> None:
        super().__init__(PATH)
        self._codec = codec

    def read_report(self, answer: Any) -> Load | None:
        """Return the load report in a response, or None if it is missing or invalid."""
        if answer.code != 200 or not answer.body:
            return None
        try:
            return self._codec.read_load(read_object(answer.body))
        except MalformedMessageError:
            return None


class HealthChecker:
    """Runs at most `MAX_CONCURRENT` health checks at once; `on_health_check` is called for each.

    If more than `MAX_QUEUED` are waiting, the oldest is dropped and reported as unanswered.
    """

    def __init__(
        self, codec: MessageCodec, now: Callable[[], int], on_health_check: HealthCheckCallback
    ) -> None:
        self._http = HealthCheckClient(codec)
        self._now = now
        self._on_health_check = on_health_check
        self._queue: deque[QueuedCheck] = deque()
        self._running = 0

    def check(self, target: HealthCheckTarget, address: Address) -> None:
        """Queue a health check; it is sent when fewer than `MAX_CONCURRENT` are running."""
        if len(self._queue) >= MAX_QUEUED:
            dropped = self._queue.popleft()
            IOLoop.current().add_callback(
                self._on_health_check, dropped.target, HealthCheckOutcome.TIMED_OUT, TIMEOUT, None
            )
        self._queue.append(QueuedCheck(target, address))
        if self._running < MAX_CONCURRENT:
            self._running += 1
            IOLoop.current().add_callback(self._run)

    async def _run(self) -> None:
        try:
            while self._queue:
                target, address = self._queue.popleft()
                start_time = self._now()
                outcome: HealthCheckOutcome
                load: Load | None
                try:
                    outcome, load = await self._http.check(address, TIMEOUT / SECOND)
                except Exception:  # the assigner never repeats a check that was not reported
                    outcome = HealthCheckOutcome.ERROR
                    load = None
                self._on_health_check(target, outcome, self._now() - start_time, load)
        finally:
            self._running -= 1
