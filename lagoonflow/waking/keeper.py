"""Decides which order a runner gets next."""

import dataclasses
from collections.abc import Iterator

from lagoonflow.backends.messages import HeldModel, RunnerReport
from lagoonflow.declared.messages import EngineSpec, Model
from lagoonflow.gossip.messages import AgentState, Denial, HeldState
from lagoonflow.waking.copies import load_time_ms
from lagoonflow.waking.demand import Demand, Wanted
from lagoonflow.waking.ledger import Ledger, held_mb
from lagoonflow.waking.messages import Step, StepKind
from lagoonflow.waking.store_loads import SPARE_RATE_PER_S

# A report older than this says nothing about room, in ms.
REPORT_FRESH_MS = 800
# A model that was just loaded stays this long, so that the requests that
# waited for it can start, in ms.
SETTLE_MS = 600
# Adapters on their way to one runner at the same time, as the platform allows.
MOST_PENDING_ADAPTERS = 4
# Demand that was seen for this long tells which models are rare, in ms.
KNOWN_DEMAND_MS = 8000
# A wish that can't be met now is worth asking again after this time, in ms.
DENIAL_RETRY_MS = 500
# An accepted order shows in the report after this time at the latest, in ms.
ORDER_SHOWS_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    """An accepted order that is being carried out."""

    step: Step
    started_at_ms: float


