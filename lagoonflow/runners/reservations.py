"""Memory that is reserved for open bids."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Memory that is reserved for a bid until it expires."""

    memory_mb: int
    expires_at_ms: int


class Reservations:
    """Reservations of one runner by bid."""

    def __init__(self) -> None:
        self._reservations: dict[str, Reservation] = {}

    @property
    def memory_mb(self) -> int:
        """Memory of all reservations."""
        return sum(
            reservation.memory_mb for reservation in self._reservations.values()
        )

    def add(self, bid_id: str, memory_mb: int, expires_at_ms: int) -> None:
        """Reserve memory for a bid.

        :param memory_mb: without the memory that its evictions free.
        """
        self._reservations[bid_id] = Reservation(memory_mb, expires_at_ms)

    def withdraw(self, bid_id: str) -> None:
        """Drop the reservation of a bid."""
        self._reservations.pop(bid_id, None)

    def withdraw_all(self) -> None:
        """Drop all reservations."""
        self._reservations.clear()

    def expire(self, now_ms: int) -> None:
        """Drop the reservations that have expired."""
        for bid_id, reservation in tuple(self._reservations.items()):
            if reservation.expires_at_ms <= now_ms:
                self._reservations.pop(bid_id)
