"""Plans the next order for a runner: a load or an unload.

Requested adapters and models come first, then loads into free memory, then
preloads.
"""

import collections
import dataclasses
from collections.abc import Mapping

from lagoonflow.backends.messages import HeldModel, RunnerReport
from lagoonflow.backends.names import full_name
from lagoonflow.clock import MS_PER_S
from lagoonflow.declared.messages import EngineSpec, Model
from lagoonflow.gossip.messages import LoadRejection, RouterState
from lagoonflow.waking.capacity import capacity_shares
from lagoonflow.waking.copies import load_time_ms
from lagoonflow.waking.demand import RequestedLoad
from lagoonflow.waking.eviction import eviction_cost_ms
from lagoonflow.waking.messages import OrderKind, RunnerOrder
from lagoonflow.waking.preloading import RARE_RATE_PER_S
from lagoonflow.waking.runner_memory import held_mb
from lagoonflow.waking.runner_view import RunnerView

# A model is not evicted for this long after its load, so that the requests
# that waited for it can start, in ms.
MIN_LOADED_MS = 600
# Adapters that one runner may load at the same time, by the platform's rules.
MAX_PENDING_ADAPTERS = 4
# A model with at least this load per replica gets another replica where memory
# is free, as a share of a runner's capacity.
REFILL_LOAD = 0.35
# Expected time to load an evicted model again, in ms.
RELOAD_MS = 700
# Expected time that an unload waits for the running requests of its model, in
# ms.
RUNNING_REQUESTS_MS = 1500
# An eviction may delay at most this many requests for each waiting request. The
# limit grows by the same number with each second that the load is waited for.
MAX_DELAYED_PER_WAITING = 2
# Loads count as taking at least this long, in s.
MIN_LOAD_S = 0.1
# A model may be evicted for a preload if its demand is below this share of the
# preloaded model's demand.
RARE_DEMAND_SHARE = 0.1
# Only after demand has been observed for this long does a low rate show that a
# model is rarely used, in ms.
DEMAND_KNOWN_AFTER_MS = 8000
# Retry delay of a rejected load, in ms: by then running requests have usually
# ended, so that their model can be evicted.
REJECTION_RETRY_MS = 1500
# Retry delay of a load that can't succeed, as the model is not declared or is
# too large for the runner, in ms.
IMPOSSIBLE_LOAD_RETRY_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _PlanInputs:
    """Inputs of one plan.

    :param rates: demand by model, in requests per second.
    :param running: running requests by ``model`` or ``model/adapter``.
    :param running_by_model: running requests by model, including those on its
        adapters.
    :param router_state: the router state received last; all routers send
        nearly the same preload plan.
    """

    spec: EngineSpec
    report: RunnerReport
    requested: list[RequestedLoad]
    rates: Mapping[str, float]
    running: collections.Counter[str]
    running_by_model: collections.Counter[str]
    router_state: RouterState | None
    now_ms: float


