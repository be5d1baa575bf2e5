"""Interfaces that the tasks of this package use."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from lagoonflow.clients.messages.log import AppendResult, ReadResult
from lagoonflow.streams.messages import PullReply, PullRequest

Pull = Callable[[PullRequest], Awaitable[PullReply | None]]


class LogClient(Protocol):
    """Client of the log service; returns failures as results."""

    async def append(
        self, stream: str, records: tuple[str, ...]
    ) -> AppendResult:
        """Append records in one request."""

    async def read(
        self, stream: str, offset: int, wait_ms: int, limit: int
    ) -> ReadResult:
        """Read records from an offset on.

        :param wait_ms: how long to wait when there are no records, in ms.
        :param limit: largest number of records to return.
        """
