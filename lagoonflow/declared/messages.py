"""Routes, services, models and organisations as operators declare them."""

import dataclasses
import enum
from collections.abc import Mapping


class RouteKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Part of a route's requests that goes to a service."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and a path prefix go, and on what terms.

    :param timeout_ms: longest time that a request is kept waiting.
    :param target_latency_ms: time in which an answer is on time.
    :param urgency: 0 is the most urgent.
    :param most_sends: backend servers that one request may run on.
    :param gap_target_ms: longest pause between events of a stream that is on
        time; 0 when unstated.
    :param is_resumable: whether a stream may continue elsewhere.
    :param carries_prompt: whether requests state the parts of a prompt.
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
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model, and how long a runner takes to load it.

    :param memory_load_ms: from a copy in the runner's host memory.
    :param disk_load_ms: from a copy on the runner's disk.
    :param store_load_ms: from the weight store.
    :param adapters: number of adapters, named ``a1`` and so on.
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
    """What every runner of a service can hold.

    :param slots: requests that run at once.
    :param cache_tokens: memory for prompts and generated tokens.
    :param weights_mb: memory for models and adapters together.
    :param store_loads_per_s: loads from the weight store over all runners.
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

    :param health_check_path: path at which a backend server is asked whether
        it is well.
    :param engine: present when the backend servers are model runners.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    health_check_path: str = '/healthz'


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Who may call, with which keys, and how much.

    :param urgency: goes before the route's when given.
    :param rate_tokens_per_s: 0 for no limit.
    :param burst_tokens: what may come at once on top of the rate.
    :param counts_requests: the amounts count requests instead of tokens.
    :param plain_tokens: charge of a request that states no tokens.
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
    """What a caller may send, and how long it may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredState:
    """One version of everything that operators declare."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits = CallerLimits()
    requires_keys: bool = True
