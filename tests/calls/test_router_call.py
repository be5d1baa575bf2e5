"""Calls under faults: whole answers once, nothing run twice."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonflow.calls import actions, events
from lagoonflow.calls.messages import AttemptState, Chunk
from lagoonflow.calls.spec import Candidate
from lagoonflow.results import Result
from tests.calls.simulation import (
    AGENTS,
    DEADLINE_MS,
    EXPECTED_TEXT,
    GENERATION,
    LOST,
    TOKENS,
    Simulation,
    service_call,
)

ONCE = service_call(is_idempotent=False)
REPEATABLE = service_call(is_idempotent=True)
# Times of a call without faults: sent at 2 ms, queued at 4 ms, started at
# 64 ms, answered at 144 ms.
CUT_POINTS_MS = (0, 1, 2, 3, 4, 5, 30, 63, 64, 65, 100, 143, 144, 145, 147, 170)

FAULTS = st.one_of(
    st.tuples(st.just('cut'), st.none() | st.integers(0, 6000)),
    st.tuples(
        st.just('kill'),
        st.sampled_from(AGENTS),
        st.booleans(),
        st.none() | st.integers(0, 3000),
    ),
    st.tuples(st.just('freeze'), st.sampled_from(AGENTS), st.integers(1, 6000)),
    st.tuples(st.just('freeze_router'), st.integers(1, 6000)),
    st.tuples(st.just('repeat_chunks')),
)
TIMES = st.integers(0, 300) | st.integers(0, 5000)
HISTORIES = st.lists(
    st.tuples(TIMES, FAULTS).map(lambda pair: (pair[0], *pair[1])), max_size=6
)


def is_finished(simulation):
    return isinstance(simulation.last, actions.DeliverFinish)


@pytest.mark.parametrize('work', [GENERATION, ONCE, REPEATABLE])
def test_call_without_faults_is_answered_once(work):
    simulation = Simulation(work).run()
    assert is_finished(simulation)
    assert len(simulation.executions) == 1
    simulation.check(is_repeatable=False)


@pytest.mark.guarantee_10
@pytest.mark.guarantee_09
@pytest.mark.parametrize('at_ms', CUT_POINTS_MS)
@pytest.mark.parametrize(
    'fault',
    [
        ('cut',),
        ('cut', 0),
        ('cut', 1000),
        ('cut', 5000),
        ('kill', 'agent-1', True),
        ('kill', 'agent-1', False),
        ('kill', 'agent-1', True, 100),
        ('kill', 'agent-1', False, 100),
        ('freeze', 'agent-1', 500),
        ('freeze', 'agent-1', 3000),
        ('freeze', 'agent-1', 100_000),
        ('freeze_router', 1000),
        ('freeze_router', 10_000),
    ],
    ids=str,
)
def test_call_that_may_run_once_at_each_cut_point(fault, at_ms):
    simulation = Simulation(ONCE, [(at_ms, *fault)]).run()
    simulation.check(is_repeatable=False)


@pytest.mark.guarantee_10
@given(HISTORIES)
@settings(max_examples=400, deadline=None)
def test_call_that_may_run_once_under_mixed_faults(faults):
    Simulation(ONCE, faults).run().check(is_repeatable=False)


@pytest.mark.guarantee_08
@given(HISTORIES)
@settings(max_examples=300, deadline=None)
def test_generation_under_mixed_faults(faults):
    Simulation(GENERATION, faults).run().check(is_repeatable=True)


@given(HISTORIES)
@settings(max_examples=100, deadline=None)
def test_repeatable_service_call_under_mixed_faults(faults):
    Simulation(REPEATABLE, faults).run().check(is_repeatable=True)


@pytest.mark.parametrize('work', [GENERATION, ONCE])
@pytest.mark.parametrize('at_ms', CUT_POINTS_MS)
def test_silent_stream_is_resumed(work, at_ms):
    simulation = Simulation(work, [(at_ms, 'cut', None)]).run()
    assert is_finished(simulation)
    assert len(simulation.executions) == 1


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('at_ms', [5, 100, 400, 660])
def test_generation_goes_on_elsewhere_when_its_agent_dies(at_ms, is_reset):
    simulation = Simulation(
        GENERATION, [(at_ms, 'kill', 'agent-1', is_reset)]
    ).run()
    assert is_finished(simulation)
    assert simulation.text == EXPECTED_TEXT
    assert simulation.last.finish.usage.completion_tokens == TOKENS


def test_agent_that_dies_under_a_call_leaves_its_outcome_unknown():
    simulation = Simulation(ONCE, [(100, 'kill', 'agent-1', True)]).run()
    assert simulation.refusal.code is Result.OUTCOME_UNKNOWN
    assert not simulation.refusal.not_run


def test_waiting_call_is_revoked_before_its_deadline():
    simulation = Simulation(
        ONCE, [(0, 'freeze', 'agent-1', DEADLINE_MS - 300)]
    ).run()
    assert simulation.refusal.not_run
    assert not simulation.executions


def test_caller_that_leaves_cancels_the_attempt():
    simulation = Simulation(GENERATION)
    simulation.schedule(200, simulation.handle_event, events.CallerGone())
    simulation.run()
    assert simulation.call.is_ended
    assert not simulation.refusal


def waiting_call(work, nonce):
    """Return a call that has sent its attempt, and the attempt."""
    call = Simulation(work).call
    call.start()
    located = events.Located((Candidate('agent-1', nonce),))
    (opened,) = call.handle(located, 0)
    return call, opened.request.attempt


def test_revocation_by_another_process_leaves_the_outcome_unknown():
    call, attempt = waiting_call(ONCE, 'agent-1/1')
    (revoke,) = call.handle(events.Tick(), DEADLINE_MS - 400)
    assert revoke.request.agent_nonce == 'agent-1/1'
    unknown = events.RevokeAnswered(attempt, AttemptState.UNKNOWN, 'agent-1/2')
    *_, refuse = call.handle(unknown, DEADLINE_MS - 300)
    assert refuse.refusal.code is Result.OUTCOME_UNKNOWN
    assert not refuse.refusal.not_run


@pytest.mark.parametrize(('is_resumed', 'nonce'), [(False, 'a/1'), (True, '')])
def test_process_is_learnt_from_the_first_stream_only(is_resumed, nonce):
    call, attempt = waiting_call(GENERATION, '')
    if is_resumed:
        call.handle(events.StreamBroke(attempt, LOST), 1)
    queued = Chunk(attempt, 0, AttemptState.QUEUED, nonce='a/1')
    call.handle(events.ChunkArrived(queued), 2)
    (revoke,) = call.handle(events.Tick(), DEADLINE_MS - 400)
    assert revoke.request.agent_nonce == nonce
