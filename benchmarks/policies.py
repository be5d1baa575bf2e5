"""Placement policies under the virtual clock: lagoonflow and two baselines."""

import dataclasses
import itertools
from random import Random

from benchmarks.virtual import Engine, Store
from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    Generation,
    Usage,
)
from lagoonflow.placement.actions import (
    ReplyToLocate,
    SendBidRequest,
    SendDecision,
)
from lagoonflow.placement.cache import LocationCache
from lagoonflow.placement.home import HomeState
from lagoonflow.placement.messages import LoadFinished, LocateRequest, Target
from lagoonflow.placement.permits import StorePermits, StoreSettings
from lagoonflow.placement.settings import HomeSettings
from lagoonflow.runners import messages as actions
from lagoonflow.runners.engine_messages import EngineState
from lagoonflow.runners.messages import AdapterKey, ReplicaKey
from lagoonflow.runners.settings import RunnerSettings
from lagoonflow.runners.state import RunnerState
from lagoonflow.streams.messages import Versions

# One-way delay of a message between processes.
HOP_MS = 1
FIXED_KEEP_ALIVE_MS = 60_000
REPORT_DELAY_MS = 500


class Policy:
    """Base class with the engines, the weight store and the results.

    ``results`` holds a pair for each request: the call, and the time from its
    arrival to its first token in ms, or None if it was refused. A subclass
    defines ``route``, which sends a call to a runner.
    """

    def __init__(self, clock, workload, seed):
        self.clock = clock
        self.workload = workload
        self.sizes = workload.sizes
        self.random = Random(seed)
        sizes = workload.sizes
        self.store = Store(
            clock, sizes.store_rate_per_s, sizes.store_parallel, sizes.fetch_ms
        )
        self.engines = {
            f'agent-{number}': Engine(
                clock, self.store, sizes, checkpoints, f'agent-{number}'
            )
            for number, checkpoints in enumerate(workload.checkpoints)
        }
        self.results = []
        self.start()

    def start(self):
        """Set up the state that only this policy has."""

    def on_arrival(self, arrival):
        """Route a request that has just arrived at its router."""
        is_cold = not any(
            engine.is_ready(arrival.model, arrival.adapter)
            for engine in self.engines.values()
        )
        self.route(Call(arrival, is_cold))

    def record_first_token(self, call, first_ms):
        """Record the time to the first token of a call.

        :param first_ms: time from now to the first token.
        """
        first_token_ms = self.clock.now_ms + first_ms - call.arrival.at_ms
        self.results.append((call, first_token_ms))

    def record_refusal(self, call):
        """Record that a call was refused."""
        self.results.append((call, None))


@dataclasses.dataclass(eq=False)
class Call:
    """A request that has not been answered yet.

    :param is_cold: whether no engine had its target ready on arrival.
    :param attempts: how often it has been routed.
    :param stale_agents: agents that refused it, for the next lookup.
    """

    arrival: object
    is_cold: bool
    attempts: int = 0
    stale_agents: tuple = ()

    @property
    def deadline_in_ms(self):
        """Time from arrival by which the first token is due."""
        return self.arrival.deadline_ms


