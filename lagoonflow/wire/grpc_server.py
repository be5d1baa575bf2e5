"""gRPC server for the methods of one program."""

import contextlib
import dataclasses
import socket
import ssl
from collections.abc import Callable, Collection
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from lagoonflow.clock import MS_PER_S
from lagoonflow.time_limits import TimeLimit
from lagoonflow.wire.codec import MessagePackCodec
from lagoonflow.wire.connection_settings import ConnectionSettings
from lagoonflow.wire.message_limits import limit_messages
from lagoonflow.wire.methods import Method

Certificate = dict[str, Any]
Authorise = Callable[[Method, Certificate | None], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A gRPC method with its handler.

    :param handle: coroutine function that takes the request and returns the
        reply; for a streaming method, async generator function that yields
        the replies.
    """

    method: Method
    handle: Callable[[Any], Any]


class RouteHandlers:
    """Converts routes to grpclib handlers.

    :param send_timeout_ms: longest time that a client which does not read
        may block a stream, in ms.
    :param authorise: tells whether the client with a TLS certificate may
        call a method; without it every client may call every method.
    """

    def __init__(
        self,
        routes: Collection[Route],
        send_timeout_ms: int,
        authorise: Authorise | None = None,
    ) -> None:
        """Store the routes."""
        self._routes = routes
        self._send_timeout_s = send_timeout_ms / MS_PER_S
        self._authorise = authorise

    def __mapping__(self) -> dict[str, Handler]:  # noqa: PLW3201
        """Return the handlers by method path, for grpclib."""
        return {
            route.method.path: self._handler(route) for route in self._routes
        }

    def _handler(self, route: Route) -> Handler:
        async def serve(stream: Stream[Any, Any]) -> None:
            await self._serve(route, stream)

        method = route.method
        return Handler(
            serve, method.cardinality, method.request_type, method.reply_type
        )

    async def _serve(self, route: Route, stream: Stream[Any, Any]) -> None:
        self._check(route.method, stream)
        limit_messages(stream)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'no request message')
        if route.method.cardinality is Cardinality.UNARY_UNARY:
            await self._send(stream, await route.handle(request))
            return
        async with contextlib.aclosing(route.handle(request)) as replies:
            async for reply in replies:
                await self._send(stream, reply)

    async def _send(self, stream: Stream[Any, Any], reply: Any) -> None:
        async with TimeLimit(self._send_timeout_s):
            await stream.send_message(reply)

    def _check(self, method: Method, stream: Stream[Any, Any]) -> None:
        if self._authorise is None:
            return
        certificate = stream.peer.cert()
        if not self._authorise(method, certificate):
            raise GRPCError(
                Status.PERMISSION_DENIED,
                'the role of the client may not call this method',
            )


class GrpcServer:
    """Serves gRPC methods on one port."""

    def __init__(
        self,
        routes: Collection[Route],
        settings: ConnectionSettings | None = None,
        ssl_context: ssl.SSLContext | None = None,
        authorise: Authorise | None = None,
    ) -> None:
        """Create the server; needs a running event loop.

        :param ssl_context: context for TLS; None serves without it.
        :param authorise: tells whether the client with a TLS certificate
            may call a method; without it every client may.
        """
        settings = settings or ConnectionSettings()
        self._ssl_context = ssl_context
        handlers = RouteHandlers(routes, settings.send_timeout_ms, authorise)
        self._server = Server(
            [handlers],
            codec=MessagePackCodec(),
            config=settings.configuration(),
        )

    async def start(self, host: str, port: int) -> int:
        """Listen and return the bound port; port 0 chooses a free one.

        :raises OSError: when the address can't be bound.
        """
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
        except OSError:
            listener.close()
            raise
        await self._server.start(sock=listener, ssl=self._ssl_context)
        return listener.getsockname()[1]

    async def close(self) -> None:
        """Stop listening, cancel running calls and close connections."""
        self._server.close()
        await self._server.wait_closed()
