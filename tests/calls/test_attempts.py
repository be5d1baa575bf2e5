"""The attempt table: nothing runs twice, and REVOKED means not run."""

import dataclasses

import pytest

from lagoonflow.calls.attempts import (
    Admitted,
    AttemptTable,
    AttemptTableLimits,
    Rejected,
    Resumed,
)
from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    AttemptState,
    RevokeRequest,
)
from lagoonflow.results import Result
from lagoonflow.streams.messages import Versions

LIMITS = AttemptTableLimits(max_open=3, max_ended=3, retention_ms=1000)
STATES = AttemptState


def run_request(number=1, **fields):
    request = AttemptRequest(
        AttemptId(f'request-{number}', 1),
        'router',
        'organisation',
        'key',
        1000,
        Versions(),
        router_nonce='router/1',
        agent_nonce='agent/1',
        sequence=number,
    )
    return dataclasses.replace(request, **fields)


def revoke_request(number=1, **fields):
    request = RevokeRequest(
        AttemptId(f'request-{number}', 1),
        'router',
        Versions(),
        router_nonce='router/1',
        agent_nonce='agent/1',
        sequence=number,
    )
    return dataclasses.replace(request, **fields)


@pytest.fixture
def table():
    return AttemptTable('agent/1', LIMITS)


def test_known_attempt_is_resumed_and_never_admitted_again(table):
    request = run_request()
    assert table.register(request, 0) == Admitted()
    assert table.register(request, 1) == Resumed(STATES.QUEUED)
    assert table.start(request.attempt)
    assert not table.start(request.attempt)
    assert table.register(request, 2) == Resumed(STATES.STARTED)
    table.finish(request.attempt, 3)
    assert table.register(request, 4) == Resumed(STATES.FINISHED)


def test_attempt_revoked_before_it_arrives_is_rejected(table):
    assert table.revoke(revoke_request(), 0) is STATES.REVOKED
    registration = table.register(run_request(), 1)
    assert isinstance(registration, Rejected)
    assert registration.refusal.code is Result.REVOKED
    assert registration.refusal.not_run


@pytest.mark.parametrize('nonce', ['agent/0', ''])
def test_revoke_for_another_process_leaves_the_state_unknown(table, nonce):
    request = revoke_request(agent_nonce=nonce)
    assert table.revoke(request, 0) is STATES.UNKNOWN
    late = table.register(run_request(agent_nonce=nonce), 1)
    assert isinstance(late, Rejected)


def test_withdrawn_attempt_can_not_start(table):
    request = run_request()
    table.register(request, 0)
    assert table.revoke(revoke_request(), 1) is STATES.QUEUED
    table.withdraw(request.attempt, 1)
    assert not table.start(request.attempt)
    assert table.revoke(revoke_request(), 2) is STATES.REVOKED
    assert table.open_count == 0


@pytest.mark.parametrize(
    ('fields', 'not_run'),
    [
        ({'agent_nonce': 'agent/0'}, True),
        ({'agent_nonce': 'agent/0', 'is_resumption': True}, False),
        ({'agent_nonce': '', 'is_resumption': True}, False),
        ({'is_resumption': True, 'next_index': 3}, False),
    ],
)
def test_attempt_addressed_to_another_process_is_rejected(
    table, fields, not_run
):
    registration = table.register(run_request(**fields), 0)
    assert isinstance(registration, Rejected)
    assert registration.refusal.not_run is not_run


def test_resumption_of_an_attempt_that_never_arrived_queues_it(table):
    assert table.register(run_request(is_resumption=True), 0) == Admitted()
    assert table.register(run_request(), 1) == Resumed(STATES.QUEUED)


@pytest.mark.parametrize('is_tombstone', [True, False])
def test_late_copy_of_a_dropped_attempt_does_not_run(table, is_tombstone):
    request = run_request(5)
    if is_tombstone:
        table.revoke(revoke_request(5), 0)
    else:
        table.register(request, 0)
        table.start(request.attempt)
        table.finish(request.attempt, 0)
    table.expire(LIMITS.retention_ms)
    assert table.state(request.attempt) is STATES.UNKNOWN
    late = table.register(request, LIMITS.retention_ms + 1)
    assert isinstance(late, Rejected)
    assert not late.refusal.not_run
    assert table.revoke(revoke_request(5), 2000) is STATES.UNKNOWN
    assert table.register(run_request(6), 2001) == Admitted()


def test_table_is_bounded(table):
    for number in range(1, 6):
        table.revoke(revoke_request(number), 0)
    table.expire(1)
    assert table.state(AttemptId('request-2', 1)) is STATES.UNKNOWN
    assert table.state(AttemptId('request-3', 1)) is STATES.REVOKED
    registrations = [
        table.register(run_request(number), 1) for number in (6, 7, 8, 9)
    ]
    assert registrations[:3] == [Admitted()] * 3
    assert registrations[3].refusal.code is Result.TOO_MANY_WAITING
