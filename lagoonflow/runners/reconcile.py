"""Reconciles the agent's view of replicas with the engine's listing."""

from collections.abc import Iterator

from lagoonflow.runners.adapters import Adapters
from lagoonflow.runners.engine_messages import (
    Answer,
    EngineState,
    ListedReplica,
    Listing,
    OrderAnswer,
)
from lagoonflow.runners.messages import (
    Action,
    AdapterKey,
    PollListing,
    ReplicaKey,
)
from lagoonflow.runners.reconcile_adapters import (
    ACCEPTED_ANSWERS,
    AdapterReconciler,
)
from lagoonflow.runners.replica import Event, ReplicaState, State
from lagoonflow.runners.replicas import RETRY_MS, Replicas


class Reconciler:
    """Applies the engine's listings and its answers to orders.

    :ivar epoch: epoch of the engine; empty until the first listing.
    """

    def __init__(self, replicas: Replicas, adapters: Adapters) -> None:
        self.epoch = ''
        self._replicas = replicas
        self._adapters = AdapterReconciler(replicas, adapters)
        self._orders = replicas.orders

    def on_listing(
        self,
        now_ms: int,
        listing: Listing,
        requested_at_ms: int,
    ) -> Iterator[Action]:
        """Apply a listing of the engine.

        :param requested_at_ms: when it was requested; it says nothing about
            replicas and orders that changed later.
        """
        if listing.epoch != self.epoch:
            self._on_engine_restart(now_ms, listing)
        self._orders.skip_fences_up_to(listing.last_fence)
        self._replicas.checkpoints = {
            ReplicaKey(copy.model, copy.version): copy.tier
            for copy in listing.checkpoints
        }
        listed = {
            ReplicaKey(
                listed_replica.model, listed_replica.version
            ): listed_replica
            for listed_replica in listing.replicas
        }
        for key, listed_replica in listed.items():
            yield from self._apply(now_ms, key, listed_replica, requested_at_ms)
        for replica in tuple(self._replicas.table.values()):
            if replica.key not in listed:
                yield from self._apply_absence(now_ms, replica, requested_at_ms)

    def on_answer(
        self,
        now_ms: int,
        answer: OrderAnswer,
    ) -> Iterator[Action]:
        """Apply the answer to an order; ignore it when the order is closed."""
        order = self._orders.get(answer.fence)
        if order is None:
            return
        if answer.answer is Answer.LOST:
            self._orders.mark_answer_lost(now_ms, answer.fence)
            yield PollListing()
            return
        self._orders.close(answer.fence)
        if answer.answer is Answer.STALE_FENCE:
            self._orders.skip_fences_up_to(max(answer.last_fence, answer.fence))
        replica = self._find_replica(order.key)
        if replica is None:
            return
        if isinstance(order.key, AdapterKey):
            self._adapters.on_answer(now_ms, replica, order.key, answer.answer)
        elif order.is_unload:
            replica.needs_unload = answer.answer not in ACCEPTED_ANSWERS
            replica.retry_at_ms = now_ms + RETRY_MS
        else:
            yield from self._apply_load_answer(now_ms, replica, answer)
        yield PollListing()

    def _on_engine_restart(self, now_ms: int, listing: Listing) -> None:
        self.epoch = listing.epoch
        self._orders.mark_all_lost(now_ms)
        self._replicas.memory.reservations.withdraw_all()
        for replica in self._replicas.table.values():
            replica.listing_valid_from_ms = 0
            for slot in replica.adapters.values():
                slot.listing_valid_from_ms = 0

    def _find_replica(
        self,
        loadable: ReplicaKey | AdapterKey,
    ) -> ReplicaState | None:
        match loadable:
            case AdapterKey(replica=key):
                return self._replicas.table.get(key)
            case _:
                return self._replicas.table.get(loadable)

    def _apply_load_answer(
        self,
        now_ms: int,
        replica: ReplicaState,
        answer: OrderAnswer,
    ) -> Iterator[Action]:
        if replica.state != State.ORDERED:
            return
        replica.listing_valid_from_ms = now_ms
        match answer.answer:
            case Answer.ACCEPTED:
                replica.fire(Event.ACCEPT)
            case Answer.DONE:
                yield from self._replicas.become_ready(now_ms, replica)
            case Answer.STALE_FENCE:
                replica.fire(Event.RETRY)
            case _:
                yield from self._replicas.retry_load(now_ms, replica)

    def _apply(
        self,
        now_ms: int,
        key: ReplicaKey,
        listed: ListedReplica,
        requested_at_ms: int,
    ) -> Iterator[Action]:
        replica = self._replicas.table.get(key)
        if replica is None:
            if listed.state is EngineState.FAILED:
                return
            replica = ReplicaState(key, listed.memory_mb, created_at_ms=now_ms)
            self._replicas.table[key] = replica
        if listed.state is not EngineState.FAILED:
            self._record_memory(replica, listed)
        yield from self._apply_state(now_ms, replica, listed, requested_at_ms)
        self._adapters.on_listing(now_ms, replica, listed, requested_at_ms)

    def _record_memory(
        self, replica: ReplicaState, listed: ListedReplica
    ) -> None:
        self._replicas.memory.record_listed({replica.key: listed.memory_mb})
        if replica.state == State.RESERVED:
            replica.fire(Event.ORDER)

    def _apply_state(
        self,
        now_ms: int,
        replica: ReplicaState,
        listed: ListedReplica,
        requested_at_ms: int,
    ) -> Iterator[Action]:
        match listed.state:
            case EngineState.READY if replica.is_pending:
                self._close_order(replica.key)
                yield from self._replicas.become_ready(now_ms, replica)
            case EngineState.LOADING if replica.state == State.ORDERED:
                self._close_order(replica.key)
                replica.fire(Event.ACCEPT)
            case EngineState.FAILED if replica.is_pending:
                if replica.state != State.RESERVED:
                    self._close_order(replica.key)
                    yield from self._replicas.retry_load(now_ms, replica)
            case EngineState.READY if replica.state == State.UNLOADING:
                self._retry_unload(replica, requested_at_ms)

    def _retry_unload(
        self, replica: ReplicaState, requested_at_ms: int
    ) -> None:
        order = self._orders.find(replica.key)
        if order is None:
            replica.needs_unload = (
                requested_at_ms > replica.listing_valid_from_ms
            )
        elif self._orders.is_outcome_visible(order, requested_at_ms):
            self._orders.close(order.fence)
            replica.needs_unload = True

    def _apply_absence(
        self,
        now_ms: int,
        replica: ReplicaState,
        requested_at_ms: int,
    ) -> Iterator[Action]:
        if replica.state == State.RESERVED:
            return
        order = self._orders.find(replica.key)
        if order is None:
            if requested_at_ms > replica.listing_valid_from_ms:
                yield from self._on_absent(now_ms, replica)
        elif self._orders.is_outcome_visible(order, requested_at_ms):
            self._orders.close(order.fence)
            yield from self._on_absent(now_ms, replica)

    def _on_absent(
        self,
        now_ms: int,
        replica: ReplicaState,
    ) -> Iterator[Action]:
        if replica.is_pending:
            yield from self._replicas.retry_load(now_ms, replica)
        else:
            self._replicas.remove(replica, Event.VANISH)

    def _close_order(self, key: ReplicaKey) -> None:
        order = self._orders.find(key)
        if order is not None:
            self._orders.close(order.fence)
