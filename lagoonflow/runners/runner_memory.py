"""Memory ledger of one runner: no order goes out without a hold."""

from collections.abc import Mapping

from lagoonflow.results import Refusal, Result
from lagoonflow.runners.messages import AdapterKey, LoadableKey
from lagoonflow.runners.reservations import Reservations


class RunnerMemory:
    """Accounts for the accelerator memory of one runner.

    A hold is memory that the engine uses, or may use because an order is
    on its way. A claim waits for memory that is being freed. An offer is
    kept for a bid. Only holds count against the capacity; claims and
    offers keep later bids from counting on the same memory.

    :ivar offers: memory that is kept for bids.
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
        """Memory that the engine uses or may use, KV room included."""
        return self.kv_room_mb + sum(self._allocated.values())

    @property
    def free_mb(self) -> int:
        """Memory that nothing holds; negative if the engine has too much."""
        return self.capacity_mb - self.allocated_mb

    @property
    def largest_replica_mb(self) -> int:
        """Largest replica that could ever fit."""
        return self.capacity_mb - self.kv_room_mb - self.adapter_room_mb

    @property
    def uncommitted_mb(self) -> int:
        """Free memory less claims and offers; negative while claims wait."""
        claimed_mb = sum(self._claims.values())
        return self.free_mb - claimed_mb - self.reservations.memory_mb

    @property
    def available_for_replicas_mb(self) -> int:
        """Memory for further replicas; adapters keep their room."""
        adapters_mb = sum(
            memory_mb
            for key, memory_mb in self._allocated.items()
            if isinstance(key, AdapterKey)
        )
        return self.uncommitted_mb - max(0, self.adapter_room_mb - adapters_mb)

    def claim(self, key: LoadableKey, memory_mb: int) -> None:
        """Queue for memory that is being freed."""
        if key not in self._allocated:
            self._claims[key] = memory_mb

    def grant_claims(self) -> tuple[LoadableKey, ...]:
        """Turn the oldest claims into holds while they fit."""
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
        """Take memory for an adapter now, beside all claims and offers."""
        if key in self._allocated:
            return None
        if memory_mb > self.uncommitted_mb:
            return Refusal(Result.MODEL_DOES_NOT_FIT, 'No memory is free.')
        self._allocated[key] = memory_mb
        return None

    def is_allocated(self, key: LoadableKey) -> bool:
        """Tell whether an order for this holder may go out."""
        return key in self._allocated

    def record_listed(self, listed: Mapping[LoadableKey, int]) -> None:
        """Enter what the engine lists, whatever it takes."""
        self._allocated.update(listed)
        for key in listed:
            self._claims.pop(key, None)

    def release(self, key: LoadableKey) -> None:
        """Free a hold; only after the engine's listing lacks it."""
        self._allocated.pop(key, None)
        self._claims.pop(key, None)
