"""Datagrams between routers and agents; MessagePack arrays.

New fields are appended with defaults, so that versions can be mixed during a
rollout. Every message is a full statement of its sender's view: a lost one
is made up for by the next.
"""

import msgspec


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of all datagrams."""


class LoadRequest(msgspec.Struct, array_like=True, frozen=True):
    """A model or an adapter that requests at a router wait for.

    :param urgency: rank of the most urgent of them, 0 first.
    :param deadline_left_ms: time that the last of them can wait.
    """

    model: str
    adapter: str
    waiting: int
    urgency: int
    deadline_left_ms: int


class RouterState(_Message):
    """A router tells an agent what it wants of the agent's runner.

    :param started_ms: wall clock of the router's start.
    :param instance: identity of the runner, as registered.
    :param runner_started_ms: start of the runner, as registered.
    :param running: this router's requests at the runner, by model.
    :param demand_per_s: this router's requests by model, smoothed, divided
        by the runners that hold it.
    :param agents: agents that share the weight store's loads.
    :param may_use_store: a load from the weight store may begin.
    :param to_load: models that fall to this agent ahead of requests.
    :param spare: held models that may make way for them.
    :param keep: held models that may not.
    :param store_loads: loads from the store in progress over all runners.
    """

    router: str
    address: str
    started_ms: int
    instance: str
    runner_started_ms: int
    load_requests: tuple[LoadRequest, ...] = ()
    running: dict[str, int] = {}
    demand_per_s: dict[str, float] = {}
    is_leaving: bool = False
    agents: int = 1
    may_use_store: bool = False
    preload: tuple[str, ...] = ()
    evictable: tuple[str, ...] = ()
    store_loads: int = 0
    protected: tuple[str, ...] = ()


class HeldModelState(msgspec.Struct, array_like=True, frozen=True):
    """A model that a runner holds.

    :param running: requests on it from all routers.
    :param keep_value: demand that would be hurt by dropping it; higher ones
        stay.
    """

    name: str
    adapters: tuple[str, ...] = ()
    running: int = 0
    demand_per_s: float = 0


class LoadRejection(msgspec.Struct, array_like=True, frozen=True):
    """A wish that the agent can't meet soon."""

    model: str
    adapter: str
    retry_after_ms: int


class AgentState(_Message):
    """An agent tells routers what its runner holds and is about to hold.

    :param order_ready_in_ms: time until the order in progress is done.
    :param planned: models that will be loaded, in order.
    :param is_from_store: the load in progress is one from the weight store.
    :param store_wish_per_s: demand for the model that it would load from the
        store first, as requests wait for it; 0 for none.
    :param is_down: the runner does not answer its agent.
    :param is_stopping: the agent ends, the runner does not.
    :param store_at_once: loads from the store that run at full speed
        together, as far as this agent has learnt; 0 when unknown.
    """

    agent: str
    instance: str
    runner_started_ms: int
    held: tuple[HeldModelState, ...] = ()
    loading: str = ''
    unloading: str = ''
    order_ready_in_ms: int = 0
    planned: tuple[str, ...] = ()
    load_rejections: tuple[LoadRejection, ...] = ()
    free_mb: float = 0
    queued: int = 0
    active: int = 0
    cache_used_tokens: int = 0
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    can_order: bool = False
    is_from_store: bool = False
    store_demand_per_s: float = 0
    is_down: bool = False
    is_stopping: bool = False
    store_concurrency: float = 0


class MeterState(_Message):
    """A router tells another one what it has charged in total.

    :param age_ms: time since its start.
    :param levels: tokens in the fleet's buckets, as it knows them.
    """

    router: str
    started_ms: int
    charged_tokens: dict[str, float] = {}
    is_leaving: bool = False
    age_ms: int = 0
    levels: dict[str, float] = {}


Message = RouterState | AgentState | MeterState

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a datagram."""
    return _ENCODER.encode(message)


def decode(raw: bytes) -> Message | None:
    """Decode a datagram; ``None`` when it is malformed."""
    try:
        return _DECODER.decode(raw)
    except (msgspec.MsgspecError, RecursionError):
        return None
