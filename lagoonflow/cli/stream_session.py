"""Reads and appends to a stream of the log service for one command."""

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

NO_ANSWER = 'The log service at {log} did not answer in time.'
NO_CHECKPOINT = (
    'Records of the stream {stream} have expired, and the log service at {log}'
    ' holds no checkpoint that replaces them. The stream can be read again as'
    ' soon as a running process has appended a checkpoint.'
)
FOLLOWER_SETTINGS = FollowerSettings(wait_ms=2_000, answer_margin_ms=2_000)


class StreamSession:
    """Follows one stream while a command runs, and appends to it.

    :param fold: state that the records of the stream are applied to.
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
        """Wait until the stream has been read up to its newest record.

        :param timeout_ms: longest wait, in ms.
        :returns: a refusal when the time was not enough.
        """
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
    """Follow a stream, and allow appends to it, while the block runs.

    :param log: address of the log service, as ``HOST:PORT``.
    """
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
    """Return the fold after it has read its stream to the newest record.

    :param log: address of the log service, as ``HOST:PORT``.
    :param timeout_ms: longest wait, in ms.
    :returns: a refusal when the time was not enough.
    """
    async with open_session(fold, log) as session:
        refusal = await session.wait_until_current(timeout_ms)
    return refusal or fold


async def _stop(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
