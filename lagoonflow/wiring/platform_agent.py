"""Composition root of the agent on the users' platform."""

import asyncio
import contextlib

import msgspec
import prometheus_client as prometheus
import structlog

from lagoonflow.backends.messages import BackendServer, RunnerReport
from lagoonflow.clock import MS_PER_S, boottime_ms, wall_clock_ms
from lagoonflow.declared.records import StoreFailure
from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.messages import AgentState, Message, RouterState
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.platform.runner import RunnerClient
from lagoonflow.platform.servers import EntryError, decode_server
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.platform.store import (
    CONFIGURATION_TOPIC,
    SERVERS_TOPIC,
    StoreClient,
)
from lagoonflow.stalls import stalled_ms
from lagoonflow.waking.controller import RunnerController
from lagoonflow.waking.messages import OrderOutcome, RunnerOrder
from lagoonflow.wiring.platform_admin import AdminServer
from lagoonflow.wiring.platform_feeds import ConfigurationFeed
from lagoonflow.wiring.platform_process import (
    METRICS_PORT_OFFSET,
    install_signal_handlers,
    measure_stalls,
    register,
    remove_own_registration,
    supervise,
)

ROLE = 'agent'
# Longest wait of one read of the configuration, in ms. Agents need only the
# models and limits of their engine, which seldom change.
CONFIGURATION_WAIT_MS = 20_000
# Pause after a page of configuration records, in ms.
GATHER_MS = 500
# Time between reads of the runner's report, in ms: while an order is in
# progress or a load is requested, while requests run, and otherwise.
ORDERING_REPORT_INTERVAL_MS = 20
BUSY_REPORT_INTERVAL_MS = 100
IDLE_REPORT_INTERVAL_MS = 400
# Minimum time between messages to routers about changes that no request waits
# for, in ms.
MIN_CHANGE_INTERVAL_MS = 200
# An unchanged state is repeated to routers at this interval, in ms.
REPEAT_INTERVAL_MS = 500


