"""Composition root of the router on the platform."""

import asyncio
import contextlib
import time

import prometheus_client as prometheus
import structlog

from lagoonflow.backends.choosing import Chooser
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.declared.following import TopicFollower
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import (
    AgentState,
    Message,
    MeterState,
    RouterState,
    Wish,
)
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.http1.server import HttpServer, ServerLimits
from lagoonflow.platform import headers as codec
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.platform.store import (
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    SERVERS_TOPIC,
    StoreClient,
)
from lagoonflow.quotas.shared import Limit, SharedMeter
from lagoonflow.relay.admission import Admission
from lagoonflow.relay.journal import CallJournal
from lagoonflow.relay.sending import Sender
from lagoonflow.relay.serving import Budgets, CallService
from lagoonflow.waking.store_loads import StorePlan, plan_all
from lagoonflow.wiring.platform_admin import AdminServer
from lagoonflow.wiring.platform_feeds import (
    ConfigurationFeed,
    MembersFeed,
    ServersFeed,
)
from lagoonflow.wiring.platform_process import (
    METRICS_PORT_OFFSET,
    on_signals,
    register,
)

ROLE = 'router'
# Longest wait of one read; bounds the age of the proof that the
# configuration is current, in ms.
CONFIGURATION_WAIT_MS = 1200
SERVERS_WAIT_MS = 1200
MEMBERS_WAIT_MS = 20_000
# Time between looks at what must be told to agents and routers, in ms.
TICK_MS = 50
# Loads from the weight store are planned anew this often, in ms.
PLAN_MS = 200
# Changed facts are told to an agent at most this often, in ms.
AGENT_CHANGE_MS = 150
# Unchanged facts are repeated to an agent this often, in ms.
AGENT_REPEAT_MS = 900
# Charges are told to the other routers at most this often, in ms.
METER_CHANGE_MS = 150
# Unchanged charges are repeated this often, in ms.
METER_REPEAT_MS = 400
# The platform takes a host out after two missed checks, a second apart.
UNREADY_MS = 2600
# Time kept for ending the process before it would be killed, in ms.
STOP_MARGIN_MS = 700


