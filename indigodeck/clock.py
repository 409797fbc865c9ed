"""The machine's monotonic clock, the same for all processes on it, and the unit of all times."""

import time

SECOND = (
    1_000_000  # microseconds: every time and duration in this package is a whole number of them
)


def now() -> int:
    """Return the monotonic time in whole microseconds; it says nothing of the time of day."""
    return time.monotonic_ns() // 1000
