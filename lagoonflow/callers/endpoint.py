"""Handling common to all endpoints: limits, keys, charges, refusals."""

import dataclasses
from collections.abc import Awaitable, Callable

from starlette.requests import Request
from starlette.responses import Response

from lagoonflow.callers.context import FrontendContext, new_request_id
from lagoonflow.callers.disconnect import (
    CallerDisconnected,
    cancel_on_disconnect,
)
from lagoonflow.callers.errors import error_response
from lagoonflow.callers.messages import Call, Charge
from lagoonflow.callers.requests import (
    check_header_size,
    read_api_key,
    read_deadline_ms,
)
from lagoonflow.keys.messages import Identity
from lagoonflow.keys.state import authenticate
from lagoonflow.results import Refusal, Result

CALLER_GONE = Refusal(
    Result.CALLER_GONE,
    'The caller closed its connection.',
    not_run=False,
)


@dataclasses.dataclass(slots=True)
class Exchange:
    """One HTTP request and the state of its handling.

    :param arrived_ms: monotonic time of its arrival, in ms.
    :param deadline_ms: monotonic time by which the answer has to begin, in
        ms.
    :param is_running: whether its call has been admitted and started.
    :param is_streaming: whether the endpoint has returned an answer that is
        still being streamed.
    """

    request: Request
    request_id: str
    arrived_ms: float
    identity: Identity = Identity()
    deadline_ms: float = 0
    is_running: bool = False
    is_streaming: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedCall:
    """A call and what its organisation was charged for it."""

    call: Call
    charge: Charge


Handler = Callable[[Exchange], Awaitable[Response | Refusal]]


class Endpoint:
    """Base of the endpoints: limits requests and sends refusals."""

    def __init__(self, context: FrontendContext) -> None:
        """Use the state that all endpoints share."""
        self.context = context

    async def serve(self, request: Request, handler: Handler) -> Response:
        """Handle one request, unless too many are in flight.

        :param handler: produces the answer, or a refusal to send instead.
        """
        exchange = Exchange(
            request,
            new_request_id(),
            self.context.clock_ms(),
        )
        refusal = self.context.start_request()
        if refusal is not None:
            return self._build_refusal(exchange, refusal)
        try:
            return await self._handle(exchange, handler)
        finally:
            if not exchange.is_streaming:
                self.context.finish_request()

    def authenticate(self, exchange: Exchange) -> Refusal | None:
        """Store the identity of the API key, or refuse the request."""
        identity = authenticate(
            self.context.releases,
            read_api_key(exchange.request),
        )
        if isinstance(identity, Refusal):
            return identity
        exchange.identity = identity
        return None

    async def admit(
        self,
        exchange: Exchange,
        call: Call,
    ) -> AdmittedCall | Refusal:
        """Charge the organisation for a call, which may have to wait.

        :raises CallerDisconnected: when the caller disconnects first.
        """
        return await cancel_on_disconnect(
            exchange.request,
            self._charge(exchange, call),
        )

    async def _charge(
        self,
        exchange: Exchange,
        call: Call,
    ) -> AdmittedCall | Refusal:
        # Open routes need no key, so there is no organisation to charge.
        organisation = exchange.identity.organisation
        if not organisation:
            return AdmittedCall(call, Charge(0, 0))
        started_ms = self.context.clock_ms()
        charge = await self.context.admission.charge(
            exchange.request_id,
            organisation,
            call.cost_tokens,
            exchange.deadline_ms,
        )
        if isinstance(charge, Refusal):
            return charge
        waited_ms = self.context.clock_ms() - started_ms
        self.context.metrics.quota_wait.observe(waited_ms / 1000)
        return AdmittedCall(call, charge)

    async def _handle(self, exchange: Exchange, handler: Handler) -> Response:
        refusal = self._check_head(exchange)
        if refusal is not None:
            return self._build_refusal(exchange, refusal)
        try:
            response = await handler(exchange)
        except CallerDisconnected:
            return self._build_refusal(exchange, CALLER_GONE)
        if isinstance(response, Refusal):
            return self._build_refusal(exchange, response)
        response.headers['x-request-id'] = exchange.request_id
        return response

    def _check_head(self, exchange: Exchange) -> Refusal | None:
        limits = self.context.limits
        refusal = check_header_size(exchange.request, limits)
        if refusal is not None:
            return refusal
        deadline = read_deadline_ms(exchange.request, limits)
        if isinstance(deadline, Refusal):
            return deadline
        exchange.deadline_ms = exchange.arrived_ms + deadline
        return None

    def _build_refusal(self, exchange: Exchange, refusal: Refusal) -> Response:
        # FrontendContext.run() records how a running call ends.
        if not exchange.is_running:
            self.context.record_refusal(
                refusal,
                exchange.request_id,
                exchange.identity,
            )
        return error_response(refusal, exchange.request_id)
