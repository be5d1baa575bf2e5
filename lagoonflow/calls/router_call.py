"""One request at the router, from its admission to its final answer."""

from collections.abc import Iterator

from lagoonflow.calls import events
from lagoonflow.calls.actions import Action
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.ending import Ending
from lagoonflow.calls.messages import AttemptId
from lagoonflow.calls.phases import Phase, Step
from lagoonflow.calls.placing import Placing
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.calls.revoking import Revoking
from lagoonflow.calls.spec import CallSpec
from lagoonflow.calls.streaming import Streaming

_TIMED_PHASES = frozenset((Phase.PAUSED, Phase.BROKEN, Phase.REVOKING))


class RouterCall:
    """Decides what happens to one request.

    A call that must not be repeated goes to another agent, or is answered as
    not run, only when its attempt was never sent or is revoked. When the fate
    of its attempt can't be found out, it is answered as of unknown outcome.
    A generation goes on elsewhere after the tokens delivered so far.
    """

    def __init__(
        self,
        spec: CallSpec,
        policy: CallPolicy,
        now_ms: int,
        sequences: Iterator[int] | None = None,
    ) -> None:
        """Prepare the call; :meth:`start` begins it.

        :param now_ms: time on the clock of the deadline.
        :param sequences: numbers for the attempts of this router process.
        """
        context = CallContext(spec, policy, now_ms, sequences)
        ending = Ending(context)
        placing = Placing(context, ending)
        streaming = Streaming(context, ending, placing)
        self._context = context
        self._ending = ending
        self._placing = placing
        self._streaming = streaming
        self._revoking = Revoking(context, ending, placing, streaming)

    @property
    def is_ended(self) -> bool:
        """Whether the final answer was given."""
        return self._context.phase is Phase.ENDED

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer was delivered."""
        return self._context.progress.has_begun

    @property
    def attempt(self) -> AttemptId | None:
        """The attempt whose stream the call listens to, if any."""
        flight = self._context.flight
        if flight is None or self.is_ended:
            return None
        return flight.request.attempt

    def start(self) -> list[Action]:
        """Ask for a place."""
        self._placing.locate()
        return self._context.take_actions()

    def handle(self, event: events.Event, now_ms: int) -> list[Action]:
        """Take an event, and return what to do, in order.

        :param now_ms: time on the clock of the deadline; never decreases.
        """
        self._context.now_ms = now_ms
        if not self.is_ended:
            self._dispatch(event)
        if not self.is_ended:
            self._check_time()
        return self._context.take_actions()

    def next_tick_ms(self) -> int:
        """Return the time at which the call needs a tick."""
        limit_ms = self._next_limit_ms()
        if self._context.phase in _TIMED_PHASES:
            return min(self._context.wake_ms, limit_ms)
        return limit_ms

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.Located(candidates):
                self._placing.on_located(candidates)
            case events.LocateFailed(refusal):
                self._placing.on_failed(refusal)
            case events.ChunkArrived(chunk):
                self._streaming.on_chunk(chunk)
            case events.StreamBroke(attempt, refusal):
                self._streaming.on_broken(attempt, refusal)
            case events.RevokeAnswered() | events.RevokeFailed():
                self._revoking.on_event(event)
            case events.AgentGone(agent, nonce):
                self._revoking.on_agent_gone(agent, nonce)
            case events.CallerGone():
                self._ending.cancel()
                self._context.take_step(Step.END)
            case events.Tick():
                self._on_tick()

    def _on_tick(self) -> None:
        context = self._context
        if not context.wake_ms <= context.now_ms < context.limit_ms:
            return
        match context.phase, context.flight:
            case Phase.PAUSED, _:
                self._placing.locate()
            case Phase.BROKEN, flight:
                self._placing.resume(flight)
            case Phase.REVOKING, flight:
                self._revoking.revoke(flight)

    def _check_time(self) -> None:
        context = self._context
        if context.now_ms < self._next_limit_ms():
            return
        if context.now_ms >= context.limit_ms:
            self._ending.expire()
        elif context.flight is None:
            self._ending.refuse_late()
        else:
            self._revoking.revoke(context.flight)

    def _next_limit_ms(self) -> int:
        context = self._context
        if context.progress.has_begun or context.phase is Phase.REVOKING:
            return context.limit_ms
        if context.flight is None or not context.flight.has_run:
            return context.limit_ms - context.reserve_ms
        return context.limit_ms
