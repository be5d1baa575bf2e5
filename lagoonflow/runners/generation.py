"""Runs one generation and passes its events on."""

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

MAX_RESUMPTIONS = 2
Events = asyncio.Queue[AttemptEvent]


@dataclasses.dataclass(slots=True)
class GenerationRun:
    """Streams one answer; a broken stream is resumed at its next token."""

    engine: EnginePort
    start: StartGeneration
    events: Events
    clock: Clock
    next_token: int = 0
    first_token_ms: int = 0
    began_at_ms: int = 0
    usage: Usage = Usage()

    async def run(self) -> StreamEnd:
        """Stream the answer; returns how it ended."""
        self.began_at_ms = self.clock()
        self.next_token = self.start.request.generation.from_token
        first_token = self.next_token
        self.events.put_nowait(
            Started(self.start.queue_ms, self.start.load_ms),
        )
        failed = StreamFailed('', not_run=True)
        for _ in range(MAX_RESUMPTIONS + 1):
            failed = await self._stream()
            if failed is None:
                return self._end(is_whole=True)
            if failed.not_run:
                break
        not_run = failed.not_run and self.next_token == first_token
        code = Result.STALE_LOCATION if not_run else Result.BACKEND_FAILED
        refusal = Refusal(code, failed.reason, not_run=not_run)
        self.events.put_nowait(Refused(refusal))
        return self._end(is_whole=False)

    async def _stream(self) -> StreamFailed | None:
        stream = self.engine.generate(self.start, self.next_token)
        async with contextlib.aclosing(stream):
            async for event in stream:
                if isinstance(event, StreamFailed):
                    return event
                self._take(event)
                if isinstance(event, Finished):
                    return None
        return StreamFailed('The stream has no end.', not_run=False)

    def _take(self, event: Tokens | Finished) -> None:
        match event:
            case Finished(usage=usage):
                self.usage = usage
                self.events.put_nowait(event)
            case Tokens(index=index) if index == self.next_token:
                self.first_token_ms = self.first_token_ms or self._age_ms()
                self.next_token += event.tokens
                self.events.put_nowait(event)

    def _age_ms(self) -> int:
        return max(1, self.clock() - self.began_at_ms)

    def _end(self, *, is_whole: bool) -> StreamEnd:
        return StreamEnd(
            attempt=self.start.request.attempt,
            usage=self.usage,
            first_token_ms=self.first_token_ms,
            took_ms=self._age_ms(),
            is_whole=is_whole,
        )
