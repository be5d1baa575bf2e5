"""What a router knows of the backend servers, from all its sources."""

import collections
import dataclasses
from collections.abc import Mapping

from lagoonflow.backends.health import ServerHealth
from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.prompts import PromptParts
from lagoonflow.backends.rates import RequestRates
from lagoonflow.backends.roster import BackendRoster
from lagoonflow.backends.silence import Silence
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.relay.messages import ServerLoad

# What an agent said is used for this long, in ms.
AGENT_FRESH_MS = 2500
# An agent is heard from within this time after its runner was listed; later
# ones are not waited for, in ms.
SETTLING_MS = 2000
# A load that a server stated is used for this long, in ms.
LOAD_FRESH_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Dated:
    at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DatedAgent(_Dated):
    """An agent's state and when it came."""

    state: AgentState


@dataclasses.dataclass(frozen=True, slots=True)
class DatedLoad(_Dated):
    """A stated load and when it came."""

    load: ServerLoad


class Fleet:
    """Backend servers with what they hold and how busy they are."""

    def __init__(self) -> None:
        """Start empty."""
        self.roster = BackendRoster()
        self.rates = RequestRates()
        self._health: dict[str, ServerHealth] = {}
        self._agents: dict[str, DatedAgent] = {}
        self._loads: dict[str, DatedLoad] = {}
        self._running: dict[str, collections.Counter[str]] = {}
        self._sends: dict[str, collections.deque[float]] = {}
        self._unread: collections.Counter[str] = collections.Counter()
        self.prompts = PromptParts()
        self.silence = Silence()

    # Facts.

    def observe_agent(self, state: AgentState, now_ms: float) -> bool:
        """Take an agent's state; tells whether what it holds changed."""
        before = self._agents.get(state.instance)
        if state.is_stopping:
            # Its silence says nothing about the host.
            self._agents.pop(state.instance, None)
            self.silence.forget_agent(state.instance)
            return before is not None
        self.silence.hear_agent(state.instance, now_ms)
        self._agents[state.instance] = DatedAgent(now_ms, state)
        return before is None or _facts(before.state) != _facts(state)

    def note_load(self, instance: str, load: ServerLoad, now_ms: float) -> None:
        """Take the load that a server stated in an answer."""
        self._loads[instance] = DatedLoad(now_ms, load)

    def begin(
        self,
        instance: str,
        name: str,
        now_ms: float,
        unread_tokens: int = 0,
    ) -> None:
        """Count a request that is being sent.

        :param name: model, with its adapter after a slash.
        :param unread_tokens: tokens of its prompt that the server must read.
        """
        self._unread[instance] += unread_tokens
        self.health(instance).inflight += 1
        counter = self._running.setdefault(instance, collections.Counter())
        counter[name] += 1
        self._sends.setdefault(instance, collections.deque(maxlen=128)).append(
            now_ms
        )

    def note_read(self, instance: str, unread_tokens: int) -> None:
        """Note that a prompt was read, or that its request has ended."""
        self._unread[instance] -= unread_tokens

    def end(self, instance: str, name: str) -> None:
        """Count a request as ended."""
        self.health(instance).inflight -= 1
        counter = self._running.get(instance)
        if counter is not None:
            counter[name] -= 1
            if counter[name] <= 0:
                counter.pop(name)

    def forget(self, instances: list[str]) -> None:
        """Drop what is known of servers that are gone."""
        for instance in instances:
            for known in (
                self._agents,
                self._loads,
                self._running,
                self._sends,
            ):
                known.pop(instance, None)
            self.prompts.forget(instance)
            self.silence.forget(instance)

    # Questions.

    def health(self, instance: str) -> ServerHealth:
        """Return the record of a server's answers."""
        return self._health.setdefault(instance, ServerHealth())

    def agent(self, server: BackendServer, now_ms: float) -> AgentState | None:
        """Return the state of a server's agent when it is fresh."""
        dated = self._agents.get(server.instance)
        if dated is None or now_ms - dated.at_ms > AGENT_FRESH_MS:
            return None
        return dated.state

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
            or self.roster.listed_for_ms(server.instance, now_ms) > SETTLING_MS
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

    def pressure(self, server: BackendServer, now_ms: float) -> float:
        """Requests that are running or waiting at a server."""
        inflight = self.health(server.instance).inflight
        dated = self._agents.get(server.instance)
        if dated is not None and now_ms - dated.at_ms < AGENT_FRESH_MS:
            known = dated.state.active + dated.state.queued
            return max(known + self._sent_since(server, dated.at_ms), inflight)
        stated = self._loads.get(server.instance)
        if stated is not None and now_ms - stated.at_ms < LOAD_FRESH_MS:
            load = stated.load
            fresh = 1 - (now_ms - stated.at_ms) / LOAD_FRESH_MS
            known = (load.running + load.waiting) * fresh
            return max(known + self._sent_since(server, stated.at_ms), inflight)
        return inflight

    def unread_tokens(self, server: BackendServer, now_ms: float) -> float:
        """Prompt tokens that wait to be read, other routers' included."""
        own = self._unread[server.instance]
        inflight = max(self.health(server.instance).inflight, 1)
        return own * max(self.pressure(server, now_ms) / inflight, 1)

    def running_requests(self, instance: str) -> dict[str, int]:
        """This router's requests at a server, by model and adapter."""
        return dict(self._running.get(instance, {}))

    def _sent_since(self, server: BackendServer, at_ms: float) -> int:
        sends = self._sends.get(server.instance, ())
        return sum(sent_ms > at_ms for sent_ms in sends)


def _facts(state: AgentState) -> list[object]:
    """What waiting requests care for."""
    held = {(one.name, one.adapters) for one in state.held}
    return [
        held,
        state.loading,
        state.planned,
        state.load_rejections,
        state.is_down,
    ]
