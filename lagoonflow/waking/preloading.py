"""Which runner loads a model ahead of requests, and who may use the store.

All routers see nearly the same states of the agents and decide alike, so that
one runner of the fleet loads a model that lies nowhere, or a further replica
of one that is asked for often.
"""

import collections
import dataclasses
import math
from collections.abc import Callable, Mapping

from lagoonflow.declared.messages import EngineSpec
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.waking.copies import copies_at, weights_of
from lagoonflow.waking.replicas import hot_replicas, is_hot, may_come_from_store
from lagoonflow.waking.store_queue import grant_ahead, may_use_store

# A model that is asked for less often than this may make way for a model
# that is loaded ahead, in requests a second.
RARE_RATE_PER_S = 0.05

# Differences of demand below this do not count, in requests a second.
DEMAND_STEP_PER_S = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What one agent may load ahead.

    :param may_use_store: a load from the store may begin now.
    :param to_load: models to load ahead, the most wanted first.
    :param spare: models it holds that may make way for them.
    :param keep: models it holds that may not.
    """

    may_use_store: bool = False
    preload: tuple[str, ...] = ()
    evictable: tuple[str, ...] = ()
    protected: tuple[str, ...] = ()


def missing_models(
    spec: EngineSpec, states: Mapping[str, AgentState]
) -> list[str]:
    """Models that no runner has a copy of, in a fixed order."""
    found: set[str] = set()
    for state in states.values():
        found |= copies_at(state)
    return sorted(set(spec.models) - found)


def assign_evenly(
    models: list[str], states: Mapping[str, AgentState]
) -> dict[str, str]:
    """Return the instance that each model falls to, evenly spread."""
    counts = {
        instance: len(copies_at(state)) for instance, state in states.items()
    }
    if not counts:
        return {}
    most = math.ceil((sum(counts.values()) + len(models)) / len(counts))
    assigned: dict[str, str] = {}
    for model in models:
        open_ones = [one for one in counts if counts[one] < most]
        chosen = max(open_ones or counts, key=_place_rank(model, states))
        counts[chosen] += 1
        assigned[model] = chosen
    return assigned


def plan_loads(
    spec: EngineSpec,
    states: Mapping[str, AgentState],
    demand_per_s: Mapping[str, float],
) -> dict[str, LoadPlan]:
    """Return what each agent may load ahead.

    :param demand_per_s: demand for models that no runner holds.
    """
    replicas = hot_replicas(states)
    missing = assign_evenly(missing_models(spec, states), states)
    wanted = sorted(missing, key=lambda name: -demand_per_s.get(name, 0))
    from_store = [
        (replicas[name], name)
        for name in replicas
        if name not in copies_at(states[replicas[name]])
        and may_come_from_store(name, states)
    ]
    from_store.extend((missing[name], name) for name in wanted)
    granted = grant_ahead(from_store, states)
    holders = _holders(states)
    return {
        instance: LoadPlan(
            may_use_store(instance, states) or instance in granted,
            _to_load(instance, states[instance], replicas, granted),
            _spare(states[instance], holders),
            _keep(instance, states, replicas, holders),
        )
        for instance in states
    }


def _to_load(
    instance: str,
    state: AgentState,
    replicas: Mapping[str, str],
    granted: Mapping[str, str],
) -> tuple[str, ...]:
    local = copies_at(state)
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


def _spare(
    state: AgentState, holders: collections.Counter[str]
) -> tuple[str, ...]:
    """Return what may make way: rare models, and replicas among many."""
    return tuple(
        held.name for held in state.held if _is_spare(held, holders[held.name])
    )


def _keep(
    instance: str,
    states: Mapping[str, AgentState],
    replicas: Mapping[str, str],
    holders: collections.Counter[str],
) -> tuple[str, ...]:
    """Return what only this runner holds, unless it gets a hot replica."""
    chosen = [name for name, place in replicas.items() if place == instance]
    if not chosen or any(is_hot(name, states) for name in chosen):
        return ()
    return tuple(
        held.name for held in states[instance].held if holders[held.name] == 1
    )


def _is_spare(held: HeldModelState, replicas: int) -> bool:
    if held.running:
        return False
    is_rare = held.demand_per_s < RARE_RATE_PER_S
    return is_rare and (replicas == 1 or held.demand_per_s > 0)


def _place_rank(
    model: str, states: Mapping[str, AgentState]
) -> Callable[[str], tuple[int, int]]:
    """Rank runners for a load from the store, which blocks other orders.

    Demand is compared in coarse steps, so that routers with nearly the same
    view agree.
    """
    weight = weights_of(model)

    def rank(instance: str) -> tuple[int, int]:
        state = states[instance]
        demand = sum(held.demand_per_s for held in state.held)
        blocked = int(demand / DEMAND_STEP_PER_S) + len(
            _only_here(instance, states)
        )
        return -blocked, weight(instance)

    return rank


def _only_here(instance: str, states: Mapping[str, AgentState]) -> set[str]:
    """Models that no runner holds and that only this one has a copy of.

    They can't be woken while it loads from the store.
    """
    elsewhere = {held.name for held in states[instance].held}
    for other, state in states.items():
        if other != instance:
            elsewhere |= copies_at(state)
    return copies_at(states[instance]) - elsewhere
