"""Background work of a task, with its errors logged."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog


class Background:
    """Runs coroutines beside a task and ends them with it.

    :param prefix: prefix of the log lines.
    """

    def __init__(self, prefix: str) -> None:
        self._log = structlog.get_logger()
        self._prefix = prefix
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a coroutine."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def close(self) -> None:
        """Cancel what still runs, and wait for its end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.error(f'{self._prefix}: work failed', exc_info=error)
