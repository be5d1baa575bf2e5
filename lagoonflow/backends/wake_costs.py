"""Where a model may be woken, and what that costs."""

import dataclasses
from collections.abc import Callable

import xxhash

from lagoonflow.declared.messages import EngineSpec, Model
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.relay.messages import Call
from lagoonflow.waking.copies import find_held, has_local_copy, load_time_ms
from lagoonflow.waking.preloading import assign_evenly, missing_models

# Dropping a model that is used once a second costs as much as this wait.
EVICTED_DEMAND_MS = 600
# Running requests must end before their model makes way, which takes about
# this long, in ms.
RUNNING_REQUESTS_MS = 1500
# Its agent may decide otherwise meanwhile, in ms.
BUSY_VICTIM_MS = 1500
# Part of the time of a load that a request a second loses, as its adapter may
# have to wait for the end of the load.
BLOCKED_SHARE = 0.15
# Spreads equal choices over the runners, alike at all routers, in ms.
MAX_TIE_BREAK_MS = 60
# Time between an agent's decision and its order in force, in ms.
ORDER_DELAY_MS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class WakeCandidates:
    """Runners among which a model may be woken.

    :param lie_somewhere: a copy lies there, or a load is coming.
    """

    instances: frozenset[str]
    has_copy_or_load: bool


NO_CANDIDATES = WakeCandidates(frozenset(), has_copy_or_load=False)


def wake_candidates(
    model: str, engine: EngineSpec, states: dict[str, AgentState]
) -> WakeCandidates:
    """Return the runners among which a model may be woken.

    Requests join a load that is coming, unless it comes from the weight store
    and another runner has a copy. Else runners with a copy go before the
    weight store, and one runner is determined for a model that lies nowhere.
    """
    holders = _instances_where(
        states, lambda one: find_held(one.held, model) is not None
    )
    coming = _instances_where(states, lambda one: is_load_pending(one, model))
    with_copy = _instances_where(states, lambda one: has_copy(model, one))
    has_local_copy = any(
        has_copy(model, states[instance]) for instance in coming
    )
    if has_local_copy and not holders:
        return WakeCandidates(coming, has_copy_or_load=True)
    found = with_copy | holders | coming
    if found:
        return WakeCandidates(found, has_copy_or_load=True)
    assigned = assign(missing_models(engine, states), states)
    chosen = {assigned[model]} if model in assigned else states
    return WakeCandidates(frozenset(chosen), has_copy_or_load=False)


def wake_time_ms(model: Model, engine: EngineSpec, state: AgentState) -> float:
    """Time until a runner that may begin the load holds a model."""
    if state.loading == model.name:
        return state.order_ready_in_ms
    wait_ms = state.order_ready_in_ms + ORDER_DELAY_MS
    wait_ms += _planned_loads_ms(model, engine, state)
    victims = _victims(model, engine, state)
    wait_ms += ORDER_DELAY_MS * len(victims)
    if any(victim.running for victim in victims):
        wait_ms += RUNNING_REQUESTS_MS
    return wait_ms + load_time_ms(model, state)[0]


def _planned_loads_ms(
    model: Model, engine: EngineSpec, state: AgentState
) -> float:
    """Time of the loads that are planned before one; copies go first."""
    is_from_store = load_time_ms(model, state)[1]
    wait_ms: float = 0
    for planned in state.planned:
        if planned == model.name:
            return wait_ms
        other = engine.models.get(planned)
        if other is not None:
            load_ms, is_slow = load_time_ms(other, state)
            if is_from_store or not is_slow:
                wait_ms += load_ms + ORDER_DELAY_MS
    return wait_ms


def eviction_penalty_ms(
    model: Model, engine: EngineSpec, state: AgentState
) -> float:
    """What speaks against dropping what must make way for a model."""
    victims = _victims(model, engine, state)
    cost_ms = sum(victim.keep_value for victim in victims) * EVICTED_DEMAND_MS
    if any(victim.running for victim in victims):
        cost_ms += BUSY_VICTIM_MS
    return cost_ms


def blocking_penalty_ms(state: AgentState, load_ms: float) -> float:
    """What speaks against a load where requests need adapters meanwhile."""
    demand_per_s = sum(held.keep_value for held in state.held)
    return demand_per_s * load_ms * BLOCKED_SHARE


def _victims(
    model: Model, engine: EngineSpec, state: AgentState
) -> list[HeldModelState]:
    """Models that make way first, idle ones before all."""
    missing_mb = model.weights_mb - state.free_mb
    victims: list[HeldModelState] = []
    for held in sorted(state.held, key=_victim_rank):
        if missing_mb <= 0:
            break
        declared = engine.models.get(held.name)
        missing_mb -= declared.weights_mb if declared else 0
        victims.append(held)
    return victims


def rejection_delay_ms(state: AgentState, call: Call) -> float:
    """Time after which an agent may meet a wish that it denied."""
    for denial in state.load_rejections:
        if (denial.model, denial.adapter) == (call.model, call.adapter):
            return denial.retry_after_ms
    return 0


def is_load_pending(state: AgentState, model: str) -> bool:
    """Whether an agent has taken up the wish for a model."""
    return state.loading == model or model in state.planned


def tie_break_ms(model: str, instance: str) -> float:
    """Spread equal choices over the runners, alike at all routers."""
    digest = xxhash.xxh3_64_intdigest(f'{model} {instance}'.encode())
    return digest % 1000 / 1000 * MAX_TIE_BREAK_MS


def _instances_where(
    states: dict[str, AgentState], matches: Callable[[AgentState], bool]
) -> frozenset[str]:
    return frozenset(name for name, state in states.items() if matches(state))


def _victim_rank(held: HeldModelState) -> tuple[int, float]:
    return held.running, held.demand_per_s
