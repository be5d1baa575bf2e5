"""Sends a router's state to agents, and its charges to other routers."""

import collections
import dataclasses
import statistics
from collections.abc import Mapping

import structlog

from lagoonflow.backends.candidates import without_evacuated
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.rates import ModelRates
from lagoonflow.clock import wall_clock_ms
from lagoonflow.declared.messages import DeclaredState, EngineSpec
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.members import (
    SILENCE_TIMEOUT_MS,
    Members,
    RouterMember,
)
from lagoonflow.gossip.messages import (
    AgentState,
    LoadRequest,
    MeterState,
    RouterState,
)
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.quotas.fleet_rate_limiter import ChargeReport, FleetRateLimiter
from lagoonflow.relay.load_requests import LoadRequests
from lagoonflow.waking.copies import models_with_copy
from lagoonflow.waking.preloading import LoadPlan, plan_loads
from lagoonflow.waking.store_queue import (
    least_store_concurrency,
    loads_in_progress,
)

# Interval at which loads ahead of requests (preloads) are planned, in ms.
PLAN_INTERVAL_MS = 200
# Minimum time between messages to one agent about changes that aren't urgent,
# in ms.
MIN_AGENT_INTERVAL_MS = 150
# An unchanged state is repeated to an agent at this interval, in ms.
AGENT_REPEAT_INTERVAL_MS = 900
# Minimum time between messages to the other routers about charges, in ms.
MIN_CHARGE_INTERVAL_MS = 150
# Unchanged charges are repeated at this interval, in ms.
CHARGE_REPEAT_INTERVAL_MS = 400


