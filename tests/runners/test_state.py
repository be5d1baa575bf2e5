"""Scenarios of one runner with its engine."""

import pytest

from lagoonflow.placement.messages import LoadRate, PermitReply, Tier
from lagoonflow.results import Result
from lagoonflow.runners.engine_messages import Answer, OrderAnswer
from lagoonflow.runners.loads import ORDER_SETTLE_MS
from lagoonflow.runners.messages import (
    OrderLoad,
    OrderUnload,
    ReplicaKey,
)
from lagoonflow.streams.messages import Versions
from tests.runners.fakes import (
    Bench,
    FakeEngine,
    FakeReleases,
    adapter_spec,
    model_spec,
)


@pytest.fixture
def bench():
    releases = FakeReleases(
        {'a': model_spec(), 'b': model_spec(memory_mb=200)},
        {'x': adapter_spec('a'), 'y': adapter_spec('a')},
    )
    bench = Bench(releases)
    bench.list()
    return bench


def test_unplaced_model_is_never_loaded_by_a_request(bench):
    name = bench.request('a')
    assert bench.refused[name].code is Result.STALE_LOCATION
    assert not bench.orders


def test_request_queues_behind_the_decided_load(bench):
    bench.bid('a')
    assert bench.decide('a').refusal is None
    bench.request('a')
    assert not bench.started
    bench.engine.complete()
    bench.list()
    assert [one.replica.model for one in bench.started] == ['a']


def test_decision_executes_at_most_once(bench):
    bench.bid('a')
    assert bench.decide('a', decision_id='d').refusal is None
    assert bench.decide('a', decision_id='d').refusal.code is (
        Result.DECISION_REPEATED
    )
    bid_again = bench.decide('a', decision_id='other')
    assert bid_again.refusal.code is Result.RESERVATION_LOST
    assert bench.engine.loads == 1


def test_decision_of_an_older_roster_is_refused(bench):
    bench.bid('a')
    bench.state.on_release(bench.now_ms, bench.releases, Versions(1, 5))
    reply = bench.decide('a', versions=Versions(1, 4))
    assert reply.refusal.code is Result.STALE_VIEW


def test_expired_bid_loses_its_reservation(bench):
    bench.bid('a')
    bench.tick(2_001)
    assert bench.decide('a').refusal.code is Result.RESERVATION_LOST


def test_paused_agent_drops_its_bids(bench):
    bench.bid('a')
    bench.run(bench.state.on_pause(bench.now_ms))
    assert bench.decide('a').refusal.code is Result.RESERVATION_LOST


def test_two_models_that_do_not_fit_together(bench):
    bench.load('a')
    name = bench.request('a')
    bid = bench.bid('b', 'second')
    assert bid.refusal is None
    assert bench.decide('b', 'second').refusal is None
    waiting = bench.request('b')
    assert bench.engine.loads == 1, 'a busy replica must not be evicted'
    bench.finish(bench.started[0])
    bench.list()
    bench.engine.complete()
    bench.list()
    assert [one.request.attempt.request_id for one in bench.started] == [
        waiting
    ]
    assert name not in bench.refused
    assert not bench.engine.overcommits


def test_second_bid_can_not_count_on_the_same_memory(bench):
    bench.releases.models['c'] = model_spec(memory_mb=200)
    assert bench.bid('b', 'first').refusal is None
    assert bench.bid('c', 'second').refusal.code is Result.NO_RUNNER
    assert bench.decide('b', 'first').refusal is None
    assert set(bench.engine.replicas) == {ReplicaKey('b', '1')}


def test_agent_restarts_mid_load(bench):
    bench.bid('a')
    bench.decide('a')
    bench.restart_agent()
    assert bench.bid('a').refusal.code is Result.NO_RUNNER
    bench.list()
    assert bench.bid('a').tier == 'loading'
    bench.request('a')
    bench.engine.complete()
    bench.list()
    assert len(bench.started) == 1
    assert bench.engine.loads == 1


def test_engine_restarts_mid_load(bench):
    bench.bid('a')
    bench.decide('a')
    name = bench.request('a')
    bench.engine.restart()
    bench.list()
    bench.tick(1_000)
    bench.engine.complete()
    bench.list()
    assert len(bench.started) == 1
    assert name not in bench.refused
    assert bench.engine.loads == 2


