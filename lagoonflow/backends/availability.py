"""What backend servers say of their availability in their answers."""

import collections
import dataclasses

# Servers remembered at most; the oldest are forgotten first.
MAX_SERVERS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    """A server wants no requests until a time.

    :param started_ms: wall clock of the start of the server that asked.
    """

    started_ms: int
    until_ms: float


class Availability:
    """Servers that are leaving, or that asked this router for a pause.

    Both hold until the server is started anew.
    """

    def __init__(self) -> None:
        """Start without statements of servers."""
        self._leaving: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._pauses: dict[str, _Pause] = {}

    def note_leaving(self, instance: str, started_ms: int) -> bool:
        """Record that a server is leaving; return whether that is new."""
        is_new = not self.is_leaving(instance, started_ms)
        if is_new:
            self._leaving[instance] = started_ms
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
        until_ms = now_ms + max(pause_ms, left_ms)
        self._pauses = {
            name: pause
            for name, pause in self._pauses.items()
            if pause.until_ms > now_ms
        }
        self._pauses[instance] = _Pause(started_ms, until_ms)

    def is_leaving(self, instance: str, started_ms: int) -> bool:
        """Return whether this start of a server has said that it leaves."""
        return self._leaving.get(instance) == started_ms

    def pause_left_ms(
        self, instance: str, started_ms: int, now_ms: float
    ) -> float:
        """Return the time until a server wants requests again, in ms."""
        pause = self._pauses.get(instance)
        if pause is None or pause.started_ms != started_ms:
            return 0
        return max(pause.until_ms - now_ms, 0)
