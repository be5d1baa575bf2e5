"""Lets tasks wait for a condition on state that another task changes."""

import asyncio
from collections.abc import Callable

from lagoonflow.time_limits import time_limit


class ChangeSignal:
    """Wakes all waiting tasks when the state has changed."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify_all(self) -> None:
        """Make all waiting tasks check their conditions again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_ms: int
    ) -> bool:
        """Wait until a condition holds.

        :param timeout_ms: time limit, in ms.
        :returns: false when the condition does not hold in time.
        """
        try:
            async with time_limit(timeout_ms):
                while not condition():
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
