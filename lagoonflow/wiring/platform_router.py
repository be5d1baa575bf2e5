"""Composition root of the router on the users' platform."""

import asyncio
import contextlib
from collections.abc import Iterator

import prometheus_client as prometheus
import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms, wall_clock_ms
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import (
    AgentState,
    CrashesState,
    InflightState,
    LimitsState,
    Message,
    MeterState,
)
from lagoonflow.gossip.topic_messages import TopicAnswer, TopicQuery
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.http1.descriptors import process_descriptors
from lagoonflow.http1.request_reader import ServerLimits
from lagoonflow.platform import headers as codec
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.platform.store import (
    StoreClient,
)
from lagoonflow.quotas.fleet_rate_limiter import (
    FleetRateLimiter,
    Limit,
)
from lagoonflow.relay.admission import Admission
from lagoonflow.relay.call_log import CallLog
from lagoonflow.relay.crash_monitor import CrashMonitor
from lagoonflow.relay.pools import ServerPools
from lagoonflow.relay.sending import Sender
from lagoonflow.relay.serving import CallService
from lagoonflow.resumption.decision import VersionRule
from lagoonflow.resumption.origins import StreamOrigins
from lagoonflow.resumption.versions import VersionHistory
from lagoonflow.retries.budget import RetryBudgets
from lagoonflow.wiring import platform_process
from lagoonflow.wiring.platform_admin import AdminServer
from lagoonflow.wiring.platform_crashes import (
    CrashesFeed,
    CrashPublisher,
    build_crash_guard,
)
from lagoonflow.wiring.platform_feeds import (
    MembersFeed,
    ServersFeed,
    build_configuration_feed,
)
from lagoonflow.wiring.platform_fleet import build_chooser, build_fleet
from lagoonflow.wiring.platform_http import build_http_server
from lagoonflow.wiring.platform_limits import LimitPublisher
from lagoonflow.wiring.platform_loads import InflightPublisher
from lagoonflow.wiring.platform_members import RegistrationRemover
from lagoonflow.wiring.platform_memory import build_memory
from lagoonflow.wiring.platform_publishing import (
    ChargePublisher,
    RouterStatePublisher,
)
from lagoonflow.wiring.platform_shared_reads import SharedReadService
from lagoonflow.wiring.platform_speeds import SpeedPublisher
from lagoonflow.wiring.platform_streams import StreamMessage, StreamService
from lagoonflow.wiring.platform_topics import Feeds, topic_followers

ROLE = 'router'
AGENT_ROLE = 'agent'
# Oldest confirmation of the configuration with which the router reports that
# it is ready, in ms. An older one means that a read was missed; callers should
# use other routers before this one has to refuse keys.
MAX_READY_CONFIRMATION_AGE_MS = 3300
# Longest time between checks whether state is due to be published, in ms.
PUBLISH_INTERVAL_MS = 50
# Time for which a stopping router still accepts connections, in ms: the
# platform stops sending callers after two failed readiness checks, which are
# a second apart.
UNREADY_PERIOD_MS = 2600
# Time reserved for ending the process before SIGKILL, in ms.
STOP_MARGIN_MS = 700
# Time reserved for the last answers to reach their callers, in ms.
ANSWER_DELIVERY_MARGIN_MS = 300


