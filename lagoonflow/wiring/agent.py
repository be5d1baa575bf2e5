"""Wires an agent."""

import asyncio
import contextlib
from typing import Any

from lagoonflow.calls.agent_task import AgentCalls, AgentPorts
from lagoonflow.calls.service_port import PlainServicePort
from lagoonflow.calls.service_work import ServiceLimits, ServiceWork
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.settings import AgentSettings
from lagoonflow.clock import boottime_ms
from lagoonflow.placement.home import HomeState
from lagoonflow.placement.peers import Peers as RankedPeers
from lagoonflow.placement.permits import StorePermits, StoreSettings
from lagoonflow.placement.settings import HomeSettings
from lagoonflow.placement.task import HomeTask
from lagoonflow.platform.engine import EngineClient
from lagoonflow.platform.plain import PlainClient
from lagoonflow.roster.messages import Member, Role
from lagoonflow.runners.engine_port import ClientPort
from lagoonflow.runners.settings import RunnerSettings
from lagoonflow.runners.state import RunnerState
from lagoonflow.runners.task import RunnerTask
from lagoonflow.runners.work import GenerationWork
from lagoonflow.streams.messages import Stream
from lagoonflow.telemetry.logs import get_logger
from lagoonflow.telemetry.metrics import AgentMetrics
from lagoonflow.wire import services
from lagoonflow.wire.server import Route
from lagoonflow.wiring.core import Core, server_of
from lagoonflow.wiring.gatekeeper import Gatekeeper, serve_attempts
from lagoonflow.wiring.membership import Membership
from lagoonflow.wiring.stopping import StopSignal

ROLE = Role.AGENT.value
SWEEP_INTERVAL_S = 10
LEAVING_INTERVAL_S = 0.5


async def serve_agent(
    settings: AgentSettings,
    environment: Environment,
) -> None:
    """Run an agent until it is told to stop.

    :raises OSError: when an address cannot be bound.
    """
    stop = StopSignal()
    stop.install()
    agent = AgentProgram(settings, environment)
    try:
        await agent.start()
        await stop.wait()
        await agent.stop()
    except Exception:
        get_logger('program').error('Program failed.', exc_info=True)
        raise
    finally:
        await agent.close()


