"""Chooses the agent that runs a call and sends it the attempt."""

import dataclasses

from lagoonflow.calls.actions import Locate, OpenStream
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.messages import AttemptId, AttemptRequest, Generation
from lagoonflow.calls.phases import Phase, Step
from lagoonflow.calls.sent_attempt import SentAttempt
from lagoonflow.calls.spec import Candidate
from lagoonflow.calls.terminator import CallTerminator
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions

# Codes of failed searches for agents that are worth another try.
_TRANSIENT_CODES = frozenset(
    (
        Result.BACKEND_UNREACHABLE,
        Result.TOO_MANY_CONNECTIONS,
        Result.STALE_VIEW,
        Result.NOT_HOME,
        Result.NOT_A_MEMBER,
    )
)


class Dispatcher:
    """Looks for agents, and sends or resumes attempts."""

    def __init__(
        self, context: CallContext, terminator: CallTerminator
    ) -> None:
        """Use the state that the parts of the call share."""
        self._context = context
        self._terminator = terminator

    def locate(self) -> None:
        """Look for agents that may run the call."""
        context = self._context
        context.sent_attempt = None
        context.take_step(Step.LOCATE)
        stale_agents = tuple(context.progress.stale_agents)
        context.add_action(Locate(context.left_ms, stale_agents))

    def on_located(self, candidates: tuple[Candidate, ...]) -> None:
        """Send the call to the best agent that has not refused or failed it."""
        context = self._context
        if context.phase is not Phase.LOCATING:
            return
        for candidate in candidates:
            if candidate.agent not in context.progress.stale_agents:
                self._send(candidate)
                return
        self.on_locate_failed(
            Refusal(
                Result.NO_RUNNER,
                'every agent found has refused or failed the call',
            )
        )

    def on_locate_failed(self, refusal: Refusal) -> None:
        """Look for agents again after a delay, or refuse the call for good."""
        context = self._context
        if context.phase is not Phase.LOCATING:
            return
        progress = context.progress
        is_transient = refusal.code in _TRANSIENT_CODES
        if is_transient or progress.stale_agents:
            # An agent that refused or failed the call may run it by now.
            progress.stale_agents.clear()
            self._pause()
        else:
            progress.refusal = refusal
            self._terminator.refuse(refusal)

    def locate_again(self, refusal: Refusal) -> None:
        """Look for another agent, unless all attempts are used up.

        After the first attempt this happens at once if its agent is left out
        from now on; otherwise after a delay.

        :param refusal: why the last attempt failed.
        """
        context = self._context
        context.progress.refusal = refusal
        if context.progress.attempts >= context.policy.max_attempts:
            self._terminator.refuse_unserved()
        elif context.progress.attempts > 1 or not context.progress.stale_agents:
            self._pause()
        else:
            self.locate()

    def resume(self, sent_attempt: SentAttempt) -> None:
        """Open a new stream for an attempt in flight."""
        self._open_stream(
            sent_attempt, sent_attempt.resume(self._context.left_ms)
        )

    def _pause(self) -> None:
        context = self._context
        context.sent_attempt = None
        context.take_step(Step.PAUSE)
        context.retry_at_ms = (
            context.now_ms + context.policy.locate_retry_delay_ms
        )

    def _send(self, candidate: Candidate) -> None:
        context = self._context
        if candidate.wait_ms > context.left_ms:
            self._terminator.refuse_unserved()
            return
        context.progress.attempts += 1
        agent = candidate.agent
        nonce = context.progress.nonces.get(agent, candidate.nonce)
        sent_attempt = SentAttempt(agent, self._build_request(nonce))
        context.sent_attempt = sent_attempt
        self._open_stream(sent_attempt, sent_attempt.request)

    def _open_stream(
        self, sent_attempt: SentAttempt, request: AttemptRequest
    ) -> None:
        context = self._context
        context.take_step(Step.OPEN)
        timeout_ms = context.policy.progress_timeout(context.left_ms)
        context.add_action(OpenStream(sent_attempt.agent, request, timeout_ms))

    def _build_request(self, agent_nonce: str) -> AttemptRequest:
        context = self._context
        spec = context.spec
        return AttemptRequest(
            attempt=AttemptId(spec.request_id, context.progress.attempts),
            router=spec.router,
            organisation=spec.organisation,
            key_id=spec.key_id,
            deadline_in_ms=context.left_ms,
            versions=Versions(),
            generation=self._remaining_generation(),
            service_call=spec.service_call,
            priority=spec.priority,
            cost_tokens=spec.cost_tokens,
            router_nonce=spec.router_nonce,
            agent_nonce=agent_nonce,
            sequence=next(context.sequences),
        )

    def _remaining_generation(self) -> Generation | None:
        generation = self._context.spec.generation
        delivered = self._context.delivered
        if generation is None or not delivered.tokens:
            return generation
        return dataclasses.replace(
            generation,
            from_token=generation.from_token + delivered.tokens,
            delivered_text=generation.delivered_text + delivered.text,
        )