class PlatformRouter:
    """A router, which relays callers' requests to backend servers."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Build the components; :meth:`run` binds the ports."""
        now_ms = boottime_ms()
        self._settings = settings
        self._log = structlog.get_logger(part='process')
        self._view = DeclaredView()
        self._registry = prometheus.CollectorRegistry()
        self._fleet = build_fleet(settings, self._registry)
        self._members = Members(settings.node, settings.withdrawal_ms)
        self._agents = Members(settings.node)
        self._members_feed = MembersFeed(
            self._members, ROLE, {AGENT_ROLE: self._agents}
        )
        self._rate_limiter = FleetRateLimiter(now_ms, wall_clock_ms())
        origins = StreamOrigins()
        self._versions = VersionHistory()
        self._crashes = CrashEvidence()
        self._crash_monitor = CrashMonitor(self._fleet, self._crashes)
        self._admission = Admission(
            self._view,
            self._rate_limiter,
            settings.withdrawal_ms,
            VersionRule(origins, self._versions),
            build_crash_guard(settings.node, self._members, self._crashes),
        )
        self._gossip = GossipSocket(self._receive)
        self._streams = StreamService(
            settings,
            self._members,
            self._members_feed,
            origins,
            self._view,
            self._gossip,
            self._choose_again,
        )
        descriptors = process_descriptors(settings.max_descriptors)
        self._sender = Sender(
            self._fleet,
            self._admission,
            codec,
            self._streams.announce,
            self._crash_monitor,
            ServerPools(
                self._fleet,
                is_memory_bounded=settings.is_contended,
                descriptors=descriptors,
            ),
        )
        self._budgets = RetryBudgets(
            settings.retry_ratio,
            settings.extra_retries,
            settings.retry_window_ms,
        )
        self._calls = CallService(
            self._view,
            self._fleet,
            build_chooser(settings, self._fleet, self._registry),
            self._admission,
            self._sender,
            codec,
            CallLog(self._registry),
            self._budgets,
        )
        self._memory = None
        if settings.is_contended:
            self._fleet.held_bytes.set_bound(settings.node)
            self._memory = build_memory(
                self._view, self._fleet.held_bytes, self._registry
            )
        self._http = build_http_server(
            settings,
            self._calls,
            self._limits,
            self._memory,
            descriptors,
            self._registry,
        )
        self._admin = AdminServer(self._registry, self._is_ready)
        self._store = StoreClient(settings.store_address)
        self._stop = asyncio.Event()
        self._state_publisher = RouterStatePublisher(
            settings,
            self._fleet,
            self._calls.placer.load_requests,
            self._gossip,
        )
        prometheus.Gauge(
            'lagoonflow_unserved_models',
            'Models of refused calls that wait for the weight store.',
            registry=self._registry,
        ).set_function(lambda: self._calls.placer.load_requests.unserved_count)
        self._charge_publisher = ChargePublisher(
            settings,
            self._members,
            self._rate_limiter,
            self._view,
            self._gossip,
        )
        self._limit_publisher = LimitPublisher(
            settings.node, self._members, self._fleet, self._gossip
        )
        self._shared_reads = SharedReadService(
            settings, self._members, self._gossip, self._registry
        )
        self._speed_publisher = SpeedPublisher(
            settings.node, self._members, self._fleet, self._gossip
        )
        self._inflight_publisher = InflightPublisher(
            settings.node, self._members, self._fleet, self._gossip
        )
        self._crashes_feed = CrashesFeed(self._crashes)
        self._crash_publisher = CrashPublisher(
            settings,
            self._members,
            self._crashes,
            self._gossip,
            self._store,
            self._crashes_feed,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the open requests."""
        settings = self._settings
        platform_process.install_signal_handlers(self._stop)
        platform_process.measure_stalls(self._registry)
        await self._listen()
        self._log.info('started', node=settings.node, zone=settings.zone)
        tasks = [
            platform_process.supervise(start)
            for start in self._background_tasks()
        ]
        await self._stop.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await platform_process.remove_own_registration(self._store, settings)
        self._log.info('stopped')

    async def _listen(self) -> None:
        settings = self._settings
        port = settings.peer_port
        metrics = AdminServer(self._registry, self._is_ready)
        await self._gossip.open(settings.ip_address, port)
        await metrics.http.listen(
            f'{settings.ip_address}:{port + platform_process.METRICS_PORT_OFFSET}'
        )
        await self._admin.http.listen(settings.readiness_address)
        await self._http.listen(settings.caller_address)

    def _background_tasks(self) -> Iterator[platform_process.StartTask]:
        configuration = build_configuration_feed(
            self._view,
            self._fleet,
            self._apply_configuration,
            self._calls.placer.fleet_changed.notify,
        )
        servers = ServersFeed(self._fleet, self._versions, self._apply_servers)
        feeds = Feeds(
            configuration, servers, self._members_feed, self._crashes_feed
        )
        for follower in topic_followers(
            self._store,
            feeds,
            self._shared_reads,
            self._settings.drain_ms,
            self._calls.list_wanted,
        ):
            yield follower.run
        yield self._register
        yield self._streams.run
        yield RegistrationRemover(
            self._store, self._members_feed, self._members, self._agents
        ).run
        yield self._crash_publisher.save
        yield self._publish_updates
        yield self._inflight_publisher.run
        if self._memory is not None:
            yield self._memory.run

    async def _register(self) -> None:
        await platform_process.keep_registered(
            self._store, self._settings, ROLE, self._members_feed.own_removed
        )

    # Stopping.

    async def _drain(self) -> None:
        self._log.info('stopping', busy=self._http.busy_connection_count)
        self._http.is_stopping = True
        stop_began_ms = boottime_ms()
        deadline_ms = (
            stop_began_ms + self._settings.stop_grace_ms - STOP_MARGIN_MS
        )
        answer_by_ms = deadline_ms - ANSWER_DELIVERY_MARGIN_MS
        self._calls.finish_calls_by(answer_by_ms, is_in_rotation=True)
        await asyncio.sleep(UNREADY_PERIOD_MS / MS_PER_S)
        self._calls.finish_calls_by(answer_by_ms)
        await self._http.stop_accepting()
        await self._http.wait_until_closed(max(answer_by_ms - boottime_ms(), 0))
        self._http.refuse_unread()
        await self._http.wait_until_closed(max(deadline_ms - boottime_ms(), 0))
        self._log.info('finished', left=self._http.open_connection_count)

    def _is_ready(self) -> bool:
        if self._stop.is_set():
            return False
        if not self._settings.withdrawal_ms:
            return self._view.state is not None
        now_ms = boottime_ms()
        return self._view.age_ms(now_ms) <= MAX_READY_CONFIRMATION_AGE_MS

    def _limits(self) -> ServerLimits:
        limits = self._view.limits
        return ServerLimits(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )

    # Updates from the metadata store, agents and other routers.

    def _apply_configuration(self) -> None:
        state = self._view.state
        limits = {
            organisation.name: Limit(
                organisation.rate_tokens_per_s, organisation.burst_tokens
            )
            for organisation in state.organisations
        }
        self._rate_limiter.set_limits(limits, boottime_ms())
        self._fleet.cold.use_services(state.services)
        self._sender.pools.connections.use_services(state.services)
        self._calls.apply_timeouts()
        self._calls.placer.fleet_changed.notify()

    def _apply_servers(self) -> None:
        removed = self._fleet.roster.remove_expired(boottime_ms())
        if removed:
            instances = [server.instance for server in removed]
            self._log.info('servers gone', servers=instances)
            self._fleet.forget(instances)
            self._sender.forget(instances)
        self._calls.placer.fleet_changed.notify()

    def _receive(self, message: Message, sender: str) -> None:
        now_ms = boottime_ms()
        if isinstance(message, StreamMessage):
            self._streams.receive(message, now_ms, sender)
            return
        match message:
            case AgentState():
                self._agents.record_message(
                    message.agent, now_ms, is_leaving=message.is_stopping
                )
                if self._fleet.observe_agent(message, now_ms):
                    self._calls.placer.fleet_changed.notify()
            case MeterState():
                self._streams.note_heard(now_ms)
                self._charge_publisher.receive(message, now_ms, sender)
            case LimitsState():
                self._limit_publisher.receive(message, now_ms)
            case InflightState():
                self._inflight_publisher.receive(message, now_ms)
            case CrashesState():
                self._crashes_feed.learn(message.crashes)
            case TopicQuery():
                self._shared_reads.answer(message, sender)
            case TopicAnswer():
                self._shared_reads.receive(message)
            case _:
                self._speed_publisher.receive(message, now_ms)

    def _choose_again(self) -> None:
        """Let waiting calls use what has become known."""
        self._calls.placer.fleet_changed.notify()

    # Updates to agents and other routers.

    def _note_running(self, now_ms: float) -> None:
        """Read the servers at once if some may have left during a stall."""
        self._fleet.evacuations.note_running(now_ms)
        if self._fleet.roster.outages.is_list_outdated(now_ms):
            self._calls.list_wanted.set()

    async def _publish_updates(self) -> None:
        load_requests_changed = self._calls.placer.load_requests_changed
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PUBLISH_INTERVAL_MS / MS_PER_S):
                    await load_requests_changed.wait()
            load_requests_changed.clear()
            now_ms = boottime_ms()
            self._note_running(now_ms)
            if self._view.state is not None:
                self._state_publisher.publish_due(self._view.state, now_ms)
            has_finished = self._http.open_connection_count == 0
            routers = self._charge_publisher.publish_due(
                now_ms, is_leaving=self._stop.is_set() and has_finished
            )
            self._budgets.update_router_count(routers)
            if self._members_feed.has_read:
                others = [one.name for one in self._members.present(now_ms)]
                self._fleet.held_bytes.update_routers(others)
                self._sender.pools.connections.update_routers(len(others) + 1)
            self._streams.publish_due(now_ms)
            self._crash_monitor.confirm_by_fleet()
            self._limit_publisher.publish_due(now_ms)
            self._speed_publisher.publish_due(now_ms)
            if self._crash_publisher.publish_due(now_ms):
                self._calls.placer.fleet_changed.notify()
            self._sender.waits.abort_waits_on_silent_hosts(now_ms)
            if self._fleet.roster.has_due_removals(now_ms):
                self._apply_servers()
