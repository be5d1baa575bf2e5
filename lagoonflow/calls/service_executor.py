"""Calls of plain services, a bounded number of them at once."""

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
from lagoonflow.clock import MS_PER_S
from lagoonflow.results import Refusal, Result


class ServiceClient(Protocol):
    """Sends one call to the plain service beside the agent."""

    def call(
        self, call: ServiceCall
    ) -> AsyncIterator[ServiceAnswer | bytes | Refusal]:
        """Yield the head of the answer and then its body in parts.

        A refusal ends the answer; its ``not_run`` is true only when the
        request was never sent.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Bounds of the calls of one plain service.

    :param max_running: calls that run at once.
    :param max_waiting: calls that may wait for their turn.
    """

    max_running: int = 64
    max_waiting: int = 1024


class ServiceExecutor:
    """Runs calls in the order of their arrival."""

    def __init__(
        self,
        client: ServiceClient,
        limits: ServiceLimits | None = None,
        recheck: Callable[[AttemptRequest], Refusal | None] | None = None,
    ) -> None:
        """Start with no call.

        :param recheck: returns why a call that has waited may not run, such
            as a key that was withdrawn meanwhile.
        """
        self._client = client
        self._recheck = recheck
        self._limits = limits or ServiceLimits()
        self._slots = asyncio.Semaphore(self._limits.max_running)
        self._waiting: set[AttemptId] = set()

    async def run(
        self, request: AttemptRequest
    ) -> AsyncIterator[ExecutionEvent]:
        """Wait for a turn, and run one call."""
        refusal = await self._wait(request)
        if refusal is not None:
            yield Refused(refusal)
            return
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._slots.release)
            async for event in self._run(request):
                yield event

    def withdraw(self, attempt: AttemptId) -> bool:
        """Take a call out of the queue; false once it was started."""
        if attempt not in self._waiting:
            return False
        self._waiting.discard(attempt)
        return True

    def cancel(self, attempt: AttemptId) -> None:
        """Take a call out of the queue; a started one runs to its end."""
        self.withdraw(attempt)

    async def _wait(self, request: AttemptRequest) -> Refusal | None:
        if len(self._waiting) >= self._limits.max_waiting:
            return Refusal(Result.TOO_MANY_WAITING, 'the service is busy')
        self._waiting.add(request.attempt)
        try:
            async with asyncio.timeout(request.deadline_in_ms / MS_PER_S):
                await self._slots.acquire()
        except TimeoutError:
            return Refusal(Result.DEADLINE_UNREACHABLE, 'no turn in time')
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
