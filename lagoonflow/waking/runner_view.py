"""What an agent knows of its runner."""

import collections
import dataclasses

from lagoonflow.backends.messages import HeldModel, RunnerReport
from lagoonflow.backends.names import model_of
from lagoonflow.declared.messages import EngineSpec
from lagoonflow.waking.demand import Demand
from lagoonflow.waking.ledger import Ledger
from lagoonflow.waking.messages import OrderKind, RunnerOrder
from lagoonflow.waking.restoration import ModelRestoration
from lagoonflow.waking.store_concurrency import StoreConcurrencyEstimator

# A report older than this says nothing about room, in ms.
REPORT_FRESH_MS = 800
# A runner that misses this many reports in a row is down.
MISSED_REPORTS = 2
# An accepted order shows in the report after this time at the latest, in ms.
ORDER_SHOWS_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class OrderInProgress:
    """An accepted order that is being carried out."""

    step: RunnerOrder
    started_at_ms: float

    def ready_in_ms(self, now_ms: float) -> float:
        """Time until it should be done."""
        done_ms = self.started_at_ms + self.step.expected_ms
        return max(done_ms - now_ms, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class _Identity:
    """Identity of one start of the runner."""

    instance: str = ''
    started_ms: int = -1


class RunnerView:
    """Reports, demand and orders of one runner.

    :ivar spec: what the runner can hold; ``None`` while it is not declared.
    :ivar agents: agents that share the weight store.
    """

    def __init__(self) -> None:
        """Start without a report."""
        self.demand = Demand()
        self.ledger = Ledger()
        self.spec: EngineSpec | None = None
        self.report: RunnerReport | None = None
        self.in_progress: OrderInProgress | None = None
        self.can_order = False
        self.agents = 1
        self.store_load_at_ms = float('-inf')
        self.store_concurrency = StoreConcurrencyEstimator()
        self.restoration = ModelRestoration()
        self._identified = _Identity()
        self._missed_reports = 0
        self._report_at_ms = float('-inf')
        self._held_since_ms: dict[str, float] = {}
        self._used_at_ms: dict[str, float] = {}

    def record_report(self, report: RunnerReport, now_ms: float) -> None:
        """Take the runner's account of itself."""
        self._missed_reports = 0
        known = self.report
        is_first = known is None
        has_restarted = not is_first and report.started_ms != known.started_ms
        if has_restarted or (is_first and not report.models):
            self.restoration.record_start(now_ms)
        if has_restarted:
            self.in_progress = None
            self.store_concurrency.forget()
            self._held_since_ms.clear()
        self.restoration.record_report(report, now_ms)
        self.report = report
        self._report_at_ms = now_ms
        self._held_since_ms = {
            held.name: self._held_since_ms.get(held.name, now_ms)
            for held in report.models
        }
        for name in self.demand.running(now_ms):
            self._used_at_ms[name] = now_ms
            self._used_at_ms[model_of(name)] = now_ms
        self._settle(report, now_ms)

    def record_missed_report(self) -> None:
        """Note that the runner did not answer."""
        self._missed_reports += 1

    @property
    def is_down(self) -> bool:
        """Whether the runner has stopped answering."""
        return self._missed_reports >= MISSED_REPORTS

    def record_accepted(self, step: RunnerOrder, now_ms: float) -> None:
        """Note that the runner carries out an order."""
        if not step.adapter:
            self.in_progress = OrderInProgress(step, now_ms)
        if step.is_from_store:
            self.store_load_at_ms = now_ms
            self.store_concurrency.begin(step.expected_ms, now_ms)

    def record_unanswered(self, step: RunnerOrder, now_ms: float) -> None:
        """Note that an order may be carried out late."""
        if step.kind is OrderKind.LOAD and not step.adapter:
            self.ledger.record_unanswered(
                step.model, step.after_sequence, now_ms
            )

    @property
    def instance(self) -> str:
        """Identity of the runner's present start; empty when unknown."""
        if self.report is None:
            return ''
        instance, started_ms = self.demand.registered(self._report_at_ms)
        if started_ms == self.report.started_ms:
            return instance
        if self._identified.started_ms == self.report.started_ms:
            return self._identified.instance
        return ''

    def set_instance(self, instance: str) -> None:
        """Take the identity that the runner states itself.

        After a start it is known before the runner has registered.
        """
        self._identified = _Identity(instance, self.report.started_ms)

    def may_order(self, now_ms: float) -> bool:
        """Whether enough is known to order the runner."""
        is_fresh = now_ms - self._report_at_ms < REPORT_FRESH_MS
        is_declared = self.spec is not None
        known = is_fresh and is_declared and bool(self.instance)
        return self.can_order and known

    def free_mb(self, now_ms: float, wanted: str = '') -> float:
        """Memory for a model, in MB."""
        if self.spec is None or self.report is None:
            return 0
        return self.ledger.free_mb(self.spec, self.report, now_ms, wanted)

    def running_by_model(self, now_ms: float) -> collections.Counter[str]:
        """Requests by model, adapters' included."""
        counts: collections.Counter[str] = collections.Counter()
        for name, count in self.demand.running(now_ms).items():
            counts[model_of(name)] += count
        return counts

    def held_for_ms(self, model: str, now_ms: float) -> float:
        """How long a model has been held."""
        return now_ms - self._held_since_ms.get(model, 0)

    def used_at_ms(self, name: str) -> float:
        """When a model, or ``model/adapter``, was last seen in use."""
        return self._used_at_ms.get(name, 0)

    def holds(self, model: str) -> HeldModel | None:
        """Return a held model."""
        if self.report is None:
            return None
        return next(
            (held for held in self.report.models if held.name == model), None
        )

    def _settle(self, report: RunnerReport, now_ms: float) -> None:
        """Forget the order in progress once it is done."""
        order = self.in_progress
        if order is None or report.is_busy:
            self._watch_store(now_ms)
            return
        is_shown = report.order_sequence > order.step.after_sequence
        if is_shown or now_ms - order.started_at_ms > ORDER_SHOWS_MS:
            self.in_progress = None
            self.store_concurrency.end(now_ms)

    def _watch_store(self, now_ms: float) -> None:
        told = self.demand.newest(now_ms)
        if told is not None:
            self.store_concurrency.record_concurrent_loads(
                told.store_loads, now_ms
            )
