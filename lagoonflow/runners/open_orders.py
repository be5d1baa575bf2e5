"""Orders to the engine: fencing numbers and open orders."""

import dataclasses

from lagoonflow.runners.messages import LoadableKey

MAX_ORDER_DELAY_MS = 3_000


@dataclasses.dataclass(slots=True)
class OpenOrder:
    """An order whose outcome is not known yet.

    :param is_lost: whether its answer was lost; the order may still act.
    """

    fence: int
    key: LoadableKey
    sent_at_ms: int
    is_unload: bool = False
    is_answer_lost: bool = False
    answer_lost_at_ms: int = 0


class OpenOrders:
    """Numbers orders and keeps at most one open order per holder."""

    def __init__(self, first_fence: int = 1) -> None:
        self._next_fence = first_fence
        self._orders: dict[int, OpenOrder] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def skip_fences_up_to(self, fence: int) -> None:
        """Number all further orders above what the engine has seen."""
        self._next_fence = max(self._next_fence, fence + 1)

    def open(self, now_ms: int, key: LoadableKey, *, is_unload: bool) -> int:
        """Open an order and return its fencing number.

        :raises ValueError: when the holder has an open order.
        """
        if self.is_open(key):
            raise ValueError('An order is open for this holder.')
        fence = self._next_fence
        self._next_fence += 1
        self._orders[fence] = OpenOrder(fence, key, now_ms, is_unload)
        return fence

    def is_open(self, key: LoadableKey) -> bool:
        """Tell whether the outcome of an order is open."""
        return self.find(key) is not None

    def find(self, key: LoadableKey) -> OpenOrder | None:
        """Find the open order of a holder."""
        for order in self._orders.values():
            if order.key == key:
                return order
        return None

    def get(self, fence: int) -> OpenOrder | None:
        """Find an open order by its number."""
        return self._orders.get(fence)

    def close(self, fence: int) -> OpenOrder | None:
        """Close an order; late answers find nothing."""
        return self._orders.pop(fence, None)

    def mark_answer_lost(self, now_ms: int, fence: int) -> None:
        """Note that the answer is lost: the listing must show the truth."""
        order = self._orders.get(fence)
        if order is not None and not order.is_answer_lost:
            order.is_answer_lost = True
            order.answer_lost_at_ms = now_ms

    def is_outcome_visible(
        self, order: OpenOrder, requested_at_ms: int
    ) -> bool:
        """Tell whether a listing of this time shows the order's outcome."""
        if order.is_answer_lost:
            return (
                requested_at_ms >= order.answer_lost_at_ms + MAX_ORDER_DELAY_MS
            )
        return False

    def clear(self) -> None:
        """Forget all orders, after the engine has restarted."""
        self._orders.clear()
