"""Background tasks that end with their owner and log their errors."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Self, TypeVar

import structlog

ResultT = TypeVar('ResultT')

_log = structlog.get_logger()


class BackgroundTasks:
    """Runs coroutines as asyncio tasks until the context is left.

    :param prefix: name of the owner, which starts each log line.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._tasks: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> Self:
        """Enter the context in which the tasks run."""
        return self

    async def __aexit__(self, *error: object) -> None:
        """Cancel the tasks that still run, and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(
        self,
        work: Coroutine[Any, Any, ResultT],
    ) -> asyncio.Task[ResultT]:
        """Run a coroutine as a task; an error in it is logged."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _log.error(
                f'{self._prefix}: background task failed', exc_info=error
            )