def test_silent_engine_hands_back_the_queue(bench):
    bench.bid('a')
    bench.decide('a')
    name = bench.request('a')
    bench.run(bench.state.on_listing(bench.now_ms, None, bench.now_ms))
    assert name not in bench.refused, 'one silence may be a slow answer'
    bench.announced.clear()
    bench.run(bench.state.on_listing(bench.now_ms, None, bench.now_ms))
    assert bench.refused[name].code is Result.STALE_LOCATION
    assert bench.announced == ['a']
    assert not bench.state.announcement(0, 'n', ('a',)).replicas
    assert bench.bid('b').refusal.code is Result.NO_RUNNER
    bench.announced.clear()
    bench.list()
    assert bench.announced == ['a']
    assert bench.state.announcement(0, 'n', ('a',)).replicas
    bench.request('a')
    bench.engine.complete()
    bench.list()
    assert len(bench.started) == 1


def test_lost_answer_is_waited_out(bench):
    bench.auto_answer = False
    bench.bid('a')
    bench.decide('a')
    bench.request('a')
    order = bench.orders[-1]
    bench.answer(OrderAnswer(order.fence, Answer.LOST))
    bench.list()
    bench.tick(1_000)
    assert len(bench.orders) == 1, 'no second order while one is open'
    bench.engine.apply(order)
    bench.engine.complete()
    bench.list()
    assert len(bench.started) == 1


def test_lost_order_is_sent_again_after_the_listing(bench):
    bench.auto_answer = False
    bench.bid('a')
    bench.decide('a')
    bench.request('a')
    first = bench.orders[-1]
    bench.answer(OrderAnswer(first.fence, Answer.LOST))
    bench.tick(ORDER_SETTLE_MS + 1)
    bench.list()
    bench.auto_answer = True
    bench.tick(1_000)
    second = bench.orders[-1]
    assert second.fence > first.fence
    assert isinstance(second, OrderLoad)


@pytest.mark.parametrize('checks_fence', [True, False])
def test_late_order_after_an_unload(bench, checks_fence):
    bench.engine.checks_fence = checks_fence
    bench.load('a')
    load = bench.orders[0]
    bench.tick(10_000_000)
    bench.list()
    assert isinstance(bench.orders[-1], OrderUnload)
    bench.engine.apply(load)
    bench.list()
    room_mb = bench.state.parts.replicas.ledger.free_mb
    assert room_mb == bench.engine.capacity_mb - bench.engine.used_mb


def test_stale_fence_is_raised_and_sent_again(bench):
    bench.engine.fence = 50
    bench.bid('a')
    bench.decide('a')
    bench.tick()
    assert bench.orders[-1].fence > 50
    assert bench.engine.loads == 1


def test_refused_at_once_when_the_first_token_takes_too_long(bench):
    bench.bid('a')
    bench.decide('a')
    name = bench.request('a', deadline_in_ms=20)
    assert bench.refused[name].code is Result.DEADLINE_UNREACHABLE
    assert bench.refused[name].not_run


def test_nothing_is_refused_on_a_guessed_load_time(bench):
    bench.bid('a')
    bench.decide('a')
    name = bench.request('a', deadline_in_ms=70)
    assert name not in bench.refused
    bench.engine.complete()
    bench.list()
    assert len(bench.started) == 1


def test_refused_at_once_on_a_learnt_load_time(bench):
    rates = (LoadRate(Tier.REMOTE, 10),)
    bench.state.parts.replicas.predictor.adopt(rates)
    bench.bid('a')
    bench.decide('a')
    name = bench.request('a', deadline_in_ms=900)
    refusal = bench.refused[name]
    assert refusal.code is Result.DEADLINE_UNREACHABLE
    assert refusal.retry_after_ms == 150


def test_queued_request_is_refused_when_the_load_is_late(bench):
    bench.bid('a')
    bench.decide('a')
    name = bench.request('a', deadline_in_ms=2_000)
    bench.tick(1_990)
    assert bench.refused[name].code is Result.DEADLINE_UNREACHABLE


def test_queued_request_with_withdrawn_key_is_refused(bench):
    bench.bid('a')
    bench.decide('a')
    name = bench.request('a', key_id='gone')
    bench.withdrawn.add('gone')
    bench.run(bench.state.on_release(bench.now_ms, bench.releases, Versions(2)))
    assert bench.refused[name].code is Result.KEY_WITHDRAWN


def test_batch_limits_running_sequences():
    bench = Bench(FakeReleases({'a': model_spec()}), max_running=2)
    bench.list()
    bench.load('a')
    for _ in range(5):
        bench.request('a')
    assert len(bench.started) == 2
    bench.finish(bench.started[0])
    assert len(bench.started) == 2


def test_adapter_is_loaded_before_its_request(bench):
    bench.load('a')
    bench.request('a', adapter='x')
    assert not bench.started
    bench.engine.complete()
    bench.list()
    assert [one.adapter_version for one in bench.started] == ['1']