class RouterStatePublisher:
    """Sends each agent the load requests, running requests and demand."""

    def __init__(
        self,
        settings: PlatformSettings,
        fleet: Fleet,
        load_requests: LoadRequests,
        gossip: GossipSocket,
    ) -> None:
        """Start with nothing sent.

        :param fleet: backend servers and their state, as this router knows.
        :param load_requests: models and adapters that waiting calls need.
        :param gossip: socket for the datagrams.
        """
        self._settings = settings
        self._fleet = fleet
        self._load_requests = load_requests
        self._gossip = gossip
        self._started_ms = wall_clock_ms()
        self._last_sent: dict[str, tuple[float, RouterState]] = {}
        self._plans: dict[str, LoadPlan] = {}
        self._planned_at_ms = 0
        self._store_loads = 0
        self._store_concurrency = 0
        self._tokens_per_s: dict[str, float] = {}
        self._holder_counts: collections.Counter[str] = collections.Counter()
        self._scarce_services: set[str] = set()
        self._logged_turns: dict[str, list[str]] = {}
        self._logged_unknown: dict[str, list[str]] = {}
        self._log = structlog.get_logger(part='waking')

    def publish_due(self, state: DeclaredState, now_ms: float) -> None:
        """Send this router's state to the agents that are due for it.

        :param state: declared state; the servers of its services with an
            engine are the runners.
        """
        runners = [
            server
            for server in self._fleet.roster.all()
            if server.service in state.services
            and state.services[server.service].engine is not None
        ]
        usable = without_evacuated(self._fleet, runners)
        demand = self._demand_per_runner(usable, now_ms)
        if now_ms - self._planned_at_ms >= PLAN_INTERVAL_MS:
            self._planned_at_ms = now_ms
            self._plan_loads(state, runners, demand, now_ms)
        requests = self._load_requests.by_runner(
            now_ms, {server.instance for server in usable}
        )
        for server in runners:
            message = self._build_message(
                server,
                len(runners),
                demand,
                requests.get(server.instance, ()),
                now_ms,
            )
            last_sent_at_ms, last_sent = self._last_sent.get(
                server.instance, (0, None)
            )
            if _is_due(message, last_sent, now_ms - last_sent_at_ms):
                self._last_sent[server.instance] = (now_ms, message)
                address = f'{server.host}:{self._settings.peer_port}'
                self._gossip.send(message, address)
        self._forget_all_but(runners)

    def _forget_all_but(self, runners: list[BackendServer]) -> None:
        """Drop the messages to servers that are gone."""
        for gone in self._last_sent.keys() - {one.instance for one in runners}:
            self._last_sent.pop(gone)

    def _build_message(
        self,
        server: BackendServer,
        agents: int,
        demand: dict[str, float],
        load_requests: tuple[LoadRequest, ...],
        now_ms: float,
    ) -> RouterState:
        settings = self._settings
        load_plan = self._plans.get(server.instance, LoadPlan())
        return RouterState(
            router=settings.node,
            address=f'{settings.ip_address}:{settings.peer_port}',
            started_ms=self._started_ms,
            instance=server.instance,
            runner_started_ms=server.started_ms,
            load_requests=load_requests,
            running=self._fleet.running_requests(server.instance),
            demand_per_s=demand,
            agents=agents,
            may_use_store=load_plan.may_use_store,
            preload=load_plan.preload,
            evictable=load_plan.evictable,
            store_loads=self._store_loads,
            protected=load_plan.protected,
            prompt_tokens_per_s=self._prompt_tokens_per_s(server, now_ms),
            is_scarce=load_plan.is_scarce,
            store_turn=load_plan.store_turn,
            store_only=load_plan.store_only,
            store_concurrency=self._store_concurrency,
        )

    def _demand_per_runner(
        self, runners: list[BackendServer], now_ms: float
    ) -> dict[str, float]:
        """Return the demand by model, divided by the runners that hold it."""
        self._holder_counts = collections.Counter(
            held.name
            for server in runners
            for held in self._fleet.held_models(server, now_ms)
        )
        self._tokens_per_s = self._per_holder(
            self._fleet.demand.prompt_tokens, now_ms
        )
        return self._per_holder(self._fleet.demand.requests, now_ms)

    def _prompt_tokens_per_s(
        self, server: BackendServer, now_ms: float
    ) -> dict[str, float]:
        """Return the tokens per second of models that a runner has."""
        state = self._fleet.agent(server, now_ms)
        if state is None:
            return {}
        return {
            model: self._tokens_per_s[model]
            for model in models_with_copy(state)
            if model in self._tokens_per_s
        }

    def _per_holder(self, rates: ModelRates, now_ms: float) -> dict[str, float]:
        return {
            model: round(rate / max(self._holder_counts[model], 1), 3)
            for model, rate in rates.per_s(now_ms).items()
        }

    def _plan_loads(
        self,
        state: DeclaredState,
        runners: list[BackendServer],
        demand: dict[str, float],
        now_ms: float,
    ) -> None:
        services: dict[str, list[BackendServer]] = {}
        for server in runners:
            services.setdefault(server.service, []).append(server)
        before = self._plans
        self._plans = {}
        self._store_loads = 0
        for service, servers in services.items():
            engine = state.services[service].engine
            agents = self._fleet.agents_that_can_order(servers, now_ms)
            self._drop_served(agents)
            # Loads in evacuated zones use the weight store, too.
            self._store_loads += loads_in_progress(agents)
            self._store_concurrency = least_store_concurrency(agents)
            is_scarce = self._is_scarce(service, engine, servers, now_ms)
            if is_scarce:
                self._store_loads += self._count_lost_loads(agents, now_ms)
            usable = without_evacuated(self._fleet, servers)
            self._plans.update(
                self._plan_service(service, engine, usable, demand, now_ms)
                or _plans_without_loads(before, usable, is_scarce=is_scarce)
            )

    def _count_lost_loads(
        self, agents: Mapping[str, AgentState], now_ms: float
    ) -> int:
        self._fleet.lost_loads.observe(agents, now_ms)
        return len(self._fleet.lost_loads.of_others(agents, now_ms))

    def _plan_service(
        self,
        service: str,
        engine: EngineSpec,
        usable: list[BackendServer],
        demand: dict[str, float],
        now_ms: float,
    ) -> dict[str, LoadPlan]:
        """Return the plans of a service's agents; empty if copies aren't known."""
        agents = self._fleet.agents_that_can_order(usable, now_ms)
        knows_copies = self._fleet.knows_copies(usable, agents, now_ms)
        self._log_unknown(service, usable, agents, is_known=knows_copies)
        if not knows_copies:
            return {}
        plans = plan_loads(
            engine,
            agents,
            demand,
            self._cold(agents, now_ms),
            self._time_factors(usable, now_ms),
            is_scarce=self._fleet.scarcity.is_scarce(service, engine, now_ms),
            leaving={one.instance for one in usable if one.is_draining},
            lost_loads=self._fleet.lost_loads.of_others(agents, now_ms),
        )
        self._log_turns(service, plans, agents)
        return plans

    def _log_unknown(
        self,
        service: str,
        usable: list[BackendServer],
        agents: Mapping[str, AgentState],
        *,
        is_known: bool,
    ) -> None:
        """Log which agents keep the copies of models from being known."""
        silent = sorted(
            server.instance
            for server in usable
            if not is_known and server.instance not in agents
        )
        if silent != self._logged_unknown.get(service, []):
            self._logged_unknown[service] = silent
            self._log.info('copies not known', service=service, silent=silent)

    def _log_turns(
        self,
        service: str,
        plans: Mapping[str, LoadPlan],
        agents: Mapping[str, AgentState],
    ) -> None:
        """Log which models are to be loaded from the weight store next."""
        turns = sorted(
            f'{plan.store_turn} at {instance}'
            for instance, plan in plans.items()
            if plan.store_turn
        )
        if turns != self._logged_turns.get(service, []):
            self._logged_turns[service] = turns
            self._log.info(
                'turns at the store',
                service=service,
                turns=turns,
                in_progress=sorted(
                    f'{agent.loading} for {agent.order_ready_in_ms} ms'
                    for agent in agents.values()
                    if agent.is_from_store
                ),
            )

    def _cold(
        self, agents: Mapping[str, AgentState], now_ms: float
    ) -> frozenset[str]:
        return frozenset(
            instance
            for instance in agents
            if self._fleet.cold.is_cold(instance, now_ms)
        )

    def _time_factors(
        self, servers: list[BackendServer], now_ms: float
    ) -> dict[str, float]:
        """Return the lasting time factors of servers where they are in use."""
        speeds = self._fleet.speeds
        return {
            server.instance: speeds.lasting_factor(server, now_ms)
            for server in servers
            if speeds.is_active(server, now_ms)
        }

    def _is_scarce(
        self,
        service: str,
        engine: EngineSpec,
        servers: list[BackendServer],
        now_ms: float,
    ) -> bool:
        scarcity = self._fleet.scarcity
        # Servers that start anew at an address are listed twice for a while.
        hosts = {one.address for one in servers if not one.is_draining}
        median_start_ms = statistics.median(one.started_ms for one in servers)
        scarcity.observe_runners(
            service,
            len(hosts),
            now_ms,
            median_age_ms=wall_clock_ms() - median_start_ms,
        )
        is_scarce = scarcity.is_scarce(service, engine, now_ms)
        if is_scarce != (service in self._scarce_services):
            self._scarce_services ^= {service}
            event = 'models scarce' if is_scarce else 'models no longer scarce'
            self._log.info(event, service=service, models=len(engine.models))
        return is_scarce

    def _drop_served(self, agents: Mapping[str, AgentState]) -> None:
        for agent in agents.values():
            self._load_requests.drop_served(models_with_copy(agent))


