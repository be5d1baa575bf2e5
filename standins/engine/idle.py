"""Measures how long ready replicas have no request, in total."""

import asyncio
import time

from standins.engine.generation import Batch
from standins.engine.memory import Memory
from standins.engine.messages import State
from standins.lagged import MS_PER_S

SAMPLE_INTERVAL_S = 0.05


class IdleMeter:
    """Samples how many replicas of an engine are idle.

    :param memory: the replicas of the engine.
    :param batch: its running and queued sequences.
    :ivar idle_replica_ms: idle time summed over all replicas, in ms.
    """

    def __init__(self, memory: Memory, batch: Batch) -> None:
        self.idle_replica_ms: float = 0
        self._memory = memory
        self._batch = batch
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to sample in the background; later calls have no effect."""
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
