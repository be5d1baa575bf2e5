"""What a router knows of the backend servers, from all its sources."""

import collections
import dataclasses
from collections.abc import Mapping

from lagoonflow.backends.health import ServerHealth
from lagoonflow.backends.liveness import HostLiveness
from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.prompts import PromptCaches
from lagoonflow.backends.rates import RequestRates
from lagoonflow.backends.roster import BackendRoster
from lagoonflow.gossip.messages import AgentState, HeldState
from lagoonflow.relay.messages import ServerLoad

# What an agent said is used for this long, in ms.
AGENT_FRESH_MS = 2500
# An agent is heard from within this time after its runner was listed; later
# ones are not waited for, in ms.
AGENT_ARRIVAL_MS = 2000
# A load that a server stated is used for this long, in ms.
LOAD_FRESH_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    received_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedAgentState(_Received):
    """An agent's state and when it came."""

    state: AgentState


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedLoad(_Received):
    """A stated load and when it came."""

    load: ServerLoad


class Fleet:
    """Backend servers with what they hold and how busy they are."""

    def __init__(self) -> None:
        """Start empty."""
        self.roster = BackendRoster()
        self.rates = RequestRates()
        self._health: dict[str, ServerHealth] = {}
        self._agents: dict[str, _ReceivedAgentState] = {}
        self._loads: dict[str, _ReceivedLoad] = {}
        self._running: dict[str, collections.Counter[str]] = {}
        self._sends: dict[str, collections.deque[float]] = {}
        self._prefill: collections.Counter[str] = collections.Counter()
        self.prompts = PromptCaches()
        self.liveness = HostLiveness()

    # Facts.

    def observe_agent(self, state: AgentState, now_ms: float) -> bool:
        """Take an agent's state; tells whether what it holds changed."""
        before = self._agents.get(state.instance)
        if state.is_stopping:
            # Its silence says nothing about the host.
            self._agents.pop(state.instance, None)
            self.liveness.forget_agent(state.instance)
            return before is not None
        self.liveness.note_agent_message(state.instance, now_ms)
        self._agents[state.instance] = _ReceivedAgentState(now_ms, state)
        return before is None or _placement_facts(
            before.state
        ) != _placement_facts(state)

    def note_load(self, instance: str, load: ServerLoad, now_ms: float) -> None:
        """Take the load that a server stated in an answer."""
        self._loads[instance] = _ReceivedLoad(now_ms, load)

    def begin_request(
        self,
        instance: str,
        full_name: str,
        now_ms: float,
        prefill_tokens: int = 0,
    ) -> None:
        """Count a request that is being sent.

        :param name: model, with its adapter after a slash.
        :param unread_tokens: tokens of its prompt that the server must read.
        """
        self._prefill[instance] += prefill_tokens
        self.health(instance).inflight += 1
        counter = self._running.setdefault(instance, collections.Counter())
        counter[full_name] += 1
        self._sends.setdefault(instance, collections.deque(maxlen=128)).append(
            now_ms
        )

    def note_prefilled(self, instance: str, prefill_tokens: int) -> None:
        """Note that a prompt was read, or that its request has ended."""
        self._prefill[instance] -= prefill_tokens

    def end_request(self, instance: str, full_name: str) -> None:
        """Count a request as ended."""
        self.health(instance).inflight -= 1
        counter = self._running.get(instance)
        if counter is not None:
            counter[full_name] -= 1
            if counter[full_name] <= 0:
                counter.pop(full_name)

    def forget(self, instances: list[str]) -> None:
        """Drop what is known of servers that are gone."""
        for instance in instances:
            for observed in (
                self._agents,
                self._loads,
                self._running,
                self._sends,
            ):
                observed.pop(instance, None)
            self.prompts.forget(instance)
            self.liveness.forget(instance)

    # Questions.

    def health(self, instance: str) -> ServerHealth:
        """Return the record of a server's answers."""
        return self._health.setdefault(instance, ServerHealth())

    def agent(self, server: BackendServer, now_ms: float) -> AgentState | None:
        """Return the state of a server's agent when it is fresh."""
        latest = self._agents.get(server.instance)
        if latest is None or now_ms - latest.received_ms > AGENT_FRESH_MS:
            return None
        return latest.state

    def agents_that_can_order(
        self, servers: list[BackendServer], now_ms: float
    ) -> dict[str, AgentState]:
        """Return the states of the agents that can order their runner."""
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
        """Whether it is known where copies of models lie.

        Right after a start most agents have not been heard from, and models
        seem to lie nowhere.

        :param ordering: agents of these servers that can order.
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
        """Return what a server holds, by its agent or by its entry."""
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
        """Requests that are running or waiting at a server."""
        inflight = self.health(server.instance).inflight
        latest = self._agents.get(server.instance)
        if latest is not None and now_ms - latest.received_ms < AGENT_FRESH_MS:
            observed = latest.state.active + latest.state.queued
            return max(
                observed + self._sent_since(server, latest.received_ms),
                inflight,
            )
        reported = self._loads.get(server.instance)
        if (
            reported is not None
            and now_ms - reported.received_ms < LOAD_FRESH_MS
        ):
            load = reported.load
            fresh = 1 - (now_ms - reported.received_ms) / LOAD_FRESH_MS
            observed = (load.running + load.waiting) * fresh
            return max(
                observed + self._sent_since(server, reported.received_ms),
                inflight,
            )
        return inflight

    def prefill_tokens(self, server: BackendServer, now_ms: float) -> float:
        """Prompt tokens that wait to be read, other routers' included."""
        own = self._prefill[server.instance]
        inflight = max(self.health(server.instance).inflight, 1)
        return own * max(
            self.outstanding_requests(server, now_ms) / inflight, 1
        )

    def running_requests(self, instance: str) -> dict[str, int]:
        """This router's requests at a server, by model and adapter."""
        return dict(self._running.get(instance, {}))

    def _sent_since(self, server: BackendServer, received_ms: float) -> int:
        sends = self._sends.get(server.instance, ())
        return sum(sent_ms > received_ms for sent_ms in sends)


def _placement_facts(state: AgentState) -> list[object]:
    """What waiting requests care for."""
    held = {(one.name, one.adapters) for one in state.held}
    return [
        held,
        state.loading,
        state.planned,
        state.load_rejections,
        state.is_down,
    ]
