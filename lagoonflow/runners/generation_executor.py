"""Runs the generations of an agent's calls on its runner."""

import contextlib
from collections.abc import AsyncIterator

from lagoonflow.calls import executor
from lagoonflow.calls.messages import AttemptId, AttemptRequest, Finish
from lagoonflow.runners import events
from lagoonflow.runners.task import RunnerTask


class GenerationExecutor:
    """Translates the events of a runner into those of a call."""

    def __init__(self, runner: RunnerTask) -> None:
        """Use a runner."""
        self._runner = runner

    async def run(
        self,
        request: AttemptRequest,
    ) -> AsyncIterator[executor.ExecutionEvent]:
        """Queue and run one attempt."""
        started = events.Started(0, 0)
        submitted = self._runner.submit(request)
        async with contextlib.aclosing(submitted) as attempt_events:
            async for event in attempt_events:
                if isinstance(event, events.Started):
                    started = event
                yield _to_execution_event(event, started)

    def withdraw(self, attempt: AttemptId) -> bool:
        """Take an attempt out of the queue."""
        return self._runner.revoke(attempt)

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt."""
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
