"""Builds and runs the router program."""

import asyncio
import contextlib

from lagoonflow.callers.context import FrontendContext
from lagoonflow.callers.frontend import build_frontend
from lagoonflow.callers.requests import CallerLimits
from lagoonflow.calls.claims_fold import ClaimsFold
from lagoonflow.calls.claims_task import ClaimsTask
from lagoonflow.calls.grpc_ports import AgentClient
from lagoonflow.calls.router_calls import RouterCalls
from lagoonflow.calls.router_task import RouterPorts
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.settings import RouterSettings
from lagoonflow.clock import boottime_ms
from lagoonflow.placement.locator import Locator
from lagoonflow.roster.messages import Member, Role
from lagoonflow.streams.messages import Stream
from lagoonflow.telemetry.logs import get_logger
from lagoonflow.telemetry.metrics import RouterMetrics
from lagoonflow.time_limits import TimeLimit
from lagoonflow.wire.asgi_server import AsgiServer, bind
from lagoonflow.wiring.admission import QuotaAdmission
from lagoonflow.wiring.call_locator import CallLocator
from lagoonflow.wiring.call_starter import CallStarter
from lagoonflow.wiring.claims import claim_ports
from lagoonflow.wiring.core import Core
from lagoonflow.wiring.membership import Membership
from lagoonflow.wiring.stop_signal import StopSignal
from lagoonflow.wiring.tls import caller_context
from lagoonflow.wiring.token_shares import TokenShares

ROLE = Role.ROUTER.value
CLOSE_IDLE_INTERVAL_S = 10


async def serve_router(
    settings: RouterSettings,
    environment: Environment,
) -> None:
    """Run a router until a stop signal arrives.

    :raises OSError: when an address cannot be bound.
    """
    stop = StopSignal()
    stop.install()
    router = RouterProgram(settings, environment)
    try:
        await router.start()
        await stop.wait()
        await router.stop()
    except Exception:
        get_logger('program').error('Program failed.', exc_info=True)
        raise
    finally:
        await router.close()


class RouterProgram:
    """A router, from start to shutdown."""

    def __init__(
        self,
        settings: RouterSettings,
        environment: Environment,
    ) -> None:
        """Build the components; :meth:`start` binds the ports."""
        self._settings = settings
        self._core = Core(settings, environment, ROLE)
        self._claims_fold = ClaimsFold()
        self._core.folds.add(self._claims_fold)
        self._metrics = RouterMetrics()
        self._shares = TokenShares(self._core)
        self._claims = ClaimsTask(
            self._claims_fold.state,
            settings.name,
            self._core.nonce,
            claim_ports(self._core.folds),
        )
        self._membership: Membership | None = None
        self._starter: CallStarter | None = None
        self._context: FrontendContext | None = None
        self._caller_server: AsgiServer | None = None

    async def start(self) -> None:
        """Bind the ports and join the roster.

        Callers are served once this router has read the releases.

        :raises OSError: when an address cannot be bound.
        """
        listener = bind(self._settings.address)
        peer, admin = await self._core.listen(
            self._shares.routes(),
            self._metrics.registry,
        )
        self._build(peer.port, admin.port)
        self._start_tasks()
        self._core.announce_address('peer', peer)
        self._core.announce_address('admin', admin)
        self._core.background.start(
            'serving', self._serve_when_caught_up(listener)
        )

    async def stop(self) -> None:
        """Shut down gracefully.

        First report not ready, and serve what still arrives until the load
        balancer has noticed. Then accept no new connections, finish the open
        requests, hand over the token shares and leave the roster. All this
        ends with the stop timeout.
        """
        self._core.is_ready = False
        self._core.timeline.record('program', 'stopping')
        with contextlib.suppress(TimeoutError):
            async with TimeLimit(
                self._settings.stop_timeout_s, counts_stalls=True
            ):
                await asyncio.sleep(self._settings.unready_s)
                await self._stop_caller_server()
                await self._starter.drain()
                await self._shares.task.shut_down()
                await self._membership.leave()

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        await self._core.close()
        get_logger('program').info('Stopped.')

    def _build(self, peer_port: int, admin_port: int) -> None:
        settings = self._settings
        member = Member(
            name=settings.name,
            role=Role.ROUTER,
            host=settings.peer_address.host,
            port=peer_port,
            zone=settings.zone,
            nonce=self._core.nonce,
            admin_port=admin_port,
        )
        self._membership = Membership(
            self._core,
            member,
            self._shares.on_pause,
            self._shares.on_caught_up,
        )
        locator = Locator(
            settings.name,
            self._core.peers.send,
            self._membership.ranking,
            self._membership.is_schedulable,
            boottime_ms,
        )
        locator.versions = self._core.folds.versions
        call_locator = CallLocator(
            locator, self._membership, self._core.timeline
        )
        calls = self._build_calls(call_locator)
        self._membership.add_gone_listener(calls.on_agent_gone)
        self._starter = CallStarter(
            settings.name,
            self._core.nonce,
            calls,
            self._claims,
            call_locator.on_call_ended,
        )

    def _build_calls(self, call_locator: CallLocator) -> RouterCalls:
        agent_client = AgentClient(self._core.connections)
        return RouterCalls(
            RouterPorts(
                locate=call_locator.locate,
                open_stream=agent_client.open_stream,
                revoke=agent_client.revoke,
                cancel=agent_client.cancel,
                versions=self._core.folds.versions,
                clock_ms=boottime_ms,
            ),
        )

    def _start_tasks(self) -> None:
        followers = self._core.folds.followers
        self._shares.subscribe()
        followers[Stream.CLAIMS].listeners.append(self._claims.on_folded)
        background = self._core.background
        self._core.folds.start(background)
        background.start('quotas', self._shares.task.run())
        background.start('claims', self._claims.run())
        background.start('idle connections', self._close_idle_connections())
        self._membership.start()

    async def _serve_when_caught_up(self, listener: object) -> None:
        """Serve callers once this router has read the newest releases.

        Before that, it would refuse every caller's key as unknown.
        """
        await self._core.folds.catch_up()
        await self._serve_callers(listener)
        self._core.is_ready = True
        self._core.announce_address('callers', self._caller_server.address)

    async def _stop_caller_server(self) -> None:
        if self._caller_server is not None:
            await self._caller_server.stop()

    async def _serve_callers(self, listener: object) -> None:
        settings = self._settings
        self._context = FrontendContext(
            releases=self._core.folds.releases,
            admission=QuotaAdmission(self._shares.task, boottime_ms),
            calls=self._starter,
            limits=CallerLimits(
                max_body_bytes=settings.max_body_bytes,
                max_header_bytes=settings.max_header_bytes,
                max_waiting=settings.max_waiting,
                default_deadline_ms=settings.default_deadline_ms,
            ),
            metrics=self._metrics,
            timeline=self._core.timeline,
        )
        tls = caller_context(settings)
        if tls is not None:
            self._core.background.start('caller tls', tls.watch())
        self._caller_server = AsgiServer(
            build_frontend(self._context),
            listener,
            tls=tls.context if tls else None,
            max_connections=settings.max_connections,
        )
        await self._caller_server.start()

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(CLOSE_IDLE_INTERVAL_S)
            self._core.connections.close_idle()
