"""Plans which runner preloads which model, and which may use the store.

A model is preloaded, that is loaded before a request needs it, if no runner
has a copy of it or if its demand calls for one more replica. All routers see
nearly the same agent states and so compute the same plan: only one runner
preloads each model.
"""

import collections
import dataclasses
import math
from collections.abc import Container, Mapping

from lagoonflow.declared.messages import EngineSpec
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.waking.copies import rendezvous_weight
from lagoonflow.waking.eviction import store_only_models
from lagoonflow.waking.fleet_copies import FleetCopies, count_copies
from lagoonflow.waking.replicas import (
    is_hot,
    may_come_from_store,
    replicas_to_add,
)
from lagoonflow.waking.store_loads import StoreLoad
from lagoonflow.waking.store_queue import grant_preloads, store_queue
from lagoonflow.waking.store_turns import assign_turns, store_turns

# A model with less demand than this may be evicted for a preload, in requests
# per second.
RARE_RATE_PER_S = 0.05

# A runner that loads from the store counts as blocking so many models: it takes
# no other order for seconds.
STORE_LOAD_BLOCKING = 20

# Demand is compared in steps of this size, in requests per second.
DEMAND_STEP_PER_S = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What one agent may preload, evict and load from the weight store.

    :param may_use_store: a load from the weight store may begin now.
    :param preload: models to preload, the most important first.
    :param evictable: held models that may be evicted for a preload.
    :param protected: held models that must not be evicted for a preload.
    :param is_scarce: fewer than half of the declared models fit the runners.
    :param store_turn: model to load from the weight store next.
    :param store_only: held models that only the weight store could restore.
    """

    may_use_store: bool = False
    preload: tuple[str, ...] = ()
    evictable: tuple[str, ...] = ()
    protected: tuple[str, ...] = ()
    is_scarce: bool = False
    store_turn: str = ''
    store_only: tuple[str, ...] = ()


def missing_models(spec: EngineSpec, copies: FleetCopies) -> list[str]:
    """Return the models that no runner has a copy of, sorted by name."""
    return sorted(set(spec.models) - copies.counts.keys())


def assign_evenly(models: list[str], copies: FleetCopies) -> dict[str, str]:
    """Assign models so that all instances have about equally many copies.

    A load from the store blocks all other orders of its runner, so runners
    with little demand and few models that only they can load come first.
    """
    if not copies.models:
        return {}
    counts = {instance: len(names) for instance, names in copies.models.items()}
    max_copies = math.ceil((sum(counts.values()) + len(models)) / len(counts))
    tiers = _tiers_by_blocking(copies)
    assigned: dict[str, str] = {}
    for model in models:
        best = _best_below(max_copies, counts, tiers)
        chosen = max(best, key=rendezvous_weight(model))
        counts[chosen] += 1
        assigned[model] = chosen
    return assigned


def _best_below(
    max_copies: int, counts: Mapping[str, int], tiers: list[list[str]]
) -> list[str]:
    """Return the runners of the best tier that have fewer copies."""
    below_limit = (
        [instance for instance in tier if counts[instance] < max_copies]
        for tier in tiers
    )
    return next((tier for tier in below_limit if tier), tiers[0])


def plan_loads(
    spec: EngineSpec,
    states: Mapping[str, AgentState],
    demand_per_s: Mapping[str, float],
    cold: Container[str] = (),
    time_factors: Mapping[str, float] | None = None,
    *,
    is_scarce: bool = False,
    leaving: Container[str] = (),
    lost_loads: tuple[StoreLoad, ...] = (),
) -> dict[str, LoadPlan]:
    """Return the load plan of each agent, by instance.

    :param states: the agents' states by instance.
    :param demand_per_s: demand by model, in requests per second; used for
        models that no runner has a copy of.
    :param cold: ids of runners that are cold; they come after others that have
        a copy, too.
    :param time_factors: how much longer than usual work takes at each runner,
        where that is known.
    :param is_scarce: fewer than half of the declared models fit the runners.
    :param leaving: ids of runners that are about to end; they get no turn at the
        weight store.
    :param lost_loads: loads from the store at runners without a state.
    """
    copies = count_copies(states, lost_loads)
    replicas = replicas_to_add(copies, cold, time_factors)
    from_store = _store_preloads(spec, copies, replicas, demand_per_s)
    turns: dict[str, str] = {}
    if is_scarce:
        turns = assign_turns(store_turns(spec, copies), copies, leaving)
    # Where models are scarce and there is demand, all loads from the store are
    # for requested models. Routers that have just started don't know those yet.
    may_preload = not (is_scarce and any(copies.demand_per_s.values()))
    granted = grant_preloads(from_store, states) if may_preload else {}
    holders = _holders(states)
    queue = store_queue(states)
    return {
        instance: LoadPlan(
            queue.may_use_store(instance, states[instance])
            or instance in granted,
            _preloads(instance, copies.models[instance], replicas, granted),
            _evictable(states[instance], holders),
            _protected(instance, states, replicas, holders),
            is_scarce,
            turns.get(instance, ''),
            store_only_models(instance, copies) if is_scarce else (),
        )
        for instance in states
    }


def _store_preloads(
    spec: EngineSpec,
    copies: FleetCopies,
    replicas: Mapping[str, str],
    demand_per_s: Mapping[str, float],
) -> list[tuple[str, str]]:
    """Return instances and models to preload from the store, best first."""
    assigned = assign_evenly(missing_models(spec, copies), copies)
    missing_by_demand = sorted(
        assigned, key=lambda name: -demand_per_s.get(name, 0)
    )
    from_store = [
        (replicas[name], name)
        for name in replicas
        if name not in copies.models[replicas[name]]
        and may_come_from_store(name, copies)
    ]
    from_store.extend((assigned[name], name) for name in missing_by_demand)
    return from_store


def _preloads(
    instance: str,
    local: set[str],
    replicas: Mapping[str, str],
    granted: Mapping[str, str],
) -> tuple[str, ...]:
    names = [
        name
        for name, chosen in replicas.items()
        if chosen == instance and name in local
    ]
    from_store = granted.get(instance)
    if from_store is not None:
        names.append(from_store)
    return tuple(names)


def _holders(states: Mapping[str, AgentState]) -> collections.Counter[str]:
    return collections.Counter(
        held.name for state in states.values() for held in state.held
    )


def _evictable(
    state: AgentState, holders: collections.Counter[str]
) -> tuple[str, ...]:
    """Return the held models that may be evicted for a preload.

    These are rarely used models without running requests. A model that other
    runners hold too must have had some demand.
    """
    return tuple(
        held.name
        for held in state.held
        if _is_evictable(held, holders[held.name])
    )


def _protected(
    instance: str,
    states: Mapping[str, AgentState],
    replicas: Mapping[str, str],
    holders: collections.Counter[str],
) -> tuple[str, ...]:
    """Return the models that must not be evicted for a preload.

    A runner that gets a new replica protects the models that no other runner
    holds, except if the replica is of a hot model.
    """
    chosen = [name for name, target in replicas.items() if target == instance]
    if not chosen or any(is_hot(name, states) for name in chosen):
        return ()
    return tuple(
        held.name for held in states[instance].held if holders[held.name] == 1
    )


def _is_evictable(held: HeldModelState, replicas: int) -> bool:
    if held.running:
        return False
    is_rare = held.demand_per_s < RARE_RATE_PER_S
    return is_rare and (replicas == 1 or held.demand_per_s > 0)


def _tiers_by_blocking(copies: FleetCopies) -> list[list[str]]:
    """Group the runners by what a load from the store would block there.

    Those where it blocks least come first. Demand is compared in coarse steps,
    so that routers with nearly the same view agree.
    """
    tiers: dict[int, list[str]] = {}
    for instance, demand_per_s in copies.demand_per_s.items():
        blocking = int(demand_per_s / DEMAND_STEP_PER_S)
        blocking += copies.count_only_here(instance)
        if copies.states[instance].is_from_store:
            blocking += STORE_LOAD_BLOCKING
        tiers.setdefault(blocking, []).append(instance)
    return [tiers[blocking] for blocking in sorted(tiers)]
