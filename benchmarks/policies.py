"""Policies under the virtual clock: lagoonflow and two baselines."""

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

HOP_MS = 1
FIXED_KEEP_ALIVE_MS = 60_000
REPORT_LAG_MS = 500


class Policy:
    """Common parts: engines, store, and what became of each request."""

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
                clock, self.store, sizes, local, f'agent-{number}'
            )
            for number, local in enumerate(workload.checkpoints)
        }
        self.results = []
        self.start()

    def start(self):
        """Prepare what is the policy's own."""

    def arrive(self, arrival):
        """Take a request at its router."""
        is_cold = not any(
            engine.is_ready(arrival.model, arrival.adapter)
            for engine in self.engines.values()
        )
        self.route(Call(arrival, is_cold))

    def begin(self, call, first_ms):
        """Note when the first token comes."""
        took_ms = self.clock.now_ms + first_ms - call.arrival.at_ms
        self.results.append((call, took_ms))

    def refuse(self, call):
        """Note a refusal."""
        self.results.append((call, None))


@dataclasses.dataclass(eq=False)
class Call:
    """A request on its way."""

    arrival: object
    is_cold: bool
    attempts: int = 0
    stale: tuple = ()

    @property
    def deadline_in_ms(self):
        """Time from the arrival until the answer has to begin."""
        return self.arrival.deadline_ms


class Fifo:
    """A runner of the baselines: loads what is asked, FIFO queue."""

    def __init__(self, policy, engine):
        self.policy = policy
        self.engine = engine
        self.queue = []
        self.report = 0
        engine.on_change = self.progress

    def submit(self, call):
        """Queue a request."""
        self.queue.append(call)
        self.progress()

    def progress(self):
        """Start and load what is possible."""
        now_ms = self.policy.clock.now_ms
        limit_ms = self.policy.sizes.deadline_ms
        for call in tuple(self.queue):
            if now_ms > call.arrival.at_ms + limit_ms:
                self.queue.remove(call)
                self.policy.refuse(call)
            elif self.engine.running >= self.policy.sizes.batch:
                return
            elif self.engine.is_ready(call.arrival.model, call.arrival.adapter):
                self.queue.remove(call)
                self._start(call)
            else:
                self._load(call)

    def unload_idle(self):
        """Unload after a fixed keep-alive."""
        for key, held in tuple(self.engine.replicas.items()):
            idle_ms = self.policy.clock.now_ms - held.last_used_ms
            if self._is_idle(key, held) and idle_ms > FIXED_KEEP_ALIVE_MS:
                self.engine.unload(key)

    def _start(self, call):
        key = ReplicaKey(call.arrival.model, '1')
        first_ms = self.engine.generate(
            key, call.arrival.tokens, self._finished
        )
        self.policy.begin(call, first_ms)

    def _finished(self, _first_ms, _took_ms):
        self.progress()

    def _load(self, call):
        key = ReplicaKey(call.arrival.model, '1')
        memory_mb = self.policy.workload.models[key.model].memory_mb
        if key not in self.engine.replicas:
            if self._make_room(memory_mb):
                self.engine.load(key, memory_mb)
        elif (
            call.arrival.adapter
            and self.engine.is_ready(key.model)
            and self._make_room(100)
        ):
            adapter = AdapterKey(key, call.arrival.adapter, '1')
            self.engine.load_adapter(adapter, 100)

    def _make_room(self, memory_mb):
        free_mb = self.policy.sizes.memory_mb - self.engine.used_mb
        idle = sorted(
            (held.last_used_ms, key.model, key)
            for key, held in self.engine.replicas.items()
            if self._is_idle(key, held)
        )
        while free_mb < memory_mb and idle:
            self.engine.unload(idle.pop(0)[2])
            free_mb = self.policy.sizes.memory_mb - self.engine.used_mb
        return free_mb >= memory_mb

    def _is_idle(self, key, held):
        waiting = any(call.arrival.model == key.model for call in self.queue)
        is_ready = held.state is EngineState.READY
        return is_ready and not held.running and not waiting


