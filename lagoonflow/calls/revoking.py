"""Finds out whether an attempt has run, and keeps it from running."""

from lagoonflow.calls.actions import Revoke
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.ending import Ending
from lagoonflow.calls.events import RevokeAnswered, RevokeFailed
from lagoonflow.calls.flight import Flight
from lagoonflow.calls.messages import AttemptState
from lagoonflow.calls.phases import Phase, Step
from lagoonflow.calls.placing import Placing
from lagoonflow.calls.streaming import Streaming


class Revoking:
    """Revokes the attempt before the deadline of a call that waits."""

    def __init__(
        self,
        context: CallContext,
        ending: Ending,
        placing: Placing,
        streaming: Streaming,
    ) -> None:
        """Share the state of the call."""
        self._context = context
        self._ending = ending
        self._placing = placing
        self._streaming = streaming

    def revoke(self, flight: Flight) -> None:
        """Ask the agent to revoke the attempt."""
        context = self._context
        if context.phase is not Phase.REVOKING:
            context.take_step(Step.REVOKE)
        context.wake_ms = context.now_ms + context.policy.revoke_delay_ms
        context.act(Revoke(flight.agent, flight.revocation()))

    def on_event(self, event: RevokeAnswered | RevokeFailed) -> None:
        """Take the answer of the agent; a lost one is asked for again."""
        context = self._context
        flight = context.flight
        if flight is None or event.attempt != flight.request.attempt:
            return
        if context.phase is not Phase.REVOKING:
            return
        match event:
            case RevokeAnswered(state=AttemptState.REVOKED):
                self._ending.refuse_late()
            case RevokeAnswered(state=AttemptState.UNKNOWN):
                self._streaming.lose('the agent that had the call is gone')
            case RevokeAnswered(state=state):
                flight.state = state
                self._keep(flight)

    def on_agent_gone(self, agent: str, nonce: str) -> None:
        """Give up an attempt whose stream is broken and can't come back."""
        flight = self._context.flight
        if flight is None or flight.agent != agent:
            return
        if flight.request.agent_nonce not in {'', nonce}:
            return
        flight.is_agent_gone = True
        if not flight.is_open:
            self._streaming.lose('the agent is gone')

    def _keep(self, flight: Flight) -> None:
        if not flight.has_run:
            return
        if flight.is_open:
            self._context.take_step(Step.KEEP)
        else:
            self._placing.resume(flight)
