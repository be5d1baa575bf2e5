"""Messages between routers, homes and agents about places of models."""

import dataclasses

from lagoonflow.placement.tiers import LoadRate, Tier
from lagoonflow.results import Refusal
from lagoonflow.streams.messages import Versions


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What a request needs on a runner; adapter is empty for none."""

    model: str
    adapter: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LocateRequest:
    """Asks the home of a model for a place.

    :param stale_agents: agents that the router found unfit for this request.
    :param deadline_in_ms: time that is left to the request.
    """

    target: Target
    organisation: str
    deadline_in_ms: int
    versions: Versions
    router: str = ''
    stale_agents: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """One replica of a model, ready or still loading.

    :param decision_id: the decision behind the replica; empty if announced.
    :param ready_in_ms: predicted time until it is ready; 0 when it is.
    """

    agent: str
    decision_id: str
    ready_in_ms: int
    queued_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LocateReply:
    """Places of a model, best first, or a refusal."""

    versions: Versions
    places: tuple[Place, ...] = ()
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BidRequest:
    """Asks an agent how soon it can have a model ready.

    :param load_rates: what other agents have observed.
    :param is_withdrawal: the bid of this id was not taken; release it.
    """

    bid_id: str
    model: str
    versions: Versions
    home: str = ''
    is_withdrawal: bool = False
    load_rates: tuple[LoadRate, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Bid:
    """An offer; its memory stays reserved for ``reserved_for_ms``.

    :param ready_in_ms: predicted time until the replica is ready.
    :param wait_ms: predicted wait in the run queue after that.
    :param eviction_cost_ms: reload time of what would be evicted.
    """

    bid_id: str
    agent: str
    tier: Tier
    ready_in_ms: int
    wait_ms: int
    eviction_cost_ms: int
    reserved_for_ms: int
    versions: Versions
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Orders an agent to load one replica; executed at most once."""

    decision_id: str
    bid_id: str
    model: str
    model_version: str
    agent: str
    home: str
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionReply:
    """Whether the agent has accepted a decision."""

    decision_id: str
    versions: Versions
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One replica as its agent announces it."""

    model: str
    model_version: str
    decision_id: str
    tier: Tier
    ready_in_ms: int
    wait_ms: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """One local copy of a checkpoint as its agent announces it."""

    model: str
    model_version: str
    tier: Tier


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an agent holds, for the homes of these models.

    :param models: models this announcement is complete for.
    :param under_pressure: models whose predicted wait is too long.
    :param load_rates: speeds of loads that the agent has observed.
    """

    agent: str
    nonce: str
    models: tuple[str, ...]
    replicas: tuple[Replica, ...]
    checkpoints: tuple[Checkpoint, ...]
    versions: Versions
    under_pressure: tuple[str, ...] = ()
    load_rates: tuple[LoadRate, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a message; carries the receiver's versions."""

    versions: Versions
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks the home of the weight store for one load.

    :param waiting: requests that wait for the load.
    :param deadline_in_ms: earliest deadline among them.
    :param served_ratio: ratio of the organisation served worst.
    """

    permit_id: str
    agent: str
    model: str
    waiting: int
    deadline_in_ms: int
    served_ratio: float
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Grants a load now, or says when to ask again."""

    permit_id: str
    is_granted: bool
    retry_after_ms: int
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFinished:
    """Tells the home of the weight store that a permitted load ended.

    :param memory_mb: size of the model; 0 when it is not known.
    """

    permit_id: str
    agent: str
    took_ms: int
    is_loaded: bool
    versions: Versions
    memory_mb: int = 0
