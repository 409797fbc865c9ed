"""The machine's monotonic clock, shared by all its processes, and the units of time."""

import time

# In microseconds: every time and duration in this package is a whole number of microseconds.
SECOND = 1_000_000
MILLISECOND = 1_000


def now() -> int:
    """Return the monotonic time in whole microseconds; it is unrelated to the time of day."""
    return time.monotonic_ns() // 1000


def wall_clock_offset() -> int:
    """Return the current difference between Unix time and `now`, in microseconds."""
    return time.time_ns() // 1000 - now()
