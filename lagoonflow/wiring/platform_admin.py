"""HTTP server for readiness checks and metrics, on the users' platform."""

from collections.abc import Callable

import prometheus_client as prometheus

from lagoonflow.http1.request_bodies import RequestBodies
from lagoonflow.http1.request_reader import CallerRequest, ServerLimits
from lagoonflow.http1.server import HttpServer, ResponseWriter

READY_PATH = b'/readyz'
METRICS_PATH = b'/metrics'
# Longest body of a request; none needs one.
MAX_BODY_BYTES = 65_536
# Bytes of the bodies of all requests together.
MAX_BODIES_BYTES = 1_048_576
_TEXT = ((b'Content-Type', b'text/plain; charset=utf-8'),)


class AdminServer:
    """Answers readiness checks and serves metrics.

    :param registry: metrics to serve.
    :param is_ready: returns whether callers should be sent to this process.
    """

    def __init__(
        self,
        registry: prometheus.CollectorRegistry,
        is_ready: Callable[[], bool],
    ) -> None:
        """Create the server; ``http.listen`` binds its address."""
        limits = ServerLimits(body_bytes=MAX_BODY_BYTES)
        self.http = HttpServer(
            self._handle,
            self._refuse,
            lambda: limits,
            bodies=RequestBodies(MAX_BODIES_BYTES),
        )
        self._registry = registry
        self._is_ready = is_ready

    async def _handle(
        self, request: CallerRequest, reply: ResponseWriter
    ) -> None:
        path = request.head.target.partition(b'?')[0]
        if path == METRICS_PATH:
            body = prometheus.generate_latest(self._registry)
            await reply.send_whole(200, b'OK', _TEXT, body)
        elif path == READY_PATH and self._is_ready():
            await reply.send_whole(200, b'OK', _TEXT, b'ready\n')
        elif path == READY_PATH:
            await reply.send_whole(
                503, b'Service Unavailable', _TEXT, b'not ready\n'
            )
        else:
            await reply.send_whole(404, b'Not Found', _TEXT, b'not found\n')

    async def _refuse(
        self, reply: ResponseWriter, status: int, reason: str
    ) -> None:
        await reply.send_whole(status, b'Refused', _TEXT, reason.encode())
