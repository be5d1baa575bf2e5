"""Reads the stream of a call's current attempt."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Callable

import structlog

from lagoonflow.calls.actions import OpenStream
from lagoonflow.calls.events import ChunkArrived, StreamBroke
from lagoonflow.calls.messages import AttemptRequest, Chunk
from lagoonflow.results import Refusal, Result

MAX_QUEUED_CHUNKS = 16

Replies = AsyncGenerator[Chunk | Refusal, None]
OpenReplies = Callable[[str, AttemptRequest, int], Replies]

_log = structlog.get_logger()


class CallStream:
    """Turns the chunks of a stream into events, with backpressure.

    At most ``MAX_QUEUED_CHUNKS`` chunks are handed out before :meth:`release`
    is called for the first of them.

    :param open_replies: opens a stream to an agent; its last argument is the
        progress timeout in ms.
    :param on_event: called with each event.
    """

    def __init__(
        self,
        open_replies: OpenReplies,
        on_event: Callable[[ChunkArrived | StreamBroke], None],
    ) -> None:
        """Start without a stream."""
        self._open_replies = open_replies
        self._on_event = on_event
        self._free_slots = asyncio.Semaphore(MAX_QUEUED_CHUNKS)
        self._task: asyncio.Task[None] | None = None

    def open(self, action: OpenStream, request: AttemptRequest) -> None:
        """Close the current stream and read a new one."""
        self.stop()
        self._task = asyncio.create_task(self._read(action, request))

    def stop(self) -> None:
        """Close the current stream, if there is one."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def release(self) -> None:
        """Make room for another chunk, after one was handled."""
        self._free_slots.release()

    async def _read(self, action: OpenStream, request: AttemptRequest) -> None:
        broken = _ended_early()
        stream = self._open_replies(
            action.agent, request, action.progress_timeout_ms
        )
        try:
            async with contextlib.aclosing(stream) as replies:
                broken = await self._pass_on(replies)
        except Exception:
            _log.exception('calls: reading the stream of an attempt failed')
        if broken is not None:
            self._on_event(StreamBroke(request.attempt, broken))

    async def _pass_on(self, replies: Replies) -> Refusal | None:
        async for reply in replies:
            if isinstance(reply, Refusal):
                return reply
            await self._free_slots.acquire()
            self._on_event(ChunkArrived(reply))
            if reply.is_last:
                return None
        return _ended_early()


def _ended_early() -> Refusal:
    return Refusal(
        Result.STREAM_BROKEN,
        'the stream ended before the answer was complete',
        not_run=False,
    )
