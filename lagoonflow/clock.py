"""Clocks; decision logic gets the time passed in."""

import time
from collections.abc import Callable

MS_PER_S = 1000
_NS_PER_MS = 1_000_000

Clock = Callable[[], int]


def wall_clock_ms() -> int:
    """Return the wall clock, in ms since 1970."""
    return time.time_ns() // _NS_PER_MS


def boottime_ms() -> int:
    """Return the time since boot, suspended time included, in ms."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS
