"""Timing of the quota logic."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Timing of borrowing; the same at all routers.

    :param borrow_timeout_ms: borrowed tokens that are not spent this long
        after they were asked for are dropped.
    :param round_trip_ms: least time that borrowing takes.
    :param place_margin_ms: allows for the resolution of clocks and for
        clocks that run at different speeds.
    """

    borrow_timeout_ms: float = 100
    round_trip_ms: float = 2
    reservation_margin_ms: float = 5

    @property
    def reservation_ms(self) -> float:
        """How long lent tokens keep their place under the lender's cap."""
        return self.borrow_timeout_ms + self.reservation_margin_ms
