"""Stand-in for the platform's lagging list of hosts."""

from collections import Counter
from typing import Any, Literal

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp

from standins.faults import Faults, FaultSwitch
from standins.gate import reply
from standins.lagged import LaggedValue
from standins.serving import (
    build_app,
    build_parser,
    read_body,
    serve,
)


class HostBody(msgspec.Struct, frozen=True):
    """What the platform says of one host.

    :param address: IP address.
    :param port: port of the program there.
    :param zone: availability zone.
    :param role: duty of the host.
    :param state: whether the host is about to go.
    """

    address: str
    port: int
    zone: str
    role: str
    state: Literal['live', 'leaving'] = 'live'


class HostList:
    """Keeps the hosts and shows them late.

    :param lag_ms: how late readers see a change, in ms.
    """

    def __init__(self, lag_ms: float) -> None:
        self._hosts: dict[str, HostBody] = {}
        self._seen: LaggedValue[dict[str, HostBody]] = LaggedValue({}, lag_ms)
        self._switch = FaultSwitch(Faults())
        self._counts: Counter[str] = Counter()

    def app(self) -> ASGIApp:
        """Return the ASGI application."""
        routes = [
            Route('/hosts', self._show, methods=['GET']),
            Route('/hosts/{name}', self._put, methods=['PUT']),
            Route('/hosts/{name}', self._delete, methods=['DELETE']),
        ]
        return build_app(routes, self._switch, self._show_counts)

    async def _show(self, request: Request) -> Response:
        self._counts['reads'] += 1
        hosts = [
            {'name': name, **msgspec.to_builtins(host)}
            for name, host in self._seen.get().items()
        ]
        return reply({'hosts': hosts})

    async def _put(self, request: Request) -> Response:
        host = await read_body(request, HostBody)
        self._hosts[request.path_params['name']] = host
        self._seen.put(self._hosts.copy())
        return reply(host)

    async def _delete(self, request: Request) -> Response:
        removed = self._hosts.pop(request.path_params['name'], None)
        self._seen.put(self._hosts.copy())
        return reply({'removed': removed is not None})

    def _show_counts(self) -> dict[str, Any]:
        return dict(self._counts)


def main() -> None:
    """Read the flags and serve."""
    parser = build_parser('Lagging list of hosts.')
    parser.add_argument('--lag-ms', type=float, default=1000)
    flags = parser.parse_args()
    serve(HostList(flags.lag_ms).app(), flags.host, flags.port)


if __name__ == '__main__':
    main()
