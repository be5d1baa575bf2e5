"""A request at the router, from its admission to its final answer."""

from collections.abc import Iterator

from lagoonflow.calls import events
from lagoonflow.calls.actions import Action
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.dispatcher import Dispatcher
from lagoonflow.calls.messages import AttemptId
from lagoonflow.calls.phases import Phase, Step
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.calls.revoking import Revoker
from lagoonflow.calls.spec import CallSpec
from lagoonflow.calls.stream_handler import StreamHandler
from lagoonflow.calls.terminator import CallTerminator

_TIMED_PHASES = frozenset((Phase.PAUSED, Phase.BROKEN, Phase.REVOKING))


class RouterCall:
    """Decides which actions one request needs; it does no I/O itself.

    A call that must not run twice is sent to another agent, or answered as not
    run, only if its attempt was never sent, was refused without running or is
    revoked. If it can't be found out whether its attempt has run, the answer
    is ``OUTCOME_UNKNOWN``. A generation whose agent fails is continued by
    another agent after the tokens delivered so far.
    """

    def __init__(
        self,
        spec: CallSpec,
        policy: CallPolicy,
        now_ms: int,
        sequences: Iterator[int] | None = None,
    ) -> None:
        """Prepare the call; :meth:`start` returns its first actions.

        :param now_ms: time on the clock of the deadline.
        :param sequences: yields the sequence numbers of the attempts; shared
            by all calls of this router process.
        """
        context = CallContext(spec, policy, now_ms, sequences)
        terminator = CallTerminator(context)
        dispatcher = Dispatcher(context, terminator)
        stream_handler = StreamHandler(context, terminator, dispatcher)
        self._context = context
        self._terminator = terminator
        self._dispatcher = dispatcher
        self._stream_handler = stream_handler
        self._revoker = Revoker(context, terminator, dispatcher, stream_handler)

    @property
    def is_ended(self) -> bool:
        """Whether the call has its final answer, or its caller is gone."""
        return self._context.phase is Phase.ENDED

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer went to the caller."""
        return self._context.progress.has_begun

    @property
    def attempt(self) -> AttemptId | None:
        """The attempt whose stream the call reads, if any."""
        sent_attempt = self._context.sent_attempt
        if sent_attempt is None or self.is_ended:
            return None
        return sent_attempt.request.attempt

    def start(self) -> list[Action]:
        """Return the action that looks for agents."""
        self._dispatcher.locate()
        return self._context.take_actions()

    def handle(self, event: events.Event, now_ms: int) -> list[Action]:
        """Handle an event and return the actions to execute, in order.

        :param now_ms: time on the clock of the deadline; never decreases.
        """
        self._context.now_ms = now_ms
        if not self.is_ended:
            self._dispatch(event)
        if not self.is_ended:
            self._check_time()
        return self._context.take_actions()

    def next_tick_ms(self) -> int:
        """Return the time at which the call needs a :class:`~events.Tick`."""
        limit_ms = self._next_limit_ms()
        if self._context.phase in _TIMED_PHASES:
            return min(self._context.retry_at_ms, limit_ms)
        return limit_ms

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.Located(candidates):
                self._dispatcher.on_located(candidates)
            case events.LocateFailed(refusal):
                self._dispatcher.on_locate_failed(refusal)
            case events.ChunkArrived(chunk):
                self._stream_handler.on_chunk(chunk)
            case events.StreamBroke(attempt, refusal):
                self._stream_handler.on_broken(attempt, refusal)
            case events.RevokeAnswered() | events.RevokeFailed():
                self._revoker.on_revoke_result(event)
            case events.AgentGone(agent, nonce):
                self._revoker.on_agent_gone(agent, nonce)
            case events.CallerGone():
                self._terminator.cancel_attempt()
                self._context.take_step(Step.END)
            case events.Tick():
                self._on_tick()

    def _on_tick(self) -> None:
        context = self._context
        if not context.retry_at_ms <= context.now_ms < context.limit_ms:
            return
        match context.phase, context.sent_attempt:
            case Phase.PAUSED, _:
                self._dispatcher.locate()
            case Phase.BROKEN, sent_attempt:
                self._dispatcher.resume(sent_attempt)
            case Phase.REVOKING, sent_attempt:
                self._revoker.revoke(sent_attempt)

    def _check_time(self) -> None:
        context = self._context
        if context.now_ms < self._next_limit_ms():
            return
        if context.now_ms >= context.limit_ms:
            self._terminator.expire()
        elif context.sent_attempt is None:
            self._terminator.refuse_unserved()
        else:
            self._revoker.revoke(context.sent_attempt)

    def _next_limit_ms(self) -> int:
        context = self._context
        if context.progress.has_begun or context.phase is Phase.REVOKING:
            return context.limit_ms
        if context.sent_attempt is None or not context.sent_attempt.has_run:
            return context.limit_ms - context.revoke_reserve_ms
        return context.limit_ms
