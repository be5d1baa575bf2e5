"""Datagrams between routers and agents, encoded as MessagePack arrays.

New fields are appended with defaults, so that versions can be mixed during a
rollout. Each message holds its sender's whole state, so the next one makes up
for a lost one.
"""

from typing import Annotated

import msgspec

from lagoonflow.gossip.entries import LimitEntry, OriginEntry, SpeedEntry
from lagoonflow.gossip.join_messages import StreamsAnswer, StreamsQuery
from lagoonflow.gossip.topic_messages import TopicAnswer, TopicQuery

# Entries of crashes are stored as JSON, whose numbers have no bounds, and sent
# in datagrams, whose numbers have.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of all datagrams."""


class LoadRequest(msgspec.Struct, array_like=True, frozen=True):
    """A router's request to load a model or adapter that calls wait for.

    The router repeats it while calls wait.

    :param adapter: empty for the model itself.
    :param waiting: number of waiting calls.
    :param urgency: priority of the most urgent of them; 0 is the highest.
    :param deadline_left_ms: time until the last of their deadlines, in ms.
    :param unserved_ms: time for which calls for the model have been refused,
        in ms; 0 if it isn't kept.
    :param refused: number of different requests refused in that time.
    :param refused_periods: periods in which they were first refused, as bits;
        bit 0 is the latest period.
    """

    model: str
    adapter: str
    waiting: int
    urgency: int
    deadline_left_ms: int
    unserved_ms: int = 0
    refused: int = 0
    refused_periods: int = 0


class RouterState(_Message):
    """State that a router sends to an agent: demand, requests and preloads.

    :param address: address of the router for datagrams.
    :param started_ms: wall clock of the router's start.
    :param instance: identity of the runner, as registered.
    :param runner_started_ms: wall clock of the runner's start, as registered.
    :param running: number of this router's requests at the runner, by
        ``model`` or ``model/adapter``.
    :param demand_per_s: this router's smoothed demand by model, in requests
        per second, divided by the number of runners that hold the model.
    :param is_leaving: the router is about to stop.
    :param agents: number of runners that share the weight store, each with
        its agent.
    :param may_use_store: the agent may begin a load from the weight store.
    :param preload: models that the agent should load before a request needs
        them.
    :param evictable: held models that may be evicted for a preload.
    :param store_loads: number of loads from the weight store in progress at
        all runners.
    :param protected: held models that must not be evicted for a preload.
    :param prompt_tokens_per_s: prompt tokens of this router's demand by model,
        divided like the demand; only models that the runner holds or has a
        copy of.
    :param is_scarce: fewer than half of the declared models fit the runners.
    :param store_turn: model that the agent is to load from the weight store
        next; empty for none.
    :param store_only: held models that only the weight store could restore.
    :param store_concurrency: loads that the weight store serves at full speed
        together; 0 while unknown.
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
    prompt_tokens_per_s: dict[str, float] = {}
    is_scarce: bool = False
    store_turn: str = ''
    store_only: tuple[str, ...] = ()
    store_concurrency: int = 0


class HeldModelState(msgspec.Struct, array_like=True, frozen=True):
    """A model that a runner holds.

    :param running: number of running requests on it, from all routers.
    :param demand_per_s: demand for it at this runner, in requests per second;
        models with less demand are evicted first.
    :param load: share of the runner's capacity that this demand takes.
    """

    name: str
    adapters: tuple[str, ...] = ()
    running: int = 0
    demand_per_s: float = 0
    load: float = 0


class LoadRejection(msgspec.Struct, array_like=True, frozen=True):
    """A load request that the agent can't fulfil soon.

    :param retry_after_ms: time after which a retry may succeed, in ms.
    """

    model: str
    adapter: str
    retry_after_ms: int


class AgentState(_Message):
    """State that an agent sends to routers: its runner's models and loads.

    :param instance: identity of the runner; empty while unknown.
    :param runner_started_ms: wall clock of the runner's start.
    :param loading: model that the runner is loading, if any.
    :param unloading: model that the runner is unloading, if any.
    :param order_ready_in_ms: expected time until the order in progress is
        done, in ms.
    :param planned: models that will be loaded next, in this order.
    :param free_mb: free memory of the runner, in MB.
    :param queued: number of requests in the runner's queue.
    :param active: number of running requests.
    :param cache_used_tokens: cache that running requests occupy, in tokens.
    :param in_memory: models with a copy in the runner's host memory.
    :param on_disk: models with a copy on the runner's disk.
    :param can_order: the agent is able to send orders to the runner.
    :param is_from_store: the load in progress is from the weight store.
    :param store_demand_per_s: demand for the requested model that the agent
        would load from the weight store first, in requests per second; 0
        without any.
    :param is_down: the runner doesn't answer its agent.
    :param is_stopping: the agent is about to stop, but its runner isn't.
    :param store_concurrency: the agent's estimate of the number of loads that
        the weight store serves at full speed together; 0 while unknown.
    :param is_leaving: the runner said that it is leaving.
    :param limit_per_s: requests per second that the runner said it takes from
        all routers together; below 0 when it named no limit.
    :param cold_for_ms: time for which the runner said it is cold, in ms.
    :param work_time_percent: how long work takes on the runner's machine, in
        percent of the usual time; 0 when unstated.
    :param store_requests: requested models without a copy at the runner, with
        the time for which they have been requested, in s.
    :param store_turn: model for which the agent evicts another one, to load it
        from the weight store; empty for none.
    :param store_refusals: requests that were refused, by those models.
    :param store_periods: periods in which they were, as bits, by those models.
    :param store_slowdown: how many times its declared time the load from the
        weight store in progress takes, as the agent expects.
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
    is_leaving: bool = False
    limit_per_s: float = -1
    cold_for_ms: int = 0
    work_time_percent: float = 0
    store_requests: dict[str, int] = {}
    store_turn: str = ''
    store_refusals: dict[str, int] = {}
    store_periods: dict[str, int] = {}
    store_slowdown: float = 1