class Keeper:
    """Keeps the account of one runner and chooses its orders.

    The runner carries out one order for a model at a time and rejects all
    others meanwhile, those for adapters too.
    """

    def __init__(self, agent: str) -> None:
        """Start without a report; nothing is ordered before the first."""
        self.demand = Demand()
        self.spec: EngineSpec | None = None
        self.can_order = False
        self.agents = 1
        self._agent = agent
        self._ledger = Ledger()
        self._report: RunnerReport | None = None
        self._report_at_ms = float('-inf')
        self._running: _Running | None = None
        self._held_since_ms: dict[str, float] = {}
        self._used_at_ms: dict[tuple[str, str], float] = {}
        self._store_load_at_ms = float('-inf')
        self._demand_since_ms = float('inf')
        self._denials: dict[tuple[str, str], Denial] = {}

    # What is known.

    def take_report(self, report: RunnerReport, now_ms: float) -> None:
        """Take the runner's account of itself."""
        is_restart = (
            self._report is not None
            and report.started_ms != self._report.started_ms
        )
        if is_restart:
            self._running = None
            self._held_since_ms.clear()
        self._report = report
        self._report_at_ms = now_ms
        names = {held.name for held in report.models}
        self._held_since_ms = {
            name: self._held_since_ms.get(name, now_ms) for name in names
        }
        for name in self.demand.running(now_ms):
            model, _, adapter = name.partition('/')
            self._used_at_ms[(model, adapter)] = now_ms
            self._used_at_ms[(model, '')] = now_ms
        self._settle_running(report, now_ms)

    def note_accepted(self, step: Step, now_ms: float) -> None:
        """Note that the runner carries out an order."""
        if not step.adapter:
            self._running = _Running(step, now_ms)
        if step.is_from_store:
            self._store_load_at_ms = now_ms

    def note_unanswered(self, step: Step, now_ms: float) -> None:
        """Note that an order may be carried out late."""
        if step.kind is StepKind.LOAD and not step.adapter:
            self._ledger.note_unanswered(
                step.model, step.after_sequence, now_ms
            )

    @property
    def is_ordering(self) -> bool:
        """Whether an order for a model is in progress."""
        report = self._report
        pending = report is not None and bool(report.pending_adapters)
        return self._running is not None or pending

    @property
    def instance(self) -> str:
        """Identity of the runner's present start; empty when unknown."""
        report = self._report
        instance, started_ms = self.demand.registered(self._report_at_ms)
        if report is None or started_ms != report.started_ms:
            return ''
        return instance

    # Decisions.

    def decide(self, now_ms: float) -> Step | None:
        """Return the next order, if one makes sense now."""
        self._denials.clear()
        report, spec = self._report, self.spec
        if report is None or spec is None or not self._may_order(now_ms):
            return None
        if report.is_busy or self._running is not None:
            return None
        wanted = self.demand.wanted(now_ms)
        step = self._adapter_step(spec, report, wanted, now_ms)
        if step is not None:
            return step
        for wish in wanted:
            step = self._model_step(spec, report, wish, now_ms)
            if step is not None:
                return step
        return self._fetch_step(spec, report, now_ms)

    def describe(self, now_ms: float) -> AgentState:
        """Return what routers should know."""
        report = self._report
        if report is None:
            return AgentState(self._agent, self.instance, 0)
        running = self._running
        loading, unloading, ready_in_ms = '', '', 0.0
        if running is not None:
            done_ms = running.started_at_ms + running.step.expected_ms
            ready_in_ms = max(done_ms - now_ms, 0)
            if running.step.kind is StepKind.LOAD:
                loading = running.step.model
            else:
                unloading = running.step.model
        held_names = {held.name for held in report.models}
        planned = [
            wish.model
            for wish in self.demand.wanted(now_ms)
            if wish.model not in held_names and wish.model != loading
        ]
        denied = {denial.model for denial in self._denials.values()}
        free_mb = 0.0
        if self.spec is not None:
            free_mb = self._ledger.free_mb(self.spec, report, now_ms)
        return AgentState(
            agent=self._agent,
            instance=self.instance,
            runner_started_ms=report.started_ms,
            held=tuple(
                self._held_state(held, now_ms)
                for held in report.models
                if held.name != unloading
            ),
            loading=loading,
            unloading=unloading,
            order_ready_in_ms=int(ready_in_ms),
            planned=tuple(
                dict.fromkeys(one for one in planned if one not in denied)
            ),
            denials=tuple(self._denials.values()),
            free_mb=free_mb,
            queued=report.queued,
            active=report.active,
            cache_used_tokens=report.cache_used_tokens,
            in_memory=tuple(sorted(report.in_memory)),
            on_disk=tuple(sorted(report.on_disk)),
            can_order=self._may_order(now_ms) and self.spec is not None,
            is_from_store=running is not None and running.step.is_from_store,
            store_wait_ms=self._store_wait_ms(now_ms),
        )

    def _may_order(self, now_ms: float) -> bool:
        is_fresh = now_ms - self._report_at_ms < REPORT_FRESH_MS
        return self.can_order and is_fresh and bool(self.instance)

    def _store_wait_ms(self, now_ms: float) -> int:
        report, spec = self._report, self.spec
        held = {one.name for one in report.models}
        waits = [
            int(now_ms - wish.since_ms) + 1
            for wish in self.demand.wanted(now_ms)
            if spec is not None
            and wish.model in spec.models
            and wish.model not in held
            and load_time_ms(spec.models[wish.model], report)[1]
        ]
        is_loading = self._running is not None
        return 0 if is_loading else max(waits, default=0)

    def _settle_running(self, report: RunnerReport, now_ms: float) -> None:
        running = self._running
        if running is None:
            return
        is_shown = report.order_sequence > running.step.after_sequence
        is_old = now_ms - running.started_at_ms > ORDER_SHOWS_MS
        if not report.is_busy and (is_shown or is_old):
            self._running = None

    def _held_state(self, held: HeldModel, now_ms: float) -> HeldState:
        return HeldState(
            name=held.name,
            adapters=tuple(sorted(held.adapters)),
            running=self._running_on(held.name, now_ms),
            keep_value=self._keep_value(held.name, now_ms),
        )

    def _running_on(self, model: str, now_ms: float) -> int:
        running = self.demand.running(now_ms)
        return sum(
            count
            for name, count in running.items()
            if name.partition('/')[0] == model
        )

    def _keep_value(self, model: str, now_ms: float) -> float:
        return self.demand.rates(now_ms).get(model, 0)

    # Adapters.

    def _adapter_step(
        self,
        spec: EngineSpec,
        report: RunnerReport,
        wanted: list[Wanted],
        now_ms: float,
    ) -> Step | None:
        held = {model.name: model for model in report.models}
        for wish in wanted:
            model = held.get(wish.model)
            full_name = f'{wish.model}/{wish.adapter}'
            if not wish.adapter or model is None:
                continue
            if wish.adapter in model.adapters:
                continue
            if full_name in report.pending_adapters:
                continue
            step = self._load_adapter(spec, report, wish, now_ms)
            if step is not None:
                return step
        return None

    def _load_adapter(
        self,
        spec: EngineSpec,
        report: RunnerReport,
        wish: Wanted,
        now_ms: float,
    ) -> Step | None:
        if len(report.pending_adapters) >= MOST_PENDING_ADAPTERS:
            return None
        declared = spec.models.get(wish.model)
        if declared is None:
            self._deny(wish)
            return None
        free_mb = self._ledger.free_mb(spec, report, now_ms)
        has_place = self._ledger.free_adapter_places(spec, report) > 0
        if has_place and free_mb >= declared.adapter_mb:
            return Step(
                StepKind.LOAD,
                wish.model,
                wish.adapter,
                report.order_sequence,
                f'{wish.waiting} requests wait',
            )
        victim = self._idle_adapter(report, now_ms)
        if victim is None:
            self._deny(wish)
            return None
        return Step(
            StepKind.UNLOAD,
            victim[0],
            victim[1],
            report.order_sequence,
            f'makes way for {wish.model}/{wish.adapter}',
        )

    def _idle_adapter(
        self, report: RunnerReport, now_ms: float
    ) -> tuple[str, str] | None:
        running = self.demand.running(now_ms)
        wanted = {
            (wish.model, wish.adapter) for wish in self.demand.wanted(now_ms)
        }
        idle = [
            (held.name, adapter)
            for held in report.models
            for adapter in held.adapters
            if not running.get(f'{held.name}/{adapter}')
            and (held.name, adapter) not in wanted
        ]
        return min(
            idle, key=lambda one: self._used_at_ms.get(one, 0), default=None
        )

    # Models.

    def _model_step(
        self,
        spec: EngineSpec,
        report: RunnerReport,
        wish: Wanted,
        now_ms: float,
    ) -> Step | None:
        if any(held.name == wish.model for held in report.models):
            return None
        declared = spec.models.get(wish.model)
        if declared is None or declared.weights_mb > spec.weights_mb:
            self._deny(wish)
            return None
        _, is_from_store = load_time_ms(declared, report)
        if is_from_store and not self._may_use_store(spec, now_ms):
            return None
        free_mb = self._ledger.free_mb(spec, report, now_ms)
        if free_mb >= declared.weights_mb:
            cause = f'{wish.waiting} requests wait'
            return self._load_step(declared, report, cause)
        victim = self._victim(spec, report, declared, free_mb, now_ms)
        if victim is None:
            self._deny(wish)
            return None
        return Step(
            StepKind.UNLOAD,
            victim,
            '',
            report.order_sequence,
            f'makes way for {wish.model}',
        )

    def _fetch_step(
        self, spec: EngineSpec, report: RunnerReport, now_ms: float
    ) -> Step | None:
        """Load a model ahead that lies on no runner."""
        told = self.demand.newest(now_ms)
        if told is None or not self._may_use_store(spec, now_ms):
            return None
        for name in told.to_fetch:
            declared = spec.models.get(name)
            if declared is None or not load_time_ms(declared, report)[1]:
                continue
            free_mb = self._ledger.free_mb(spec, report, now_ms)
            if free_mb >= declared.weights_mb:
                cause = 'no runner has a copy'
                return self._load_step(declared, report, cause)
            spare = [
                held
                for held in self._droppable(report, now_ms)
                if held.name in told.spare and self._is_spare(held, now_ms)
            ]
            spare_mb = sum(held_mb(spec, held) for held in spare)
            if free_mb + spare_mb >= declared.weights_mb:
                return Step(
                    StepKind.UNLOAD,
                    spare[0].name,
                    '',
                    report.order_sequence,
                    f'makes way for {name}, fetched ahead',
                )
        return None

    def _is_spare(self, held: HeldModel, now_ms: float) -> bool:
        """Whether a model is not missed while a load from the store runs."""
        if self._running_on(held.name, now_ms):
            return False
        rates = self.demand.rates(now_ms)
        if not rates:
            return True
        self._demand_since_ms = min(self._demand_since_ms, now_ms)
        is_known = now_ms - self._demand_since_ms >= KNOWN_DEMAND_MS
        return is_known and rates.get(held.name, 0) < SPARE_RATE_PER_S

    def _load_step(
        self, model: Model, report: RunnerReport, cause: str
    ) -> Step:
        load_ms, is_from_store = load_time_ms(model, report)
        return Step(
            StepKind.LOAD,
            model.name,
            '',
            report.order_sequence,
            cause,
            load_ms,
            is_from_store,
        )

    def _victim(
        self,
        spec: EngineSpec,
        report: RunnerReport,
        wanted: Model,
        free_mb: float,
        now_ms: float,
    ) -> str | None:
        """Return the model to drop first; ``None`` when room can't be made."""
        gained_mb = free_mb
        chosen: list[str] = []
        for held in self._droppable(report, now_ms):
            if gained_mb >= wanted.weights_mb:
                break
            gained_mb += held_mb(spec, held)
            chosen.append(held.name)
        if gained_mb < wanted.weights_mb or not chosen:
            return None
        return chosen[0]

    def _droppable(
        self, report: RunnerReport, now_ms: float
    ) -> Iterator[HeldModel]:
        wishes = {wish.model for wish in self.demand.wanted(now_ms)}
        settled = [
            held
            for held in report.models
            if held.name not in wishes
            and now_ms - self._held_since_ms.get(held.name, 0) >= SETTLE_MS
        ]
        return iter(
            sorted(
                settled,
                key=lambda held: (
                    self._running_on(held.name, now_ms) > 0,
                    self._keep_value(held.name, now_ms),
                    self._used_at_ms.get((held.name, ''), 0),
                    held.name,
                ),
            )
        )

    def _may_use_store(self, spec: EngineSpec, now_ms: float) -> bool:
        """Keep to the order of the fleet and to this runner's part."""
        told = self.demand.newest(now_ms)
        if told is None or not told.may_use_store:
            return False
        pause_ms = 1000 * self.agents / max(spec.store_loads_per_s, 0.01)
        return now_ms - self._store_load_at_ms >= pause_ms

    def _deny(self, wish: Wanted) -> None:
        denial = Denial(wish.model, wish.adapter, DENIAL_RETRY_MS)
        self._denials[(wish.model, wish.adapter)] = denial
