"""Times that govern borrowing between routers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Times that govern borrowing; they must be the same at all routers.

    :param borrow_timeout_ms: how long after the borrow request borrowed
        tokens may be spent.
    :param round_trip_ms: least time that borrowing takes.
    :param reservation_margin_ms: by how much a lender's reservation is
        longer than ``borrow_timeout_ms``; allows for the resolution of
        clocks and for clocks that run at different speeds.
    """

    borrow_timeout_ms: float = 100
    round_trip_ms: float = 2
    reservation_margin_ms: float = 5

    @property
    def reservation_ms(self) -> float:
        """How long a lender reserves capacity under its cap for lent tokens."""
        return self.borrow_timeout_ms + self.reservation_margin_ms
