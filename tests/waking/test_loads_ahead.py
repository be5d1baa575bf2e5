"""One runner of the fleet loads a model that lies nowhere."""

import msgspec

from lagoonflow.gossip.messages import AgentState, HeldState
from lagoonflow.waking.loads_ahead import (
    LOADS_AT_ONCE,
    assign,
    missing_models,
    plan_all,
)
from tests.waking.builders import spec


def state(instance, *held, on_disk=(), wait_ms=0, is_from_store=False):
    return AgentState(
        agent=instance,
        instance=instance,
        runner_started_ms=1,
        held=tuple(HeldState(name) for name in held),
        on_disk=on_disk,
        can_order=True,
        store_wait_ms=wait_ms,
        is_from_store=is_from_store,
    )


def fleet(*states):
    return {one.instance: one for one in states}


def test_a_model_on_any_disk_is_not_missing():
    states = fleet(state('a', 'm1'), state('b', on_disk=('m2', 'm3')))
    assert missing_models(spec(), states) == ['m4']


def test_missing_models_are_spread_evenly():
    states = fleet(state('a'), state('b'))
    assigned = assign(['m1', 'm2', 'm3', 'm4'], states)
    assert sorted(assigned.values()) == ['a', 'a', 'b', 'b']


def test_every_router_assigns_alike():
    one = fleet(state('a'), state('b'), state('c'))
    other = fleet(state('c'), state('a'), state('b'))
    assert assign(['m1', 'm2'], one) == assign(['m1', 'm2'], other)


def test_the_longest_waiting_agents_go_first():
    busy = [state(f'x{one}', is_from_store=True) for one in range(3)]
    states = fleet(*busy, state('a', wait_ms=900), state('b', wait_ms=10))
    plans = plan_all(spec(), states, {})
    assert len(busy) + 1 == LOADS_AT_ONCE
    assert plans['a'].may_use_store
    assert not plans['b'].may_use_store


def test_only_rare_models_with_one_holder_are_spare():
    busy = HeldState('m3', keep_value=2.0)
    first = msgspec.structs.replace(
        state('a', 'm1', 'm2'), held=(HeldState('m1'), HeldState('m2'), busy)
    )
    plans = plan_all(spec(), fleet(first, state('b', 'm1')), {})
    assert plans['a'].spare == ('m2',)


def test_a_hot_model_gets_a_replica_where_a_copy_lies():
    hot = msgspec.structs.replace(
        state('a'), held=(HeldState('m1', keep_value=6.0),)
    )
    states = fleet(hot, state('b'), state('c', on_disk=('m1',)))
    plans = plan_all(spec(), states, {})
    assert plans['c'].to_load[0] == 'm1'
    assert 'm1' not in plans['b'].to_load


def test_one_replica_at_a_time():
    hot = msgspec.structs.replace(
        state('a'), held=(HeldState('m1', keep_value=6.0),)
    )
    coming = msgspec.structs.replace(state('b'), loading='m1')
    plans = plan_all(spec(), fleet(hot, coming, state('c')), {})
    assert 'm1' not in plans['c'].to_load


def test_what_is_asked_for_most_is_loaded_ahead_first():
    plans = plan_all(spec(), fleet(state('a')), {'m3': 1.0, 'm2': 0.5})
    assert plans['a'].to_load == ('m3', 'm2', 'm1', 'm4')
