"""Which model the weight store loads next, and when it will be ready."""

from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.waking.eviction import store_only_models
from lagoonflow.waking.fleet_copies import count_copies
from lagoonflow.waking.scarcity import SETTLED_MS, ScarcityDetector
from lagoonflow.waking.store_turns import (
    TURN_DELAY_MS,
    assign_turns,
    store_turns,
)
from tests.waking.builders import spec

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
    assert turns.ready_in_ms('m1', LOAD_MS) == 3 * (LOAD_MS + TURN_DELAY_MS)


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