class Planner:
    """Turns requested loads and preloads into orders, one at a time.

    :ivar load_rejections: requested loads that the last plan rejected.
    :ivar store_turn: model for which another one is evicted, to load it from
        the weight store in this runner's turn; empty for none.
    :ivar turn_delay: why the runner's turn at the weight store isn't used;
        empty for none.
    """

    def __init__(self, runner_view: RunnerView) -> None:
        """Plan the orders for one runner."""
        self.load_rejections: tuple[LoadRejection, ...] = ()
        self.store_turn = ''
        self.turn_delay = ''
        self._view = runner_view
        self._rejected: list[LoadRejection] = []
        self._demand_since_ms = float('inf')

    def plan(self, now_ms: float) -> RunnerOrder | None:
        """Return the next order; ``None`` if none is needed or possible now.

        While a runner carries out an order, it rejects all others, including
        those for adapters.
        """
        self._rejected = []
        runner_view = self._view
        order = None
        is_free = (
            runner_view.in_progress is None and not runner_view.report.is_busy
        )
        if is_free:
            order = self._next_order(self._inputs(now_ms))
        self.load_rejections = tuple(self._rejected)
        return order

    def _inputs(self, now_ms: float) -> _PlanInputs:
        runner_view = self._view
        demand = runner_view.demand
        return _PlanInputs(
            runner_view.spec,
            runner_view.report,
            demand.requested_loads(now_ms),
            demand.rates_per_s(now_ms),
            demand.running_requests(now_ms),
            runner_view.running_requests_by_model(now_ms),
            demand.newest_state(now_ms),
            now_ms,
        )

    def _next_order(self, inputs: _PlanInputs) -> RunnerOrder | None:
        for load in inputs.requested:
            order = self._adapter_order(inputs, load)
            if order is not None:
                return order
        order = self._turn_order(inputs)
        if order is not None:
            return order
        for load in _by_priority(inputs):
            order = self._model_order(inputs, load)
            if order is not None:
                return order
        return self._refill_order(inputs) or self._preload_order(inputs)

    # Adapters.

    def _adapter_order(
        self, inputs: _PlanInputs, load: RequestedLoad
    ) -> RunnerOrder | None:
        held = self._view.held_model(load.model)
        if not load.adapter or held is None or load.adapter in held.adapters:
            return None
        pending = inputs.report.pending_adapters
        if full_name(load.model, load.adapter) in pending:
            return None
        declared = inputs.spec.models.get(load.model)
        if declared is None:
            self._reject(load, IMPOSSIBLE_LOAD_RETRY_MS)
            return None
        if len(pending) >= MAX_PENDING_ADAPTERS:
            return None
        memory = self._view.memory
        has_capacity = (
            memory.free_adapter_capacity(inputs.spec, inputs.report) > 0
        )
        has_memory = self._view.free_mb(inputs.now_ms) >= declared.adapter_mb
        if has_capacity and has_memory:
            cause = f'{load.waiting} requests wait'
            return _adapter_load_order(
                load.model, load.adapter, inputs.report, cause
            )
        return self._evict_adapter(inputs, load)

    def _evict_adapter(
        self, inputs: _PlanInputs, load: RequestedLoad
    ) -> RunnerOrder | None:
        """Return an order to unload the least recently used idle adapter."""
        requested = {(one.model, one.adapter) for one in inputs.requested}
        idle = [
            (held.name, adapter)
            for held in inputs.report.models
            for adapter in held.adapters
            if not inputs.running.get(full_name(held.name, adapter))
            and (held.name, adapter) not in requested
        ]
        if not idle:
            self._reject(load)
            return None
        model, adapter = min(
            idle, key=lambda pair: self._view.last_used_at_ms(full_name(*pair))
        )
        cause = f'evicted for {full_name(load.model, load.adapter)}'
        return _unload_order(model, adapter, inputs.report, cause)

    # Models.

    def _turn_order(self, inputs: _PlanInputs) -> RunnerOrder | None:
        """Return an order for the model whose turn at the store it is.

        It goes before requested loads, which follow each other without a pause
        under overload.
        """
        self.store_turn = ''
        self.turn_delay = ''
        name = self._view.demand.store_turn(inputs.now_ms)
        declared = inputs.spec.models.get(name)
        if declared is None or self._view.held_model(name) is not None:
            return None
        if not _has_store_share(self._view, inputs):
            self.turn_delay = f'{name}: the last load was too recent'
            return None
        shortfall_mb = _shortfall_mb(self._view, inputs, declared)
        if shortfall_mb <= 0:
            return _load_order(declared, inputs.report, 'turn at the store')
        victims = _first_sufficient(
            self._eviction_candidates(inputs), inputs.spec, shortfall_mb
        )
        if not victims:
            self.turn_delay = f'{name}: no model can be evicted'
            return None
        self.store_turn = name
        cause = f'evicted for {name} from the store'
        return _unload_order(victims[0].name, '', inputs.report, cause)

    def _model_order(
        self, inputs: _PlanInputs, load: RequestedLoad
    ) -> RunnerOrder | None:
        if self._view.held_model(load.model) is not None:
            return None
        declared = inputs.spec.models.get(load.model)
        if declared is None or declared.weights_mb > inputs.spec.weights_mb:
            self._reject(load, IMPOSSIBLE_LOAD_RETRY_MS)
            return None
        is_from_store = load_time_ms(declared, inputs.report)[1]
        if is_from_store and (
            _is_scarce(inputs) or not self._may_use_store(inputs)
        ):
            return None
        shortfall_mb = _shortfall_mb(self._view, inputs, declared)
        if shortfall_mb <= 0:
            return _load_order(
                declared, inputs.report, f'{load.waiting} requests wait'
            )
        victims = _first_sufficient(
            self._eviction_candidates(inputs), inputs.spec, shortfall_mb
        )
        if not victims or not _is_worthwhile(inputs, load, declared, victims):
            self._reject(load)
            return None
        cause = f'evicted for {load.model}'
        return _unload_order(victims[0].name, '', inputs.report, cause)

    def _refill_order(self, inputs: _PlanInputs) -> RunnerOrder | None:
        """Return an order that loads a model into free memory.

        Free memory is common: runners start empty, and demand moves to models
        with few replicas. Nothing is loaded from the weight store here.
        """
        restored = self._view.restoration.models_to_restore(
            inputs.report, inputs.now_ms
        )
        loads = capacity_shares(self._view, inputs.now_ms)
        by_load = sorted(loads, key=lambda name: (-loads[name], name))
        in_demand = [name for name in by_load if loads[name] >= REFILL_LOAD]
        for name in (*restored, *in_demand):
            declared = inputs.spec.models.get(name)
            if declared and self._can_refill(inputs, declared):
                return _load_order(
                    declared, inputs.report, 'load into free memory'
                )
        return None

    def _can_refill(self, inputs: _PlanInputs, model: Model) -> bool:
        is_held = self._view.held_model(model.name) is not None
        if is_held or load_time_ms(model, inputs.report)[1]:
            return False
        return _shortfall_mb(self._view, inputs, model) <= 0

    def _preload_order(self, inputs: _PlanInputs) -> RunnerOrder | None:
        """Return an order for a model that this runner should preload."""
        if inputs.router_state is None:
            return None
        may_use_store = self._may_use_store(inputs)
        orders = (
            self._load_or_evict(inputs, inputs.spec.models[name])
            for name in inputs.router_state.preload
            if name in inputs.spec.models
            and self._view.held_model(name) is None
            and (
                may_use_store
                or not load_time_ms(inputs.spec.models[name], inputs.report)[1]
            )
        )
        return next((order for order in orders if order is not None), None)

    def _load_or_evict(
        self, inputs: _PlanInputs, model: Model
    ) -> RunnerOrder | None:
        """Return an order to preload a model, or to evict another one first."""
        shortfall_mb = _shortfall_mb(self._view, inputs, model)
        if shortfall_mb <= 0:
            return _load_order(
                model, inputs.report, 'preload before any request'
            )
        evictable = [
            held
            for held in self._eviction_candidates(inputs)
            if self._is_evictable(inputs, held, model)
        ]
        if sum(held_mb(inputs.spec, held) for held in evictable) < shortfall_mb:
            return None
        cause = f'evicted to preload {model.name}'
        return _unload_order(evictable[0].name, '', inputs.report, cause)

    def _eviction_candidates(self, inputs: _PlanInputs) -> list[HeldModel]:
        """Return the models that may be evicted, the least used first."""
        runner_view = self._view
        requested = {load.model for load in inputs.requested}
        rank = _scarce_rank if _is_scarce(inputs) else _rank
        candidates = [
            held
            for held in inputs.report.models
            if held.name not in requested
            and runner_view.held_for_ms(held.name, inputs.now_ms)
            >= MIN_LOADED_MS
        ]
        return sorted(
            candidates, key=lambda held: rank(runner_view, inputs, held)
        )

    def _is_evictable(
        self, inputs: _PlanInputs, held: HeldModel, model: Model
    ) -> bool:
        """Whether a held model may be evicted to preload another one."""
        if (
            inputs.running_by_model[held.name] > 0
            or held.name in inputs.router_state.protected
        ):
            return False
        if not inputs.rates:
            return held.name in inputs.router_state.evictable
        rate_per_s = inputs.rates.get(held.name, 0)
        if rate_per_s < RARE_DEMAND_SHARE * inputs.rates.get(model.name, 0):
            return True
        self._demand_since_ms = min(self._demand_since_ms, inputs.now_ms)
        is_known = (
            inputs.now_ms - self._demand_since_ms >= DEMAND_KNOWN_AFTER_MS
        )
        is_rare = rate_per_s < RARE_RATE_PER_S
        return (
            is_known and is_rare and held.name in inputs.router_state.evictable
        )

    def _may_use_store(self, inputs: _PlanInputs) -> bool:
        """Whether this runner may load from the weight store now.

        It needs the routers' permission, and may not exceed its share of the
        declared store loads per second.
        """
        if inputs.router_state is None or not inputs.router_state.may_use_store:
            return False
        return _has_store_share(self._view, inputs)

    def _reject(
        self, load: RequestedLoad, retry_after_ms: int = REJECTION_RETRY_MS
    ) -> None:
        rejection = LoadRejection(load.model, load.adapter, retry_after_ms)
        self._rejected.append(rejection)


