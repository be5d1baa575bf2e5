"""Choice of a server for a request, or of a runner to load its model.

Costs and penalties are delays in ms, so that they can be added up.
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from lagoonflow.backends.candidates import (
    is_list_outdated,
    pause_left_ms,
    usable_servers,
)
from lagoonflow.backends.connections import connection_wait_ms
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.server_costs import (
    BATCHED_REQUEST_MS,
    PLAIN_FULL_MS,
    PLAIN_WORK_MS,
    ServerCosts,
)
from lagoonflow.backends.wake_costs import (
    NO_CANDIDATES,
    blocking_penalty_ms,
    eviction_penalty_ms,
    is_load_pending,
    rejection_delay_ms,
    tie_break_ms,
    wake_candidates,
    wake_time_ms,
)
from lagoonflow.declared.messages import EngineSpec, Service
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.relay.messages import Call
from lagoonflow.waking.copies import (
    find_held,
    load_time_ms,
    rendezvous_weight,
)
from lagoonflow.waking.eviction import store_only_models
from lagoonflow.waking.fleet_copies import FleetCopies, count_copies
from lagoonflow.waking.store_queue import StoreQueue, store_queue
from lagoonflow.waking.store_turns import store_turns

# An adapter is loaded in about this time.
ADAPTER_LOAD_MS = 20
# The runner that was already asked to load the model is preferred by this much,
# so that small differences of cost do not move the load elsewhere.
SAME_TARGET_MS = 400
# A request joins a pending load unless another one is ready this much sooner.
JOIN_LOAD_MS = 1000
# Callers return after this time when all servers are in evacuated zones. It isn't
# known when operators cancel the evacuation.
EVACUATED_RETRY_MS = 1000
# Another replica of a model is loaded when that saves at least this much.
WAKE_GAIN_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a server now.

    :param cost_ms: estimated cost of the server.
    :param prefill_tokens: prompt tokens that the server has not cached and
        must prefill.
    :param wait_ms: time until the server's bounds allow the request.
    :param work_ms: predicted time until the answer begins at a server of
        normal speed without a queue, up to a factor of the model or route.
    :param is_queued: the request probably has to wait for a place there first.
    :param step_ms: cost that one more request adds there.
    :param unseen: requests that other routers with the same knowledge have
        probably sent there since; always 0 where load isn't evened.
    """

    server: BackendServer
    cost_ms: float
    prefill_tokens: int = 0
    wait_ms: float = 0
    work_ms: float = 0
    is_queued: bool = False
    step_ms: float = 0
    unseen: float = 0


class SendPicker(Protocol):
    """Chooses among servers that a request can be sent to."""

    def pick(self, sends: Sequence[Send], now_ms: float) -> Send:
        """Return one of the servers; there is at least one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """Ask a runner to load the model or adapter, and wait for it.

    :param ready_in_ms: time until the request can be answered there.
    :param rank_ms: the same with penalties, for comparing runners.
    :param is_load_pending: its agent is loading the model or plans to.
    :param is_from_store: the runner has no copy of the model, which must be
        loaded from the weight store.
    :param store_place: number of models whose loads from the weight store
        come before; ``None`` if the load doesn't wait for its turn there.
    """

    server: BackendServer
    ready_in_ms: float
    rank_ms: float
    is_load_pending: bool = False
    is_from_store: bool = False
    store_place: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NoServer:
    """No server can take the request.

    :param reason: one sentence that the caller is shown.
    :param may_change: waiting may help: agents that could load the model have
        not sent their state yet, or a runner is just unloading it.
    :param retry_after_ms: when a server takes requests again, in ms; 0 when
        unknown.
    """

    reason: str
    may_change: bool = False
    retry_after_ms: float = 0


Choice = Send | Wake | NoServer


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request requires of a server, and its earlier sends.

    :param excluded: servers that have failed the request.
    :param rejecting: servers that rejected it, as they are unloading its model.
    :param load_target: server that was asked to load its model; empty for
        none.
    :param software_version: version that the server must have; ``None`` for
        any.
    """

    call: Call
    service: Service
    excluded: frozenset[str] = frozenset()
    rejecting: frozenset[str] = frozenset()
    load_target: str = ''
    software_version: str | None = None

    def allows(self, server: BackendServer) -> bool:
        """Return whether the request may be sent to a server."""
        is_version_allowed = self.software_version in {
            None,
            server.software_version,
        }
        return is_version_allowed and server.instance not in self.excluded


