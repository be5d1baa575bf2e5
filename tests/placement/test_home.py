"""Tests of homes with runners on a virtual clock."""

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
    requests = [fleet.locate('a') for _ in range(20)]
    assert not fleet.replies
    fleet.deliver_held_back()
    requests.extend(fleet.locate('a') for _ in range(20))
    assert {fleet.replies[request].places[0].agent for request in requests}
    assert all(fleet.replies[request].refusal is None for request in requests)
    assert len(fleet.decisions) == 1
    assert fleet.loads == 1


def test_losing_bids_release_their_memory(fleet):
    fleet.locate('a')
    free_mb = [
        harness.state.components.replicas.memory.uncommitted_mb
        for harness in fleet.harnesses.values()
    ]
    assert sorted(free_mb) == [150, 250, 250]


def test_late_bid_releases_its_memory(fleet):
    fleet.held_back.add('agent-3')
    fleet.locate('a')
    # The round closes 300 ms after it was opened, without the held-back bid.
    fleet.tick(301)
    assert len(fleet.decisions) == 1
    fleet.deliver_held_back()
    memory = fleet.harnesses['agent-3'].state.components.replicas.memory
    assert memory.uncommitted_mb == 250


def test_established_home_does_not_wait_for_a_silent_agent(fleet):
    fleet.locate('b')
    fleet.tick(2_000)
    fleet.held_back.add('agent-3')
    # The home of a model is new for 1000 ms from when it first acts as home.
    fleet.homes['agent-1'].context.home_roles.role_of(fleet.now_ms, 'a')
    fleet.tick(1_001)
    fleet.locate('a')
    # With a usable bid, the round closes after 30 ms.
    fleet.tick(31)
    assert len(fleet.decisions) == 2


def test_new_home_finds_an_existing_replica(fleet):
    fleet.harnesses['agent-3'].load('a')
    request = fleet.locate('a')
    assert [place.agent for place in fleet.replies[request].places] == [
        'agent-3'
    ]
    assert not fleet.decisions


def test_full_fleet_is_asked_again_until_memory_is_free(fleet):
    releases = fleet.releases.models
    for name in fleet.names:
        releases[f'full-{name}'] = model_spec(memory_mb=200)
        harness = fleet.harnesses[name]
        harness.bid(f'full-{name}', 'other')
    request = fleet.locate('b')
    assert request not in fleet.replies
    # The memory that the bids reserve is released after 2000 ms.
    fleet.tick(2_001)
    assert fleet.replies[request].refusal is None


def test_model_too_large_for_all_runners_is_refused_at_once(fleet):
    fleet.releases.models['huge'] = model_spec(memory_mb=1_000)
    request = fleet.locate('huge')
    refusal = fleet.replies[request].refusal
    assert refusal.code is Result.MODEL_DOES_NOT_FIT


def test_waiting_request_is_refused_at_its_deadline(fleet):
    for harness in fleet.harnesses.values():
        harness.bid('b', 'other')
    request = fleet.locate('b', deadline_in_ms=400)
    for _ in range(10):
        fleet.tick(50)
    refusal = fleet.replies[request].refusal
    assert refusal.code is Result.NO_RUNNER
    assert refusal.not_run


def test_lost_reply_to_a_decision_does_not_cause_a_second_load(fleet):
    """The agent loads, but the home sees the decision fail.

    Model b may have one replica only.
    """
    fleet.lose_replies = True
    request = fleet.locate('b')
    assert fleet.loads == 1
    fleet.lose_replies = False
    for _ in range(20):
        fleet.tick(100)
    assert fleet.loads == 1
    assert fleet.replies[request].places


def test_next_bidder_loads_if_the_best_dies_before_the_decision(fleet):
    fleet.held_back.add('agent-3')
    request = fleet.locate('a')
    fleet.down.add('agent-1')
    fleet.down.add('agent-3')
    fleet.deliver_held_back()
    assert fleet.replies[request].places[0].agent == 'agent-2'


def test_next_agent_acts_as_home_when_the_home_is_down(fleet):
    request = fleet.locate('a', home='agent-2')
    assert fleet.replies[request].refusal.code is Result.NOT_HOME
    fleet.down.add('agent-1')
    request = fleet.locate('a', home='agent-2')
    assert fleet.replies[request].places
    assert fleet.loads == 1


def test_home_finds_replicas_loaded_during_its_pause(fleet):
    """The home refuses requests after a pause until it has caught up."""
    fleet.down.add('agent-1')
    acting = fleet.locate('a', home='agent-2')
    fleet.complete_loads()
    fleet.down.clear()
    home = fleet.homes['agent-1']
    fleet.run('agent-1', home.on_pause(fleet.now_ms))
    early = fleet.locate('a')
    assert fleet.replies[early].refusal.code is Result.NOT_HOME
    home.is_caught_up = True
    late = fleet.locate('a')
    agent = fleet.replies[acting].places[0].agent
    assert [place.agent for place in fleet.replies[late].places] == [agent]
    assert fleet.loads == 1


