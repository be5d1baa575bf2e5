"""Decodes the operator's configuration into the declared state."""

import msgspec

from lagoonflow.clock import MS_PER_S
from lagoonflow.declared.messages import (
    CallerLimits,
    DeclaredState,
    EngineSpec,
    Model,
    Organisation,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)

# Longer cold times are taken for this long.
MAX_COLD_S = 600

_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.AT_MOST_ONCE,
    'streaming': RouteKind.STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    # Key of _KINDS; says which failed requests may be sent again.
    type: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 5
    # Set instead of split when all requests go to one service.
    service: str = ''
    split: list[_Split] = []
    # Number of backend servers that one request may run on, in turn.
    attempts: int = 1
    public: bool = False
    # Whether requests state the parts of their prompt, which a server may have
    # cached.
    sticky: bool = False
    resumable: bool = False
    # Longest pause between two events of a stream that is on time, in ms.
    gap_target_ms: float = 0


class _Model(msgspec.Struct):
    name: str
    weights_mb: float
    # Load time from the weight store.
    load_time_s: float
    # Load time from a copy in the host's memory.
    warm_s: float | None = None
    # Load time from a copy on the host's disk.
    disk_load_s: float | None = None
    adapters: int = 0
    adapter_size_mb: float = 0


class _Engine(msgspec.Struct):
    models: list[_Model]
    slots: int = 1
    # Cache size in tokens, for running requests and cached prompts together.
    kv_capacity: int = 0
    # Memory of one runner for models and adapters together.
    weights_mb: float = 0
    # Most adapters that one runner may hold.
    adapter_slots: int = 0
    # Loads from the weight store, over all runners.
    loads_per_s: float = 1


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 64
    health_path: str = '/healthz'
    # Time after a start during which a server is cold.
    cold_start_s: float = 3
    # Requests per second that a cold server tolerates; 0 for no limit.
    cold_per_s: float = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # Unit of rate and burst: 'tokens', or any other text for requests.
    unit: str = ''
    # Tokens that a request counts as when it doesn't state its usage.
    plain_tokens: float = 1
    rate_per_s: float = 0
    burst: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Requests need an API key only when this field is present.
    tenants: list[_Tenant] | None = None


class ConfigurationError(Exception):
    """The configuration can't be decoded."""


def decode_configuration(raw: bytes) -> DeclaredState:
    """Decode a configuration in JSON.

    :raises ConfigurationError: when a field is missing or malformed.
    """
    try:
        body = msgspec.json.decode(raw, type=_Configuration)
        return DeclaredState(
            version=body.version,
            routes=tuple(_to_route(route) for route in body.routes),
            services={part.name: _to_service(part) for part in body.services},
            organisations=tuple(
                _to_organisation(tenant) for tenant in body.tenants or ()
            ),
            limits=CallerLimits(
                body.limits.max_header_bytes,
                body.limits.max_body_bytes,
                body.limits.header_timeout_ms,
                body.limits.idle_timeout_ms,
            ),
            requires_keys=body.tenants is not None,
        )
    except (ValueError, KeyError, RecursionError) as error:
        raise ConfigurationError(str(error)) from error


def _to_route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(part.service, part.weight) for part in route.split
    )
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_KINDS[route.type],
        timeout_ms=int(route.timeout_ms),
        target_latency_ms=int(route.target_latency_ms),
        urgency=route.priority,
        most_sends=route.attempts,
        shares=shares or (ServiceShare(route.service, 1),),
        is_public=route.public,
        is_resumable=route.resumable,
        carries_prompt=route.sticky,
        gap_target_ms=int(route.gap_target_ms),
    )


def _to_service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=service.name,
        max_connections=service.max_conns,
        engine=None if engine is None else _to_engine_spec(engine),
        health_check_path=service.health_path,
        cold_per_s=max(service.cold_per_s, 0),
        cold_start_ms=min(max(service.cold_start_s, 0), MAX_COLD_S) * MS_PER_S,
    )


def _to_engine_spec(engine: _Engine) -> EngineSpec:
    return EngineSpec(
        models={model.name: _to_model(model) for model in engine.models},
        slots=engine.slots,
        cache_tokens=engine.kv_capacity,
        weights_mb=engine.weights_mb,
        max_adapters=engine.adapter_slots,
        store_loads_per_s=engine.loads_per_s,
    )


def _to_model(model: _Model) -> Model:
    from_store_s = model.load_time_s
    disk_s = from_store_s if model.disk_load_s is None else model.disk_load_s
    memory_s = disk_s if model.warm_s is None else model.warm_s
    return Model(
        name=model.name,
        weights_mb=model.weights_mb,
        memory_load_ms=memory_s * MS_PER_S,
        disk_load_ms=disk_s * MS_PER_S,
        store_load_ms=from_store_s * MS_PER_S,
        adapters=model.adapters,
        adapter_mb=model.adapter_size_mb,
    )


def _to_organisation(tenant: _Tenant) -> Organisation:
    counts_tokens = tenant.unit == 'tokens'
    return Organisation(
        name=tenant.name,
        keys=frozenset(tenant.api_keys),
        urgency=tenant.priority,
        rate_tokens_per_s=tenant.rate_per_s,
        burst_tokens=tenant.burst,
        plain_tokens=tenant.plain_tokens if counts_tokens else 1,
        counts_requests=not counts_tokens,
    )
