"""What a router knows about the backend servers, from all its sources."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from lagoonflow.backends.availability import Availability
from lagoonflow.backends.cold import ColdServers
from lagoonflow.backends.evacuations import ZoneEvacuations
from lagoonflow.backends.evened_loads import EvenedLoads
from lagoonflow.backends.health import ServerHealth
from lagoonflow.backends.held_bytes import HeldBytes
from lagoonflow.backends.limits import LimitStatement, RequestLimits
from lagoonflow.backends.liveness import HostLiveness
from lagoonflow.backends.load_reports import MalformedReports
from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.prompts import PromptCaches
from lagoonflow.backends.rates import DemandRates
from lagoonflow.backends.roster import BackendRoster
from lagoonflow.backends.speeds import ServerSpeeds
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.relay.messages import ServerLoad
from lagoonflow.waking.scarcity import ScarcityDetector
from lagoonflow.waking.store_loads import LostLoads

# An agent's state is used for this long after it arrived.
AGENT_FRESH_MS = 2500
# Servers that are no longer listed, and of which something is still known.
MAX_GONE_SERVERS = 256
# An agent sends its first state within this time after its runner was listed;
# the router does not wait longer for it.
AGENT_ARRIVAL_MS = 2000
# A load that a server reported is used for this long.
LOAD_FRESH_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    """Base of received reports, with the boot time of their arrival."""

    received_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedAgentState(_Received):
    """An agent's state and when it arrived."""

    state: AgentState


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedLoad(_Received):
    """A server's reported load and when it arrived."""

    load: ServerLoad


