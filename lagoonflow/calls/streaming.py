"""Takes the chunks of an answer, and what breaks their stream."""

import dataclasses

from lagoonflow.calls.actions import (
    DeliverAnswer,
    DeliverBody,
    DeliverFinish,
    DeliverText,
)
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.ending import Ending
from lagoonflow.calls.flight import Flight
from lagoonflow.calls.messages import AttemptId, Chunk, Finish
from lagoonflow.calls.phases import Phase, Step
from lagoonflow.calls.placing import Placing
from lagoonflow.results import Refusal, Result

# Refusals after which another agent may serve the call.
ELSEWHERE = frozenset(
    (
        Result.TOO_MANY_WAITING,
        Result.TOO_MANY_CONNECTIONS,
        Result.DEADLINE_UNREACHABLE,
        Result.NO_RUNNER,
        Result.LOAD_FAILED,
        Result.SHUTTING_DOWN,
        Result.BACKEND_UNREACHABLE,
        Result.BACKEND_FAILED,
        Result.OUTCOME_UNKNOWN,
        Result.STREAM_BROKEN,
        Result.INTERNAL,
        Result.STALE_VIEW,
        Result.STALE_LOCATION,
        Result.NOT_A_MEMBER,
        Result.RESERVATION_LOST,
        Result.REVOKED,
    )
)


class Streaming:
    """Delivers parts of the answer in order, and resumes broken streams."""

    def __init__(
        self, context: CallContext, ending: Ending, placing: Placing
    ) -> None:
        """Share the state of the call."""
        self._context = context
        self._ending = ending
        self._placing = placing

    def on_chunk(self, chunk: Chunk) -> None:
        """Deliver what is next in order; drop what is not of the attempt."""
        context = self._context
        flight = context.flight
        if flight is None or chunk.attempt != flight.request.attempt:
            return
        if chunk.nonce:
            context.progress.nonces[flight.agent] = chunk.nonce
        flight.failed_resumes = 0
        flight.learn(chunk)
        for part in flight.assembly.accept(chunk):
            self._take_part(part, flight)

    def on_broken(self, attempt: AttemptId, refusal: Refusal) -> None:
        """Resume the stream of the attempt, or go on without it."""
        context = self._context
        flight = context.flight
        if flight is None or attempt != flight.request.attempt:
            return
        flight.is_open = False
        if refusal.not_run and not flight.resumes:
            self._on_refused(refusal, flight)
        elif context.phase is Phase.OPEN:
            self._break(flight)

    def lose(self, reason: str) -> None:
        """Give up an attempt whose fate can't be found out."""
        context = self._context
        self._ending.cancel()
        if not context.can_repeat:
            self._ending.refuse_unknown(reason)
            return
        context.progress.may_have_run = True
        refusal = Refusal(Result.BACKEND_UNREACHABLE, reason, not_run=False)
        self._placing.relocate(refusal)

    def _take_part(self, chunk: Chunk, flight: Flight) -> None:
        context = self._context
        if context.phase is Phase.ENDED or context.flight is not flight:
            return
        if chunk.refusal is not None:
            self._on_refused(chunk.refusal, flight)
            return
        if context.phase is Phase.REVOKING:
            context.take_step(Step.KEEP)
        context.progress.begin(context.now_ms)
        self._deliver(chunk)

    def _deliver(self, chunk: Chunk) -> None:
        context = self._context
        if chunk.answer is not None:
            context.act(DeliverAnswer(chunk.answer))
        if chunk.text or chunk.tokens:
            context.delivered.add(chunk.text, chunk.tokens)
            context.act(DeliverText(chunk.text, chunk.tokens))
        if chunk.body:
            context.act(DeliverBody(chunk.body))
        if chunk.finish is not None:
            context.act(DeliverFinish(self._whole(chunk.finish)))
            context.take_step(Step.END)

    def _whole(self, finish: Finish) -> Finish:
        if self._context.spec.generation is None:
            return finish
        usage = dataclasses.replace(
            finish.usage, completion_tokens=self._context.delivered.tokens
        )
        return dataclasses.replace(finish, usage=usage)

    def _on_refused(self, refusal: Refusal, flight: Flight) -> None:
        context = self._context
        if not refusal.not_run and not context.can_repeat:
            self._ending.refuse_unknown(refusal.reason)
            return
        if not refusal.not_run:
            context.progress.may_have_run = True
        # After STALE_VIEW the agent is asked again with newer versions.
        if refusal.code is not Result.STALE_VIEW:
            context.progress.stale_agents[flight.agent] = None
        if refusal.code in ELSEWHERE:
            self._placing.relocate(refusal)
        else:
            self._ending.refuse(refusal)

    def _break(self, flight: Flight) -> None:
        context = self._context
        policy = context.policy
        context.take_step(Step.BREAK)
        flight.failed_resumes += 1
        is_dead = flight.failed_resumes > policy.max_failed_resumes
        if flight.is_agent_gone:
            self.lose('the agent is gone')
        elif flight.resumes >= policy.max_resumes:
            self.lose('the stream keeps breaking')
        elif is_dead and context.can_repeat:
            context.progress.stale_agents[flight.agent] = None
            self.lose('the agent does not answer')
        elif flight.failed_resumes == 1:
            self._placing.resume(flight)
        else:
            context.wake_ms = context.now_ms + policy.resume_delay_ms