class FifoRunner:
    """A runner of the baselines with a first-in first-out queue.

    It loads whatever model the queued calls need.
    """

    def __init__(self, policy, engine):
        self.policy = policy
        self.engine = engine
        self.queue = []
        self.report = 0
        engine.on_change = self.start_queued

    def submit(self, call):
        """Queue a call and start what can be started."""
        self.queue.append(call)
        self.start_queued()

    def start_queued(self):
        """Start queued calls, load what they need and refuse expired ones."""
        now_ms = self.policy.clock.now_ms
        deadline_ms = self.policy.sizes.deadline_ms
        for call in tuple(self.queue):
            if now_ms > call.arrival.at_ms + deadline_ms:
                self.queue.remove(call)
                self.policy.record_refusal(call)
            elif self.engine.running >= self.policy.sizes.batch:
                return
            elif self.engine.is_ready(call.arrival.model, call.arrival.adapter):
                self.queue.remove(call)
                self._start(call)
            else:
                self._load(call)

    def unload_idle(self):
        """Unload replicas that were idle longer than the fixed keep-alive."""
        for key, entry in tuple(self.engine.replicas.items()):
            idle_ms = self.policy.clock.now_ms - entry.last_used_ms
            if self._is_idle(key, entry) and idle_ms > FIXED_KEEP_ALIVE_MS:
                self.engine.unload(key)

    def _start(self, call):
        key = ReplicaKey(call.arrival.model, '1')
        first_ms = self.engine.generate(
            key, call.arrival.tokens, self._finished
        )
        self.policy.record_first_token(call, first_ms)

    def _finished(self, _first_ms, _took_ms):
        self.start_queued()

    def _load(self, call):
        key = ReplicaKey(call.arrival.model, '1')
        memory_mb = self.policy.workload.models[key.model].memory_mb
        if key not in self.engine.replicas:
            if self._free_memory(memory_mb):
                self.engine.load(key, memory_mb)
        elif (
            call.arrival.adapter
            and self.engine.is_ready(key.model)
            and self._free_memory(100)
        ):
            adapter = AdapterKey(key, call.arrival.adapter, '1')
            self.engine.load_adapter(adapter, 100)

    def _free_memory(self, memory_mb):
        free_mb = self.policy.sizes.memory_mb - self.engine.used_mb
        idle_replicas = sorted(
            (entry.last_used_ms, key.model, key)
            for key, entry in self.engine.replicas.items()
            if self._is_idle(key, entry)
        )
        while free_mb < memory_mb and idle_replicas:
            self.engine.unload(idle_replicas.pop(0)[2])
            free_mb = self.policy.sizes.memory_mb - self.engine.used_mb
        return free_mb >= memory_mb

    def _is_idle(self, key, entry):
        has_waiting_calls = any(
            call.arrival.model == key.model for call in self.queue
        )
        is_ready = entry.state is EngineState.READY
        return is_ready and not entry.running and not has_waiting_calls


class RandomPolicy(Policy):
    """Each router picks a random runner for a model.

    It keeps to that runner while the model is loaded or loading there.
    """

    name = 'random'

    def start(self):
        self.runners = {
            name: FifoRunner(self, engine)
            for name, engine in self.engines.items()
        }
        self.chosen_agents = {}
        self.clock.call_later(1_000, self.tick)

    def tick(self):
        """Run the periodic work of all runners, once a second."""
        for runner in self.runners.values():
            runner.unload_idle()
            runner.start_queued()
        self.clock.call_later(1_000, self.tick)

    def route(self, call):
        key = (call.arrival.router, call.arrival.model)
        agent = self.chosen_agents.get(key)
        model = call.arrival.model
        if agent is None or not any(
            replica_key.model == model
            for replica_key in self.engines[agent].replicas
        ):
            agent = self.random.choice(list(self.runners))
            self.chosen_agents[key] = agent
        self.clock.call_later(HOP_MS, self.runners[agent].submit, call)


class LeastLoadedPolicy(RandomPolicy):
    """Each router picks the least loaded runner from delayed load reports.

    Runners that have the model loaded are preferred.
    """

    name = 'least_loaded'

    def start(self):
        super().start()
        self.loads = dict.fromkeys(self.runners, 0)
        self.loaded_models = dict.fromkeys(self.runners, frozenset())
        self.collect_reports()

    def collect_reports(self):
        """Collect load reports; they take effect after a delay."""
        loads = {
            name: len(runner.queue) + runner.engine.running
            for name, runner in self.runners.items()
        }
        loaded_models = {
            name: frozenset(key.model for key in engine.replicas)
            for name, engine in self.engines.items()
        }
        self.clock.call_later(
            REPORT_DELAY_MS, self._apply_reports, loads, loaded_models
        )
        self.clock.call_later(REPORT_DELAY_MS / 2, self.collect_reports)

    def route(self, call):
        holders = [
            name
            for name, models in self.loaded_models.items()
            if call.arrival.model in models
        ]
        candidates = holders or list(self.runners)
        self.random.shuffle(candidates)
        agent = min(candidates, key=self.loads.get)
        self.clock.call_later(HOP_MS, self.runners[agent].submit, call)

    def _apply_reports(self, loads, loaded_models):
        self.loads = loads
        self.loaded_models = loaded_models


