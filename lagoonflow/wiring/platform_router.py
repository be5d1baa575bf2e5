"""Composition root of the router on the platform."""

import asyncio
import contextlib
from collections.abc import Coroutine, Iterator
from typing import Any

import prometheus_client as prometheus
import structlog

from lagoonflow.backends.choosing import Chooser
from lagoonflow.backends.fleet import Fleet
from lagoonflow.clock import MS_PER_S, boottime_ms, wall_clock_ms
from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import AgentState, Message, MeterState
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.http1.server import HttpServer, ServerLimits
from lagoonflow.platform import headers as codec
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.platform.store import (
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    POLL_SLACK_MS,
    SERVERS_TOPIC,
    StoreClient,
)
from lagoonflow.quotas.fleet_rate_limiter import (
    ChargeReport,
    FleetRateLimiter,
    Limit,
)
from lagoonflow.relay.admission import Admission
from lagoonflow.relay.call_log import CallLog
from lagoonflow.relay.sending import Sender
from lagoonflow.relay.serving import CallService
from lagoonflow.retries.budget import RetryBudgets
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
    supervise,
)
from lagoonflow.wiring.platform_publishing import (
    ChargePublisher,
    RouterStatePublisher,
)

ROLE = 'router'
# Longest wait of one read; bounds the age of the proof that the
# configuration is current, in ms.
CONFIGURATION_WAIT_MS = 1800
SERVERS_WAIT_MS = 500
MEMBERS_WAIT_MS = 20_000
# Pause after a page of records, in ms.
CONFIGURATION_GATHER_MS = 20
# Entries of servers come without end, as each is a heartbeat, and calls to the
# store are limited; they are gathered for this long at most, in ms.
SERVERS_GATHER_MS = 1500
# Time for the read after a lost one, in ms.
SERVERS_REREAD_MS = 500
MEMBERS_GATHER_MS = 300
# A router whose proof is older has missed a read; callers should go to
# others before keys stop working here, in ms.
READY_PROOF_MS = 3300
# Time between looks at what must be told to agents and routers, in ms.
TICK_MS = 50
# The platform takes a host out after two missed checks, a second apart.
UNREADY_MS = 2600
# Time kept for ending the process before it would be killed, in ms.
STOP_MARGIN_MS = 700
# Last answers need this long to reach their callers, in ms.
ANSWERS_MARGIN_MS = 300


