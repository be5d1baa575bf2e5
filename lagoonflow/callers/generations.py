"""OpenAI-style endpoints, which generate text with model engines."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.types import Receive, Scope, Send

from lagoonflow.callers.answers import AnswerEncoder
from lagoonflow.callers.bodies import (
    ChatBody,
    CompletionBody,
    GenerationBody,
    estimate_prompt_tokens,
    parse_body,
    requested_max_tokens,
)
from lagoonflow.callers.context import FrontendContext
from lagoonflow.callers.disconnect import cancel_on_disconnect
from lagoonflow.callers.endpoint import AdmittedCall, Endpoint, Exchange
from lagoonflow.callers.errors import error_body
from lagoonflow.callers.messages import Call
from lagoonflow.callers.requests import read_body
from lagoonflow.calls.actions import (
    DeliverFinish,
    DeliverText,
    Delivery,
    Refuse,
)
from lagoonflow.calls.messages import Generation
from lagoonflow.releases.state import ReleaseFold
from lagoonflow.results import Refusal, Result

JSON_TYPE = 'application/json'
SSE_TYPE = 'text/event-stream'
Parts = AsyncIterator[Delivery]
INCOMPLETE_ANSWER = Refusal(
    Result.STREAM_BROKEN,
    'The answer ended without its last part.',
    not_run=False,
)


class ModelEntry(msgspec.Struct, frozen=True):
    """A model or an adapter in the list of models."""

    id: str
    object: str = 'model'
    owned_by: str = 'lagoonflow'


class ModelList(msgspec.Struct, frozen=True):
    """Answer body of ``/v1/models``."""

    data: list[ModelEntry]
    object: str = 'list'


@dataclasses.dataclass(frozen=True, slots=True)
class _StartedCall:
    """A streamed call whose first part has arrived."""

    exchange: Exchange
    encoder: AnswerEncoder
    first_part: Delivery
    parts: Parts


class GenerationsEndpoint(Endpoint):
    """Serves chat completions, completions and the list of models."""

    async def chat(self, request: Request) -> Response:
        """Handle ``POST /v1/chat/completions``."""
        return await self.serve(request, self._chat)

    async def complete(self, request: Request) -> Response:
        """Handle ``POST /v1/completions``."""
        return await self.serve(request, self._complete)

    async def list_models(self, request: Request) -> Response:
        """Handle ``GET /v1/models``."""
        return await self.serve(request, self._list_models)

    async def _chat(self, exchange: Exchange) -> Response | Refusal:
        return await self._generate(exchange, ChatBody)

    async def _complete(self, exchange: Exchange) -> Response | Refusal:
        return await self._generate(exchange, CompletionBody)

    async def _list_models(self, exchange: Exchange) -> Response | Refusal:
        refusal = self.authenticate(exchange)
        if refusal is not None:
            return refusal
        releases = self.context.releases
        names = sorted((*releases.models(), *releases.adapters()))
        body = msgspec.json.encode(
            ModelList([ModelEntry(name) for name in names]),
        )
        return Response(body, media_type=JSON_TYPE)

    async def _generate(
        self,
        exchange: Exchange,
        body_type: type[ChatBody] | type[CompletionBody],
    ) -> Response | Refusal:
        refusal = self.authenticate(exchange)
        if refusal is not None:
            return refusal
        content = await read_body(exchange.request, self.context.limits)
        if isinstance(content, Refusal):
            return content
        body = parse_body(content, body_type)
        if isinstance(body, Refusal):
            return body
        call = self._build_call(exchange, body)
        if isinstance(call, Refusal):
            return call
        admitted = await self.admit(exchange, call)
        if isinstance(admitted, Refusal):
            return admitted
        return await self._run(exchange, body, admitted)

    def _build_call(
        self,
        exchange: Exchange,
        body: GenerationBody,
    ) -> Call | Refusal:
        generation = build_generation(self.context.releases, body)
        if isinstance(generation, Refusal):
            return generation
        self.context.timeline.record(
            'callers',
            'arrived',
            request_id=exchange.request_id,
            model=body.model,
            cause=f'organisation {exchange.identity.organisation}',
        )
        prompt_tokens = estimate_prompt_tokens(generation.prompt)
        return Call(
            request_id=exchange.request_id,
            identity=exchange.identity,
            deadline_ms=exchange.deadline_ms,
            cost_tokens=prompt_tokens + generation.max_tokens,
            generation=generation,
        )

    async def _run(
        self,
        exchange: Exchange,
        body: GenerationBody,
        admitted: AdmittedCall,
    ) -> Response | Refusal:
        exchange.is_running = True
        parts = self.context.run(admitted.call, admitted.charge)
        encoder = AnswerEncoder(
            exchange.request_id,
            body.model,
            isinstance(body, ChatBody),
        )
        if not body.stream:
            return await cancel_on_disconnect(
                exchange.request,
                _collect(encoder, parts),
            )
        first_part = await cancel_on_disconnect(exchange.request, anext(parts))
        if isinstance(first_part, Refuse):
            await parts.aclose()
            return first_part.refusal
        exchange.is_streaming = True
        started = _StartedCall(exchange, encoder, first_part, parts)
        return _AnswerStream(self.context, started)


class _AnswerStream(StreamingResponse):
    """Streams one answer, and ends the call when its caller disconnects."""

    def __init__(self, context: FrontendContext, started: _StartedCall) -> None:
        super().__init__(_encode_events(started), media_type=SSE_TYPE)
        self._context = context
        self._parts = started.parts

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        # When the caller has already disconnected, the body iterator is never
        # started and can't close the parts; closing them ends the call.
        try:
            await super().__call__(scope, receive, send)
        finally:
            await self._parts.aclose()
            self._context.finish_request()


async def _encode_events(started: _StartedCall) -> AsyncIterator[bytes]:
    yield _encode_event(started, started.first_part)
    async for delivery in started.parts:
        yield _encode_event(started, delivery)


def build_generation(
    releases: ReleaseFold,
    body: GenerationBody,
) -> Generation | Refusal:
    """Build the generation that a request body asks for.

    The body names either a model or an adapter.
    """
    model = body.model
    adapter = ''
    adapter_spec = releases.adapter(body.model)
    if adapter_spec is not None:
        model = adapter_spec.model
        adapter = body.model
    if releases.model(model) is None:
        return Refusal(
            Result.UNKNOWN_MODEL,
            f'No model or adapter is named {body.model!r}.',
        )
    return Generation(
        model=model,
        adapter=adapter,
        prompt=body.prompt,
        max_tokens=requested_max_tokens(body),
        seed=body.seed,
    )


def _encode_event(started: _StartedCall, delivery: Delivery) -> bytes:
    match delivery:
        case DeliverText():
            return started.encoder.encode_part(delivery.text)
        case DeliverFinish():
            return started.encoder.encode_end(delivery.finish)
        case Refuse():
            body = error_body(
                delivery.refusal,
                started.exchange.request_id,
            )
            return b''.join((b'data: ', body, b'\n\n'))
        case _:
            return b''


async def _collect(encoder: AnswerEncoder, parts: Parts) -> Response | Refusal:
    texts: list[str] = []
    async with contextlib.aclosing(parts) as deliveries:
        async for delivery in deliveries:
            match delivery:
                case DeliverText():
                    texts.append(delivery.text)
                case DeliverFinish():
                    body = encoder.encode_whole(''.join(texts), delivery.finish)
                    return Response(body, media_type=JSON_TYPE)
                case Refuse():
                    return delivery.refusal
    return INCOMPLETE_ANSWER
