"""Accounts for the memory of one runner, so that loads never overcommit it."""

from collections.abc import Mapping

from lagoonflow.results import Refusal, Result
from lagoonflow.runners.messages import AdapterKey, LoadableKey
from lagoonflow.runners.reservations import Reservations


class RunnerMemory:
    """Accounts for the accelerator memory of one runner.

    Memory is allocated to a replica or adapter while the engine uses it, or
    may use it because a load was ordered; no load is ordered without it. A
    claim waits until enough memory is freed. A reservation is kept for a
    bid. Only allocations count against the capacity; claims and
    reservations keep later bids from counting on the same memory.

    :param kv_room_mb: memory that is kept for KV caches.
    :param adapter_room_mb: memory that replicas leave to adapters.
    :ivar reservations: memory that is kept for bids.
    """

    def __init__(
        self,
        capacity_mb: int,
        kv_room_mb: int = 0,
        adapter_room_mb: int = 0,
    ) -> None:
        self.capacity_mb = capacity_mb
        self.kv_room_mb = kv_room_mb
        self.adapter_room_mb = adapter_room_mb
        self._allocated: dict[LoadableKey, int] = {}
        self._claims: dict[LoadableKey, int] = {}
        self.reservations = Reservations()

    @property
    def allocated_mb(self) -> int:
        """Memory that the engine uses or may use, KV caches included."""
        return self.kv_room_mb + sum(self._allocated.values())

    @property
    def free_mb(self) -> int:
        """Memory that isn't allocated; negative if the engine uses too much."""
        return self.capacity_mb - self.allocated_mb

    @property
    def largest_replica_mb(self) -> int:
        """Largest replica that could ever fit."""
        return self.capacity_mb - self.kv_room_mb - self.adapter_room_mb

    @property
    def uncommitted_mb(self) -> int:
        """Free memory less claims and reservations.

        It is negative while claims wait for memory.
        """
        claimed_mb = sum(self._claims.values())
        return self.free_mb - claimed_mb - self.reservations.memory_mb

    @property
    def available_for_replicas_mb(self) -> int:
        """Uncommitted memory less what is kept for adapters."""
        adapters_mb = sum(
            memory_mb
            for key, memory_mb in self._allocated.items()
            if isinstance(key, AdapterKey)
        )
        return self.uncommitted_mb - max(0, self.adapter_room_mb - adapters_mb)

    def claim(self, key: LoadableKey, memory_mb: int) -> None:
        """Queue for memory, unless it is allocated already."""
        if key not in self._allocated:
            self._claims[key] = memory_mb

    def grant_claims(self) -> tuple[LoadableKey, ...]:
        """Allocate memory to the oldest claims while they fit.

        Claims are served in order: one that doesn't fit blocks later ones.

        :returns: the claims that got their memory.
        """
        granted: list[LoadableKey] = []
        for key, memory_mb in tuple(self._claims.items()):
            if memory_mb > self.free_mb:
                break
            self._allocated[key] = self._claims.pop(key)
            granted.append(key)
        return tuple(granted)

    def allocate_for_adapter(
        self, key: LoadableKey, memory_mb: int
    ) -> Refusal | None:
        """Allocate memory that no claim or reservation counts on.

        :returns: a refusal when too little memory is uncommitted.
        """
        if key in self._allocated:
            return None
        if memory_mb > self.uncommitted_mb:
            return Refusal(
                Result.MODEL_DOES_NOT_FIT, 'Not enough memory is free.'
            )
        self._allocated[key] = memory_mb
        return None

    def is_allocated(self, key: LoadableKey) -> bool:
        """Tell whether memory is allocated, so that a load may be ordered."""
        return key in self._allocated

    def record_listed(self, listed: Mapping[LoadableKey, int]) -> None:
        """Allocate what the engine lists, even beyond the capacity."""
        self._allocated.update(listed)
        for key in listed:
            self._claims.pop(key, None)

    def release(self, key: LoadableKey) -> None:
        """Free the memory of a replica or adapter that isn't listed."""
        self._allocated.pop(key, None)
        self._claims.pop(key, None)
