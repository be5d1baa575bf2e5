"""Adapts the platform's engine client to what a runner needs."""

import contextlib
from collections.abc import AsyncGenerator

from lagoonflow.calls.messages import AttemptId, Usage
from lagoonflow.clients.engine import EngineClient
from lagoonflow.clients.messages import generation as engine_streams
from lagoonflow.clients.messages import listing as engine_listing
from lagoonflow.clients.messages import orders as engine_orders
from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.placement.messages import Tier
from lagoonflow.runners.engine_messages import (
    Answer,
    EngineState,
    ListedAdapter,
    ListedCheckpoint,
    ListedReplica,
    Listing,
    OrderAnswer,
)
from lagoonflow.runners.events import (
    EngineEvent,
    Finished,
    StreamFailed,
    Tokens,
)
from lagoonflow.runners.messages import (
    EngineOrder,
    OrderAdapterLoad,
    OrderAdapterUnload,
    OrderLoad,
    OrderUnload,
    StartGeneration,
)

ORDER_TIMEOUT_MS = 1_000
FIRST_CHUNK_TIMEOUT_MS = 10_000
PROGRESS_TIMEOUT_MS = 3_000
_ANSWERS_BY_REFUSAL = {
    engine_orders.OrderRefusal.CONFLICT: Answer.STALE_FENCE,
    engine_orders.OrderRefusal.OUT_OF_MEMORY: Answer.NO_MEMORY,
}
_NOT_RUN_FAILURES = frozenset(
    (
        engine_streams.GenerationFailure.NOT_SENT,
        engine_streams.GenerationFailure.NOT_READY,
        engine_streams.GenerationFailure.REJECTED,
    ),
)


class EngineClientPort:
    """Engine of a runner behind the platform's engine client.

    :param order_prefix: makes order ids unique over agents and restarts.
    """

    def __init__(self, client: EngineClient, order_prefix: str) -> None:
        self._client = client
        self._order_prefix = order_prefix

    async def listing(self) -> Listing | None:
        """Fetch the listing; ``None`` when the engine can't be reached."""
        listing = await self._client.fetch_listing()
        if isinstance(listing, Unavailable):
            return None
        return Listing(
            epoch=listing.epoch,
            capacity_mb=int(listing.memory_mb),
            last_fence=listing.fence,
            replicas=tuple(map(_to_listed_replica, listing.replicas)),
            checkpoints=tuple(
                ListedCheckpoint(copy.model, copy.version, Tier(copy.tier))
                for copy in listing.checkpoints
            ),
        )

    async def order(self, order: EngineOrder) -> OrderAnswer:
        """Send an order; the answer is ``LOST`` when none was received."""
        order_id = f'{self._order_prefix}/{order.fence}'
        sent = await self._client.send_order(
            _to_engine_order(order_id, order), ORDER_TIMEOUT_MS
        )
        match sent:
            case engine_orders.OrderAccepted():
                return OrderAnswer(order.fence, Answer.ACCEPTED)
            case engine_orders.OrderRefused(kind=kind, reason=reason):
                answer = _ANSWERS_BY_REFUSAL.get(kind, Answer.FAILED)
                return OrderAnswer(order.fence, answer, reason)
        return OrderAnswer(order.fence, Answer.LOST, sent.reason)

    async def generate(
        self,
        start: StartGeneration,
        from_token: int,
    ) -> AsyncGenerator[EngineEvent, None]:
        """Stream an answer, starting at a token."""
        stream = self._client.generate(
            _to_generate_request(start, from_token),
            FIRST_CHUNK_TIMEOUT_MS,
            PROGRESS_TIMEOUT_MS,
        )
        async with contextlib.aclosing(stream):
            async for event in stream:
                yield _to_engine_event(event)

    async def cancel(self, attempt: AttemptId) -> None:
        """Stop the generation of an attempt."""
        await self._client.cancel(_request_id(attempt))


def _request_id(attempt: AttemptId) -> str:
    return f'{attempt.request_id}/{attempt.attempt}'


def _to_listed_replica(listed: engine_listing.ListedReplica) -> ListedReplica:
    return ListedReplica(
        model=listed.model,
        version=listed.version,
        state=EngineState(listed.state),
        memory_mb=int(listed.memory_mb),
        adapters=tuple(
            ListedAdapter(
                adapter.name,
                adapter.version,
                state=EngineState(adapter.state),
            )
            for adapter in listed.adapters
        ),
    )


def _to_engine_order(order_id: str, order: EngineOrder) -> engine_orders.Order:
    match order:
        case OrderLoad(fence=fence, replica=key):
            return engine_orders.Order(
                order_id,
                fence,
                'load',
                key.model,
                key.version,
                checkpoint=order.checkpoint,
                memory_mb=order.memory_mb,
            )
        case OrderUnload(fence=fence, replica=key):
            return engine_orders.Order(
                order_id, fence, 'unload', key.model, key.version
            )
        case OrderAdapterLoad():
            return _to_adapter_order(order_id, order, 'load_adapter')
        case OrderAdapterUnload():
            return _to_adapter_order(order_id, order, 'unload_adapter')


def _to_adapter_order(
    order_id: str,
    order: OrderAdapterLoad | OrderAdapterUnload,
    kind: engine_orders.OrderKind,
) -> engine_orders.Order:
    is_load = isinstance(order, OrderAdapterLoad)
    return engine_orders.Order(
        order_id,
        order.fence,
        kind,
        order.adapter.replica.model,
        order.adapter.replica.version,
        checkpoint=order.checkpoint if is_load else '',
        memory_mb=order.memory_mb if is_load else 0,
        adapter=order.adapter.adapter,
        adapter_version=order.adapter.version,
    )


def _to_generate_request(
    start: StartGeneration,
    from_token: int,
) -> engine_streams.GenerateRequest:
    generation = start.request.generation
    return engine_streams.GenerateRequest(
        request_id=_request_id(start.request.attempt),
        model=start.replica.model,
        version=start.replica.version,
        prompt=generation.prompt,
        max_tokens=generation.max_tokens,
        adapter=generation.adapter,
        adapter_version=start.adapter_version,
        priority=start.request.priority,
        from_token=from_token,
        seed=generation.seed,
    )


def _to_engine_event(event: engine_streams.GenerationEvent) -> EngineEvent:
    match event:
        case engine_streams.Chunk():
            return Tokens(event.index, event.text, event.tokens)
        case engine_streams.Finished():
            usage = Usage(event.prompt_tokens, event.completion_tokens)
            return Finished(event.finish_reason, usage)
        case engine_streams.GenerationFailed():
            return StreamFailed(event.reason, event.kind in _NOT_RUN_FAILURES)
