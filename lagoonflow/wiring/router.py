"""Wires a router."""

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
SWEEP_INTERVAL_S = 10


async def serve_router(
    settings: RouterSettings,
    environment: Environment,
) -> None:
    """Run a router until it is told to stop.

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
    """One router."""

    def __init__(
        self,
        settings: RouterSettings,
        environment: Environment,
    ) -> None:
        """Wire the parts; nothing is bound yet."""
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
        self._front: AsgiServer | None = None

    async def start(self) -> None:
        """Bind the ports, join, and serve.

        :raises OSError: when an address cannot be bound.
        """
        listener = bind(self._settings.address)
        peer, admin = await self._core.listen(
            self._shares.routes(),
            self._metrics.registry,
        )
        self._wire(peer.port, admin.port)
        self._follow()
        self._core.announce_address('peer', peer)
        self._core.announce_address('admin', admin)
        self._core.background.start('serving', self._serve_current(listener))

    async def stop(self) -> None:
        """Take no new connections, finish the open requests, and leave.

        The balancer has some time to see that this router is not ready;
        what still comes meanwhile is served.
        """
        self._core.is_ready = False
        self._core.timeline.record('program', 'stopping')
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.stop_timeout_s):
                await asyncio.sleep(self._settings.unready_s)
                await self._stop_front()
                await self._starter.drain()
                await self._shares.task.shut_down()
                await self._membership.leave()

    async def close(self) -> None:
        """Close everything."""
        await self._core.close()
        get_logger('program').info('Stopped.')

    def _wire(self, peer_port: int, admin_port: int) -> None:
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
        sender = AgentClient(self._core.connections)
        return RouterCalls(
            RouterPorts(
                locate=call_locator.locate,
                open_stream=sender.open_stream,
                revoke=sender.revoke,
                cancel=sender.cancel,
                versions=self._core.folds.versions,
                clock_ms=boottime_ms,
            ),
        )

    def _follow(self) -> None:
        followers = self._core.folds.followers
        self._shares.subscribe()
        followers[Stream.CLAIMS].listeners.append(self._claims.on_folded)
        background = self._core.background
        self._core.folds.start(background)
        background.start('quotas', self._shares.task.run())
        background.start('claims', self._claims.run())
        background.start('idle connections', self._sweep())
        self._membership.start()

    async def _serve_current(self, listener: object) -> None:
        """Serve callers once the releases in force are known.

        Before that, the key of every caller would be an unknown one.
        """
        await self._core.folds.catch_up()
        await self._serve(listener)
        self._core.is_ready = True
        self._core.announce_address('callers', self._front.address)

    async def _stop_front(self) -> None:
        if self._front is not None:
            await self._front.stop()

    async def _serve(self, listener: object) -> None:
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
        self._front = AsgiServer(
            build_frontend(self._context),
            listener,
            tls=tls.context if tls else None,
            max_connections=settings.max_connections,
        )
        await self._front.start()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._core.connections.close_idle()
