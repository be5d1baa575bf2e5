"""A generation at an engine whose silent streams are resumed."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

from lagoonflow.calls.messages import Finish, Generation
from lagoonflow.clock import MS_PER_S
from lagoonflow.results import Refusal, Result


@dataclasses.dataclass(frozen=True, slots=True)
class EngineText:
    """Text from an engine.

    :param index: number of its first token, from the start of the answer.
    """

    index: int
    text: str
    tokens: int


EngineEvents = AsyncGenerator[EngineText | Finish | Refusal, None]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStreamPolicy:
    """Bounds of a stream from an engine.

    :param first_token_timeout_ms: longest time to the first token; the
        engine may queue and prefill meanwhile.
    :param progress_timeout_ms: longest time between tokens.
    :param max_failures: failures in a row after which it is given up.
    :param retry_delay_ms: time before a new stream is opened.
    """

    first_token_timeout_ms: int = 15_000
    progress_timeout_ms: int = 3000
    max_failures: int = 3
    retry_delay_ms: int = 100


class EngineStream:
    """Yields each token once, over as many connections as it takes.

    :param open_stream: opens a stream from ``from_token`` on; it may raise
        ``OSError`` or end early. A refusal ends the generation.
    :param stop: cancels at the engine what an abandoned stream has left.
    """

    def __init__(
        self,
        open_stream: Callable[[Generation], EngineEvents],
        stop: Callable[[], Awaitable[object]],
        policy: EngineStreamPolicy | None = None,
    ) -> None:
        """Prepare the stream."""
        self._open_stream = open_stream
        self._stop = stop
        self._policy = policy or EngineStreamPolicy()
        self._next_token = 0
        self._failures = 0
        self._texts: list[str] = []

    async def run(
        self, generation: Generation
    ) -> AsyncIterator[EngineText | Finish | Refusal]:
        """Yield text in token order, and then a finish or a refusal."""
        self._next_token = generation.from_token
        while self._failures < self._policy.max_failures:
            rest = self._rest_of(generation)
            async for event in self._read(self._open_stream(rest)):
                yield event
                if not isinstance(event, EngineText):
                    return
            self._failures += 1
            await self._abandon()
        yield Refusal(
            Result.BACKEND_FAILED, 'the engine is silent', not_run=False
        )

    async def _read(
        self, stream: EngineEvents
    ) -> AsyncIterator[EngineText | Finish | Refusal]:
        timeout_ms = self._policy.first_token_timeout_ms
        async with _closing(stream) as engine_events:
            while True:
                async with asyncio.timeout(timeout_ms / MS_PER_S):
                    event = await anext(engine_events, None)
                timeout_ms = self._policy.progress_timeout_ms
                if event is None:
                    return
                if self._is_next(event):
                    yield event

    def _is_next(self, event: EngineText | Finish | Refusal) -> bool:
        if not isinstance(event, EngineText):
            return True
        if event.index > self._next_token:
            raise ConnectionError('tokens are missing')
        if event.index < self._next_token:
            return False
        self._failures = 0
        self._next_token += event.tokens
        self._texts.append(event.text)
        return True

    async def _abandon(self) -> None:
        with contextlib.suppress(OSError):
            async with asyncio.timeout(
                self._policy.progress_timeout_ms / MS_PER_S
            ):
                await self._stop()
        await asyncio.sleep(self._policy.retry_delay_ms / MS_PER_S)

    def _rest_of(self, generation: Generation) -> Generation:
        return dataclasses.replace(
            generation,
            from_token=self._next_token,
            delivered_text=generation.delivered_text + ''.join(self._texts),
        )


@contextlib.asynccontextmanager
async def _closing(stream: EngineEvents) -> AsyncIterator[EngineEvents]:
    with contextlib.suppress(OSError):
        async with contextlib.aclosing(stream):
            yield stream
