"""State that the endpoints share; measurement and charging of calls."""

import contextlib
import dataclasses
import uuid
from collections.abc import AsyncIterator, Callable

from lagoonflow.callers.messages import Admission, Call, CallRunner, Charge
from lagoonflow.callers.requests import CallerLimits
from lagoonflow.calls.actions import (
    DeliverFinish,
    DeliverText,
    Delivery,
    Refuse,
)
from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.keys.messages import Identity
from lagoonflow.releases.state import ReleaseFold
from lagoonflow.results import Refusal, Result
from lagoonflow.telemetry.metrics import RouterMetrics
from lagoonflow.telemetry.timeline import TimeLine

PART = 'callers'
BUSY_RETRY_AFTER_MS = 1000


def new_request_id() -> str:
    """Return a unique request id."""
    return uuid.uuid4().hex


@dataclasses.dataclass(slots=True)
class FrontendContext:
    """State and ports that all endpoints of the frontend share.

    :param releases: models, keys and routes of the release notes in force.
    :param admission: charges organisations for their calls.
    :param calls: runs admitted calls.
    :param clock_ms: monotonic clock, in ms.
    :param in_flight: number of requests that are being handled.
    """

    releases: ReleaseFold
    admission: Admission
    calls: CallRunner
    limits: CallerLimits
    metrics: RouterMetrics
    timeline: TimeLine
    clock_ms: Callable[[], float] = boottime_ms
    in_flight: int = 0

    def start_request(self) -> Refusal | None:
        """Count a request as in flight, or refuse it above the limit."""
        if self.in_flight >= self.limits.max_waiting:
            return Refusal(
                Result.TOO_MANY_WAITING,
                'Too many requests are waiting at this router.',
                retry_after_ms=BUSY_RETRY_AFTER_MS,
            )
        self.in_flight += 1
        self.metrics.waiting.set(self.in_flight)
        return None

    def finish_request(self) -> None:
        """Count a request as finished."""
        self.in_flight -= 1
        self.metrics.waiting.set(self.in_flight)

    def record_refusal(
        self,
        refusal: Refusal,
        request_id: str,
        identity: Identity,
    ) -> None:
        """Record a refusal in the metrics and the timeline."""
        self.metrics.requests.labels(
            identity.organisation,
            refusal.code.name,
        ).inc()
        self.timeline.record(
            PART,
            'refused',
            request_id=request_id,
            cause=refusal.code.name,
            detail=refusal.reason,
        )

    async def run(self, call: Call, charge: Charge) -> AsyncIterator[Delivery]:
        """Run a call, measure it, and refund the tokens that it did not use."""
        meter = _CallMeter(self, call, charge)
        try:
            async with contextlib.aclosing(self.calls.run(call)) as parts:
                async for delivery in parts:
                    meter.record_delivery(delivery)
                    yield delivery
        finally:
            meter.close()


class _CallMeter:
    """Measures latency and usage of one call, and settles its charge."""

    def __init__(
        self,
        context: FrontendContext,
        call: Call,
        charge: Charge,
    ) -> None:
        self._context = context
        self._call = call
        self._charge = charge
        self._started_ms = context.clock_ms()
        self._last_part_ms: float = 0
        self._tokens = 0
        self._has_parts = False
        self._used_tokens: float | None = None

    def record_delivery(self, delivery: Delivery) -> None:
        match delivery:
            case DeliverFinish():
                self._record_finish(delivery)
            case Refuse():
                self._record_refusal(delivery.refusal)
            case DeliverText():
                self._tokens += delivery.tokens
                self._record_part()
            case _:
                self._record_part()

    def close(self) -> None:
        """Settle the charge, also of a call that its caller abandoned.

        A call was abandoned when it was closed before its last part; the
        caller then pays for what may have run.
        """
        used_tokens = self._used_tokens
        if used_tokens is None:
            used_tokens = self._cost_so_far()
            self._context.timeline.record(
                PART,
                'caller_gone',
                request_id=self._call.request_id,
            )
        self._context.admission.settle(self._charge, used_tokens)

    def _cost_so_far(self) -> float:
        """Return what to charge for a call that may have run in part.

        That is the whole charge, unless text of a generation has arrived:
        then the tokens that were not generated are refunded.
        """
        generation = self._call.generation
        if generation is None or not self._has_parts:
            return self._charge.amount_tokens
        unused_tokens = max(0, generation.max_tokens - self._tokens)
        return self._charge.amount_tokens - unused_tokens

    def _record_part(self) -> None:
        now_ms = self._context.clock_ms()
        metrics = self._context.metrics
        if self._has_parts:
            metrics.token_gap.observe((now_ms - self._last_part_ms) / MS_PER_S)
        else:
            metrics.first_token.observe((now_ms - self._started_ms) / MS_PER_S)
            self._context.timeline.record(
                PART,
                'first_part',
                request_id=self._call.request_id,
            )
        self._has_parts = True
        self._last_part_ms = now_ms

    def _record_finish(self, delivery: DeliverFinish) -> None:
        usage = delivery.finish.usage
        self._used_tokens = self._charge.amount_tokens
        if self._call.generation is not None:
            self._used_tokens = usage.prompt_tokens + usage.completion_tokens
        organisation = self._call.identity.organisation
        self._context.metrics.tokens.labels(organisation).inc(self._tokens)
        self._context.metrics.requests.labels(organisation, 'OK').inc()
        self._context.timeline.record(
            PART,
            'answered',
            request_id=self._call.request_id,
            detail=f'{self._tokens} tokens',
        )

    def _record_refusal(self, refusal: Refusal) -> None:
        self._used_tokens = 0 if refusal.not_run else self._cost_so_far()
        self._context.record_refusal(
            refusal,
            self._call.request_id,
            self._call.identity,
        )
