"""Baseline routers, each of which decides alone which engine loads a model.

The routers of both baselines send requests to the engines directly. The
engines queue them first in, first out, and each of N routers has a fixed 1/N
of the rate limit of every organisation.
"""

import asyncio
import dataclasses
import enum
import itertools
import random
import time
import uuid
from collections.abc import Sequence

import msgspec

from benchmarks.storm.arrivals import Arrival, Organisation
from benchmarks.storm.deployments import Deployment
from benchmarks.storm.load import Answer
from lagoonflow.clients.http import HttpAnswer, HttpClient, HttpRequest
from standins.tokens import expected_text

POLL_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 0.25
ACCEPTED = 202
NOT_READY = 409
NO_MEMORY = 507


class Policy(enum.StrEnum):
    """How a baseline router chooses the engine that loads a model."""

    RANDOM = 'random'
    LEAST_LOADED = 'least-loaded'


class FixedShareBucket:
    """Token bucket with a router's fixed part of an organisation's limits."""

    def __init__(self, organisation: Organisation, routers: int) -> None:
        self._rate_tokens_per_s = organisation.rate_tokens_per_s / routers
        self._burst_tokens = organisation.burst_tokens / routers
        self._balance_tokens = self._burst_tokens
        self._refilled_s = time.monotonic()

    def try_charge(self, cost_tokens: float) -> bool:
        """Charge a request; return False if the balance is too low."""
        now_s = time.monotonic()
        refill_tokens = (now_s - self._refilled_s) * self._rate_tokens_per_s
        self._balance_tokens = min(
            self._burst_tokens, self._balance_tokens + refill_tokens
        )
        self._refilled_s = now_s
        if self._balance_tokens < cost_tokens:
            return False
        self._balance_tokens -= cost_tokens
        return True

    def refund(self, tokens: float) -> None:
        """Return the tokens that a request was charged but has not used."""
        self._balance_tokens = min(
            self._burst_tokens, self._balance_tokens + tokens
        )


@dataclasses.dataclass(slots=True)
class EngineView:
    """What a baseline router knows of one engine from its last poll.

    :param reported_load: running and queued requests.
    """

    client: HttpClient
    listing: dict = dataclasses.field(default_factory=dict)
    reported_load: int = 0

    def replica(self, model: str) -> dict | None:
        """Return the listed replica of a model; None if there is none."""
        for replica in self.listing.get('replicas', ()):
            if replica['model'] == model:
                return replica
        return None

    def is_ready(self, model: str) -> bool:
        """Tell whether a replica of a model is ready."""
        replica = self.replica(model)
        return replica is not None and replica['state'] == 'ready'


