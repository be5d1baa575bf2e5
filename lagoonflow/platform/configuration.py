"""The operator's configuration, decoded into the declared state."""

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
    # What may be repeated.
    type: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 5
    # Given instead of split when all requests go to one service.
    service: str = ''
    split: list[_Split] = []
    # Counts backend servers, not sends.
    attempts: int = 1
    public: bool = False
    # Requests state the parts of their prompt.
    sticky: bool = False
    resumable: bool = False
    # Longest pause between events that is still on time.
    gap_target_ms: float = 0


class _Model(msgspec.Struct):
    name: str
    weights_mb: float
    # From the weight store, in s.
    load_time_s: float
    # From a copy in host memory, in s.
    warm_s: float | None = None
    disk_load_s: float | None = None
    adapters: int = 0
    adapter_size_mb: float = 0


class _Engine(msgspec.Struct):
    models: list[_Model]
    slots: int = 1
    # Tokens of running requests and cached prompts together.
    kv_capacity: int = 0
    # Memory of one runner for models and adapters.
    weights_mb: float = 0
    adapter_slots: int = 0
    loads_per_s: float = 1


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 64
    health_path: str = '/healthz'
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # 'tokens' or requests; says what the two amounts below count.
    unit: str = ''
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
    # Requests carry keys only when this is present.
    tenants: list[_Tenant] | None = None


class ConfigurationError(Exception):
    """The configuration can't be read."""


def decode_configuration(raw: bytes) -> DeclaredState:
    """Decode a configuration.

    :raises ConfigurationError: when a field is missing or malformed.
    """
    try:
        body = msgspec.json.decode(raw, type=_Configuration)
        return DeclaredState(
            version=body.version,
            routes=tuple(_route(route) for route in body.routes),
            services={part.name: _service(part) for part in body.services},
            organisations=tuple(
                _organisation(tenant) for tenant in body.tenants or ()
            ),
            limits=CallerLimits(
                body.limits.max_header_bytes,
                body.limits.max_body_bytes,
                body.limits.header_timeout_ms,
                body.limits.idle_timeout_ms,
            ),
            requires_keys=body.tenants is not None,
        )
    except (msgspec.MsgspecError, KeyError) as error:
        raise ConfigurationError(str(error)) from error


def _route(route: _Route) -> Route:
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


def _service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=service.name,
        max_connections=service.max_conns,
        engine=None if engine is None else _engine(engine),
        health_check_path=service.health_path,
    )


def _engine(engine: _Engine) -> EngineSpec:
    return EngineSpec(
        models={model.name: _model(model) for model in engine.models},
        slots=engine.slots,
        cache_tokens=engine.kv_capacity,
        weights_mb=engine.weights_mb,
        max_adapters=engine.adapter_slots,
        store_loads_per_s=engine.loads_per_s,
    )


def _model(model: _Model) -> Model:
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


def _organisation(tenant: _Tenant) -> Organisation:
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
