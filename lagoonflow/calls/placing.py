"""Finds an agent for a call and sends it there."""

import dataclasses

from lagoonflow.calls.actions import Locate, OpenStream
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.ending import Ending
from lagoonflow.calls.flight import Flight
from lagoonflow.calls.messages import AttemptId, AttemptRequest, Generation
from lagoonflow.calls.phases import Phase, Step
from lagoonflow.calls.spec import Candidate
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions

# Refusals of the question for a place that may go away by themselves.
_TRANSIENT = frozenset(
    (
        Result.BACKEND_UNREACHABLE,
        Result.TOO_MANY_CONNECTIONS,
        Result.STALE_VIEW,
        Result.NOT_HOME,
        Result.NOT_A_MEMBER,
    )
)


class Placing:
    """Asks for places, and sends or resumes attempts."""

    def __init__(self, context: CallContext, ending: Ending) -> None:
        """Share the state of the call."""
        self._context = context
        self._ending = ending

    def locate(self) -> None:
        """Ask for a place."""
        context = self._context
        context.flight = None
        context.take_step(Step.LOCATE)
        stale_agents = tuple(context.progress.stale_agents)
        context.act(Locate(context.left_ms, stale_agents))

    def on_located(self, candidates: tuple[Candidate, ...]) -> None:
        """Send the call to the best agent that is not known as unfit."""
        context = self._context
        if context.phase is not Phase.LOCATING:
            return
        for candidate in candidates:
            if candidate.agent not in context.progress.stale_agents:
                self._send(candidate)
                return
        self.on_failed(Refusal(Result.NO_RUNNER, 'no agent is left'))

    def on_failed(self, refusal: Refusal) -> None:
        """Ask again later, or refuse when that would not help."""
        context = self._context
        if context.phase is not Phase.LOCATING:
            return
        progress = context.progress
        is_transient = refusal.code in _TRANSIENT
        if is_transient or progress.stale_agents:
            # An agent that was unfit a moment ago may be fit again.
            progress.stale_agents.clear()
            self._pause()
        else:
            progress.refusal = refusal
            self._ending.refuse(refusal)

    def relocate(self, refusal: Refusal) -> None:
        """Look for another agent while the bounds allow it."""
        context = self._context
        context.progress.refusal = refusal
        if context.progress.attempts >= context.policy.max_attempts:
            self._ending.refuse_late()
        elif context.progress.attempts > 1 or not context.progress.stale_agents:
            self._pause()
        else:
            self.locate()

    def resume(self, flight: Flight) -> None:
        """Open a new stream for an attempt that was sent."""
        self._open(flight, flight.resume(self._context.left_ms))

    def _pause(self) -> None:
        context = self._context
        context.flight = None
        context.take_step(Step.PAUSE)
        context.wake_ms = context.now_ms + context.policy.relocate_delay_ms

    def _send(self, candidate: Candidate) -> None:
        context = self._context
        if candidate.wait_ms > context.left_ms:
            self._ending.refuse_late()
            return
        context.progress.attempts += 1
        agent = candidate.agent
        nonce = context.progress.nonces.get(agent, candidate.nonce)
        flight = Flight(agent, self._request(nonce))
        context.flight = flight
        self._open(flight, flight.request)

    def _open(self, flight: Flight, request: AttemptRequest) -> None:
        context = self._context
        context.take_step(Step.OPEN)
        timeout_ms = context.policy.progress_timeout(context.left_ms)
        context.act(OpenStream(flight.agent, request, timeout_ms))

    def _request(self, agent_nonce: str) -> AttemptRequest:
        context = self._context
        spec = context.spec
        return AttemptRequest(
            attempt=AttemptId(spec.request_id, context.progress.attempts),
            router=spec.router,
            organisation=spec.organisation,
            key_id=spec.key_id,
            deadline_in_ms=context.left_ms,
            versions=Versions(),
            generation=self._rest_of_generation(),
            service_call=spec.service_call,
            priority=spec.priority,
            cost_tokens=spec.cost_tokens,
            router_nonce=spec.router_nonce,
            agent_nonce=agent_nonce,
            sequence=next(context.sequences),
        )

    def _rest_of_generation(self) -> Generation | None:
        generation = self._context.spec.generation
        delivered = self._context.delivered
        if generation is None or not delivered.tokens:
            return generation
        return dataclasses.replace(
            generation,
            from_token=generation.from_token + delivered.tokens,
            delivered_text=generation.delivered_text + delivered.text,
        )
