"""Messages about the placement of models: routers, homes and agents."""

import dataclasses

from lagoonflow.placement.tiers import LoadRate, Tier
from lagoonflow.results import Refusal
from lagoonflow.streams.messages import Versions


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Model and adapter that a request needs on a runner.

    :param adapter: name of the adapter; empty for none.
    """

    model: str
    adapter: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LocateRequest:
    """Asks the home of a model which agents can serve a request.

    :param organisation: organisation of the caller.
    :param deadline_in_ms: time left until the deadline of the request, in ms.
    :param versions: stream versions that the router has applied.
    :param router: name of the router.
    :param stale_agents: agents that the router won't use for this request,
        as they rejected it or may not get new work.
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

    :param decision_id: decision that loaded the replica; empty if unknown.
    :param ready_in_ms: predicted time until the replica is ready, in ms;
        0 when it is ready.
    :param queued_ms: predicted wait in the run queue after that, in ms.
    """

    agent: str
    decision_id: str
    ready_in_ms: int
    queued_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LocateReply:
    """Answers a locate request with replicas, best first, or a refusal."""

    versions: Versions
    places: tuple[Place, ...] = ()
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BidRequest:
    """Asks an agent how soon it can have a model ready.

    :param bid_id: id of the round of bids; the bid repeats it.
    :param home: agent that asks, as home of the model.
    :param is_withdrawal: whether the message instead tells the agent that
        its bid lost, so that it releases the reserved memory.
    :param load_rates: load speeds observed across the fleet; the agent uses
        them for tiers from which it hasn't loaded yet.
    """

    bid_id: str
    model: str
    versions: Versions
    home: str = ''
    is_withdrawal: bool = False
    load_rates: tuple[LoadRate, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Bid:
    """Offers to serve a model from a replica that exists or can be loaded.

    :param tier: where the agent has the model now.
    :param ready_in_ms: predicted time until the replica is ready, in ms.
    :param wait_ms: predicted wait in the run queue after that, in ms.
    :param eviction_cost_ms: time to reload the replicas that the agent would
        evict for this one, in ms.
    :param reserved_for_ms: how long the agent reserves the memory, in ms;
        0 when it reserves none.
    :param refusal: why the agent doesn't bid; ``None`` for a bid.
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
    """Orders an agent to load one replica.

    The agent executes a decision at most once, even if it is sent again.

    :param bid_id: bid that the decision accepts.
    :param model_version: version label of the weights to load.
    :param home: agent that decided, as home of the model.
    """

    decision_id: str
    bid_id: str
    model: str
    model_version: str
    agent: str
    home: str
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionReply:
    """Tells the home whether the agent accepts a decision.

    :param refusal: why the agent won't load; ``None`` if it accepts.
    """

    decision_id: str
    versions: Versions
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """Describes one replica in an announcement.

    :param ready_in_ms: predicted time until the replica is ready, in ms.
    :param wait_ms: predicted wait in the run queue after that, in ms.
    :param running: number of requests that run on the replica.
    """

    model: str
    model_version: str
    decision_id: str
    tier: Tier
    ready_in_ms: int
    wait_ms: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """Describes one local copy of a checkpoint in an announcement."""

    model: str
    model_version: str
    tier: Tier


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Tells a home which replicas and checkpoints an agent has.

    An announcement without models is a probe: the answer shows whether the
    receiver can be reached and acts as home.

    :param nonce: value that a restart of the agent changes.
    :param models: models that the announcement covers; the agent has nothing
        of these models beyond what is listed.
    :param under_pressure: models whose waiting requests have a predicted
        wait that is too long, so that a further replica may help.
    :param load_rates: load speeds that the agent has observed.
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
    """Acknowledges a message, or refuses it.

    :param versions: stream versions that the receiver has applied.
    """

    versions: Versions
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks the home of the weight store for permission to load one replica.

    :param waiting: number of requests that wait for the load.
    :param deadline_in_ms: time until the earliest of their deadlines, in ms.
    :param served_ratio: fraction of its requests that was served, of the
        waiting organisation for which this fraction is lowest.
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
    """Grants a load now, or tells when to ask again.

    :param retry_after_ms: time after which to ask again, in ms; 0 if granted.
    """

    permit_id: str
    is_granted: bool
    retry_after_ms: int
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFinished:
    """Tells the home of the weight store that a permitted load ended.

    :param took_ms: duration of the load, in ms.
    :param is_loaded: whether the load succeeded.
    :param memory_mb: size of the model, in MB; 0 when it is unknown.
    """

    permit_id: str
    agent: str
    took_ms: int
    is_loaded: bool
    versions: Versions
    memory_mb: int = 0
