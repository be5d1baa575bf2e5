"""Writes logs as JSON lines to standard output without blocking."""

import os
import time

import structlog

from lagoonflow.clock import wall_clock_ms

# Rate above which lines are dropped and counted.
MAX_LINES_PER_S = 300
# Capacity of the token bucket: lines that may be written in one burst.
BURST_LINES = 600


class RateLimitedOutput:
    """A writable file for log lines, with a token bucket for their rate.

    :ivar dropped: number of lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor, which is made non-blocking."""
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._tokens = float(BURST_LINES)
        self._refilled_at_s = time.monotonic()

    def write(self, text: str) -> int:
        """Write a line, or drop it at too high a rate or with a slow reader.

        :returns: number of bytes written; 0 for a dropped line.
        """
        if not self._may_write():
            self.dropped += 1
            return 0
        try:
            return os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self.dropped += 1
            return 0

    def flush(self) -> None:
        """Do nothing, since :meth:`write` has no buffer."""

    def _may_write(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * MAX_LINES_PER_S
        self._tokens = min(self._tokens + refill, BURST_LINES)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def configure_json_output(
    process: str, descriptor: int = 1
) -> RateLimitedOutput:
    """Write all logs of this process as JSON lines to a file descriptor.

    :param process: name of the process, which each line carries.
    """
    output = RateLimitedOutput(descriptor)

    def add_process(_logger, _method, event):
        event['process'] = process
        event['line_ms'] = wall_clock_ms()
        if output.dropped:
            event['dropped_lines'] = output.dropped
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            add_process,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    return output
