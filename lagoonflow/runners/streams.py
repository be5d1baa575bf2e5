"""Event streams of a runner's attempts, and its running generations."""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable

from lagoonflow.calls.messages import AttemptId
from lagoonflow.clock import Clock
from lagoonflow.placement.background_tasks import BackgroundTasks
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.events import (
    AttemptEvent,
    EnginePort,
    Finished,
    Refused,
)
from lagoonflow.runners.generation import EventQueue, GenerationRun
from lagoonflow.runners.messages import StartGeneration, StreamEnd

OnEnd = Callable[[StreamEnd], None]


class AttemptStreams:
    """Connects the callers of attempts with the engine's generations.

    :param on_end: called when a generation has ended.
    """

    def __init__(
        self,
        engine: EnginePort,
        clock: Clock,
        background: BackgroundTasks,
        on_end: OnEnd,
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._background = background
        self._on_end = on_end
        self._events: dict[AttemptId, EventQueue] = {}
        self._running: dict[AttemptId, asyncio.Task[StreamEnd]] = {}

    def open(self, attempt: AttemptId) -> AsyncIterator[AttemptEvent]:
        """Create the event queue of an attempt and iterate over it."""
        events: EventQueue = asyncio.Queue()
        self._events[attempt] = events
        return _read_until_end(events)

    def start(self, start: StartGeneration) -> None:
        """Start a generation on the engine."""
        attempt = start.request.attempt
        events = self._events.pop(attempt, None) or asyncio.Queue()
        run = GenerationRun(self._engine, start, events, self._clock)
        running = self._background.spawn(run.run())
        self._running[attempt] = running
        running.add_done_callback(
            functools.partial(self._on_done, attempt, events),
        )

    def stop(self, attempt: AttemptId) -> None:
        """Cancel a generation."""
        running = self._running.get(attempt)
        if running is not None:
            running.cancel()
            self._background.spawn(self._engine.cancel(attempt))

    def refuse(self, attempt: AttemptId, refusal: Refusal) -> None:
        """End an attempt that has not started."""
        events = self._events.pop(attempt, None)
        if events is not None:
            events.put_nowait(Refused(refusal))

    async def wait_until_idle(self) -> None:
        """Wait for all generations to end."""
        running = tuple(self._running.values())
        await asyncio.gather(*running, return_exceptions=True)

    def _on_done(
        self,
        attempt: AttemptId,
        events: EventQueue,
        running: asyncio.Task[StreamEnd],
    ) -> None:
        """Report the end, also of a generation that was cancelled or failed."""
        self._running.pop(attempt, None)
        if running.cancelled():
            refusal = Refusal(Result.CALLER_GONE, 'Cancelled.', not_run=False)
            events.put_nowait(Refused(refusal))
            self._on_end(StreamEnd(attempt, is_complete=False))
        elif running.exception() is None:
            self._on_end(running.result())
        else:
            refusal = Refusal(
                Result.INTERNAL, 'The generation failed.', not_run=False
            )
            events.put_nowait(Refused(refusal))
            self._on_end(StreamEnd(attempt, is_complete=False))


async def _read_until_end(events: EventQueue) -> AsyncIterator[AttemptEvent]:
    is_ended = False
    while not is_ended:
        event = await events.get()
        is_ended = isinstance(event, Finished | Refused)
        yield event
