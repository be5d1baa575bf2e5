"""Fakes for tests of runners: release notes, an engine, and a harness."""

import dataclasses
import itertools

from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    Generation,
    Usage,
)
from lagoonflow.placement.messages import (
    BidRequest,
    Decision,
    PermitReply,
    Tier,
)
from lagoonflow.releases.messages import AdapterSpec, ModelSpec
from lagoonflow.runners import messages as actions
from lagoonflow.runners.engine_messages import (
    Answer,
    EngineState,
    ListedAdapter,
    ListedCheckpoint,
    ListedReplica,
    Listing,
    OrderAnswer,
)
from lagoonflow.runners.settings import RunnerSettings
from lagoonflow.runners.state import RunnerState
from lagoonflow.streams.messages import Versions


class FakeReleases:
    def __init__(self, models=(), adapters=()):
        self.models = dict(models)
        self.adapters = dict(adapters)

    def model(self, name):
        return self.models.get(name)

    def adapter(self, name):
        return self.adapters.get(name)


def model_spec(version='1', memory_mb=100, max_replicas=2):
    return ModelSpec(version, f'checkpoint-{version}', memory_mb, max_replicas)


def adapter_spec(model, version='1', memory_mb=10):
    return AdapterSpec(model, version, f'adapter-{version}', memory_mb)


class FakeEngine:
    """An engine in memory that executes orders; tests complete its loads.

    :ivar overcommits: loads that were ordered beyond its memory.
    """

    def __init__(self, capacity_mb=250, checks_fence=True):
        self.capacity_mb = capacity_mb
        self.checks_fence = checks_fence
        self.fence = 0
        self.epoch = 'epoch-1'
        self.replicas = {}
        self.adapters = {}
        self.checkpoints = {}
        self.loads = 0
        self.most_used_mb = 0
        self.overcommits = 0

    @property
    def used_mb(self):
        adapters_mb = sum(loaded[1] for loaded in self.adapters.values())
        return sum(loaded[1] for loaded in self.replicas.values()) + adapters_mb

    def apply(self, order):
        if self.checks_fence and order.fence < self.fence:
            return OrderAnswer(
                order.fence, Answer.STALE_FENCE, last_fence=self.fence
            )
        self.fence = max(self.fence, order.fence)
        match order:
            case actions.OrderLoad(replica=key, memory_mb=memory_mb):
                return self._load(order, self.replicas, key, memory_mb)
            case actions.OrderAdapterLoad(adapter=key, memory_mb=memory_mb):
                return self._load(order, self.adapters, key, memory_mb)
            case actions.OrderUnload(replica=key):
                self.replicas.pop(key, None)
                for adapter in tuple(self.adapters):
                    if adapter.replica == key:
                        self.adapters.pop(adapter)
            case actions.OrderAdapterUnload(adapter=key):
                self.adapters.pop(key, None)
        return OrderAnswer(order.fence, Answer.ACCEPTED)

    def _load(self, order, table, key, memory_mb):
        if key in table:
            return OrderAnswer(order.fence, Answer.ACCEPTED)
        if self.used_mb + memory_mb > self.capacity_mb:
            self.overcommits += 1
            return OrderAnswer(order.fence, Answer.NO_MEMORY)
        table[key] = (EngineState.LOADING, memory_mb)
        self.loads += table is self.replicas
        self.most_used_mb = max(self.most_used_mb, self.used_mb)
        return OrderAnswer(order.fence, Answer.ACCEPTED)

    def complete_loads(self, state=EngineState.READY):
        for table in (self.replicas, self.adapters):
            for key, (_, memory_mb) in table.items():
                table[key] = (state, memory_mb)

    def restart(self):
        self.epoch = f'{self.epoch}+'
        self.replicas.clear()
        self.adapters.clear()

    def listing(self):
        return Listing(
            self.epoch,
            self.capacity_mb,
            self.fence,
            tuple(
                ListedReplica(
                    key.model,
                    key.version,
                    state,
                    memory_mb,
                    tuple(
                        ListedAdapter(
                            adapter_key.adapter,
                            adapter_key.version,
                            adapter_mb,
                            adapter_state,
                        )
                        for adapter_key, (
                            adapter_state,
                            adapter_mb,
                        ) in self.adapters.items()
                        if adapter_key.replica == key
                    ),
                )
                for key, (state, memory_mb) in self.replicas.items()
            ),
            tuple(
                ListedCheckpoint(key.model, key.version, tier)
                for key, tier in self.checkpoints.items()
            ),
        )


