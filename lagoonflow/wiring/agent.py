"""Builds and runs the agent program."""

import asyncio
import contextlib

from lagoonflow.calls.agent_calls import AgentCalls, AgentPorts
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.settings import AgentSettings
from lagoonflow.clock import boottime_ms
from lagoonflow.placement.peers import RankedPeers
from lagoonflow.roster.messages import Member, Role
from lagoonflow.runners.generation_executor import GenerationExecutor
from lagoonflow.streams.messages import Stream
from lagoonflow.telemetry.logs import get_logger
from lagoonflow.telemetry.metrics import AgentMetrics
from lagoonflow.time_limits import TimeLimit
from lagoonflow.wire.grpc_server import Route
from lagoonflow.wiring import agent_parts as parts
from lagoonflow.wiring.agent_events import AgentEvents
from lagoonflow.wiring.attempt_checks import AttemptChecker
from lagoonflow.wiring.core import Core
from lagoonflow.wiring.membership import Membership
from lagoonflow.wiring.stop_signal import StopSignal

ROLE = Role.AGENT.value
CLOSE_IDLE_INTERVAL_S = 10
OWN_HOST_INTERVAL_S = 0.25


async def serve_agent(
    settings: AgentSettings,
    environment: Environment,
) -> None:
    """Run an agent until a stop signal arrives.

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
    """An agent, from start to shutdown."""

    def __init__(
        self,
        settings: AgentSettings,
        environment: Environment,
    ) -> None:
        """Build the components; :meth:`start` binds the ports."""
        self._settings = settings
        self._core = Core(settings, environment, ROLE)
        self._metrics = AgentMetrics()
        self._membership: Membership | None = None
        peers = RankedPeers(
            self._core.peers.send,
            self._rank,
            self._rank_for_store,
        )
        events = AgentEvents(self._core.timeline, self._metrics)
        self._home = parts.build_home(settings, self._core, peers, events)
        self._runner = parts.build_runner(settings, self._core, peers, events)
        self._calls = AgentCalls(self._core.nonce, self._build_ports())

    async def start(self) -> None:
        """Bind the ports, join the roster, and serve.

        The ports are bound before the first order is sent: a second agent
        started on this host by mistake fails to bind and exits before it
        can send orders to the same engine.

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
        """Shut down gracefully.

        Refuse new attempts, hand back the queued ones, finish the running
        ones and leave the roster, all within the stop timeout.
        """
        self._core.is_ready = False
        self._core.timeline.record('program', 'stopping')
        with contextlib.suppress(TimeoutError):
            async with TimeLimit(
                self._settings.stop_timeout_s, counts_stalls=True
            ):
                await self._drain()
                await self._membership.leave()

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        await self._core.close()
        get_logger('program').info('Stopped.')

    def _build_ports(self) -> AgentPorts:
        runner = self._runner
        return AgentPorts(
            admit=AttemptChecker(self._core.folds).check,
            versions=self._core.folds.versions,
            clock_ms=boottime_ms,
            generations=GenerationExecutor(runner) if runner else None,
            services=parts.build_services(self._settings, self._core),
        )

    def _routes(self) -> tuple[Route, ...]:
        routes = parts.call_routes(self._core, self._calls)
        if self._runner is None:
            return routes
        return (
            *routes,
            *parts.home_routes(self._core, self._home),
            *parts.runner_routes(self._core, self._runner),
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
            self._on_pause,
            self._home.caught_up,
        )
        followers = self._core.folds.followers
        for stream in (Stream.ROSTER, Stream.RELEASES):
            followers[stream].listeners.append(self._on_folds_changed)
        self._start_tasks()
        self._membership.start()

    def _start_tasks(self) -> None:
        background = self._core.background
        self._core.folds.start(background)
        background.start('calls', self._calls.sweep_forever())
        background.start('idle connections', self._close_idle_connections())
        background.start('leaving host', self._watch_own_host())
        if self._runner is not None:
            background.start('home', self._home.run())
            background.start('runner', self._runner.run())

    def _on_folds_changed(self) -> None:
        folds = self._core.folds
        self._home.on_versions(folds.releases, folds.versions())
        if self._runner is not None:
            self._runner.on_versions(folds.releases, folds.versions())

    def _on_pause(self) -> None:
        self._home.pause()
        if self._runner is not None:
            self._runner.pause()

    def _rank(self, model: str) -> tuple[str, ...]:
        return self._membership.ranking(model) if self._membership else ()

    def _rank_for_store(self) -> tuple[str, ...]:
        return self._membership.store_ranking() if self._membership else ()

    async def _drain(self) -> None:
        await self._calls.drain()
        if self._runner is not None:
            await self._runner.drain()

    async def _watch_own_host(self) -> None:
        """Drain the agent once the platform lists this host as leaving."""
        is_leaving = False
        while not is_leaving:
            await asyncio.sleep(OWN_HOST_INTERVAL_S)
            is_leaving = self._membership.is_own_host_leaving()
        self._core.is_ready = False
        self._core.timeline.record('program', 'host_leaving')
        await self._drain()

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(CLOSE_IDLE_INTERVAL_S)
            self._core.connections.close_idle()
