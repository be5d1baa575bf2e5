"""The time line: a bounded ring of events that each process serves."""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterator

DEFAULT_CAPACITY = 4096
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened in one process.

    :param at_ms: wall clock time in ms since the epoch.
    :param part: slice that reports it, such as ``placement``.
    :param event: short name, such as ``replica_ready``.
    :param cause: decision, release version or event that led to it.
    """

    at_ms: float
    process: str
    part: str
    event: str
    request_id: str = ''
    model: str = ''
    host: str = ''
    cause: str = ''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Selects events; empty fields match everything."""

    request_id: str = ''
    model: str = ''
    host: str = ''
    since_ms: float = 0

    def matches(self, event: Event) -> bool:
        """Tell whether the event is selected."""
        if event.at_ms < self.since_ms:
            return False
        event_filter = (
            (self.request_id, event.request_id),
            (self.model, event.model),
            (self.host, event.host),
        )
        return all(not want or want == have for want, have in event_filter)


def fractional_wall_clock_ms() -> float:
    """Return the wall clock time in ms since the epoch."""
    return time.time() * MS_PER_S


class TimeLine:
    """Keeps the newest events of this process."""

    def __init__(
        self,
        process: str,
        capacity: int = DEFAULT_CAPACITY,
        clock_ms: Callable[[], float] = fractional_wall_clock_ms,
    ) -> None:
        """Start with no events.

        :param capacity: most events that are kept.
        """
        self._process = process
        self._events: collections.deque[Event] = collections.deque(
            maxlen=capacity,
        )
        self._clock_ms = clock_ms

    def record(
        self,
        part: str,
        event: str,
        *,
        request_id: str = '',
        model: str = '',
        host: str = '',
        cause: str = '',
        detail: str = '',
    ) -> None:
        """Append one event; the oldest is dropped when the ring is full."""
        self._events.append(
            Event(
                at_ms=self._clock_ms(),
                process=self._process,
                part=part,
                event=event,
                request_id=request_id,
                model=model,
                host=host,
                cause=cause,
                detail=detail,
            ),
        )

    def select(self, event_filter: EventFilter) -> Iterator[Event]:
        """Yield the selected events, oldest first."""
        return filter(event_filter.matches, tuple(self._events))