def test_adapters_in_flight_are_limited():
    adapters = {f'x{n}': adapter_spec('a', memory_mb=1) for n in range(50)}
    bench = Bench(FakeReleases({'a': model_spec()}, adapters))
    bench.list()
    bench.load('a')
    for name in adapters:
        bench.request('a', adapter=name)
    assert len(bench.engine.adapters) == 30
    bench.engine.complete()
    bench.list()
    assert len(bench.engine.adapters) == 50


def test_adapter_version_changes_without_a_gap(bench):
    bench.load('a')
    bench.request('a', adapter='x')
    bench.engine.complete()
    bench.list()
    bench.releases.adapters['x'] = adapter_spec('a', '2')
    bench.run(bench.state.on_release(bench.now_ms, bench.releases, Versions(2)))
    bench.request('a', adapter='x')
    assert [one.adapter_version for one in bench.started] == ['1', '1']
    bench.engine.complete()
    bench.list()
    bench.request('a', adapter='x')
    assert bench.started[-1].adapter_version == '2'
    for start in tuple(bench.started):
        bench.finish(start)
    bench.list()
    assert {key.version for key in bench.engine.adapters} == {'2'}


def test_model_version_changes_without_a_gap(bench):
    bench.load('a')
    bench.request('a')
    bench.releases.models['a'] = model_spec('2')
    bench.run(bench.state.on_release(bench.now_ms, bench.releases, Versions(2)))
    bench.request('a')
    assert [one.replica.version for one in bench.started] == ['1', '1']
    bench.engine.complete()
    bench.list()
    bench.request('a')
    assert bench.started[-1].replica.version == '2'
    for start in tuple(bench.started):
        bench.finish(start)
    bench.list()
    assert set(bench.engine.replicas) == {ReplicaKey('a', '2')}


def test_model_version_changes_in_place_when_memory_is_short():
    releases = FakeReleases({'a': model_spec(memory_mb=200)})
    bench = Bench(releases)
    bench.list()
    bench.load('a')
    bench.request('a')
    releases.models['a'] = model_spec('2', memory_mb=200)
    bench.run(bench.state.on_release(bench.now_ms, releases, Versions(2)))
    bench.finish(bench.started[0])
    bench.list()
    bench.engine.complete()
    bench.list()
    assert set(bench.engine.replicas) == {ReplicaKey('a', '2')}
    assert not bench.engine.overcommits


def test_withdrawn_model_is_unloaded(bench):
    bench.load('a')
    bench.releases.models.pop('a')
    bench.run(bench.state.on_release(bench.now_ms, bench.releases, Versions(2)))
    assert not bench.engine.replicas


def test_stopping_hands_back_the_queue(bench):
    bench.bid('a')
    bench.decide('a')
    name = bench.request('a')
    bench.run(bench.state.stop(bench.now_ms))
    assert bench.refused[name].code is Result.SHUTTING_DOWN
    assert bench.bid('b').refusal.code is Result.SHUTTING_DOWN


def test_engine_that_is_full_of_unknown_replicas():
    engine = FakeEngine(250)
    engine.replicas[ReplicaKey('ghost', '9')] = ('ready', 200)
    bench = Bench(FakeReleases({'b': model_spec(memory_mb=200)}), engine)
    bench.list()
    assert isinstance(bench.orders[0], OrderUnload)
    bench.list()
    bench.load('b')
    assert not engine.overcommits


def test_requests_for_a_cold_model_do_not_press_on_a_warm_one(bench):
    bench.releases.models['c'] = model_spec(memory_mb=50)
    bench.load('a')
    bench.bid('c')
    bench.decide('c')
    for _ in range(400):
        bench.request('c', tokens=200)
    models = ('a', 'c')
    announcement = bench.state.announcement(bench.now_ms, 'n', models)
    assert announcement.under_pressure == ()
    assert bench.bid('a').wait_ms == 0
    bench.engine.complete()
    bench.list()
    announcement = bench.state.announcement(bench.now_ms, 'n', models)
    assert announcement.under_pressure == ('c',)


def test_load_that_nobody_waits_for_gives_up_its_permit(bench):
    bench.auto_permit = False
    bench.bid('a')
    bench.decide('a')
    replica = bench.state.parts.replicas.find('a')
    bench.tick(1_000)
    bench.request('a', deadline_in_ms=2_000)
    bench.tick(1_500)
    assert bench.state.parts.replicas.find('a') is replica
    bench.tick(1_000)
    bench.tick()
    assert bench.state.parts.replicas.find('a') is None
    assert bench.state.parts.replicas.ledger.unpromised_mb == 250
    late = PermitReply(replica.permit_id, True, 0, Versions())
    (report,) = bench.state.on_permit(bench.now_ms, late)
    assert report.permit_id == replica.permit_id
    assert not report.is_loaded
    assert not bench.orders
