"""Reads of a topic that one router of an availability zone does for the others.

The load: dozens of routers that each read the same topics about once a second.
The metadata store limits and charges for calls, while a datagram to a router
in the same zone costs next to nothing.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from lagoonflow.clock import MS_PER_S, Clock
from lagoonflow.declared.overdue_read import TimedAnswer
from lagoonflow.declared.positions import Position
from lagoonflow.declared.records import KeyedRecord, RecordPage
from lagoonflow.waking.copies import rendezvous_weight

# In a zone with fewer routers each one reads the store itself.
MIN_ZONE_ROUTERS = 3
# A router that didn't answer, or whose answer was too old, isn't asked again
# for this long, in ms.
AVOID_MS = 3000
# Records of earlier pages that are kept for the others; a router that lags
# further behind reads the store.
MAX_KEPT_PAGES = 64
# Larger answers aren't sent; one datagram holds little more.
MAX_ANSWER_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class SharedPage:
    """What a router has read of a topic after a position.

    :param records: newest record of each key that changed.
    :param next_position: up to where the topic was read.
    :param age_ms: time since the topic was known to have no more records.
    :param is_whole: whether the records are all that changed; otherwise they
        have to be read from the store.
    """

    records: tuple[KeyedRecord, ...]
    next_position: Position
    age_ms: float
    is_whole: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptPage:
    from_position: Position
    next_position: Position
    records: tuple[KeyedRecord, ...]


class ChangeFilter(Protocol):
    """Tells which records differ from what was read before."""

    def select(
        self, records: tuple[KeyedRecord, ...]
    ) -> tuple[KeyedRecord, ...]:
        """Return the records that tell anything new."""

    def forget(self) -> None:
        """Take every record as new, as some may have been missed."""


class AllRecords:
    """Passes every record on."""

    def select(
        self, records: tuple[KeyedRecord, ...]
    ) -> tuple[KeyedRecord, ...]:
        """Return all records."""
        return records

    def forget(self) -> None:
        """Nothing is remembered."""


class ReadHistory:
    """Pages of one topic that this router has read from the store.

    :param changes: leaves out records without news, such as heartbeats.
    """

    def __init__(self, changes: ChangeFilter) -> None:
        """Start with nothing read."""
        self._changes = changes
        self._pages: collections.deque[_KeptPage] = collections.deque(
            maxlen=MAX_KEPT_PAGES
        )
        self._current_at_ms = float('-inf')

    def note(self, position: Position, timed: TimedAnswer) -> None:
        """Keep a page that the store returned for a position.

        A page that doesn't continue the ones before discards them.
        """
        page = timed.answer
        if not isinstance(page, RecordPage):
            return
        if self._pages and self._pages[-1].next_position != position:
            self._pages.clear()
            self._changes.forget()
        changed = self._changes.select(page.records)
        self._pages.append(_KeptPage(position, page.next_position, changed))
        self._merge_unchanged()
        if page.is_current:
            self._current_at_ms = timed.current_at_ms

    def after(self, position: Position, now_ms: float) -> SharedPage:
        """Return what was read after a position."""
        age_ms = now_ms - self._current_at_ms
        unknown = SharedPage((), position, age_ms, is_whole=False)
        if not (
            self._pages and position.includes(self._pages[0].from_position)
        ):
            return unknown
        newest: dict[str, KeyedRecord] = {}
        for page in self._pages:
            if not position.includes(page.next_position):
                newest.update({record.key: record for record in page.records})
        records = tuple(newest.values())
        if sum(map(_size, records)) > MAX_ANSWER_BYTES:
            return unknown
        read_until = self._pages[-1].next_position
        if position.includes(read_until):
            read_until = position
        return SharedPage(records, read_until, age_ms)

    def _merge_unchanged(self) -> None:
        """Join the last page to the one before if neither has changes."""
        if len(self._pages) < 2:
            return
        last = self._pages.pop()
        before = self._pages.pop()
        if last.records or before.records:
            self._pages.extend((before, last))
        else:
            joined = _KeptPage(before.from_position, last.next_position, ())
            self._pages.append(joined)


class Readers:
    """Picks the router of a zone that reads a topic for the others.

    :param own_name: name of this router.
    """

    def __init__(self, topic: str, own_name: str) -> None:
        """Avoid nobody yet."""
        self._own_name = own_name
        self._rank = rendezvous_weight(topic)
        self._avoided_until_ms: dict[str, float] = {}

    def pick(self, others: Iterable[str], now_ms: float) -> str | None:
        """Return the router to ask; ``None`` when this one should read itself.

        :param others: the other routers of the zone.
        """
        names = {self._own_name, *others}
        self._avoided_until_ms = {
            name: until_ms
            for name, until_ms in self._avoided_until_ms.items()
            if name in names and until_ms > now_ms
        }
        if len(names) < MIN_ZONE_ROUTERS:
            return None
        reader = max(names - self._avoided_until_ms.keys(), key=self._rank)
        return None if reader == self._own_name else reader

    def avoid(self, name: str, now_ms: float) -> None:
        """Don't ask a router for a while."""
        self._avoided_until_ms[name] = now_ms + AVOID_MS


