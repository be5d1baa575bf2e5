"""Memory ledger of one runner: no order goes out without a hold."""

import dataclasses
from collections.abc import Mapping

from lagoonflow.results import Refusal, Result
from lagoonflow.runners.messages import AdapterKey, Holder


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Memory that is kept for a bid until it expires."""

    memory_mb: int
    expires_at_ms: int


class Ledger:
    """Accounts for the accelerator memory of one runner.

    A hold is memory that the engine uses, or may use because an order is
    on its way. A claim waits for memory that is being freed. An offer is
    kept for a bid. Only holds count against the capacity; claims and
    offers keep later bids from counting on the same memory.
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
        self._holds: dict[Holder, int] = {}
        self._claims: dict[Holder, int] = {}
        self._offers: dict[str, Offer] = {}

    @property
    def held_mb(self) -> int:
        """Memory that the engine uses or may use, KV room included."""
        return self.kv_room_mb + sum(self._holds.values())

    @property
    def free_mb(self) -> int:
        """Memory that nothing holds; negative if the engine has too much."""
        return self.capacity_mb - self.held_mb

    @property
    def room_mb(self) -> int:
        """Largest replica that could ever fit."""
        return self.capacity_mb - self.kv_room_mb - self.adapter_room_mb

    @property
    def unpromised_mb(self) -> int:
        """Free memory less claims and offers; negative while claims wait."""
        claimed_mb = sum(self._claims.values())
        offered_mb = sum(offer.memory_mb for offer in self._offers.values())
        return self.free_mb - claimed_mb - offered_mb

    @property
    def available_mb(self) -> int:
        """Memory for further replicas; adapters keep their room."""
        adapters_mb = sum(
            memory_mb
            for holder, memory_mb in self._holds.items()
            if isinstance(holder, AdapterKey)
        )
        return self.unpromised_mb - max(0, self.adapter_room_mb - adapters_mb)

    def offer(self, bid_id: str, memory_mb: int, expires_at_ms: int) -> None:
        """Keep memory for a bid; the caller accounts for evictions."""
        self._offers[bid_id] = Offer(memory_mb, expires_at_ms)

    def withdraw(self, bid_id: str) -> None:
        """Drop the offer of a bid."""
        self._offers.pop(bid_id, None)

    def withdraw_all(self) -> None:
        """Drop all offers."""
        self._offers.clear()

    def expire(self, now_ms: int) -> None:
        """Drop the offers whose time is over."""
        for bid_id, offer in tuple(self._offers.items()):
            if offer.expires_at_ms <= now_ms:
                self._offers.pop(bid_id)

    def claim(self, holder: Holder, memory_mb: int) -> None:
        """Queue for memory that is being freed."""
        if holder not in self._holds:
            self._claims[holder] = memory_mb

    def grant(self) -> tuple[Holder, ...]:
        """Turn the oldest claims into holds while they fit."""
        granted: list[Holder] = []
        for holder, memory_mb in tuple(self._claims.items()):
            if memory_mb > self.free_mb:
                break
            self._holds[holder] = self._claims.pop(holder)
            granted.append(holder)
        return tuple(granted)

    def hold(self, holder: Holder, memory_mb: int) -> Refusal | None:
        """Take memory for an adapter now, beside all claims and offers."""
        if holder in self._holds:
            return None
        if memory_mb > self.unpromised_mb:
            return Refusal(Result.MODEL_DOES_NOT_FIT, 'No memory is free.')
        self._holds[holder] = memory_mb
        return None

    def holds(self, holder: Holder) -> bool:
        """Tell whether an order for this holder may go out."""
        return holder in self._holds

    def adopt(self, listed: Mapping[Holder, int]) -> None:
        """Enter what the engine lists, whatever it takes."""
        self._holds.update(listed)
        for holder in listed:
            self._claims.pop(holder, None)

    def release(self, holder: Holder) -> None:
        """Free a hold; only after the engine's listing lacks it."""
        self._holds.pop(holder, None)
        self._claims.pop(holder, None)
