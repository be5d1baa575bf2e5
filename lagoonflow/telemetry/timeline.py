"""The time line: the newest events of a process, which it serves."""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterator

DEFAULT_CAPACITY = 4096
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event in one process.

    :param at_ms: wall clock time, in ms since 1970.
    :param process: name of the process.
    :param part: package that records the event, such as ``placement``.
    :param event: short name, such as ``replica_ready``.
    :param cause: decision, release version or event that led to it.
    :param detail: further text for the operator.
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
    """Selects events; an empty field matches every event.

    :param since_ms: wall clock time of the earliest event, in ms since 1970.
    """

    request_id: str = ''
    model: str = ''
    host: str = ''
    since_ms: float = 0

    def matches(self, event: Event) -> bool:
        """Return whether the filter selects the event."""
        if event.at_ms < self.since_ms:
            return False
        comparisons = (
            (self.request_id, event.request_id),
            (self.model, event.model),
            (self.host, event.host),
        )
        return all(
            not wanted or wanted == actual for wanted, actual in comparisons
        )


def fractional_wall_clock_ms() -> float:
    """Return the wall clock time with fractions, in ms since 1970."""
    return time.time() * MS_PER_S


class TimeLine:
    """Keeps the newest events of this process in memory."""

    def __init__(
        self,
        process: str,
        capacity: int = DEFAULT_CAPACITY,
        clock_ms: Callable[[], float] = fractional_wall_clock_ms,
    ) -> None:
        """Start without events.

        :param process: name of this process.
        :param capacity: maximum number of events that are kept.
        :param clock_ms: wall clock, in ms since 1970.
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
        """Append an event; at full capacity the oldest one is dropped."""
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
