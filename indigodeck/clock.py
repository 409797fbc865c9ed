"""The machine's monotonic clock, the same for all processes on it."""

import time


def now():
    """Whole microseconds; grows always, and says nothing of the day."""
    return time.monotonic_ns() // 1000