class AgentProgram:
    """One agent."""

    def __init__(
        self,
        settings: AgentSettings,
        environment: Environment,
    ) -> None:
        """Wire the parts; nothing is bound yet."""
        self._settings = settings
        self._core = Core(settings, environment, ROLE)
        self._metrics = AgentMetrics()
        self._membership: Membership | None = None
        self._runner_state = self._build_runner_state()
        ranked = RankedPeers(
            self._core.peers.send,
            self._rank,
            self._rank_for_store,
        )
        self._home_state = HomeState(
            HomeSettings(settings.name, self._core.nonce),
            self._core.agreed.releases,
            self._rank,
        )
        self._home = HomeTask(
            self._home_state,
            StorePermits(
                StoreSettings(
                    settings.store_loads_per_s,
                    settings.store_parallel,
                ),
            ),
            ranked,
            boottime_ms,
        )
        self._runner = self._build_runner(ranked)
        self._calls = AgentCalls(
            self._core.nonce,
            AgentPorts(
                admit=Gatekeeper(self._core.agreed).check,
                versions=self._core.agreed.versions,
                clock_ms=boottime_ms,
                generations=GenerationWork(self._runner)
                if self._runner
                else None,
                services=self._build_services(),
            ),
        )

    async def start(self) -> None:
        """Bind the ports, join, and serve.

        The port is bound before the first order, so that a second agent
        on this host ends before it can order the same engine.

        :raises OSError: when an address cannot be bound.
        """
        peer, admin = await self._core.listen(
            self._routes(),
            self._metrics.registry,
        )
        self._join(peer.port, admin.port)
        self._core.is_ready = True
        self._core.announce_address('peer', peer)
        self._core.announce_address('admin', admin)

    async def stop(self) -> None:
        """Take no new work, hand back the queue, finish, and leave."""
        self._core.is_ready = False
        self._core.timeline.record('program', 'stopping')
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.stop_timeout_s):
                await self._calls.drain()
                if self._runner is not None:
                    await self._runner.drain()
                await self._membership.leave()

    async def close(self) -> None:
        """Close everything."""
        await self._core.close()
        get_logger('program').info('Stopped.')

    def _build_runner_state(self) -> RunnerState:
        settings = self._settings
        agreed = self._core.agreed
        return RunnerState(
            RunnerSettings(
                settings.name,
                max_running=settings.max_running,
                store_share_per_s=settings.store_loads_per_s / 8,
            ),
            agreed.releases,
            self._is_key_live,
        )

    def _build_runner(self, ranked: RankedPeers) -> RunnerTask | None:
        if not self._settings.engine_url:
            return None
        client = EngineClient(server_of(self._settings.engine_url))
        prefix = f'{self._settings.name}/{self._core.nonce}'
        return RunnerTask(
            self._runner_state,
            ClientPort(client, prefix),
            ranked,
            boottime_ms,
            self._core.nonce,
        )

    def _build_services(self) -> dict[str, ServiceWork]:
        settings = self._settings
        if not settings.service:
            return {}
        client = PlainClient(server_of(settings.service_url))
        limits = ServiceLimits(max_running=settings.max_running)
        return {
            settings.service: ServiceWork(PlainServicePort(client), limits),
        }

    def _is_key_live(self, key_id: str, organisation: str) -> bool:
        key = self._core.agreed.releases.key(key_id)
        if key is None or key.is_withdrawn:
            return False
        return key.spec.organisation == organisation

    def _routes(self) -> tuple[Route, ...]:
        unary = self._core.unary
        calls = (
            Route(
                services.RUN,
                serve_attempts(self._calls, self._core.agreed),
            ),
            unary(services.REVOKE, self._calls.revoke),
            unary(services.CANCEL, self._calls.cancel),
        )
        if self._runner is None:
            return calls
        return (
            *calls,
            unary(services.LOCATE, self._home.locate),
            unary(services.ANNOUNCE, self._home.announce),
            unary(services.PERMIT, self._home.permit),
            unary(services.LOAD_FINISHED, self._home.load_finished),
            unary(services.BID, self._bid),
            unary(services.DECIDE, self._decide),
        )

    def _join(self, peer_port: int, admin_port: int) -> None:
        settings = self._settings
        member = Member(
            name=settings.name,
            role=Role.AGENT,
            host=settings.peer_address.host,
            port=peer_port,
            zone=settings.zone,
            nonce=self._core.nonce,
            admin_port=admin_port,
            services=(settings.service,) if settings.service else (),
            has_engine=self._runner is not None,
        )
        self._membership = Membership(
            self._core,
            member,
            self._pause,
            self._home.caught_up,
        )
        followers = self._core.agreed.followers
        for stream in (Stream.ROSTER, Stream.RELEASES):
            followers[stream].listeners.append(self._follow)
        background = self._core.background
        self._core.agreed.start(background)
        background.start('calls', self._calls.sweep_forever())
        background.start('idle connections', self._sweep())
        if self._runner is not None:
            background.start('home', self._home.run())
            background.start('runner', self._runner.run())
        self._membership.start()

    def _follow(self) -> None:
        agreed = self._core.agreed
        self._home.follow(agreed.releases, agreed.versions())
        if self._runner is not None:
            self._runner.follow(agreed.releases, agreed.versions())
        self._core.timeline.record(
            'releases',
            'in_force',
            cause=f'releases {agreed.releases.next_offset}',
        )

    def _pause(self) -> None:
        self._home.pause()
        if self._runner is not None:
            self._runner.pause()

    def _rank(self, model: str) -> tuple[str, ...]:
        return self._membership.ranking(model) if self._membership else ()

    def _rank_for_store(self) -> tuple[str, ...]:
        return self._membership.store_ranking() if self._membership else ()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._core.connections.close_idle()

    async def _bid(self, request: Any) -> Any:
        return self._runner.bid(request)

    async def _decide(self, decision: Any) -> Any:
        return self._runner.decide(decision)
