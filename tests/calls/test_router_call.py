"""Calls in a simulation with faults.

Answers are complete and delivered once, and a call that must not run twice
does not.
"""

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

NOT_REPEATABLE = service_call(is_idempotent=False)
REPEATABLE = service_call(is_idempotent=True)
# Times around each step of a call without faults: it is sent at 2 ms, queued
# at 4 ms, started at 64 ms and answered at 144 ms.
FAULTS_AT_MS = (0, 1, 2, 3, 4, 5, 30, 63, 64, 65, 100, 143, 144, 145, 147, 170)

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
FAULT_SCHEDULES = st.lists(
    st.tuples(TIMES, FAULTS).map(lambda pair: (pair[0], *pair[1])), max_size=6
)


def is_finished(simulation):
    return isinstance(simulation.last, actions.DeliverFinish)


@pytest.mark.parametrize('work', [GENERATION, NOT_REPEATABLE, REPEATABLE])
def test_call_without_faults_is_answered_once(work):
    simulation = Simulation(work).run()
    assert is_finished(simulation)
    assert len(simulation.executions) == 1
    simulation.check_invariants(is_repeatable=False)


@pytest.mark.guarantee_10
@pytest.mark.guarantee_09
@pytest.mark.parametrize('at_ms', FAULTS_AT_MS)
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
def test_unrepeatable_call_with_one_fault_at_each_step(fault, at_ms):
    simulation = Simulation(NOT_REPEATABLE, [(at_ms, *fault)]).run()
    simulation.check_invariants(is_repeatable=False)


@pytest.mark.guarantee_10
@given(FAULT_SCHEDULES)
@settings(max_examples=400, deadline=None)
def test_unrepeatable_call_under_mixed_faults(faults):
    Simulation(NOT_REPEATABLE, faults).run().check_invariants(
        is_repeatable=False
    )


@pytest.mark.guarantee_08
@given(FAULT_SCHEDULES)
@settings(max_examples=300, deadline=None)
def test_generation_under_mixed_faults(faults):
    Simulation(GENERATION, faults).run().check_invariants(is_repeatable=True)


@given(FAULT_SCHEDULES)
@settings(max_examples=100, deadline=None)
def test_repeatable_service_call_under_mixed_faults(faults):
    Simulation(REPEATABLE, faults).run().check_invariants(is_repeatable=True)


@pytest.mark.parametrize('work', [GENERATION, NOT_REPEATABLE])
@pytest.mark.parametrize('at_ms', FAULTS_AT_MS)
def test_silent_stream_is_resumed(work, at_ms):
    simulation = Simulation(work, [(at_ms, 'cut', None)]).run()
    assert is_finished(simulation)
    assert len(simulation.executions) == 1


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('at_ms', [5, 100, 400, 660])
def test_generation_continues_at_another_agent_when_its_agent_dies(
    at_ms, is_reset
):
    simulation = Simulation(
        GENERATION, [(at_ms, 'kill', 'agent-1', is_reset)]
    ).run()
    assert is_finished(simulation)
    assert simulation.text == EXPECTED_TEXT
    assert simulation.last.finish.usage.completion_tokens == TOKENS


def test_agent_that_dies_while_it_runs_a_call_leaves_the_outcome_unknown():
    simulation = Simulation(
        NOT_REPEATABLE, [(100, 'kill', 'agent-1', True)]
    ).run()
    assert simulation.refusal.code is Result.OUTCOME_UNKNOWN
    assert not simulation.refusal.not_run


def test_queued_call_is_revoked_before_its_deadline():
    simulation = Simulation(
        NOT_REPEATABLE, [(0, 'freeze', 'agent-1', DEADLINE_MS - 300)]
    ).run()
    assert simulation.refusal.not_run
    assert not simulation.executions


def test_attempt_is_cancelled_when_its_caller_disconnects():
    simulation = Simulation(GENERATION)
    simulation.schedule(200, simulation.handle_event, events.CallerGone())
    simulation.run()
    assert simulation.call.is_ended
    assert not simulation.refusal


def call_with_attempt(work, nonce):
    """Return a call whose attempt was sent, and the id of the attempt."""
    call = Simulation(work).call
    call.start()
    located = events.Located((Candidate('agent-1', nonce),))
    (opened,) = call.handle(located, 0)
    return call, opened.request.attempt


def test_revocation_by_another_process_leaves_the_outcome_unknown():
    call, attempt = call_with_attempt(NOT_REPEATABLE, 'agent-1/1')
    (revoke,) = call.handle(events.Tick(), DEADLINE_MS - 400)
    assert revoke.request.agent_nonce == 'agent-1/1'
    unknown = events.RevokeAnswered(attempt, AttemptState.UNKNOWN, 'agent-1/2')
    *_, refuse = call.handle(unknown, DEADLINE_MS - 300)
    assert refuse.refusal.code is Result.OUTCOME_UNKNOWN
    assert not refuse.refusal.not_run


@pytest.mark.parametrize(('is_resumed', 'nonce'), [(False, 'a/1'), (True, '')])
def test_agent_process_is_recorded_from_the_first_stream_only(
    is_resumed, nonce
):
    call, attempt = call_with_attempt(GENERATION, '')
    if is_resumed:
        call.handle(events.StreamBroke(attempt, LOST), 1)
    queued = Chunk(attempt, 0, AttemptState.QUEUED, nonce='a/1')
    call.handle(events.ChunkArrived(queued), 2)
    (revoke,) = call.handle(events.Tick(), DEADLINE_MS - 400)
    assert revoke.request.agent_nonce == nonce
