"""Learns the streams that began before a router could hear of them.

The load: routers are replaced one after the other while long streams run. Each
router tells the others of a stream when it begins; one that starts later, or
was cut off then, has to ask for the state.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from lagoonflow.clock import Clock
from lagoonflow.resumption.messages import StreamOrigin
from lagoonflow.resumption.origins import StreamOrigins

# Routers that are asked at most whether they know the streams.
MAX_PROBED = 8
# Pages of one router at most: more than its table has, so that odd answers end.
MAX_PAGES = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbour:
    """Another router, as it describes its table.

    :param started_ms: wall clock of its start.
    :param is_whole: whether it knows all streams of the fleet.
    :param count: number of streams that it knows.
    :param is_near: whether it is in the same availability zone.
    """

    name: str
    started_ms: int
    is_whole: bool
    count: int
    is_near: bool

    @property
    def rank(self) -> tuple[bool, bool, int]:
        """How well it can be learnt from; higher is better."""
        return self.is_whole, self.is_near, self.count


@dataclasses.dataclass(frozen=True, slots=True)
class StreamsPage:
    """Streams of another router's table.

    :param started_ms: wall clock of that router's start.
    :param next_number: where the next page begins.
    :param is_last: whether there are no more.
    """

    started_ms: int
    origins: tuple[StreamOrigin, ...]
    next_number: int
    is_last: bool


class Neighbours(Protocol):
    """The other routers, which answer questions about their tables."""

    def names(self) -> Iterable[str]:
        """Return the routers that are taken to be running, nearest first."""

    async def probe(self, name: str) -> Neighbour | None:
        """Ask a router what it knows; ``None`` if it doesn't answer."""

    async def page(self, name: str, after: int) -> StreamsPage | None:
        """Ask a router for streams; ``None`` if it doesn't answer."""


class Joining:
    """Copies the table of streams from one of the other routers.

    :param on_known: called when the streams are known, or nobody can tell.
    :ivar is_whole: whether this router knows all streams of the fleet, as far
        as any router does.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        neighbours: Neighbours,
        clock: Clock,
        on_known: Callable[[], None],
    ) -> None:
        """Know no streams yet."""
        origins.is_known = False
        self.is_whole = False
        self._origins = origins
        self._neighbours = neighbours
        self._clock = clock
        self._on_known = on_known

    async def join(self) -> bool:
        """Learn the streams from the first router that can tell them all.

        :returns: whether all neighbours that were asked have answered.
        """
        names = list(self._neighbours.names())[:MAX_PROBED]
        found = await _gather(self._neighbours.probe(name) for name in names)
        answered = [one for one in found if one is not None]
        answered.sort(key=lambda one: one.rank, reverse=True)
        for neighbour in answered:
            is_copied = await self._copy(neighbour)
            if is_copied and neighbour.is_whole:
                self.is_whole = True
                break
        self._origins.is_known = True
        self._on_known()
        return len(answered) == len(names)

    async def _copy(self, neighbour: Neighbour) -> bool:
        """Learn all streams of one router; return whether it told them all."""
        number = 0
        for _ in range(MAX_PAGES):
            page = await self._neighbours.page(neighbour.name, number)
            if page is None or page.started_ms != neighbour.started_ms:
                return False
            now_ms = self._clock()
            for origin in page.origins:
                self._origins.learn(origin, now_ms)
            if page.is_last:
                return True
            if page.next_number <= number:
                return False
            number = page.next_number
        return False


async def _gather(
    probes: Iterable[Awaitable[Neighbour | None]],
) -> list[Neighbour | None]:
    return list(await asyncio.gather(*probes))
