"""One runner of the fleet loads a model that lies nowhere."""

import dataclasses

import msgspec

from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.waking.preloading import (
    assign_evenly,
    missing_models,
    plan_loads,
)
from lagoonflow.waking.store_queue import DEFAULT_STORE_CONCURRENCY, queue_ms
from tests.waking.builders import model, spec


def state(instance, *held, on_disk=(), wish_per_s=0, is_from_store=False):
    return AgentState(
        agent=instance,
        instance=instance,
        runner_started_ms=1,
        held=tuple(HeldModelState(name) for name in held),
        on_disk=on_disk,
        can_order=True,
        store_demand_per_s=wish_per_s,
        is_from_store=is_from_store,
    )


def fleet(*states):
    return {one.instance: one for one in states}


def test_a_model_on_any_disk_is_not_missing():
    states = fleet(state('a', 'm1'), state('b', on_disk=('m2', 'm3')))
    assert missing_models(spec(), states) == ['m4']


def test_missing_models_are_spread_evenly():
    states = fleet(state('a'), state('b'))
    assigned = assign_evenly(['m1', 'm2', 'm3', 'm4'], states)
    assert sorted(assigned.values()) == ['a', 'a', 'b', 'b']


def test_every_router_assigns_alike():
    one = fleet(state('a'), state('b'), state('c'))
    other = fleet(state('c'), state('a'), state('b'))
    assert assign_evenly(['m1', 'm2'], one) == assign_evenly(
        ['m1', 'm2'], other
    )


def test_what_is_asked_for_most_goes_first_to_the_store():
    busy = [state(f'x{one}', is_from_store=True) for one in range(3)]
    often, seldom = state('b', wish_per_s=2), state('a', wish_per_s=0.1)
    plans = plan_loads(spec(), fleet(*busy, seldom, often), {})
    assert len(busy) + 1 == DEFAULT_STORE_CONCURRENCY
    assert plans['b'].may_use_store
    assert not plans['a'].may_use_store


def test_the_store_carries_as_many_loads_as_agents_have_learnt():
    learnt = msgspec.structs.replace(state('a'), store_concurrency=1.9)
    busy = [state(f'x{one}', is_from_store=True) for one in range(2)]
    plans = plan_loads(
        spec(), fleet(*busy, learnt, state('b', wish_per_s=1)), {}
    )
    assert not plans['b'].may_use_store


def test_no_more_loads_ahead_begin_than_the_store_carries():
    """Else all idle runners start at once, and each load takes many times
    as long."""
    made = fleet(*(state(f'a{one}') for one in range(20)))
    models = {f'm{one}': model(f'm{one}') for one in range(20)}
    engine = dataclasses.replace(spec(), models=models)
    plans = plan_loads(engine, made, {})
    assert (
        sum(bool(plan.preload) for plan in plans.values())
        == DEFAULT_STORE_CONCURRENCY
    )


def test_one_load_is_left_to_what_requests_may_wait_for():
    busy = msgspec.structs.replace(
        state('x'), held=(HeldModelState('m1', demand_per_s=1.0),)
    )
    made = fleet(busy, *(state(f'a{one}') for one in range(6)))
    models = {f'm{one}': model(f'm{one}') for one in range(20)}
    engine = dataclasses.replace(spec(), models=models)
    plans = plan_loads(engine, made, {})
    loads = sum(bool(plan.preload) for plan in plans.values())
    assert loads == DEFAULT_STORE_CONCURRENCY - 1


def test_a_load_waits_for_those_before_it():
    busy = [state(f'x{one}', is_from_store=True) for one in range(4)]
    made = fleet(*busy, state('a', wish_per_s=2), state('b', wish_per_s=1))
    assert queue_ms('a', made, 6000) == 1500
    assert queue_ms('b', made, 6000) == 3000
    assert queue_ms('b', fleet(state('b')), 6000) == 0


def test_a_runner_with_the_only_copy_of_a_model_is_kept_free():
    """While it loads from the store, that model can't be woken."""
    states = fleet(
        state('a', 'm1', on_disk=('m1', 'm2', 'm3')), state('b', 'm1')
    )
    assert assign_evenly(['m4'], states) == {'m4': 'b'}


def test_only_rare_models_with_one_holder_are_spare():
    busy = HeldModelState('m3', demand_per_s=2.0)
    first = msgspec.structs.replace(
        state('a', 'm1', 'm2'),
        held=(HeldModelState('m1'), HeldModelState('m2'), busy),
    )
    plans = plan_loads(spec(), fleet(first, state('b', 'm1')), {})
    assert plans['a'].evictable == ('m2',)


def test_a_hot_model_gets_a_replica_where_a_copy_lies():
    hot = msgspec.structs.replace(
        state('a'), held=(HeldModelState('m1', demand_per_s=6.0),)
    )
    states = fleet(hot, state('b'), state('c', on_disk=('m1',)))
    plans = plan_loads(spec(), states, {})
    assert plans['c'].preload[0] == 'm1'
    assert 'm1' not in plans['b'].preload


def test_one_replica_at_a_time():
    hot = msgspec.structs.replace(
        state('a'), held=(HeldModelState('m1', demand_per_s=6.0),)
    )
    coming = msgspec.structs.replace(state('b'), loading='m1')
    plans = plan_loads(spec(), fleet(hot, coming, state('c')), {})
    assert 'm1' not in plans['c'].preload


def test_what_is_asked_for_most_is_loaded_ahead_first():
    plans = plan_loads(spec(), fleet(state('a')), {'m3': 1.0, 'm2': 0.5})
    assert plans['a'].preload == ('m3',)


def test_a_model_in_demand_gets_a_second_copy():
    """Else it is lost with the only runner that has one."""
    asked = msgspec.structs.replace(
        state('a'), held=(HeldModelState('m1', demand_per_s=1.0),)
    )
    plans = plan_loads(spec(), fleet(asked, state('b')), {})
    assert plans['b'].preload[0] == 'm1'
    copied = fleet(asked, state('b'), state('c', on_disk=('m1',)))
    assert 'm1' not in plan_loads(spec(), copied, {})['b'].preload


def test_a_replica_of_a_warm_model_does_not_displace_a_rare_one():
    """The load: few places for many models, as on eskuvo-naptar."""
    warm = msgspec.structs.replace(
        state('a'), held=(HeldModelState('m1', demand_per_s=2.0),)
    )
    copied = state('c', on_disk=('m1',))
    plans = plan_loads(spec(), fleet(warm, state('b', 'm2'), copied), {})
    chosen = next(one for one in plans if 'm1' in plans[one].preload)
    assert chosen == 'c'
    held = state('c', 'm2', on_disk=('m1',))
    plans = plan_loads(spec(), fleet(warm, held), {})
    assert plans['c'].protected == ('m2',)
    hot = msgspec.structs.replace(
        state('a'), held=(HeldModelState('m1', demand_per_s=3.0),)
    )
    assert plan_loads(spec(), fleet(hot, held), {})['c'].protected == ()


def test_a_replica_of_a_warm_model_does_not_use_the_store():
    """The load: many models that lie nowhere, and few loads at once."""
    warm = msgspec.structs.replace(
        state('a'), held=(HeldModelState('m1', demand_per_s=2.0),)
    )
    busy = msgspec.structs.replace(state('b', on_disk=('m1',)), loading='m2')
    states = fleet(warm, busy, state('c'))
    assert 'm1' not in plan_loads(spec(), states, {})['c'].preload
