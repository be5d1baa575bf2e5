"""Clocks in ms.

Logic that makes decisions gets the time or a clock as an argument instead, so
that tests control it.
"""

import time
from collections.abc import Callable

MS_PER_S = 1000
_NS_PER_MS = 1_000_000

Clock = Callable[[], int]


def wall_clock_ms() -> int:
    """Return the wall clock time, in ms since 1970."""
    return time.time_ns() // _NS_PER_MS


def boottime_ms() -> int:
    """Return the time since boot, in ms, with the time spent suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS
