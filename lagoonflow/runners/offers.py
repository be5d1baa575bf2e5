"""Memory that is kept for bids for a short time."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Memory that is kept for a bid until it expires."""

    memory_mb: int
    expires_at_ms: int


class Offers:
    """Offers of one runner by bid."""

    def __init__(self) -> None:
        self._offers: dict[str, Offer] = {}

    @property
    def memory_mb(self) -> int:
        """Memory of all offers."""
        return sum(offer.memory_mb for offer in self._offers.values())

    def add(self, bid_id: str, memory_mb: int, expires_at_ms: int) -> None:
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