class PlatformRouter:
    """A router: serves callers and relays to backend servers."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Wire the parts."""
        now_ms = boottime_ms()
        self._settings = settings
        self._started_ms = time.time_ns() // 1_000_000
        self._log = structlog.get_logger(part='process')
        self._registry = prometheus.CollectorRegistry()
        self._view = DeclaredView()
        self._fleet = Fleet()
        self._members = Members(settings.node)
        self._meter = SharedMeter(now_ms)
        self._admission = Admission(
            self._view, self._meter, settings.withdrawal_ms
        )
        self._sender = Sender(self._fleet, self._admission, codec)
        self._budgets = Budgets(
            settings.repeat_ratio,
            settings.repeat_extra,
            settings.repeat_window_ms,
        )
        self._calls = CallService(
            self._view,
            self._fleet,
            Chooser(self._fleet, settings.zone),
            self._admission,
            self._sender,
            codec,
            CallJournal(self._registry),
            self._budgets,
        )
        self._http = HttpServer(
            self._calls.handle, self._calls.refuse_unread, self._limits
        )
        self._admin = AdminServer(self._registry, self._is_ready)
        self._gossip = GossipSocket(self._receive)
        self._store = StoreClient(settings.store)
        self._stop = asyncio.Event()
        self._told: dict[str, tuple[float, RouterState]] = {}
        self._plans: dict[str, StorePlan] = {}
        self._planned_at_ms = 0.0
        self._told_meter_ms = 0.0
        self._told_totals: dict[str, float] = {}

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what was begun."""
        settings = self._settings
        on_signals(self._stop)
        port = settings.peer_port
        await self._gossip.open(settings.host, port)
        await self._admin.http.listen(settings.ready)
        metrics = AdminServer(self._registry, self._is_ready)
        await metrics.http.listen(
            f'{settings.host}:{port + METRICS_PORT_OFFSET}'
        )
        await self._http.listen(settings.frontend)
        self._log.info('started', node=settings.node, zone=settings.zone)
        tasks = [asyncio.create_task(one) for one in self._background()]
        await self._stop.wait()
        await self._finish()
        for task in tasks:
            task.cancel()
        self._log.info('stopped')

    def _background(self):
        settings = self._settings
        configuration = ConfigurationFeed(self._view, self._apply)
        servers = ServersFeed(self._fleet, self._apply_servers)
        members = MembersFeed(self._members, ROLE)
        for topic, wait_ms, feed in (
            (CONFIGURATION_TOPIC, CONFIGURATION_WAIT_MS, configuration),
            (SERVERS_TOPIC, SERVERS_WAIT_MS, servers),
            (MEMBERS_TOPIC, MEMBERS_WAIT_MS, members),
        ):
            yield TopicFollower(
                self._store, topic, wait_ms, feed.take, feed.fail
            ).run()
        yield register(self._store, settings, ROLE)
        yield self._tell()

    # Stopping.

    async def _finish(self) -> None:
        self._log.info('stopping', busy=self._http.busy_connections)
        self._http.is_stopping = True
        stopped_ms = boottime_ms()
        limit_ms = stopped_ms + self._settings.stop_grace_ms - STOP_MARGIN_MS
        await asyncio.sleep(UNREADY_MS / MS_PER_S)
        self._http.stop_accepting()
        left_ms = max(limit_ms - boottime_ms(), 0)
        await self._http.wait_until_closed(left_ms)
        self._log.info('finished', left=self._http.open_connections)

    def _is_ready(self) -> bool:
        if self._stop.is_set():
            return False
        return self._admission.is_current(boottime_ms())

    def _limits(self) -> ServerLimits:
        limits = self._view.limits
        return ServerLimits(
            limits.head_bytes,
            limits.body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )

    # What others say.

    def _apply(self) -> None:
        state = self._view.state
        limits = {
            organisation.name: Limit(
                organisation.rate_tokens_per_s, organisation.burst_tokens
            )
            for organisation in state.organisations
        }
        self._meter.set_limits(limits, boottime_ms())
        self._calls.apply_timeouts()
        self._calls.changes.notify()

    def _apply_servers(self) -> None:
        gone = self._fleet.roster.expire(boottime_ms())
        if gone:
            instances = [server.instance for server in gone]
            self._log.info('servers gone', servers=instances)
            self._fleet.forget(instances)
            self._sender.forget(instances)
        self._calls.changes.notify()

    def _receive(self, message: Message, sender: str) -> None:
        now_ms = boottime_ms()
        match message:
            case AgentState():
                if self._fleet.hear(message, now_ms):
                    self._calls.changes.notify()
            case MeterState():
                self._members.hear(
                    message.router, now_ms, is_leaving=message.is_leaving
                )
                self._meter.hear(
                    message.router,
                    message.started_ms,
                    message.charged_tokens,
                    now_ms,
                )

    # What others are told.

    async def _tell(self) -> None:
        wish_changed = self._calls.wish_changed
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_MS / MS_PER_S):
                    await wish_changed.wait()
            wish_changed.clear()
            now_ms = boottime_ms()
            self._tell_agents(now_ms)
            self._tell_routers(now_ms)
            self._apply_expired(now_ms)

    def _apply_expired(self, now_ms: float) -> None:
        if self._fleet.roster.has_due(now_ms):
            self._apply_servers()

    def _tell_agents(self, now_ms: float) -> None:
        state = self._view.state
        if state is None:
            return
        runners = [
            server
            for server in self._fleet.roster.all()
            if server.service in state.services
            and state.services[server.service].engine is not None
        ]
        demand = self._demand(runners, now_ms)
        if now_ms - self._planned_at_ms >= PLAN_MS:
            self._planned_at_ms = now_ms
            self._plan_store_loads(runners, demand, now_ms)
        for server in runners:
            self._tell_agent(server, len(runners), demand, now_ms)

    def _plan_store_loads(
        self,
        runners: list[BackendServer],
        demand: dict[str, float],
        now_ms: float,
    ) -> None:
        states: dict[str, dict[str, AgentState]] = {}
        for server in runners:
            agent = self._fleet.agent(server, now_ms)
            if agent is not None and agent.can_order:
                of_service = states.setdefault(server.service, {})
                of_service[server.instance] = agent
        self._plans.clear()
        for service, of_service in states.items():
            engine = self._view.state.services[service].engine
            self._plans.update(plan_all(engine, of_service, demand))

    def _demand(
        self, runners: list[BackendServer], now_ms: float
    ) -> dict[str, float]:
        """Demand for each model, divided by the runners that hold it."""
        holders: dict[str, int] = {}
        for server in runners:
            for held in self._fleet.held(server, now_ms):
                holders[held.name] = holders.get(held.name, 0) + 1
        return {
            model: round(rate / max(holders.get(model, 1), 1), 3)
            for model, rate in self._fleet.demand(now_ms).items()
        }

    def _tell_agent(
        self,
        server: BackendServer,
        agents: int,
        demand: dict[str, float],
        now_ms: float,
    ) -> None:
        store_plan = self._plans.get(server.instance, StorePlan())
        told_at_ms, told = self._told.get(server.instance, (0.0, None))
        wishes = self._calls.wishes.at(server.instance, now_ms)
        running = self._fleet.running(server.instance)
        age_ms = now_ms - told_at_ms
        is_due = (
            told is None
            or age_ms >= AGENT_REPEAT_MS
            or _wish_names(wishes) != _wish_names(told.wishes)
            or store_plan.may_load != told.may_use_store
            or (age_ms >= AGENT_CHANGE_MS and wishes)
            or (age_ms >= AGENT_CHANGE_MS and running != told.running)
        )
        if not is_due:
            return
        settings = self._settings
        message = RouterState(
            router=settings.node,
            address=f'{settings.host}:{settings.peer_port}',
            started_ms=self._started_ms,
            instance=server.instance,
            runner_started_ms=server.started_ms,
            wishes=wishes,
            running=running,
            demand_per_s=demand,
            is_leaving=False,
            agents=agents,
            may_use_store=store_plan.may_load,
            to_fetch=store_plan.to_fetch,
            spare=store_plan.spare,
        )
        self._told[server.instance] = (now_ms, message)
        self._gossip.send(message, f'{server.host}:{settings.peer_port}')

    def _tell_routers(self, now_ms: float) -> None:
        totals = self._meter.totals()
        age_ms = now_ms - self._told_meter_ms
        is_changed = totals != self._told_totals
        if age_ms < (METER_CHANGE_MS if is_changed else METER_REPEAT_MS):
            return
        self._told_meter_ms = now_ms
        self._told_totals = totals
        message = MeterState(
            router=self._settings.node,
            started_ms=self._started_ms,
            charged_tokens=totals,
            is_leaving=self._stop.is_set() and not self._http.open_connections,
        )
        present = self._members.present(now_ms)
        self._meter.set_members(frozenset(one.name for one in present))
        self._budgets.set_routers(len(present) + 1)
        for member in present:
            self._gossip.send(message, member.address)


def _wish_names(wishes: tuple[Wish, ...]) -> set[tuple[str, str]]:
    return {(wish.model, wish.adapter) for wish in wishes}
