"""Following planners in turn, over any protocol: connect, follow until that fails, wait, go on.

`ReconnectingClient` is what the clients of all protocols do alike; `ReconnectBackoff` says how long
to wait between two attempts.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import ClassVar, Protocol

from ..assignment.seeded_random import SeededRandom, seed_from
from ..clock import SECOND
from .tables import Address, ClientError, Tables, UnreachableError

RESPONSE_TIMEOUT_S = 3.0
FIRST_DELAY_US = 200_000
MAX_DELAY_US = 5_000_000
MAX_DOUBLINGS = 16  # of the first delay: the longest wait is reached long before


class Session(Protocol):
    """One connection as the proxy sees it."""

    received_table: bool


class ReconnectingClient:
    """Connects to planners in turn and keeps tables up to date until `stop`.

    A client of a protocol gives `_run_session`, `_client_error`, `_close` and `disconnect`.

    Parameters
    ----------
    proxy_id
        The proxy's own id, which also seeds its random waits.
    planners
        The planners' addresses, or a call that gives them, made at each attempt.
    tables
        What is kept up to date.
    response_timeout
        Seconds within which a planner must answer what it was asked.
    connection_lost
        Called with the error at each loss.
    """

    # The errors that mean a lost planner; others are faults of this program.
    connection_errors: ClassVar[tuple[type[BaseException], ...]] = ()

    def __init__(
        self,
        proxy_id: str,
        planners: Sequence[Address] | Callable[[], Sequence[Address]],
        tables: Tables,
        response_timeout: float,
        connection_lost: Callable[[ClientError], object] | None,
    ) -> None:
        self.planners: Callable[[], Sequence[Address]]
        self.planners = planners if callable(planners) else lambda: planners
        self.tables = tables
        self.response_timeout = response_timeout
        self.connection_lost = connection_lost
        self.random = SeededRandom(seed_from(proxy_id, []))
        self.backoff = ReconnectBackoff(self.random)
        self.stopped = False
        self.attempts = 0
        self.session: Session | None = None

    async def run(self) -> None:
        """Follow one planner after the other until `stop`."""
        while not self.stopped:
            addresses = self.planners()
            error = await self._attempt(addresses)
            self.attempts += 1
            await self._close()
            if self.stopped:
                return
            if self.connection_lost:
                self.connection_lost(error)
            if self.session is not None and self.session.received_table:
                self.backoff.reset()
            await asyncio.sleep(self.backoff.next_delay(len(addresses)) / SECOND)

    async def _attempt(self, addresses: Sequence[Address]) -> ClientError:
        """Follow the planner whose turn it is, and return why that ended."""
        self.session = None
        error: ClientError = UnreachableError("no planner is named")
        if addresses:
            try:
                await self._run_session(addresses[self.attempts % len(addresses)])
            except self.connection_errors as caught:
                error = self._client_error(caught)
        return error

    def stop(self) -> None:
        """End the connection and make no other."""
        self.stopped = True
        self.disconnect()

    def disconnect(self) -> None:
        """Break the connection, as a network might; the client connects again."""
        raise NotImplementedError

    async def _run_session(self, address: Address) -> None:
        """Connect to one planner and follow it until an error ends that."""
        raise NotImplementedError

    def _client_error(self, caught: BaseException) -> ClientError:
        """Return the client's own error for one of `connection_errors`."""
        raise NotImplementedError

    async def _close(self) -> None:
        """End what is left of the connection."""
        raise NotImplementedError


class ReconnectBackoff:
    """When to connect again: later each time, up to a bound.

    Waits are jittered over the whole time, so that proxies that lost one planner together do not
    come back together. Times are microseconds.
    """

    def __init__(
        self,
        random: SeededRandom,
        first_delay: int = FIRST_DELAY_US,
        max_delay: int = MAX_DELAY_US,
    ) -> None:
        self.random = random
        self.first_delay = first_delay
        self.max_delay = max_delay
        self.failures = 0

    def next_delay(self, address_count: int = 1) -> int:
        """Count a failure, and return how long to wait before the next attempt.

        Each of the addresses is tried once before the wait grows: of several controllers all but
        one reject, and a proxy that waits after each is without orders for most of a takeover.
        """
        doublings, index = divmod(self.failures, max(1, address_count))
        self.failures += 1
        if index < address_count - 1:
            return self.random.randbelow(self.first_delay // 4)
        bound = min(self.max_delay, self.first_delay << min(doublings, MAX_DOUBLINGS))
        return bound // 4 + self.random.randbelow(bound - bound // 4)

    def reset(self) -> None:
        """Start over: a connection gave tables."""
        self.failures = 0
