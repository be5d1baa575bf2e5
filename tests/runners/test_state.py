"""Scenarios of one runner's state with a fake engine."""

import pytest

from lagoonflow.placement.messages import LoadRate, PermitReply, Tier
from lagoonflow.results import Result
from lagoonflow.runners.engine_messages import Answer, OrderAnswer
from lagoonflow.runners.messages import (
    OrderLoad,
    OrderUnload,
    ReplicaKey,
)
from lagoonflow.runners.open_orders import MAX_ORDER_DELAY_MS
from lagoonflow.streams.messages import Versions
from tests.runners.fakes import (
    FakeEngine,
    FakeReleases,
    RunnerHarness,
    adapter_spec,
    model_spec,
)


@pytest.fixture
def harness():
    releases = FakeReleases(
        {'a': model_spec(), 'b': model_spec(memory_mb=200)},
        {'x': adapter_spec('a'), 'y': adapter_spec('a')},
    )
    harness = RunnerHarness(releases)
    harness.refresh_listing()
    return harness


def test_unplaced_model_is_never_loaded_by_a_request(harness):
    name = harness.request('a')
    assert harness.refused[name].code is Result.STALE_LOCATION
    assert not harness.orders


def test_request_queues_behind_the_decided_load(harness):
    harness.bid('a')
    assert harness.decide('a').refusal is None
    harness.request('a')
    assert not harness.started
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert [one.replica.model for one in harness.started] == ['a']


def test_decision_executes_at_most_once(harness):
    harness.bid('a')
    assert harness.decide('a', decision_id='d').refusal is None
    assert harness.decide('a', decision_id='d').refusal.code is (
        Result.DECISION_REPEATED
    )
    bid_again = harness.decide('a', decision_id='other')
    assert bid_again.refusal.code is Result.RESERVATION_LOST
    assert harness.engine.loads == 1


def test_decision_of_an_older_roster_is_refused(harness):
    harness.bid('a')
    harness.state.on_release(harness.now_ms, harness.releases, Versions(1, 5))
    reply = harness.decide('a', versions=Versions(1, 4))
    assert reply.refusal.code is Result.STALE_VIEW


def test_expired_bid_loses_its_reservation(harness):
    harness.bid('a')
    harness.tick(2_001)
    assert harness.decide('a').refusal.code is Result.RESERVATION_LOST


def test_paused_agent_withdraws_its_bids(harness):
    harness.bid('a')
    harness.execute(harness.state.on_pause(harness.now_ms))
    assert harness.decide('a').refusal.code is Result.RESERVATION_LOST


def test_busy_replica_is_drained_before_another_model_loads(harness):
    harness.load('a')
    name = harness.request('a')
    bid = harness.bid('b', 'second')
    assert bid.refusal is None
    assert harness.decide('b', 'second').refusal is None
    waiting = harness.request('b')
    assert harness.engine.loads == 1, 'a busy replica must not be evicted'
    harness.finish(harness.started[0])
    harness.refresh_listing()
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert [one.request.attempt.request_id for one in harness.started] == [
        waiting
    ]
    assert name not in harness.refused
    assert not harness.engine.overcommits


def test_second_bid_can_not_count_on_the_same_memory(harness):
    harness.releases.models['c'] = model_spec(memory_mb=200)
    assert harness.bid('b', 'first').refusal is None
    assert harness.bid('c', 'second').refusal.code is Result.NO_RUNNER
    assert harness.decide('b', 'first').refusal is None
    assert set(harness.engine.replicas) == {ReplicaKey('b', '1')}


def test_agent_restarts_mid_load(harness):
    harness.bid('a')
    harness.decide('a')
    harness.restart_agent()
    assert harness.bid('a').refusal.code is Result.NO_RUNNER
    harness.refresh_listing()
    assert harness.bid('a').tier == 'loading'
    harness.request('a')
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert len(harness.started) == 1
    assert harness.engine.loads == 1


def test_engine_restarts_mid_load(harness):
    harness.bid('a')
    harness.decide('a')
    name = harness.request('a')
    harness.engine.restart()
    harness.refresh_listing()
    harness.tick(1_000)
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert len(harness.started) == 1
    assert name not in harness.refused
    assert harness.engine.loads == 2


def test_unreachable_engine_refuses_the_queue(harness):
    harness.bid('a')
    harness.decide('a')
    name = harness.request('a')
    harness.execute(
        harness.state.on_listing(harness.now_ms, None, harness.now_ms)
    )
    assert name not in harness.refused, 'one failed poll may be a slow answer'
    harness.announced.clear()
    harness.execute(
        harness.state.on_listing(harness.now_ms, None, harness.now_ms)
    )
    assert harness.refused[name].code is Result.STALE_LOCATION
    assert harness.announced == ['a']
    assert not harness.state.announcement(0, 'n', ('a',)).replicas
    assert harness.bid('b').refusal.code is Result.NO_RUNNER
    harness.announced.clear()
    harness.refresh_listing()
    assert harness.announced == ['a']
    assert harness.state.announcement(0, 'n', ('a',)).replicas
    harness.request('a')
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert len(harness.started) == 1


