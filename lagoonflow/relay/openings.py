"""Connections that go on being opened for a call that looks elsewhere."""

import asyncio
from collections.abc import Callable

import structlog

from lagoonflow.cancellations import is_cancelled
from lagoonflow.http1.client import ClientConnection, ConnectionPool
from lagoonflow.http1.connection_ends import WAIT_ENDED_ERRORS
from lagoonflow.http1.messages import ExchangeError, ExchangeStage
from lagoonflow.time_limits import time_limit

# A connection must open within this time; a host on the same network accepts
# within a few ms. After it, another server is preferred.
CONNECT_TIMEOUT_MS = 400
# An attempt to connect goes on for this long. The kernel repeats it after one
# and after three seconds.
LONGEST_OPENING_MS = 3500
_LOG = structlog.get_logger(part='servers')


class Opening:
    """An attempt to connect to a server, of one call.

    :ivar is_open: the connection has opened, and is idle in its pool.
    :ivar has_failed: it can't be opened.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        task: asyncio.Task[ClientConnection],
        on_open: Callable[[], None],
    ) -> None:
        """Keep the connection in its pool once it has opened.

        :param on_open: called then.
        """
        self.is_open = False
        self.has_failed = False
        self._on_open = on_open
        self._pool = pool
        self._task = task
        task.add_done_callback(self._finish)

    def close(self) -> None:
        """End the attempt."""
        self._task.cancel()

    def _finish(self, task: asyncio.Task[ClientConnection]) -> None:
        error = None if task.cancelled() else task.exception()
        if task.cancelled() or error is not None:
            self.has_failed = True
            if error is not None and not isinstance(error, ExchangeError):
                _LOG.error('connecting failed', exc_info=error)
            return
        self._pool.keep_unused(task.result())
        self.is_open = True
        self._on_open()


class LateServers:
    """Servers that have accepted no connection since one was late."""

    def __init__(self) -> None:
        """Start without late servers."""
        self._late_since_ms: dict[str, float] = {}

    def note_open(self, instance: str) -> None:
        """Record that a server has accepted a connection."""
        self._late_since_ms.pop(instance, None)

    def note_late(self, instance: str, now_ms: float) -> bool:
        """Record that a server did not accept a connection in time.

        :return: whether it may accept one soon. One that has accepted none for
            as long as an attempt goes on is probably down.
        """
        since_ms = self._late_since_ms.setdefault(instance, now_ms)
        return now_ms - since_ms < LONGEST_OPENING_MS

    def forget(self, instance: str) -> None:
        """Drop the record of a server that was removed."""
        self._late_since_ms.pop(instance, None)


async def open_in_time(
    pool: ConnectionPool, timeout_ms: float, on_late_open: Callable[[], None]
) -> ClientConnection | Opening:
    """Open a connection, or return the attempt if it takes longer than usual.

    :param timeout_ms: time that is left for the call, in ms.
    :param on_late_open: called when an attempt that took longer has succeeded.
    :raises ExchangeError: when the server can't be connected to.
    """
    longest_ms = min(LONGEST_OPENING_MS, timeout_ms)
    task = asyncio.create_task(pool.connect(longest_ms))
    try:
        async with time_limit(min(CONNECT_TIMEOUT_MS, timeout_ms)):
            return await asyncio.shield(task)
    except TimeoutError:
        return Opening(pool, task, on_late_open)
    except WAIT_ENDED_ERRORS as error:
        Opening(pool, task, on_late_open).close()
        if is_cancelled():
            raise
        reason = 'the attempt to connect was cancelled'
        raise ExchangeError(ExchangeStage.CONNECTING, reason) from error
