"""Revokes an attempt, or finds out that it has started."""

from lagoonflow.calls.actions import Revoke
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.dispatcher import Dispatcher
from lagoonflow.calls.events import RevokeAnswered, RevokeFailed
from lagoonflow.calls.messages import AttemptState
from lagoonflow.calls.phases import Phase, Step
from lagoonflow.calls.sent_attempt import SentAttempt
from lagoonflow.calls.stream_handler import StreamHandler
from lagoonflow.calls.terminator import CallTerminator


class Revoker:
    """Revokes the attempt of a call that is still queued near its deadline.

    Once the agent has confirmed it, the call can be answered as not run.
    """

    def __init__(
        self,
        context: CallContext,
        terminator: CallTerminator,
        dispatcher: Dispatcher,
        stream_handler: StreamHandler,
    ) -> None:
        """Use the state that the parts of the call share."""
        self._context = context
        self._terminator = terminator
        self._dispatcher = dispatcher
        self._stream_handler = stream_handler

    def revoke(self, sent_attempt: SentAttempt) -> None:
        """Ask the agent to revoke the attempt."""
        context = self._context
        if context.phase is not Phase.REVOKING:
            context.take_step(Step.REVOKE)
        context.retry_at_ms = context.now_ms + context.policy.revoke_delay_ms
        context.add_action(
            Revoke(sent_attempt.agent, sent_attempt.revocation())
        )

    def on_revoke_result(self, event: RevokeAnswered | RevokeFailed) -> None:
        """Handle the agent's answer to a request to revoke.

        If the answer was lost, the request is repeated after a delay.
        """
        context = self._context
        sent_attempt = context.sent_attempt
        if (
            sent_attempt is None
            or event.attempt != sent_attempt.request.attempt
        ):
            return
        if context.phase is not Phase.REVOKING:
            return
        match event:
            case RevokeAnswered(state=AttemptState.REVOKED):
                self._terminator.refuse_unserved()
            case RevokeAnswered(state=AttemptState.UNKNOWN):
                self._stream_handler.give_up_attempt(
                    'the agent process that had the call is gone'
                )
            case RevokeAnswered(state=state):
                sent_attempt.state = state
                self._keep_attempt(sent_attempt)

    def on_agent_gone(self, agent: str, nonce: str) -> None:
        """Give up the attempt if its agent process left and its stream broke.

        While the stream is open, only the loss of the process is recorded.

        :param agent: name of the agent.
        :param nonce: identifies the agent process that left the roster.
        """
        sent_attempt = self._context.sent_attempt
        if sent_attempt is None or sent_attempt.agent != agent:
            return
        if sent_attempt.request.agent_nonce not in {'', nonce}:
            return
        sent_attempt.is_agent_gone = True
        if not sent_attempt.is_open:
            self._stream_handler.give_up_attempt('the agent is gone')

    def _keep_attempt(self, sent_attempt: SentAttempt) -> None:
        if not sent_attempt.has_run:
            return
        if sent_attempt.is_open:
            self._context.take_step(Step.KEEP)
        else:
            self._dispatcher.resume(sent_attempt)
