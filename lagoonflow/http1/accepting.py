"""Accepts connections, also while the process has no descriptors left."""

import asyncio
import contextlib
import errno
import functools
import socket
from collections.abc import Callable

import structlog

from lagoonflow.clock import MS_PER_S

# Connections that are accepted in a row before other tasks run.
MAX_ACCEPTED_IN_ROW = 1024
# Pause before accepting is tried again when descriptors or memory ran out, in ms.
# Callers give up after some hundred ms in the kernel's queue.
RETRY_MS = 50
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
    :ivar sockets: the listening socket; empty once it is closed.
    """

    def __init__(
        self,
        listener: socket.socket,
        open_channel: Callable[[socket.socket], asyncio.Protocol],
        on_shortage: Callable[[], object],
    ) -> None:
        """Create an acceptor; :meth:`start` accepts connections."""
        self.sockets = (listener,)
        self._listener = listener
        self._open_channel = open_channel
        self._on_shortage = on_shortage
        self._openings: set[asyncio.Task[object]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._is_short = False

    def start(self) -> None:
        """Accept connections from now on, in the running event loop."""
        self._retry = None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listener.fileno(), self._accept_waiting)

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

        :raises BlockingIOError: when none waits, or none can be accepted.
        """
        try:
            accepted, _ = self._listener.accept()
        except ConnectionAbortedError:
            return
        except OSError as error:
            if error.errno not in _SHORTAGES:
                raise
            self._pause(error)
            raise BlockingIOError from error
        self._is_short = False
        self._open(accepted)

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

    def _pause(self, error: OSError) -> None:
        if not self._is_short:
            _LOG.warning('connections not accepted', why=str(error))
        self._is_short = True
        self._on_shortage()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
        self._retry = loop.call_later(RETRY_MS / MS_PER_S, self.start)
