"""Builds the components and gRPC routes of an agent from its settings."""

from lagoonflow.calls.agent_calls import AgentCalls
from lagoonflow.calls.service_client import PlainServiceClient
from lagoonflow.calls.service_executor import ServiceExecutor, ServiceLimits
from lagoonflow.cli.settings import AgentSettings
from lagoonflow.clients.engine import EngineClient
from lagoonflow.clients.plain import PlainClient
from lagoonflow.clock import boottime_ms
from lagoonflow.placement.home import HomeState
from lagoonflow.placement.messages import (
    Bid,
    BidRequest,
    Decision,
    DecisionReply,
)
from lagoonflow.placement.peers import RankedPeers
from lagoonflow.placement.permits import StorePermits, StoreSettings
from lagoonflow.placement.settings import HomeSettings
from lagoonflow.placement.task import HomeTask
from lagoonflow.runners.engine_port import EngineClientPort
from lagoonflow.runners.settings import RunnerSettings
from lagoonflow.runners.state import RunnerState
from lagoonflow.runners.task import RunnerTask
from lagoonflow.wire import methods
from lagoonflow.wire.address import netloc_of
from lagoonflow.wire.grpc_server import Route
from lagoonflow.wiring.agent_events import AgentEvents
from lagoonflow.wiring.attempt_checks import AttemptChecker, serve_attempts
from lagoonflow.wiring.core import Core


def build_home(
    settings: AgentSettings,
    core: Core,
    peers: RankedPeers,
    events: AgentEvents,
) -> HomeTask:
    """Build the task for the home role, for models and the weight store."""
    state = HomeState(
        HomeSettings(settings.name, core.nonce),
        core.folds.releases,
        peers.ranking,
    )
    store = StoreSettings(settings.store_loads_per_s, settings.store_parallel)
    return HomeTask(
        state,
        StorePermits(store),
        peers,
        boottime_ms,
        events.on_home_action,
    )


def build_runner(
    settings: AgentSettings,
    core: Core,
    peers: RankedPeers,
    events: AgentEvents,
) -> RunnerTask | None:
    """Build the runner's task; ``None`` when the host has no engine."""
    if not settings.engine_url:
        return None
    releases = core.folds.releases

    def is_key_live(key_id: str, organisation: str) -> bool:
        key = releases.key(key_id)
        if key is None or key.is_withdrawn:
            return False
        return key.spec.organisation == organisation

    state = RunnerState(
        RunnerSettings(
            settings.name,
            max_running=settings.max_running,
            store_share_per_s=settings.store_loads_per_s
            / settings.store_sharers,
        ),
        releases,
        is_key_live,
    )
    client = EngineClient(netloc_of(settings.engine_url))
    port = EngineClientPort(client, f'{settings.name}/{core.nonce}')
    return RunnerTask(
        state,
        port,
        peers,
        boottime_ms,
        core.nonce,
        events.on_runner_action,
    )


def build_services(
    settings: AgentSettings,
    core: Core,
) -> dict[str, ServiceExecutor]:
    """Build the executor of the plain service on this host, if it has one.

    :returns: executor by service name.
    """
    if not settings.service:
        return {}
    client = PlainClient(netloc_of(settings.service_url))
    limits = ServiceLimits(max_running=settings.max_running)
    recheck = AttemptChecker(core.folds).check
    port = PlainServiceClient(client)
    return {settings.service: ServiceExecutor(port, limits, recheck)}


def call_routes(core: Core, calls: AgentCalls) -> tuple[Route, ...]:
    """Return the routes for attempts, which every agent serves."""
    return (
        Route(methods.RUN, serve_attempts(calls, core.folds)),
        core.unary_route(methods.REVOKE, calls.revoke),
        core.unary_route(methods.CANCEL, calls.cancel),
    )


def home_routes(core: Core, home: HomeTask) -> tuple[Route, ...]:
    """Return the routes that an agent serves as home of models."""
    return (
        core.unary_route(methods.LOCATE, home.locate),
        core.unary_route(methods.ANNOUNCE, home.announce),
        core.unary_route(methods.PERMIT, home.permit),
        core.unary_route(methods.LOAD_FINISHED, home.load_finished),
    )


def runner_routes(core: Core, runner: RunnerTask) -> tuple[Route, ...]:
    """Return the routes that an agent with an engine serves to homes."""

    async def bid(request: BidRequest) -> Bid:
        return runner.bid(request)

    async def decide(decision: Decision) -> DecisionReply:
        return runner.decide(decision)

    return (
        core.unary_route(methods.BID, bid),
        core.unary_route(methods.DECIDE, decide),
    )
