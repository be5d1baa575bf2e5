"""Chooses the orders for one runner and describes its state to routers."""

from collections.abc import Callable

from lagoonflow.backends.messages import RunnerReport
from lagoonflow.clock import MS_PER_S
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.waking.capacity import capacity_shares
from lagoonflow.waking.copies import load_time_ms
from lagoonflow.waking.demand import RequestedLoad
from lagoonflow.waking.messages import OrderKind, RunnerOrder
from lagoonflow.waking.planning import Planner
from lagoonflow.waking.runner_view import RunnerView

# Lowest demand that is published for a requested model, in requests per
# second: 0 would mean that no request waits.
MIN_STORE_DEMAND_PER_S = 0.001
# Requested models that must come from the store, published at most. They are
# spread over the agents; with 200 of them at 20 agents, each has about ten.
MAX_STORE_REQUESTS = 32


class RunnerController:
    """Controls which models and adapters one runner loads and unloads.

    :param agent: name of this agent.
    :param stalled_ms: returns for how long this process stood still so far.
    """

    def __init__(
        self, agent: str, stalled_ms: Callable[[], float] = float
    ) -> None:
        """Start without a report; no order is sent before the first."""
        self.runner_view = RunnerView(stalled_ms)
        self._agent = agent
        self._planner = Planner(self.runner_view)

    @property
    def has_order_in_progress(self) -> bool:
        """Whether the runner loads or unloads a model, or loads an adapter."""
        report = self.runner_view.report
        has_pending = report is not None and bool(report.pending_adapters)
        return self.runner_view.in_progress is not None or has_pending

    @property
    def turn_delay(self) -> str:
        """Why a turn at the weight store isn't used; empty for none."""
        return self._planner.turn_delay

    def next_order(self, now_ms: float) -> RunnerOrder | None:
        """Return the next order; ``None`` if none is needed or possible now."""
        if not self.runner_view.may_order(now_ms):
            return None
        return self._planner.plan(now_ms)

    def agent_state(self, now_ms: float) -> AgentState:
        """Return the state of the runner and its agent for the routers."""
        runner_view = self.runner_view
        report = runner_view.report
        if report is None:
            return AgentState(self._agent, runner_view.instance, 0)
        loading, unloading = self._models_in_progress()
        store_loads = self._loads_in_turn(report, now_ms)
        return AgentState(
            agent=self._agent,
            instance=runner_view.instance,
            runner_started_ms=report.started_ms,
            held=self._held_model_states(report, unloading, now_ms),
            loading=loading,
            unloading=unloading,
            order_ready_in_ms=int(self._order_ready_in_ms(now_ms)),
            planned=self._planned_models(loading, now_ms),
            load_rejections=self._planner.load_rejections,
            free_mb=runner_view.free_mb(now_ms),
            queued=report.queued,
            active=report.active,
            cache_used_tokens=report.cache_used_tokens,
            in_memory=tuple(sorted(report.in_memory)),
            on_disk=tuple(sorted(report.on_disk)),
            can_order=runner_view.may_order(now_ms),
            is_from_store=self._is_from_store(now_ms),
            store_demand_per_s=self._store_demand_per_s(report, now_ms),
            store_concurrency=runner_view.store_concurrency.estimate,
            is_down=runner_view.is_down,
            is_leaving=report.is_leaving,
            limit_per_s=-1
            if report.limit_per_s is None
            else report.limit_per_s,
            work_time_percent=report.work_time_percent or 0,
            store_requests={
                load.model: int((now_ms - load.waiting_since_ms) / MS_PER_S)
                for load in store_loads
            },
            store_turn=self._planner.store_turn,
            store_slowdown=round(self._store_slowdown(now_ms), 2),
            store_refusals={load.model: load.refused for load in store_loads},
            store_periods={
                load.model: load.refused_periods for load in store_loads
            },
        )

    def _is_from_store(self, now_ms: float) -> bool:
        """Whether the load in progress is from the weight store."""
        in_progress = self.runner_view.in_progress
        if in_progress is None:
            return self.runner_view.busy.is_store_load(now_ms)
        return in_progress.order.is_from_store

    def _order_ready_in_ms(self, now_ms: float) -> float:
        in_progress = self.runner_view.in_progress
        if in_progress is None:
            return 0
        slowdown: float = 1
        if in_progress.order.is_from_store:
            slowdown = self._store_slowdown(now_ms)
        return in_progress.ready_in_ms(now_ms, slowdown)

    def _store_slowdown(self, now_ms: float) -> float:
        """How many times its declared time a load from the store takes."""
        state = self.runner_view.demand.newest_state(now_ms)
        concurrency = 0 if state is None else state.store_concurrency
        return self.runner_view.store_concurrency.slowdown(concurrency, now_ms)

    def _models_in_progress(self) -> tuple[str, str]:
        """Return the model being loaded and the model being unloaded.

        Either is empty when there is none.
        """
        in_progress = self.runner_view.in_progress
        if in_progress is None:
            return '', ''
        if in_progress.order.kind is OrderKind.LOAD:
            return in_progress.order.model, ''
        return '', in_progress.order.model

    def _held_model_states(
        self, report: RunnerReport, unloading: str, now_ms: float
    ) -> tuple[HeldModelState, ...]:
        running = self.runner_view.running_requests_by_model(now_ms)
        rates = self.runner_view.demand.rates_per_s(now_ms)
        loads = capacity_shares(self.runner_view, now_ms)
        return tuple(
            HeldModelState(
                name=held.name,
                adapters=tuple(sorted(held.adapters)),
                running=running[held.name],
                demand_per_s=rates.get(held.name, 0),
                load=round(loads.get(held.name, 0), 3),
            )
            for held in report.models
            if held.name != unloading
        )

    def _planned_models(self, loading: str, now_ms: float) -> tuple[str, ...]:
        rejected = {
            rejection.model for rejection in self._planner.load_rejections
        }
        names = dict.fromkeys(
            load.model
            for load in self.runner_view.demand.requested_loads(now_ms)
        )
        return tuple(
            name
            for name in names
            if self.runner_view.held_model(name) is None
            and name != loading
            and name not in rejected
        )

    def _loads_in_turn(
        self, report: RunnerReport, now_ms: float
    ) -> list[RequestedLoad]:
        """Return the requested models that wait for a turn at the store.

        Those of which the most requests were refused come first. The adapters
        of a model are left out.
        """
        runner_view = self.runner_view
        demand = runner_view.demand
        if runner_view.spec is None or not demand.is_scarce(now_ms):
            return []
        models = runner_view.spec.models
        by_model: dict[str, RequestedLoad] = {}
        for requested in demand.requested_loads(now_ms):
            name = requested.model
            if (
                name in models
                and runner_view.held_model(name) is None
                and load_time_ms(models[name], report)[1]
            ):
                first = by_model.setdefault(name, requested)
                if first is not requested:
                    by_model[name] = first.joined(requested)
        by_rank = sorted(by_model.values(), key=_by_refused)
        return by_rank[:MAX_STORE_REQUESTS]

    def _store_demand_per_s(self, report: RunnerReport, now_ms: float) -> float:
        """Return the demand for the model to load first from the weight store.

        In requests per second; 0 when there is none or an order is in
        progress.
        """
        runner_view = self.runner_view
        spec = runner_view.spec
        if spec is None or runner_view.in_progress is not None:
            return 0
        rates = runner_view.demand.rates_per_s(now_ms)
        demands_per_s = [
            max(rates.get(load.model, 0), MIN_STORE_DEMAND_PER_S)
            for load in runner_view.demand.requested_loads(now_ms)
            if load.model in spec.models
            and runner_view.held_model(load.model) is None
            and load_time_ms(spec.models[load.model], report)[1]
        ]
        return max(demands_per_s, default=0)


def _by_refused(requested: RequestedLoad) -> int:
    return -requested.refused
