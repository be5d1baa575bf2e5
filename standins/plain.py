"""Stand-in for a plain service, which counts how often each call runs."""

import asyncio
from collections import Counter
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp

from standins.faults import Faults, FaultSwitch
from standins.lagged import MS_PER_S
from standins.middleware import close_without_answer, reply
from standins.serving import build_app, build_parser, serve

METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')


class PlainFaults(Faults, frozen=True, kw_only=True):
    """Faults of a plain service.

    :param close_before_answer: how many of the next calls run, but get their
        connection closed instead of an answer.
    """

    close_before_answer: int = 0


class PlainService:
    """Answers calls and counts their executions.

    :param service: name of the service, which its answers contain.
    :param work_ms: duration of one call, in ms.
    """

    def __init__(self, service: str, work_ms: float) -> None:
        self._service = service
        self._work_s = work_ms / MS_PER_S
        self._total = 0
        self._by_request: Counter[str] = Counter()
        self._by_body: Counter[str] = Counter()
        self._by_path: Counter[str] = Counter()
        self._switch = FaultSwitch(PlainFaults())

    def app(self) -> ASGIApp:
        """Return the ASGI application."""
        routes = [Route('/{path:path}', self._call, methods=METHODS)]
        return build_app(routes, self._switch, self._show_counts)

    async def _call(self, request: Request) -> Response:
        body = (await request.body()).decode('utf-8', 'replace')
        self._total += 1
        execution = self._total
        self._by_request[request.headers.get('x-request-id', '')] += 1
        self._by_body[body] += 1
        self._by_path[request.url.path] += 1
        await asyncio.sleep(self._work_s)
        if self._switch.use_one('close_before_answer'):
            return await close_without_answer(request)
        answer = {
            'service': self._service,
            'path': request.url.path,
            'execution': execution,
            'echo': body,
        }
        return reply(answer)

    def _show_counts(self) -> dict[str, Any]:
        return {
            'executions': self._total,
            'by_request_id': dict(self._by_request),
            'by_body': dict(self._by_body),
            'by_path': dict(self._by_path),
        }


def main() -> None:
    """Read the flags and serve."""
    parser = build_parser('Plain service.')
    parser.add_argument('--service', default='plain')
    parser.add_argument('--work-ms', type=float, default=5)
    flags = parser.parse_args()
    service = PlainService(flags.service, flags.work_ms)
    serve(service.app(), flags.host, flags.port)


if __name__ == '__main__':
    main()