class RandomChoice(Policy):
    """Each router chooses a runner at random and remembers it."""

    name = 'random'

    def start(self):
        self.runners = {
            name: Fifo(self, engine) for name, engine in self.engines.items()
        }
        self.known = {}
        self.clock.after(1_000, self.tick)

    def tick(self):
        """Do what is due each second."""
        for runner in self.runners.values():
            runner.unload_idle()
            runner.progress()
        self.clock.after(1_000, self.tick)

    def route(self, call):
        key = (call.arrival.router, call.arrival.model)
        agent = self.known.get(key)
        model = call.arrival.model
        if agent is None or not any(
            one.model == model for one in self.engines[agent].replicas
        ):
            agent = self.random.choice(list(self.runners))
            self.known[key] = agent
        self.clock.after(HOP_MS, self.runners[agent].submit, call)


class LeastLoaded(RandomChoice):
    """Least-loaded runner by a report that lags."""

    name = 'least_loaded'

    def start(self):
        super().start()
        self.loads = dict.fromkeys(self.runners, 0)
        self.holders = dict.fromkeys(self.runners, frozenset())
        self.report()

    def report(self):
        """Apply the reports of a while ago."""
        loads = {
            name: len(runner.queue) + runner.engine.running
            for name, runner in self.runners.items()
        }
        holders = {
            name: frozenset(key.model for key in engine.replicas)
            for name, engine in self.engines.items()
        }
        self.clock.after(REPORT_LAG_MS, self._apply, loads, holders)
        self.clock.after(REPORT_LAG_MS / 2, self.report)

    def route(self, call):
        holding = [
            name
            for name, models in self.holders.items()
            if call.arrival.model in models
        ]
        candidates = holding or list(self.runners)
        self.random.shuffle(candidates)
        agent = min(candidates, key=self.loads.get)
        self.clock.after(HOP_MS, self.runners[agent].submit, call)

    def _apply(self, loads, holders):
        self.loads = loads
        self.holders = holders