@dataclasses.dataclass(frozen=True, slots=True)
class _ChoiceContext:
    """Values that are the same for all servers of one choice.

    :param candidates: runners that may load the model.
    :param queue: loads from the weight store that come before another one.
    :param prompt_keys: cache keys of the parts of the request's prompt.
    :param copies: copies at all runners; ``None`` where most models fit them.
    """

    requirements: Requirements
    engine: EngineSpec
    candidates: frozenset[str]
    queue: StoreQueue
    prompt_keys: list[str]
    now_ms: float
    copies: FleetCopies | None = None


class Chooser:
    """Compares servers by the estimated time until a request is answered.

    :param fleet: what the router knows about the servers.
    :param zone: availability zone of this router.
    :param node: name of this router. Routers hear of each other's requests
        late, so each prefers another one of equally good servers.
    :param even_load: chooses among servers of nearly the same cost, for
        services whose load is evened.
    """

    def __init__(
        self,
        fleet: Fleet,
        zone: str,
        node: str = '',
        even_load: SendPicker | None = None,
    ) -> None:
        """Choose among the servers of a fleet."""
        self._even_load = even_load
        self._fleet = fleet
        self._costs = ServerCosts(fleet, zone)
        self._preference = rendezvous_weight(node)

    def choose(self, requirements: Requirements, now_ms: float) -> Choice:
        """Return the server to send to, or a runner that is to load the model.

        Returns ``NoServer`` when there is neither.
        """
        servers = [
            server
            for server in usable_servers(
                self._fleet, requirements.service.name, now_ms
            )
            if requirements.allows(server)
        ]
        if not servers:
            return self._without_usable_servers(requirements, now_ms)
        pauses_ms = {
            server.instance: pause_left_ms(self._fleet, server, now_ms)
            for server in servers
        }
        servers = [one for one in servers if not pauses_ms[one.instance]]
        if not servers:
            return NoServer(
                'all backend servers asked for a pause',
                retry_after_ms=min(pauses_ms.values()),
            )
        servers = [
            one
            for one in servers
            if self._limit_wait_ms(requirements, one, now_ms) < float('inf')
        ]
        if not servers:
            return NoServer('other routers use the servers with bounds')
        engine = requirements.service.engine
        if engine is None or not requirements.call.model:
            return self._choose_plain(requirements, servers, now_ms)
        if requirements.call.model not in engine.models:
            return NoServer('the model is not declared')
        return self._choose_runner(requirements, engine, servers, now_ms)

    def prompt_keys(self, call: Call) -> list[str]:
        """Return the cache keys of a call's prompt parts.

        The same part is cached separately for each model and adapter.
        """
        prefix = f'{call.model}/{call.adapter}'
        return [f'{prefix}/{part.part_id}' for part in call.prompt]

    def _choose_plain(
        self,
        requirements: Requirements,
        servers: list[BackendServer],
        now_ms: float,
    ) -> Choice:
        sends: list[Send] = []
        for server in servers:
            wait_ms = self._limit_wait_ms(requirements, server, now_ms)
            cost_ms = wait_ms + self._costs.plain_ms(server, now_ms)
            send = Send(
                server,
                cost_ms,
                wait_ms=wait_ms,
                work_ms=PLAIN_WORK_MS,
                is_queued=self._costs.is_queued(server, server.slots, now_ms),
            )
            step_ms = PLAIN_FULL_MS / max(server.slots, 1)
            sends.append(self._with_uncertainty(send, step_ms, now_ms))
        return self._pick(requirements.service, sends, now_ms)

    def _pick(
        self, service: Service, sends: list[Send], now_ms: float
    ) -> Send | None:
        if not sends:
            return None
        if self._even_load is None or not self._fleet.evened.covers(
            service.name
        ):
            return min(sends, key=self._send_rank)
        return self._even_load.pick(sends, now_ms)

    def _with_uncertainty(
        self, send: Send, step_ms: float, now_ms: float
    ) -> Send:
        """Add what the choice among nearly equal servers needs."""
        if not self._fleet.evened.covers(send.server.service):
            return send
        unseen = self._fleet.evened.others(send.server, now_ms).unseen
        factor = self._fleet.speeds.time_factor(send.server, now_ms)
        return dataclasses.replace(
            send, step_ms=step_ms * factor, unseen=unseen
        )

    def _without_usable_servers(
        self, requirements: Requirements, now_ms: float
    ) -> NoServer:
        evacuations = self._fleet.evacuations
        if is_list_outdated(self._fleet, now_ms):
            return NoServer(
                'it is not known which servers have left', may_change=True
            )
        if evacuations.is_outdated(now_ms):
            return NoServer(
                'it is not known which zones are evacuated', may_change=True
            )
        if any(
            requirements.allows(server)
            and evacuations.is_evacuated(server.zone)
            for server in self._fleet.roster.usable(requirements.service.name)
        ):
            return NoServer(
                'the zones of all backend servers are evacuated',
                retry_after_ms=EVACUATED_RETRY_MS,
            )
        return NoServer('no backend server is available')

    def _send_rank(self, send: Send) -> tuple[float, int]:
        return send.cost_ms, self._preference(send.server.instance)

    def _limit_wait_ms(
        self, requirements: Requirements, server: BackendServer, now_ms: float
    ) -> float:
        """Return the time until a server's bounds allow the request."""
        instance = server.instance
        call_id = id(requirements.call)
        limit_wait_ms = max(
            self._fleet.limits.wait_ms(
                instance, server.started_ms, call_id, now_ms
            ),
            self._fleet.cold.wait_ms(instance, call_id, now_ms),
        )
        body_bytes = len(requirements.call.body)
        room_wait_ms = self._fleet.held_bytes.wait_ms(
            instance, body_bytes, now_ms
        )
        connection_wait = connection_wait_ms(
            requirements.service, self._fleet.held_bytes.call_count(instance)
        )
        return max(limit_wait_ms, room_wait_ms, connection_wait)

    def _choose_runner(
        self,
        requirements: Requirements,
        engine: EngineSpec,
        servers: list[BackendServer],
        now_ms: float,
    ) -> Choice:
        states = self._fleet.agents_that_can_order(servers, now_ms)
        candidates = wake_candidates(requirements.call.model, engine, states)
        knows_copies = self._fleet.knows_copies(servers, states, now_ms)
        if not (candidates.has_copy_or_load or knows_copies):
            candidates = NO_CANDIDATES
        context = _ChoiceContext(
            requirements,
            engine,
            candidates.instances,
            store_queue(states),
            self.prompt_keys(requirements.call),
            now_ms,
            self._scarce_copies(requirements.service, states, now_ms),
        )
        choices = [self._evaluate(context, server) for server in servers]
        send = self._pick(
            requirements.service,
            [one for one in choices if isinstance(one, Send)],
            now_ms,
        )
        wake = min(
            (one for one in choices if isinstance(one, Wake)),
            key=_wake_rank,
            default=None,
        )
        if send is not None and (
            wake is None or not _is_worth_waking(wake, send)
        ):
            return send
        return wake or NoServer(
            'no runner can load the model',
            may_change=not knows_copies or bool(requirements.rejecting),
        )

    def _scarce_copies(
        self, service: Service, states: dict[str, AgentState], now_ms: float
    ) -> FleetCopies | None:
        is_scarce = service.engine is not None and (
            self._fleet.scarcity.is_scarce(service.name, service.engine, now_ms)
        )
        if not is_scarce:
            return None
        lost = self._fleet.lost_loads.of_others(states, now_ms)
        return count_copies(states, lost)

    def _evaluate(
        self, context: _ChoiceContext, server: BackendServer
    ) -> Send | Wake | None:
        """Return how a server could take the request; ``None`` if it can't."""
        call = context.requirements.call
        now_ms = context.now_ms
        state = self._fleet.agent(server, now_ms)
        if state is not None and state.is_down:
            return None
        held = find_held(self._fleet.held_models(server, now_ms), call.model)
        may_send = held is not None and _holds_all(held, call)
        if not may_send and server.instance not in context.candidates:
            return None
        prefill_tokens = self._prefill_tokens(context, server)
        cost_ms = self._costs.runner_ms(
            server, context.engine.slots, prefill_tokens, now_ms
        )
        wait_ms = self._limit_wait_ms(context.requirements, server, now_ms)
        cost_ms += wait_ms
        if may_send:
            if server.instance in context.requirements.rejecting:
                return None
            return self._with_uncertainty(
                Send(
                    server,
                    cost_ms + self._costs.penalty_ms(server, now_ms),
                    prefill_tokens,
                    wait_ms,
                    self._costs.runner_work_ms(server, prefill_tokens, now_ms),
                    self._costs.is_queued(server, context.engine.slots, now_ms),
                ),
                BATCHED_REQUEST_MS,
                now_ms,
            )
        if state is None or not state.can_order:
            return None
        if held is None:
            return self._evaluate_wake(context, server, state, cost_ms)
        # A runner accepts no order while it carries out another one.
        ready_ms = cost_ms + state.order_ready_in_ms + ADAPTER_LOAD_MS
        ready_ms += rejection_delay_ms(state, call)
        return Wake(
            server, ready_ms, ready_ms + self._costs.penalty_ms(server, now_ms)
        )

    def _evaluate_wake(
        self,
        context: _ChoiceContext,
        server: BackendServer,
        state: AgentState,
        cost_ms: float,
    ) -> Wake | None:
        if context.copies is not None:
            return self._evaluate_scarce_wake(
                context, context.copies, server, state, cost_ms
            )
        call = context.requirements.call
        model = context.engine.models[call.model]
        load_ms, is_from_store = load_time_ms(model, state)
        ready_ms = cost_ms + wake_time_ms(model, context.engine, state)
        ready_ms += rejection_delay_ms(state, call)
        if is_from_store and state.loading != model.name:
            ready_ms += context.queue.queue_ms(server.instance, state, load_ms)
        rank_ms = ready_ms + self._costs.penalty_ms(server, context.now_ms)
        rank_ms += eviction_penalty_ms(model, context.engine, state)
        rank_ms += blocking_penalty_ms(state, load_ms)
        rank_ms += tie_break_ms(model.name, server.instance)
        if context.requirements.load_target == server.instance:
            rank_ms -= SAME_TARGET_MS
        return Wake(
            server,
            ready_ms,
            rank_ms,
            is_load_pending(state, model.name),
            is_from_store,
        )

    def _evaluate_scarce_wake(
        self,
        context: _ChoiceContext,
        copies: FleetCopies,
        server: BackendServer,
        state: AgentState,
        cost_ms: float,
    ) -> Wake | None:
        """Return when a runner could hold a model, where most don't fit.

        Loads from the weight store wait for their turn. A model that any
        runner has a copy of is loaded from there.
        """
        model = context.engine.models[context.requirements.call.model]
        load_ms, is_from_store = load_time_ms(model, state)
        store_only = store_only_models(server.instance, copies)
        needs_turn = is_from_store and state.loading != model.name
        if needs_turn and copies.counts[model.name]:
            return None
        store_place = None
        if needs_turn:
            turns = store_turns(context.engine, copies)
            store_place = turns.place(model.name)
            ready_ms = cost_ms + turns.ready_in_ms(model.name)
        else:
            ready_ms = cost_ms + wake_time_ms(
                model, context.engine, state, store_only
            )
            ready_ms += rejection_delay_ms(state, context.requirements.call)
        rank_ms = ready_ms + self._costs.penalty_ms(server, context.now_ms)
        rank_ms += eviction_penalty_ms(model, context.engine, state, store_only)
        rank_ms += blocking_penalty_ms(state, load_ms)
        rank_ms += tie_break_ms(model.name, server.instance)
        if context.requirements.load_target == server.instance:
            rank_ms -= SAME_TARGET_MS
        return Wake(
            server,
            ready_ms,
            rank_ms,
            is_load_pending(state, model.name),
            is_from_store,
            store_place,
        )

    def _prefill_tokens(
        self, context: _ChoiceContext, server: BackendServer
    ) -> int:
        cached = self._fleet.prompts.count_cached(
            server.instance, context.prompt_keys
        )
        return sum(
            part.tokens for part in context.requirements.call.prompt[cached:]
        )


def _holds_all(held: HeldModelState, call: Call) -> bool:
    """Return whether a held model has the adapter of a call, if any."""
    return not call.adapter or call.adapter in held.adapters


def _is_worth_waking(wake: Wake, send: Send) -> bool:
    """Return whether loading another replica saves enough time."""
    return wake.rank_ms + WAKE_GAIN_MS < send.cost_ms


def _wake_rank(wake: Wake) -> tuple[float, str]:
    joined_ms = JOIN_LOAD_MS if wake.is_load_pending else 0
    return wake.rank_ms - joined_ms, wake.server.instance
