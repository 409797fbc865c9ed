"""Outgoing connections of a planner on the platform: addresses are numbers here, and every wait has an end."""

import socket
import traceback
from datetime import timedelta

from tornado.gen import convert_yielded, sleep, with_timeout
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import Resolver
from tornado.util import TimeoutError as DeadlineExceededError

from .codec import LINE_MOST

SECOND = 1_000_000
PAUSE, PAUSE_MOST = 50_000, SECOND
LOST = (OSError, StreamClosedError, DeadlineExceededError)


def family_of(place):
    return socket.AF_INET6 if ":" in place[0] else socket.AF_INET


class Numbers(Resolver):
    """Addresses are numbers here; to look them up would cost a thread for each connection."""

    async def resolve(self, host, port, family=socket.AF_UNSPEC):
        place = host.strip("[]"), port
        return [(family_of(place), place)]


async def within(patience, awaitable):
    """What is awaited, or TooLate after `patience` microseconds.

    What came together with the time-out counts as come: after a stall of this program both are found at once, and the
    other side has paid what it owed.
    """
    awaited = convert_yielded(awaitable)
    try:
        return await with_timeout(timedelta(microseconds=patience), awaited, quiet_exceptions=LOST)
    except DeadlineExceededError:
        if awaited.done():
            return awaited.result()
        raise


async def dial(place, patience):
    """A stream to (address, port), or one of `LOST`."""
    stream = IOStream(
        socket.socket(family_of(place)),
        max_buffer_size=2 * LINE_MOST,
        max_write_buffer_size=LINE_MOST,
    )
    try:
        await within(patience, stream.connect(place))
        stream.set_nodelay(True)
        return stream
    except BaseException:
        stream.close()
        raise


async def next_line(stream, patience):
    return await within(patience, stream.read_until(b"\n", max_bytes=LINE_MOST))


async def for_good(run, note):
    """Runs a loop that must not end: a fault in it is noted, and it begins anew. What it returns ends it."""
    while True:
        try:
            return await run()
        except Exception:
            note("a loop begins anew after a fault: " + traceback.format_exc(limit=-4))
            await sleep(PAUSE_MOST / SECOND)


class Pauses:
    """Waits between tries, longer each time, by chance in their last part so that planners are not in step."""

    def __init__(self, chance):
        self.chance, self.pause = chance, PAUSE

    def over(self):
        self.pause = PAUSE

    async def rest(self):
        pause, self.pause = self.pause, min(2 * self.pause, PAUSE_MOST)
        await sleep((pause // 2 + self.chance.below(pause)) / SECOND)