@dataclasses.dataclass(frozen=True, slots=True)
class SharingLimits:
    """How fresh the answers of another router have to be.

    :param max_age_ms: oldest proof that the topic has no more records.
    :param poll_interval_ms: time between two questions to the router.
    """

    max_age_ms: float
    poll_interval_ms: float


AskRouter = Callable[[str, str, Position], Awaitable[SharedPage | None]]
ReadStore = Callable[[Position, int], Awaitable[TimedAnswer]]


class SharedReads:
    """Reads a topic from another router, or from the store if that fails.

    :param ask: asks a router for a topic from a position on; returns ``None``
        when it doesn't answer.
    :param others: returns the names of the other routers of the zone.
    """

    def __init__(
        self,
        topic: str,
        readers: Readers,
        history: ReadHistory,
        limits: SharingLimits,
        ask: AskRouter,
        others: Callable[[], Iterable[str]],
        clock: Clock,
    ) -> None:
        """Start with nothing read."""
        self._topic = topic
        self._readers = readers
        self._history = history
        self._limits = limits
        self._ask = ask
        self._others = others
        self._clock = clock
        self._asked_at_ms = float('-inf')

    async def read(
        self, position: Position, wait_ms: int, read_store: ReadStore
    ) -> TimedAnswer:
        """Return the records from a position on.

        :param wait_ms: longest time to wait for the first record, in ms.
        """
        until_ms = self._clock() + wait_ms
        while True:
            reader = self._readers.pick(self._others(), self._clock())
            if reader is None:
                return await self._read_store(position, wait_ms, read_store)
            await self._pause()
            asked_at_ms = self._clock()
            page = await self._ask(reader, self._topic, position)
            is_usable = self._is_usable(page, position)
            if not is_usable:
                self._readers.avoid(reader, self._clock())
            if not (is_usable and page.is_whole):
                # What is known may be old by now, so the store has to answer
                # at once.
                return await self._read_store(position, 0, read_store)
            if page.records or self._clock() >= until_ms:
                return _timed(page, asked_at_ms)

    async def _pause(self) -> None:
        due_ms = self._asked_at_ms + self._limits.poll_interval_ms
        pause_ms = max(due_ms - self._clock(), 0)
        await asyncio.sleep(pause_ms / MS_PER_S)
        self._asked_at_ms = self._clock()

    def _is_usable(self, page: SharedPage | None, position: Position) -> bool:
        if page is None or page.age_ms > self._limits.max_age_ms:
            return False
        return page.next_position.includes(position)

    async def _read_store(
        self, position: Position, wait_ms: int, read_store: ReadStore
    ) -> TimedAnswer:
        timed = await read_store(position, wait_ms)
        self._history.note(position, timed)
        return timed


def _timed(page: SharedPage, asked_at_ms: float) -> TimedAnswer:
    # The router stated the age of its proof after it was asked, so the proof
    # is at least as new as this, however long its answer took.
    return TimedAnswer(
        RecordPage(page.records, page.next_position),
        asked_at_ms - page.age_ms,
        is_from_router=True,
    )


def _size(record: KeyedRecord) -> int:
    return len(record.key) + len(record.value or b'')
