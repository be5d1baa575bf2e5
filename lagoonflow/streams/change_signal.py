"""Lets tasks wait for a condition on the state of another task."""

import asyncio
from collections.abc import Callable

from lagoonflow.clock import MS_PER_S


class ChangeSignal:
    """Wakes all waiting tasks when the state has moved."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify_all(self) -> None:
        """Let all waiting tasks check their conditions."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_ms: int
    ) -> bool:
        """Wait until a condition holds.

        :returns: false when it does not within the timeout, in ms.
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                while not condition():
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
