"""Which model the weight store loads next, and when it will be ready."""

from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.waking.eviction import store_only_models
from lagoonflow.waking.fleet_copies import count_copies
from lagoonflow.waking.preloading import plan_loads
from lagoonflow.waking.runner_view import UNKNOWN_ORDER_MS
from lagoonflow.waking.scarcity import SETTLED_MS, ScarcityDetector
from lagoonflow.waking.store_loads import (
    OVERDUE_KEPT_MS,
    LostLoads,
    StoreLoad,
)
from lagoonflow.waking.store_turns import (
    TURN_DELAY_MS,
    StoreTurns,
    assign_turns,
    store_turns,
)
from tests.waking.builders import (
    NOW_MS,
    make_controller,
    report,
    router_state,
    spec,
)

LOAD_MS = 6000


def agent(instance, **fields):
    return AgentState('agent', instance, 7, can_order=True, **fields)


def copies(*states):
    return count_copies({state.instance: state for state in states})


def test_the_longest_unserved_model_comes_first_wherever_it_is_requested():
    fleet = copies(
        agent('i-1', store_requests={'m1': 3, 'm2': 9}, store_concurrency=1),
        agent('i-2', store_requests={'m3': 20, 'm4': 50}, on_disk=('m4',)),
    )
    turns = store_turns(spec(), fleet)
    assert turns.models == ('m3', 'm2', 'm1')
    assert list(assign_turns(turns, fleet).values()) == ['m3']
    assert turns.ready_in_ms('m1') == 3 * (LOAD_MS + TURN_DELAY_MS)


def test_the_model_with_the_most_refused_requests_comes_first():
    """Callers who ask once in a long time don't hold up those who ask often."""
    fleet = copies(
        agent(
            'i-1',
            store_requests={'m1': 40, 'm2': 9, 'm3': 10},
            store_refusals={'m1': 1, 'm2': 5, 'm3': 5},
        ),
        agent('i-2', store_requests={'m2': 3}, store_refusals={'m2': 2}),
    )
    assert store_turns(spec(), fleet).models == ('m2', 'm3', 'm1')


def test_callers_that_return_in_several_periods_go_before_a_short_burst():
    fleet = copies(
        agent(
            'i-1',
            store_requests={'m1': 20, 'm2': 20},
            store_refusals={'m1': 7, 'm2': 2},
            store_periods={'m1': 0b100, 'm2': 0b100},
        ),
        agent(
            'i-2',
            store_requests={'m2': 3},
            store_refusals={'m2': 1},
            store_periods={'m2': 0b001},
        ),
    )
    assert store_turns(spec(), fleet).models == ('m2', 'm1')


def test_a_busy_model_that_lost_its_copies_passes_rare_ones_soon():
    fleet = copies(
        agent(
            'i-1',
            store_requests={'m1': 30, 'm2': 4},
            store_refusals={'m1': 5, 'm2': 40},
            store_periods={'m1': 0b1111, 'm2': 0b1},
        )
    )
    assert store_turns(spec(), fleet).models == ('m2', 'm1')


def test_a_turn_stays_with_the_agent_that_evicts_for_it():
    for preparing in ('i-1', 'i-2'):
        states = [
            agent(
                name,
                store_requests={'m1': 5},
                store_turn='m1' if name == preparing else '',
            )
            for name in ('i-1', 'i-2')
        ]
        fleet = copies(*states)
        assert assign_turns(store_turns(spec(), fleet), fleet) == {
            preparing: 'm1'
        }


def test_only_models_without_a_copy_anywhere_are_store_only():
    held = (HeldModelState('m1'), HeldModelState('m2'))
    fleet = copies(agent('i-1', held=held), agent('i-2', on_disk=('m2',)))
    assert store_only_models('i-1', fleet) == ('m1',)


def test_a_failure_of_runners_does_not_make_models_scarce():
    detector = ScarcityDetector()
    detector.observe_runners('llm', 1, 0)
    assert not detector.is_scarce('llm', spec(100_000), 0)
    assert detector.is_scarce('llm', spec(100_000), SETTLED_MS)
    detector.observe_runners('llm', 2, SETTLED_MS)
    detector.observe_runners('llm', 1, SETTLED_MS)
    assert not detector.is_scarce('llm', spec(), 3 * SETTLED_MS)


def turns(*loads, models=('m1', 'm2')):
    return StoreTurns(models, 2, loads, LOAD_MS)


def test_another_load_begins_beside_slow_ones():
    """Two loads that began beside others use less than the whole store."""
    assert turns(StoreLoad(9000, 1.5), StoreLoad(8000, 2)).free == 1
    assert turns(StoreLoad(9000, 1.5), StoreLoad(8000, 1.5)).free == 0
    assert turns(StoreLoad(9000), StoreLoad(8000)).free == 0
    assert turns(StoreLoad(9000)).free == 1


def test_a_model_is_ready_after_those_before_it():
    full_speed = turns(StoreLoad(2000), StoreLoad(2000))
    one_load_ms = TURN_DELAY_MS + LOAD_MS
    assert full_speed.ready_in_ms('m1') == 2000 + one_load_ms
    assert full_speed.ready_in_ms('m2') == 2000 + one_load_ms
    assert full_speed.ready_in_ms('m3') == 2000 + 2 * one_load_ms


def test_the_load_of_a_silent_runner_still_uses_the_store():
    lost = LostLoads()
    loading = agent('i-1', is_from_store=True, order_ready_in_ms=9000)
    overdue = agent('i-2', is_from_store=True)
    lost.observe({'i-1': loading, 'i-2': overdue}, 0)
    assert lost.of_others({'i-1': loading, 'i-2': overdue}, 0) == ()
    both = (StoreLoad(7000), StoreLoad(OVERDUE_KEPT_MS - 2000))
    assert lost.of_others({}, 2000) == both
    assert lost.of_others({}, 9000) == ()


def test_loads_of_an_earlier_agent_count_as_loads_from_the_store():
    """Otherwise more loads begin at once after all hosts have restarted."""
    controller = make_controller(router_state())
    view = controller.runner_view
    view.record_report(report(busy=True), NOW_MS)
    assert not controller.agent_state(NOW_MS).is_from_store
    later_ms = NOW_MS + UNKNOWN_ORDER_MS + 1
    view.record_report(report(busy=True), later_ms)
    assert controller.agent_state(later_ms).is_from_store


def test_no_turn_is_given_to_a_runner_that_leaves():
    fleet = copies(
        agent('i-1', store_requests={'m1': 5}),
        agent('i-2', is_leaving=True),
        agent('i-3', on_disk=('m2', 'm3')),
    )
    turns = store_turns(spec(), fleet)
    assert assign_turns(turns, fleet, {'i-1'}) == {'i-3': 'm1'}


def test_nothing_is_preloaded_while_scarce_models_are_in_demand():
    """Routers that have just restarted don't know the refused requests yet."""
    states = {
        'i-1': agent('i-1', held=(HeldModelState('m1', demand_per_s=1),)),
        'i-2': agent('i-2'),
    }
    plans = plan_loads(spec(), states, {}, is_scarce=True)
    assert not any(plan.preload for plan in plans.values())
    plans = plan_loads(spec(), states, {})
    assert any(plan.preload for plan in plans.values())
