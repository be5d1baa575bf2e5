"""Background tasks of a program, which are cancelled together."""

import asyncio
from collections.abc import Coroutine

from lagoonflow.cancellations import is_cancelled
from lagoonflow.telemetry.logs import get_logger


class BackgroundTasks:
    """Runs tasks that last as long as the program."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: list[asyncio.Task] = []

    def start(self, name: str, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task; an exception of it is logged.

        So is the cancellation of something that it waits for.

        :param name: name of the task in the log.
        """
        self._tasks.append(asyncio.create_task(_log_failure(name, coroutine)))

    async def stop(self) -> None:
        """Cancel all tasks and wait for them to end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()


async def _log_failure(
    name: str, coroutine: Coroutine[None, None, None]
) -> None:
    try:
        await coroutine
    except (Exception, asyncio.CancelledError) as error:
        if isinstance(error, asyncio.CancelledError) and is_cancelled():
            raise
        get_logger('program').error(
            'Background task failed.',
            task=name,
            error=repr(error),
            exc_info=True,
        )
