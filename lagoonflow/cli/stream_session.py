"""Reads an agreed stream once, up to its head."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import TypeVar

from lagoonflow.clients.log import LogClient
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.follower import StreamFollower
from lagoonflow.streams.follower_logic import FollowerSettings

FoldT = TypeVar('FoldT', bound=FoldBase)

NO_ANSWER = 'The log service {log} did not answer in time.'
NO_CHECKPOINT = (
    'Records of the stream {stream} have expired and the log service {log}'
    ' holds no checkpoint. It is readable again when a running process has'
    ' appended one.'
)
FOLLOWER_SETTINGS = FollowerSettings(wait_ms=2_000, answer_margin_ms=2_000)


class StreamSession:
    """Follows one stream for as long as a command runs.

    :param log: address of the log service, as ``HOST:PORT``.
    """

    def __init__(self, fold: FoldBase, log: str) -> None:
        self._log = log
        self.client = LogClient(log)
        self.appender = StreamAppender(
            fold.stream, self.client, lambda: fold.next_offset
        )
        self.follower = StreamFollower(
            fold, self.client, settings=FOLLOWER_SETTINGS
        )

    async def wait_until_current(self, timeout_ms: int) -> Refusal | None:
        """Wait until the stream has been read up to its head."""
        if await self.follower.wait_until_current(timeout_ms):
            return None
        reason = NO_ANSWER
        if self.follower.is_waiting_for_checkpoint:
            reason = NO_CHECKPOINT
        stream = self.follower.fold.stream.value
        return Refusal(
            Result.LOG_UNAVAILABLE,
            reason.format(log=self._log, stream=stream),
        )


@contextlib.asynccontextmanager
async def open_session(
    fold: FoldBase, log: str
) -> AsyncIterator[StreamSession]:
    """Follow a stream and append to it while the block runs."""
    session = StreamSession(fold, log)
    tasks = [
        asyncio.create_task(session.follower.run()),
        asyncio.create_task(session.appender.run()),
    ]
    try:
        yield session
    finally:
        await _stop(tasks)
        await session.client.aclose()


async def read_stream(
    fold: FoldT, log: str, timeout_ms: int
) -> FoldT | Refusal:
    """Return a fold that has read its stream up to the head."""
    async with open_session(fold, log) as session:
        refusal = await session.wait_until_current(timeout_ms)
    return refusal or fold


async def _stop(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
