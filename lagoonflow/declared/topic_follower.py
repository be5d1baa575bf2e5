"""Reads a keyed topic of the metadata store continuously."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable

import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.declared.overdue_read import (
    OverdueRead,
    TimedAnswer,
    read_timed,
)
from lagoonflow.declared.positions import Position
from lagoonflow.declared.records import (
    DEFAULT_LATE_MS,
    DEFAULT_OPTIONS,
    NEWEST_LATE_MS,
    EraChanged,
    HistoryExpired,
    HistoryTooLong,
    KeyedStore,
    ReadOptions,
    RecordCut,
    RecordPage,
    StoreFailure,
)
from lagoonflow.declared.shared_reads import SharedReads
from lagoonflow.stalls import stalled_ms

# Delay before the retry of a failed read, doubled after each further failure up
# to the maximum, in ms.
MIN_RETRY_DELAY_MS = 150
MAX_RETRY_DELAY_MS = 900

OnPage = Callable[[RecordPage, bool, float], None]
OnFailure = Callable[[StoreFailure], None]
# Time after the start during which the pause after a page is shorter, in ms:
# servers that start together register within about two heartbeats, and would
# otherwise be seen late.
START_PHASE_MS = 3000
# Longest pause after a page during that time, in ms.
START_GATHER_MS = 200
# Maximum for an urgent topic, in ms.
MAX_URGENT_RETRY_DELAY_MS = 300
# An answer that comes later than this after the wait of its read is overdue, in
# ms; a slow store answers in less.
OVERDUE_MS = 300
# Where more bytes than this follow the first record, reading only the newest
# record of each key transfers less.
MAX_REPLACED_BYTES = 65_536
# After this many pages in a row that came without records before their wait had
# ended, the next read is delayed.
MAX_EARLY_PAGES = 3
# After failures, answers may be this many times as late before they count as
# lost: a store may be slow rather than silent.
MAX_LATE_RATIO = 3
# What a copy of the store has lost may be missing for this long, in ms: those who
# wrote it write it again.
REWRITE_MS = 5000


class TopicFollower:
    """Reads the newest record of each key of a topic, then all changes.

    When the store has come back from an older copy, it reads the newest records
    anew, and marks them as possibly older.

    :param wait_ms: longest time that one read waits for records, in ms.
    :param gather_ms: pause after each page with records, in ms, so that
        records written one by one are read together.
    :param on_page: called with each page, whether it lists all keys, and the
        time until which nothing that was written is missing.
    :param on_failure: called with each failed read.
    :param is_urgent: whether a read is begun again while its answer is overdue,
        and retried soon after it failed, so that lost answers and outages of
        the store hardly delay the next page.
    :param shared_reads: reads the topic from another router where possible;
        ``None`` to read the store always.
    :ivar read_wanted: set when the topic is to be read at once, for a proof
        that nothing has been written until then.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        wait_ms: int,
        gather_ms: int,
        on_page: OnPage,
        on_failure: OnFailure,
        *,
        is_urgent: bool = False,
        shared_reads: SharedReads | None = None,
    ) -> None:
        """Create the follower; ``run`` reads the topic."""
        self.read_wanted = asyncio.Event()
        self._store = store
        self._topic = topic
        self._wait_ms = wait_ms
        self._gather_ms = gather_ms
        self._on_page = on_page
        self._on_failure = on_failure
        self._overdue_read = (
            OverdueRead(store, topic, OVERDUE_MS, boottime_ms, stalled_ms)
            if is_urgent
            else None
        )
        self._shared_reads = shared_reads
        self._position: Position | None = None
        # Where to go on if the newest records can't be read.
        self._skipped_position: Position | None = None
        # Era of the newest records that were read last.
        self._era: int | None = None
        self._restored_at_ms = float('-inf')
        self._anew_at_ms = float('-inf')
        self._max_replaced_bytes: float = MAX_REPLACED_BYTES
        self._max_bytes = DEFAULT_OPTIONS.max_bytes
        self._is_behind = False
        self._failures = 0
        self._early_pages = 0
        self._started_at_ms: float = 0
        self._log = structlog.get_logger(part='store')

    async def run(self) -> None:
        """Read the topic until cancelled."""
        self._started_at_ms = boottime_ms()
        while True:
            await self._read_once()

    async def _read_once(self) -> None:
        is_whole = self._position is None
        began_ms = boottime_ms()
        timed = await self._read()
        page = timed.answer
        match page:
            case StoreFailure():
                await self._handle_failure(page)
            case HistoryExpired() | EraChanged():
                await self._start_anew(page)
            case HistoryTooLong():
                self._log.info('history skipped', topic=self._topic)
                self._skipped_position = self._position
                self._position = None
            case RecordCut(needed_bytes=needed_bytes):
                self._max_bytes = needed_bytes
            case RecordPage(records=records, next_position=next_position):
                self._handle_success()
                self._position = next_position
                self._note_age(timed)
                if is_whole:
                    page = self._mark_restored(page)
                self._apply(page, is_whole, timed.current_at_ms)
                # The router that answered has paused before its own read.
                if records and not timed.is_from_router:
                    await self._gather(boottime_ms())
                elif not records:
                    await self._delay_early(boottime_ms() - began_ms)

    def _apply(
        self, page: RecordPage, is_whole: bool, current_at_ms: float
    ) -> None:
        """Apply a page; the next one is read even if this one can't be."""
        try:
            self._on_page(page, is_whole, current_at_ms)
        except Exception:
            self._log.exception('page not applied', topic=self._topic)

    async def _start_anew(self, reason: HistoryExpired | EraChanged) -> None:
        """Read the newest records next, after a pause if that is repeated."""
        self._log.info(
            'history not usable', topic=self._topic, why=type(reason).__name__
        )
        self._position = None
        now_ms = boottime_ms()
        if now_ms - self._anew_at_ms < MAX_RETRY_DELAY_MS:
            await asyncio.sleep(MIN_RETRY_DELAY_MS / MS_PER_S)
        self._anew_at_ms = now_ms

    def _mark_restored(self, page: RecordPage) -> RecordPage:
        """Mark the newest records of a store that has just come back."""
        now_ms = boottime_ms()
        era = page.next_position.era
        if self._era not in {None, era}:
            self._restored_at_ms = now_ms
            self._log.warning(
                'store restored from a copy', topic=self._topic, era=era
            )
        self._era = era
        if now_ms - self._restored_at_ms > REWRITE_MS:
            return page
        return dataclasses.replace(page, may_be_older=True)

    async def _gather(self, now_ms: float) -> None:
        """Pause for more records to arrive; just after the start, less."""
        is_starting = now_ms - self._started_at_ms < START_PHASE_MS
        gather_ms = START_GATHER_MS if is_starting else self._gather_ms
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(gather_ms, self._gather_ms) / MS_PER_S
            ):
                await self.read_wanted.wait()

    async def _delay_early(self, took_ms: float) -> None:
        """Pause when the store keeps answering before a read's wait ends."""
        is_early = took_ms < self._wait_ms / 2
        self._early_pages = self._early_pages + 1 if is_early else 0
        if self._early_pages > MAX_EARLY_PAGES:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MIN_RETRY_DELAY_MS / MS_PER_S):
                    await self.read_wanted.wait()

    def _note_age(self, timed: TimedAnswer) -> None:
        """Read without a wait next if what is known is old already.

        A page that took long to transfer proves only what was known when it
        was asked for.
        """
        page = timed.answer
        age_ms = boottime_ms() - timed.current_at_ms
        is_old = bool(page.records) and age_ms > self._wait_ms
        self._is_behind = is_old or not page.is_current

    async def _read(self) -> TimedAnswer:
        if self._position is None:
            requested_at_ms = boottime_ms()
            page = await self._store.newest(
                self._topic, NEWEST_LATE_MS * self._late_ratio
            )
            return TimedAnswer(page, requested_at_ms)
        wait_ms = self._wait_ms
        is_wanted = self.read_wanted.is_set()
        self.read_wanted.clear()
        if self._failures or self._is_behind or is_wanted:
            wait_ms = 0
        if self._shared_reads is None or self._failures or is_wanted:
            return await self._read_store(self._position, wait_ms)
        return await self._shared_reads.read(
            self._position, wait_ms, self._read_store
        )

    @property
    def _late_ratio(self) -> int:
        return min(self._failures + 1, MAX_LATE_RATIO)

    async def _read_store(
        self, position: Position, wait_ms: int
    ) -> TimedAnswer:
        if self._overdue_read is not None:
            return await self._overdue_read.read(
                position, wait_ms, self._max_replaced_bytes
            )
        options = ReadOptions(
            DEFAULT_LATE_MS * self._late_ratio, self._max_bytes
        )
        return await read_timed(
            self._store, self._topic, position, wait_ms, boottime_ms, options
        )

    def _handle_success(self) -> None:
        if self._failures:
            self._log.info(
                'store regained', topic=self._topic, failures=self._failures
            )
        self._failures = 0
        self._skipped_position = None
        self._max_replaced_bytes = MAX_REPLACED_BYTES

    async def _handle_failure(self, failure: StoreFailure) -> None:
        if not self._failures:
            self._log.warning(
                'store lost', topic=self._topic, reason=failure.reason
            )
        self._failures += 1
        self._on_failure(failure)
        if self._skipped_position is not None:
            self._position = self._skipped_position
            self._skipped_position = None
            self._max_replaced_bytes = float('inf')
        delay_ms = min(
            MIN_RETRY_DELAY_MS * 2 ** min(self._failures - 1, 8),
            MAX_RETRY_DELAY_MS
            if self._overdue_read is None
            else MAX_URGENT_RETRY_DELAY_MS,
        )
        await asyncio.sleep(delay_ms * random.uniform(0.7, 1.1) / MS_PER_S)