def _is_scarce(inputs: _PlanInputs) -> bool:
    return inputs.router_state is not None and inputs.router_state.is_scarce


def _has_store_share(runner_view: RunnerView, inputs: _PlanInputs) -> bool:
    loads_per_s = max(inputs.spec.store_loads_per_s, 0.01)
    pause_ms = MS_PER_S * runner_view.agents / loads_per_s
    return inputs.now_ms - runner_view.store_load_at_ms >= pause_ms


def _shortfall_mb(
    runner_view: RunnerView, inputs: _PlanInputs, model: Model
) -> float:
    return model.weights_mb - runner_view.free_mb(inputs.now_ms, model.name)


def _rank(
    runner_view: RunnerView, inputs: _PlanInputs, held: HeldModel
) -> tuple[float, float, float, str]:
    return (
        inputs.running_by_model[held.name] > 0,
        inputs.rates.get(held.name, 0),
        runner_view.last_used_at_ms(held.name),
        held.name,
    )


def _scarce_rank(
    runner_view: RunnerView, inputs: _PlanInputs, held: HeldModel
) -> tuple[float, float, str]:
    store_only = inputs.router_state.store_only if inputs.router_state else ()
    cost_ms = eviction_cost_ms(
        inputs.spec,
        held.name,
        inputs.rates.get(held.name, 0),
        is_store_only=held.name in store_only,
        is_running=inputs.running_by_model[held.name] > 0,
    )
    return cost_ms, runner_view.last_used_at_ms(held.name), held.name


