"""Connects to planners in turn, over any protocol: connect, receive until an error, wait, repeat.

`ReconnectingClient` is the common base class of the clients of all protocols; `ReconnectBackoff`
computes the delay between two attempts.
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
MAX_DOUBLINGS = 16  # of the first delay, which reaches the longest delay well before that


class Session(Protocol):
    """The proxy's end of one connection; `received_table` is set once a table has arrived on it."""

    received_table: bool


class ReconnectingClient:
    """Connects to planners in turn and keeps tables up to date until `stop`.

    The client of a protocol implements `_run_session`, `_client_error`, `_close` and `disconnect`.

    Parameters
    ----------
    proxy_id
        The proxy's own id, which also seeds the random delays between attempts.
    planners
        The planners' addresses, or a function that returns them, called at each attempt.
    tables
        The tables to keep up to date.
    response_timeout
        Seconds within which a planner must answer a request.
    connection_lost
        Called with the error each time a connection ends or an attempt to connect fails.
    """

    # Errors that end a connection and are followed by another attempt; any other is a bug here.
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
        """Connect to one planner after the other until `stop`."""
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
        """Run a session with the planner that is next in turn, and return the error that ended it.

        `addresses` are those of all planners.
        """
        self.session = None
        error: ClientError = UnreachableError("no planner addresses are known")
        if addresses:
            try:
                await self._run_session(addresses[self.attempts % len(addresses)])
            except self.connection_errors as caught:
                error = self._client_error(caught)
        return error

    def stop(self) -> None:
        """End the connection and do not reconnect."""
        self.stopped = True
        self.disconnect()

    def disconnect(self) -> None:
        """Break the connection as a network failure would; the client then reconnects."""
        raise NotImplementedError

    async def _run_session(self, address: Address) -> None:
        """Connect to one planner and receive its updates until an error ends the connection."""
        raise NotImplementedError

    def _client_error(self, caught: BaseException) -> ClientError:
        """Return the `ClientError` that stands for one of `connection_errors`."""
        raise NotImplementedError

    async def _close(self) -> None:
        """Release what is left of the connection."""
        raise NotImplementedError


class ReconnectBackoff:
    """Exponential backoff between connection attempts, up to a maximum.

    Delays are jittered over most of their length, so that proxies that lost one planner at the same
    time do not reconnect at the same time. Times are in microseconds.
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
        """Count a failure, and return the delay before the next attempt.

        Each of the `address_count` addresses is tried once, with short delays, before the delay
        grows. Of several controllers all but one reject the proxy; with a long delay after each
        rejection the proxy would be without orders for most of a takeover.
        """
        doublings, index = divmod(self.failures, max(1, address_count))
        self.failures += 1
        if index < address_count - 1:
            return self.random.randbelow(self.first_delay // 4)
        bound = min(self.max_delay, self.first_delay << min(doublings, MAX_DOUBLINGS))
        return bound // 4 + self.random.randbelow(bound - bound // 4)

    def reset(self) -> None:
        """Start again with the first delay, after a connection that delivered a table."""
        self.failures = 0
