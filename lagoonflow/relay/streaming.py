"""Relays an event stream, and remembers where it can be resumed."""

import asyncio
import dataclasses
from collections.abc import Callable

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.http1.client import ClientConnection
from lagoonflow.http1.messages import (
    AnswerHead,
    ExchangeError,
    Headers,
    Stage,
)
from lagoonflow.http1.server import Reply
from lagoonflow.relay.events import EventSplitter

# A resumable stream that has begun is continued elsewhere after this silence,
# in ms: two and a half times the pause that is still on time.
MAX_STREAM_GAP_MS = 1500


@dataclasses.dataclass(slots=True)
class Progress:
    """How much of the answer the caller has.

    :param events: present when the stream may be resumed.
    :ivar longest_gap_ms: longest pause between two parts from the server.
    """

    reply: Reply
    events: EventSplitter | None = None
    longest_gap_ms: float = 0

    @property
    def resume_after(self) -> str:
        """Id of the last event that the caller has."""
        if self.events is None or not self.reply.has_started:
            return ''
        return self.events.last_id


class AnswerStream:
    """One event stream of a backend server.

    :param note_part: called with each part that comes from the server.
    """

    def __init__(
        self,
        connection: ClientConnection,
        progress: Progress,
        head: AnswerHead,
        headers: Headers,
        note_part: Callable[[], None],
    ) -> None:
        """Relay from a connection to a caller."""
        self._connection = connection
        self._note_part = note_part
        self._progress = progress
        self._head = head
        self._headers = headers

    async def relay(self, first_part_timeout_ms: float) -> None:
        """Relay until the marked end of the stream.

        :param first_part_ms: time until the first part of a stream that can
            be resumed.
        :raises ExchangeError: when the stream breaks off or falls silent.
        """
        events = self._progress.events
        if events is not None:
            events.discard_incomplete()
        progress = self._progress
        part = await self._next_part(first_part_timeout_ms)
        while part is not None:
            self._note_part()
            await self._forward(part if events is None else events.feed(part))
            began_ms = boottime_ms()
            part = await self._next_part(MAX_STREAM_GAP_MS)
            gap_ms = boottime_ms() - began_ms
            progress.longest_gap_ms = max(progress.longest_gap_ms, gap_ms)
        if events is not None:
            await self._forward(events.incomplete)
        await self._end()

    async def _end(self) -> None:
        await self._start()
        await self._progress.reply.end()

    async def _forward(self, part: bytes) -> None:
        if part:
            await self._start()
            await self._progress.reply.part(part)

    async def _start(self) -> None:
        reply = self._progress.reply
        if not reply.has_started:
            head = self._head
            await reply.start(head.status, head.reason, self._headers)

    async def _next_part(self, silence_ms: float) -> bytes | None:
        if self._progress.events is None:
            return await self._connection.read_part()
        try:
            async with asyncio.timeout(silence_ms / MS_PER_S):
                return await self._connection.read_part()
        except TimeoutError as error:
            reason = 'the stream has fallen silent'
            raise ExchangeError(Stage.ANSWERING, reason) from error
