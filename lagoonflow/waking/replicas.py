"""Chooses models that need one more replica, and runners for it."""

from collections.abc import Callable, Container, Mapping

from lagoonflow.gossip.messages import AgentState
from lagoonflow.waking.copies import find_held, rendezvous_weight
from lagoonflow.waking.fleet_copies import FleetCopies

# A model whose demand takes more than this share of a runner is hot: it gets
# another replica even where a rarely used model must be evicted for it.
HOT_LOAD = 0.6
# A model with more load per replica than this gets another replica, but only
# models that other runners hold too are evicted for it. Without the replica,
# streams pause for too long while a runner prefills several prompts.
WARM_LOAD = 0.2
# A model with more demand than this gets a second copy when only one runner has
# one, as the loss of that runner would leave none. In requests per second.
SINGLE_COPY_RATE_PER_S = 0.7


def replicas_to_add(
    copies: FleetCopies,
    cold: Container[str] = (),
    time_factors: Mapping[str, float] | None = None,
) -> dict[str, str]:
    """Return the instance that should load one more replica, by model.

    The models with the most load choose first.

    :param cold: ids of runners that are cold.
    :param time_factors: how much longer than usual work takes at each runner,
        where that is known.
    """
    states = copies.states
    being_loaded = {state.loading for state in states.values()}
    chosen: dict[str, str] = {}
    used: set[str] = set()
    for model in _models_to_replicate(copies):
        candidates = [
            instance
            for instance in states
            if instance not in used
            and _can_load_replica(states[instance], model)
        ]
        if candidates and model not in being_loaded:
            rank = _replica_rank(model, copies, cold, time_factors or {})
            chosen[model] = min(candidates, key=rank)
            used.add(chosen[model])
    return chosen


def may_come_from_store(model: str, copies: FleetCopies) -> bool:
    """Whether a new replica may use one of the few loads from the store."""
    return copies.counts[model] == 1 or is_hot(model, copies.states)


def _models_to_replicate(copies: FleetCopies) -> list[str]:
    """Return models that need one more replica, by descending load."""
    held_models = {
        held.name: held
        for state in copies.states.values()
        for held in state.held
    }
    to_replicate = [
        held
        for held in held_models.values()
        if held.load > WARM_LOAD
        or (
            held.demand_per_s > SINGLE_COPY_RATE_PER_S
            and copies.counts[held.name] == 1
        )
    ]
    to_replicate.sort(
        key=lambda held: (-held.load, -held.demand_per_s, held.name)
    )
    return [held.name for held in to_replicate]


def _can_load_replica(state: AgentState, model: str) -> bool:
    """Whether a runner could load a replica of the model now.

    It must not hold the model, and must have no order in progress.
    """
    is_held = find_held(state.held, model) is not None
    return not is_held and not state.loading and not state.unloading


def _replica_rank(
    model: str,
    copies: FleetCopies,
    cold: Container[str],
    time_factors: Mapping[str, float],
) -> Callable[[str], tuple[bool, bool, float, int]]:
    """Return a function that ranks runners for a new replica.

    The runner with the lowest rank is best: runners with a copy come first,
    then warm ones, then those with little demand. Where speeds are known, those
    come first that spend the least time on their demand with one more request
    per second.
    """
    weight = rendezvous_weight(model)

    def rank(instance: str) -> tuple[bool, bool, float, int]:
        demand_per_s = copies.demand_per_s[instance]
        factor = time_factors.get(instance)
        if factor is not None:
            demand_per_s = (demand_per_s + 1) * factor
        return (
            model not in copies.models[instance],
            instance in cold,
            demand_per_s,
            weight(instance),
        )

    return rank


def is_hot(model: str, states: Mapping[str, AgentState]) -> bool:
    """Whether a rarely used model may be evicted for a new replica."""
    found = (find_held(state.held, model) for state in states.values())
    return any(held and held.load > HOT_LOAD for held in found)
