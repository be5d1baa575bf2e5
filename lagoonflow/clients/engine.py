"""Client of a model engine: orders, listing, load report, generation."""

import dataclasses
from collections.abc import AsyncGenerator
from typing import TypeVar

from lagoonflow.clients.exchange import (
    DEFAULT_TIMEOUT_MS,
    HttpAnswer,
    HttpFailure,
    HttpRequest,
    decode_json,
    describe_status,
    post_json,
)
from lagoonflow.clients.generation import GenerationStream
from lagoonflow.clients.http import HttpClient
from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.generation import (
    Cancelled,
    GenerateRequest,
    GenerationEvent,
)
from lagoonflow.clients.messages.listing import (
    Listing,
    LoadReport,
)
from lagoonflow.clients.messages.orders import (
    Order,
    OrderAccepted,
    OrderRefusal,
    OrderRefused,
    OrderResult,
    OrderUnknown,
)

OK = 200
ACCEPTED = 202
CONFLICT = 409
FIRST_SERVER_ERROR = 500
INSUFFICIENT_STORAGE = 507
REFUSALS_BY_STATUS = {
    CONFLICT: OrderRefusal.CONFLICT,
    INSUFFICIENT_STORAGE: OrderRefusal.OUT_OF_MEMORY,
}

BodyT = TypeVar('BodyT')


@dataclasses.dataclass(frozen=True, slots=True)
class CancelResponseBody:
    """JSON body of the answer to a cancel request.

    :param cancelled: whether the engine knew the request.
    """

    cancelled: bool


class EngineClient:
    """Sends requests to one model engine.

    :param address: `IP:port` of the engine.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address)

    async def send_order(
        self,
        order: Order,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> OrderResult:
        """Send an order.

        :param order: the order; it may safely be sent again with the same id.
        :param timeout_ms: time limit for the answer, in ms.
        """
        request = post_json('/orders', order, timeout_ms)
        answer = await self._http.call(request)
        if isinstance(answer, HttpAnswer):
            return _order_result(order, answer)
        if answer.was_sent:
            return OrderUnknown(answer.reason)
        return OrderRefused(OrderRefusal.NOT_SENT, answer.reason)

    async def fetch_listing(self) -> Listing | Unavailable:
        """Fetch the list of what the engine has loaded and stored."""
        return await self._fetch(HttpRequest('GET', '/listing'), Listing)

    async def fetch_load_report(self) -> LoadReport | Unavailable:
        """Fetch the load report, which lags behind the engine's state."""
        return await self._fetch(HttpRequest('GET', '/load'), LoadReport)

    async def cancel(self, request_id: str) -> Cancelled | Unavailable:
        """Cancel a generation; this is safe to repeat.

        :param request_id: id of its generate request.
        """
        request = post_json('/cancel', {'request_id': request_id})
        answer = await self._fetch(request, CancelResponseBody)
        if isinstance(answer, Unavailable):
            return answer
        return Cancelled(answer.cancelled)

    async def generate(
        self,
        request: GenerateRequest,
        first_chunk_timeout_ms: float,
        progress_timeout_ms: float,
    ) -> AsyncGenerator[GenerationEvent, None]:
        """Yield the chunks of an answer, and last its end or a failure.

        To stop early, close the iterator (`contextlib.aclosing`). This closes
        the connection, and the engine then stops generating.

        :param request: what to generate.
        :param first_chunk_timeout_ms: longest time until the first chunk, in
            ms.
        :param progress_timeout_ms: longest time between chunks, in ms.
        """
        post = post_json('/generate', request, first_chunk_timeout_ms)
        async with GenerationStream(self._http, progress_timeout_ms) as stream:
            failure = await stream.open(post)
            if failure is not None:
                yield failure
            while not stream.is_over:
                yield await stream.next_event()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def _fetch(
        self,
        request: HttpRequest,
        body_type: type[BodyT],
    ) -> BodyT | Unavailable:
        answer = await self._http.call(request)
        if isinstance(answer, HttpFailure):
            return Unavailable(answer.reason)
        if answer.status != OK:
            return Unavailable(describe_status(answer))
        body = decode_json(answer.body, body_type)
        if isinstance(body, HttpFailure):
            return Unavailable(body.reason)
        return body


def _order_result(order: Order, answer: HttpAnswer) -> OrderResult:
    if answer.status == ACCEPTED:
        return OrderAccepted(order.order_id)
    reason = describe_status(answer)
    kind = REFUSALS_BY_STATUS.get(answer.status)
    if kind is not None:
        return OrderRefused(kind, reason)
    if answer.status >= FIRST_SERVER_ERROR:
        return OrderUnknown(reason)
    return OrderRefused(OrderRefusal.REFUSED, reason)