def test_no_second_order_while_one_with_a_lost_answer_may_act(harness):
    harness.auto_answer = False
    harness.bid('a')
    harness.decide('a')
    harness.request('a')
    order = harness.orders[-1]
    harness.answer(OrderAnswer(order.fence, Answer.LOST))
    harness.refresh_listing()
    harness.tick(1_000)
    assert len(harness.orders) == 1, 'no second order while one is open'
    harness.engine.apply(order)
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert len(harness.started) == 1


def test_lost_order_is_sent_again_after_the_listing(harness):
    harness.auto_answer = False
    harness.bid('a')
    harness.decide('a')
    harness.request('a')
    first = harness.orders[-1]
    harness.answer(OrderAnswer(first.fence, Answer.LOST))
    harness.tick(MAX_ORDER_DELAY_MS + 1)
    harness.refresh_listing()
    harness.auto_answer = True
    harness.tick(1_000)
    second = harness.orders[-1]
    assert second.fence > first.fence
    assert isinstance(second, OrderLoad)


@pytest.mark.parametrize('checks_fence', [True, False])
def test_memory_of_a_delayed_load_after_an_unload_is_counted(
    harness, checks_fence
):
    harness.engine.checks_fence = checks_fence
    harness.load('a')
    load = harness.orders[0]
    harness.tick(10_000_000)
    harness.refresh_listing()
    assert isinstance(harness.orders[-1], OrderUnload)
    harness.engine.apply(load)
    harness.refresh_listing()
    room_mb = harness.state.components.replicas.memory.free_mb
    assert room_mb == harness.engine.capacity_mb - harness.engine.used_mb


def test_order_with_a_stale_fence_is_sent_again_with_a_higher_one(harness):
    harness.engine.fence = 50
    harness.bid('a')
    harness.decide('a')
    harness.tick()
    assert harness.orders[-1].fence > 50
    assert harness.engine.loads == 1


def test_request_is_refused_when_the_first_token_takes_too_long(harness):
    harness.bid('a')
    harness.decide('a')
    name = harness.request('a', deadline_in_ms=20)
    assert harness.refused[name].code is Result.DEADLINE_UNREACHABLE
    assert harness.refused[name].not_run


def test_request_is_not_refused_on_an_unobserved_load_time(harness):
    harness.bid('a')
    harness.decide('a')
    name = harness.request('a', deadline_in_ms=70)
    assert name not in harness.refused
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert len(harness.started) == 1


def test_request_is_refused_on_an_observed_load_time(harness):
    rates = (LoadRate(Tier.REMOTE, 10),)
    harness.state.components.replicas.predictor.set_default_rates(rates)
    harness.bid('a')
    harness.decide('a')
    name = harness.request('a', deadline_in_ms=900)
    refusal = harness.refused[name]
    assert refusal.code is Result.DEADLINE_UNREACHABLE
    assert refusal.retry_after_ms == 150


def test_queued_request_is_refused_when_the_load_is_late(harness):
    harness.bid('a')
    harness.decide('a')
    name = harness.request('a', deadline_in_ms=2_000)
    harness.tick(1_990)
    assert harness.refused[name].code is Result.DEADLINE_UNREACHABLE


def test_queued_request_with_withdrawn_key_is_refused(harness):
    harness.bid('a')
    harness.decide('a')
    name = harness.request('a', key_id='gone')
    harness.withdrawn_keys.add('gone')
    harness.execute(
        harness.state.on_release(harness.now_ms, harness.releases, Versions(2))
    )
    assert harness.refused[name].code is Result.KEY_WITHDRAWN


def test_batch_limits_running_sequences():
    harness = RunnerHarness(FakeReleases({'a': model_spec()}), max_running=2)
    harness.refresh_listing()
    harness.load('a')
    for _ in range(5):
        harness.request('a')
    assert len(harness.started) == 2
    harness.finish(harness.started[0])
    assert len(harness.started) == 2


def test_adapter_is_loaded_before_its_request(harness):
    harness.load('a')
    harness.request('a', adapter='x')
    assert not harness.started
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert [one.adapter_version for one in harness.started] == ['1']


def test_adapters_in_flight_are_limited():
    adapters = {f'x{n}': adapter_spec('a', memory_mb=1) for n in range(50)}
    harness = RunnerHarness(FakeReleases({'a': model_spec()}, adapters))
    harness.refresh_listing()
    harness.load('a')
    for name in adapters:
        harness.request('a', adapter=name)
    assert len(harness.engine.adapters) == 30
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert len(harness.engine.adapters) == 50