class MeterState(_Message):
    """Charges that a router sends to the other routers.

    :param started_ms: wall clock of the router's start.
    :param charged_tokens: tokens charged since that start, by organisation.
    :param is_leaving: the router is about to stop.
    :param age_ms: time since the router's start, in ms.
    :param levels: tokens in the fleet's token buckets as the router knows
        them, by organisation.
    :param version: version of the configuration in force; below 0 for none.
    :param version_age_ms: time since it was put in force, in ms.
    """

    router: str
    started_ms: int
    charged_tokens: dict[str, float] = {}
    is_leaving: bool = False
    age_ms: int = 0
    levels: dict[str, float] = {}
    version: int = -1
    version_age_ms: int = 0


class OriginsState(_Message):
    """Streams that a router has begun, sent to the other routers."""

    router: str
    origins: tuple[OriginEntry, ...] = ()


def join_ages(
    first_ages_ms: dict[str, int], second_ages_ms: dict[str, int]
) -> dict[str, int]:
    """Return the keys of both, with the age of the newer request."""
    ages_ms = dict(first_ages_ms)
    for part, age_ms in second_ages_ms.items():
        ages_ms[part] = min(age_ms, ages_ms.get(part, age_ms))
    return ages_ms


class CrashEntry(msgspec.Struct, array_like=True, frozen=True):
    """A crash of a backend server, with the requests that it had just begun.

    :param started_ms: wall clock of the start of the server that crashed.
    :param at_ms: wall clock of the crash.
    :param request_ages_ms: prompt parts of requests whose answers had just
        begun, with the time from the newest send to the crash, in ms.
    :param waiting_ages_ms: the same for requests whose answers had not begun.
    :param proven: those parts on which requests had been answered before.
    :param cleared: those parts on which requests have been answered since.
    :param call_ages_ms: fingerprints of requests that the server may have been
        running, with the time from the newest send to the crash, in ms. They
        occur in ``proven`` and ``cleared`` like parts.
    :param trials: those of these requests that were sent to the server although
        they were suspected already.
    """

    instance: str
    started_ms: Int64
    at_ms: Int64
    request_ages_ms: dict[str, Int64]
    waiting_ages_ms: dict[str, Int64] = {}
    proven: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    call_ages_ms: dict[str, Int64] = {}
    trials: tuple[str, ...] = ()

    @property
    def crash_id(self) -> tuple[str, int]:
        """Identity of the start of the server that crashed."""
        return self.instance, self.started_ms

    @property
    def suspects(self) -> frozenset[str]:
        """Parts that may have caused the crash."""
        return frozenset(self.suspect_ages_ms).difference(self.cleared)

    @property
    def suspect_ages_ms(self) -> dict[str, int]:
        """Ages of the requests that may have caused the crash, by part.

        A server may crash before it sends the head of an answer, and a reset
        may discard a head, so waiting requests are suspected too.
        """
        return join_ages(self.request_ages_ms, self.waiting_ages_ms)


class CrashesState(_Message):
    """Crashes of backend servers, sent to the other routers."""

    router: str
    crashes: tuple[CrashEntry, ...] = ()


class LimitsState(_Message):
    """Limits of backend servers that a router has heard of."""

    router: str
    limits: tuple[LimitEntry, ...] = ()


class SpeedsState(_Message):
    """Observations of speeds that a router sends to the other routers.

    It has some of the router's servers; the next message has others.
    """

    router: str
    speeds: tuple[SpeedEntry, ...] = ()


class InflightState(_Message):
    """Requests that a router has in flight, sent to the other routers.

    :param started_ms: wall clock of the router's start.
    :param sequence: number of the message since that start.
    :param counts: requests by the short id of their server.
    """

    router: str
    started_ms: int
    sequence: int
    counts: dict[int, int] = {}


Message = (
    RouterState
    | AgentState
    | MeterState
    | OriginsState
    | CrashesState
    | LimitsState
    | TopicQuery
    | TopicAnswer
    | StreamsQuery
    | StreamsAnswer
    | SpeedsState
    | InflightState
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a datagram."""
    return _ENCODER.encode(message)


def decode(raw: bytes) -> Message | None:
    """Decode a datagram; return ``None`` if it is malformed."""
    try:
        return _DECODER.decode(raw)
    except (msgspec.MsgspecError, RecursionError):
        return None
