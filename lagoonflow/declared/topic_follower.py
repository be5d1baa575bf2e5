"""Reads a keyed topic of the metadata store continuously."""

import asyncio
import random
from collections.abc import Callable

import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.declared.overdue_read import (
    OverdueRead,
    TimedAnswer,
    read_timed,
)
from lagoonflow.declared.records import (
    HistoryExpired,
    KeyedStore,
    RecordPage,
    StoreFailure,
)
from lagoonflow.declared.shared_reads import SharedReads

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


class TopicFollower:
    """Reads the newest record of each key of a topic, then all changes.

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
        self._store = store
        self._topic = topic
        self._wait_ms = wait_ms
        self._gather_ms = gather_ms
        self._on_page = on_page
        self._on_failure = on_failure
        self._overdue_read = (
            OverdueRead(store, topic, OVERDUE_MS, boottime_ms)
            if is_urgent
            else None
        )
        self._shared_reads = shared_reads
        self._offset: int | None = None
        self._failures = 0
        self._started_at_ms: float = 0
        self._log = structlog.get_logger(part='store')

    async def run(self) -> None:
        """Read the topic until cancelled."""
        self._started_at_ms = boottime_ms()
        while True:
            await self._read_once()

    async def _read_once(self) -> None:
        is_whole = self._offset is None
        timed = await self._read()
        page = timed.answer
        match page:
            case StoreFailure():
                await self._handle_failure(page)
            case HistoryExpired():
                self._log.info('history expired', topic=self._topic)
                self._offset = None
            case RecordPage(records=records, next_offset=next_offset):
                self._handle_success()
                self._offset = next_offset
                self._apply(page, is_whole, timed.current_at_ms)
                # The router that answered has paused before its own read.
                if records and not timed.is_from_router:
                    await self._gather(boottime_ms())

    def _apply(
        self, page: RecordPage, is_whole: bool, current_at_ms: float
    ) -> None:
        """Apply a page; the next one is read even if this one can't be."""
        try:
            self._on_page(page, is_whole, current_at_ms)
        except Exception:
            self._log.exception('page not applied', topic=self._topic)

    async def _gather(self, now_ms: float) -> None:
        """Pause for more records to arrive; just after the start, less."""
        is_starting = now_ms - self._started_at_ms < START_PHASE_MS
        gather_ms = START_GATHER_MS if is_starting else self._gather_ms
        await asyncio.sleep(min(gather_ms, self._gather_ms) / MS_PER_S)

    async def _read(self) -> TimedAnswer:
        if self._offset is None:
            requested_at_ms = boottime_ms()
            page = await self._store.newest(self._topic)
            return TimedAnswer(page, requested_at_ms)
        wait_ms = 0 if self._failures else self._wait_ms
        if self._shared_reads is None or self._failures:
            return await self._read_store(self._offset, wait_ms)
        return await self._shared_reads.read(
            self._offset, wait_ms, self._read_store
        )

    async def _read_store(self, offset: int, wait_ms: int) -> TimedAnswer:
        if self._overdue_read is not None:
            return await self._overdue_read.read(offset, wait_ms)
        return await read_timed(
            self._store, self._topic, offset, wait_ms, boottime_ms
        )

    def _handle_success(self) -> None:
        if self._failures:
            self._log.info(
                'store regained', topic=self._topic, failures=self._failures
            )
        self._failures = 0

    async def _handle_failure(self, failure: StoreFailure) -> None:
        if not self._failures:
            self._log.warning(
                'store lost', topic=self._topic, reason=failure.reason
            )
        self._failures += 1
        self._on_failure(failure)
        delay_ms = min(
            MIN_RETRY_DELAY_MS * 2 ** min(self._failures - 1, 8),
            MAX_RETRY_DELAY_MS
            if self._overdue_read is None
            else MAX_URGENT_RETRY_DELAY_MS,
        )
        await asyncio.sleep(delay_ms * random.uniform(0.7, 1.1) / MS_PER_S)
