"""An agent's view of its runner: reports, demand and orders."""

import collections
import dataclasses
from collections.abc import Callable

from lagoonflow.backends.messages import HeldModel, RunnerReport
from lagoonflow.backends.names import model_of
from lagoonflow.declared.messages import EngineSpec
from lagoonflow.waking.demand import Demand
from lagoonflow.waking.messages import OrderKind, RunnerOrder
from lagoonflow.waking.restoration import ModelRestoration
from lagoonflow.waking.runner_memory import RunnerMemory
from lagoonflow.waking.store_concurrency import StoreConcurrencyEstimator

# No orders are sent on a report older than this, in ms: the free memory that
# it states may have changed.
MAX_REPORT_AGE_MS = 800
# A runner counts as down after this many failed report requests in a row.
DOWN_AFTER_MISSED_REPORTS = 2
# After this time at the latest, the runner's reports show an accepted order,
# in ms.
ORDER_VISIBLE_MS = 400
# A runner that is busy for longer than this with an order that its agent
# doesn't know loads from the weight store, in ms: other orders take less.
UNKNOWN_ORDER_MS = 1200


@dataclasses.dataclass(frozen=True, slots=True)
class OrderInProgress:
    """A model load or unload that the runner accepted and is carrying out.

    :param started_at_ms: when the runner accepted it.
    """

    order: RunnerOrder
    started_at_ms: float

    def ready_in_ms(self, now_ms: float, slowdown: float = 1) -> float:
        """Return the expected time until the order is done, in ms.

        :param slowdown: how many times its declared time it takes.
        """
        done_ms = self.started_at_ms + self.order.expected_ms * slowdown
        return max(done_ms - now_ms, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class _ReportedIdentity:
    """Identity that the runner stated for one of its starts.

    :param started_ms: wall clock of that start.
    """

    instance: str = ''
    started_ms: int = -1


class BusyPeriod:
    """Measures for how long a runner has been carrying out an order."""

    def __init__(self) -> None:
        """Start with an idle runner."""
        self._since_ms: float | None = None

    def observe(self, is_busy: bool, now_ms: float) -> None:
        """Record whether the runner is carrying out an order."""
        if not is_busy:
            self._since_ms = None
        elif self._since_ms is None:
            self._since_ms = now_ms

    def is_store_load(self, now_ms: float) -> bool:
        """Whether an unknown order is probably a load from the store.

        An agent that has restarted doesn't know the order in progress.
        """
        if self._since_ms is None:
            return False
        return now_ms - self._since_ms > UNKNOWN_ORDER_MS


class RunnerView:
    """Holds the newest report, the demand and the order of one runner.

    :param stalled_ms: returns for how long this process stood still so far.
    :ivar spec: capacity of the runner and its models; ``None`` while the
        service is not declared.
    :ivar in_progress: the model load or unload that the runner carries out.
    :ivar can_order: whether this agent has its fencing token.
    :ivar agents: number of agents that share the weight store.
    :ivar busy: for how long the runner has been carrying out an order.
    :ivar store_load_at_ms: when the last load from the weight store began.
    """

    def __init__(self, stalled_ms: Callable[[], float] = float) -> None:
        """Start without a report, demand or orders."""
        self.demand = Demand(stalled_ms)
        self.memory = RunnerMemory()
        self.spec: EngineSpec | None = None
        self.report: RunnerReport | None = None
        self.in_progress: OrderInProgress | None = None
        self.can_order = False
        self.agents = 1
        self.store_load_at_ms = float('-inf')
        self.store_concurrency = StoreConcurrencyEstimator()
        self.restoration = ModelRestoration()
        self._reported_identity = _ReportedIdentity()
        self._missed_reports = 0
        self._report_at_ms = float('-inf')
        self.busy = BusyPeriod()
        self._held_since_ms: dict[str, float] = {}
        self._last_used_at_ms: dict[str, float] = {}

    def record_report(self, report: RunnerReport, now_ms: float) -> None:
        """Store a report, and detect restarts and finished orders."""
        self._missed_reports = 0
        previous = self.report
        is_first = previous is None
        has_restarted = (
            not is_first and report.started_ms != previous.started_ms
        )
        if has_restarted or (is_first and not report.models):
            self.restoration.record_start(now_ms)
        if has_restarted:
            self.in_progress = None
            self.store_concurrency.forget()
            self._held_since_ms.clear()
        self.restoration.record_report(report, now_ms)
        self.report = report
        self._report_at_ms = now_ms
        self.busy.observe(report.is_busy, now_ms)
        self._held_since_ms = {
            held.name: self._held_since_ms.get(held.name, now_ms)
            for held in report.models
        }
        for name in self.demand.running_requests(now_ms):
            self._last_used_at_ms[name] = now_ms
            self._last_used_at_ms[model_of(name)] = now_ms
        self._finish_order(report, now_ms)

    def record_missed_report(self) -> None:
        """Count a report request that the runner did not answer."""
        self._missed_reports += 1

    @property
    def is_down(self) -> bool:
        """Whether the runner missed several reports in a row."""
        return self._missed_reports >= DOWN_AFTER_MISSED_REPORTS

    def record_accepted(self, order: RunnerOrder, now_ms: float) -> None:
        """Record that the runner accepted an order.

        Orders for adapters are not tracked here: the runner's reports list
        the pending ones.
        """
        if not order.adapter:
            self.in_progress = OrderInProgress(order, now_ms)
        if order.is_from_store:
            self.store_load_at_ms = now_ms
            state = self.demand.newest_state(now_ms)
            others = 0 if state is None else state.store_loads
            self.store_concurrency.begin(order.expected_ms, now_ms, others)

    def record_unanswered(self, order: RunnerOrder, now_ms: float) -> None:
        """Reserve memory for a load that the runner may still carry out."""
        if order.kind is OrderKind.LOAD and not order.adapter:
            self.memory.record_unanswered(
                order.model, order.after_sequence, now_ms
            )

    @property
    def instance(self) -> str:
        """Identity of the runner's current start; empty while unknown.

        It comes from the runner's registration, which routers pass on, or
        from the runner itself.
        """
        if self.report is None:
            return ''
        instance = self.demand.registered_instance(
            self.report.started_ms, self._report_at_ms
        )
        if instance:
            return instance
        if self._reported_identity.started_ms == self.report.started_ms:
            return self._reported_identity.instance
        return ''

    def set_instance(self, instance: str) -> None:
        """Store the identity that the runner states itself.

        After a start the runner states it before it has registered.
        """
        self._reported_identity = _ReportedIdentity(
            instance, self.report.started_ms
        )

    def may_order(self, now_ms: float) -> bool:
        """Whether the agent knows enough to send the runner an order.

        It needs its fencing token, a recent report, the declared capacity and
        the identity of the runner's current start.
        """
        is_fresh = now_ms - self._report_at_ms < MAX_REPORT_AGE_MS
        is_declared = self.spec is not None
        known = is_fresh and is_declared and bool(self.instance)
        return self.can_order and known

    def free_mb(self, now_ms: float, model_to_load: str = '') -> float:
        """Return the free memory, in MB; 0 without a report or a declaration.

        :param model_to_load: model whose own reservation doesn't count as
            used.
        """
        if self.spec is None or self.report is None:
            return 0
        return self.memory.free_mb(
            self.spec, self.report, now_ms, model_to_load
        )

    def running_requests_by_model(
        self, now_ms: float
    ) -> collections.Counter[str]:
        """Count the running requests by model, including those on adapters."""
        counts: collections.Counter[str] = collections.Counter()
        for name, count in self.demand.running_requests(now_ms).items():
            counts[model_of(name)] += count
        return counts

    def held_for_ms(self, model: str, now_ms: float) -> float:
        """Return how long the runner has held a model, in ms."""
        return now_ms - self._held_since_ms.get(model, 0)

    def last_used_at_ms(self, name: str) -> float:
        """Return when a request last ran on a model or ``model/adapter``."""
        return self._last_used_at_ms.get(name, 0)

    def held_model(self, model: str) -> HeldModel | None:
        """Return a model that the runner holds; ``None`` if it doesn't."""
        if self.report is None:
            return None
        return next(
            (held for held in self.report.models if held.name == model), None
        )

    def _finish_order(self, report: RunnerReport, now_ms: float) -> None:
        """Clear the order in progress once the runner has finished it.

        An idle runner has finished an order when its sequence number has
        moved on, or when the order had enough time to show in the report.
        Otherwise the routers' count of store loads is recorded for a load
        that may be in progress.
        """
        in_progress = self.in_progress
        if in_progress is None or report.is_busy:
            self._record_store_loads(now_ms)
            return
        is_visible = report.order_sequence > in_progress.order.after_sequence
        if is_visible or now_ms - in_progress.started_at_ms > ORDER_VISIBLE_MS:
            self.in_progress = None
            self.store_concurrency.end(now_ms)

    def _record_store_loads(self, now_ms: float) -> None:
        router_state = self.demand.newest_state(now_ms)
        if router_state is not None:
            self.store_concurrency.record_concurrent_loads(
                router_state.store_loads, now_ms
            )
