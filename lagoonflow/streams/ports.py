"""What the tasks of this slice need from their surroundings."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from lagoonflow.clients.messages.log import AppendResult, ReadResult
from lagoonflow.streams.messages import PullReply, PullRequest

Pull = Callable[[PullRequest], Awaitable[PullReply | None]]


class LogClient(Protocol):
    """Client of the log service; failures are results, not exceptions."""

    async def append(
        self, stream: str, records: tuple[str, ...]
    ) -> AppendResult:
        """Append records in one request."""

    async def read(
        self, stream: str, offset: int, wait_ms: int, limit: int
    ) -> ReadResult:
        """Read from an offset; wait for a record when there is none."""
