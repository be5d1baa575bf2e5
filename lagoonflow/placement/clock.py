"""The clock of the tasks."""

import time
from collections.abc import Callable

Clock = Callable[[], int]
_NS_PER_MS = 1_000_000


def boot_clock_ms() -> int:
    """Time since boot in ms, including time spent suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS
