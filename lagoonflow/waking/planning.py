"""Chooses the next order to a runner."""

import collections
import dataclasses
from collections.abc import Mapping

from lagoonflow.backends.messages import HeldModel, RunnerReport
from lagoonflow.backends.names import full_name
from lagoonflow.clock import MS_PER_S
from lagoonflow.declared.messages import EngineSpec, Model
from lagoonflow.gossip.messages import LoadRejection, RouterState
from lagoonflow.waking.copies import load_time_ms
from lagoonflow.waking.demand import RequestedLoad
from lagoonflow.waking.ledger import held_mb
from lagoonflow.waking.messages import OrderKind, RunnerOrder
from lagoonflow.waking.preloading import SPARE_RATE_PER_S
from lagoonflow.waking.runner_view import RunnerView

# A model that was just loaded stays this long, so that the requests that
# waited for it can start, in ms.
SETTLE_MS = 600
# Adapters on their way to one runner at the same time, as the platform allows.
MOST_PENDING_ADAPTERS = 4
# A model with more requests a second at each of its replicas than this gets
# another one where memory lies free.
REFILL_RATE_PER_S = 1.5
# A model that made way is back after about this time, in ms.
RELOAD_MS = 700
# An unload waits about this long for the runs of its model, in ms.
RUNS_MS = 1500
# Requests that may miss their model for each one that waits, and again for
# each second that it has waited.
MISSED_FOR_ONE = 2
# A model may make way for one that is asked for this much more often.
SPARE_PART = 0.1
# Demand that was seen for this long tells which models are rare, in ms.
KNOWN_DEMAND_MS = 8000
# Running requests have made way after about this time, in ms.
DENIAL_RETRY_MS = 1500
# What is not declared or does not fit will not be loaded, in ms.
NEVER_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Situation:
    """What one plan is made from.

    :param running: requests by model, or ``model/adapter``.
    :param running_on: requests by model, adapters' included.
    :param told: what was heard last of the routers' common plan.
    """

    spec: EngineSpec
    report: RunnerReport
    wanted: list[RequestedLoad]
    rates: Mapping[str, float]
    running: collections.Counter[str]
    running_on: collections.Counter[str]
    told: RouterState | None
    now_ms: float


class Planner:
    """Turns wishes into orders, one at a time.

    :ivar denials: wishes that the last plan could not meet.
    """

    def __init__(self, runner_view: RunnerView) -> None:
        """Plan for one runner."""
        self.load_rejections: tuple[LoadRejection, ...] = ()
        self._view = runner_view
        self._denied: list[LoadRejection] = []
        self._demand_since_ms = float('inf')

    def plan(self, now_ms: float) -> RunnerOrder | None:
        """Return the next order, if one makes sense now.

        The runner carries out one order at a time and rejects all others
        meanwhile, those for adapters too.
        """
        self._denied = []
        runner_view = self._view
        step = None
        is_free = (
            runner_view.in_progress is None and not runner_view.report.is_busy
        )
        if is_free:
            step = self._next_step(self._situation(now_ms))
        self.load_rejections = tuple(self._denied)
        return step

    def _situation(self, now_ms: float) -> _Situation:
        runner_view = self._view
        demand = runner_view.demand
        return _Situation(
            runner_view.spec,
            runner_view.report,
            demand.requested_loads(now_ms),
            demand.rates(now_ms),
            demand.running(now_ms),
            runner_view.running_by_model(now_ms),
            demand.newest(now_ms),
            now_ms,
        )

    def _next_step(self, at: _Situation) -> RunnerOrder | None:
        for wish in at.wanted:
            step = self._adapter_step(at, wish)
            if step is not None:
                return step
        for wish in _by_value(at):
            step = self._model_step(at, wish)
            if step is not None:
                return step
        return self._refill_step(at) or self._ahead_step(at)

    # Adapters.

    def _adapter_step(
        self, at: _Situation, wish: RequestedLoad
    ) -> RunnerOrder | None:
        held = self._view.holds(wish.model)
        if not wish.adapter or held is None or wish.adapter in held.adapters:
            return None
        pending = at.report.pending_adapters
        if full_name(wish.model, wish.adapter) in pending:
            return None
        declared = at.spec.models.get(wish.model)
        if declared is None:
            self._deny(wish, NEVER_MS)
            return None
        if len(pending) >= MOST_PENDING_ADAPTERS:
            return None
        ledger = self._view.ledger
        has_place = ledger.free_adapter_places(at.spec, at.report) > 0
        has_room = self._view.free_mb(at.now_ms) >= declared.adapter_mb
        if has_place and has_room:
            cause = f'{wish.waiting} requests wait'
            return _load(wish.model, wish.adapter, at.report, cause)
        return self._drop_adapter(at, wish)

    def _drop_adapter(
        self, at: _Situation, wish: RequestedLoad
    ) -> RunnerOrder | None:
        """Return the order that drops the least recently used idle one."""
        wanted = {(one.model, one.adapter) for one in at.wanted}
        idle = [
            (held.name, adapter)
            for held in at.report.models
            for adapter in held.adapters
            if not at.running.get(full_name(held.name, adapter))
            and (held.name, adapter) not in wanted
        ]
        if not idle:
            self._deny(wish)
            return None
        model, adapter = min(
            idle, key=lambda pair: self._view.used_at_ms(full_name(*pair))
        )
        cause = f'makes way for {full_name(wish.model, wish.adapter)}'
        return _unload(model, adapter, at.report, cause)

    # Models.

    def _model_step(
        self, at: _Situation, wish: RequestedLoad
    ) -> RunnerOrder | None:
        if self._view.holds(wish.model) is not None:
            return None
        declared = at.spec.models.get(wish.model)
        if declared is None or declared.weights_mb > at.spec.weights_mb:
            self._deny(wish, NEVER_MS)
            return None
        is_from_store = load_time_ms(declared, at.report)[1]
        if is_from_store and not self._may_use_store(at):
            return None
        missing_mb = self._missing_mb(at, declared)
        if missing_mb <= 0:
            return _load_model(
                declared, at.report, f'{wish.waiting} requests wait'
            )
        victims = _enough(self._droppable(at), at.spec, missing_mb)
        if not victims or not _is_worth(at, wish, declared, victims):
            self._deny(wish)
            return None
        cause = f'makes way for {wish.model}'
        return _unload(victims[0].name, '', at.report, cause)

    def _refill_step(self, at: _Situation) -> RunnerOrder | None:
        """Load into memory that lies free.

        Runners start empty, and demand moves to models with few replicas.
        """
        restored = self._view.restoration.models_to_restore(
            at.report, at.now_ms
        )
        by_rate = sorted(at.rates, key=lambda name: (-at.rates[name], name))
        in_demand = [
            name for name in by_rate if at.rates[name] >= REFILL_RATE_PER_S
        ]
        for name in (*restored, *in_demand):
            declared = at.spec.models.get(name)
            if declared and self._can_refill(at, declared):
                return _load_model(declared, at.report, 'fills free memory')
        return None

    def _can_refill(self, at: _Situation, model: Model) -> bool:
        is_held = self._view.holds(model.name) is not None
        if is_held or load_time_ms(model, at.report)[1]:
            return False
        return self._missing_mb(at, model) <= 0

    def _ahead_step(self, at: _Situation) -> RunnerOrder | None:
        """Load a model that falls to this runner ahead of requests."""
        if at.told is None:
            return None
        may_use_store = self._may_use_store(at)
        steps = (
            self._make_room(at, at.spec.models[name])
            for name in at.told.preload
            if name in at.spec.models
            and self._view.holds(name) is None
            and (
                may_use_store
                or not load_time_ms(at.spec.models[name], at.report)[1]
            )
        )
        return next((step for step in steps if step is not None), None)

    def _make_room(self, at: _Situation, wanted: Model) -> RunnerOrder | None:
        """Load a model, or drop one that is not missed before."""
        missing_mb = self._missing_mb(at, wanted)
        if missing_mb <= 0:
            return _load_model(wanted, at.report, 'ahead of requests')
        evictable = [
            held
            for held in self._droppable(at)
            if self._is_spare(at, held, wanted)
        ]
        if sum(held_mb(at.spec, held) for held in evictable) < missing_mb:
            return None
        cause = f'makes way for {wanted.name}, ahead of requests'
        return _unload(evictable[0].name, '', at.report, cause)

    def _missing_mb(self, at: _Situation, model: Model) -> float:
        return model.weights_mb - self._view.free_mb(at.now_ms, model.name)

    def _droppable(self, at: _Situation) -> list[HeldModel]:
        """Models that may make way, the least missed first."""
        runner_view = self._view
        wished = {wish.model for wish in at.wanted}
        settled = [
            held
            for held in at.report.models
            if held.name not in wished
            and runner_view.held_for_ms(held.name, at.now_ms) >= SETTLE_MS
        ]
        return sorted(
            settled,
            key=lambda held: (
                at.running_on[held.name] > 0,
                at.rates.get(held.name, 0),
                runner_view.used_at_ms(held.name),
                held.name,
            ),
        )

    def _is_spare(self, at: _Situation, held: HeldModel, wanted: Model) -> bool:
        """Whether a model is not missed while another one is loaded ahead."""
        if at.running_on[held.name] > 0 or held.name in at.told.protected:
            return False
        if not at.rates:
            return held.name in at.told.evictable
        rate_per_s = at.rates.get(held.name, 0)
        if rate_per_s < SPARE_PART * at.rates.get(wanted.name, 0):
            return True
        self._demand_since_ms = min(self._demand_since_ms, at.now_ms)
        is_known = at.now_ms - self._demand_since_ms >= KNOWN_DEMAND_MS
        is_rare = rate_per_s < SPARE_RATE_PER_S
        return is_known and is_rare and held.name in at.told.evictable

    def _may_use_store(self, at: _Situation) -> bool:
        """Keep to the order of the fleet and to this runner's part."""
        if at.told is None or not at.told.may_use_store:
            return False
        loads_per_s = max(at.spec.store_loads_per_s, 0.01)
        pause_ms = MS_PER_S * self._view.agents / loads_per_s
        return at.now_ms - self._view.store_load_at_ms >= pause_ms

    def _deny(
        self, wish: RequestedLoad, retry_after_ms: int = DENIAL_RETRY_MS
    ) -> None:
        denial = LoadRejection(wish.model, wish.adapter, retry_after_ms)
        self._denied.append(denial)


def _is_worth(
    at: _Situation, wish: RequestedLoad, wanted: Model, victims: list[HeldModel]
) -> bool:
    """Whether more requests gain than miss the models that make way."""
    load_ms = load_time_ms(wanted, at.report)[0]
    is_running = any(at.running_on[held.name] for held in victims)
    runs_ms = RUNS_MS if is_running else 0
    missing_s = (load_ms + RELOAD_MS + runs_ms) / MS_PER_S
    missed = sum(at.rates.get(held.name, 0) for held in victims) * missing_s
    waited_s = (at.now_ms - wish.since_ms) / MS_PER_S
    return missed <= MISSED_FOR_ONE * wish.waiting * (1 + waited_s)


def _by_value(at: _Situation) -> list[RequestedLoad]:
    """Sort: the longest waiting first, but the store's by demand."""

    def rank(wish: RequestedLoad) -> float:
        declared = at.spec.models.get(wish.model)
        if declared is None or not load_time_ms(declared, at.report)[1]:
            return float('-inf')
        return -at.rates.get(wish.model, 0)

    return sorted(at.wanted, key=rank)


def _enough(
    victims: list[HeldModel], spec: EngineSpec, missing_mb: float
) -> list[HeldModel]:
    """Return the first models that make enough room; none if all don't."""
    chosen: list[HeldModel] = []
    for held in victims:
        chosen.append(held)
        missing_mb -= held_mb(spec, held)
        if missing_mb <= 0:
            return chosen
    return []


def _load_model(model: Model, report: RunnerReport, cause: str) -> RunnerOrder:
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


def _load(
    model: str, adapter: str, report: RunnerReport, cause: str
) -> RunnerOrder:
    return RunnerOrder(
        OrderKind.LOAD, model, adapter, report.order_sequence, cause
    )


def _unload(
    model: str, adapter: str, report: RunnerReport, cause: str
) -> RunnerOrder:
    return RunnerOrder(
        OrderKind.UNLOAD, model, adapter, report.order_sequence, cause
    )
