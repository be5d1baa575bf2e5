"""Endpoint that forwards requests to plain services.

A plain service is an HTTP service that is not a model engine.
"""

import contextlib
from collections.abc import AsyncIterator

from starlette.requests import Request
from starlette.responses import Response

from lagoonflow.callers.disconnect import cancel_on_disconnect
from lagoonflow.callers.endpoint import AdmittedCall, Endpoint, Exchange
from lagoonflow.callers.messages import Call
from lagoonflow.callers.requests import (
    read_api_key,
    read_body,
    read_idempotency_key,
)
from lagoonflow.calls.actions import (
    DeliverAnswer,
    DeliverBody,
    DeliverFinish,
    Delivery,
    Refuse,
)
from lagoonflow.calls.messages import Header, ServiceAnswer, ServiceCall
from lagoonflow.keys.state import KeyDirectory, strip_keys
from lagoonflow.releases.messages import RouteSpec
from lagoonflow.results import Refusal, Result

# Headers for a single connection; never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers that the router itself reads or sets; not forwarded from callers.
OWN_HEADERS = frozenset(('x-request-id', 'lagoonflow-deadline-ms'))
INCOMPLETE_ANSWER = Refusal(
    Result.OUTCOME_UNKNOWN,
    'The answer of the service is incomplete.',
    not_run=False,
)


class PlainEndpoint(Endpoint):
    """Forwards requests to the plain service of their path prefix."""

    async def forward(self, request: Request) -> Response:
        """Handle any request that no other endpoint serves."""
        return await self.serve(request, self._forward)

    async def _forward(self, exchange: Exchange) -> Response | Refusal:
        route = self.context.releases.route_for(exchange.request.url.path)
        if route is None:
            return Refusal(
                Result.UNKNOWN_ROUTE,
                'No route matches this path.',
            )
        refusal = None if route.is_open else self.authenticate(exchange)
        if refusal is not None:
            return refusal
        call = await self._build_call(exchange, route)
        if isinstance(call, Refusal):
            return call
        admitted = await self.admit(exchange, call)
        if isinstance(admitted, Refusal):
            return admitted
        return await self._run(exchange, admitted)

    async def _build_call(
        self,
        exchange: Exchange,
        route: RouteSpec,
    ) -> Call | Refusal:
        key = read_idempotency_key(exchange.request)
        if isinstance(key, Refusal):
            return key
        body = await read_body(exchange.request, self.context.limits)
        if isinstance(body, Refusal):
            return body
        self.context.timeline.record(
            'callers',
            'arrived',
            request_id=exchange.request_id,
            model=route.service,
            cause=f'organisation {exchange.identity.organisation}',
        )
        return Call(
            request_id=exchange.request_id,
            identity=exchange.identity,
            deadline_ms=exchange.deadline_ms,
            cost_tokens=route.cost_tokens,
            service_call=_service_call(
                exchange,
                route,
                body,
                self.context.releases,
            ),
            idempotency_key=key,
        )

    async def _run(
        self,
        exchange: Exchange,
        admitted: AdmittedCall,
    ) -> Response | Refusal:
        exchange.is_running = True
        parts = self.context.run(admitted.call, admitted.charge)
        if admitted.call.service_call.is_idempotent:
            return await cancel_on_disconnect(exchange.request, _collect(parts))
        # A call that is not idempotent continues when its caller disconnects,
        # since its outcome would be unknown if it were cancelled while running.
        return await _collect(parts)


def _service_call(
    exchange: Exchange,
    route: RouteSpec,
    body: bytes,
    keys: KeyDirectory,
) -> ServiceCall:
    request = exchange.request
    forwarded = strip_keys(
        tuple(
            Header(name.lower(), value)
            for name, value in request.headers.items()
            if _is_forwarded(name.lower())
        ),
        request.url.query,
        read_api_key(request),
        keys,
    )
    request_id = Header('x-request-id', exchange.request_id)
    return ServiceCall(
        service=route.service,
        method=request.method,
        path=request.url.path,
        query=forwarded.query,
        headers=(*forwarded.headers, request_id),
        body=body,
        is_idempotent=route.is_idempotent,
    )


def _is_forwarded(name: str) -> bool:
    return name not in HOP_BY_HOP_HEADERS and name not in OWN_HEADERS


async def _collect(parts: AsyncIterator[Delivery]) -> Response | Refusal:
    head: ServiceAnswer | None = None
    bodies: list[bytes] = []
    async with contextlib.aclosing(parts) as deliveries:
        async for delivery in deliveries:
            match delivery:
                case DeliverAnswer():
                    head = delivery.answer
                case DeliverBody():
                    bodies.append(delivery.body)
                case Refuse():
                    return delivery.refusal
                case DeliverFinish() if head is not None:
                    return _response(head, b''.join(bodies))
    return INCOMPLETE_ANSWER


def _response(head: ServiceAnswer, body: bytes) -> Response:
    response = Response(body, head.status)
    for header in head.headers:
        if header.name.lower() not in HOP_BY_HOP_HEADERS:
            response.headers[header.name] = header.value
    return response
