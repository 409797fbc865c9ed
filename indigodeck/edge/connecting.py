"""Outgoing connections of a planner: numeric addresses only, and a deadline for every operation.

Times are whole microseconds.
"""

import socket
import traceback
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, TypeVar

from tornado.gen import convert_yielded, sleep, with_timeout
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import Resolver
from tornado.util import TimeoutError as DeadlineExceededError

from ..assignment.seeded_random import SeededRandom
from ..clock import SECOND
from .event_log import EventLog
from .messages import Address

MAX_LINE_BYTES = 1 << 20  # one message per line
CONNECT_TIMEOUT = SECOND // 2
MIN_BACKOFF = 50_000
MAX_BACKOFF = SECOND
CONNECTION_ERRORS = (OSError, StreamClosedError, DeadlineExceededError)

Result = TypeVar("Result")


def address_family(address: tuple[str, int]) -> socket.AddressFamily:
    """Return the family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class NumericResolver(Resolver):
    """Resolves numeric addresses only; DNS look-ups would cost a thread for each connection."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the numeric address `host` itself as the only result."""
        address = Address(host.strip("[]"), port)
        return [(address_family(address), address)]


async def with_deadline(timeout: int, awaitable: Awaitable[Result]) -> Result:
    """Return the awaited result, or raise `DeadlineExceededError` after `timeout`.

    If the result is available when the timeout fires, the result is returned: after this program
    has stalled, both are noticed at the same time although the other side answered in time.
    """
    awaited = convert_yielded(awaitable)
    try:
        return await with_timeout(
            timedelta(microseconds=timeout), awaited, quiet_exceptions=CONNECTION_ERRORS
        )
    except DeadlineExceededError:
        if awaited.done():
            return awaited.result()
        raise


async def connect(address: tuple[str, int], timeout: int) -> IOStream:
    """Return a connected stream, or raise one of `CONNECTION_ERRORS`."""
    stream = IOStream(
        socket.socket(address_family(address)),
        max_buffer_size=2 * MAX_LINE_BYTES,
        max_write_buffer_size=MAX_LINE_BYTES,
    )
    try:
        await with_deadline(timeout, stream.connect(address))
        stream.set_nodelay(True)
        return stream
    except BaseException:
        stream.close()
        raise


async def read_line(stream: IOStream, timeout: int) -> bytes:
    """Return the next line, or raise one of `CONNECTION_ERRORS`."""
    return await with_deadline(timeout, stream.read_until(b"\n", max_bytes=MAX_LINE_BYTES))


async def keep_running(run: Callable[[], Awaitable[None]], log: EventLog) -> None:
    """Run `run` to its end; after an exception, log it, wait and run again."""
    while True:
        try:
            return await run()
        except Exception:
            log("loop_restarted", traceback=traceback.format_exc(limit=-4))
            await sleep(MAX_BACKOFF / SECOND)


class Backoff:
    """Exponential backoff between attempts, with jitter so that planners do not retry in step."""

    def __init__(self, random: SeededRandom) -> None:
        self._random = random
        self.delay = MIN_BACKOFF

    def reset(self) -> None:
        """Return to the shortest delay, after a success."""
        self.delay = MIN_BACKOFF

    async def wait(self) -> None:
        """Wait a random time from 0.5 to 1.5 times the delay, which doubles up to `MAX_BACKOFF`."""
        delay = self.delay
        self.delay = min(2 * delay, MAX_BACKOFF)
        await sleep((delay // 2 + self._random.randbelow(delay)) / SECOND)
