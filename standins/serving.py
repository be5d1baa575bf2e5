"""Serves a stand-in: control routes, flags and the `listening` line."""

import argparse
import socket
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp

from standins.faults import FaultSwitch
from standins.middleware import FaultMiddleware, RequestLog, reply

SHUTDOWN_TIMEOUT_S = 1
LISTEN_BACKLOG = 512

BodyT = TypeVar('BodyT')


async def read_body(request: Request, body_type: type[BodyT]) -> BodyT:
    """Decode and validate a JSON body.

    :raises msgspec.MsgspecError: when the body is not valid.
    """
    return msgspec.json.decode(await request.body(), type=body_type)


async def _malformed(request: Request, error: Exception) -> Response:
    return reply({'error': str(error)}, 400)


def build_app(
    routes: list[BaseRoute],
    switch: FaultSwitch[Any],
    counts: Callable[[], dict[str, Any]],
) -> ASGIApp:
    """Build the application of a stand-in with `/faults` and `/counts`.

    :param routes: routes of the stand-in besides these two.
    :param switch: the current faults.
    :param counts: returns the counters of the stand-in.
    """
    requests = RequestLog()

    async def show_faults(request: Request) -> Response:
        return reply(switch.current)

    async def switch_faults(request: Request) -> Response:
        switch.merge(await read_body(request, dict[str, Any]))
        return reply(switch.current)

    async def show_counts(request: Request) -> Response:
        return reply({**counts(), **requests.counts()})

    control = [
        Route('/faults', show_faults, methods=['GET']),
        Route('/faults', switch_faults, methods=['POST']),
        Route('/counts', show_counts, methods=['GET']),
    ]
    app = Starlette(
        routes=control + routes,
        exception_handlers={msgspec.MsgspecError: _malformed},
    )
    return FaultMiddleware(app, switch, requests)


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the flags that all stand-ins have in common."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    return parser


class _Server(uvicorn.Server):
    """Prints the address it listens on once it accepts connections."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        for listener in sockets or []:
            host, port = listener.getsockname()[:2]
            print(f'listening {host}:{port}', flush=True)  # noqa: WPS421


def serve(app: ASGIApp, host: str, port: int) -> None:
    """Serve an application until SIGTERM.

    :param app: the ASGI application.
    :param host: address to bind.
    :param port: port to bind; 0 for a free one.
    :raises OSError: when the address can't be bound.
    """
    listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    config = uvicorn.Config(
        app,
        log_level='warning',
        access_log=False,
        proxy_headers=False,
        lifespan='off',
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    _Server(config).run(sockets=[listener])