def _is_worthwhile(
    inputs: _PlanInputs,
    load: RequestedLoad,
    model: Model,
    victims: list[HeldModel],
) -> bool:
    """Whether a load outweighs the evictions that it needs.

    It does if few enough requests are delayed while the evicted models are
    missing, compared with those that wait and how long they have waited.
    """
    load_ms = load_time_ms(model, inputs.report)[0]
    callers = _callers_of(inputs, load, model)
    is_running = any(inputs.running_by_model[held.name] for held in victims)
    running_requests_ms = RUNNING_REQUESTS_MS if is_running else 0
    delay_s = (load_ms + RELOAD_MS + running_requests_ms) / MS_PER_S
    delayed = sum(inputs.rates.get(held.name, 0) for held in victims) * delay_s
    waited_s = (inputs.now_ms - load.waiting_since_ms) / MS_PER_S
    return delayed <= MAX_DELAYED_PER_WAITING * callers * (1 + waited_s)


def _callers_of(
    inputs: _PlanInputs, load: RequestedLoad, model: Model
) -> float:
    """Return how many callers a load would have served.

    Nobody waits for a load from the weight store, since it takes longer than
    callers do. Those who are refused meanwhile count instead.
    """
    load_ms, is_from_store = load_time_ms(model, inputs.report)
    if not is_from_store:
        return load.waiting
    refused = inputs.rates.get(load.model, 0) * load_ms / MS_PER_S
    return max(load.waiting, refused)


def _by_priority(inputs: _PlanInputs) -> list[RequestedLoad]:
    """Sort the requested loads by priority.

    Loads that would serve the most callers for the time that they occupy the
    runner come first. The weight grows with the time that a load is waited
    for, so that none waits behind others without end.
    """

    def rank(load: RequestedLoad) -> float:
        declared = inputs.spec.models.get(load.model)
        if declared is None:
            return float('-inf')
        load_s = load_time_ms(declared, inputs.report)[0] / MS_PER_S
        waited_s = (inputs.now_ms - load.waiting_since_ms) / MS_PER_S
        callers = _callers_of(inputs, load, declared)
        return -callers * (1 + waited_s) / max(load_s, MIN_LOAD_S)

    return sorted(inputs.requested, key=rank)


def _first_sufficient(
    victims: list[HeldModel], spec: EngineSpec, shortfall_mb: float
) -> list[HeldModel]:
    """Return the first models that together free enough memory.

    The list is empty if all of them together don't.
    """
    chosen: list[HeldModel] = []
    for held in victims:
        chosen.append(held)
        shortfall_mb -= held_mb(spec, held)
        if shortfall_mb <= 0:
            return chosen
    return []


def _load_order(model: Model, report: RunnerReport, cause: str) -> RunnerOrder:
    load_ms, is_from_store = load_time_ms(model, report)
    return RunnerOrder(
        OrderKind.LOAD,
        model.name,
        '',
        report.order_sequence,
        cause,
        load_ms,
        is_from_store,
    )


def _adapter_load_order(
    model: str, adapter: str, report: RunnerReport, cause: str
) -> RunnerOrder:
    return RunnerOrder(
        OrderKind.LOAD, model, adapter, report.order_sequence, cause
    )


def _unload_order(
    model: str, adapter: str, report: RunnerReport, cause: str
) -> RunnerOrder:
    return RunnerOrder(
        OrderKind.UNLOAD, model, adapter, report.order_sequence, cause
    )
