"""Software versions that the servers of a service have had lately."""

# The list of servers was followed without a gap if it was never older than this,
# in ms: a read waits up to 500 ms, and up to 1500 ms pass between reads.
MAX_LIST_AGE_MS = 3000


class VersionHistory:
    """Remembers when each software version of a service was last listed."""

    def __init__(self) -> None:
        """Start without a list of servers."""
        self._listed_at_ms: dict[str, dict[str, float]] = {}
        # Since then, the list was never older than allowed.
        self._followed_from_ms = float('inf')
        self._confirmed_at_ms = float('-inf')

    def note(self, service: str, software_version: str, now_ms: float) -> None:
        """Record that a server of this version is listed."""
        versions = self._listed_at_ms.setdefault(service, {})
        versions[software_version] = now_ms

    def confirm(self, at_ms: float) -> None:
        """Record that the list of servers was complete at a time."""
        if at_ms - self._confirmed_at_ms > MAX_LIST_AGE_MS:
            self._followed_from_ms = at_ms
        self._confirmed_at_ms = max(self._confirmed_at_ms, at_ms)

    def restart(self) -> None:
        """Take the list as not followed until now, as some of it was lost."""
        self._followed_from_ms = float('inf')
        self._confirmed_at_ms = float('-inf')

    def is_confirmed(self, at_ms: float) -> bool:
        """Return whether the list is known to have been complete at a time."""
        return self._confirmed_at_ms >= at_ms

    def only_version(
        self, service: str, window_ms: float, until_ms: float
    ) -> str | None:
        """Return the version that all servers have had over a time.

        ``None`` if there were several, or if the list of servers was not
        followed all the time: a newer version may have joined since the list
        was last known to be complete.

        :param window_ms: length of the time, in ms.
        :param until_ms: boot time of its end.
        """
        was_followed = self._followed_from_ms <= until_ms - window_ms
        if not (was_followed and self.is_confirmed(until_ms)):
            return None
        recent = [
            version
            for version, at_ms in self._listed_at_ms.get(service, {}).items()
            if until_ms - at_ms <= window_ms
        ]
        return recent[0] if len(recent) == 1 else None