def test_adapter_upgrade_keeps_serving_requests(harness):
    harness.load('a')
    harness.request('a', adapter='x')
    harness.engine.complete_loads()
    harness.refresh_listing()
    harness.releases.adapters['x'] = adapter_spec('a', '2')
    harness.execute(
        harness.state.on_release(harness.now_ms, harness.releases, Versions(2))
    )
    harness.request('a', adapter='x')
    assert [one.adapter_version for one in harness.started] == ['1', '1']
    harness.engine.complete_loads()
    harness.refresh_listing()
    harness.request('a', adapter='x')
    assert harness.started[-1].adapter_version == '2'
    for start in tuple(harness.started):
        harness.finish(start)
    harness.refresh_listing()
    assert {key.version for key in harness.engine.adapters} == {'2'}


def test_model_upgrade_keeps_serving_requests(harness):
    harness.load('a')
    harness.request('a')
    harness.releases.models['a'] = model_spec('2')
    harness.execute(
        harness.state.on_release(harness.now_ms, harness.releases, Versions(2))
    )
    harness.request('a')
    assert [one.replica.version for one in harness.started] == ['1', '1']
    harness.engine.complete_loads()
    harness.refresh_listing()
    harness.request('a')
    assert harness.started[-1].replica.version == '2'
    for start in tuple(harness.started):
        harness.finish(start)
    harness.refresh_listing()
    assert set(harness.engine.replicas) == {ReplicaKey('a', '2')}


def test_model_upgrade_drains_first_when_memory_is_short():
    releases = FakeReleases({'a': model_spec(memory_mb=200)})
    harness = RunnerHarness(releases)
    harness.refresh_listing()
    harness.load('a')
    harness.request('a')
    releases.models['a'] = model_spec('2', memory_mb=200)
    harness.execute(
        harness.state.on_release(harness.now_ms, releases, Versions(2))
    )
    harness.finish(harness.started[0])
    harness.refresh_listing()
    harness.engine.complete_loads()
    harness.refresh_listing()
    assert set(harness.engine.replicas) == {ReplicaKey('a', '2')}
    assert not harness.engine.overcommits


def test_withdrawn_model_is_unloaded(harness):
    harness.load('a')
    harness.releases.models.pop('a')
    harness.execute(
        harness.state.on_release(harness.now_ms, harness.releases, Versions(2))
    )
    assert not harness.engine.replicas


def test_stopping_refuses_the_queue(harness):
    harness.bid('a')
    harness.decide('a')
    name = harness.request('a')
    harness.execute(harness.state.stop(harness.now_ms))
    assert harness.refused[name].code is Result.SHUTTING_DOWN
    assert harness.bid('b').refusal.code is Result.SHUTTING_DOWN


def test_unknown_replicas_are_unloaded_to_make_room():
    engine = FakeEngine(250)
    engine.replicas[ReplicaKey('ghost', '9')] = ('ready', 200)
    harness = RunnerHarness(
        FakeReleases({'b': model_spec(memory_mb=200)}), engine
    )
    harness.refresh_listing()
    assert isinstance(harness.orders[0], OrderUnload)
    harness.refresh_listing()
    harness.load('b')
    assert not engine.overcommits


def test_requests_for_a_cold_model_put_no_pressure_on_a_warm_one(harness):
    harness.releases.models['c'] = model_spec(memory_mb=50)
    harness.load('a')
    harness.bid('c')
    harness.decide('c')
    for _ in range(400):
        harness.request('c', tokens=200)
    models = ('a', 'c')
    announcement = harness.state.announcement(harness.now_ms, 'n', models)
    assert announcement.under_pressure == ()
    assert harness.bid('a').wait_ms == 0
    harness.engine.complete_loads()
    harness.refresh_listing()
    announcement = harness.state.announcement(harness.now_ms, 'n', models)
    assert announcement.under_pressure == ('c',)


def test_abandoned_load_returns_its_permit(harness):
    harness.auto_permit = False
    harness.bid('a')
    harness.decide('a')
    replica = harness.state.components.replicas.find_accepting('a')
    harness.tick(1_000)
    harness.request('a', deadline_in_ms=2_000)
    harness.tick(1_500)
    assert harness.state.components.replicas.find_accepting('a') is replica
    harness.tick(1_000)
    harness.tick()
    assert harness.state.components.replicas.find_accepting('a') is None
    assert harness.state.components.replicas.memory.uncommitted_mb == 250
    late = PermitReply(replica.permit_id, True, 0, Versions())
    (report,) = harness.state.on_permit(harness.now_ms, late)
    assert report.permit_id == replica.permit_id
    assert not report.is_loaded
    assert not harness.orders
