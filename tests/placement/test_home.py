"""Scenarios of homes, agents and routers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.placement.messages import LoadRate, Tier
from lagoonflow.results import Result
from lagoonflow.runners.messages import ReplicaKey
from tests.placement.fakes import Fleet
from tests.runners.fakes import FakeReleases, model_spec


@pytest.fixture
def fleet():
    return Fleet(
        FakeReleases(
            {'a': model_spec(), 'b': model_spec(memory_mb=200, max_replicas=1)}
        )
    )


def test_burst_for_one_cold_model_makes_one_decision(fleet):
    fleet.held_back.update(fleet.names)
    waiters = [fleet.locate('a') for _ in range(20)]
    assert not fleet.replies
    fleet.release()
    waiters.extend(fleet.locate('a') for _ in range(20))
    assert {fleet.replies[one].places[0].agent for one in waiters}
    assert all(fleet.replies[one].refusal is None for one in waiters)
    assert len(fleet.decisions) == 1
    assert fleet.loads == 1


def test_losing_bids_are_withdrawn(fleet):
    fleet.locate('a')
    free_mb = [
        bench.state.parts.replicas.ledger.unpromised_mb
        for bench in fleet.benches.values()
    ]
    assert sorted(free_mb) == [150, 250, 250]


def test_late_bid_is_withdrawn(fleet):
    fleet.held_back.add('agent-3')
    fleet.locate('a')
    fleet.tick(301)
    assert len(fleet.decisions) == 1
    fleet.release()
    ledger = fleet.benches['agent-3'].state.parts.replicas.ledger
    assert ledger.unpromised_mb == 250


def test_silent_agent_does_not_hold_up_an_old_home(fleet):
    fleet.locate('b')
    fleet.tick(2_000)
    fleet.held_back.add('agent-3')
    fleet.homes['agent-1'].context.home_roles.role_of(fleet.now_ms, 'a')
    fleet.tick(1_001)
    fleet.locate('a')
    fleet.tick(31)
    assert len(fleet.decisions) == 2


def test_new_home_finds_the_replica_that_exists(fleet):
    fleet.benches['agent-3'].load('a')
    waiter = fleet.locate('a')
    assert [one.agent for one in fleet.replies[waiter].places] == ['agent-3']
    assert not fleet.decisions


def test_full_fleet_is_asked_again_until_there_is_room(fleet):
    releases = fleet.releases.models
    for name in fleet.names:
        releases[f'full-{name}'] = model_spec(memory_mb=200)
        bench = fleet.benches[name]
        bench.bid(f'full-{name}', 'other')
    waiter = fleet.locate('b')
    assert waiter not in fleet.replies
    fleet.tick(2_001)
    assert fleet.replies[waiter].refusal is None


def test_model_that_fits_nowhere_is_refused_at_once(fleet):
    fleet.releases.models['huge'] = model_spec(memory_mb=1_000)
    waiter = fleet.locate('huge')
    refusal = fleet.replies[waiter].refusal
    assert refusal.code is Result.MODEL_DOES_NOT_FIT


def test_waiter_is_refused_at_its_deadline(fleet):
    for bench in fleet.benches.values():
        bench.bid('b', 'other')
    waiter = fleet.locate('b', deadline_in_ms=400)
    for _ in range(10):
        fleet.tick(50)
    refusal = fleet.replies[waiter].refusal
    assert refusal.code is Result.NO_RUNNER
    assert refusal.not_run


def test_lost_decision_reply_loads_once(fleet):
    fleet.lose_replies = True
    waiter = fleet.locate('b')
    assert fleet.loads == 1
    fleet.lose_replies = False
    for _ in range(20):
        fleet.tick(100)
    assert fleet.loads == 1
    assert fleet.replies[waiter].places


def test_agent_that_dies_between_bid_and_decision(fleet):
    fleet.held_back.add('agent-3')
    waiter = fleet.locate('a')
    fleet.down.add('agent-1')
    fleet.down.add('agent-3')
    fleet.release()
    assert fleet.replies[waiter].places[0].agent == 'agent-2'


def test_next_agent_acts_when_the_home_is_down(fleet):
    waiter = fleet.locate('a', home='agent-2')
    assert fleet.replies[waiter].refusal.code is Result.NOT_HOME
    fleet.down.add('agent-1')
    waiter = fleet.locate('a', home='agent-2')
    assert fleet.replies[waiter].places
    assert fleet.loads == 1


def test_home_that_was_frozen_finds_what_others_decided(fleet):
    fleet.down.add('agent-1')
    acting = fleet.locate('a', home='agent-2')
    fleet.complete()
    fleet.down.clear()
    home = fleet.homes['agent-1']
    fleet.run('agent-1', home.on_pause(fleet.now_ms))
    early = fleet.locate('a')
    assert fleet.replies[early].refusal.code is Result.NOT_HOME
    home.is_caught_up = True
    late = fleet.locate('a')
    agent = fleet.replies[acting].places[0].agent
    assert [one.agent for one in fleet.replies[late].places] == [agent]
    assert fleet.loads == 1


def test_home_frozen_between_bid_and_decision(fleet):
    fleet.held_back.update(fleet.names)
    waiter = fleet.locate('a')
    fleet.down.add('agent-1')
    acting = fleet.locate('a', home='agent-2')
    fleet.tick(5_000)
    home = fleet.homes['agent-1']
    fleet.down.clear()
    fleet.run('agent-1', home.on_pause(fleet.now_ms))
    fleet.held_back.clear()
    fleet.release()
    assert fleet.replies[waiter].refusal.code is Result.NOT_HOME
    fleet.tick()
    assert fleet.replies[acting].places
    assert fleet.loads == 1


def test_pressure_adds_a_replica_when_it_pays(fleet):
    fleet.benches['agent-2'].load('a')
    fleet.locate('a')
    bench = fleet.benches['agent-2']
    for _ in range(400):
        bench.request('a', tokens=200)
    fleet.announce('agent-2')
    assert len(fleet.decisions) == 1
    assert fleet.decisions[0].agent != 'agent-2'
    fleet.tick(3_000)
    fleet.announce('agent-2')
    assert len(fleet.decisions) == 1, 'max_replicas is 2'


def test_pressure_does_not_pay_for_a_slow_load(fleet):
    fleet.releases.models['a'] = model_spec(memory_mb=240)
    fleet.benches['agent-2'].load('a')
    fleet.locate('a')
    fleet.announce('agent-2', under_pressure=('a',))
    assert not fleet.decisions


def test_request_that_joins_a_round_for_a_further_replica(fleet):
    fleet.benches['agent-2'].load('a')
    fleet.locate('a')
    fleet.held_back.update(fleet.names)
    fleet.announce('agent-2', under_pressure=('a',))
    waiter = fleet.locate('a', stale_agents=('agent-2',))
    fleet.held_back.clear()
    fleet.release()
    fleet.tick()
    assert fleet.replies[waiter].places


def test_stale_agent_leads_to_another_replica(fleet):
    fleet.benches['agent-2'].load('a')
    first = fleet.locate('a')
    second = fleet.locate('a', stale_agents=('agent-2',))
    assert fleet.replies[first].places[0].agent == 'agent-2'
    assert 'agent-2' not in {fleet.decisions[0].agent}
    assert fleet.replies[second].places


def test_model_with_one_replica_is_not_loaded_twice(fleet):
    fleet.benches['agent-2'].load('b')
    fleet.locate('b')
    waiter = fleet.locate('b', stale_agents=('agent-2',))
    assert [one.agent for one in fleet.replies[waiter].places] == ['agent-2']
    assert not fleet.decisions


@given(
    st.integers(1, 2),
    st.lists(
        st.sampled_from(
            ['locate', 'stale', 'tick', 'lose', 'down', 'complete', 'announce']
            + ['pressure']
        ),
        max_size=30,
    ),
)
def test_loads_never_exceed_decisions(max_replicas, steps):
    fleet = Fleet(FakeReleases({'a': model_spec(max_replicas=max_replicas)}))
    for number, step in enumerate(steps):
        name = fleet.names[number % len(fleet.names)]
        match step:
            case 'locate':
                fleet.locate('a')
            case 'stale':
                fleet.locate('a', stale_agents=(name,))
            case 'tick':
                fleet.tick(number * 50)
            case 'lose':
                fleet.lose_replies = not fleet.lose_replies
            case 'down':
                fleet.down = {name} if name != 'agent-1' else set()
            case 'complete':
                fleet.complete()
            case 'announce':
                fleet.announce(name)
            case 'pressure':
                fleet.announce(name, under_pressure=('a',))
        decided = {one.decision_id for one in fleet.decisions}
        assert fleet.loads <= len(decided)
        for bench in fleet.benches.values():
            assert not bench.engine.overcommits
    fleet.down.clear()
    fleet.lose_replies = False
    for _ in range(80):
        fleet.tick(1_000)
    assert fleet.replies.keys() == set(range(fleet.located))


def test_stale_location_does_not_bar_an_agent_from_a_load(fleet):
    key = ReplicaKey('a', '1')
    fleet.benches['agent-2'].engine.checkpoints[key] = Tier.MEMORY
    fleet.benches['agent-2'].list()
    waiter = fleet.locate('a', stale_agents=('agent-2',))
    assert [one.agent for one in fleet.replies[waiter].places] == ['agent-2']


def test_bid_requests_carry_the_speeds_that_others_observed(fleet):
    rates = (LoadRate(Tier.REMOTE, 0.25),)
    fleet.announce('agent-2', load_rates=rates)
    fleet.locate('a')
    predictor = fleet.benches['agent-3'].state.parts.replicas.predictor
    assert predictor.load_ms('a', Tier.REMOTE, 100) == 25
    assert predictor.is_load_learnt('a', Tier.REMOTE)
