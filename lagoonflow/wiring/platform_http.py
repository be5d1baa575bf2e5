"""The HTTP server of a router on the users' platform, and its metrics."""

import functools
from collections.abc import Callable

import prometheus_client as prometheus

from lagoonflow.http1.connection_ends import ConnectionEnd
from lagoonflow.http1.connection_memory import ProcessMemory
from lagoonflow.http1.descriptors import Descriptors
from lagoonflow.http1.request_bodies import RequestBodies, bodies_bound
from lagoonflow.http1.request_reader import ServerLimits
from lagoonflow.http1.server import HttpServer
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.relay.serving import CallService


def build_http_server(
    settings: PlatformSettings,
    calls: CallService,
    limits: Callable[[], ServerLimits],
    memory: ProcessMemory | None,
    descriptors: Descriptors,
    registry: prometheus.CollectorRegistry,
) -> HttpServer:
    """Return the server that reads callers' requests; export its metrics.

    :param limits: returns the limits on requests that are in force.
    :param memory: bounds the bytes that are held for callers; ``None`` for no
        bound.
    """
    server = HttpServer(
        calls.handle,
        calls.refuse_unreadable,
        limits,
        memory,
        RequestBodies(bodies_bound(settings.memory_bytes)),
        descriptors,
    )
    _export_unanswered_closes(server, registry)
    return server


def _export_unanswered_closes(
    server: HttpServer, registry: prometheus.CollectorRegistry
) -> None:
    closes = prometheus.Gauge(
        'lagoonflow_unanswered_closes',
        'Connections that were closed with a request that got no answer.',
        ['reason'],
        registry=registry,
    )
    for end in ConnectionEnd:
        closes.labels(end.value).set_function(
            functools.partial(server.unanswered_by_end.get, end, 0)
        )
