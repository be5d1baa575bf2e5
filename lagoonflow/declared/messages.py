"""Routes, services, models and organisations that operators declare."""

import dataclasses
import enum
from collections.abc import Mapping


class RouteKind(enum.Enum):
    """How often a request of a route may run.

    IDEMPOTENT: it may run more than once.
    AT_MOST_ONCE: it must not run more than once.
    STREAM: its answer is a stream; it may run more than once only if the
        route is resumable.
    """

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that goes to a service.

    :param weight: relative to the weights of the route's other shares.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests for a host and a path prefix are served.

    :param timeout_ms: longest time that a caller waits for the answer, in ms.
    :param target_latency_ms: time within which an answer is on time, in ms.
    :param urgency: priority of the requests; 0 is the most urgent.
    :param most_sends: number of backend servers that one request may run on.
    :param shares: services that the requests are split among.
    :param is_public: whether requests need no key.
    :param is_resumable: whether another backend server may continue a stream.
    :param carries_prompt: whether requests state the parts of their prompt.
    :param gap_target_ms: longest pause between the events of a stream that is
        on time, in ms; 0 if not declared.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    target_latency_ms: int
    urgency: int
    most_sends: int
    shares: tuple[ServiceShare, ...]
    is_public: bool = False
    is_resumable: bool = False
    carries_prompt: bool = False
    gap_target_ms: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run on more than one backend server."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model, and the time that a runner takes to load it.

    :param weights_mb: memory that the model takes, in MB.
    :param memory_load_ms: load time from a copy in the runner's host memory,
        in ms.
    :param disk_load_ms: load time from a copy on the runner's disk, in ms.
    :param store_load_ms: load time from the weight store, in ms.
    :param adapters: number of adapters, which are named ``a1``, ``a2`` and so
        on.
    :param adapter_mb: memory that each adapter takes, in MB.
    """

    name: str
    weights_mb: float
    memory_load_ms: float
    disk_load_ms: float
    store_load_ms: float
    adapters: int = 0
    adapter_mb: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Models of a service, and the capacity of each of its runners.

    :param models: declared models by name.
    :param slots: number of requests that run concurrently.
    :param cache_tokens: cache for prompts and generated tokens, in tokens.
    :param weights_mb: memory for models and adapters together, in MB.
    :param max_adapters: number of adapters that a runner can hold.
    :param store_loads_per_s: loads from the weight store that all runners
        together may begin per second.
    """

    models: Mapping[str, Model]
    slots: int
    cache_tokens: int
    weights_mb: float
    max_adapters: int
    store_loads_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that serve the same requests.

    :param max_connections: declared limit of connections.
    :param engine: present if the backend servers are model runners.
    :param health_check_path: path of the backend servers' health check.
    :param cold_per_s: requests per second that a server tolerates after a start;
        0 for no limit.
    :param cold_start_ms: time after a start during which that holds, in ms.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    health_check_path: str = '/healthz'
    cold_per_s: float = 0
    cold_start_ms: float = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that may call, with its keys and its rate limit.

    :param keys: keys that the organisation's callers send.
    :param urgency: overrides the route's urgency if given.
    :param rate_tokens_per_s: rate of its token bucket; 0 for no limit.
    :param burst_tokens: capacity of its token bucket.
    :param plain_tokens: charge for a request that states no tokens.
    :param counts_requests: whether rate and burst count requests instead of
        tokens.
    """

    name: str
    keys: frozenset[str]
    urgency: int | None = None
    rate_tokens_per_s: float = 0
    burst_tokens: float = 0
    plain_tokens: float = 1
    counts_requests: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on a caller's requests and connections.

    :param max_head_bytes: largest request head, in bytes.
    :param max_body_bytes: largest request body, in bytes.
    :param header_timeout_ms: time from the first byte to the whole head, in
        ms.
    :param idle_timeout_ms: longest time without a request on an open
        connection, in ms.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredState:
    """One version of the whole declared configuration.

    :param requires_keys: whether callers of non-public routes need a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits = CallerLimits()
    requires_keys: bool = True
