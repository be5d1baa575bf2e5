"""Queues the attempts of a runner and starts them in order."""

from collections.abc import Iterator

from lagoonflow.calls.messages import AttemptId, AttemptRequest
from lagoonflow.placement.messages import Target
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.adapters import Adapters
from lagoonflow.runners.messages import (
    Action,
    RefuseQueued,
    StartGeneration,
    StreamEnd,
)
from lagoonflow.runners.queue import QueueEntry, RunQueue
from lagoonflow.runners.replica_orders import WaitingSummary
from lagoonflow.runners.replicas import Replicas
from lagoonflow.runners.served_ratios import ServedRatios
from lagoonflow.runners.wait_predictor import RunningAttempt, WaitPredictor

_PROMPT_CHARACTERS_PER_TOKEN = 4


class Scheduler:
    """Run queue and running attempts of one runner.

    :param max_running: most attempts that run at once on the engine.
    :ivar served_ratios: share of served requests by organisation.
    """

    def __init__(
        self,
        replicas: Replicas,
        adapters: Adapters,
        max_running: int,
    ) -> None:
        self.queue = RunQueue()
        self.running: dict[AttemptId, RunningAttempt] = {}
        self.served_ratios = ServedRatios()
        self._replicas = replicas
        self._adapters = adapters
        self._predictor = replicas.predictor
        self._max_running = max_running
        self.wait_predictor = WaitPredictor(
            self.queue, self.running, replicas, max_running
        )

    def make_entry(self, now_ms: int, request: AttemptRequest) -> QueueEntry:
        """Build the queue entry of an attempt.

        It costs the tokens that the request states, or else those of its
        prompt, at 4 characters each, and of the longest answer.
        """
        generation = request.generation
        prompt_tokens = len(generation.prompt) // _PROMPT_CHARACTERS_PER_TOKEN
        cost_tokens = (
            request.cost_tokens or prompt_tokens + generation.max_tokens
        )
        return QueueEntry(
            request=request,
            target=Target(generation.model, generation.adapter),
            arrived_at_ms=now_ms,
            deadline_ms=now_ms + request.deadline_in_ms,
            cost_tokens=cost_tokens,
            service_ms=self._predictor.service_ms(
                generation.model, generation.max_tokens - generation.from_token
            ),
        )

    def dispatch(self, now_ms: int) -> Iterator[Action]:
        """Start queued attempts while fewer than the maximum are running.

        An attempt can start once its model and adapter are loaded.
        """
        startable: dict[Target, bool] = {}

        def can_start(entry: QueueEntry) -> bool:
            if entry.target not in startable:
                startable[entry.target] = self._can_start(entry.target)
            return startable[entry.target]

        while len(self.running) < self._max_running:
            entry = self.queue.pop(can_start)
            if entry is None:
                return
            yield self._start(now_ms, entry)

    def refuse_late(self, now_ms: int) -> Iterator[Action]:
        """Refuse queued attempts whose first token can't be in time any more.

        Attempts whose model has no replica any more are refused as well.
        """
        first_token_in: dict[str, float | None] = {}
        for entry in self.queue:
            model = entry.target.model
            if model not in first_token_in:
                first_token_in[model] = self._min_first_token_in_ms(
                    now_ms, model
                )
            first_token_in_ms = first_token_in[model]
            if first_token_in_ms is None:
                yield self.refuse(
                    entry,
                    Result.STALE_LOCATION,
                    'The model has no replica on this runner.',
                )
            elif now_ms + first_token_in_ms > entry.deadline_ms:
                yield self.refuse(
                    entry,
                    Result.DEADLINE_UNREACHABLE,
                    'The answer can not begin before its deadline.',
                    round(first_token_in_ms),
                )

    def refuse(
        self,
        entry: QueueEntry,
        code: Result,
        reason: str,
        retry_after_ms: int = 0,
    ) -> RefuseQueued:
        """Remove an attempt from the queue and refuse it.

        It counts as not served for its organisation, unless another runner
        can still serve it.

        :param retry_after_ms: when a retry may succeed; 0 if unknown.
        """
        self.queue.remove(entry.request.attempt)
        if code is not Result.STALE_LOCATION:
            self.served_ratios.record(
                entry.request.organisation, is_served=False
            )
        refusal = Refusal(code, reason, retry_after_ms=retry_after_ms)
        return RefuseQueued(entry.request.attempt, refusal)

    def finish(self, now_ms: int, end: StreamEnd) -> RunningAttempt | None:
        """Remove a running attempt and record how it ended.

        :returns: ``None`` when the attempt wasn't running.
        """
        running = self.running.pop(end.attempt, None)
        if running is None:
            return None
        running.replica.running -= 1
        running.replica.last_used_ms = now_ms
        if running.slot is not None:
            running.slot.running -= 1
            running.slot.last_used_ms = now_ms
        organisation = running.entry.request.organisation
        self.served_ratios.record(organisation, is_served=end.is_complete)
        if end.is_complete:
            self._record_service_time(running, end)
        return running

    def summarise_waiting(self, model: str) -> WaitingSummary:
        """Summarise the queued attempts of a model."""
        entries = [one for one in self.queue if one.target.model == model]
        if not entries:
            return WaitingSummary()
        return WaitingSummary(
            count=len(entries),
            deadline_ms=min(entry.deadline_ms for entry in entries),
            served_ratio=min(
                self.served_ratios.ratio(entry.request.organisation)
                for entry in entries
            ),
        )

    def _record_service_time(
        self, running: RunningAttempt, end: StreamEnd
    ) -> None:
        generation = running.entry.request.generation
        self._predictor.record_generation(
            generation.model,
            generation.max_tokens - generation.from_token,
            end.first_token_ms,
            end.usage.completion_tokens - generation.from_token,
            end.took_ms,
        )

    def _min_first_token_in_ms(self, now_ms: int, model: str) -> float | None:
        """Minimum time until a first token; ``None`` without a replica."""
        replica = self._replicas.find_accepting(
            model
        ) or self._replicas.find_serving(model)
        if replica is None:
            return None
        ready_in_ms = self._replicas.min_ready_in_ms(now_ms, replica)
        return ready_in_ms + self._predictor.first_token_ms(model)

    def _can_start(self, target: Target) -> bool:
        replica = self._replicas.find_serving(target.model)
        if replica is None:
            return False
        if not target.adapter:
            return True
        return self._adapters.find(replica, target.adapter) is not None

    def _start(self, now_ms: int, entry: QueueEntry) -> StartGeneration:
        replica = self._replicas.find_serving(entry.target.model)
        slot = self._adapters.find(replica, entry.target.adapter)
        replica.running += 1
        if slot is not None:
            slot.running += 1
        attempt = entry.request.attempt
        self.running[attempt] = RunningAttempt(entry, replica, slot, now_ms)
        load_ms = max(0, replica.ready_at_ms - entry.arrived_at_ms)
        return StartGeneration(
            entry.request,
            replica.key,
            adapter_version=slot.key.version if slot else '',
            queue_ms=now_ms - entry.arrived_at_ms,
            load_ms=load_ms,
        )