class ChargePublisher:
    """Sends the other routers what this router has charged."""

    def __init__(
        self,
        settings: PlatformSettings,
        members: Members,
        rate_limiter: FleetRateLimiter,
        view: DeclaredView,
        gossip: GossipSocket,
    ) -> None:
        """Start with nothing sent.

        :param members: the other routers.
        :param rate_limiter: counts the charges of this router.
        :param view: tells when the metadata store was last read, and which
            version of the configuration is in force.
        :param gossip: socket for the datagrams.
        """
        self._node = settings.node
        self._members = members
        self._rate_limiter = rate_limiter
        self._view = view
        self._gossip = gossip
        self._last_sent_at_ms = 0
        self._last_sent: dict[str, float] = {}

    def publish_due(self, now_ms: float, *, is_leaving: bool) -> int:
        """Send the charges if they are due.

        :param is_leaving: tells the others that this router is stopping and
            charges nothing more.
        :returns: number of routers that share the limits, including this one.
        """
        sharing = self._members.sharing(now_ms)
        self._rate_limiter.update_members(sharing, now_ms)
        # Without the metadata store and most of the others, this router doesn't
        # learn that its registration was removed and its share given to others.
        self._rate_limiter.may_use_share = self._view.age_ms(
            now_ms
        ) < SILENCE_TIMEOUT_MS or self._members.hears_majority(now_ms)
        present = self._members.present(now_ms)
        if now_ms - self._last_sent_at_ms >= MIN_CHARGE_INTERVAL_MS:
            self._publish_charges(present, now_ms, is_leaving=is_leaving)
        return len(sharing) + 1

    def receive(self, message: MeterState, now_ms: float, sender: str) -> None:
        """Record the charges of another router.

        :param sender: address from which the message came.
        """
        self._members.record_message(
            message.router,
            now_ms,
            is_leaving=message.is_leaving,
            address=sender,
        )
        report = ChargeReport(
            message.started_ms,
            message.age_ms,
            message.charged_tokens,
            message.levels,
        )
        self._rate_limiter.apply_report(message.router, report, now_ms)
        if message.version >= 0:
            since_ms = now_ms - max(message.version_age_ms, 0)
            self._view.note_version_elsewhere(message.version, since_ms, now_ms)

    def _publish_charges(
        self, present: list[RouterMember], now_ms: float, *, is_leaving: bool
    ) -> None:
        report = self._rate_limiter.report(now_ms)
        is_changed = report.charged_tokens != self._last_sent
        if (
            not is_changed
            and now_ms - self._last_sent_at_ms < CHARGE_REPEAT_INTERVAL_MS
        ):
            return
        self._last_sent_at_ms = now_ms
        self._last_sent = report.charged_tokens
        message = MeterState(
            self._node,
            report.incarnation,
            report.charged_tokens,
            is_leaving,
            int(report.age_ms),
            report.levels,
            *self._known_version(now_ms),
        )
        for member in present:
            self._gossip.send(message, member.address)

    def _known_version(self, now_ms: float) -> tuple[int, int]:
        """Return the version in force, and its age in ms."""
        if self._view.state is None:
            return (-1, 0)
        return self._view.version, int(now_ms - self._view.applied_at_ms)