class BaselineRouter:
    """One router of a baseline.

    :param engines: addresses of the engines.
    :param limits: organisations with their limits for the whole fleet.
    """

    def __init__(
        self,
        policy: Policy,
        deployment: Deployment,
        engines: Sequence[str],
        limits: Sequence[Organisation],
        seed: int,
    ) -> None:
        self._policy = policy
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._engines = [EngineView(HttpClient(address)) for address in engines]
        self._buckets = {
            organisation.name: FixedShareBucket(
                organisation, deployment.routers
            )
            for organisation in limits
        }
        self._chosen_engines: dict[str, EngineView] = {}
        self._last_used_s: dict[tuple[int, str], float] = {}
        self._load_tasks: dict[tuple[int, str], asyncio.Task] = {}
        self._fences = itertools.count(1)

    async def poll_engines(self) -> None:
        """Poll listings and loads of all engines until cancelled.

        So the router chooses by loads that are up to about one interval old.
        """
        while True:
            await asyncio.gather(
                *(self._refresh_view(engine) for engine in self._engines)
            )
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def serve(self, arrival: Arrival) -> Answer:
        """Serve one request: charge it, load what it needs and generate."""
        started_s = time.monotonic()
        bucket = self._buckets[arrival.organisation]
        if not bucket.try_charge(arrival.cost_tokens):
            return Answer(None, 0, False, 'RATE_EXCEEDED')
        deadline_s = started_s + arrival.deadline_ms / 1000
        answer = Answer(None, 0, False, 'DEADLINE_UNREACHABLE')
        while time.monotonic() < deadline_s:
            engine = self._choose_engine(arrival.model)
            try:
                async with asyncio.timeout(deadline_s - time.monotonic()):
                    await self._ensure_loaded(engine, arrival)
            except TimeoutError:
                self._chosen_engines.pop(arrival.model, None)
                break
            self._last_used_s[id(engine), arrival.model] = time.monotonic()
            answer = await self._generate(engine, arrival, started_s)
            # The replica may have been evicted by another router.
            if answer.code != 'BACKEND_FAILED':
                break
            await self._refresh_view(engine)
            answer = Answer(None, 0, False, 'DEADLINE_UNREACHABLE')
        used_tokens = len(arrival.prompt.encode()) // 4 + arrival.max_tokens
        bucket.refund(
            arrival.cost_tokens - (used_tokens if answer.is_complete else 0),
        )
        return answer

    def _choose_engine(self, model: str) -> EngineView:
        """Return an engine with a ready replica, else one to load the model."""
        ready_engines = [
            engine for engine in self._engines if engine.is_ready(model)
        ]
        if ready_engines:
            if self._policy is Policy.RANDOM:
                return self._rng.choice(ready_engines)
            return min(ready_engines, key=lambda engine: engine.reported_load)
        if model not in self._chosen_engines:
            self._chosen_engines[model] = self._pick_engine()
        return self._chosen_engines[model]

    def _pick_engine(self) -> EngineView:
        if self._policy is Policy.RANDOM:
            return self._rng.choice(self._engines)
        least_load = min(engine.reported_load for engine in self._engines)
        return self._rng.choice(
            [
                engine
                for engine in self._engines
                if engine.reported_load == least_load
            ],
        )

    async def _ensure_loaded(
        self, engine: EngineView, arrival: Arrival
    ) -> None:
        while not engine.is_ready(arrival.model):
            key = (id(engine), arrival.model)
            task = self._load_tasks.get(key)
            if task is None or task.done():
                task = asyncio.create_task(
                    self._load_model(engine, arrival.model)
                )
                self._load_tasks[key] = task
            await asyncio.shield(task)
        if arrival.adapter:
            await self._ensure_adapter_loaded(engine, arrival)

    async def _load_model(self, engine: EngineView, model: str) -> None:
        if engine.replica(model) is None:
            status = await self._send_order(engine, 'load', model)
            if status == NO_MEMORY:
                await self._evict(engine)
        await asyncio.sleep(POLL_INTERVAL_S)
        await self._refresh_view(engine)

    async def _ensure_adapter_loaded(
        self, engine: EngineView, arrival: Arrival
    ) -> None:
        while True:
            replica = engine.replica(arrival.model)
            adapters = replica['adapters'] if replica else ()
            adapter_state = {
                item['name']: item['state'] for item in adapters
            }.get(
                arrival.adapter,
            )
            if adapter_state == 'ready':
                return
            if adapter_state is None:
                await self._send_order(
                    engine, 'load_adapter', arrival.model, arrival.adapter
                )
            await asyncio.sleep(POLL_INTERVAL_S / 4)
            await self._refresh_view(engine)

    async def _evict(self, engine: EngineView) -> None:
        """Unload the ready replica least recently used by this router."""
        await self._refresh_view(engine)
        ready_models = [
            replica['model']
            for replica in engine.listing.get('replicas', ())
            if replica['state'] == 'ready'
        ]
        if ready_models:
            model = min(
                ready_models,
                key=lambda name: self._last_used_s.get((id(engine), name), 0),
            )
            await self._send_order(engine, 'unload', model)

    async def _send_order(
        self, engine: EngineView, kind: str, model: str, adapter: str = ''
    ) -> int:
        memory_mb = self._deployment.model_memory_mb
        if adapter:
            memory_mb = self._deployment.adapter_memory_mb
        order = {
            'order_id': uuid.uuid4().hex,
            'fence': next(self._fences),
            'kind': kind,
            'model': model,
            'version': 'v1',
            'checkpoint': f'{model}-v1',
            'memory_mb': memory_mb,
            'adapter': adapter,
            'adapter_version': 'v1' if adapter else '',
        }
        answer = await engine.client.call(
            HttpRequest(
                'POST',
                '/orders',
                (('content-type', 'application/json'),),
                msgspec.json.encode(order),
            ),
        )
        return answer.status if isinstance(answer, HttpAnswer) else 0

    async def _refresh_view(self, engine: EngineView) -> None:
        listing = await engine.client.call(HttpRequest('GET', '/listing'))
        report = await engine.client.call(HttpRequest('GET', '/load'))
        if isinstance(listing, HttpAnswer):
            engine.listing = msgspec.json.decode(listing.body)
        if isinstance(report, HttpAnswer):
            load = msgspec.json.decode(report.body)
            engine.reported_load = load['running'] + load['queued']

    async def _generate(
        self, engine: EngineView, arrival: Arrival, started_s: float
    ) -> Answer:
        body = {
            'request_id': uuid.uuid4().hex,
            'model': arrival.model,
            'version': 'v1',
            'adapter': arrival.adapter,
            'adapter_version': 'v1' if arrival.adapter else '',
            'prompt': f'user: {arrival.prompt}',
            'max_tokens': arrival.max_tokens,
            'priority': 0,
            'from_token': 0,
            'seed': 0,
        }
        stream = await engine.client.open(
            HttpRequest(
                'POST',
                '/generate',
                (('content-type', 'application/json'),),
                msgspec.json.encode(body),
                timeout_ms=arrival.deadline_ms,
            ),
        )
        if not hasattr(stream, 'read'):
            return Answer(None, 0, False, 'BACKEND_UNREACHABLE')
        if stream.status != 200:
            await stream.aclose()
            return Answer(None, 0, False, 'BACKEND_FAILED')
        text, first_chunk_s = await _read_stream(stream)
        expected = expected_text(
            arrival.model,
            'v1',
            arrival.adapter,
            'v1' if arrival.adapter else '',
            body['prompt'],
            arrival.max_tokens,
        )
        now_s = time.monotonic()
        first_ms = (
            None
            if first_chunk_s is None
            else (first_chunk_s - started_s) * 1000
        )
        return Answer(first_ms, (now_s - started_s) * 1000, text == expected)


async def _read_stream(stream) -> tuple[str, float | None]:
    first_chunk_s = None
    buffer = b''
    texts = []
    while True:
        chunk = await stream.read(15_000)
        if not isinstance(chunk, bytes) or not chunk:
            break
        first_chunk_s = first_chunk_s or time.monotonic()
        buffer += chunk
    await stream.aclose()
    for line in buffer.splitlines():
        texts.append(msgspec.json.decode(line).get('text', ''))
    return ''.join(texts), first_chunk_s
