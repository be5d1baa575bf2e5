"""Wakes tasks that wait for the fleet to change."""

import asyncio

from lagoonflow.clock import MS_PER_S


class ChangeNotifier:
    """A condition that many tasks wait for, each with its own time limit."""

    def __init__(self) -> None:
        """Start without waiters."""
        self._waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake all waiters."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait(self, timeout_ms: float) -> None:
        """Wait for a change or until the time is over."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait({waiter}, timeout=timeout_ms / MS_PER_S)
        finally:
            self._waiters.discard(waiter)
