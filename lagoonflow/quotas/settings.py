"""Timing of the quota logic."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Timing of borrowing; the same at all routers.

    :param borrow_timeout_ms: borrowed tokens that are not spent this long
        after they were asked for are dropped.
    :param round_trip_ms: least time that borrowing takes.
    """

    borrow_timeout_ms: float = 100
    round_trip_ms: float = 2
