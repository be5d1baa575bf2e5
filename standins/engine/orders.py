"""Checks orders and executes them."""

from standins.engine.loading import Loader
from standins.engine.memory import Memory
from standins.engine.messages import Order, OrderRefused

MAX_REMEMBERED_ORDERS = 10_000


class OrderExecutor:
    """Executes each order once.

    :param fencing: whether orders with an old fence are refused.
    :param memory: the replicas of the engine.
    :param loader: loads replicas and adapters.
    :ivar highest_fence: highest fencing number of all orders so far.
    """

    def __init__(self, fencing: bool, memory: Memory, loader: Loader) -> None:
        self.highest_fence = 0
        self._fencing = fencing
        self._memory = memory
        self._loader = loader
        self._applied: dict[str, Order] = {}

    def apply(self, order: Order) -> None:
        """Execute an order unless it was executed before.

        :raises OrderRefused: when its fence is too old or it can't be executed.
        """
        if order.order_id in self._applied:
            return
        if self._fencing and order.fence < self.highest_fence:
            raise OrderRefused(409, f'fence below {self.highest_fence}')
        self.highest_fence = max(self.highest_fence, order.fence)
        self._execute(order)
        self._applied[order.order_id] = order
        if len(self._applied) > MAX_REMEMBERED_ORDERS:
            self._applied.pop(next(iter(self._applied)))

    def show(self) -> list[Order]:
        """Return the executed orders, oldest first."""
        return list(self._applied.values())

    def _execute(self, order: Order) -> None:
        match order.kind:
            case 'load':
                self._load(order)
            case 'unload':
                self._loader.stop_replica(order)
                self._memory.remove_replica(order)
            case 'load_adapter':
                self._load_adapter(order)
            case 'unload_adapter':
                self._memory.remove_adapter(order)

    def _load(self, order: Order) -> None:
        replica = self._memory.add_replica(order)
        if replica is not None:
            self._loader.start_replica(order, replica)

    def _load_adapter(self, order: Order) -> None:
        adapter = self._memory.add_adapter(order)
        if adapter is not None:
            self._loader.start_adapter(adapter)
