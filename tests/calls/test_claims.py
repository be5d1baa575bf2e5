"""State of the claims stream: processes agree and no call runs twice."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonflow.calls import claims
from lagoonflow.calls.claim_records import (
    Claimed,
    ClaimKey,
    Closed,
    Forgotten,
    Outcome,
    OutcomeKind,
    Settled,
    kind_of,
)
from lagoonflow.calls.claims import ClaimsState
from lagoonflow.calls.claims_fold import ClaimsFold
from lagoonflow.calls.settling import ClaimSettler, SettlingPolicy
from lagoonflow.results import Result
from lagoonflow.streams.envelope import Record, encode_record
from lagoonflow.streams.messages import LogRecord

KEYS = [ClaimKey('org', 'route', name) for name in 'ab']
ANSWERED = Outcome(OutcomeKind.ANSWERED, 200, (), b'body')
NOT_RUN = Outcome(OutcomeKind.NOT_RUN)
UNKNOWN = Outcome(OutcomeKind.UNKNOWN)
CLAIM_IDS = st.sampled_from(['1', '2', '3', '4'])
RECORDS = st.one_of(
    st.builds(
        Claimed,
        CLAIM_IDS,
        st.sampled_from(KEYS),
        st.just('digest'),
        st.sampled_from(['router-1', 'router-2']),
        st.just('nonce'),
    ),
    st.builds(Settled, CLAIM_IDS, st.sampled_from([ANSWERED, NOT_RUN])),
    st.builds(Closed, CLAIM_IDS),
    st.builds(Forgotten, st.integers(0, 30)),
)


def claimed(claim_id, key=KEYS[0], claimer='router-1'):
    return Claimed(claim_id, key, 'digest', claimer, 'nonce')


def state_after(*records):
    state = ClaimsState()
    for offset, record in enumerate(records):
        state.apply(record, offset)
    return state


def outcome_after(*records):
    claim = state_after(*records).find(KEYS[0])
    return claim and claim.outcome


def test_first_claim_in_log_order_holds_the_key():
    state = state_after(claimed('1'), claimed('2'))
    assert state.find(KEYS[0]).record.claim_id == '1'
    assert state.find_by_id('2') is None


@pytest.mark.parametrize(
    ('after', 'outcome'),
    [
        ([], None),
        ([Settled('1', ANSWERED)], ANSWERED),
        ([Closed('1')], UNKNOWN),
        ([Closed('1'), Settled('1', ANSWERED)], ANSWERED),
        ([Settled('1', ANSWERED), Closed('1')], ANSWERED),
        ([Settled('1', ANSWERED), Settled('1', NOT_RUN)], ANSWERED),
        ([Settled('2', ANSWERED)], None),
    ],
)
def test_outcome_of_a_claim(after, outcome):
    assert outcome_after(claimed('1'), claimed('2'), *after) == outcome


@pytest.mark.parametrize('before', [[], [Closed('1')]])
def test_call_that_did_not_run_frees_its_key(before):
    state = state_after(
        claimed('1'), *before, Settled('1', NOT_RUN), claimed('2')
    )
    assert state.find(KEYS[0]).record.claim_id == '2'


def test_forgotten_outcomes_free_their_keys_but_open_claims_stay():
    state = state_after(
        claimed('1'),
        claimed('2', KEYS[1]),
        Settled('1', ANSWERED),
        Forgotten(2),
    )
    assert state.find(KEYS[0]) is None
    assert state.find(KEYS[1]).record.claim_id == '2'


def test_full_state_rejects_claims(monkeypatch):
    monkeypatch.setattr(claims, 'MAX_CLAIMS', 1)
    state = state_after(claimed('1'))
    refusal = state.apply(claimed('2', KEYS[1]), 1)
    assert refusal.code is Result.TOO_MANY_WAITING
    assert state.find(KEYS[1]) is None


@given(st.lists(RECORDS, max_size=30), st.integers(0, 30))
@settings(max_examples=200, deadline=None)
def test_processes_agree_whichever_offset_they_start_at(records, restart):
    fold, restored_fold = ClaimsFold(), ClaimsFold()
    for offset, record in enumerate(records):
        body = Record(f'record-{offset}', kind_of(record), record)
        log_record = LogRecord(offset, encode_record(body))
        fold.apply(log_record)
        restored_fold.apply(log_record)
        if offset == restart:
            restored_fold = ClaimsFold()
            restored_fold.restore(fold.checkpoint())
    assert fold.checkpoint() == restored_fold.checkpoint()
    assert list(fold.state.open_claims) == list(restored_fold.state.open_claims)


@pytest.mark.guarantee_10
@given(st.lists(RECORDS, max_size=40))
@settings(max_examples=300, deadline=None)
def test_key_is_claimed_anew_only_after_it_was_freed(records):
    state = ClaimsState()
    for offset, record in enumerate(records):
        before = {key: state.find(key) for key in KEYS}
        state.apply(record, offset)
        for key, claim in before.items():
            after = state.find(key)
            if claim is None or after is None or isinstance(record, Forgotten):
                continue
            assert after.record == claim.record


def test_malformed_bodies_are_rejected():
    fold = ClaimsFold()
    body = {'claim_id': '', 'key': 5}
    fold.apply(LogRecord(0, encode_record(Record('x', 'claimed', body))))
    fold.apply(LogRecord(1, encode_record(Record('y', 'other', body))))
    assert fold.rejected_count == 2
    with pytest.raises(msgspec.MsgspecError):
        fold.state.fold('claimed', b'{}', 0)


POLICY = SettlingPolicy(max_jitter_ms=1)


def due_at(settler, state, is_alive, *times_ms):
    return [
        settler.due_records(state, lambda *_: is_alive, now) for now in times_ms
    ]


def test_claim_of_a_dead_claimer_is_closed_in_time():
    settler = ClaimSettler('router-2', POLICY)
    state = state_after(claimed('1'))
    early, due, repeated, again = due_at(
        settler, state, False, 0, 2000, 2001, 2000 + POLICY.append_retry_ms
    )
    assert (early, due, repeated) == ([], [Closed('1')], [])
    assert again == [Closed('1')]


def test_claim_of_a_live_claimer_is_closed_when_it_is_too_old():
    settler = ClaimSettler('router-2', POLICY)
    state = state_after(claimed('1'))
    early, due = due_at(settler, state, True, 0, POLICY.max_open_ms)
    assert (early, due) == ([], [Closed('1')])


def test_outcomes_are_forgotten_after_their_retention():
    settler = ClaimSettler('router-2', POLICY)
    state = state_after(claimed('1'), Settled('1', ANSWERED))
    kept, due = due_at(settler, state, True, 0, POLICY.retention_ms)
    assert (kept, due) == ([], [Forgotten(1)])
    state.apply(due[0], 2)
    assert state.find(KEYS[0]) is None
