"""Detects that the process did not run for a while."""

DEFAULT_THRESHOLD_MS = 1000


class PauseDetector:
    """Compares the times of regular ticks.

    The clock has to count the time during which the host was suspended.

    :param threshold_ms: gaps longer than this are pauses.
    """

    def __init__(
        self, now_ms: float, threshold_ms: float = DEFAULT_THRESHOLD_MS
    ) -> None:
        """Start at the time of the first tick."""
        self._last_tick_ms = now_ms
        self._threshold_ms = threshold_ms

    def tick(self, now_ms: float) -> bool:
        """Record a tick; true when a pause came before it."""
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        return gap_ms > self._threshold_ms
