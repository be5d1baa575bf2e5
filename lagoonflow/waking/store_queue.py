"""Who may load from the weight store, which carries few loads at full speed.

More loads than that only slow each other down, and each holds back all other
orders of its runner.
"""

import statistics
from collections.abc import Iterable, Mapping

from lagoonflow.gossip.messages import AgentState

# Loads that run at full speed together, until loads have shown another number.
LOADS_AT_ONCE = 4

States = Mapping[str, AgentState]


def loads_at_once(states: States) -> int:
    """Return how many loads run at full speed, as agents have learnt."""
    learnt = [
        state.store_concurrency
        for state in states.values()
        if state.store_concurrency > 0
    ]
    if not learnt:
        return LOADS_AT_ONCE
    return max(round(statistics.median(learnt)), 1)


def loads_in_progress(states: States) -> int:
    """Count the loads from the store that are in progress."""
    return sum(state.is_from_store for state in states.values())


def may_use_store(instance: str, states: States) -> bool:
    """Whether an agent is among the next to load what requests wait for.

    What is asked for most goes first.
    """
    ahead = _ahead_of(instance, states)
    return loads_in_progress(states) + ahead < loads_at_once(states)


def grant_ahead(
    candidates: Iterable[tuple[str, str]], states: States
) -> dict[str, str]:
    """Return which loads ahead of requests may begin, by instance.

    :param candidates: instances and models, the most wanted first.
    """
    waiting = sum(state.store_demand_per_s > 0 for state in states.values())
    # While there are requests, one load is left to what they may wait for.
    reserve = int(any(_has_demand(state) for state in states.values()))
    free = loads_at_once(states) - loads_in_progress(states) - waiting - reserve
    granted: dict[str, str] = {}
    for instance, model in candidates:
        is_idle = not states[instance].is_from_store
        if len(granted) < free and is_idle and instance not in granted:
            granted[instance] = model
    return granted


def queue_ms(instance: str, states: States, load_ms: float) -> float:
    """Time until a load from the store would begin at a runner."""
    at_once = loads_at_once(states)
    before = loads_in_progress(states) + _ahead_of(instance, states)
    return max(before + 1 - at_once, 0) * load_ms / at_once


def _ahead_of(instance: str, states: States) -> int:
    own_rank = (-states[instance].store_demand_per_s, instance)
    return sum(
        (-state.store_demand_per_s, other) < own_rank
        for other, state in states.items()
        if state.store_demand_per_s > 0 and other != instance
    )


def _has_demand(state: AgentState) -> bool:
    return any(held.demand_per_s > 0 for held in state.held)