class PlatformRouter:
    """A router: serves callers and relays to backend servers."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Wire the parts."""
        now_ms = boottime_ms()
        self._settings = settings
        self._log = structlog.get_logger(part='process')
        self._registry = prometheus.CollectorRegistry()
        self._view = DeclaredView()
        self._fleet = Fleet()
        self._members = Members(settings.node)
        self._meter = FleetRateLimiter(now_ms, wall_clock_ms())
        self._admission = Admission(
            self._view, self._meter, settings.withdrawal_ms
        )
        self._sender = Sender(self._fleet, self._admission, codec)
        self._budgets = RetryBudgets(
            settings.retry_ratio,
            settings.extra_retries,
            settings.retry_window_ms,
        )
        self._calls = CallService(
            self._view,
            self._fleet,
            Chooser(self._fleet, settings.zone),
            self._admission,
            self._sender,
            codec,
            CallLog(self._registry),
            self._budgets,
        )
        self._http = HttpServer(
            self._calls.handle, self._calls.refuse_unreadable, self._limits
        )
        self._admin = AdminServer(self._registry, self._is_ready)
        self._gossip = GossipSocket(self._receive)
        self._store = StoreClient(settings.store_address)
        self._stop = asyncio.Event()
        self._state_publisher = RouterStatePublisher(
            settings,
            self._fleet,
            self._calls.placer.load_requests,
            self._gossip,
        )
        self._charge_publisher = ChargePublisher(
            settings, self._members, self._meter, self._gossip
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what was begun."""
        settings = self._settings
        on_signals(self._stop)
        await self._listen()
        self._log.info('started', node=settings.node, zone=settings.zone)
        tasks = [supervise(one, self._stop) for one in self._background()]
        await self._stop.wait()
        await self._finish()
        for task in tasks:
            task.cancel()
        self._log.info('stopped')

    async def _listen(self) -> None:
        settings = self._settings
        port = settings.peer_port
        metrics = AdminServer(self._registry, self._is_ready)
        await self._gossip.open(settings.ip_address, port)
        await metrics.http.listen(
            f'{settings.ip_address}:{port + METRICS_PORT_OFFSET}'
        )
        await self._admin.http.listen(settings.readiness_address)
        await self._http.listen(settings.caller_address)

    def _background(self) -> Iterator[Coroutine[Any, Any, None]]:
        configuration = ConfigurationFeed(self._view, self._apply)
        servers = ServersFeed(self._fleet, self._apply_servers)
        members = MembersFeed(self._members, ROLE)
        servers_gather_ms = gather_time_ms(self._settings.drain_ms)
        for topic, wait_ms, gather_ms, feed in (
            (
                CONFIGURATION_TOPIC,
                CONFIGURATION_WAIT_MS,
                CONFIGURATION_GATHER_MS,
                configuration,
            ),
            (SERVERS_TOPIC, SERVERS_WAIT_MS, servers_gather_ms, servers),
            (MEMBERS_TOPIC, MEMBERS_WAIT_MS, MEMBERS_GATHER_MS, members),
        ):
            yield TopicFollower(
                self._store, topic, wait_ms, gather_ms, feed.take, feed.fail
            ).run()
        yield self._register()
        yield self._publish_updates()

    async def _register(self) -> None:
        await register(self._store, self._settings, ROLE)

    # Stopping.

    async def _finish(self) -> None:
        self._log.info('stopping', busy=self._http.busy_connection_count)
        self._http.is_stopping = True
        stopped_ms = boottime_ms()
        limit_ms = stopped_ms + self._settings.stop_grace_ms - STOP_MARGIN_MS
        self._calls.finish_calls_by(limit_ms - ANSWERS_MARGIN_MS)
        await asyncio.sleep(UNREADY_MS / MS_PER_S)
        self._http.stop_accepting()
        left_ms = max(limit_ms - boottime_ms(), 0)
        await self._http.wait_until_closed(left_ms)
        self._log.info('finished', left=self._http.open_connection_count)

    def _is_ready(self) -> bool:
        if self._stop.is_set():
            return False
        if not self._settings.withdrawal_ms:
            return self._view.state is not None
        now_ms = boottime_ms()
        return self._view.age_ms(now_ms) <= READY_PROOF_MS

    def _limits(self) -> ServerLimits:
        limits = self._view.limits
        return ServerLimits(
            limits.max_head_bytes,
            limits.max_body_bytes,
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
        self._calls.placer.fleet_changed.notify()

    def _apply_servers(self) -> None:
        gone = self._fleet.roster.remove_expired(boottime_ms())
        if gone:
            instances = [server.instance for server in gone]
            self._log.info('servers gone', servers=instances)
            self._fleet.forget(instances)
            self._sender.forget(instances)
        self._calls.placer.fleet_changed.notify()

    def _receive(self, message: Message, sender: str) -> None:
        now_ms = boottime_ms()
        match message:
            case AgentState():
                if self._fleet.observe_agent(message, now_ms):
                    self._calls.placer.fleet_changed.notify()
            case MeterState():
                self._members.record_message(
                    message.router, now_ms, is_leaving=message.is_leaving
                )
                report = ChargeReport(
                    message.started_ms,
                    message.age_ms,
                    message.charged_tokens,
                    message.levels,
                )
                self._meter.apply_report(message.router, report, now_ms)

    # What others are told.

    async def _publish_updates(self) -> None:
        load_requests_changed = self._calls.placer.load_requests_changed
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_MS / MS_PER_S):
                    await load_requests_changed.wait()
            load_requests_changed.clear()
            now_ms = boottime_ms()
            if self._view.state is not None:
                self._state_publisher.publish_due(self._view.state, now_ms)
            has_finished = self._http.open_connection_count == 0
            routers = self._charge_publisher.publish_due(
                now_ms, is_leaving=self._stop.is_set() and has_finished
            )
            self._budgets.update_router_count(routers)
            self._sender.waits.abort_waits_on_silent_hosts(now_ms)
            if self._fleet.roster.has_due_removals(now_ms):
                self._apply_servers()


def gather_time_ms(drain_ms: int) -> int:
    """Return how long entries of servers may be gathered.

    A leaving server must not get requests after ``drain_ms``, even when one
    read of the entries was lost.
    """
    lost_read_ms = SERVERS_WAIT_MS + POLL_SLACK_MS + SERVERS_REREAD_MS
    return min(max(drain_ms - lost_read_ms, 0), SERVERS_GATHER_MS)