def _plans_without_loads(
    before: Mapping[str, LoadPlan],
    servers: list[BackendServer],
    *,
    is_scarce: bool,
) -> dict[str, LoadPlan]:
    """Return plans while it isn't known where copies of models are.

    Nothing may be loaded from the weight store; what was known of evictions
    stays.
    """
    if not is_scarce:
        return {}
    return {
        server.instance: dataclasses.replace(
            before.get(server.instance, LoadPlan()),
            may_use_store=False,
            preload=(),
            store_turn='',
            is_scarce=True,
        )
        for server in servers
    }


def _is_due(
    message: RouterState, last_sent: RouterState | None, age_ms: float
) -> bool:
    if last_sent is None or age_ms >= AGENT_REPEAT_INTERVAL_MS:
        return True
    if _load_request_keys(message.load_requests) != _load_request_keys(
        last_sent.load_requests
    ):
        return True
    if message.may_use_store != last_sent.may_use_store:
        return True
    if message.store_turn != last_sent.store_turn:
        return True
    needs_update = (
        bool(message.load_requests) or message.running != last_sent.running
    )
    return needs_update and age_ms >= MIN_AGENT_INTERVAL_MS


def _load_request_keys(
    load_requests: tuple[LoadRequest, ...],
) -> set[tuple[str, str]]:
    return {(request.model, request.adapter) for request in load_requests}
