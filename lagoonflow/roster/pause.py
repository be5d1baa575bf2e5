"""Detects pauses: times in which this process was suspended."""

DEFAULT_THRESHOLD_MS = 1000


class PauseDetector:
    """Detects a pause by the gap that it leaves between regular ticks.

    The ticks have to be timed by a clock that also advances while the host
    is suspended.

    :param now_ms: time of the first tick, in ms.
    :param threshold_ms: a longer gap between two ticks is a pause, in ms.
    """

    def __init__(
        self, now_ms: float, threshold_ms: float = DEFAULT_THRESHOLD_MS
    ) -> None:
        """Record the first tick."""
        self._last_tick_ms = now_ms
        self._threshold_ms = threshold_ms

    def tick(self, now_ms: float) -> bool:
        """Record a tick.

        :param now_ms: time of the tick, in ms.
        :returns: whether a pause came before the tick.
        """
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        return gap_ms > self._threshold_ms
