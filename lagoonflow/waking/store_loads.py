"""Which runner loads a model from the weight store, and when.

All routers see nearly the same states of the agents and decide alike, so that
one runner of the fleet loads a model that lies nowhere.
"""

import collections
import dataclasses
import math
from collections.abc import Callable, Mapping

import xxhash

from lagoonflow.declared.messages import EngineSpec
from lagoonflow.gossip.messages import AgentState

# Loads from the store that run at full speed together; more of them only
# slow each other down.
LOADS_AT_ONCE = 4
# A model that is asked for less often than this may make way for a model
# that is fetched ahead, in requests a second.
SPARE_RATE_PER_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class StorePlan:
    """What one agent may load from the store.

    :param may_load: a load may begin now.
    :param to_fetch: models that lie nowhere and fall to this agent.
    :param spare: models it holds that may make way for them.
    """

    may_load: bool = False
    to_fetch: tuple[str, ...] = ()
    spare: tuple[str, ...] = ()


def copies(state: AgentState) -> set[str]:
    """Models that a runner has anywhere, or is about to have."""
    held = {one.name for one in state.held}
    coming = {state.loading} if state.loading else set()
    return held | coming | set(state.in_memory) | set(state.on_disk)


def missing_models(
    spec: EngineSpec, states: Mapping[str, AgentState]
) -> list[str]:
    """Models that no runner has a copy of, in a fixed order."""
    found: set[str] = set()
    for state in states.values():
        found |= copies(state)
    return sorted(set(spec.models) - found)


def assign(
    models: list[str], states: Mapping[str, AgentState]
) -> dict[str, str]:
    """Return the instance that each model falls to, evenly spread."""
    counts = {
        instance: len(copies(state)) for instance, state in states.items()
    }
    if not counts:
        return {}
    most = math.ceil((sum(counts.values()) + len(models)) / len(counts))
    assigned: dict[str, str] = {}
    for model in models:
        open_ones = [one for one in counts if counts[one] < most]
        chosen = max(open_ones or counts, key=_weights_of(model))
        counts[chosen] += 1
        assigned[model] = chosen
    return assigned


def plan_all(
    spec: EngineSpec,
    states: Mapping[str, AgentState],
    demand_per_s: Mapping[str, float],
) -> dict[str, StorePlan]:
    """Return what each agent may load from the store."""
    assigned = assign(missing_models(spec, states), states)
    holders = collections.Counter(
        held.name for state in states.values() for held in state.held
    )
    plans: dict[str, StorePlan] = {}
    for instance, state in states.items():
        spare = tuple(
            held.name
            for held in state.held
            if holders[held.name] == 1
            and not held.running
            and demand_per_s.get(held.name, 0) < SPARE_RATE_PER_S
        )
        to_fetch = tuple(
            model for model, place in assigned.items() if place == instance
        )
        plans[instance] = StorePlan(
            _may_load(instance, states), to_fetch, spare
        )
    return plans


def _may_load(instance: str, states: Mapping[str, AgentState]) -> bool:
    """Whether this agent is among the next to use the store."""
    in_progress = sum(state.is_from_store for state in states.values())
    own_rank = (-states[instance].store_wait_ms, instance)
    ahead = sum(
        (-state.store_wait_ms, other) < own_rank
        for other, state in states.items()
        if state.store_wait_ms > 0 and other != instance
    )
    return in_progress + ahead < LOADS_AT_ONCE


def _weights_of(model: str) -> Callable[[str], int]:
    """Rank instances for a model by rendezvous hashing."""

    def weight(instance: str) -> int:
        return xxhash.xxh3_64_intdigest(f'{model} {instance}'.encode())

    return weight
