"""Chooses models that need one more replica, and runners for it."""

from collections.abc import Callable, Mapping

from lagoonflow.gossip.messages import AgentState
from lagoonflow.waking.copies import (
    find_held,
    models_with_copy,
    rendezvous_weight,
)

# A model with more demand per replica than this is hot: it gets another replica
# even where a rarely used model must be evicted for it. A runner prefills about
# four whole prompts per second. In requests per second.
HOT_RATE_PER_S = 2.5
# A model with more demand per replica than this gets another replica, but only
# models that other runners hold too are evicted for it. Without the replica,
# streams pause for too long while a runner prefills several prompts. In
# requests per second.
WARM_RATE_PER_S = 0.8
# A model with more demand than this gets a second copy when only one runner has
# one, as the loss of that runner would leave none. In requests per second.
SINGLE_COPY_RATE_PER_S = 0.7


def replicas_to_add(states: Mapping[str, AgentState]) -> dict[str, str]:
    """Return the instance that should load one more replica, by model."""
    being_loaded = {state.loading for state in states.values()}
    chosen: dict[str, str] = {}
    for model in _models_to_replicate(states):
        candidates = [
            instance
            for instance in states
            if instance not in chosen.values()
            and _can_load_replica(states[instance], model)
        ]
        if candidates and model not in being_loaded:
            chosen[model] = min(candidates, key=_replica_rank(model, states))
    return chosen


def may_come_from_store(model: str, states: Mapping[str, AgentState]) -> bool:
    """Whether a new replica may use one of the few loads from the store."""
    return is_hot(model, states) or _count_copies(model, states) == 1


def _models_to_replicate(states: Mapping[str, AgentState]) -> list[str]:
    """Return models that need one more replica, by descending demand."""
    demands_per_s = {
        held.name: held.demand_per_s
        for state in states.values()
        for held in state.held
    }
    to_replicate = [
        name
        for name, per_s in demands_per_s.items()
        if per_s > WARM_RATE_PER_S
        or (per_s > SINGLE_COPY_RATE_PER_S and _count_copies(name, states) == 1)
    ]
    return sorted(to_replicate, key=lambda name: (-demands_per_s[name], name))


def _count_copies(model: str, states: Mapping[str, AgentState]) -> int:
    return sum(model in models_with_copy(state) for state in states.values())


def _can_load_replica(state: AgentState, model: str) -> bool:
    """Whether a runner could load a replica of the model now.

    It must not hold the model, and must have no order in progress.
    """
    is_held = find_held(state.held, model) is not None
    return not is_held and not state.loading and not state.unloading


def _replica_rank(
    model: str, states: Mapping[str, AgentState]
) -> Callable[[str], tuple[bool, float, int]]:
    """Return a function that ranks runners for a new replica.

    The runner with the lowest rank is best: runners with a copy come first,
    then those with little demand.
    """
    weight = rendezvous_weight(model)

    def rank(instance: str) -> tuple[bool, float, int]:
        state = states[instance]
        demand_per_s = sum(held.demand_per_s for held in state.held)
        is_present = model in models_with_copy(state)
        return not is_present, demand_per_s, weight(instance)

    return rank


def is_hot(model: str, states: Mapping[str, AgentState]) -> bool:
    """Whether a rarely used model may be evicted for a new replica."""
    found = (find_held(state.held, model) for state in states.values())
    return any(held and held.demand_per_s > HOT_RATE_PER_S for held in found)
