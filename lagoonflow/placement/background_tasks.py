"""Background work of a task, with its errors logged."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Self, TypeVar

import structlog

ResultT = TypeVar('ResultT')

_log = structlog.get_logger()


class BackgroundTasks:
    """Runs coroutines beside a task and ends them with it.

    :param prefix: prefix of the log lines.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._tasks: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> Self:
        """Return itself."""
        return self

    async def __aexit__(self, *error: object) -> None:
        """Cancel what still runs, and wait for its end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(
        self,
        work: Coroutine[Any, Any, ResultT],
    ) -> asyncio.Task[ResultT]:
        """Start a coroutine."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _log.error(f'{self._prefix}: work failed', exc_info=error)
