"""Runs handlers of requests, and stops them when callers send no more."""

import asyncio
from collections.abc import Awaitable, Callable


class HandlerRun:
    """Runs one handler after the other in the task of a connection."""

    def __init__(self) -> None:
        """Run nothing yet."""
        self._task: asyncio.Task[object] | None = None
        self._is_stopped = False

    def stop(self) -> None:
        """Cancel the handler that is running, if any; its task goes on."""
        if self._task is not None and not self._is_stopped:
            self._is_stopped = True
            self._task.cancel()

    async def run(
        self,
        handler: Awaitable[None],
        is_answered: Callable[[], bool],
        *,
        may_wait: bool,
    ) -> None:
        """Await a handler.

        :param is_answered: returns whether the handler has sent a whole
            response.
        :param may_wait: whether the handler may wait; else it is stopped when
            it does.
        :raises asyncio.CancelledError: when the handler was stopped before it
            had sent a whole response, or when the task was cancelled; the task
            then ends.
        """
        self._task = asyncio.current_task()
        if not may_wait:
            asyncio.get_running_loop().call_soon(self.stop)
        try:
            await handler
        except asyncio.CancelledError:
            is_only_reason = self._is_stopped and self._task.cancelling() == 1
            if not (is_only_reason and is_answered()):
                # The task stays cancelled, which tells its end from that of
                # something that the handler has waited for.
                self._is_stopped = False
                raise
        finally:
            self._end()

    def _end(self) -> None:
        if self._is_stopped:
            self._task.uncancel()
        self._task = None
        self._is_stopped = False
