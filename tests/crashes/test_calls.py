"""Tests of how requests are judged by crashes under them."""

import pytest

from lagoonflow.crashes.calls import TRIAL_DELAY_MS
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.gossip.messages import CrashEntry

NOW_MS = 10_000_000
AGE_MS = 40
APART_MS = TRIAL_DELAY_MS + AGE_MS
# A clock may be set by so much.
CLOCK_JUMP_MS = 2400


def crash(number, *calls, parts=(), proven=(), at_ms=None, trials=()):
    at_ms = NOW_MS + number * APART_MS if at_ms is None else at_ms
    return CrashEntry(
        f'i-{number}',
        1,
        at_ms,
        dict.fromkeys(parts, AGE_MS),
        proven=proven,
        call_ages_ms=dict.fromkeys(calls, AGE_MS),
        trials=trials,
    )


def trial(number, *calls, **others):
    """Return a crash under requests that were suspected when sent."""
    return crash(number, *calls, trials=calls, **others)


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
    crashes = [crash(number, 'bad') for number in range(3)]
    trials = [trial(number, 'bad') for number in (3, 4)]
    assert evidence_of(*crashes, trials[0]).suspicion('bad').failed_trials == 1
    assert evidence_of(*crashes, *trials).suspicion('bad').is_blamed


def test_sends_of_routers_that_have_not_heard_are_no_failed_trials():
    crashes = [crash(number, 'bad') for number in range(9)]
    assert evidence_of(*crashes).suspicion('bad').failed_trials == 0


@pytest.mark.parametrize('ahead_ms', [-CLOCK_JUMP_MS, CLOCK_JUMP_MS])
def test_clocks_of_routers_make_no_failed_trials(ahead_ms):
    """Servers that crashed together blamed a sound request for good."""
    clocks_ms = (0, 0, 0, ahead_ms, ahead_ms // 2)
    crashes = [
        crash(number, 'popular', at_ms=NOW_MS + 60 * number + clock_ms)
        for number, clock_ms in enumerate(clocks_ms)
    ]
    assert evidence_of(*crashes).suspicion('popular').failed_trials == 0


@pytest.mark.parametrize('ahead_ms', [-CLOCK_JUMP_MS, CLOCK_JUMP_MS])
def test_clocks_of_routers_hide_no_failed_trials(ahead_ms):
    crashes = [crash(number, 'bad') for number in range(3)]
    trials = [
        trial(number, 'bad', at_ms=NOW_MS + number * APART_MS + ahead_ms)
        for number in (3, 4)
    ]
    assert evidence_of(*crashes, *trials).suspicion('bad').is_blamed


def test_two_reports_of_a_crash_tell_of_the_trials_of_both_routers():
    crashes = [crash(number, 'bad', 'worse') for number in range(3)]
    first = crash(3, 'bad', 'worse', trials=('bad',))
    second = crash(3, 'bad', 'worse', trials=('worse',))
    evidence = evidence_of(*crashes, first, second)
    assert evidence.suspicion('bad').failed_trials == 1
    assert evidence.suspicion('worse').failed_trials == 1


def test_servers_that_crash_together_are_no_failed_trials():
    crashes = [
        crash(number, 'popular', at_ms=NOW_MS + number) for number in range(9)
    ]
    assert evidence_of(*crashes).suspicion('popular').failed_trials == 0


def test_an_answer_clears_a_request_at_all_routers():
    crashes = [trial(number, 'sound', 'bad') for number in range(5)]
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
        crash(number, 'popular', proven=('popular',)) for number in range(6)
    ]
    crashes += [trial(number, 'popular') for number in (6, 7)]
    assert evidence_of(*crashes[:5]).suspicion('popular') is None
    assert not evidence_of(*crashes[:7]).suspicion('popular').is_blamed
    assert evidence_of(*crashes).suspicion('popular').is_blamed


def test_a_shared_part_is_not_blamed_for_one_repeated_request():
    crashes = [trial(number, 'bad.1', parts=['part']) for number in range(6)]
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
    crashes = [trial(number, f'same.{number}') for number in range(5)]
    evidence = evidence_of(*crashes)
    assert evidence.suspicion('same.9').is_blamed
    assert evidence.suspicion('other.9') is None
    evidence.note_call_answered('same.8')
    assert evidence.suspicion('same.9') is None
