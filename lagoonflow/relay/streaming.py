"""Relay of an event stream, and the point from which it can be resumed."""

import asyncio
import dataclasses
from collections.abc import Callable

from lagoonflow.clock import boottime_ms
from lagoonflow.http1.channel import pause_reading
from lagoonflow.http1.client import ClientConnection
from lagoonflow.http1.messages import (
    LENGTH_HEADER,
    BodyFraming,
    ExchangeError,
    ExchangeStage,
    Headers,
    ResponseHead,
    remove_headers,
)
from lagoonflow.http1.response_writer import ResponseWriter
from lagoonflow.relay.events import EventBoundary, EventSplitter
from lagoonflow.relay.replacement import ReplacementSearch
from lagoonflow.time_limits import time_limit

# When nothing of a resumable stream arrives for this long, another server that
# continues it is looked for: two and a half times the longest pause between
# parts that still counts as on time.
MAX_STREAM_GAP_MS = 1500
# Parts are split into events in pieces of this size.
PIECE_BYTES = 2048


@dataclasses.dataclass(slots=True)
class Progress:
    """How much of the answer the caller has received, over all sends.

    :param reply: answer to the caller.
    :param events: splitter of the stream's events; ``None`` when the stream
        can't be resumed.
    :ivar longest_gap_ms: longest pause in ms between two parts from a server.
    :ivar framing: how the latest answer of a server told where it ends.
    :ivar software_version: version of the server that sent the first event
        that the caller received; ``None`` before it.
    :ivar is_inside_event: whether the bytes of the latest stream so far end
        inside an event.
    """

    reply: ResponseWriter
    events: EventSplitter | None = None
    longest_gap_ms: float = 0
    framing: BodyFraming | None = None
    is_inside_event: bool = False
    software_version: str | None = None

    @classmethod
    def begin(
        cls, reply: ResponseWriter, resume_after: str, *, is_resumable: bool
    ) -> 'Progress':
        """Return the progress of an answer of which nothing was sent.

        :param resume_after: id of the last event that the caller has.
        """
        return cls(reply, EventSplitter(resume_after) if is_resumable else None)

    @property
    def resume_after(self) -> str:
        """Id of the last event that was sent to the caller; empty for none.

        Events that still wait for a slow caller count: it gets them before
        those of the server that continues the stream.
        """
        if self.events is None or not self.reply.has_started:
            return ''
        return self.events.last_id


class AnswerStream:
    """Relays one event stream of a backend server to the caller.

    :param connection: connection on which the server answers.
    :param head: head of the server's answer.
    :param headers: headers that the caller receives.
    :param note_part: called for each part that arrives from the server.
    :param note_start: called before the first part is forwarded.
    :param search: looks for another server when nothing arrives.
    """

    def __init__(
        self,
        connection: ClientConnection,
        progress: Progress,
        head: ResponseHead,
        headers: Headers,
        note_part: Callable[[], None],
        note_start: Callable[[], None],
        search: ReplacementSearch,
    ) -> None:
        """Prepare the relay; nothing is read yet."""
        self._search = search
        self._connection = connection
        self._note_part = note_part
        self._note_start = note_start
        self._progress = progress
        self._head = head
        # The stream may break off, or another server may continue it.
        self._headers = tuple(remove_headers(headers, LENGTH_HEADER))

    async def relay(self, first_part_timeout_ms: float) -> None:
        """Relay parts until the stream ends between two events.

        :param first_part_timeout_ms: time in ms for which the first part is
            waited for before another server is looked for; applies only to a
            stream that can be resumed.
        :raises ExchangeError: when the stream breaks off, or when the server
            of one that can be resumed is silent and another one is reserved.
        """
        events = self._progress.events
        if events is not None:
            events.discard_incomplete()
        progress = self._progress
        boundary = EventBoundary()
        part = await self._next_part(first_part_timeout_ms)
        while part is not None:
            self._note_part()
            boundary.feed(part)
            progress.is_inside_event = boundary.is_inside_event
            await self._relay_part(part)
            began_ms = boottime_ms()
            part = await self._next_part(MAX_STREAM_GAP_MS)
            gap_ms = boottime_ms() - began_ms
            progress.longest_gap_ms = max(progress.longest_gap_ms, gap_ms)
        if boundary.is_inside_event:
            raise ExchangeError(
                ExchangeStage.ANSWERING, 'the stream ended inside an event'
            )
        if events is not None:
            await self._forward(events.incomplete)
        await self._end()

    async def _end(self) -> None:
        await self._start()
        reply = self._progress.reply
        is_end_known = self._head.framing is not BodyFraming.UNTIL_CLOSE
        if not is_end_known and not reply.ends_with_connection:
            raise ExchangeError(
                ExchangeStage.ANSWERING, 'the end of the stream is not marked'
            )
        await reply.end()

    async def _forward_events(self, part: bytes) -> None:
        events = self._progress.events
        if events is None:
            await self._forward(part)
            return
        for start in range(0, len(part), PIECE_BYTES):
            if start:
                # Many small events take long to split; others run between.
                await asyncio.sleep(0)
            await self._forward(events.feed(part[start : start + PIECE_BYTES]))
            if events.is_too_long:
                raise ExchangeError(
                    ExchangeStage.ANSWERING,
                    'an event of the stream is too long',
                )

    async def _relay_part(self, part: bytes) -> None:
        """Forward a part; wait while too much waits for the caller."""
        await self._forward_events(part)
        events, reply = self._progress.events, self._progress.reply
        incomplete_bytes = 0 if events is None else events.incomplete_bytes
        if not reply.has_room(incomplete_bytes):
            pause_reading(self._connection.channel)
            await reply.wait_for_room(incomplete_bytes)

    async def _forward(self, part: bytes) -> None:
        if part:
            await self._start()
            await self._progress.reply.send_part(part)

    async def _start(self) -> None:
        reply = self._progress.reply
        if not reply.has_started:
            self._note_start()
            head = self._head
            await reply.start(
                head.status, head.reason, self._headers, head.framing
            )

    async def _next_part(self, timeout_ms: float) -> bytes | None:
        if self._progress.events is None:
            return await self._connection.read_part()
        began_ms = boottime_ms()
        try:
            async with time_limit(timeout_ms, before_end=self._search.look):
                return await self._connection.read_part()
        except TimeoutError as error:
            reason = 'no part of the stream came in time'
            raise ExchangeError(ExchangeStage.ANSWERING, reason) from error
        finally:
            self._search.end(began_ms)
