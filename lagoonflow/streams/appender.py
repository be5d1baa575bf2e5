"""Task that appends records to a stream."""

import asyncio
import random
from collections.abc import Callable

from lagoonflow.clients.messages.log import (
    Appended,
    AppendResult,
    AppendUnknown,
)
from lagoonflow.clock import MS_PER_S, Clock, boottime_ms
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.append_queue import (
    AppendedRecord,
    AppendQueue,
    Idle,
    ReadTail,
    SendAppend,
    WaitUntil,
)
from lagoonflow.streams.envelope import Record, encode_record
from lagoonflow.streams.messages import Stream
from lagoonflow.streams.ports import LogClient
from lagoonflow.time_limits import time_limit

APPEND_TIMEOUT_MS = 10_000
TAIL_RECORDS = 100
LOG_UNAVAILABLE = 'The log service did not accept the record in time.'


class StreamAppender:
    """Appends records to one stream; `run` must run as a task meanwhile.

    :param next_offset: returns a lower bound of the offset that the next
        append gets, such as the next offset of the stream's fold.
    """

    def __init__(
        self,
        stream: Stream,
        log: LogClient,
        next_offset: Callable[[], int],
        *,
        rng: random.Random | None = None,
        clock: Clock = boottime_ms,
    ) -> None:
        self._stream = stream
        self._log = log
        self._next_offset = next_offset
        self._clock = clock
        self._queue = AppendQueue(rng or random.Random())
        self._outcomes: dict[str, asyncio.Future[Appended]] = {}
        self._submitted = asyncio.Event()

    async def append(
        self, record: Record, timeout_ms: int = APPEND_TIMEOUT_MS
    ) -> Appended | Refusal:
        """Append a record exactly once, also when answers are lost.

        :param timeout_ms: how long to retry, in ms.
        :returns: the offset of the record; after the timeout a refusal,
            whose `not_run` is true if it was certainly not appended.
        """
        outcome = self._outcome(record)
        try:
            async with time_limit(timeout_ms):
                return await asyncio.shield(outcome)
        except TimeoutError:
            return self._give_up(record.record_id)

    async def run(self) -> None:
        """Append the submitted records until cancelled."""
        while True:
            await self._step()

    def _outcome(self, record: Record) -> asyncio.Future[Appended]:
        known = self._outcomes.get(record.record_id)
        if known is not None:
            return known
        outcome = asyncio.get_running_loop().create_future()
        self._outcomes[record.record_id] = outcome
        self._queue.submit(record.record_id, encode_record(record))
        self._submitted.set()
        return outcome

    def _give_up(self, record_id: str) -> Refusal:
        is_not_run = self._queue.withdraw(record_id)
        self._outcomes.pop(record_id, None)
        return Refusal(
            Result.LOG_UNAVAILABLE, LOG_UNAVAILABLE, not_run=is_not_run
        )

    async def _step(self) -> None:
        action = self._queue.next_action(self._clock(), self._next_offset())
        match action:
            case SendAppend(texts):
                result = await self._send(texts)
                self._finish(self._queue.on_append(self._clock(), result))
            case ReadTail(offset):
                tail = await self._log.read(
                    self._stream, offset, 0, TAIL_RECORDS
                )
                self._finish(self._queue.on_tail(self._clock(), tail))
            case WaitUntil(at_ms):
                await asyncio.sleep((at_ms - self._clock()) / MS_PER_S)
            case Idle():
                self._submitted.clear()
                await self._submitted.wait()

    async def _send(self, texts: tuple[str, ...]) -> AppendResult:
        try:
            return await self._log.append(self._stream, texts)
        except OSError as error:
            return AppendUnknown(str(error))

    def _finish(self, stored: tuple[AppendedRecord, ...]) -> None:
        for appended in stored:
            outcome = self._outcomes.pop(appended.record_id, None)
            if outcome is not None and not outcome.done():
                outcome.set_result(Appended(appended.offset))
