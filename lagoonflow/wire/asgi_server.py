"""Serves ASGI applications with uvicorn in the program's event loop."""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Iterator
from typing import Any

import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from lagoonflow.http1.listening import stop_listening
from lagoonflow.wire.address import Address

BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 30
# What is read of a connection before others are served. uvicorn parses all that
# was read at once, which may hold thousands of chunks of a body.
MAX_READ_BYTES = 4096


class _Protocol(H11Protocol):
    """A connection whose input is parsed in small parts."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bound what asyncio reads at once."""
        super().connection_made(transport)
        transport.max_size = MAX_READ_BYTES


class _Server(uvicorn.Server):
    """A uvicorn server on one socket that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Keep the signal handlers of the program."""
        yield

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Serve the requests that were sent before, then shut down."""
        for server, listener in zip(self.servers, sockets or [], strict=True):
            await stop_listening(
                server, listener, self._create_protocol, self.config.ssl
            )
        await super().shutdown(sockets)

    def _create_protocol(self) -> asyncio.Protocol:
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


def bind(address: Address) -> socket.socket:
    """Bind a listening TCP socket.

    :raises OSError: when the address is in use or not one of this machine.
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
    """Return the address to which a socket is bound."""
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
        """Create the server; ``start`` runs it.

        :param listener: bound socket.
        :param tls: context for HTTPS; None serves plain HTTP.
        :param max_connections: number of open connections at which
            requests start to be answered with status 503; None for no limit.
        :param max_header_bytes: longest accepted request head, in bytes.
        """
        config = uvicorn.Config(
            app,
            http=_Protocol,
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
        """The address to which the server is bound."""
        return bound_address(self._listener)

    async def start(self) -> None:
        """Start serving in a background task."""
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._listener]),
        )

    async def stop(self) -> None:
        """Stop accepting connections, and wait for the open requests.

        Those still open after ``SHUTDOWN_TIMEOUT_S`` are cancelled.
        """
        self._server.should_exit = True
        if self._task is not None:
            await self._task
