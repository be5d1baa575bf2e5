"""Loads replicas, for as long as their checkpoint tier takes, and adapters."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from standins.engine.memory import Adapter, Memory, Replica, ReplicaKey
from standins.engine.messages import EngineFaults, Order, State
from standins.engine.settings import EngineSettings
from standins.faults import FaultSwitch

ADAPTERS_AT_FULL_SPEED = 30
FETCH_TIMEOUT_S = 600
STORE_TIMEOUTS = Timeouts(
    sock_read=FETCH_TIMEOUT_S,
    request_timeout=FETCH_TIMEOUT_S,
)


class Loader:
    """Runs loads in the background.

    :param settings: settings of the engine.
    :param memory: the replicas of the engine.
    :param switch: the current faults.
    :ivar checkpoints: tier of each local checkpoint, `memory` or `disk`.
    :ivar loads: number of started loads by model.
    """

    def __init__(
        self,
        settings: EngineSettings,
        memory: Memory,
        switch: FaultSwitch[EngineFaults],
    ) -> None:
        self.checkpoints = dict(settings.local_checkpoints or {})
        self.loads: Counter[str] = Counter()
        self._settings = settings
        self._memory = memory
        self._switch = switch
        self._tasks: dict[ReplicaKey, asyncio.Task[None]] = {}
        self._adapter_tasks: set[asyncio.Task[None]] = set()
        self._client: aiosonic.HTTPClient | None = None

    def start_replica(self, order: Order, replica: Replica) -> None:
        """Start to load a replica."""
        key = (order.model, order.version)
        self.loads[order.model] += 1
        self._tasks[key] = asyncio.create_task(self._load(order, replica))

    def stop_replica(self, order: Order) -> None:
        """Cancel the load of a replica if it is in progress."""
        task = self._tasks.pop((order.model, order.version), None)
        if task is not None:
            task.cancel()

    def start_adapter(self, adapter: Adapter) -> None:
        """Start to load an adapter."""
        task = asyncio.create_task(self._load_adapter(adapter))
        self._adapter_tasks.add(task)
        task.add_done_callback(self._adapter_tasks.discard)

    def show_checkpoints(self) -> list[dict[str, str]]:
        """Return the local checkpoints as the listing shows them."""
        return [
            {'model': model, 'version': version, 'tier': tier}
            for (model, version), tier in self.checkpoints.items()
        ]

    async def _load(self, order: Order, replica: Replica) -> None:
        is_loaded = await self._read_weights(order)
        if self._switch.use_one('fail_loads') or not is_loaded:
            replica.state = State.FAILED
            replica.memory_mb = 0
            return
        replica.state = State.READY

    async def _load_adapter(self, adapter: Adapter) -> None:
        in_flight = len(self._adapter_tasks)
        factor = max(1, in_flight / ADAPTERS_AT_FULL_SPEED)
        await self._settings.sleep(self._settings.adapter_load_ms * factor)
        adapter.state = State.READY

    async def _read_weights(self, order: Order) -> bool:
        key = (order.model, order.version)
        if self.checkpoints.get(key) == 'memory':
            await self._settings.sleep(self._settings.memory_load_ms)
            return True
        if key not in self.checkpoints:
            if not await self._fetch(order):
                return False
            self.checkpoints[key] = 'disk'
        await self._settings.sleep(self._settings.disk_load_ms)
        return True

    async def _fetch(self, order: Order) -> bool:
        """Fetch a checkpoint from the weight store; return whether it worked."""
        if not self._settings.store:
            return False
        body = {
            'checkpoint': order.checkpoint,
            'size_mb': order.memory_mb,
            'caller': self._settings.name,
        }
        return await self._post(f'{self._settings.store}/fetch', body)

    async def _post(self, url: str, body: dict[str, Any]) -> bool:
        if self._client is None:
            self._client = aiosonic.HTTPClient()
        request: Coroutine[Any, Any, Any] = self._client.post(
            url,
            headers={'Content-Type': 'application/json'},
            data=msgspec.json.encode(body),
            timeouts=STORE_TIMEOUTS,
        )
        try:
            response = await request
        except (OSError, AiosonicError):
            return False
        return response.ok
