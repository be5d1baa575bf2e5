"""Reads the stream of a call's present attempt."""

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
    """Passes chunks on, no faster than they are taken.

    :param open_replies: opens a stream, with the progress timeout in ms.
    :param tell: takes the events.
    """

    def __init__(
        self,
        open_replies: OpenReplies,
        tell: Callable[[ChunkArrived | StreamBroke], None],
    ) -> None:
        """Start without a stream."""
        self._open_replies = open_replies
        self._tell = tell
        self._room = asyncio.Semaphore(MAX_QUEUED_CHUNKS)
        self._task: asyncio.Task[None] | None = None

    def open(self, action: OpenStream, request: AttemptRequest) -> None:
        """Read a new stream in place of the present one."""
        self.stop()
        self._task = asyncio.create_task(self._read(action, request))

    def stop(self) -> None:
        """Close the present stream."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def release(self) -> None:
        """Count a chunk as taken."""
        self._room.release()

    async def _read(self, action: OpenStream, request: AttemptRequest) -> None:
        broken = _ended_early()
        stream = self._open_replies(
            action.agent, request, action.progress_timeout_ms
        )
        try:
            async with contextlib.aclosing(stream) as replies:
                broken = await self._pass_on(replies)
        except Exception:
            _log.exception('calls: a stream failed')
        if broken is not None:
            self._tell(StreamBroke(request.attempt, broken))

    async def _pass_on(self, replies: Replies) -> Refusal | None:
        async for reply in replies:
            if isinstance(reply, Refusal):
                return reply
            await self._room.acquire()
            self._tell(ChunkArrived(reply))
            if reply.is_last:
                return None
        return _ended_early()


def _ended_early() -> Refusal:
    return Refusal(
        Result.STREAM_BROKEN, 'the stream ended early', not_run=False
    )