class RunnerHarness:
    """A runner's state with a fake engine and a virtual clock.

    It executes the state's actions and keeps them for assertions.
    """

    def __init__(self, releases, engine=None, **settings):
        self.engine = engine or FakeEngine()
        self.releases = releases
        self.now_ms = 1_000
        self.withdrawn_keys = set()
        settings.setdefault('may_follow_another', False)
        self.settings = RunnerSettings('agent-1', **settings)
        self.started = []
        self.refused = {}
        self.orders = []
        self.announced = []
        self.auto_answer = True
        self.auto_permit = True
        self._ids = itertools.count()
        self.restart_agent()

    def restart_agent(self):
        self.state = RunnerState(
            self.settings,
            self.releases,
            lambda key_id, organisation: key_id not in self.withdrawn_keys,
        )

    def execute(self, actions_to_do):
        for action in actions_to_do:
            match action:
                case actions.StartGeneration():
                    self.started.append(action)
                case actions.RefuseQueued():
                    self.refused[action.attempt.request_id] = action.refusal
                case actions.SendAnnouncement():
                    self.announced.extend(action.models)
                case actions.SendPermitRequest() if self.auto_permit:
                    self.permit(action.request.permit_id)
                case (
                    actions.OrderLoad()
                    | actions.OrderUnload()
                    | actions.OrderAdapterLoad()
                    | actions.OrderAdapterUnload()
                ):
                    self.orders.append(action)
                    if self.auto_answer:
                        self.answer(self.engine.apply(action))

    def answer(self, answer):
        self.execute(self.state.on_order_answer(self.now_ms, answer))

    def permit(self, permit_id, is_granted=True, retry_after_ms=0):
        reply = PermitReply(permit_id, is_granted, retry_after_ms, Versions())
        self.execute(self.state.on_permit(self.now_ms, reply))

    def refresh_listing(self):
        self.now_ms += 1
        requested_at_ms = self.now_ms
        self.execute(
            self.state.on_listing(
                self.now_ms, self.engine.listing(), requested_at_ms
            )
        )

    def tick(self, passed_ms=10):
        self.now_ms += passed_ms
        self.execute(self.state.on_tick(self.now_ms))

    def bid(self, model, bid_id='bid'):
        request = BidRequest(bid_id, model, Versions())
        return self.state.on_bid_request(self.now_ms, request)

    def decide(self, model, bid_id='bid', decision_id='', versions=None):
        decision = Decision(
            decision_id or f'decision-{next(self._ids)}',
            bid_id,
            model,
            '1',
            'agent-1',
            'home',
            versions or Versions(),
        )
        reply, todo = self.state.on_decision(self.now_ms, decision)
        self.execute(todo)
        return reply

    def load(self, model):
        bid_id = f'bid-{next(self._ids)}'
        assert self.bid(model, bid_id).refusal is None
        assert self.decide(model, bid_id).refusal is None
        self.refresh_listing()
        self.engine.complete_loads()
        self.refresh_listing()

    def request(self, model, organisation='org', **fields):
        request_id = fields.pop('request_id', f'r{next(self._ids)}')
        generation = Generation(
            model, fields.pop('adapter', ''), 'x', fields.pop('tokens', 10)
        )
        request = AttemptRequest(
            AttemptId(request_id, 1),
            'router',
            organisation,
            fields.pop('key_id', 'key'),
            fields.pop('deadline_in_ms', 60_000),
            Versions(),
            generation,
            **fields,
        )
        self.execute(self.state.on_request(self.now_ms, request))
        return request_id

    def finish(self, start, took_ms=100):
        end = actions.StreamEnd(
            start.request.attempt, Usage(1, 10), took_ms / 2, took_ms
        )
        self.started.remove(start)
        self.execute(self.state.on_stream_finished(self.now_ms, end))


def add_local_checkpoints(harness, *models, version='1'):
    for model in models:
        key = actions.ReplicaKey(model, version)
        harness.engine.checkpoints[key] = Tier.DISK
    return harness


def replace(spec, **changes):
    return dataclasses.replace(spec, **changes)
