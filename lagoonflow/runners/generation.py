"""Runs one generation on the engine and forwards its events."""

import asyncio
import contextlib
import dataclasses

from lagoonflow.calls.messages import Usage
from lagoonflow.clock import Clock
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.events import (
    AttemptEvent,
    EnginePort,
    Finished,
    Refused,
    Started,
    StreamFailed,
    Tokens,
)
from lagoonflow.runners.messages import StartGeneration, StreamEnd

MAX_STREAM_RESUMPTIONS = 2
EventQueue = asyncio.Queue[AttemptEvent]


@dataclasses.dataclass(slots=True)
class GenerationRun:
    """Streams one answer; a broken stream is resumed at its next token.

    :param events: queue that the events of the attempt are put into.
    :param next_token: index of the next token to forward.
    :param first_token_ms: time to the first token; 0 before it.
    """

    engine: EnginePort
    start: StartGeneration
    events: EventQueue
    clock: Clock
    next_token: int = 0
    first_token_ms: int = 0
    started_at_ms: int = 0
    usage: Usage = Usage()

    async def run(self) -> StreamEnd:
        """Stream the answer and return how it ended.

        A stream that broke off is resumed at most
        ``MAX_STREAM_RESUMPTIONS`` times; one that the engine did not run is
        not tried again.
        """
        self.started_at_ms = self.clock()
        self.next_token = self.start.request.generation.from_token
        first_token = self.next_token
        self.events.put_nowait(
            Started(self.start.queue_ms, self.start.load_ms),
        )
        failure = StreamFailed('', not_run=True)
        for _ in range(MAX_STREAM_RESUMPTIONS + 1):
            failure = await self._stream()
            if failure is None:
                return self._build_end(is_complete=True)
            if failure.not_run:
                break
        not_run = failure.not_run and self.next_token == first_token
        code = Result.STALE_LOCATION if not_run else Result.BACKEND_FAILED
        refusal = Refusal(code, failure.reason, not_run=not_run)
        self.events.put_nowait(Refused(refusal))
        return self._build_end(is_complete=False)

    async def _stream(self) -> StreamFailed | None:
        stream = self.engine.generate(self.start, self.next_token)
        async with contextlib.aclosing(stream):
            async for event in stream:
                if isinstance(event, StreamFailed):
                    return event
                self._forward(event)
                if isinstance(event, Finished):
                    return None
        return StreamFailed(
            'The stream ended before the answer was complete.', not_run=False
        )

    def _forward(self, event: Tokens | Finished) -> None:
        """Forward an event; drop tokens that don't continue the answer."""
        match event:
            case Finished(usage=usage):
                self.usage = usage
                self.events.put_nowait(event)
            case Tokens(index=index) if index == self.next_token:
                self.first_token_ms = self.first_token_ms or self._elapsed_ms()
                self.next_token += event.tokens
                self.events.put_nowait(event)

    def _elapsed_ms(self) -> int:
        return max(1, self.clock() - self.started_at_ms)

    def _build_end(self, *, is_complete: bool) -> StreamEnd:
        return StreamEnd(
            attempt=self.start.request.attempt,
            usage=self.usage,
            first_token_ms=self.first_token_ms,
            took_ms=self._elapsed_ms(),
            is_complete=is_complete,
        )
