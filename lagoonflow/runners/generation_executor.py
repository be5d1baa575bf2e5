"""Executes calls that are generations on the agent's runner."""

import contextlib
from collections.abc import AsyncIterator

from lagoonflow.calls import executor
from lagoonflow.calls.messages import AttemptId, AttemptRequest, Finish
from lagoonflow.runners import events
from lagoonflow.runners.task import RunnerTask


class GenerationExecutor:
    """Runs attempts on a runner and translates their events."""

    def __init__(self, runner: RunnerTask) -> None:
        """Create an executor that submits attempts to a runner."""
        self._runner = runner

    async def run(
        self,
        request: AttemptRequest,
    ) -> AsyncIterator[executor.ExecutionEvent]:
        """Queue an attempt and stream its events."""
        started = events.Started(0, 0)
        submitted = self._runner.submit(request)
        async with contextlib.aclosing(submitted) as attempt_events:
            async for event in attempt_events:
                if isinstance(event, events.Started):
                    started = event
                yield _to_execution_event(event, started)

    def withdraw(self, attempt: AttemptId) -> bool:
        """Remove an attempt from the queue; false when it isn't queued."""
        return self._runner.revoke(attempt)

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt, whether it is queued or running."""
        self._runner.cancel(attempt)


def _to_execution_event(
    event: events.AttemptEvent,
    started: events.Started,
) -> executor.ExecutionEvent:
    match event:
        case events.Started():
            return executor.Started()
        case events.Tokens(text=text, tokens=tokens):
            return executor.TextProduced(text, tokens)
        case events.Finished(reason=reason, usage=usage):
            finish = Finish(reason, usage, started.queue_ms, started.load_ms)
            return executor.Finished(finish)
        case events.Refused(refusal=refusal):
            return executor.Refused(refusal)
