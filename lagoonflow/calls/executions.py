"""Attempts of an agent that are queued, running or not read to the end."""

import asyncio
import contextlib
from collections.abc import Callable

import structlog

from lagoonflow.calls.attempts import AttemptTable
from lagoonflow.calls.buffer import BufferLimits, ChunkBuffer
from lagoonflow.calls.executor import (
    AnswerBegun,
    BodyProduced,
    ExecutionEvent,
    Executor,
    Finished,
    Refused,
    Started,
    TextProduced,
)
from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    AttemptState,
    Chunk,
)
from lagoonflow.results import Refusal, Result
from lagoonflow.time_limits import time_limit

MAX_KEPT_ANSWERS = 1024

_log = structlog.get_logger()


class Execution:
    """One attempt at an agent, with the buffer of its answer.

    :ivar readers: number of streams that read the answer at present.
    :ivar unread_since_ms: when the last reader left, or when the attempt was
        queued if there was none.
    :ivar is_submitted: whether the attempt was passed to its executor.
    """

    def __init__(
        self, request: AttemptRequest, executor: Executor, limits: BufferLimits
    ) -> None:
        """Start without readers."""
        self.request = request
        self.executor = executor
        self.buffer = ChunkBuffer(request.attempt, limits)
        self.readers = 0
        self.unread_since_ms = 0
        self.is_submitted = False
        self.task: asyncio.Task[None] | None = None
        self._buffer_changed = asyncio.Event()
        self._room_freed = asyncio.Event()
        self._answer_ended = asyncio.Event()

    @property
    def is_busy(self) -> bool:
        """Whether the answer is incomplete, not all read or being read."""
        return bool(self.readers) or not self.buffer.is_read

    def notify(self) -> None:
        """Wake the readers after the buffer has changed."""
        self._buffer_changed.set()
        if self.buffer.is_complete:
            self._answer_ended.set()

    async def wait_between_chunks(self, duration_ms: int) -> None:
        """Wait, so that more text joins the next chunk, or until the end.

        :param duration_ms: time in ms to wait if the answer does not end.
        """
        with contextlib.suppress(TimeoutError):
            async with time_limit(duration_ms):
                await self._answer_ended.wait()

    async def wait_for_change(self, timeout_ms: int) -> bool:
        """Wait for the buffer to change; return false after ``timeout_ms``."""
        self._buffer_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with time_limit(timeout_ms):
                return await self._buffer_changed.wait()
        return False

    async def wait_for_room(self) -> None:
        """Wait until the reader has made room in the buffer."""
        while self.buffer.is_full and not self.buffer.is_complete:
            self._room_freed.clear()
            await self._room_freed.wait()

    def read(self, index: int) -> Chunk | None:
        """Return the chunk at an index, if any, and let the source continue."""
        chunk = self.buffer.read(index)
        if chunk is not None:
            self._room_freed.set()
        return chunk


class Executions:
    """Runs attempts and records the end of each in the attempt table."""

    def __init__(
        self,
        table: AttemptTable,
        clock_ms: Callable[[], int],
        limits: BufferLimits | None = None,
    ) -> None:
        """Start with no attempts.

        :param clock_ms: returns monotonic time in ms.
        """
        self._table = table
        self._clock_ms = clock_ms
        self._limits = limits or BufferLimits()
        self._executions: dict[AttemptId, Execution] = {}

    @property
    def is_busy(self) -> bool:
        """Whether any answer is incomplete, not all read or being read."""
        return any(execution.is_busy for execution in self._executions.values())

    def find(self, attempt: AttemptId) -> Execution | None:
        """Return an attempt that is open or whose answer is still kept."""
        return self._executions.get(attempt)

    def enqueue(self, request: AttemptRequest, executor: Executor) -> None:
        """Queue an attempt that the table has admitted."""
        execution = Execution(request, executor, self._limits)
        execution.unread_since_ms = self._clock_ms()
        self._executions[request.attempt] = execution
        execution.task = asyncio.create_task(self._run_to_end(execution))

    def withdraw(self, attempt: AttemptId, refusal: Refusal) -> None:
        """Remove an attempt from the queue and refuse it, unless it started."""
        execution = self._executions.get(attempt)
        if execution is None or execution.task is None:
            return
        if execution.is_submitted and not execution.executor.withdraw(attempt):
            return
        self._settle(execution, refusal)
        execution.task.cancel()

    def withdraw_all(self, refusal: Refusal) -> None:
        """Remove all queued attempts from the queue and refuse them."""
        for attempt in list(self._executions):
            if self._table.state(attempt) is AttemptState.QUEUED:
                self.withdraw(attempt, refusal)

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt whose answer is not needed any more."""
        if self._table.state(attempt) is AttemptState.QUEUED:
            gone = Refusal(
                Result.CALLER_GONE, 'the answer is not needed any more'
            )
            self.withdraw(attempt, gone)
        execution = self._executions.get(attempt)
        if execution is not None and not execution.buffer.is_complete:
            execution.executor.cancel(attempt)

    def sweep(self, orphan_timeout_ms: int) -> None:
        """Stop attempts that nobody reads, and drop old answers.

        :param orphan_timeout_ms: time in ms without a reader after which an
            attempt is stopped and a complete answer dropped. Complete answers
            without a reader are dropped earlier when there are too many.
        """
        oldest_ms = self._clock_ms() - orphan_timeout_ms
        excess = len(self._executions) - MAX_KEPT_ANSWERS
        for attempt, execution in list(self._executions.items()):
            if execution.readers:
                continue
            is_orphan = execution.unread_since_ms <= oldest_ms
            if execution.buffer.is_complete and (is_orphan or excess > 0):
                self._executions.pop(attempt)
                excess -= 1
            elif is_orphan:
                self.cancel(attempt)

    async def _run_to_end(self, execution: Execution) -> None:
        execution.is_submitted = True
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._settle, execution, _failed())
            try:
                await self._run(execution)
            except Exception:
                _log.exception(
                    'calls: an attempt ended with an unexpected error'
                )

    async def _run(self, execution: Execution) -> None:
        running = execution.executor.run(execution.request)
        async with contextlib.aclosing(running) as execution_events:
            async for event in execution_events:
                if not self._handle_event(execution, event):
                    return
                execution.notify()
                await execution.wait_for_room()

    def _handle_event(
        self, execution: Execution, event: ExecutionEvent
    ) -> bool:
        buffer = execution.buffer
        match event:
            case Started():
                return self._table.start(execution.request.attempt)
            case TextProduced(text, tokens):
                buffer.add_text(text, tokens)
            case AnswerBegun(answer):
                buffer.add_answer(answer)
            case BodyProduced(body):
                buffer.add_body(body)
            case Finished(finish):
                buffer.finish(finish)
            case Refused(refusal):
                self._settle(execution, refusal)
        return True

    def _settle(self, execution: Execution, refusal: Refusal) -> None:
        """Mark an attempt as ended; if its answer is incomplete, refuse it."""
        attempt = execution.request.attempt
        now_ms = self._clock_ms()
        if not execution.buffer.is_complete:
            if refusal.not_run:
                self._table.withdraw(attempt, now_ms)
            self._table.finish(attempt, now_ms)
            execution.buffer.refuse(refusal, self._table.state(attempt))
        self._table.finish(attempt, now_ms)
        execution.notify()


def _failed() -> Refusal:
    return Refusal(
        Result.BACKEND_FAILED,
        'the attempt ended with an internal error',
        not_run=False,
    )
