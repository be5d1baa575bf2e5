"""Runners that may load a model for waiting calls, and the costs of it."""

import dataclasses
from collections.abc import Callable, Container

import xxhash

from lagoonflow.declared.messages import EngineSpec, Model
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.relay.messages import Call
from lagoonflow.waking.copies import find_held, has_local_copy, load_time_ms
from lagoonflow.waking.eviction import eviction_cost_ms
from lagoonflow.waking.fleet_copies import count_copies
from lagoonflow.waking.preloading import assign_evenly, missing_models

# Evicting a model that is used once per second costs as much as this wait.
EVICTED_DEMAND_MS = 600
# Running requests must end before their model can be evicted, which takes about
# this long.
RUNNING_REQUESTS_MS = 1500
# Extra cost of evicting a model with running requests: its agent may decide
# against the eviction.
BUSY_VICTIM_MS = 1500
# Each request per second of demand at a runner adds this share of the load time
# to the cost of a load there: adapters that the requests need may have to wait
# until the load ends.
BLOCKED_SHARE = 0.15
# Upper bound of the cost that breaks ties between runners.
MAX_TIE_BREAK_MS = 60
# Time from an agent's decision until its order takes effect at the runner.
ORDER_DELAY_MS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class WakeCandidates:
    """Runners that may load a model.

    :param instances: ids of the runners.
    :param has_copy_or_load: these runners hold the model, have a copy of it or
        have a pending load of it; if false, no runner is known to.
    """

    instances: frozenset[str]
    has_copy_or_load: bool


NO_CANDIDATES = WakeCandidates(frozenset(), has_copy_or_load=False)


def wake_candidates(
    model: str, engine: EngineSpec, states: dict[str, AgentState]
) -> WakeCandidates:
    """Return the runners among which one may load a model.

    If a model is held nowhere and a load from a runner's own copy is pending,
    requests join that load. Otherwise all runners that hold the model, have a
    copy or have a pending load are candidates. If there are none, the model
    must come from the weight store, and one runner is assigned to load it.
    """
    holders = _instances_where(
        states, lambda one: find_held(one.held, model) is not None
    )
    pending = _instances_where(states, lambda one: is_load_pending(one, model))
    with_copy = _instances_where(states, lambda one: has_local_copy(model, one))
    loads_from_copy = any(
        has_local_copy(model, states[instance]) for instance in pending
    )
    if loads_from_copy and not holders:
        return WakeCandidates(pending, has_copy_or_load=True)
    found = with_copy | holders | pending
    if found:
        return WakeCandidates(found, has_copy_or_load=True)
    copies = count_copies(states)
    assigned = assign_evenly(missing_models(engine, copies), copies)
    chosen = {assigned[model]} if model in assigned else states
    return WakeCandidates(frozenset(chosen), has_copy_or_load=False)


def wake_time_ms(
    model: Model,
    engine: EngineSpec,
    state: AgentState,
    store_only: Container[str] | None = None,
) -> float:
    """Return the time in ms until a runner could hold a model.

    :param store_only: held models that only the weight store could restore;
        ``None`` where most models fit the runners.
    """
    if state.loading == model.name:
        return state.order_ready_in_ms
    wait_ms = state.order_ready_in_ms + ORDER_DELAY_MS
    wait_ms += _planned_loads_ms(model, engine, state)
    victims = _victims(model, engine, state, store_only)
    wait_ms += ORDER_DELAY_MS * len(victims)
    if any(victim.running for victim in victims):
        wait_ms += RUNNING_REQUESTS_MS
    return wait_ms + load_time_ms(model, state)[0]


def _planned_loads_ms(
    model: Model, engine: EngineSpec, state: AgentState
) -> float:
    """Return the time in ms of planned loads that go before a model's load.

    Loads from a copy at the runner go before loads from the weight store.
    """
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
    model: Model,
    engine: EngineSpec,
    state: AgentState,
    store_only: Container[str] | None = None,
) -> float:
    """Return the penalty for the models that must be evicted to load one.

    :param store_only: as for :func:`wake_time_ms`.
    """
    victims = _victims(model, engine, state, store_only)
    if store_only is not None:
        return sum(
            _eviction_cost_ms(engine, victim, store_only) for victim in victims
        )
    cost_ms = sum(victim.demand_per_s for victim in victims) * EVICTED_DEMAND_MS
    if any(victim.running for victim in victims):
        cost_ms += BUSY_VICTIM_MS
    return cost_ms


def blocking_penalty_ms(state: AgentState, load_ms: float) -> float:
    """Return the penalty for delaying adapter loads during a load.

    :param load_ms: time that the load takes.
    """
    demand_per_s = sum(held.demand_per_s for held in state.held)
    return demand_per_s * load_ms * BLOCKED_SHARE


def _victims(
    model: Model,
    engine: EngineSpec,
    state: AgentState,
    store_only: Container[str] | None,
) -> list[HeldModelState]:
    """Return the models to evict to load another one.

    Those with the fewest running requests come first, then those with the
    least demand; where most models don't fit, those whose eviction costs the
    least.
    """
    rank: Callable[[HeldModelState], tuple[float, float]] = _victim_rank
    if store_only is not None:
        rank = _scarce_rank(engine, store_only)
    missing_mb = model.weights_mb - state.free_mb
    victims: list[HeldModelState] = []
    for held in sorted(state.held, key=rank):
        if missing_mb <= 0:
            break
        declared = engine.models.get(held.name)
        missing_mb -= declared.weights_mb if declared else 0
        victims.append(held)
    return victims


def rejection_delay_ms(state: AgentState, call: Call) -> float:
    """Return the time in ms until an agent may accept a rejected request.

    0 when the agent has not rejected the load request of the call.
    """
    for rejection in state.load_rejections:
        if (rejection.model, rejection.adapter) == (call.model, call.adapter):
            return rejection.retry_after_ms
    return 0


def is_load_pending(state: AgentState, model: str) -> bool:
    """Return whether an agent is loading a model or plans to."""
    return state.loading == model or model in state.planned


def tie_break_ms(model: str, instance: str) -> float:
    """Return a cost that spreads models over equally good runners.

    It depends on the names alone, so that all routers choose alike.
    """
    digest = xxhash.xxh3_64_intdigest(f'{model} {instance}'.encode())
    return digest % 1000 / 1000 * MAX_TIE_BREAK_MS


def _instances_where(
    states: dict[str, AgentState], matches: Callable[[AgentState], bool]
) -> frozenset[str]:
    return frozenset(name for name, state in states.items() if matches(state))


def _scarce_rank(
    engine: EngineSpec, store_only: Container[str]
) -> Callable[[HeldModelState], tuple[float, float]]:
    def rank(held: HeldModelState) -> tuple[float, float]:
        cost_ms = _eviction_cost_ms(engine, held, store_only)
        return cost_ms, held.demand_per_s

    return rank


def _eviction_cost_ms(
    engine: EngineSpec, held: HeldModelState, store_only: Container[str]
) -> float:
    return eviction_cost_ms(
        engine,
        held.name,
        held.demand_per_s,
        is_store_only=held.name in store_only,
        is_running=held.running > 0,
    )


def _victim_rank(held: HeldModelState) -> tuple[int, float]:
    return held.running, held.demand_per_s
