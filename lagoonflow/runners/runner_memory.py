"""Memory ledger of one runner: no order goes out without a hold."""

from collections.abc import Mapping

from lagoonflow.results import Refusal, Result
from lagoonflow.runners.messages import AdapterKey, Holder
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
        self._allocated: dict[Holder, int] = {}
        self._claims: dict[Holder, int] = {}
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
            for holder, memory_mb in self._allocated.items()
            if isinstance(holder, AdapterKey)
        )
        return self.uncommitted_mb - max(0, self.adapter_room_mb - adapters_mb)

    def claim(self, holder: Holder, memory_mb: int) -> None:
        """Queue for memory that is being freed."""
        if holder not in self._allocated:
            self._claims[holder] = memory_mb

    def grant_claims(self) -> tuple[Holder, ...]:
        """Turn the oldest claims into holds while they fit."""
        granted: list[Holder] = []
        for holder, memory_mb in tuple(self._claims.items()):
            if memory_mb > self.free_mb:
                break
            self._allocated[holder] = self._claims.pop(holder)
            granted.append(holder)
        return tuple(granted)

    def allocate_for_adapter(self, holder: Holder, memory_mb: int) -> Refusal | None:
        """Take memory for an adapter now, beside all claims and offers."""
        if holder in self._allocated:
            return None
        if memory_mb > self.uncommitted_mb:
            return Refusal(Result.MODEL_DOES_NOT_FIT, 'No memory is free.')
        self._allocated[holder] = memory_mb
        return None

    def is_allocated(self, holder: Holder) -> bool:
        """Tell whether an order for this holder may go out."""
        return holder in self._allocated

    def record_listed(self, listed: Mapping[Holder, int]) -> None:
        """Enter what the engine lists, whatever it takes."""
        self._allocated.update(listed)
        for holder in listed:
            self._claims.pop(holder, None)

    def release(self, holder: Holder) -> None:
        """Free a hold; only after the engine's listing lacks it."""
        self._allocated.pop(holder, None)
        self._claims.pop(holder, None)
