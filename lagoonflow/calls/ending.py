"""Final answers of a call, which say truthfully whether it ran."""

import dataclasses

from lagoonflow.calls.actions import Cancel, Refuse
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.phases import Step
from lagoonflow.results import Refusal, Result

RETRY_AFTER_MS = 1000
# Codes from here on are spoken between the programs only.
_FIRST_INTERNAL_CODE = Result.STALE_VIEW


class Ending:
    """Ends a call with a refusal."""

    def __init__(self, context: CallContext) -> None:
        """Share the state of the call."""
        self._context = context

    def refuse(self, refusal: Refusal) -> None:
        """Refuse; ``not_run`` is set to what the call knows."""
        progress = self._context.progress
        has_run = progress.may_have_run or progress.has_begun
        truthful = dataclasses.replace(refusal, not_run=not has_run)
        self._context.act(Refuse(truthful))
        self._context.take_step(Step.END)

    def refuse_late(self) -> None:
        """Refuse because of the deadline, or for what led to it."""
        last = self._context.progress.refusal
        if last is None or last.code >= _FIRST_INTERNAL_CODE:
            last = Refusal(
                Result.DEADLINE_UNREACHABLE,
                'the request can not be served in time',
                retry_after_ms=RETRY_AFTER_MS,
            )
        self.refuse(last)

    def refuse_unknown(self, reason: str) -> None:
        """Say that nobody knows whether the call has run."""
        self._context.progress.may_have_run = True
        self.refuse(Refusal(Result.OUTCOME_UNKNOWN, reason))

    def expire(self) -> None:
        """Give the final answer at the deadline."""
        context = self._context
        if context.flight is None:
            self.refuse_late()
            return
        self.cancel()
        if not context.can_repeat:
            self.refuse_unknown('no answer in time')
            return
        context.progress.may_have_run = True
        self.refuse_late()

    def cancel(self) -> None:
        """Stop the attempt at its agent, if there is one."""
        flight = self._context.flight
        if flight is not None:
            self._context.act(Cancel(flight.agent, flight.cancellation()))
