"""Charges that are still to be settled."""

import dataclasses

from lagoonflow.quotas.token_pool import BorrowedTokens


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that an admitted request was charged up front.

    :param ticket: what the bucket needs for a refund.
    :param borrowed: the part that peers lent.
    """

    organisation: str
    amount_tokens: float
    headroom_id: int
    borrowed: tuple[BorrowedTokens, ...]


class Charges:
    """Outstanding charges of one router, over all organisations."""

    def __init__(self) -> None:
        """Start without charges."""
        self._last_id = 0
        self._charges: dict[int, Charge] = {}

    def __len__(self) -> int:
        """Count the outstanding charges."""
        return len(self._charges)

    def open(self, charge: Charge) -> int:
        """Record a charge and return its id; ids increase."""
        self._last_id += 1
        self._charges[self._last_id] = charge
        return self._last_id

    def close(self, charge_id: int) -> Charge | None:
        """Take out a charge; ``None`` when it was settled before."""
        return self._charges.pop(charge_id, None)
