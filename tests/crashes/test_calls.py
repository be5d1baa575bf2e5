"""Tests of how requests are judged by crashes under them."""

from lagoonflow.crashes.calls import TRIAL_DELAY_MS
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.gossip.messages import CrashEntry

NOW_MS = 10_000_000
AGE_MS = 40
APART_MS = TRIAL_DELAY_MS + AGE_MS


def crash(number, *calls, parts=(), proven=(), at_ms=None):
    at_ms = NOW_MS + number * APART_MS if at_ms is None else at_ms
    return CrashEntry(
        f'i-{number}',
        1,
        at_ms,
        dict.fromkeys(parts, AGE_MS),
        proven=proven,
        call_ages_ms=dict.fromkeys(calls, AGE_MS),
    )


def evidence_of(*crashes):
    evidence = CrashEvidence()
    for entry in crashes:
        evidence.report(entry, NOW_MS)
    return evidence


def test_a_request_is_suspected_from_its_third_crash():
    crashes = [crash(number, 'bad') for number in range(3)]
    assert evidence_of(*crashes[:2]).suspicion('bad') is None
    suspicion = evidence_of(*crashes).suspicion('bad')
    assert not suspicion.is_blamed
    assert evidence_of(*crashes).suspicion('other') is None


def test_a_request_is_blamed_for_two_failed_trials():
    crashes = [crash(number, 'bad') for number in range(5)]
    assert evidence_of(*crashes[:4]).suspicion('bad').failed_trials == 1
    assert evidence_of(*crashes).suspicion('bad').is_blamed


def test_servers_that_crash_together_are_no_failed_trials():
    crashes = [
        crash(number, 'popular', at_ms=NOW_MS + number) for number in range(9)
    ]
    assert evidence_of(*crashes).suspicion('popular').failed_trials == 0


def test_an_answer_clears_a_request_at_all_routers():
    crashes = [crash(number, 'sound', 'bad') for number in range(5)]
    first, second = evidence_of(*crashes), evidence_of(*crashes)
    first.take_due(0)
    first.note_call_answered('sound')
    assert first.suspicion('sound') is None
    for entry in first.take_due(1):
        second.learn(entry, NOW_MS)
    assert second.suspicion('sound') is None
    assert second.suspicion('bad').is_blamed


def test_a_request_that_was_answered_before_needs_more_crashes():
    crashes = [
        crash(number, 'popular', proven=('popular',)) for number in range(8)
    ]
    assert evidence_of(*crashes[:5]).suspicion('popular') is None
    assert not evidence_of(*crashes[:7]).suspicion('popular').is_blamed
    assert evidence_of(*crashes).suspicion('popular').is_blamed


def test_a_shared_part_is_not_blamed_for_one_repeated_request():
    crashes = [crash(number, 'bad.1', parts=['part']) for number in range(6)]
    evidence = evidence_of(*crashes)
    assert evidence.find_blame(['part']) is None
    assert evidence.suspicion('bad.1').is_blamed
    assert evidence.suspicion('bad.2') is None


def test_requests_with_a_blamed_part_are_not_suspected_themselves():
    crashes = [
        crash(number, f'same.{number}', parts=['part']) for number in range(6)
    ]
    evidence = evidence_of(*crashes)
    assert evidence.find_blame(['part'])
    assert evidence.suspicion('same.9') is None


def test_a_request_whose_repeats_have_other_prompts_is_blamed():
    crashes = [crash(number, f'same.{number}') for number in range(5)]
    evidence = evidence_of(*crashes)
    assert evidence.suspicion('same.9').is_blamed
    assert evidence.suspicion('other.9') is None
    evidence.note_call_answered('same.8')
    assert evidence.suspicion('same.9') is None
