"""Runs calls of a plain service, a limited number at a time."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from lagoonflow.calls.executor import (
    AnswerBegun,
    BodyProduced,
    ExecutionEvent,
    Finished,
    Refused,
    Started,
)
from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    Finish,
    ServiceAnswer,
    ServiceCall,
)
from lagoonflow.results import Refusal, Result
from lagoonflow.time_limits import time_limit


class ServiceClient(Protocol):
    """Sends calls to the plain service beside the agent."""

    def call(
        self, call: ServiceCall
    ) -> AsyncIterator[ServiceAnswer | bytes | Refusal]:
        """Send a call; yield status and headers, then the body in parts.

        A refusal ends the answer; its ``not_run`` is true only if the request
        was never sent.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits of the calls of one plain service.

    :param max_running: most calls that run at once.
    :param max_waiting: most calls that wait in the queue.
    """

    max_running: int = 64
    max_waiting: int = 1024


class ServiceExecutor:
    """Queues calls and runs them in the order of their arrival."""

    def __init__(
        self,
        client: ServiceClient,
        limits: ServiceLimits | None = None,
        recheck: Callable[[AttemptRequest], Refusal | None] | None = None,
    ) -> None:
        """Start with no calls.

        :param recheck: returns why a call that has waited must not run after
            all, such as an API key withdrawn in the meantime, or ``None``.
        """
        self._client = client
        self._recheck = recheck
        self._limits = limits or ServiceLimits()
        self._slots = asyncio.Semaphore(self._limits.max_running)
        self._waiting: set[AttemptId] = set()

    async def run(
        self, request: AttemptRequest
    ) -> AsyncIterator[ExecutionEvent]:
        """Wait in the queue, then run one call and yield what it produces."""
        refusal = await self._wait(request)
        if refusal is not None:
            yield Refused(refusal)
            return
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._slots.release)
            async for event in self._run(request):
                yield event

    def withdraw(self, attempt: AttemptId) -> bool:
        """Remove a call from the queue; return false if it has started."""
        if attempt not in self._waiting:
            return False
        self._waiting.discard(attempt)
        return True

    def cancel(self, attempt: AttemptId) -> None:
        """Remove a call from the queue; a started call runs to its end."""
        self.withdraw(attempt)

    async def _wait(self, request: AttemptRequest) -> Refusal | None:
        if len(self._waiting) >= self._limits.max_waiting:
            return Refusal(
                Result.TOO_MANY_WAITING, 'too many calls wait for the service'
            )
        self._waiting.add(request.attempt)
        try:
            async with time_limit(request.deadline_in_ms, counts_stalls=True):
                await self._slots.acquire()
        except TimeoutError:
            return Refusal(
                Result.DEADLINE_UNREACHABLE,
                'the call could not start before its deadline',
            )
        finally:
            is_withdrawn = request.attempt not in self._waiting
            self._waiting.discard(request.attempt)
        refusal = self._recheck(request) if self._recheck else None
        if is_withdrawn:
            refusal = Refusal(Result.REVOKED, 'the attempt was revoked')
        if refusal is not None:
            self._slots.release()
        return refusal

    async def _run(
        self, request: AttemptRequest
    ) -> AsyncIterator[ExecutionEvent]:
        yield Started()
        replies = self._client.call(request.service_call)
        async with contextlib.aclosing(replies) as parts:
            async for part in parts:
                yield _event_of(part)
                if isinstance(part, Refusal):
                    return
        yield Finished(Finish('stop'))


def _event_of(part: ServiceAnswer | bytes | Refusal) -> ExecutionEvent:
    match part:
        case ServiceAnswer():
            return AnswerBegun(part)
        case Refusal():
            return Refused(part)
    return BodyProduced(part)
