"""HTTP interface of the log service."""

import time
from collections import Counter
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp

from standins.faults import Faults, FaultSwitch
from standins.lagged import MS_PER_S
from standins.log.streams import AppendLimit, Stream
from standins.middleware import reply
from standins.serving import build_app, read_body

DEFAULT_LIMIT = 1000


class LogFaults(Faults, frozen=True, kw_only=True):
    """Faults of the log service.

    :param lose_append_answers: how many of the next appends take effect, but are
        answered with 503.
    :param expire_all: drop all records, once; offsets continue.
    """

    lose_append_answers: int = 0
    expire_all: bool = False


class AppendBody(msgspec.Struct, frozen=True):
    """Body of an append request.

    :param records: texts to append, in order.
    """

    records: list[str]


class LogService:
    """Answers appends and long-polling reads.

    :param appends_per_s: append requests that are admitted per second.
    :param retention_s: how long records are kept, in seconds.
    """

    def __init__(self, appends_per_s: float, retention_s: float) -> None:
        self._retention_ms = retention_s * MS_PER_S
        self._append_limit = AppendLimit(appends_per_s)
        self._streams: dict[str, Stream] = {}
        self._counts: Counter[str] = Counter()
        self._switch = FaultSwitch(LogFaults())
        self._switch.on_change = self._apply_faults

    def app(self) -> ASGIApp:
        """Return the ASGI application."""
        path = '/streams/{stream}/records'
        routes = [
            Route(path, self._append, methods=['POST']),
            Route(path, self._read, methods=['GET']),
        ]
        return build_app(routes, self._switch, self._show_counts)

    async def _append(self, request: Request) -> Response:
        body = await read_body(request, AppendBody)
        if not self._append_limit.admit():
            self._counts['appends_refused'] += 1
            return reply({'error': 'append rate'}, 429, {'Retry-After': '1'})
        self._counts['appends'] += 1
        self._counts['records'] += len(body.records)
        first_offset = self._stream(request).append(body.records)
        if self._switch.use_one('lose_append_answers'):
            self._counts['answers_lost'] += 1
            return reply({'error': 'answer lost'}, 503)
        return reply({'first_offset': first_offset})

    async def _read(self, request: Request) -> Response:
        query = request.query_params
        try:
            offset = int(query.get('offset', 0))
            limit = int(query.get('limit', DEFAULT_LIMIT))
            wait_s = float(query.get('wait_ms', 0)) / MS_PER_S
        except ValueError as error:
            return reply({'error': str(error)}, 400)
        self._counts['reads'] += 1
        stream = self._stream(request)
        await self._wait_for_record(stream, offset, wait_s)
        return _read_answer(stream, offset, limit)

    async def _wait_for_record(
        self,
        stream: Stream,
        offset: int,
        wait_s: float,
    ) -> None:
        deadline_s = time.monotonic() + wait_s
        while stream.head <= offset and not self._switch.current.outage:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return
            await stream.wait(remaining_s)

    def _stream(self, request: Request) -> Stream:
        name = request.path_params['stream']
        if name not in self._streams:
            self._streams[name] = Stream(self._retention_ms)
        return self._streams[name]

    def _apply_faults(self) -> None:
        must_expire = self._switch.use_flag('expire_all')
        for stream in self._streams.values():
            if must_expire:
                stream.expire_all()
            stream.notify_readers()

    def _show_counts(self) -> dict[str, Any]:
        heads = {name: stream.head for name, stream in self._streams.items()}
        return {**self._counts, 'heads': heads}


def _read_answer(stream: Stream, offset: int, limit: int) -> Response:
    bounds = {'earliest': stream.earliest, 'head': stream.head}
    if offset < stream.earliest:
        return reply({'error': 'expired', **bounds}, 410)
    return reply({'records': stream.read(offset, limit), **bounds})
