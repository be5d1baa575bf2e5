"""Starts the stand-ins of one run and watches the engines."""

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
    """Spread checkpoints unevenly over the engines' memory and disks."""
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
    """Return the flags of the weight store."""
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
    """Return the flags of one engine."""
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
class Watch:
    """What the engines hold, as of the last poll."""

    ready: set[str] = dataclasses.field(default_factory=set)


class EngineWatcher:
    """Polls the listings of all engines."""

    def __init__(self, addresses: list[str]) -> None:
        self.watch = Watch()
        self._clients = [HttpClient(address) for address in addresses]

    def is_ready(self, model: str, adapter: str) -> bool:
        """Tell whether some runner held the target at the last poll."""
        target = f'{model}/{adapter}' if adapter else model
        return target in self.watch.ready

    @contextlib.asynccontextmanager
    async def polling(self) -> AsyncIterator[None]:
        """Poll while the context lasts."""
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
            self.watch.ready = _ready_targets(listings)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _get(self, client: HttpClient, path: str) -> dict:
        answer = await client.call(HttpRequest('GET', path))
        if isinstance(answer, HttpAnswer):
            return msgspec.json.decode(answer.body)
        return {}


def _ready_targets(listings: list[dict]) -> set[str]:
    found = set()
    for listing in listings:
        for replica in listing.get('replicas', ()):
            if replica['state'] != 'ready':
                continue
            found.add(replica['model'])
            found.update(
                f'{replica["model"]}/{adapter["name"]}'
                for adapter in replica['adapters']
                if adapter['state'] == 'ready'
            )
    return found
