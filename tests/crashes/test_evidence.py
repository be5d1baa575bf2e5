"""Tests of the crashes that routers remember and share."""

import itertools

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.crashes.announcements import REPEAT_INTERVAL_MS
from lagoonflow.crashes.evidence import (
    MAX_CRASHES,
    MEMORY_MS,
    SAVED_WHOLE_MS,
    CrashEvidence,
    blamed_for_ms,
)
from lagoonflow.gossip.messages import CrashEntry, CrashesState, decode, encode

NOW_MS = 10_000_000


def crash(number, *parts, at_ms=None):
    at_ms = NOW_MS + number * 1000 if at_ms is None else at_ms
    return CrashEntry(f'i-{number}', 1, at_ms, dict.fromkeys(parts, 50))


def blaming(*parts, crashes=3):
    evidence = CrashEvidence()
    for number in range(crashes):
        evidence.report(crash(number, *parts), NOW_MS)
    return evidence


def test_requests_with_all_blamed_parts_are_found_and_others_are_not():
    evidence = blaming('first', 'bad')
    assert evidence.find_blame(['first', 'bad', 'own'])
    assert not evidence.find_blame(['first', 'good', 'own'])


def test_an_answer_clears_a_part_beside_the_crashing_one():
    evidence = blaming('first', 'bad')
    evidence.note_answer(['first', 'good'])
    assert evidence.find_blame(['other', 'bad'])
    assert not evidence.find_blame(['first', 'good'])


def test_another_router_blames_the_same_part():
    evidence = blaming('bad')
    other = CrashEvidence()
    message = decode(encode(CrashesState('r1', evidence.take_due(0))))
    for entry in message.crashes:
        other.learn(entry, NOW_MS)
    assert other.find_blame(['bad'])
    assert not other.has_unsaved


def test_a_cleared_part_is_cleared_at_another_router():
    evidence = blaming('good')
    other = CrashEvidence()
    for entry in evidence.entries():
        other.learn(entry, NOW_MS)
    other.note_answer(['good'])
    for entry in other.take_due(0):
        evidence.learn(entry, NOW_MS)
    assert not evidence.find_blame(['good'])


def test_a_part_answered_at_another_router_before_the_crash_is_proven():
    evidence = CrashEvidence()
    evidence.report(crash(1, 'good'), NOW_MS)
    other = CrashEvidence()
    other.note_answer(['good'])
    for entry in evidence.take_due(0):
        other.learn(entry, NOW_MS)
    for entry in other.take_due(0):
        evidence.learn(entry, NOW_MS)
    assert [entry.proven for entry in evidence.entries()] == [('good',)]


def test_changed_entries_are_repeated_as_datagrams_may_be_lost():
    evidence = blaming('bad')
    assert evidence.take_due(0)
    assert not evidence.take_due(1)
    assert evidence.take_due(REPEAT_INTERVAL_MS)


def test_a_blame_ends_when_its_crashes_are_forgotten():
    evidence = blaming('bad')
    blame = evidence.find_blame(['bad'])
    left_ms = blamed_for_ms(blame, NOW_MS)
    assert left_ms == MEMORY_MS
    evidence.drop_expired(NOW_MS + left_ms)
    assert not evidence.find_blame(['bad'])


def test_memory_stays_bounded_under_many_crashes():
    evidence = CrashEvidence()
    for number in range(4 * MAX_CRASHES):
        evidence.report(crash(number, f'p-{number}', at_ms=NOW_MS), NOW_MS)
        evidence.drop_expired(NOW_MS)
    assert len(evidence.entries()) <= MAX_CRASHES


def test_entries_of_older_routers_without_new_fields_are_read():
    raw = msgspec.json.encode(['i-1', 1, NOW_MS, {'bad': 5}])
    entry = msgspec.json.decode(raw, type=CrashEntry)
    assert entry.suspects == {'bad'}


_PARTS = st.sampled_from(['a', 'b', 'c'])
_ENTRIES = st.builds(
    CrashEntry,
    instance=st.sampled_from(['i-1', 'i-2']),
    started_ms=st.just(1),
    at_ms=st.integers(NOW_MS, NOW_MS + 3),
    request_ages_ms=st.dictionaries(_PARTS, st.integers(0, 5)),
    waiting_ages_ms=st.dictionaries(_PARTS, st.integers(0, 5)),
    proven=st.lists(_PARTS, unique=True).map(sorted).map(tuple),
    cleared=st.lists(_PARTS, unique=True).map(sorted).map(tuple),
)


@given(st.lists(_ENTRIES, max_size=4))
def test_routers_agree_in_whatever_order_entries_arrive(entries):
    outcomes = set()
    for order in itertools.permutations(entries):
        evidence = CrashEvidence()
        for entry in (*order, *order):
            evidence.learn(entry, NOW_MS)
        known = sorted(evidence.entries(), key=lambda one: one.crash_id)
        outcomes.add(msgspec.json.encode([_sorted(one) for one in known]))
    assert len(outcomes) == 1


def _sorted(entry):
    return msgspec.structs.replace(
        entry,
        request_ages_ms=dict(sorted(entry.request_ages_ms.items())),
        waiting_ages_ms=dict(sorted(entry.waiting_ages_ms.items())),
    )


# Limits of a record of the metadata store and of a datagram, in bytes.
MAX_RECORD_BYTES = 262_144
MAX_DATAGRAM_BYTES = 65_000


def test_crashes_of_busy_servers_fit_into_a_record_and_into_datagrams():
    evidence = CrashEvidence()
    for number in range(2 * MAX_CRASHES):
        for router in range(4):
            calls = {
                f'{number:05}{router:02}{one:04}.wxyz': 40_000 + one
                for one in range(200)
            }
            entry = CrashEntry(
                f'i-{number:010}', NOW_MS, NOW_MS, {}, call_ages_ms=calls
            )
            evidence.report(entry, NOW_MS)
        evidence.drop_expired(NOW_MS)
    assert len(msgspec.json.encode(evidence.entries())) < MAX_RECORD_BYTES
    sent = set()
    for tick in range(60):
        due = evidence.take_due(NOW_MS + 50 * tick)
        sent.update(one.crash_id for one in due)
        message = CrashesState('router', due)
        assert len(encode(message)) < MAX_DATAGRAM_BYTES
    assert sent == {one.crash_id for one in evidence.entries()}


def test_answered_requests_are_forgotten_when_there_are_too_many(monkeypatch):
    monkeypatch.setattr('lagoonflow.crashes.evidence.MAX_ANSWERED_CALLS', 3)
    evidence = CrashEvidence()
    for number in range(9):
        evidence.note_call_answered(f'call-{number}')
    assert len(evidence._answered_calls) == 3


def test_requests_of_a_single_crash_are_not_saved_for_long():
    evidence = CrashEvidence()
    for number in range(3):
        calls = {'repeated': 40, 'varied.' + str(number): 40}
        calls[f'single-{number}'] = 40
        entry = CrashEntry(
            f'i-{number}', 1, NOW_MS, {'part': 50}, call_ages_ms=calls
        )
        evidence.report(entry, NOW_MS)
    whole = evidence.entries_to_save(NOW_MS + SAVED_WHOLE_MS - 1)
    assert whole == evidence.entries()
    restarted = CrashEvidence()
    for number, entry in enumerate(
        evidence.entries_to_save(NOW_MS + SAVED_WHOLE_MS)
    ):
        assert set(entry.call_ages_ms) == {'repeated', f'varied.{number}'}
        restarted.learn(entry, NOW_MS)
    assert restarted.suspicions() == evidence.suspicions()
    assert restarted.blames() == evidence.blames()
