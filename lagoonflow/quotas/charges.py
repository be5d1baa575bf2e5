"""Charges of admitted requests that are not settled yet."""

import dataclasses

from lagoonflow.quotas.token_pool import BorrowedTokens


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that a request was charged when it was admitted.

    :param headroom_id: id that the bucket's ``refund`` needs.
    :param borrowed: the part of the charge that peers have lent.
    """

    organisation: str
    amount_tokens: float
    headroom_id: int
    borrowed: tuple[BorrowedTokens, ...]


class Charges:
    """Outstanding charges of one router, over all organisations."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._last_id = 0
        self._charges: dict[int, Charge] = {}

    def __len__(self) -> int:
        """Count the outstanding charges."""
        return len(self._charges)

    def open(self, charge: Charge) -> int:
        """Add a charge and return its id; later ids are larger."""
        self._last_id += 1
        self._charges[self._last_id] = charge
        return self._last_id

    def close(self, charge_id: int) -> Charge | None:
        """Remove and return a charge; ``None`` when it was settled before."""
        return self._charges.pop(charge_id, None)
