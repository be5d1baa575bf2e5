"""The ledger never overcommits, whatever the engine does to orders."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonflow.results import Result
from lagoonflow.runners.engine_messages import Answer, OrderAnswer
from lagoonflow.runners.messages import AdapterKey, ReplicaKey
from lagoonflow.runners.open_orders import MAX_ORDER_DELAY_MS
from lagoonflow.runners.runner_memory import RunnerMemory
from tests.runners.fakes import (
    FakeEngine,
    FakeReleases,
    RunnerHarness,
    adapter_spec,
    model_spec,
)

A = ReplicaKey('a', '1')
B = ReplicaKey('b', '1')


def test_claim_waits_until_the_listing_frees_memory():
    memory = RunnerMemory(100)
    memory.record_listed({A: 80})
    memory.claim(B, 50)
    assert memory.grant_claims() == ()
    memory.release(A)
    assert memory.grant_claims() == (B,)


def test_offer_expires():
    memory = RunnerMemory(100)
    memory.reservations.add('bid', 80, expires_at_ms=10)
    assert memory.available_for_replicas_mb == 20
    memory.reservations.expire(10)
    assert memory.available_for_replicas_mb == 100


def test_replicas_leave_room_to_adapters_and_kv_caches():
    memory = RunnerMemory(100, kv_room_mb=20, adapter_room_mb=30)
    assert memory.available_for_replicas_mb == 50
    assert memory.allocate_for_adapter(AdapterKey(A, 'x', '1'), 10) is None
    assert memory.available_for_replicas_mb == 50
    refusal = memory.allocate_for_adapter(AdapterKey(A, 'y', '1'), 71)
    assert refusal.code is Result.MODEL_DOES_NOT_FIT


FATES = ('answer', 'answer', 'lose_before', 'lose_after', 'late')
STEPS = ('load', 'load', 'ready', 'ready', 'request', 'finish', 'tick')
RARE = (
    'list',
    'complete',
    'fail',
    'settle',
    'engine_restart',
    'agent_restart',
    'release',
    'deliver',
)


@pytest.mark.parametrize('checks_fence', [True, False])
@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(STEPS * 3 + RARE),
            st.sampled_from('abcd'),
            st.sampled_from(FATES),
        ),
        min_size=10,
        max_size=60,
    )
)
def test_orders_never_overcommit_the_engine(checks_fence, steps):
    models = {name: model_spec(memory_mb=100) for name in 'abcd'}
    adapters = {'x': adapter_spec('a', memory_mb=20)}
    engine = FakeEngine(250, checks_fence)
    harness = RunnerHarness(
        FakeReleases(models, adapters), engine, may_follow_another=True
    )
    harness.auto_answer = False
    harness.refresh_listing()
    harness.tick(MAX_ORDER_DELAY_MS)
    late = []
    for step, model, fate in steps:
        _perform_step(harness, step, model, late)
        _answer_orders(harness, fate, late)
        memory = harness.state.components.replicas.memory
        assert memory.allocated_mb <= memory.capacity_mb
        assert engine.used_mb <= engine.capacity_mb
        assert not engine.overcommits


def _tick(harness, passed_ms, late):
    """Late orders act at any time, but before they are waited out."""
    due_ms = harness.now_ms + passed_ms - MAX_ORDER_DELAY_MS
    for sent_at_ms, order in tuple(late):
        if sent_at_ms <= due_ms:
            harness.engine.apply(order)
            late.remove((sent_at_ms, order))
    harness.tick(passed_ms)


def _perform_step(harness, step, model, late):
    match step:
        case 'load':
            bid_id = f'bid-{harness.now_ms}'
            harness.bid(model, bid_id)
            harness.decide(model, bid_id)
        case 'request':
            harness.request(model, adapter='x' if model == 'a' else '')
        case 'finish' if harness.started:
            harness.finish(harness.started[0])
        case 'list':
            harness.refresh_listing()
        case 'tick':
            _tick(harness, 500, late)
        case 'settle':
            _tick(harness, MAX_ORDER_DELAY_MS + 1, late)
            harness.refresh_listing()
        case 'complete':
            harness.engine.complete_loads()
        case 'ready':
            harness.engine.complete_loads()
            harness.refresh_listing()
        case 'fail':
            for table in (harness.engine.replicas, harness.engine.adapters):
                table.clear()
        case 'engine_restart':
            harness.engine.restart()
            late.clear()
        case 'agent_restart':
            harness.orders.clear()
            harness.started.clear()
            harness.restart_agent()
            harness.refresh_listing()
        case 'release':
            harness.releases.models[model] = model_spec(
                str(harness.now_ms), memory_mb=100
            )
        case 'deliver':
            for _, order in late:
                harness.engine.apply(order)
            late.clear()


def _answer_orders(harness, fate, late):
    while harness.orders:
        order = harness.orders.pop(0)
        lost = OrderAnswer(order.fence, Answer.LOST)
        match fate:
            case 'answer':
                harness.answer(harness.engine.apply(order))
            case 'lose_before':
                harness.answer(lost)
            case 'lose_after':
                harness.engine.apply(order)
                harness.answer(lost)
            case 'late':
                late.append((harness.now_ms, order))
                harness.answer(lost)
