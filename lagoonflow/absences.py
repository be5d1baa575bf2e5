"""Times in which this process did not run, whether it was stopped or suspended."""

import collections

# Longest time between two notes of a process that runs, in ms.
LONGEST_GAP_MS = 250
# Absences that are remembered.
MAX_ABSENCES = 64


class Absences:
    """Remembers when this process did not run.

    Silence in such a time is not that of others, and what was known before it
    may be outdated. Times are boot times, which count suspension.

    :ivar ended_at_ms: when the last absence ended.
    """

    def __init__(self) -> None:
        """Note nothing yet."""
        self.ended_at_ms = float('-inf')
        self._noted_at_ms: float | None = None
        # When each absence began and ended.
        self._absences: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_ABSENCES)
        )

    def note_running(self, now_ms: float) -> None:
        """Record that the process runs; to be called many times a second."""
        noted_at_ms = self._noted_at_ms
        if noted_at_ms is not None and now_ms - noted_at_ms > LONGEST_GAP_MS:
            self._absences.append((noted_at_ms, now_ms))
            self.ended_at_ms = now_ms
        self._noted_at_ms = now_ms

    def between_ms(self, from_ms: float, until_ms: float) -> float:
        """Return for how long the process did not run between two times."""
        return sum(
            max(min(end_ms, until_ms) - max(begin_ms, from_ms), 0)
            for begin_ms, end_ms in self._absences
        )
