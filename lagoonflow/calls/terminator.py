"""Ends calls with answers that state truthfully whether they ran."""

import dataclasses

from lagoonflow.calls.actions import Cancel, Refuse
from lagoonflow.calls.context import CallContext
from lagoonflow.calls.phases import Step
from lagoonflow.results import Refusal, Result

RETRY_AFTER_MS = 1000
# Codes from here on are for messages between the programs, not for callers.
_FIRST_INTERNAL_CODE = Result.STALE_VIEW


class CallTerminator:
    """Ends a call with a refusal, or cancels its attempt."""

    def __init__(self, context: CallContext) -> None:
        """Use the state that the parts of the call share."""
        self._context = context

    def refuse(self, refusal: Refusal) -> None:
        """End the call with a refusal.

        Its ``not_run`` is replaced: true only if no attempt can have run.
        """
        progress = self._context.progress
        has_run = progress.may_have_run or progress.has_begun
        truthful = dataclasses.replace(refusal, not_run=not has_run)
        self._context.add_action(Refuse(truthful))
        self._context.take_step(Step.END)

    def refuse_unserved(self) -> None:
        """End a call that no agent could run in time.

        The refusal is the last one received, if its code is meant for
        callers; otherwise ``DEADLINE_UNREACHABLE``.
        """
        last = self._context.progress.refusal
        if last is None or last.code >= _FIRST_INTERNAL_CODE:
            last = Refusal(
                Result.DEADLINE_UNREACHABLE,
                'the request can not be served in time',
                retry_after_ms=RETRY_AFTER_MS,
            )
        self.refuse(last)

    def refuse_unknown_outcome(self, reason: str) -> None:
        """End the call with ``OUTCOME_UNKNOWN``: it may have run."""
        self._context.progress.may_have_run = True
        self.refuse(Refusal(Result.OUTCOME_UNKNOWN, reason))

    def expire(self) -> None:
        """End the call because its answer did not begin or continue in time.

        If the call must not run twice and an attempt is in flight, the outcome
        is unknown.
        """
        context = self._context
        if context.sent_attempt is None:
            self.refuse_unserved()
            return
        self.cancel_attempt()
        if not context.can_repeat:
            self.refuse_unknown_outcome('no answer arrived in time')
            return
        context.progress.may_have_run = True
        self.refuse_unserved()

    def cancel_attempt(self) -> None:
        """Ask the agent to stop the attempt in flight, if there is one."""
        sent_attempt = self._context.sent_attempt
        if sent_attempt is not None:
            self._context.add_action(
                Cancel(sent_attempt.agent, sent_attempt.cancellation())
            )
