"""Reconciles the agent's view of adapters with the engine's listing."""

from lagoonflow.runners.adapters import Adapters
from lagoonflow.runners.engine_messages import (
    Answer,
    EngineState,
    ListedReplica,
)
from lagoonflow.runners.messages import AdapterKey
from lagoonflow.runners.replica import AdapterSlot, ReplicaState
from lagoonflow.runners.replicas import RETRY_MS, Replicas

ACCEPTED_ANSWERS = frozenset((Answer.ACCEPTED, Answer.DONE))


class AdapterReconciler:
    """Applies the engine's listings and its answers about adapters."""

    def __init__(self, replicas: Replicas, adapters: Adapters) -> None:
        self._replicas = replicas
        self._adapters = adapters
        self._orders = replicas.orders

    def on_answer(
        self,
        now_ms: int,
        replica: ReplicaState,
        key: AdapterKey,
        answer: Answer,
    ) -> None:
        """Apply the answer to an order for an adapter."""
        slot = replica.adapters.get(key)
        if slot is None:
            return
        slot.listing_valid_from_ms = now_ms
        if slot.is_draining:
            slot.is_ready = answer not in ACCEPTED_ANSWERS
            slot.retry_at_ms = now_ms + RETRY_MS
        elif answer is Answer.DONE:
            slot.is_ready = True
        elif answer is not Answer.ACCEPTED:
            slot.is_ordered = False
            slot.retry_at_ms = now_ms + RETRY_MS

    def on_listing(
        self,
        now_ms: int,
        replica: ReplicaState,
        listed: ListedReplica,
        requested_at_ms: int,
    ) -> None:
        """Apply the adapters that the engine lists on one replica.

        :param requested_at_ms: when the listing was requested.
        """
        present: set[AdapterKey] = set()
        for listed_adapter in listed.adapters:
            key = AdapterKey(
                replica.key, listed_adapter.adapter, listed_adapter.version
            )
            if listed_adapter.state is EngineState.FAILED:
                continue
            present.add(key)
            slot = replica.adapters.get(key)
            if slot is None:
                slot = AdapterSlot(
                    key, listed_adapter.memory_mb, last_used_ms=now_ms
                )
                replica.adapters[key] = slot
            self._apply(slot, listed_adapter.state, requested_at_ms)
        for slot in tuple(replica.adapters.values()):
            if slot.is_ordered and slot.key not in present:
                self._apply_absence(slot, requested_at_ms)

    def _apply(
        self,
        slot: AdapterSlot,
        state: EngineState,
        requested_at_ms: int,
    ) -> None:
        self._replicas.memory.record_listed({slot.key: slot.memory_mb})
        slot.is_ordered = True
        order = self._orders.find(slot.key)
        if order is not None and not order.is_unload:
            self._orders.close(order.fence)
            slot.is_ready = state is EngineState.READY
        elif order is not None:
            if self._orders.is_outcome_visible(order, requested_at_ms):
                self._orders.close(order.fence)
                slot.is_ready = True
        elif requested_at_ms > slot.listing_valid_from_ms:
            slot.is_ready = state is EngineState.READY

    def _apply_absence(
        self,
        slot: AdapterSlot,
        requested_at_ms: int,
    ) -> None:
        order = self._orders.find(slot.key)
        if order is None:
            if requested_at_ms > slot.listing_valid_from_ms:
                self._adapters.remove(slot)
        elif self._orders.is_outcome_visible(order, requested_at_ms):
            self._orders.close(order.fence)
            self._adapters.remove(slot)