class Lagoonflow(Policy):
    """Homes, bids and run queues of this project."""

    name = 'lagoonflow'

    def start(self):
        self.names = list(self.engines)
        self.numbers = itertools.count()
        self.runners = {}
        self.homes = {}
        self.caches = [LocationCache() for _ in range(self.sizes.routers)]
        self.waiting = {}
        self.calls = {}
        self.permits = StorePermits(
            StoreSettings(
                self.sizes.store_rate_per_s, self.sizes.store_parallel
            )
        )
        for name in self.names:
            self._add(name)
        self.clock.after(0, self.tick)
        self.clock.after(10, self.tick_homes)

    def ranking(self, model):
        """Rank the agents for a model."""
        random = Random(model)
        return tuple(random.sample(self.names, len(self.names)))

    def tick(self):
        """Do what is due each 100 ms."""
        for name, state in self.runners.items():
            self.execute(name, state.on_tick(self.clock.now_ms))
            if state.components.has_pending_changes():
                self.list(name)
        self.clock.after(100, self.tick)

    def tick_homes(self):
        """Do what is due each 10 ms."""
        now_ms = self.clock.now_ms
        for name, home in self.homes.items():
            self.execute_home(name, home.on_tick(now_ms))
        for reply in self.permits.grant_due(now_ms):
            name = reply.permit_id.split('/')[0]
            todo = self.runners[name].on_permit(now_ms, reply)
            self.execute(name, todo)
        self.clock.after(10, self.tick_homes)

    def list(self, name):
        """Give a runner its engine's listing."""
        now_ms = self.clock.now_ms
        listing = self.engines[name].listing()
        todo = self.runners[name].on_listing(now_ms, listing, now_ms)
        self.execute(name, todo)

    def announce(self, name, models):
        """Announce models to their homes."""
        for model in models:
            announcement = self.runners[name].announcement(
                self.clock.now_ms, 'nonce', (model,)
            )
            home = self.ranking(model)[0]
            todo = self.homes[home].on_announcement(
                self.clock.now_ms, announcement
            )
            self.execute_home(home, todo)

    def announce_all(self, name):
        """Announce everything now and then."""
        self.announce(
            name, self.runners[name].components.announcements.models()
        )
        self.clock.after(3_000, self.announce_all, name)

    def route(self, call):
        now_ms = self.clock.now_ms
        call.attempts += 1
        left_ms = call.arrival.at_ms + self.sizes.deadline_ms - now_ms
        if call.attempts > 6 or left_ms <= 0:
            self.refuse(call)
            return
        cache = self.caches[call.arrival.router]
        model = call.arrival.model
        place = cache.pick(now_ms, model, self.random, call.stale)
        if place is not None:
            cache.on_sent(model, place.agent)
            self.clock.after(HOP_MS, self.submit, call, place.agent)
            return
        number = next(self.numbers)
        self.waiting[number] = call
        request = LocateRequest(
            Target(model, call.arrival.adapter),
            call.arrival.organisation,
            left_ms,
            Versions(),
            stale_agents=call.stale,
        )
        self.clock.after(HOP_MS, self._locate, number, request)

    def submit(self, call, agent):
        """Send a request to its runner."""
        now_ms = self.clock.now_ms
        arrival = call.arrival
        attempt = AttemptId(str(next(self.numbers)), call.attempts)
        self.calls[attempt] = (call, agent)
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

    def execute(self, name, todo):
        """Execute the actions of a runner."""
        for action in todo:
            match action:
                case actions.StartGeneration():
                    self._generate(name, action)
                case actions.RefuseQueued(attempt=attempt):
                    call, agent = self.calls.pop(attempt)
                    cache = self.caches[call.arrival.router]
                    cache.on_done(call.arrival.model, agent)
                    cache.remove(call.arrival.model, agent)
                    call.stale = (agent,)
                    self.clock.after(HOP_MS, self.route, call)
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
                    self.clock.after(HOP_MS, self.announce, name, models)
                case actions.PollListing():
                    self.clock.after(HOP_MS, self.list, name)
                case _:
                    answer = self.engines[name].order(action)
                    self.clock.after(HOP_MS, self._answer, name, answer)

    def execute_home(self, name, todo):
        """Execute the actions of a home."""
        for action in todo:
            match action:
                case ReplyToLocate(request_number=number, reply=reply):
                    self.clock.after(HOP_MS, self._located, number, reply)
                case SendBidRequest(agent=agent, request=request):
                    self.clock.after(HOP_MS, self._bid, name, agent, request)
                case SendDecision(decision=decision):
                    self.clock.after(HOP_MS, self._decide, name, decision)

    def _add(self, name):
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
        engine.on_change = lambda: self.clock.after(20, self.list, name)
        self.clock.after(0, self.list, name)
        self.clock.after(10, self.announce_all, name)

    def _generate(self, name, start):
        attempt = start.request.attempt
        call, _ = self.calls[attempt]
        first_ms = self.engines[name].generate(
            start.replica, call.arrival.tokens, self._finished, name, attempt
        )
        self.begin(call, first_ms)

    def _finished(self, name, attempt, first_ms, took_ms):
        call, agent = self.calls.pop(attempt)
        self.caches[call.arrival.router].on_done(call.arrival.model, agent)
        end = actions.StreamEnd(
            attempt, Usage(1, call.arrival.tokens), first_ms, took_ms
        )
        todo = self.runners[name].on_stream_finished(self.clock.now_ms, end)
        self.execute(name, todo)

    def _answer(self, name, answer):
        todo = self.runners[name].on_order_answer(self.clock.now_ms, answer)
        self.execute(name, todo)

    def _locate(self, number, request):
        home = self.ranking(request.target.model)[0]
        todo = self.homes[home].on_locate(self.clock.now_ms, number, request)
        self.execute_home(home, todo)

    def _located(self, number, reply):
        call = self.waiting.pop(number)
        if not reply.places:
            self.refuse(call)
            return
        cache = self.caches[call.arrival.router]
        model = call.arrival.model
        cache.store_reply(self.clock.now_ms, model, reply)
        call.stale = ()
        agent = reply.places[0].agent
        cache.on_sent(model, agent)
        self.clock.after(HOP_MS, self.submit, call, agent)

    def _bid(self, home, agent, request):
        bid = self.runners[agent].on_bid_request(self.clock.now_ms, request)
        if not request.is_withdrawal:
            self.clock.after(HOP_MS, self._take_bid, home, bid)

    def _take_bid(self, home, bid):
        todo = self.homes[home].on_bid(self.clock.now_ms, bid)
        self.execute_home(home, todo)

    def _decide(self, home, decision):
        now_ms = self.clock.now_ms
        reply, todo = self.runners[decision.agent].on_decision(now_ms, decision)
        self.execute(decision.agent, todo)
        self.clock.after(HOP_MS, self._take_reply, home, reply)

    def _take_reply(self, home, reply):
        todo = self.homes[home].on_decision_reply(self.clock.now_ms, reply)
        self.execute_home(home, todo)
