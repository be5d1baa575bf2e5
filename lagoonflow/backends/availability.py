"""What backend servers say of their availability in their answers."""

import collections

# Servers remembered at most; the oldest are forgotten first.
MAX_SERVERS = 4096
# The id of a server, and the wall clock of its start in ms.
_Start = tuple[str, int]


class Availability:
    """Servers that are leaving, or that asked this router for a pause.

    Both hold for one start of a server, whatever arrives about others.
    """

    def __init__(self) -> None:
        """Start without statements of servers."""
        self._leaving: collections.OrderedDict[_Start, None] = (
            collections.OrderedDict()
        )
        self._paused_until_ms: dict[_Start, float] = {}

    def note_leaving(self, instance: str, started_ms: int) -> bool:
        """Record that a server is leaving; return whether that is new."""
        is_new = not self.is_leaving(instance, started_ms)
        self._leaving[instance, started_ms] = None
        if len(self._leaving) > MAX_SERVERS:
            self._leaving.popitem(last=False)
        return is_new

    def note_pause(
        self, instance: str, started_ms: int, pause_ms: float, now_ms: float
    ) -> None:
        """Record that a server wants no requests for a time.

        :param pause_ms: length of the time from now, in ms; a pause that ends
            later stays in force.
        """
        left_ms = self.pause_left_ms(instance, started_ms, now_ms)
        self._paused_until_ms = {
            start: until_ms
            for start, until_ms in self._paused_until_ms.items()
            if until_ms > now_ms
        }
        self._paused_until_ms[instance, started_ms] = now_ms + max(
            pause_ms, left_ms
        )

    def is_leaving(self, instance: str, started_ms: int) -> bool:
        """Return whether this start of a server has said that it leaves."""
        return (instance, started_ms) in self._leaving

    def pause_left_ms(
        self, instance: str, started_ms: int, now_ms: float
    ) -> float:
        """Return the time until a server wants requests again, in ms."""
        until_ms = self._paused_until_ms.get((instance, started_ms), now_ms)
        return max(until_ms - now_ms, 0)
