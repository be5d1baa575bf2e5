"""One runner of the fleet loads a model that lies nowhere."""

from lagoonflow.gossip.messages import AgentState, HeldState
from lagoonflow.waking.store_loads import (
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
    assert plans['a'].may_load
    assert not plans['b'].may_load


def test_only_rare_models_with_one_holder_are_spare():
    states = fleet(state('a', 'm1', 'm2', 'm3'), state('b', 'm1'))
    plans = plan_all(spec(), states, {'m3': 2.0})
    assert plans['a'].spare == ('m2',)
