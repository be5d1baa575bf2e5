"""Adds up the time that ready replicas hold no running request."""

import asyncio
import time

from standins.engine.generation import Batch
from standins.engine.memory import Memory
from standins.engine.messages import State
from standins.lagged import MS_PER_S

SAMPLE_INTERVAL_S = 0.05


class IdleMeter:
    """Samples the replicas of an engine.

    :param memory: what the engine holds.
    :param batch: what it runs.
    """

    def __init__(self, memory: Memory, batch: Batch) -> None:
        self.idle_replica_ms: float = 0
        self._memory = memory
        self._batch = batch
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Sample in the background, once."""
        if self._task is None:
            self._task = asyncio.create_task(self._sample())

    async def _sample(self) -> None:
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now_s = time.monotonic()
            elapsed_ms = (now_s - last_s) * MS_PER_S
            last_s = now_s
            self.idle_replica_ms += elapsed_ms * self._idle_replicas()

    def _idle_replicas(self) -> int:
        busy = {
            (sequence.body.model, sequence.body.version)
            for sequence in self._batch.open_sequences()
        }
        return sum(
            replica.state is State.READY and key not in busy
            for key, replica in self._memory.replicas.items()
        )