class PlatformAgent:
    """An agent: the only process that sends orders to its host's runner."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Build the components; :meth:`run` binds the ports."""
        self._settings = settings
        self._log = structlog.get_logger(part='waking')
        self._registry = prometheus.CollectorRegistry()
        self._order_counter = prometheus.Counter(
            'lagoonflow_orders',
            'Orders to the runner by kind and outcome.',
            ['kind', 'outcome'],
            registry=self._registry,
        )
        self._store_requests_gauge = prometheus.Gauge(
            'lagoonflow_store_requests',
            'Requested models that wait for their turn at the weight store.',
            registry=self._registry,
        )
        self._view = DeclaredView()
        self._controller = RunnerController(settings.node, stalled_ms)
        self._gossip = GossipSocket(self._receive)
        self._store = StoreClient(settings.store_address)
        self._runner = RunnerClient(settings.runner_address, settings.node)
        self._fence = 0
        self._stop = asyncio.Event()
        self._load_requested = asyncio.Event()
        self._last_sent: AgentState | None = None
        self._last_sent_at_ms: float = 0
        self._logged_turn_delay = ''

    async def run(self) -> None:
        """Control the runner until SIGTERM or SIGINT."""
        settings = self._settings
        install_signal_handlers(self._stop)
        measure_stalls(self._registry)
        await self._gossip.open(settings.ip_address, settings.peer_port)
        admin = AdminServer(self._registry, lambda: not self._stop.is_set())
        port = settings.peer_port + METRICS_PORT_OFFSET
        await admin.http.listen(f'{settings.ip_address}:{port}')
        log = structlog.get_logger(part='process')
        log.info('started', node=settings.node, runner=settings.runner_address)
        feed = ConfigurationFeed(self._view, self._apply_configuration)
        follower = TopicFollower(
            self._store,
            CONFIGURATION_TOPIC,
            CONFIGURATION_WAIT_MS,
            GATHER_MS,
            feed.on_page,
            feed.on_failure,
        )
        tasks = [
            supervise(follower.run),
            supervise(self._acquire_fence),
            supervise(self._read_registered_models),
            supervise(self._control_runner),
        ]
        await self._stop.wait()
        for task in tasks:
            task.cancel()
        self._announce_stop(boottime_ms())
        await remove_own_registration(self._store, settings)
        log.info('stopped')

    async def _acquire_fence(self) -> None:
        registered = await register(self._store, self._settings, ROLE)
        self._fence = registered.rank
        self._controller.runner_view.can_order = True

    def _apply_configuration(self) -> None:
        service = self._view.state.services.get(self._settings.service)
        engine = None if service is None else service.engine
        self._controller.runner_view.spec = engine

    def _receive(self, message: Message, sender: str) -> None:
        if not isinstance(message, RouterState):
            return
        self._controller.runner_view.demand.record_state(message, boottime_ms())
        self._controller.runner_view.agents = message.agents
        if message.load_requests:
            self._load_requested.set()

    async def _control_runner(self) -> None:
        while True:
            now_ms = boottime_ms()
            if self._runner.is_paused(now_ms):
                self._publish_state(now_ms)
                await self._wait_for_next_report(is_busy=False)
                continue
            report = await self._runner.report()
            now_ms = boottime_ms()
            if report is None:
                self._controller.runner_view.record_missed_report()
            else:
                self._record_report(report, now_ms)
                await self._identify()
            order = self._controller.next_order(now_ms)
            self._log_turn_delay()
            if order is not None:
                await self._send_order(order)
            self._publish_state(boottime_ms())
            await self._wait_for_next_report(
                report is not None and report.active > 0
            )

    def _record_report(self, report: RunnerReport, now_ms: float) -> None:
        runner_view = self._controller.runner_view
        in_progress = runner_view.in_progress
        is_start = (
            runner_view.report is None
            or runner_view.report.started_ms != report.started_ms
        )
        runner_view.record_report(report, now_ms)
        if is_start:
            self._log.info(
                'runner started',
                age_ms=wall_clock_ms() - report.started_ms,
                held=sorted(held.name for held in report.models),
                in_memory=sorted(report.in_memory),
                on_disk=sorted(report.on_disk),
            )
        if in_progress is None or runner_view.in_progress is not None:
            return
        self._log.info(
            'order ended',
            kind=in_progress.order.kind.value,
            model=in_progress.order.model,
            from_store=in_progress.order.is_from_store,
            expected_ms=int(in_progress.order.expected_ms),
            took_ms=int(now_ms - in_progress.started_at_ms),
            store_at_once=round(runner_view.store_concurrency.estimate, 1),
        )

    def _log_turn_delay(self) -> None:
        delay = self._controller.turn_delay
        if delay != self._logged_turn_delay:
            self._logged_turn_delay = delay
            self._log.info('turn at the store not used', why=delay)

    async def _identify(self) -> None:
        """Ask the runner for its identity until that is known."""
        runner_view = self._controller.runner_view
        if runner_view.instance or self._view.state is None:
            return
        service = self._view.state.services.get(self._settings.service)
        if service is not None:
            path = service.health_check_path
            instance = await self._runner.identify(path)
            if instance:
                runner_view.set_instance(instance)
                self._log.info('runner identified', runner=instance)

    async def _read_registered_models(self) -> None:
        """Read which models the runner had registered in the metadata store.

        The controller restores these models if the runner has lost them.
        """
        page = await self._store.newest(SERVERS_TOPIC)
        if isinstance(page, StoreFailure):
            self._log.warning('list of servers not read', why=page.reason)
            return
        for record in page.records:
            with contextlib.suppress(EntryError):
                self._record_registered_models(
                    decode_server(record.key, record.value)
                )

    def _record_registered_models(self, server: BackendServer) -> None:
        if server.address == self._settings.runner_address:
            names = tuple(held.name for held in server.models)
            restoration = self._controller.runner_view.restoration
            restoration.record_registered(names)

    async def _send_order(self, order: RunnerOrder) -> None:
        runner_view = self._controller.runner_view
        instance = runner_view.instance
        sent_at_ms = boottime_ms()
        outcome = await self._runner.order(order, instance, self._fence)
        now_ms = boottime_ms()
        match outcome:
            case OrderOutcome.ACCEPTED:
                runner_view.record_accepted(order, now_ms)
            case OrderOutcome.UNKNOWN:
                runner_view.record_unanswered(order, now_ms)
        self._order_counter.labels(order.kind.value, outcome.name).inc()
        self._log.info(
            'order',
            kind=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            cause=order.cause,
            runner=instance,
            after_sequence=order.after_sequence,
            expected_ms=int(order.expected_ms),
            from_store=order.is_from_store,
            outcome=outcome.name,
            took_ms=int(now_ms - sent_at_ms),
        )

    async def _wait_for_next_report(self, is_busy: bool) -> None:
        interval_ms = (
            BUSY_REPORT_INTERVAL_MS if is_busy else IDLE_REPORT_INTERVAL_MS
        )
        if (
            self._controller.has_order_in_progress
            or self._controller.runner_view.demand.requested_loads(
                boottime_ms()
            )
        ):
            interval_ms = ORDERING_REPORT_INTERVAL_MS
        self._load_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_ms / MS_PER_S):
                await self._load_requested.wait()

    def _publish_state(self, now_ms: float) -> None:
        state = msgspec.structs.replace(
            self._controller.agent_state(now_ms),
            cold_for_ms=int(self._runner.cold_for_ms(now_ms)),
        )
        self._store_requests_gauge.set(len(state.store_requests))
        age_ms = now_ms - self._last_sent_at_ms
        is_due = (
            age_ms >= REPEAT_INTERVAL_MS
            or self._last_sent is None
            or _has_urgent_change(self._last_sent, state)
            or (
                age_ms >= MIN_CHANGE_INTERVAL_MS
                and _has_change(self._last_sent, state)
            )
        )
        if not is_due:
            return
        self._last_sent = state
        self._last_sent_at_ms = now_ms
        self._send(state, now_ms)

    def _announce_stop(self, now_ms: float) -> None:
        """Tell routers that this agent is stopping while its runner runs on."""
        state = self._controller.agent_state(now_ms)
        self._send(msgspec.structs.replace(state, is_stopping=True), now_ms)

    def _send(self, state: AgentState, now_ms: float) -> None:
        for address in self._controller.runner_view.demand.router_addresses(
            now_ms
        ):
            self._gossip.send(state, address)


def _has_change(last_sent: AgentState, state: AgentState) -> bool:
    """Return whether anything changed but the work time.

    It changes many times a second on some machines, which is not worth as many
    messages.
    """
    unchanged = msgspec.structs.replace(
        last_sent, work_time_percent=state.work_time_percent
    )
    return unchanged != state


def _has_urgent_change(last_sent: AgentState, state: AgentState) -> bool:
    """Return whether something changed that requests may wait for."""
    return _urgent_fields(last_sent) != _urgent_fields(state)


def _urgent_fields(state: AgentState) -> list[object]:
    held = {(model.name, model.adapters) for model in state.held}
    return [
        held,
        state.loading,
        state.unloading,
        state.load_rejections,
        state.instance,
        state.can_order,
        state.is_down,
        state.is_leaving,
        state.limit_per_s,
        state.cold_for_ms > 0,
    ]
