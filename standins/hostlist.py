"""Stand-in for the platform's host list, which shows changes late."""

from collections import Counter
from typing import Any, Literal

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp

from standins.faults import Faults, FaultSwitch
from standins.lagged import LaggedValue
from standins.middleware import reply
from standins.serving import (
    build_app,
    build_parser,
    read_body,
    serve,
)


class HostBody(msgspec.Struct, frozen=True):
    """The entry of one host in the list.

    :param address: IP address.
    :param port: port of the program there.
    :param zone: availability zone.
    :param role: role of the program, such as `router`.
    :param state: `leaving` when the host will soon be removed.
    """

    address: str
    port: int
    zone: str
    role: str
    state: Literal['live', 'leaving'] = 'live'


class HostList:
    """Keeps the list of hosts and answers requests.

    :param lag_ms: delay after which readers see a change, in ms.
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
