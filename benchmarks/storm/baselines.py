"""Baseline routers: each decides by itself which runner loads a model.

Both baselines talk to the engines directly, with first-in first-out
queues at the engines and a fixed 1/N split of every organisation's rate.
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
    """How a baseline router chooses a runner."""

    RANDOM = 'random'
    LEAST_LOADED = 'least-loaded'


class SplitBucket:
    """A router's fixed part of an organisation's rate and burst."""

    def __init__(self, organisation: Organisation, routers: int) -> None:
        self._rate_tokens_per_s = organisation.rate_tokens_per_s / routers
        self._burst_tokens = organisation.burst_tokens / routers
        self._balance_tokens = self._burst_tokens
        self._filled_s = time.monotonic()

    def take(self, cost_tokens: float) -> bool:
        """Charge a request, or refuse it."""
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * self._rate_tokens_per_s
        self._balance_tokens = min(
            self._burst_tokens, self._balance_tokens + gained
        )
        self._filled_s = now_s
        if self._balance_tokens < cost_tokens:
            return False
        self._balance_tokens -= cost_tokens
        return True

    def refund(self, tokens: float) -> None:
        """Give back what a request has not used."""
        self._balance_tokens = min(
            self._burst_tokens, self._balance_tokens + tokens
        )


@dataclasses.dataclass(slots=True)
class EngineView:
    """What a baseline router knows of one engine."""

    client: HttpClient
    listing: dict = dataclasses.field(default_factory=dict)
    reported_load: int = 0

    def replica(self, model: str) -> dict | None:
        """Return the listed replica of a model."""
        for replica in self.listing.get('replicas', ()):
            if replica['model'] == model:
                return replica
        return None

    def is_ready(self, model: str) -> bool:
        """Tell whether a replica is ready."""
        replica = self.replica(model)
        return replica is not None and replica['state'] == 'ready'


class BaselineRouter:
    """One router of a baseline."""

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
        self._engines = [EngineView(HttpClient(one)) for one in engines]
        self._buckets = {
            one.name: SplitBucket(one, deployment.routers) for one in limits
        }
        self._chosen: dict[str, EngineView] = {}
        self._used: dict[tuple[int, str], float] = {}
        self._loading: dict[tuple[int, str], asyncio.Task] = {}
        self._fences = itertools.count(1)

    async def watch(self) -> None:
        """Poll listings and the lagging load reports until cancelled."""
        while True:
            await asyncio.gather(*(self._refresh(one) for one in self._engines))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def run(self, arrival: Arrival) -> Answer:
        """Serve one request."""
        begun_s = time.monotonic()
        bucket = self._buckets[arrival.organisation]
        if not bucket.take(arrival.cost_tokens):
            return Answer(None, 0, False, 'RATE_EXCEEDED')
        deadline_s = begun_s + arrival.deadline_ms / 1000
        answer = Answer(None, 0, False, 'DEADLINE_UNREACHABLE')
        while time.monotonic() < deadline_s:
            engine = self._choose(arrival.model)
            try:
                async with asyncio.timeout(deadline_s - time.monotonic()):
                    await self._ensure(engine, arrival)
            except TimeoutError:
                self._chosen.pop(arrival.model, None)
                break
            self._used[id(engine), arrival.model] = time.monotonic()
            answer = await self._generate(engine, arrival, begun_s)
            # The replica may have been evicted by another router.
            if answer.code != 'BACKEND_FAILED':
                break
            await self._refresh(engine)
            answer = Answer(None, 0, False, 'DEADLINE_UNREACHABLE')
        used = len(arrival.prompt.encode()) // 4 + arrival.max_tokens
        bucket.refund(
            arrival.cost_tokens - (used if answer.is_whole else 0),
        )
        return answer

    def _choose(self, model: str) -> EngineView:
        """Use a known replica, else choose a runner by the policy."""
        ready = [one for one in self._engines if one.is_ready(model)]
        if ready:
            if self._policy is Policy.RANDOM:
                return self._rng.choice(ready)
            return min(ready, key=lambda one: one.reported_load)
        if model not in self._chosen:
            self._chosen[model] = self._pick()
        return self._chosen[model]

    def _pick(self) -> EngineView:
        if self._policy is Policy.RANDOM:
            return self._rng.choice(self._engines)
        least = min(one.reported_load for one in self._engines)
        return self._rng.choice(
            [one for one in self._engines if one.reported_load == least],
        )

    async def _ensure(self, engine: EngineView, arrival: Arrival) -> None:
        while not engine.is_ready(arrival.model):
            key = (id(engine), arrival.model)
            task = self._loading.get(key)
            if task is None or task.done():
                task = asyncio.create_task(self._load(engine, arrival.model))
                self._loading[key] = task
            await asyncio.shield(task)
        if arrival.adapter:
            await self._ensure_adapter(engine, arrival)

    async def _load(self, engine: EngineView, model: str) -> None:
        if engine.replica(model) is None:
            status = await self._order(engine, 'load', model)
            if status == NO_MEMORY:
                await self._evict(engine)
        await asyncio.sleep(POLL_INTERVAL_S)
        await self._refresh(engine)

    async def _ensure_adapter(
        self, engine: EngineView, arrival: Arrival
    ) -> None:
        while True:
            replica = engine.replica(arrival.model)
            adapters = replica['adapters'] if replica else ()
            state = {one['name']: one['state'] for one in adapters}.get(
                arrival.adapter,
            )
            if state == 'ready':
                return
            if state is None:
                await self._order(
                    engine, 'load_adapter', arrival.model, arrival.adapter
                )
            await asyncio.sleep(POLL_INTERVAL_S / 4)
            await self._refresh(engine)

    async def _evict(self, engine: EngineView) -> None:
        """Unload the replica that this router used longest ago."""
        await self._refresh(engine)
        replicas = [
            one['model']
            for one in engine.listing.get('replicas', ())
            if one['state'] == 'ready'
        ]
        if replicas:
            model = min(
                replicas,
                key=lambda name: self._used.get((id(engine), name), 0),
            )
            await self._order(engine, 'unload', model)

    async def _order(
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

    async def _refresh(self, engine: EngineView) -> None:
        listing = await engine.client.call(HttpRequest('GET', '/listing'))
        report = await engine.client.call(HttpRequest('GET', '/load'))
        if isinstance(listing, HttpAnswer):
            engine.listing = msgspec.json.decode(listing.body)
        if isinstance(report, HttpAnswer):
            load = msgspec.json.decode(report.body)
            engine.reported_load = load['running'] + load['queued']

    async def _generate(
        self, engine: EngineView, arrival: Arrival, begun_s: float
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
        text, first_s = await _read_lines(stream)
        expected = expected_text(
            arrival.model,
            'v1',
            arrival.adapter,
            'v1' if arrival.adapter else '',
            body['prompt'],
            arrival.max_tokens,
        )
        now_s = time.monotonic()
        first_ms = None if first_s is None else (first_s - begun_s) * 1000
        return Answer(first_ms, (now_s - begun_s) * 1000, text == expected)


async def _read_lines(stream) -> tuple[str, float | None]:
    first_s = None
    buffer = b''
    texts = []
    while True:
        piece = await stream.read(15_000)
        if not isinstance(piece, bytes) or not piece:
            break
        first_s = first_s or time.monotonic()
        buffer += piece
    await stream.aclose()
    for line in buffer.splitlines():
        texts.append(msgspec.json.decode(line).get('text', ''))
    return ''.join(texts), first_s