def test_home_paused_between_bid_and_decision_decides_nothing(fleet):
    """Another agent acts as home during the pause; late bids come after it."""
    fleet.held_back.update(fleet.names)
    request = fleet.locate('a')
    fleet.down.add('agent-1')
    acting = fleet.locate('a', home='agent-2')
    fleet.tick(5_000)
    home = fleet.homes['agent-1']
    fleet.down.clear()
    fleet.run('agent-1', home.on_pause(fleet.now_ms))
    fleet.held_back.clear()
    fleet.deliver_held_back()
    assert fleet.replies[request].refusal.code is Result.NOT_HOME
    fleet.tick()
    assert fleet.replies[acting].places
    assert fleet.loads == 1


def test_long_waits_add_a_replica_up_to_the_limit(fleet):
    fleet.harnesses['agent-2'].load('a')
    fleet.locate('a')
    harness = fleet.harnesses['agent-2']
    for _ in range(400):
        harness.request('a', tokens=200)
    fleet.announce('agent-2')
    assert len(fleet.decisions) == 1
    assert fleet.decisions[0].agent != 'agent-2'
    fleet.tick(3_000)
    fleet.announce('agent-2')
    assert len(fleet.decisions) == 1, (
        'The model already has its maximum of 2 replicas.'
    )


def test_no_replica_is_added_if_its_load_takes_longer_than_the_wait(fleet):
    fleet.releases.models['a'] = model_spec(memory_mb=240)
    fleet.harnesses['agent-2'].load('a')
    fleet.locate('a')
    fleet.announce('agent-2', under_pressure=('a',))
    assert not fleet.decisions


def test_request_joins_an_open_round_for_a_further_replica(fleet):
    fleet.harnesses['agent-2'].load('a')
    fleet.locate('a')
    fleet.held_back.update(fleet.names)
    fleet.announce('agent-2', under_pressure=('a',))
    request = fleet.locate('a', stale_agents=('agent-2',))
    fleet.held_back.clear()
    fleet.deliver_held_back()
    fleet.tick()
    assert fleet.replies[request].places


def test_stale_agent_causes_a_load_on_another_agent(fleet):
    fleet.harnesses['agent-2'].load('a')
    first = fleet.locate('a')
    second = fleet.locate('a', stale_agents=('agent-2',))
    assert fleet.replies[first].places[0].agent == 'agent-2'
    assert 'agent-2' not in {fleet.decisions[0].agent}
    assert fleet.replies[second].places


def test_stale_agent_does_not_exceed_the_replica_limit(fleet):
    fleet.harnesses['agent-2'].load('b')
    fleet.locate('b')
    request = fleet.locate('b', stale_agents=('agent-2',))
    assert [place.agent for place in fleet.replies[request].places] == [
        'agent-2'
    ]
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
    """Whatever fails, no load lacks a decision and every request is answered.

    The steps lose replies to decisions, stop agents and let time pass.
    """
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
                fleet.complete_loads()
            case 'announce':
                fleet.announce(name)
            case 'pressure':
                fleet.announce(name, under_pressure=('a',))
        decided = {decision.decision_id for decision in fleet.decisions}
        assert fleet.loads <= len(decided)
        for harness in fleet.harnesses.values():
            assert not harness.engine.overcommits
    fleet.down.clear()
    fleet.lose_replies = False
    for _ in range(80):
        fleet.tick(1_000)
    assert fleet.replies.keys() == set(range(fleet.request_count))


def test_stale_agent_may_still_load_the_model(fleet):
    key = ReplicaKey('a', '1')
    fleet.harnesses['agent-2'].engine.checkpoints[key] = Tier.MEMORY
    fleet.harnesses['agent-2'].refresh_listing()
    request = fleet.locate('a', stale_agents=('agent-2',))
    assert [place.agent for place in fleet.replies[request].places] == [
        'agent-2'
    ]


def test_bid_requests_carry_load_speeds_observed_by_other_agents(fleet):
    rates = (LoadRate(Tier.REMOTE, 0.25),)
    fleet.announce('agent-2', load_rates=rates)
    fleet.locate('a')
    predictor = fleet.harnesses['agent-3'].state.components.replicas.predictor
    assert predictor.load_ms('a', Tier.REMOTE, 100) == 25
    assert predictor.is_load_time_known('a', Tier.REMOTE)
