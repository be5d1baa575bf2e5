"""Orders to the engine that are open, and their fencing numbers."""

import dataclasses

from lagoonflow.runners.messages import LoadableKey

# An order whose answer was lost may still take effect within this time.
MAX_ORDER_DELAY_MS = 3_000


@dataclasses.dataclass(slots=True)
class OpenOrder:
    """An order whose outcome is not known yet.

    :param fence: its fencing number.
    :param key: the replica or adapter that it loads or unloads.
    :param is_answer_lost: whether its answer was lost; the order may still
        take effect.
    :param answer_lost_at_ms: when its answer was found to be lost.
    """

    fence: int
    key: LoadableKey
    sent_at_ms: int
    is_unload: bool = False
    is_answer_lost: bool = False
    answer_lost_at_ms: int = 0


class OpenOrders:
    """Numbers orders; allows one open order per replica or adapter.

    :param first_fence: fencing number of the first order.
    """

    def __init__(self, first_fence: int = 1) -> None:
        self._next_fence = first_fence
        self._orders: dict[int, OpenOrder] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def skip_fences_up_to(self, fence: int) -> None:
        """Number all further orders above one that the engine has seen."""
        self._next_fence = max(self._next_fence, fence + 1)

    def open(self, now_ms: int, key: LoadableKey, *, is_unload: bool) -> int:
        """Open an order and return its fencing number.

        :raises ValueError: when the replica or adapter has an open order.
        """
        if self.is_open(key):
            raise ValueError('This replica or adapter has an open order.')
        fence = self._next_fence
        self._next_fence += 1
        self._orders[fence] = OpenOrder(fence, key, now_ms, is_unload)
        return fence

    def is_open(self, key: LoadableKey) -> bool:
        """Tell whether a replica or adapter has an open order."""
        return self.find(key) is not None

    def find(self, key: LoadableKey) -> OpenOrder | None:
        """Find the open order of a replica or adapter."""
        for order in self._orders.values():
            if order.key == key:
                return order
        return None

    def get(self, fence: int) -> OpenOrder | None:
        """Find an open order by its fencing number."""
        return self._orders.get(fence)

    def close(self, fence: int) -> OpenOrder | None:
        """Close an order, so that later answers to it are ignored."""
        return self._orders.pop(fence, None)

    def mark_answer_lost(self, now_ms: int, fence: int) -> None:
        """Record that the answer was lost; a listing will show the outcome."""
        order = self._orders.get(fence)
        if order is not None and not order.is_answer_lost:
            order.is_answer_lost = True
            order.answer_lost_at_ms = now_ms

    def is_outcome_visible(
        self, order: OpenOrder, requested_at_ms: int
    ) -> bool:
        """Tell whether a listing shows the outcome of an order.

        It does when the answer was lost and the listing was requested so
        much later that the order can't take effect any more.
        """
        if order.is_answer_lost:
            return (
                requested_at_ms >= order.answer_lost_at_ms + MAX_ORDER_DELAY_MS
            )
        return False

    def mark_all_lost(self, now_ms: int) -> None:
        """Record that the engine has restarted.

        Orders that it had not received before may still take effect.
        """
        for fence in self._orders:
            self.mark_answer_lost(now_ms, fence)
