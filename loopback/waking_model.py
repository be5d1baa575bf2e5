"""A fleet in virtual time: callers, routers, agents and modelled runners.

Routers place calls and agents order their runners with the code that runs in
production. Only the network, the runners and the weight store are modelled, so
that a minute of a fleet takes seconds and depends on its seed alone.
"""

import asyncio
import collections
import dataclasses
import random
import types
from collections.abc import Iterable

from lagoonflow.backends.choosing import Chooser, Send
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import (
    BackendServer,
    HeldModel,
    RunnerReport,
)
from lagoonflow.clock import MS_PER_S
from lagoonflow.declared.messages import (
    EngineSpec,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from lagoonflow.gossip.messages import RouterState
from lagoonflow.http1.messages import RequestHead
from lagoonflow.relay.admission import AdmittedCall
from lagoonflow.relay.attempts import Attempts
from lagoonflow.relay.call_log import CallRecord
from lagoonflow.relay.messages import Call
from lagoonflow.relay.placing import Placer
from lagoonflow.results import Refusal
from lagoonflow.waking.controller import RunnerController
from lagoonflow.waking.engine_speed import PREFILL_TOKEN_MS
from lagoonflow.waking.messages import OrderKind, RunnerOrder
from lagoonflow.wiring.platform_publishing import RouterStatePublisher
from loopback.virtual_loop import VirtualLoop

SERVICE = 'llm'
CONTROL_INTERVAL_MS = 20
PUBLISH_INTERVAL_MS = 50
AGENT_INTERVAL_MS = 200
UNLOAD_MS = 20
ADAPTER_LOAD_MS = 8
FIRST_STATE_MS = 1500
LAPSE_MS = 3600


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """Size and speed of a modelled fleet.

    :param service_ms: time that a request occupies its runner.
    :param store_concurrency: loads that the weight store serves at full speed.
    """

    engine: EngineSpec
    runners: int
    routers: int = 3
    service_ms: float = 900
    store_concurrency: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CallKind:
    """A kind of calls, and what their answers are worth.

    :param target_ms: time within which an answer has to begin to be on time.
    :param patience_ms: time after which a caller no longer waits for it.
    :param late_worth: worth of an answer that begins later than the target.
    :param prompt_tokens: tokens that a runner has to prefill.
    """

    name: str
    target_ms: float = 300
    patience_ms: float = 2000
    worth: float = 1
    late_worth: float = 0.1
    prompt_tokens: int = 700


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call that a caller begins at a time."""

    at_ms: float
    model: str
    kind: CallKind


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one caller got.

    :ivar waited_ms: time until the answer began; ``None`` if it never did.
    :ivar refusals: number of times that the caller was refused.
    """

    arrival: Arrival
    waited_ms: float | None = None
    refusals: int = 0

    @property
    def worth(self) -> float:
        """What the answer was worth to its caller."""
        kind = self.arrival.kind
        if self.waited_ms is None:
            return 0
        is_on_time = self.waited_ms <= kind.target_ms
        return kind.worth if is_on_time else kind.late_worth


class ModelledRunner:
    """A runner that carries out one order at a time.

    :ivar loads: times and models of the loads that it was ordered.
    :param started_ms: wall clock of its start; a later one is another runner on
        the same host.
    """

    def __init__(
        self,
        number: int,
        shape: FleetShape,
        on_disk: frozenset[str],
        started_ms: int = 1,
    ) -> None:
        """Start without models."""
        self.number = number
        self.instance = f'i-{number}-{started_ms}'
        self.started_ms = started_ms
        self.held: dict[str, set[str]] = {}
        self.running: collections.Counter[str] = collections.Counter()
        self.loads: list[tuple[float, str]] = []
        self.unloads = 0
        self.store_load: str | None = None
        self._shape = shape
        self._on_disk = on_disk
        self._sequence = 0
        self._order: RunnerOrder | None = None
        self._done_at_ms: float = 0
        self._prefill_free_at_ms: float = 0

    def prefill(self, tokens: int, now_ms: float) -> float:
        """Prefill a prompt after those before it; return when it is done."""
        begins_ms = max(self._prefill_free_at_ms, now_ms)
        self._prefill_free_at_ms = begins_ms + tokens * PREFILL_TOKEN_MS
        return self._prefill_free_at_ms

    def report(self, now_ms: float) -> RunnerReport:
        """Return what the runner reports of itself now."""
        self._advance(now_ms)
        return RunnerReport(
            started_ms=self.started_ms,
            models=tuple(
                HeldModel(name, 1, frozenset(adapters))
                for name, adapters in self.held.items()
            ),
            is_busy=self._order is not None,
            order_sequence=self._sequence,
            queued=0,
            active=self.running.total(),
            cache_used_tokens=0,
            cache_total_tokens=250_000,
            on_disk=self._on_disk,
        )

    def order(self, order: RunnerOrder, now_ms: float, slowdown: float) -> None:
        """Begin an order.

        :param slowdown: factor of the time of a load from the weight store.
        """
        self._sequence += 1
        self._order = order
        took_ms = UNLOAD_MS
        if order.adapter:
            took_ms = ADAPTER_LOAD_MS
        elif order.kind is OrderKind.LOAD:
            self.loads.append((now_ms, order.model))
            took_ms = order.expected_ms
            if order.is_from_store:
                took_ms *= slowdown
                self.store_load = order.model
        self._done_at_ms = now_ms + took_ms

    def has_or_loads(self, model: str) -> bool:
        """Whether it holds a model, is loading it or has a copy of it."""
        is_loading = self._order is not None and (
            self._order.kind is OrderKind.LOAD and self._order.model == model
        )
        return is_loading or model in self.held or model in self._on_disk

    def _advance(self, now_ms: float) -> None:
        order = self._order
        if order is None or now_ms < self._done_at_ms:
            return
        if order.kind is OrderKind.UNLOAD:
            # Running requests end before their model is unloaded.
            if not order.adapter and self.running[order.model]:
                return
            self._unload(order)
        elif order.adapter:
            self.held.setdefault(order.model, set()).add(order.adapter)
        else:
            self.held[order.model] = set()
            # Each load leaves a copy.
            self._on_disk |= {order.model}
        self.store_load = None
        self._order = None

    def _unload(self, order: RunnerOrder) -> None:
        if order.adapter:
            self.held.get(order.model, set()).discard(order.adapter)
            return
        self.held.pop(order.model, None)
        self.unloads += 1


class _NoBlame:
    """Admits every request."""

    def refuse_crashing(self, admitted: AdmittedCall) -> None:
        """Never refuse."""


class ModelledRouter:
    """A router's view of the fleet and its placement of calls."""

    def __init__(self, number: int, model: 'WakingModel') -> None:
        """Know all runners, but nothing of what they hold."""
        self.number = number
        self.name = f'r{number}'
        self.fleet = Fleet()
        clock = model.loop.time_ms
        self.placer = Placer(
            Chooser(self.fleet, 'a', self.name),
            _NoBlame(),
            self.fleet.limits,
            clock,
            stalled_ms=float,
        )
        settings = types.SimpleNamespace(
            node=self.name, ip_address='10.1.0.1', peer_port=number
        )
        self._publisher = RouterStatePublisher(
            settings, self.fleet, self.placer.load_requests, model
        )
        self._model = model

    async def publish(self) -> None:
        """Send the state to the agents when it is due, until cancelled."""
        while True:
            changed = self.placer.load_requests_changed
            try:
                async with asyncio.timeout(PUBLISH_INTERVAL_MS / MS_PER_S):
                    await changed.wait()
            except TimeoutError:
                pass
            changed.clear()
            self._publisher.publish_due(
                self._model.declared, self._model.loop.time_ms()
            )


class WakingModel:
    """Plays arrivals against routers, agents and modelled runners.

    :ivar outcomes: what the callers got.
    :ivar needless_store_loads: times and models of loads from the weight store
        of models that another runner had or was loading.
    :ivar began_ms: time of the first possible arrival.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        shape: FleetShape,
        held: list[list[str]],
        on_disk: list[frozenset[str]],
        seed: int = 1,
    ) -> None:
        """Start with models that runners hold and have copies of."""
        self.loop = loop
        self.outcomes: list[Outcome] = []
        self.needless_store_loads: list[tuple[float, str]] = []
        self.began_ms: float = 0
        self._random = random.Random(seed)
        self._shape = shape
        service = Service(SERVICE, 660, shape.engine)
        self.declared = types.SimpleNamespace(services={SERVICE: service})
        self.runners = [
            ModelledRunner(number, shape, on_disk[number])
            for number in range(shape.runners)
        ]
        self._runners_by_instance = {
            runner.instance: runner for runner in self.runners
        }
        for runner, names in zip(self.runners, held, strict=True):
            runner.held = {name: set() for name in names}
        self._controllers = {
            runner.instance: self._make_controller(runner)
            for runner in self.runners
        }
        self._service = service
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._routers = [
            self._make_router(number) for number in range(shape.routers)
        ]

    def send(self, message: RouterState, address: str) -> None:
        """Deliver a router's state to the agent of its runner."""
        controller = self._controllers.get(message.instance)
        if controller is None:
            return
        now_ms = self.loop.time_ms()
        controller.runner_view.demand.record_state(message, now_ms)
        controller.runner_view.agents = message.agents

    async def play(self, arrivals: Iterable[Arrival], for_ms: float) -> None:
        """Play the arrivals, and end all tasks after a time."""
        for runner in self.runners:
            self._start(runner.instance, self._control(runner))
        for router in self._routers:
            self._start(router.name, router.publish())
        await asyncio.sleep(FIRST_STATE_MS / MS_PER_S)
        self.began_ms = self.loop.time_ms()
        calls: list[asyncio.Future[None]] = []
        for arrival in arrivals:
            due_ms = self.began_ms + arrival.at_ms - self.loop.time_ms()
            await asyncio.sleep(max(due_ms, 0) / MS_PER_S)
            calls.append(asyncio.ensure_future(self._call(arrival)))
        left_ms = self.began_ms + for_ms - self.loop.time_ms()
        await asyncio.sleep(max(left_ms, 0) / MS_PER_S)
        tasks = [*calls, *self._tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def replace_runner(self, number: int) -> None:
        """Replace a runner by one without models or copies.

        The lapsed entry stays listed for some seconds, as on the platform.
        """
        old = self.runners[number]
        now_ms = self.loop.time_ms()
        self._tasks.pop(old.instance).cancel()
        self._controllers.pop(old.instance)
        new = ModelledRunner(number, self._shape, frozenset(), int(now_ms))
        self.runners[number] = new
        self._runners_by_instance[new.instance] = new
        self._controllers[new.instance] = self._make_controller(new)
        for router in self._routers:
            self._list_runner(router, new)
        self._start(new.instance, self._control(new))
        self.loop.call_later(
            LAPSE_MS / MS_PER_S, self._remove_entry, old.instance
        )

    def restart_routers(self, numbers: Iterable[int]) -> None:
        """Replace routers by new ones that know nothing but the listing."""
        for number in numbers:
            self._tasks.pop(self._routers[number].name).cancel()
            router = self._make_router(number)
            self._routers[number] = router
            self._start(router.name, router.publish())

    def _start(self, name: str, coroutine) -> None:
        self._tasks[name] = asyncio.ensure_future(coroutine)

    def _remove_entry(self, instance: str) -> None:
        for router in self._routers:
            router.fleet.roster.remove(instance, self.loop.time_ms())
            router.fleet.forget([instance])

    def _make_router(self, number: int) -> ModelledRouter:
        router = ModelledRouter(number, self)
        for runner in self.runners:
            self._list_runner(router, runner)
        return router

    def _make_controller(self, runner: ModelledRunner) -> RunnerController:
        controller = RunnerController(runner.instance)
        controller.runner_view.spec = self._shape.engine
        controller.runner_view.can_order = True
        return controller

    def _list_runner(
        self, router: ModelledRouter, runner: ModelledRunner
    ) -> None:
        number = runner.number
        server = BackendServer(
            runner.instance,
            SERVICE,
            f'10.0.{number // 250}.{number % 250}:80',
            'a',
            self._shape.engine.slots,
            started_ms=runner.started_ms,
        )
        router.fleet.roster.put(server, self.loop.time_ms())

    async def _control(self, runner: ModelledRunner) -> None:
        controller = self._controllers[runner.instance]
        sent, sent_at_ms = None, float('-inf')
        while True:
            now_ms = self.loop.time_ms()
            controller.runner_view.record_report(runner.report(now_ms), now_ms)
            order = controller.next_order(now_ms)
            if order is not None:
                self._note_needless(runner, order)
                runner.order(order, now_ms, self._store_slowdown())
                controller.runner_view.record_accepted(order, now_ms)
            state = controller.agent_state(now_ms)
            if sent != state or now_ms - sent_at_ms >= AGENT_INTERVAL_MS:
                sent, sent_at_ms = state, now_ms
                self._publish_agent(state)
            await asyncio.sleep(CONTROL_INTERVAL_MS / MS_PER_S)

    def _note_needless(
        self, runner: ModelledRunner, order: RunnerOrder
    ) -> None:
        now_ms = self.loop.time_ms()
        if order.is_from_store and any(
            other.has_or_loads(order.model)
            for other in self.runners
            if other is not runner
        ):
            self.needless_store_loads.append((now_ms, order.model))

    def _store_slowdown(self) -> float:
        in_progress = sum(one.store_load is not None for one in self.runners)
        return max((in_progress + 1) / self._shape.store_concurrency, 1)

    def _publish_agent(self, state) -> None:
        for router in self._routers:
            if router.fleet.observe_agent(state, self.loop.time_ms()):
                router.placer.fleet_changed.notify()

    async def _call(self, arrival: Arrival) -> None:
        """Play a caller, who returns once when told to."""
        outcome = Outcome(arrival)
        self.outcomes.append(outcome)
        began_ms = self.loop.time_ms()
        router = self._random.choice(self._routers)
        for _ in range(2):
            placed = await self._place(router, arrival)
            if isinstance(placed, Send):
                await self._run(router, placed, outcome, began_ms)
                return
            outcome.refusals += 1
            router = self._random.choice(self._routers)
            await asyncio.sleep(placed.retry_after_ms / MS_PER_S)

    async def _place(
        self, router: ModelledRouter, arrival: Arrival
    ) -> Send | Refusal:
        now_ms = self.loop.time_ms()
        head = RequestHead(b'POST', b'/p', ())
        call = Call(
            f'{arrival.model} {arrival.at_ms}',
            'h',
            '/p',
            head,
            b'',
            model=arrival.model,
            input_tokens=arrival.kind.prompt_tokens,
        )
        router.fleet.demand.count(call, now_ms)
        route = dataclasses.replace(
            _ROUTE, target_latency_ms=arrival.kind.target_ms
        )
        patience_ms = now_ms + arrival.kind.patience_ms
        admitted = AdmittedCall(
            call,
            route,
            self._service,
            None,
            now_ms,
            patience_ms,
            patience_ms,
            0,
        )
        record = CallRecord(call, now_ms)
        try:
            return await router.placer.place(record, admitted, Attempts())
        finally:
            router.placer.load_requests.remove(admitted)

    async def _run(
        self,
        router: ModelledRouter,
        placed: Send,
        outcome: Outcome,
        began_ms: float,
    ) -> None:
        instance = placed.server.instance
        arrival = outcome.arrival
        runner = self._runners_by_instance[instance]
        now_ms = self.loop.time_ms()
        router.fleet.begin_request(
            instance, arrival.model, now_ms, arrival.kind.prompt_tokens
        )
        runner.running[arrival.model] += 1
        try:
            ready_ms = runner.prefill(arrival.kind.prompt_tokens, now_ms)
            await asyncio.sleep((ready_ms - now_ms) / MS_PER_S)
            router.fleet.note_prefilled(instance, arrival.kind.prompt_tokens)
            outcome.waited_ms = ready_ms - began_ms
            await asyncio.sleep(self._shape.service_ms / MS_PER_S)
        finally:
            runner.running[arrival.model] -= 1
            router.fleet.end_request(instance, arrival.model)


_ROUTE = Route(
    'r', 'h', '/p', RouteKind.STREAM, 0, 300, 1, 2, (ServiceShare(SERVICE, 1),)
)
