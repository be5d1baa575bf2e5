"""Flags of the weight store and the engines, and a watcher of the engines."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

import msgspec

from benchmarks.storm.deployments import Deployment
from lagoonflow.clients.http import HttpAnswer, HttpClient, HttpRequest

POLL_INTERVAL_S = 0.1
DISK_SHARE = 0.25
MEMORY_SHARE = 0.05


def local_checkpoints(deployment: Deployment, seed: int) -> list[str]:
    """Draw the local checkpoints of each engine, as values of its flag.

    Each checkpoint is in host memory, on disk or not there, at random.
    """
    rng = random.Random(seed)
    flags = []
    for _ in range(deployment.engines):
        items = []
        for number in range(deployment.models):
            drawn = rng.random()
            if drawn < MEMORY_SHARE:
                items.append(f'model-{number}@v1:memory')
            elif drawn < MEMORY_SHARE + DISK_SHARE:
                items.append(f'model-{number}@v1:disk')
        flags.append(','.join(items))
    return flags


def store_flags(deployment: Deployment) -> list[str]:
    """Return the command line flags of the weight store."""
    return [
        '--loads-per-s',
        str(deployment.store_loads_per_s),
        '--parallel',
        str(deployment.store_parallel),
        '--fetch-ms',
        str(deployment.fetch_ms),
    ]


def engine_flags(
    deployment: Deployment,
    checkpoints: str,
    store_url: str,
    fencing: str,
) -> list[str]:
    """Return the command line flags of one engine.

    :param checkpoints: its local checkpoints, comma-separated.
    :param fencing: whether it checks fencing tokens (on or off).
    """
    return [
        '--memory-mb',
        str(deployment.engine_memory_mb),
        '--store',
        store_url,
        '--local-checkpoints',
        checkpoints,
        '--fencing',
        fencing,
        '--tokens-per-s',
        str(deployment.tokens_per_s),
        '--batch-size',
        str(deployment.batch_size),
        '--max-running',
        str(deployment.batch_size),
        '--disk-load-ms',
        str(deployment.disk_load_ms),
        '--memory-load-ms',
        str(deployment.memory_load_ms),
    ]


@dataclasses.dataclass(slots=True)
class EngineSnapshot:
    """Models and adapters that were ready on any engine at the last poll.

    :param ready_targets: names of models, and MODEL/ADAPTER for adapters.
    """

    ready_targets: set[str] = dataclasses.field(default_factory=set)


class EngineWatcher:
    """Polls the engines for the models and adapters that are ready."""

    def __init__(self, addresses: list[str]) -> None:
        self.snapshot = EngineSnapshot()
        self._clients = [HttpClient(address) for address in addresses]

    def is_ready(self, model: str, adapter: str) -> bool:
        """Tell whether any engine had the target ready at the last poll."""
        target = f'{model}/{adapter}' if adapter else model
        return target in self.snapshot.ready_targets

    @contextlib.asynccontextmanager
    async def polling(self) -> AsyncIterator[None]:
        """Poll the engines in the background until the context ends."""
        task = asyncio.create_task(self._poll())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def counts(self) -> list[dict]:
        """Return the counters of all engines."""
        return await asyncio.gather(
            *(self._get(client, '/counts') for client in self._clients),
        )

    async def _poll(self) -> None:
        while True:
            listings = await asyncio.gather(
                *(self._get(client, '/listing') for client in self._clients),
            )
            self.snapshot.ready_targets = _ready_targets(listings)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _get(self, client: HttpClient, path: str) -> dict:
        answer = await client.call(HttpRequest('GET', path))
        if isinstance(answer, HttpAnswer):
            return msgspec.json.decode(answer.body)
        return {}


def _ready_targets(listings: list[dict]) -> set[str]:
    targets = set()
    for listing in listings:
        for replica in listing.get('replicas', ()):
            if replica['state'] != 'ready':
                continue
            targets.add(replica['model'])
            targets.update(
                f'{replica["model"]}/{adapter["name"]}'
                for adapter in replica['adapters']
                if adapter['state'] == 'ready'
            )
    return targets
