"""Runs ASGI applications with uvicorn inside the program's event loop."""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Iterator
from typing import Any

import uvicorn

from lagoonflow.wire.address import Address

BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 30


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the program."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield


def bind(address: Address) -> socket.socket:
    """Bind a listening TCP socket.

    :raises OSError: when the address is taken or not ours.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def bound_address(listener: socket.socket) -> Address:
    """Return the address that a socket was bound to."""
    host, port = listener.getsockname()[:2]
    return Address(host, port)


class AsgiServer:
    """Serves one ASGI application on one bound socket."""

    def __init__(
        self,
        app: Any,
        listener: socket.socket,
        tls: ssl.SSLContext | None = None,
        max_connections: int | None = None,
        max_header_bytes: int = 65536,
    ) -> None:
        """Prepare the server.

        :param max_connections: connections above it are answered with 503.
        :param max_header_bytes: larger request heads are refused.
        """
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan='off',
            server_header=False,
            limit_concurrency=max_connections,
            h11_max_incomplete_event_size=max_header_bytes,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
            backlog=BACKLOG,
        )
        self._listener = listener
        self._server = _Server(config)
        if tls is not None:
            config.load()
            config.ssl = tls
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> Address:
        """The bound address."""
        return bound_address(self._listener)

    async def start(self) -> None:
        """Begin to serve in the background."""
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._listener]),
        )

    async def stop(self) -> None:
        """Finish the open requests, then stop."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
