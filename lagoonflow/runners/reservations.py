"""Memory that is kept for bids for a short time."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Memory that is kept for a bid until it expires."""

    memory_mb: int
    expires_at_ms: int


class Reservations:
    """Offers of one runner by bid."""

    def __init__(self) -> None:
        self._reservations: dict[str, Reservation] = {}

    @property
    def memory_mb(self) -> int:
        """Memory of all offers."""
        return sum(
            reservation.memory_mb for reservation in self._reservations.values()
        )

    def add(self, bid_id: str, memory_mb: int, expires_at_ms: int) -> None:
        """Keep memory for a bid; the caller accounts for evictions."""
        self._reservations[bid_id] = Reservation(memory_mb, expires_at_ms)

    def withdraw(self, bid_id: str) -> None:
        """Drop the offer of a bid."""
        self._reservations.pop(bid_id, None)

    def withdraw_all(self) -> None:
        """Drop all offers."""
        self._reservations.clear()

    def expire(self, now_ms: int) -> None:
        """Drop the offers whose time is over."""
        for bid_id, reservation in tuple(self._reservations.items()):
            if reservation.expires_at_ms <= now_ms:
                self._reservations.pop(bid_id)
