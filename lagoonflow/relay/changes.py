"""Notification of tasks that wait for the fleet to change."""

import asyncio

from lagoonflow.clock import MS_PER_S


class ChangeNotifier:
    """Wakes all waiting tasks at once; each waits with its own timeout."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait(self, timeout_ms: float) -> None:
        """Return at the next notification, or after the timeout."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait({waiter}, timeout=timeout_ms / MS_PER_S)
        finally:
            self._waiters.discard(waiter)
