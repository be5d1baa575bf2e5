"""Notification of tasks that wait for the fleet to change."""

import asyncio

from lagoonflow.clock import MS_PER_S


class ChangeNotifier:
    """Wakes all waiting tasks at once; each waits with its own timeout.

    Tasks resume in the order in which their calls arrived: what the first one
    takes, such as the last place at a server, the others find taken.
    """

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._waiters: dict[asyncio.Future[None], float] = {}

    def notify(self) -> None:
        """Wake all waiting tasks."""
        waiters = sorted(self._waiters, key=self._waiters.__getitem__)
        self._waiters.clear()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_ms: float, arrived_ms: float) -> None:
        """Return at the next notification, or after the timeout.

        :param arrived_ms: boot time at which the waiting call arrived.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = arrived_ms
        try:
            await asyncio.wait({waiter}, timeout=timeout_ms / MS_PER_S)
        finally:
            self._waiters.pop(waiter, None)
