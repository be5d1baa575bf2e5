"""Starts the calls of callers at the router and streams their answers."""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator, Callable

from lagoonflow.callers.messages import Call
from lagoonflow.calls.actions import (
    DeliverAnswer,
    DeliverBody,
    DeliverFinish,
    Delivery,
    Refuse,
)
from lagoonflow.calls.claim_records import ClaimKey, Outcome, OutcomeKind
from lagoonflow.calls.claimed_call import ClaimedCall
from lagoonflow.calls.claims_task import ClaimGranted, ClaimsTask
from lagoonflow.calls.messages import Finish, ServiceAnswer
from lagoonflow.calls.router_calls import RouterCalls
from lagoonflow.calls.spec import CallSpec
from lagoonflow.clock import boottime_ms
from lagoonflow.results import Refusal, Result

# Time after the deadline for which the answer of a claimed call is awaited,
# since its outcome is stored under the idempotency key.
OUTCOME_WAIT_MS = 30_000
UNKNOWN_OUTCOME = Refusal(
    Result.OUTCOME_UNKNOWN,
    'The call with this Idempotency-Key may have run.',
    not_run=False,
)
NOT_RUN_OUTCOME = Refusal(
    Result.CLAIM_PENDING,
    'The call with this Idempotency-Key has not run; send it again.',
    retry_after_ms=1000,
)
ANSWER_NOT_STORED = Refusal(
    Result.OUTCOME_UNKNOWN,
    'The call ran, but its answer was too large to be stored.',
    not_run=False,
)


class CallStarter:
    """Starts calls, with a claim if they may run at most once.

    A call needs a claim when it has an idempotency key and its service
    isn't idempotent.
    """

    def __init__(
        self,
        router: str,
        nonce: str,
        calls: RouterCalls,
        claims: ClaimsTask,
        on_finished: Callable[[str], None],
    ) -> None:
        """Start without calls.

        :param router: name of this router.
        :param nonce: identifies this start of the router.
        :param on_finished: called with the request id when a call ends.
        """
        self._router = router
        self._nonce = nonce
        self._calls = calls
        self._claims = claims
        self._on_finished = on_finished
        self._claimed_tasks: set[asyncio.Task[None]] = set()

    async def run(self, call: Call) -> AsyncIterator[Delivery]:
        """Yield the parts of the answer; the last is a finish or a refusal."""
        service_call = call.service_call
        is_claimed = (
            call.idempotency_key
            and service_call is not None
            and not service_call.is_idempotent
        )
        parts = self._run_claimed(call) if is_claimed else self._run(call, 0)
        async with contextlib.aclosing(parts) as deliveries:
            async for delivery in deliveries:
                yield delivery

    async def drain(self) -> None:
        """Wait until all calls have ended, even if their callers have left."""
        await self._calls.drain()
        await asyncio.gather(*self._claimed_tasks, return_exceptions=True)

    async def _run(
        self,
        call: Call,
        outcome_wait_ms: int,
    ) -> AsyncIterator[Delivery]:
        started = self._calls.start(self._build_spec(call, outcome_wait_ms))
        try:
            async with contextlib.aclosing(started.answer()) as deliveries:
                async for delivery in deliveries:
                    yield delivery
        finally:
            self._on_finished(call.request_id)

    async def _run_claimed(self, call: Call) -> AsyncIterator[Delivery]:
        claim = await self._claims.claim(
            _claim_key(call),
            _body_digest(call),
            int(call.deadline_ms),
        )
        match claim:
            case ClaimGranted(claim_id=claim_id):
                parts = self._start_claimed(call, claim_id).answer()
            case Outcome():
                parts = _replay(claim)
            case Refusal():
                parts = _single(Refuse(claim))
        async with contextlib.aclosing(parts) as deliveries:
            async for delivery in deliveries:
                yield delivery

    def _start_claimed(self, call: Call, claim_id: str) -> ClaimedCall:
        claimed = ClaimedCall(
            self._run(call, OUTCOME_WAIT_MS),
            lambda outcome: self._claims.settle(claim_id, outcome),
            max(0, int(call.deadline_ms) - boottime_ms()),
        )
        task = asyncio.create_task(claimed.run())
        self._claimed_tasks.add(task)
        task.add_done_callback(self._claimed_tasks.discard)
        return claimed

    def _build_spec(self, call: Call, outcome_wait_ms: int) -> CallSpec:
        return CallSpec(
            request_id=call.request_id,
            router=self._router,
            organisation=call.identity.organisation,
            key_id=call.identity.key_id,
            deadline_ms=int(call.deadline_ms),
            generation=call.generation,
            service_call=call.service_call,
            cost_tokens=call.cost_tokens,
            router_nonce=self._nonce,
            outcome_wait_ms=outcome_wait_ms,
        )


def _claim_key(call: Call) -> ClaimKey:
    key_digest = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
    return ClaimKey(
        call.identity.organisation or 'open',
        call.service_call.service,
        key_digest,
    )


def _body_digest(call: Call) -> str:
    service_call = call.service_call
    head = f'{service_call.method} {service_call.path}?{service_call.query}\n'
    hashed = hashlib.sha256(head.encode())
    hashed.update(service_call.body)
    return hashed.hexdigest()


async def _single(delivery: Delivery) -> AsyncIterator[Delivery]:
    yield delivery


async def _replay(outcome: Outcome) -> AsyncIterator[Delivery]:
    if outcome.kind is OutcomeKind.NOT_RUN:
        yield Refuse(NOT_RUN_OUTCOME)
    elif outcome.kind is OutcomeKind.UNKNOWN:
        yield Refuse(UNKNOWN_OUTCOME)
    elif outcome.is_body_omitted:
        yield Refuse(ANSWER_NOT_STORED)
    else:
        yield DeliverAnswer(ServiceAnswer(outcome.status, outcome.headers))
        yield DeliverBody(outcome.body)
        yield DeliverFinish(Finish('repeated'))
