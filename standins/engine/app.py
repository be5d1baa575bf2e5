"""HTTP interface of the model engine."""

import asyncio
import contextlib
import uuid
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route
from starlette.types import ASGIApp

from standins.engine.cache import PrefixCache
from standins.engine.generation import Batch, Sequence, show_load
from standins.engine.idle import IdleMeter
from standins.engine.loading import Loader
from standins.engine.memory import Memory
from standins.engine.messages import (
    CancelBody,
    EngineFaults,
    GenerateBody,
    Order,
    OrderRefused,
)
from standins.engine.orders import OrderExecutor
from standins.engine.settings import EngineSettings
from standins.faults import FaultSwitch
from standins.lagged import MS_PER_S
from standins.middleware import close_without_answer, never_answer, reply
from standins.serving import build_app, read_body

STREAM_TYPE = 'application/x-ndjson'


class Engine:
    """Connects the components of the engine and answers requests.

    :param settings: settings of the engine.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._epoch = uuid.uuid4().hex
        self._switch = FaultSwitch(EngineFaults())
        self._switch.on_change = self._apply_faults
        self._memory = Memory(settings.memory_mb)
        self._loader = Loader(settings, self._memory, self._switch)
        self._orders = OrderExecutor(
            settings.fencing, self._memory, self._loader
        )
        self._cache = PrefixCache(settings.cache_blocks, settings.report_lag_ms)
        self._batch = Batch(settings, self._cache)
        self._idle = IdleMeter(self._memory, self._batch)
        self._executions: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._late_orders: set[asyncio.Task[None]] = set()

    def app(self) -> ASGIApp:
        """Return the ASGI application."""
        routes = [
            Route('/orders', self._receive_order, methods=['POST']),
            Route('/listing', self._show_listing, methods=['GET']),
            Route('/load', self._show_load, methods=['GET']),
            Route('/generate', self._generate, methods=['POST']),
            Route('/cancel', self._cancel, methods=['POST']),
            Route('/cache-events', self._show_events, methods=['GET']),
        ]
        return build_app(routes, self._switch, self._show_counts)

    async def _receive_order(self, request: Request) -> Response:
        self._idle.start()
        order = await read_body(request, Order)
        faults = self._switch.current
        if faults.refuse_orders:
            return reply({'error': 'orders refused'}, 423)
        if faults.late_order_ms:
            self._apply_after(order, faults.late_order_ms / MS_PER_S)
            return await never_answer(request)
        await asyncio.sleep(faults.order_delay_ms / MS_PER_S)
        try:
            self._apply(order)
        except OrderRefused as refused:
            return reply({'error': refused.reason}, refused.status)
        if self._switch.use_one('lose_order_answers'):
            return await close_without_answer(request)
        return reply({'order_id': order.order_id, 'state': 'accepted'}, 202)

    def _apply_after(self, order: Order, delay_s: float) -> None:
        task = asyncio.create_task(self._apply_late(order, delay_s))
        self._late_orders.add(task)
        task.add_done_callback(self._late_orders.discard)

    async def _apply_late(self, order: Order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            self._apply(order)
        except OrderRefused:
            return

    def _apply(self, order: Order) -> None:
        try:
            self._orders.apply(order)
        except OrderRefused as refused:
            self._refusals[refused.reason] += 1
            raise
        if order.kind == 'unload':
            self._batch.cancel_replica(order.model, order.version)
        elif order.kind == 'unload_adapter':
            adapter = (order.adapter, order.adapter_version)
            self._batch.cancel_replica(order.model, order.version, adapter)

    async def _show_listing(self, request: Request) -> Response:
        replicas = [one.show() for one in self._memory.replicas.values()]
        listing = {
            'epoch': self._epoch,
            'memory_mb': self._memory.memory_mb,
            'replicas': replicas,
            'checkpoints': self._loader.show_checkpoints(),
            'fence': self._orders.highest_fence,
        }
        return reply(listing)

    async def _show_load(self, request: Request) -> Response:
        lag_ms = self._settings.report_lag_ms
        return reply(show_load(self._batch.report, lag_ms))

    async def _generate(self, request: Request) -> Response:
        body = await read_body(request, GenerateBody)
        if self._switch.use_one('generate_error'):
            return reply({'error': 'internal error'}, 500)
        adapter = (body.adapter, body.adapter_version)
        if not self._memory.is_ready(body.model, body.version, *adapter):
            return reply({'error': 'replica not ready'}, 409)
        self._executions[body.request_id] += 1
        lines = self._stream(Sequence(body))
        return StreamingResponse(lines, media_type=STREAM_TYPE)

    async def _stream(self, sequence: Sequence) -> AsyncIterator[bytes]:
        async with contextlib.aclosing(self._batch.run(sequence)) as lines:
            async for line in lines:
                if sequence.is_stalled:
                    await asyncio.Event().wait()
                yield b'%b\n' % msgspec.json.encode(line)

    async def _cancel(self, request: Request) -> Response:
        body = await read_body(request, CancelBody)
        return reply({'cancelled': self._batch.cancel(body.request_id)})

    async def _show_events(self, request: Request) -> Response:
        after = request.query_params.get('after', '0')
        if not after.isdecimal():
            return reply({'error': 'after is not a number'}, 400)
        return reply(self._cache.events(int(after)))

    def _apply_faults(self) -> None:
        if self._switch.use_flag('freeze_streams'):
            for sequence in self._batch.open_sequences():
                sequence.is_stalled = True

    def _show_counts(self) -> dict[str, Any]:
        return {
            'executions': dict(self._executions),
            'idle_replica_ms': self._idle.idle_replica_ms,
            'loads': dict(self._loader.loads),
            'most_replicas': dict(self._memory.most_replicas),
            'repeated_loads': self._memory.repeated_loads,
            'overcommit_attempts': self._memory.overcommit_attempts,
            'orders_refused': dict(self._refusals),
            'orders': self._orders.show(),
        }
