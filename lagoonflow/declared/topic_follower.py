"""Follows a keyed topic of the metadata store."""

import asyncio
import random
from collections.abc import Callable

import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.declared.records import (
    HistoryExpired,
    KeyedStore,
    RecordPage,
    StoreFailure,
)

# Delay before a failed read is repeated; doubled up to the longest, in ms.
FIRST_DELAY_MS = 150
LONGEST_DELAY_MS = 900

OnPage = Callable[[RecordPage, bool, float], None]
OnFailure = Callable[[StoreFailure], None]
# After a start, records are gathered for a short time only, in ms: servers
# that started together register within about two heartbeats.
STARTING_MS = 3000
STARTING_GATHER_MS = 200


class TopicFollower:
    """Reads a topic from its newest records on.

    :param wait_ms: longest time that one read waits for records.
    :param gather_ms: pause after a page, so that records that come one by
        one are read together.
    :param on_page: gets each page, whether it is a whole listing, and when
        it was asked for.
    :param on_failure: gets each failure.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        wait_ms: int,
        gather_ms: int,
        on_page: OnPage,
        on_failure: OnFailure,
    ) -> None:
        """Prepare; ``run`` reads."""
        self._store = store
        self._topic = topic
        self._wait_ms = wait_ms
        self._gather_ms = gather_ms
        self._on_page = on_page
        self._on_failure = on_failure
        self._offset: int | None = None
        self._failures = 0
        self._started_at_ms: float = 0
        self._log = structlog.get_logger(part='store')

    async def run(self) -> None:
        """Read until cancelled."""
        self._started_at_ms = boottime_ms()
        while True:
            await self._read_once()

    async def _read_once(self) -> None:
        asked_at_ms = boottime_ms()
        is_whole = self._offset is None
        page = await self._read()
        match page:
            case StoreFailure():
                await self._note_failure(page)
            case HistoryExpired():
                self._log.info('history expired', topic=self._topic)
                self._offset = None
            case RecordPage(records=records, next_offset=next_offset):
                self._note_answer()
                self._offset = next_offset
                self._on_page(page, is_whole, asked_at_ms)
                if records:
                    await self._gather(asked_at_ms)

    async def _gather(self, now_ms: float) -> None:
        """Let records come together, but not while little is known yet."""
        is_starting = now_ms - self._started_at_ms < STARTING_MS
        gather_ms = STARTING_GATHER_MS if is_starting else self._gather_ms
        await asyncio.sleep(min(gather_ms, self._gather_ms) / MS_PER_S)

    async def _read(self) -> RecordPage | HistoryExpired | StoreFailure:
        if self._offset is None:
            return await self._store.newest(self._topic)
        wait_ms = 0 if self._failures else self._wait_ms
        return await self._store.read(self._topic, self._offset, wait_ms)

    def _note_answer(self) -> None:
        if self._failures:
            self._log.info(
                'store regained', topic=self._topic, failures=self._failures
            )
        self._failures = 0

    async def _note_failure(self, failure: StoreFailure) -> None:
        if not self._failures:
            self._log.warning(
                'store lost', topic=self._topic, reason=failure.reason
            )
        self._failures += 1
        self._on_failure(failure)
        delay_ms = min(
            FIRST_DELAY_MS * 2 ** min(self._failures - 1, 8),
            LONGEST_DELAY_MS,
        )
        await asyncio.sleep(delay_ms * random.uniform(0.7, 1.1) / MS_PER_S)
