"""Predicts how long attempts wait on one runner."""

import dataclasses

from lagoonflow.calls.messages import AttemptId
from lagoonflow.runners.messages import ReplicaKey
from lagoonflow.runners.queue import EntryPredicate, QueueEntry, RunQueue
from lagoonflow.runners.replica import AdapterSlot, ReplicaState
from lagoonflow.runners.replicas import Replicas

# Token limit of the hypothetical request that ``probe_wait_ms`` is about.
_PROBE_MAX_TOKENS = 128


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """One attempt that runs on the engine.

    :param slot: its adapter; ``None`` when it uses none.
    """

    entry: QueueEntry
    replica: ReplicaState
    slot: AdapterSlot | None
    started_at_ms: int


class WaitPredictor:
    """Predicts waits from queued and running attempts and from replicas."""

    def __init__(
        self,
        queue: RunQueue,
        running: dict[AttemptId, RunningAttempt],
        replicas: Replicas,
        max_running: int,
    ) -> None:
        self._queue = queue
        self._running = running
        self._replicas = replicas
        self._predictor = replicas.predictor
        self._max_running = max_running

    def wait_ms(
        self, now_ms: int, entry: QueueEntry, ready_in_ms: int
    ) -> float:
        """Predict the time until a queue entry starts.

        :param ready_in_ms: time until its replica is ready.
        """
        starts_before = self._startable_by(now_ms, ready_in_ms)
        work_ahead_ms = self._queue.work_ahead_ms(entry, starts_before)
        if not work_ahead_ms and len(self._running) < self._max_running:
            return ready_in_ms
        work_ms = work_ahead_ms + self._running_work_ms(now_ms)
        return max(ready_in_ms, work_ms / self._max_running)

    def probe_wait_ms(self, now_ms: int, model: str) -> float:
        """Predict the wait of one more request for a model that is loaded.

        Queued attempts of models that are not loaded yet don't count.
        """
        service_ms = self._predictor.service_ms(model, _PROBE_MAX_TOKENS)
        ready: dict[str, bool] = {}
        waiting_ms = float(0)
        for entry in self._queue:
            name = entry.target.model
            if name not in ready:
                ready[name] = self._replicas.find_serving(name) is not None
            waiting_ms += entry.service_ms if ready[name] else 0
        if not waiting_ms and len(self._running) < self._max_running:
            return 0
        work_ms = waiting_ms + self._running_work_ms(now_ms) + service_ms
        return work_ms / self._max_running

    def late_by_ms(
        self, now_ms: int, entry: QueueEntry, ready_in_ms: int
    ) -> int:
        """Predict by how much an entry misses its deadline; 0 if it doesn't.

        :param ready_in_ms: time until its replica is ready.
        """
        first_ms = self._predictor.first_token_ms(entry.target.model)
        wait_ms = self.wait_ms(now_ms, entry, ready_in_ms)
        return max(0, round(now_ms + wait_ms + first_ms - entry.deadline_ms))

    def drain_ms(self, now_ms: int, key: ReplicaKey) -> float:
        """Predict the time until a replica has no attempts left."""
        left_ms = [
            running.entry.service_ms - (now_ms - running.started_at_ms)
            for running in self._running.values()
            if running.replica.key == key
        ]
        queued_ms = sum(
            entry.service_ms
            for entry in self._queue
            if entry.target.model == key.model
        )
        if not left_ms and not queued_ms:
            return 0
        return max(1, *left_ms, 0) + queued_ms / self._max_running

    def _startable_by(self, now_ms: int, ready_in_ms: int) -> EntryPredicate:
        """Build a test for entries that may start before a replica is ready.

        Entries whose model has no replica count, too.

        :param ready_in_ms: time until that replica is ready.
        """
        startable: dict[str, bool] = {}

        def is_counted(entry: QueueEntry) -> bool:
            model = entry.target.model
            if model not in startable:
                replica = self._replicas.find_accepting(model)
                startable[model] = replica is None or (
                    self._replicas.ready_in_ms(now_ms, replica) <= ready_in_ms
                )
            return startable[model]

        return is_counted

    def _running_work_ms(self, now_ms: int) -> float:
        return sum(
            max(
                0,
                running.entry.service_ms - (now_ms - running.started_at_ms),
            )
            for running in self._running.values()
        )
