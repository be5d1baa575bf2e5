"""Replicas of one runner, from the claim of their memory to the unload."""

from collections.abc import Iterator

from lagoonflow.placement.messages import Tier
from lagoonflow.releases.messages import ModelSpec
from lagoonflow.runners.messages import Action, ReplicaKey, SendLoadReport
from lagoonflow.runners.open_orders import OpenOrders
from lagoonflow.runners.predictor import Predictor
from lagoonflow.runners.replica import Event, ReplicaState, State
from lagoonflow.runners.runner_memory import RunnerMemory

MAX_LOAD_ATTEMPTS = 3
RETRY_MS = 200
# An overdue load is expected to take this share of its age longer.
_OVERDUE_RATIO = 0.25


class Replicas:
    """Table of the replicas of one runner and their open orders.

    :ivar checkpoints: nearest tier of each local checkpoint.
    """

    def __init__(
        self,
        memory: RunnerMemory,
        orders: OpenOrders,
        predictor: Predictor,
    ) -> None:
        self.table: dict[ReplicaKey, ReplicaState] = {}
        self.checkpoints: dict[ReplicaKey, Tier] = {}
        self.memory = memory
        self.orders = orders
        self.predictor = predictor

    def of_model(self, model: str) -> Iterator[ReplicaState]:
        """Iterate over a model's replicas that are neither gone nor failed."""
        for replica in self.table.values():
            if replica.key.model == model and not replica.is_terminal:
                yield replica

    def find_accepting(self, model: str) -> ReplicaState | None:
        """Find the replica that takes new requests for a model.

        It is the newest ready one, or else the newest that isn't loaded yet.
        """
        ready = [one for one in self.of_model(model) if one.is_ready]
        if ready:
            return max(ready, key=_creation_order)
        pending = [one for one in self.of_model(model) if one.is_pending]
        return max(pending, key=_creation_order) if pending else None

    def find_serving(self, model: str) -> ReplicaState | None:
        """Find the replica that runs queued requests for a model.

        It may be draining when no replica is ready.
        """
        replica = self.find_accepting(model)
        if replica is not None and replica.is_ready:
            return replica
        return next(
            (one for one in self.of_model(model) if one.is_serving), None
        )

    def tier(self, key: ReplicaKey) -> Tier:
        """Nearest tier that has a checkpoint; the weight store if none has."""
        return self.checkpoints.get(key, Tier.REMOTE)

    def ready_in_ms(self, now_ms: int, replica: ReplicaState) -> int:
        """Predict the time until a replica is ready.

        A load that is overdue is expected to take a quarter of its age more.
        """
        if replica.is_serving:
            return 0
        left_ms = replica.predicted_ready_ms - now_ms
        since_ms = now_ms - (replica.ordered_at_ms or replica.created_at_ms)
        return max(left_ms, round(since_ms * _OVERDUE_RATIO), 1)

    def min_ready_in_ms(self, now_ms: int, replica: ReplicaState) -> int:
        """Estimate the minimum time until a replica is ready.

        Requests are refused only when even this time is too long. It is the
        predicted time less the average error of such predictions, and 0
        when no loads have been observed.
        """
        if replica.is_serving:
            return 0
        key = replica.key
        if not self.predictor.is_load_time_known(key.model, replica.tier):
            return 0
        ratio = min(1, self.predictor.load_error.mean)
        return round((1 - ratio) * self.ready_in_ms(now_ms, replica))

    def add(
        self,
        now_ms: int,
        key: ReplicaKey,
        spec: ModelSpec,
        decision_id: str,
        load_starts_in_ms: int = 0,
    ) -> ReplicaState:
        """Add a new replica and claim its memory.

        :param load_starts_in_ms: predicted time until its load can start.
        """
        tier = self.tier(key)
        load_ms = round(self.predictor.load_ms(key.model, tier, spec.memory_mb))
        replica = ReplicaState(
            key,
            spec.memory_mb,
            checkpoint=spec.checkpoint,
            decision_id=decision_id,
            tier=tier,
            created_at_ms=now_ms,
            predicted_load_ms=load_ms,
            predicted_ready_ms=now_ms + load_starts_in_ms + load_ms,
            last_used_ms=now_ms,
        )
        self.table[key] = replica
        self.memory.claim(key, spec.memory_mb)
        return replica

    def drain(self, replica: ReplicaState) -> None:
        """Take no new requests; unload when the last one is done."""
        if replica.is_ready:
            replica.fire(Event.DRAIN)
        elif replica.state == State.RESERVED:
            self.remove(replica, Event.VANISH)

    def remove(self, replica: ReplicaState, event: Event) -> None:
        """Remove a replica that the engine doesn't list; free its memory."""
        replica.fire(event)
        for adapter_key in replica.adapters:
            self.memory.release(adapter_key)
        self.memory.release(replica.key)
        self.table.pop(replica.key, None)

    def become_ready(
        self,
        now_ms: int,
        replica: ReplicaState,
    ) -> Iterator[Action]:
        """Record that the engine has loaded a replica."""
        replica.fire(Event.READY)
        replica.ready_at_ms = now_ms
        replica.last_used_ms = now_ms
        replica.failures = 0
        took_ms = now_ms - replica.ordered_at_ms
        if replica.ordered_at_ms:
            self.predictor.record_load(
                replica.key.model, replica.tier, replica.memory_mb, took_ms
            )
        yield from _report_load(replica, took_ms, is_loaded=True)

    def retry_load(
        self, now_ms: int, replica: ReplicaState
    ) -> Iterator[Action]:
        """Load again later, or give up after too many failed loads."""
        took_ms = now_ms - replica.ordered_at_ms
        yield from _report_load(replica, took_ms, is_loaded=False)
        replica.has_permit = False
        replica.failures += 1
        replica.retry_at_ms = now_ms + RETRY_MS * replica.failures
        if replica.failures >= MAX_LOAD_ATTEMPTS:
            self.remove(replica, Event.FAIL)
        else:
            replica.fire(Event.RETRY)


def _creation_order(replica: ReplicaState) -> tuple[int, int]:
    return replica.created_at_ms, replica.ready_at_ms


def _report_load(
    replica: ReplicaState,
    took_ms: int,
    *,
    is_loaded: bool,
) -> Iterator[Action]:
    if replica.permit_id:
        yield SendLoadReport(
            replica.permit_id, took_ms, is_loaded, replica.memory_mb
        )
        replica.permit_id = ''