class Fleet:
    """Backend servers with the models that they hold and their load.

    :ivar demand: rates of the calls that this router has admitted.
    :ivar prompts: prompt parts that each server has probably cached.
    :ivar liveness: when each host was last heard from.
    :ivar availability: servers that are leaving or asked for a pause.
    :ivar limits: servers that take a limited number of requests per second.
    :ivar cold: servers that tolerate only a low request rate for now.
    :ivar evacuations: zones whose servers must get no requests.
    :ivar speeds: how fast each server works.
    :ivar malformed_reports: counts load reports that could not be read.
    :ivar evened: estimates for services whose load is evened.
    :ivar scarcity: whether most models of a service don't fit its runners.
    :ivar lost_loads: loads from the weight store at runners that fell silent.
    :ivar held_bytes: bytes of requests that servers hold.
    """

    def __init__(
        self,
        evacuations: ZoneEvacuations | None = None,
        cold: ColdServers | None = None,
        evened: EvenedLoads | None = None,
        liveness: HostLiveness | None = None,
        roster: BackendRoster | None = None,
    ) -> None:
        """Start without servers, with the given rules or the defaults."""
        self.roster = roster or BackendRoster()
        self.demand = DemandRates()
        self._health: dict[str, ServerHealth] = {}
        self._agents: dict[str, _ReceivedAgentState] = {}
        self._loads: dict[str, _ReceivedLoad] = {}
        self._running: dict[str, collections.Counter[str]] = {}
        self._sends: dict[str, collections.deque[float]] = {}
        self._prefill_tokens: collections.Counter[str] = collections.Counter()
        self.prompts = PromptCaches()
        self.liveness = liveness or HostLiveness()
        self.availability = Availability()
        self.limits = RequestLimits()
        self.evacuations = evacuations or ZoneEvacuations()
        self.cold = cold or ColdServers()
        self.speeds = ServerSpeeds()
        self.malformed_reports = MalformedReports()
        self.evened = evened or EvenedLoads()
        self.scarcity = ScarcityDetector()
        self.lost_loads = LostLoads()
        self.held_bytes = HeldBytes()

    # Updates.

    def observe_agent(self, state: AgentState, now_ms: float) -> bool:
        """Record an agent's state.

        :return: whether a change in it may matter to waiting calls.
        """
        if state.is_leaving:
            self.availability.note_leaving(
                state.instance, state.runner_started_ms
            )
        if state.limit_per_s >= 0:
            self.limits.hear(
                LimitStatement(
                    state.instance,
                    state.runner_started_ms,
                    state.limit_per_s,
                    now_ms,
                )
            )
        instance, started_ms = state.instance, state.runner_started_ms
        self.cold.note_start(instance, started_ms, now_ms)
        self.cold.hear(instance, started_ms, state.cold_for_ms, now_ms)
        before = self._agents.get(state.instance)
        if state.is_stopping:
            # From now on its silence does not mean that the host has failed.
            self._agents.pop(state.instance, None)
            self.liveness.forget_agent(state.instance)
            return before is not None
        self.liveness.note_agent_message(state.instance, now_ms)
        self.speeds.note_work_time(
            self.roster.get(state.instance), state.work_time_percent, now_ms
        )
        self._agents[state.instance] = _ReceivedAgentState(now_ms, state)
        self.evened.observe(
            self.roster.get(state.instance),
            state.active + state.queued,
            now_ms,
            is_shared=True,
        )
        return before is None or _watched_fields(
            before.state
        ) != _watched_fields(state)

    def note_load(self, instance: str, load: ServerLoad, now_ms: float) -> None:
        """Record the load that a server reported in an answer."""
        self._loads[instance] = _ReceivedLoad(now_ms, load)
        server = self.roster.get(instance)
        self.speeds.note_work_time(server, load.work_time_percent, now_ms)
        if load.work_time_percent is not None:
            self.evened.include(server)
        self.evened.observe(
            server, load.running + load.waiting, now_ms, is_shared=False
        )

    def begin_request(
        self,
        instance: str,
        full_name: str,
        now_ms: float,
        prefill_tokens: int = 0,
    ) -> None:
        """Count a request that is being sent.

        :param full_name: model, with its adapter after a slash.
        :param prefill_tokens: prompt tokens that the server must prefill.
        """
        self._prefill_tokens[instance] += prefill_tokens
        self.health(instance).inflight += 1
        self.evened.begin(instance)
        counter = self._running.setdefault(instance, collections.Counter())
        counter[full_name] += 1
        self._sends.setdefault(instance, collections.deque(maxlen=128)).append(
            now_ms
        )

    def note_prefilled(self, instance: str, prefill_tokens: int) -> None:
        """Subtract prompt tokens that are prefilled or no longer wanted."""
        self._prefill_tokens[instance] -= prefill_tokens

    def end_request(self, instance: str, full_name: str) -> None:
        """Stop counting a request that has ended."""
        self.health(instance).inflight -= 1
        self.evened.end(instance)
        counter = self._running.get(instance)
        if counter is not None:
            counter[full_name] -= 1
            if counter[full_name] <= 0:
                counter.pop(full_name)

    def forget(self, instances: list[str]) -> None:
        """Drop the reports and sends of servers that were removed.

        Health records and the counts of prompt tokens to prefill are kept for
        servers that return, and so are reports that still arrive, of a bounded
        number of servers.
        """
        long_gone = _long_gone(self.roster, self._health, self._agents)
        instances = [*instances, *long_gone]
        for instance in long_gone:
            self._health.pop(instance, None)
            self._prefill_tokens.pop(instance, None)
        for instance in instances:
            for table in (
                self._agents,
                self._loads,
                self._running,
                self._sends,
            ):
                table.pop(instance, None)
            self.evened.estimates.forget(instance)
            self.prompts.forget(instance)
            self.liveness.forget(instance)
        self.limits.forget(instances)
        self.speeds.forget(instances)
        self.malformed_reports.forget(instances)
        self.held_bytes.forget(instances)

    # Queries.

    def health(self, instance: str) -> ServerHealth:
        """Return the health record of a server; created on first use."""
        return self._health.setdefault(instance, ServerHealth())

    def agent(self, server: BackendServer, now_ms: float) -> AgentState | None:
        """Return the state of a server's agent, or ``None`` if it is old."""
        latest = self._agents.get(server.instance)
        if latest is None or now_ms - latest.received_ms > AGENT_FRESH_MS:
            return None
        return latest.state

    def agents_that_can_order(
        self, servers: list[BackendServer], now_ms: float
    ) -> dict[str, AgentState]:
        """Return the states of agents that can send orders, by instance."""
        states = {
            server.instance: self.agent(server, now_ms) for server in servers
        }
        return {
            instance: state
            for instance, state in states.items()
            if state is not None and state.can_order
        }

    def knows_copies(
        self,
        servers: list[BackendServer],
        agents_that_can_order: Mapping[str, AgentState],
        now_ms: float,
    ) -> bool:
        """Return whether it is known which runners have copies of models.

        Right after a start of the router most agents have not sent their
        state yet, and it looks as if no runner had a copy.

        :param agents_that_can_order: agents of these servers that can send
            orders, by instance.
        """
        return all(
            server.instance in agents_that_can_order
            or self.roster.listed_for_ms(server.instance, now_ms)
            > AGENT_ARRIVAL_MS
            for server in servers
        )

    def held_models(
        self, server: BackendServer, now_ms: float
    ) -> tuple[HeldModelState, ...]:
        """Return the models that a server holds.

        They come from its agent's state or, if that is old, from its entry in
        the listing of servers.
        """
        state = self.agent(server, now_ms)
        if state is not None:
            return state.held
        return tuple(
            HeldModelState(model.name, tuple(model.adapters))
            for model in server.models
        )

    def outstanding_requests(
        self, server: BackendServer, now_ms: float
    ) -> float:
        """Estimate how many requests run or wait at a server.

        Based on the latest report of its agent or, without one, of itself,
        plus what this router has sent since; at least this router's own
        requests in flight. A report of the server itself counts less with age.
        Where load is evened, ``evened`` predicts it instead.
        """
        inflight = self.health(server.instance).inflight
        if self.evened.covers(server.service):
            return inflight + self.evened.others(server, now_ms).requests
        latest = self._agents.get(server.instance)
        if latest is not None and now_ms - latest.received_ms < AGENT_FRESH_MS:
            reported_count = latest.state.active + latest.state.queued
            return max(
                reported_count + self._sent_since(server, latest.received_ms),
                inflight,
            )
        reported = self._loads.get(server.instance)
        if (
            reported is not None
            and now_ms - reported.received_ms < LOAD_FRESH_MS
        ):
            load = reported.load
            fresh = 1 - (now_ms - reported.received_ms) / LOAD_FRESH_MS
            reported_count = (load.running + load.waiting) * fresh
            return max(
                reported_count + self._sent_since(server, reported.received_ms),
                inflight,
            )
        return inflight

    def prefill_tokens(self, server: BackendServer, now_ms: float) -> float:
        """Estimate the prompt tokens that wait for prefill at a server.

        This router's own tokens are multiplied by the ratio of all requests
        at the server to its own ones, as prompts from other routers wait too.
        """
        own = self._prefill_tokens[server.instance]
        inflight = max(self.health(server.instance).inflight, 1)
        return own * max(
            self.outstanding_requests(server, now_ms) / inflight, 1
        )

    def running_requests(self, instance: str) -> dict[str, int]:
        """Return how many requests of this router run at a server.

        The keys are models, with the adapter after a slash.
        """
        return dict(self._running.get(instance, {}))

    def _sent_since(self, server: BackendServer, received_ms: float) -> int:
        sends = self._sends.get(server.instance, ())
        return sum(sent_ms > received_ms for sent_ms in sends)


def _watched_fields(state: AgentState) -> list[object]:
    """Return the parts of a state whose change makes waiting calls recheck."""
    held = {(one.name, one.adapters) for one in state.held}
    return [
        held,
        state.loading,
        state.planned,
        state.load_rejections,
        state.is_down,
        state.is_leaving,
    ]


def _long_gone(
    roster: BackendRoster,
    health: Mapping[str, ServerHealth],
    heard: Iterable[str],
) -> list[str]:
    """Return the unlisted servers without requests, except the newest.

    :param health: records of servers that were sent requests.
    :param heard: servers whose agents were heard.
    """
    gone = [
        instance
        for instance in dict.fromkeys((*health, *heard))
        if roster.get(instance) is None
        and not (instance in health and health[instance].inflight)
    ]
    return gone[:-MAX_GONE_SERVERS]
