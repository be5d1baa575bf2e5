"""A claimed call, which runs to its end even if its caller disconnects."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from lagoonflow.calls import actions
from lagoonflow.calls.claim_records import (
    MAX_BODY_BYTES,
    MAX_HEADERS,
    Outcome,
    OutcomeKind,
)
from lagoonflow.calls.messages import ServiceAnswer
from lagoonflow.results import Refusal, Result
from lagoonflow.time_limits import time_limit

MAX_QUEUED_DELIVERIES = 16
OUTCOME_PENDING = Refusal(
    Result.OUTCOME_UNKNOWN,
    'the call still runs; repeat it with its idempotency key for the outcome',
    not_run=False,
    retry_after_ms=1000,
)


class OutcomeRecorder:
    """Collects the parts of an answer into the outcome that repeats get."""

    def __init__(self) -> None:
        """Start without an answer."""
        self._kind = OutcomeKind.UNKNOWN
        self._answer = ServiceAnswer(0, ())
        self._body = b''
        self._is_body_omitted = False

    @property
    def outcome(self) -> Outcome:
        """The outcome, as known from the parts recorded so far."""
        if self._kind is not OutcomeKind.ANSWERED:
            return Outcome(self._kind)
        return Outcome(
            self._kind,
            self._answer.status,
            self._answer.headers[:MAX_HEADERS],
            self._body,
            self._is_body_omitted,
        )

    def record(self, delivery: actions.Delivery) -> None:
        """Record one part of the answer."""
        match delivery:
            case actions.DeliverAnswer(answer):
                self._answer = answer
            case actions.DeliverBody(body):
                self._add_body(body)
            case actions.DeliverFinish():
                self._kind = OutcomeKind.ANSWERED
            case actions.Refuse(refusal):
                if refusal.not_run:
                    self._kind = OutcomeKind.NOT_RUN

    def _add_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MAX_BODY_BYTES:
            self._is_body_omitted = True
        if self._is_body_omitted:
            self._body = b''
        else:
            self._body += body


class ClaimedCall:
    """Settles the claim of a call and passes the answer to its caller.

    :param answer: the parts of the call's answer, which are read to the end.
    :param settle: called once with the outcome.
    :param first_part_timeout_ms: time in ms after which the caller gets the
        refusal ``OUTCOME_PENDING``, unless the answer has begun.
    """

    def __init__(
        self,
        answer: AsyncIterator[actions.Delivery],
        settle: Callable[[Outcome], None],
        first_part_timeout_ms: int,
    ) -> None:
        """Prepare the call; :meth:`run` reads and records its answer."""
        self._answer = answer
        self._settle = settle
        self._first_part_timeout_ms = first_part_timeout_ms
        self._is_caller_gone = False
        self._deliveries: asyncio.Queue[actions.Delivery] = asyncio.Queue(
            MAX_QUEUED_DELIVERIES
        )

    async def run(self) -> None:
        """Read the answer to its end and settle the claim.

        The claim is settled before the caller gets the last part, so that
        the caller's repeats find the outcome.
        """
        recorder = OutcomeRecorder()
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(lambda: self._settle(recorder.outcome))
            async for delivery in self._answer:
                recorder.record(delivery)
                if actions.is_last(delivery):
                    cleanup.close()
                if not self._is_caller_gone:
                    await self._deliveries.put(delivery)

    async def answer(self) -> AsyncIterator[actions.Delivery]:
        """Yield the parts of the answer; the call runs on if this is closed."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._on_caller_gone)
            delivery = await self._first_part()
            while not actions.is_last(delivery):
                yield delivery
                delivery = await self._deliveries.get()
            yield delivery

    async def _first_part(self) -> actions.Delivery:
        try:
            async with time_limit(self._first_part_timeout_ms):
                return await self._deliveries.get()
        except TimeoutError:
            return actions.Refuse(OUTCOME_PENDING)

    def _on_caller_gone(self) -> None:
        self._is_caller_gone = True
        while not self._deliveries.empty():
            self._deliveries.get_nowait()
