"""Administrative HTTP endpoints that every router and agent serves."""

import dataclasses
from collections.abc import Callable

import msgspec
import prometheus_client as prometheus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from lagoonflow.telemetry.timeline import EventFilter, TimeLine

JSON_TYPE = 'application/json'
OK = 200
BAD_REQUEST = 400
NOT_READY = 503


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStatus:
    """How far a process has read one stream.

    :param next_offset: offset of the first record that is not yet applied.
    :param rejected: number of invalid records that were skipped.
    """

    next_offset: int
    rejected: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Status of one process, as ``lagoonflowctl status`` shows it.

    :param process: name of the process.
    :param role: whether it is a router or an agent.
    :param zone: its availability zone.
    :param reason: why it is not ready; empty when it is.
    :param version: installed version of lagoonflow.
    :param streams: progress in each stream, by the name of the stream.
    """

    process: str
    role: str
    zone: str
    is_ready: bool
    reason: str
    version: str
    streams: dict[str, StreamStatus] = dataclasses.field(default_factory=dict)


StatusSource = Callable[[], ProcessStatus]


class AdminApp:
    """Serves liveness, readiness, metrics, status and the time line."""

    def __init__(
        self,
        registry: prometheus.CollectorRegistry,
        timeline: TimeLine,
        status: StatusSource,
    ) -> None:
        """Serve the given registry and time line.

        :param status: returns the present status of the process.
        """
        self._registry = registry
        self._timeline = timeline
        self._status = status

    def build(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/live', self._live),
                Route('/ready', self._ready),
                Route('/metrics', self._metrics),
                Route('/status', self._show_status),
                Route('/timeline', self._show_timeline),
            ],
        )

    async def _live(self, _request: Request) -> Response:
        return Response('live\n')

    async def _ready(self, _request: Request) -> Response:
        status = self._status()
        if status.is_ready:
            return Response('ready\n')
        return Response(f'not ready: {status.reason}\n', NOT_READY)

    async def _metrics(self, _request: Request) -> Response:
        return Response(
            prometheus.generate_latest(self._registry),
            media_type=prometheus.CONTENT_TYPE_LATEST,
        )

    async def _show_status(self, _request: Request) -> Response:
        return _json_response(self._status())

    async def _show_timeline(self, request: Request) -> Response:
        query = request.query_params
        try:
            since_ms = float(query.get('since_ms', '0'))
        except ValueError:
            return Response('since_ms is not a number\n', BAD_REQUEST)
        event_filter = EventFilter(
            request_id=query.get('request', ''),
            model=query.get('model', ''),
            host=query.get('host', ''),
            since_ms=since_ms,
        )
        return _json_response(tuple(self._timeline.select(event_filter)))


def _json_response(content: object) -> Response:
    return Response(
        msgspec.json.encode(content),
        OK,
        media_type=JSON_TYPE,
    )
