"""Accepts connections, also while the process has no descriptors left."""

import asyncio
import contextlib
import errno
import functools
import socket
from collections.abc import Callable

import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.http1.descriptors import lowest_free

# Connections that are accepted in a row before other tasks run.
MAX_ACCEPTED_IN_ROW = 1024
# Pause before accepting is tried again when descriptors or memory ran out, in ms.
# Callers give up after some hundred ms in the kernel's queue.
RETRY_MS = 10
# A shortage is logged again after this time, in ms.
LOG_INTERVAL_MS = 5000
_SHORTAGES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
_LOG = structlog.get_logger(part='http')


class Acceptor:
    """Accepts the connections of a listening socket.

    On a shortage, the loop of asyncio repeats a failed accept for each place of
    the backlog, logs each with a traceback, and then waits for a second.

    :param listener: socket in non-blocking mode, which it closes.
    :param open_channel: returns the protocol of an accepted connection.
    :param on_shortage: called when a connection can't be accepted.
    :param must_pause: returns whether to pause when the next descriptor would
        have a number.
    :ivar sockets: the listening socket; empty once it is closed.
    """

    def __init__(
        self,
        listener: socket.socket,
        open_channel: Callable[[socket.socket], asyncio.Protocol],
        on_shortage: Callable[[], object],
        must_pause: Callable[[float], bool],
    ) -> None:
        """Create an acceptor; :meth:`start` accepts connections."""
        self.sockets = (listener,)
        self._listener = listener
        self._open_channel = open_channel
        self._on_shortage = on_shortage
        self._must_pause = must_pause
        self._openings: set[asyncio.Task[object]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._log_again_at_ms: float = 0

    def start(self) -> None:
        """Accept connections from now on, in the running event loop."""
        self._retry = None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listener.fileno(), self._accept_waiting)

    async def accept_queue(self, timeout_ms: float) -> None:
        """Accept the connections that wait, also while descriptors are short.

        :param timeout_ms: longest wait for descriptors, in ms.
        """
        until_ms = boottime_ms() + timeout_ms
        while self.sockets and boottime_ms() < until_ms:
            if self._retry is None:
                self._accept_waiting()
            if self._retry is None:
                return
            await asyncio.sleep(RETRY_MS / MS_PER_S)

    def close(self) -> None:
        """Accept no more, and close the socket; may be called repeatedly."""
        if not self.sockets:
            return
        self.sockets = ()
        if self._retry is not None:
            self._retry.cancel()
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        self._listener.close()

    def _accept_waiting(self) -> None:
        with contextlib.suppress(BlockingIOError):
            for _ in range(MAX_ACCEPTED_IN_ROW):
                self._accept_next()

    def _accept_next(self) -> None:
        """Accept a connection.

        :raises BlockingIOError: when none waits, or none can be accepted now.
        """
        try:
            accepted, _ = self._listener.accept()
        except ConnectionAbortedError:
            return
        except OSError as error:
            if error.errno not in _SHORTAGES:
                raise
            self._pause(str(error))
            raise BlockingIOError from error
        self._open(accepted)
        if self._must_pause(accepted.fileno() + 1):
            self._pause('descriptors are short')
            raise BlockingIOError

    def _open(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        opening = loop.create_task(
            loop.connect_accepted_socket(
                functools.partial(self._open_channel, accepted), accepted
            )
        )
        self._openings.add(opening)
        opening.add_done_callback(self._finish)

    def _finish(self, opening: asyncio.Task[object]) -> None:
        self._openings.discard(opening)
        if not opening.cancelled() and opening.exception() is not None:
            _LOG.warning('connection not opened', why=repr(opening.exception()))

    def _try_again(self) -> None:
        if self._must_pause(lowest_free()):
            self._pause('descriptors are short')
        else:
            self.start()

    def _pause(self, reason: str) -> None:
        now_ms = boottime_ms()
        if now_ms >= self._log_again_at_ms:
            _LOG.warning('connections not accepted', why=reason)
            self._log_again_at_ms = now_ms + LOG_INTERVAL_MS
        self._on_shortage()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
        self._retry = loop.call_later(RETRY_MS / MS_PER_S, self._try_again)
