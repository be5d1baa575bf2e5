"""Loads and unloads adapters on replicas of their base models."""

from collections.abc import Iterator

from lagoonflow.releases.messages import AdapterSpec
from lagoonflow.runners.messages import (
    Action,
    AdapterKey,
    OrderAdapterLoad,
    OrderAdapterUnload,
    PollListing,
)
from lagoonflow.runners.replica import AdapterSlot, ReplicaState
from lagoonflow.runners.replicas import Replicas


class Adapters:
    """Loads, evicts and unloads the adapters of one runner.

    :param max_loads_in_flight: most adapter loads at once.
    """

    def __init__(
        self,
        replicas: Replicas,
        max_loads_in_flight: int,
    ) -> None:
        self._replicas = replicas
        self._memory = replicas.memory
        self._orders = replicas.orders
        self._max_loads_in_flight = max_loads_in_flight

    def request(
        self,
        now_ms: int,
        replica: ReplicaState,
        adapter: str,
        spec: AdapterSpec,
    ) -> None:
        """Request an adapter on a replica; it is loaded when possible."""
        key = AdapterKey(replica.key, adapter, spec.version)
        slot = replica.adapters.get(key)
        if slot is None:
            slot = AdapterSlot(key, spec.memory_mb, spec.checkpoint)
            replica.adapters[key] = slot
        if not self._orders.is_open(key):
            slot.is_draining = False
        slot.last_used_ms = now_ms

    def find(self, replica: ReplicaState, adapter: str) -> AdapterSlot | None:
        """Find the newest version of an adapter that takes new requests."""
        ready = [
            slot
            for slot in replica.adapters.values()
            if slot.key.adapter == adapter
            and slot.is_ready
            and not slot.is_draining
        ]
        return ready[-1] if ready else None

    def due_actions(self, now_ms: int) -> Iterator[Action]:
        """Return the orders that are due, with polls for their outcome."""
        free_loads = self._max_loads_in_flight - self._count_in_flight()
        for slot in self._serving_slots():
            if slot.is_draining:
                yield from self._unload(now_ms, slot)
            elif not slot.is_ordered and free_loads > 0:
                free_loads -= 1
                yield from self._load(now_ms, slot)

    def drain(self, slot: AdapterSlot) -> None:
        """Take no new requests; unload when the last one is done."""
        slot.is_draining = True

    def remove(self, slot: AdapterSlot) -> None:
        """Remove an adapter that the engine doesn't list; free its memory."""
        self._memory.release(slot.key)
        replica = self._replicas.table.get(slot.key.replica)
        if replica is not None:
            replica.adapters.pop(slot.key, None)

    def _serving_slots(self) -> tuple[AdapterSlot, ...]:
        return tuple(
            slot
            for replica in self._replicas.table.values()
            if replica.is_serving
            for slot in replica.adapters.values()
        )

    def _count_in_flight(self) -> int:
        return sum(
            slot.is_ordered and not slot.is_ready
            for slot in self._serving_slots()
        )

    def _load(self, now_ms: int, slot: AdapterSlot) -> Iterator[Action]:
        if self._orders.is_open(slot.key) or now_ms < slot.retry_at_ms:
            return
        if (
            self._memory.allocate_for_adapter(slot.key, slot.memory_mb)
            is not None
        ):
            self._evict_least_recently_used(slot.memory_mb)
            return
        slot.is_ordered = True
        slot.listing_valid_from_ms = now_ms
        fence = self._orders.open(now_ms, slot.key, is_unload=False)
        yield OrderAdapterLoad(fence, slot.key, slot.checkpoint, slot.memory_mb)
        yield PollListing()

    def _unload(self, now_ms: int, slot: AdapterSlot) -> Iterator[Action]:
        if slot.running or self._orders.is_open(slot.key):
            return
        if now_ms < slot.retry_at_ms:
            return
        if not slot.is_ordered:
            self.remove(slot)
            return
        if slot.is_ready:
            slot.is_ready = False
            slot.listing_valid_from_ms = now_ms
            fence = self._orders.open(now_ms, slot.key, is_unload=True)
            yield OrderAdapterUnload(fence, slot.key)
            yield PollListing()

    def _evict_least_recently_used(self, memory_mb: int) -> None:
        slots = self._serving_slots()
        if any(slot.is_draining for slot in slots):
            return
        idle = [
            slot
            for slot in slots
            if slot.is_ready and not slot.running and slot.memory_mb
        ]
        if idle:
            self.drain(min(idle, key=_last_used_ms))


def _last_used_ms(slot: AdapterSlot) -> int:
    return slot.last_used_ms
