"""Time for input that had arrived before a time limit ended."""

from lagoonflow.clock import boottime_ms
from lagoonflow.http1.channel import Channel, arrived_bytes, parsed_bytes

# Interval at which it is looked whether the input has been parsed, in ms.
RECHECK_MS = 5
# Longest time for it, in ms: buffers may hold a hundred thousand tiny parts.
MAX_EXTENSION_MS = 300


class ArrivedInput:
    """Extends a limit until what had arrived by its end has been parsed.

    A long answer in many parts takes many rounds of the event loop. What the
    peer goes on sending gets no time, nor does input that nobody reads.

    :ivar channel: connection of the input; ``None`` before it has opened.
    """

    def __init__(self) -> None:
        """Extend nothing before there is a channel."""
        self.channel: Channel | None = None
        self._ended_ms: float | None = None
        self._due_bytes = 0
        self._parsed_bytes = -1

    def extension_ms(self) -> float:
        """Return by how many ms to extend a limit that ends; 0 to end it."""
        if self.channel is None:
            return 0
        now_ms = boottime_ms()
        if self._ended_ms is None:
            self._ended_ms = now_ms
            self._due_bytes = arrived_bytes(self.channel)
        parsed = parsed_bytes(self.channel)
        has_progress = parsed > self._parsed_bytes
        self._parsed_bytes = parsed
        is_late = now_ms - self._ended_ms >= MAX_EXTENSION_MS
        if is_late or not has_progress or parsed >= self._due_bytes:
            return 0
        return RECHECK_MS
