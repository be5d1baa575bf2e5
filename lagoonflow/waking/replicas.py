"""Which models need one more replica, and where."""

from collections.abc import Callable, Mapping

from lagoonflow.gossip.messages import AgentState
from lagoonflow.waking.copies import copies_at, find_held, weights_of

# A replica that gets more requests a second than this gets a companion, also in
# place of a rare model: a runner reads about four whole prompts a second.
HOT_RATE_PER_S = 2.5
# Above this rate it gets one in place of what others hold, too: streams pause
# for too long while several prompts are read, in requests a second.
WARM_RATE_PER_S = 0.8
# A model that is asked for this often gets a second copy when only one runner
# has one: with that runner the model would be lost, in requests a second.
SOLE_RATE_PER_S = 0.7


def hot_replicas(states: Mapping[str, AgentState]) -> dict[str, str]:
    """Return where each model that is asked for often gets a replica."""
    coming = {state.loading for state in states.values()}
    chosen: dict[str, str] = {}
    for model in _hot_models(states):
        free = [
            instance
            for instance in states
            if instance not in chosen.values()
            and _can_take(states[instance], model)
        ]
        if free and model not in coming:
            chosen[model] = min(free, key=_replica_rank(model, states))
    return chosen


def may_come_from_store(model: str, states: Mapping[str, AgentState]) -> bool:
    """Whether a replica is worth one of the few loads from the store."""
    return is_hot(model, states) or _copies_of(model, states) == 1


def _hot_models(states: Mapping[str, AgentState]) -> list[str]:
    """Models that need one more replica, the most asked for first."""
    values = {
        held.name: held.demand_per_s
        for state in states.values()
        for held in state.held
    }
    hot = [
        name
        for name, per_s in values.items()
        if per_s > WARM_RATE_PER_S
        or (per_s > SOLE_RATE_PER_S and _copies_of(name, states) == 1)
    ]
    return sorted(hot, key=lambda name: (-values[name], name))


def _copies_of(model: str, states: Mapping[str, AgentState]) -> int:
    return sum(model in copies_at(state) for state in states.values())


def _can_take(state: AgentState, model: str) -> bool:
    """Whether a runner without the model has no order in progress."""
    is_held = find_held(state.held, model) is not None
    return not is_held and not state.loading and not state.unloading


def _replica_rank(
    model: str, states: Mapping[str, AgentState]
) -> Callable[[str], tuple[bool, float, int]]:
    """Rank runners: those with a copy, then those with the least demand."""
    weight = weights_of(model)

    def rank(instance: str) -> tuple[bool, float, int]:
        state = states[instance]
        demand_per_s = sum(held.demand_per_s for held in state.held)
        has_copy = model in copies_at(state)
        return not has_copy, demand_per_s, weight(instance)

    return rank


def is_hot(model: str, states: Mapping[str, AgentState]) -> bool:
    """Whether a replica may take the place of a rare model."""
    found = (find_held(state.held, model) for state in states.values())
    return any(held and held.demand_per_s > HOT_RATE_PER_S for held in found)
