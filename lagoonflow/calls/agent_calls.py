"""Handles the requests of routers at an agent: run, revoke and cancel."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable, Mapping

from lagoonflow.calls.attempts import Admitted, AttemptTable, Rejected
from lagoonflow.calls.buffer import BufferLimits
from lagoonflow.calls.executions import Execution, Executions
from lagoonflow.calls.executor import Executor
from lagoonflow.calls.messages import (
    AttemptRequest,
    AttemptState,
    CancelRequest,
    Chunk,
    RevokeReply,
    RevokeRequest,
)
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.clock import MS_PER_S
from lagoonflow.placement.messages import Ack
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions

SWEEP_INTERVAL_MS = 1000
DRAIN_INTERVAL_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class AgentPorts:
    """Functions of the agent that its calls depend on.

    :param admit: returns why a new attempt is refused, or ``None``.
    :param versions: returns how far the agent has read the streams of the log.
    :param clock_ms: returns monotonic time in ms.
    :param generations: runs generations; ``None`` at an agent without engine.
    :param services: run the calls of plain services, by service name.
    """

    admit: Callable[[AttemptRequest], Refusal | None]
    versions: Callable[[], Versions]
    clock_ms: Callable[[], int]
    generations: Executor | None = None
    services: Mapping[str, Executor] = dataclasses.field(default_factory=dict)

    def executor_for(self, request: AttemptRequest) -> Executor | None:
        """Return the executor for an attempt, or ``None`` if there is none."""
        if request.service_call is not None:
            return self.services.get(request.service_call.service)
        return self.generations


class AgentCalls:
    """Runs attempts and streams their answers to routers.

    :ivar is_draining: whether new attempts are refused.
    """

    def __init__(
        self,
        nonce: str,
        ports: AgentPorts,
        policy: CallPolicy | None = None,
        limits: BufferLimits | None = None,
    ) -> None:
        """Start with no attempts.

        :param nonce: identifies this agent process.
        """
        self.is_draining = False
        self._ports = ports
        self._policy = policy or CallPolicy()
        self._table = AttemptTable(nonce)
        self._executions = Executions(self._table, ports.clock_ms, limits)

    @property
    def open_count(self) -> int:
        """Number of attempts that are queued or running."""
        return self._table.open_count

    async def run(self, request: AttemptRequest) -> AsyncIterator[Chunk]:
        """Start an attempt or resume its stream; yield its chunks."""
        registration = self._table.register(request, self._ports.clock_ms())
        refusal = None
        match registration:
            case Rejected():
                refusal = registration.refusal
            case Admitted():
                refusal = self._enqueue(request)
        execution = self._executions.find(request.attempt)
        if execution is None:
            yield self._refusal_chunk(request, refusal or _answer_dropped())
            return
        async for chunk in self._stream_answer(execution, request.next_index):
            yield chunk

    async def revoke(self, request: RevokeRequest) -> RevokeReply:
        """Revoke an attempt that has not started, and return its state."""
        state = self._table.revoke(request, self._ports.clock_ms())
        if state is AttemptState.QUEUED:
            revoked = Refusal(Result.REVOKED, 'the attempt was revoked')
            self._executions.withdraw(request.attempt, revoked)
            state = self._table.state(request.attempt)
        return RevokeReply(
            request.attempt, state, self._ports.versions(), self._table.nonce
        )

    async def cancel(self, request: CancelRequest) -> Ack:
        """Stop an attempt whose answer is not needed any more."""
        self._executions.cancel(request.attempt)
        return Ack(self._ports.versions())

    async def drain(self) -> None:
        """Refuse new attempts, return queued ones and finish running ones.

        Queued attempts are refused as not run, so that their routers send them
        elsewhere. It returns when the running ones have ended and their
        answers were read, or were dropped because nobody reads them.
        """
        self.is_draining = True
        self._executions.withdraw_all(_shutting_down())
        while self._executions.is_busy:
            await asyncio.sleep(DRAIN_INTERVAL_MS / MS_PER_S)
            self._executions.sweep(self._policy.orphan_timeout_ms)

    async def sweep_forever(self) -> None:
        """Stop attempts that nobody reads and drop old answers, for ever."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
            self._executions.sweep(self._policy.orphan_timeout_ms)

    def _enqueue(self, request: AttemptRequest) -> Refusal | None:
        refusal = self._check_admission(request)
        executor = self._ports.executor_for(request)
        if refusal is None and executor is None:
            refusal = Refusal(
                Result.STALE_LOCATION,
                'the agent has no such service, or no engine',
            )
        if refusal is not None:
            # Leaves a tombstone, so that a late copy of the request is refused
            # even if the attempt could be admitted by then.
            self._table.withdraw(request.attempt, self._ports.clock_ms())
            return refusal
        self._executions.enqueue(request, executor)
        return None

    def _check_admission(self, request: AttemptRequest) -> Refusal | None:
        if self.is_draining:
            return _shutting_down()
        return self._ports.admit(request)

    async def _stream_answer(
        self, execution: Execution, index: int
    ) -> AsyncIterator[Chunk]:
        execution.readers += 1
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._remove_reader, execution)
            yield self._keep_alive_chunk(execution, index)
            async for chunk in self._read_chunks(execution, index):
                yield chunk

    def _remove_reader(self, execution: Execution) -> None:
        execution.readers -= 1
        execution.unread_since_ms = self._ports.clock_ms()

    async def _read_chunks(
        self, execution: Execution, index: int
    ) -> AsyncIterator[Chunk]:
        keep_alive_ms = self._policy.keep_alive_ms
        while True:
            chunk = execution.read(index)
            if chunk is not None:
                index += 1
                yield chunk
                if chunk.is_last:
                    return
                await execution.wait_between_chunks(
                    self._policy.chunk_interval_ms
                )
            elif not await execution.wait_for_change(keep_alive_ms):
                yield self._keep_alive_chunk(execution, index)

    def _keep_alive_chunk(self, execution: Execution, index: int) -> Chunk:
        attempt = execution.request.attempt
        return Chunk(
            attempt,
            index,
            self._table.state(attempt),
            versions=self._ports.versions(),
            nonce=self._table.nonce,
        )

    def _refusal_chunk(
        self, request: AttemptRequest, refusal: Refusal
    ) -> Chunk:
        return Chunk(
            request.attempt,
            request.next_index,
            self._table.state(request.attempt),
            refusal=refusal,
            versions=self._ports.versions(),
            nonce=self._table.nonce,
        )


def _shutting_down() -> Refusal:
    return Refusal(Result.SHUTTING_DOWN, 'the agent is shutting down')


def _answer_dropped() -> Refusal:
    return Refusal(
        Result.STREAM_BROKEN, 'the answer is no longer kept', not_run=False
    )
