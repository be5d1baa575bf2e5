"""Counts load reports of backend servers that could not be read."""

import structlog

# Minimum time between log lines about one server, in ms.
LOG_INTERVAL_MS = 60_000


class MalformedReports:
    """Counts malformed load reports and logs their servers.

    :ivar count: reports that were dropped since the start.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.count = 0
        self._log = structlog.get_logger(part='servers')
        self._logged_at_ms: dict[str, float] = {}

    def note(self, instance: str, now_ms: float) -> None:
        """Count a malformed report; log it unless one was logged recently."""
        self.count += 1
        logged_at_ms = self._logged_at_ms.get(instance, float('-inf'))
        if now_ms - logged_at_ms >= LOG_INTERVAL_MS:
            self._logged_at_ms[instance] = now_ms
            self._log.warning('load report not readable', server=instance)

    def forget(self, instances: list[str]) -> None:
        """Drop what is known of servers that were removed."""
        for instance in instances:
            self._logged_at_ms.pop(instance, None)
