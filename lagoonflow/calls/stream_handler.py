"""Handles the chunks of an answer and breaks of their stream."""

import dataclasses

from lagoonflow.calls.actions import (
    DeliverAnswer,
    DeliverBody,
    DeliverFinish,
    DeliverText,
)
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.dispatcher import Dispatcher
from lagoonflow.calls.messages import AttemptId, Chunk, Finish
from lagoonflow.calls.phases import Phase, Step
from lagoonflow.calls.sent_attempt import SentAttempt
from lagoonflow.calls.terminator import CallTerminator
from lagoonflow.results import Refusal, Result

# Refusals by an agent after which another agent may still run the call.
RETRY_ELSEWHERE_CODES = frozenset(
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


class StreamHandler:
    """Delivers the parts of the answer in order and resumes broken streams."""

    def __init__(
        self,
        context: CallContext,
        terminator: CallTerminator,
        dispatcher: Dispatcher,
    ) -> None:
        """Use the state that the parts of the call share."""
        self._context = context
        self._terminator = terminator
        self._dispatcher = dispatcher

    def on_chunk(self, chunk: Chunk) -> None:
        """Deliver the parts that are next in order.

        Chunks of other attempts than the current one are dropped.
        """
        context = self._context
        sent_attempt = context.sent_attempt
        if (
            sent_attempt is None
            or chunk.attempt != sent_attempt.request.attempt
        ):
            return
        if chunk.nonce:
            context.progress.nonces[sent_attempt.agent] = chunk.nonce
        sent_attempt.failed_resumes = 0
        sent_attempt.update_from(chunk)
        for part in sent_attempt.reorder_buffer.accept(chunk):
            self._handle_part(part, sent_attempt)

    def on_broken(self, attempt: AttemptId, refusal: Refusal) -> None:
        """Resume the broken stream of the attempt, or try another agent."""
        context = self._context
        sent_attempt = context.sent_attempt
        if sent_attempt is None or attempt != sent_attempt.request.attempt:
            return
        sent_attempt.is_open = False
        if refusal.not_run and not sent_attempt.resumes:
            self._on_refused(refusal, sent_attempt)
        elif context.phase is Phase.OPEN:
            self._handle_break(sent_attempt)

    def give_up_attempt(self, reason: str) -> None:
        """Give up the attempt; whether it has run can't be found out.

        The call goes to another agent if it may run twice.

        :param reason: why, for the refusal.
        """
        context = self._context
        self._terminator.cancel_attempt()
        if not context.can_repeat:
            self._terminator.refuse_unknown_outcome(reason)
            return
        context.progress.may_have_run = True
        refusal = Refusal(Result.BACKEND_UNREACHABLE, reason, not_run=False)
        self._dispatcher.locate_again(refusal)

    def _handle_part(self, chunk: Chunk, sent_attempt: SentAttempt) -> None:
        context = self._context
        if (
            context.phase is Phase.ENDED
            or context.sent_attempt is not sent_attempt
        ):
            return
        if chunk.refusal is not None:
            self._on_refused(chunk.refusal, sent_attempt)
            return
        if context.phase is Phase.REVOKING:
            context.take_step(Step.KEEP)
        context.progress.record_part(context.now_ms)
        self._deliver(chunk)

    def _deliver(self, chunk: Chunk) -> None:
        context = self._context
        if chunk.answer is not None:
            context.add_action(DeliverAnswer(chunk.answer))
        if chunk.text or chunk.tokens:
            context.delivered.add(chunk.text, chunk.tokens)
            context.add_action(DeliverText(chunk.text, chunk.tokens))
        if chunk.body:
            context.add_action(DeliverBody(chunk.body))
        if chunk.finish is not None:
            context.add_action(
                DeliverFinish(self._with_total_usage(chunk.finish))
            )
            context.take_step(Step.END)

    def _with_total_usage(self, finish: Finish) -> Finish:
        if self._context.spec.generation is None:
            return finish
        usage = dataclasses.replace(
            finish.usage, completion_tokens=self._context.delivered.tokens
        )
        return dataclasses.replace(finish, usage=usage)

    def _on_refused(self, refusal: Refusal, sent_attempt: SentAttempt) -> None:
        context = self._context
        if not refusal.not_run and not context.can_repeat:
            self._terminator.refuse_unknown_outcome(refusal.reason)
            return
        if not refusal.not_run:
            context.progress.may_have_run = True
        # After STALE_VIEW the same agent may accept the call: the next attempt
        # carries newer versions.
        if refusal.code is not Result.STALE_VIEW:
            context.progress.stale_agents[sent_attempt.agent] = None
        if refusal.code in RETRY_ELSEWHERE_CODES:
            self._dispatcher.locate_again(refusal)
        else:
            self._terminator.refuse(refusal)

    def _handle_break(self, sent_attempt: SentAttempt) -> None:
        context = self._context
        policy = context.policy
        context.take_step(Step.BREAK)
        sent_attempt.failed_resumes += 1
        is_unresponsive = (
            sent_attempt.failed_resumes > policy.max_failed_resumes
        )
        if sent_attempt.is_agent_gone:
            self.give_up_attempt('the agent is gone')
        elif sent_attempt.resumes >= policy.max_resumes:
            self.give_up_attempt('the stream to the agent broke too often')
        elif is_unresponsive and context.can_repeat:
            context.progress.stale_agents[sent_attempt.agent] = None
            self.give_up_attempt('the agent does not answer')
        elif sent_attempt.failed_resumes == 1:
            self._dispatcher.resume(sent_attempt)
        else:
            context.retry_at_ms = context.now_ms + policy.resume_delay_ms
