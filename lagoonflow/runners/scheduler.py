"""Admits attempts to the run queue and starts them in order."""

import dataclasses
from collections.abc import Iterator

from lagoonflow.calls.messages import AttemptId, AttemptRequest
from lagoonflow.placement.messages import Target
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.adapters import Adapters
from lagoonflow.runners.messages import (
    Action,
    RefuseQueued,
    ReplicaKey,
    StartGeneration,
    StreamEnd,
)
from lagoonflow.runners.progress import Waiting
from lagoonflow.runners.queue import Entry, Predicate, RunQueue
from lagoonflow.runners.replica import AdapterSlot, ReplicaState
from lagoonflow.runners.replicas import Replicas
from lagoonflow.runners.served import ServedRatios

_PROMPT_CHARACTERS_PER_TOKEN = 4
_PROBE_MAX_TOKENS = 128


@dataclasses.dataclass(slots=True)
class Running:
    """One attempt that runs on the engine."""

    entry: Entry
    replica: ReplicaState
    slot: AdapterSlot | None
    started_at_ms: int


class Scheduler:
    """Run queue and running attempts of one runner."""

    def __init__(
        self,
        replicas: Replicas,
        adapters: Adapters,
        max_running: int,
    ) -> None:
        self.queue = RunQueue()
        self.running: dict[AttemptId, Running] = {}
        self.served = ServedRatios()
        self._replicas = replicas
        self._adapters = adapters
        self._predictor = replicas.predictor
        self._max_running = max_running

    def entry(self, now_ms: int, request: AttemptRequest) -> Entry:
        """Describe an attempt as it would wait."""
        work = request.generation
        prompt_tokens = len(work.prompt) // _PROMPT_CHARACTERS_PER_TOKEN
        cost_tokens = request.cost_tokens or prompt_tokens + work.max_tokens
        return Entry(
            request=request,
            target=Target(work.model, work.adapter),
            arrived_at_ms=now_ms,
            deadline_ms=now_ms + request.deadline_in_ms,
            cost_tokens=cost_tokens,
            service_ms=self._predictor.service_ms(
                work.model, work.max_tokens - work.from_token
            ),
        )

    def wait_ms(self, now_ms: int, entry: Entry, ready_in_ms: int) -> float:
        """Predict the time until an entry starts."""
        counts = self._counted(now_ms, ready_in_ms)
        ahead_ms = self.queue.ahead_ms(entry, counts)
        if not ahead_ms and len(self.running) < self._max_running:
            return ready_in_ms
        work_ms = ahead_ms + self._residual_ms(now_ms)
        return max(ready_in_ms, work_ms / self._max_running)

    def probe_wait_ms(self, now_ms: int, model: str) -> float:
        """Predict the wait of one more request for a model, once ready."""
        service_ms = self._predictor.service_ms(model, _PROBE_MAX_TOKENS)
        waiting_ms = sum(entry.service_ms for entry in self.queue)
        if not waiting_ms and len(self.running) < self._max_running:
            return 0
        work_ms = waiting_ms + self._residual_ms(now_ms) + service_ms
        return work_ms / self._max_running

    def late_by_ms(self, now_ms: int, entry: Entry, ready_in_ms: int) -> int:
        """Predict by how much an entry misses its deadline; 0 for none."""
        first_ms = self._predictor.first_token_ms(entry.target.model)
        wait_ms = self.wait_ms(now_ms, entry, ready_in_ms)
        return max(0, round(now_ms + wait_ms + first_ms - entry.deadline_ms))

    def dispatch(self, now_ms: int) -> Iterator[Action]:
        """Start attempts while the batch has room."""
        while len(self.running) < self._max_running:
            entry = self.queue.pop(self._can_start)
            if entry is None:
                return
            yield self._start(now_ms, entry)

    def refuse_late(self, now_ms: int) -> Iterator[Action]:
        """Refuse queued attempts that can't begin in time any more."""
        for entry in self.queue:
            replica = self._replicas.find(entry.target.model)
            replica = replica or self._replicas.serving(entry.target.model)
            if replica is None:
                yield self.refuse(entry, Result.STALE_LOCATION, 'No replica.')
                continue
            ready_in_ms = self._replicas.surely_in_ms(now_ms, replica)
            first_ms = self._predictor.first_token_ms(entry.target.model)
            if now_ms + ready_in_ms + first_ms > entry.deadline_ms:
                yield self.refuse(
                    entry,
                    Result.DEADLINE_UNREACHABLE,
                    'The answer can not begin in time.',
                    ready_in_ms,
                )

    def refuse(
        self,
        entry: Entry,
        code: Result,
        reason: str,
        retry_after_ms: int = 0,
    ) -> RefuseQueued:
        """Take an attempt out of the queue and refuse it."""
        self.queue.remove(entry.request.attempt)
        if code is not Result.STALE_LOCATION:
            self.served.learn(entry.request.organisation, is_served=False)
        refusal = Refusal(code, reason, retry_after_ms=retry_after_ms)
        return RefuseQueued(entry.request.attempt, refusal)

    def finish(self, now_ms: int, end: StreamEnd) -> Running | None:
        """Take a running attempt out and learn from it."""
        running = self.running.pop(end.attempt, None)
        if running is None:
            return None
        running.replica.running -= 1
        running.replica.last_used_ms = now_ms
        if running.slot is not None:
            running.slot.running -= 1
            running.slot.last_used_ms = now_ms
        organisation = running.entry.request.organisation
        self.served.learn(organisation, is_served=end.is_whole)
        if end.is_whole:
            self._learn(running, end)
        return running

    def waiting_for(self, model: str) -> Waiting:
        """Sum up the queued attempts of a model."""
        entries = [one for one in self.queue if one.target.model == model]
        if not entries:
            return Waiting()
        return Waiting(
            count=len(entries),
            deadline_ms=min(entry.deadline_ms for entry in entries),
            served_ratio=min(
                self.served.ratio(entry.request.organisation)
                for entry in entries
            ),
        )

    def drain_ms(self, now_ms: int, key: ReplicaKey) -> float:
        """Predict the time until a replica has nothing left to run."""
        left_ms = [
            running.entry.service_ms - (now_ms - running.started_at_ms)
            for running in self.running.values()
            if running.replica.key == key
        ]
        queued_ms = sum(
            entry.service_ms
            for entry in self.queue
            if entry.target.model == key.model
        )
        if not left_ms and not queued_ms:
            return 0
        return max(1, *left_ms, 0) + queued_ms / self._max_running

    def _learn(self, running: Running, end: StreamEnd) -> None:
        work = running.entry.request.generation
        self._predictor.learn_service(
            work.model,
            work.max_tokens - work.from_token,
            end.first_token_ms,
            end.usage.completion_tokens - work.from_token,
            end.took_ms,
        )

    def _counted(self, now_ms: int, ready_in_ms: int) -> Predicate:
        """Count the entries that can start before or with the replica."""
        soon: dict[str, bool] = {}

        def is_counted(entry: Entry) -> bool:
            model = entry.target.model
            if model not in soon:
                replica = self._replicas.find(model)
                soon[model] = replica is None or (
                    self._replicas.ready_in_ms(now_ms, replica) <= ready_in_ms
                )
            return soon[model]

        return is_counted

    def _residual_ms(self, now_ms: int) -> float:
        return sum(
            max(
                0,
                running.entry.service_ms - (now_ms - running.started_at_ms),
            )
            for running in self.running.values()
        )

    def _can_start(self, entry: Entry) -> bool:
        replica = self._replicas.serving(entry.target.model)
        if replica is None:
            return False
        if not entry.target.adapter:
            return True
        return self._adapters.find(replica, entry.target.adapter) is not None

    def _start(self, now_ms: int, entry: Entry) -> StartGeneration:
        replica = self._replicas.serving(entry.target.model)
        slot = self._adapters.find(replica, entry.target.adapter)
        replica.running += 1
        if slot is not None:
            slot.running += 1
        attempt = entry.request.attempt
        self.running[attempt] = Running(entry, replica, slot, now_ms)
        load_ms = max(0, replica.ready_at_ms - entry.arrived_at_ms)
        return StartGeneration(
            entry.request,
            replica.key,
            adapter_version=slot.key.version if slot else '',
            queue_ms=now_ms - entry.arrived_at_ms,
            load_ms=load_ms,
        )