class LagoonflowPolicy(Policy):
    """The placement of lagoonflow, with homes, bids and run queues."""

    name = 'lagoonflow'

    def start(self):
        self.agent_names = list(self.engines)
        self.request_numbers = itertools.count()
        self.runners = {}
        self.homes = {}
        self.caches = [LocationCache() for _ in range(self.sizes.routers)]
        self.pending_locates = {}
        self.submitted_calls = {}
        self.permits = StorePermits(
            StoreSettings(
                self.sizes.store_rate_per_s, self.sizes.store_parallel
            )
        )
        for name in self.agent_names:
            self._add_agent(name)
        self.clock.call_later(0, self.tick)
        self.clock.call_later(10, self.tick_homes)

    def ranking(self, model):
        """Return all agents in the order of preference as home of a model."""
        random = Random(model)
        return tuple(random.sample(self.agent_names, len(self.agent_names)))

    def tick(self):
        """Run the periodic work of the runners, every 100 ms."""
        for name, state in self.runners.items():
            self.execute(name, state.on_tick(self.clock.now_ms))
            if state.components.has_pending_changes():
                self.poll_listing(name)
        self.clock.call_later(100, self.tick)

    def tick_homes(self):
        """Run the periodic work of the homes and load permits, every 10 ms."""
        now_ms = self.clock.now_ms
        for name, home in self.homes.items():
            self.execute_home(name, home.on_tick(now_ms))
        for reply in self.permits.grant_due(now_ms):
            name = reply.permit_id.split('/')[0]
            runner_actions = self.runners[name].on_permit(now_ms, reply)
            self.execute(name, runner_actions)
        self.clock.call_later(10, self.tick_homes)

    def poll_listing(self, name):
        """Pass the listing of an engine to its runner."""
        now_ms = self.clock.now_ms
        listing = self.engines[name].listing()
        runner_actions = self.runners[name].on_listing(now_ms, listing, now_ms)
        self.execute(name, runner_actions)

    def send_announcement(self, name, models):
        """Announce replicas of some models to the homes of these models."""
        for model in models:
            announcement = self.runners[name].announcement(
                self.clock.now_ms, 'nonce', (model,)
            )
            home = self.ranking(model)[0]
            home_actions = self.homes[home].on_announcement(
                self.clock.now_ms, announcement
            )
            self.execute_home(home, home_actions)

    def send_all_announcements(self, name):
        """Announce all models of a runner, every 3 s."""
        self.send_announcement(
            name, self.runners[name].components.announcements.models()
        )
        self.clock.call_later(3_000, self.send_all_announcements, name)

    def route(self, call):
        now_ms = self.clock.now_ms
        call.attempts += 1
        remaining_ms = call.arrival.at_ms + self.sizes.deadline_ms - now_ms
        if call.attempts > 6 or remaining_ms <= 0:
            self.record_refusal(call)
            return
        cache = self.caches[call.arrival.router]
        model = call.arrival.model
        place = cache.pick(now_ms, model, self.random, call.stale_agents)
        if place is not None:
            cache.on_sent(model, place.agent)
            self.clock.call_later(HOP_MS, self.submit, call, place.agent)
            return
        number = next(self.request_numbers)
        self.pending_locates[number] = call
        request = LocateRequest(
            Target(model, call.arrival.adapter),
            call.arrival.organisation,
            remaining_ms,
            Versions(),
            stale_agents=call.stale_agents,
        )
        self.clock.call_later(HOP_MS, self._deliver_locate, number, request)

    def submit(self, call, agent):
        """Send a call to the runner of an agent."""
        now_ms = self.clock.now_ms
        arrival = call.arrival
        attempt = AttemptId(str(next(self.request_numbers)), call.attempts)
        self.submitted_calls[attempt] = (call, agent)
        request = AttemptRequest(
            attempt,
            'router',
            arrival.organisation,
            'key',
            arrival.at_ms + self.sizes.deadline_ms - now_ms,
            Versions(),
            Generation(arrival.model, arrival.adapter, '', arrival.tokens),
            cost_tokens=arrival.tokens,
        )
        self.execute(agent, self.runners[agent].on_request(now_ms, request))

    def execute(self, name, runner_actions):
        """Execute the actions of a runner."""
        for action in runner_actions:
            match action:
                case actions.StartGeneration():
                    self._generate(name, action)
                case actions.RefuseQueued(attempt=attempt):
                    call, agent = self.submitted_calls.pop(attempt)
                    cache = self.caches[call.arrival.router]
                    cache.on_done(call.arrival.model, agent)
                    cache.remove(call.arrival.model, agent)
                    call.stale_agents = (agent,)
                    self.clock.call_later(HOP_MS, self.route, call)
                case actions.SendPermitRequest(request=request):
                    self.permits.enqueue(self.clock.now_ms, request)
                case actions.SendLoadReport():
                    message = LoadFinished(
                        action.permit_id,
                        name,
                        action.took_ms,
                        action.is_loaded,
                        Versions(),
                        action.memory_mb,
                    )
                    self.permits.on_finished(self.clock.now_ms, message)
                case actions.SendAnnouncement(models=models):
                    self.clock.call_later(
                        HOP_MS, self.send_announcement, name, models
                    )
                case actions.PollListing():
                    self.clock.call_later(HOP_MS, self.poll_listing, name)
                case _:
                    answer = self.engines[name].execute_order(action)
                    self.clock.call_later(
                        HOP_MS, self._deliver_order_answer, name, answer
                    )

    def execute_home(self, name, home_actions):
        """Execute the actions of a home."""
        for action in home_actions:
            match action:
                case ReplyToLocate(request_number=number, reply=reply):
                    self.clock.call_later(
                        HOP_MS, self._deliver_locate_reply, number, reply
                    )
                case SendBidRequest(agent=agent, request=request):
                    self.clock.call_later(
                        HOP_MS, self._request_bid, name, agent, request
                    )
                case SendDecision(decision=decision):
                    self.clock.call_later(
                        HOP_MS, self._deliver_decision, name, decision
                    )

    def _add_agent(self, name):
        settings = RunnerSettings(
            name,
            max_running=self.sizes.batch,
            adapter_room_mb=2_000,
            may_follow_another=False,
        )
        self.runners[name] = RunnerState(
            settings, self.workload, lambda *_key: True
        )
        self.homes[name] = HomeState(
            HomeSettings(name, 'nonce'), self.workload, self.ranking
        )
        engine = self.engines[name]
        engine.on_change = lambda: self.clock.call_later(
            20, self.poll_listing, name
        )
        self.clock.call_later(0, self.poll_listing, name)
        self.clock.call_later(10, self.send_all_announcements, name)

    def _generate(self, name, start):
        attempt = start.request.attempt
        call, _ = self.submitted_calls[attempt]
        first_ms = self.engines[name].generate(
            start.replica, call.arrival.tokens, self._finished, name, attempt
        )
        self.record_first_token(call, first_ms)

    def _finished(self, name, attempt, first_ms, took_ms):
        call, agent = self.submitted_calls.pop(attempt)
        self.caches[call.arrival.router].on_done(call.arrival.model, agent)
        stream_end = actions.StreamEnd(
            attempt, Usage(1, call.arrival.tokens), first_ms, took_ms
        )
        runner_actions = self.runners[name].on_stream_finished(
            self.clock.now_ms, stream_end
        )
        self.execute(name, runner_actions)

    def _deliver_order_answer(self, name, answer):
        runner_actions = self.runners[name].on_order_answer(
            self.clock.now_ms, answer
        )
        self.execute(name, runner_actions)

    def _deliver_locate(self, number, request):
        home = self.ranking(request.target.model)[0]
        home_actions = self.homes[home].on_locate(
            self.clock.now_ms, number, request
        )
        self.execute_home(home, home_actions)

    def _deliver_locate_reply(self, number, reply):
        call = self.pending_locates.pop(number)
        if not reply.places:
            self.record_refusal(call)
            return
        cache = self.caches[call.arrival.router]
        model = call.arrival.model
        cache.store_reply(self.clock.now_ms, model, reply)
        call.stale_agents = ()
        agent = reply.places[0].agent
        cache.on_sent(model, agent)
        self.clock.call_later(HOP_MS, self.submit, call, agent)

    def _request_bid(self, home, agent, request):
        bid = self.runners[agent].on_bid_request(self.clock.now_ms, request)
        if not request.is_withdrawal:
            self.clock.call_later(HOP_MS, self._deliver_bid, home, bid)

    def _deliver_bid(self, home, bid):
        home_actions = self.homes[home].on_bid(self.clock.now_ms, bid)
        self.execute_home(home, home_actions)

    def _deliver_decision(self, home, decision):
        now_ms = self.clock.now_ms
        reply, runner_actions = self.runners[decision.agent].on_decision(
            now_ms, decision
        )
        self.execute(decision.agent, runner_actions)
        self.clock.call_later(HOP_MS, self._deliver_decision_reply, home, reply)

    def _deliver_decision_reply(self, home, reply):
        home_actions = self.homes[home].on_decision_reply(
            self.clock.now_ms, reply
        )
        self.execute_home(home, home_actions)
