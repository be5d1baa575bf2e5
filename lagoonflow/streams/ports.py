"""What the tasks of this slice need from their surroundings."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from lagoonflow.platform.messages import AppendResult, ReadResult
from lagoonflow.streams.messages import PullReply, PullRequest, Stream

Pull = Callable[[PullRequest], Awaitable[PullReply | None]]


class LogClient(Protocol):
    """Client of the log service; failures are results, not exceptions."""

    async def append(
        self, stream: Stream, texts: Sequence[str]
    ) -> AppendResult:
        """Append records in one request."""

    async def read(
        self, stream: Stream, offset: int, wait_ms: int
    ) -> ReadResult:
        """Read from an offset; wait for a record when there is none."""
