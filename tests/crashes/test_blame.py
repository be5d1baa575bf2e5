"""Tests of the decision which prompt parts crash servers."""

from lagoonflow.crashes.blame import find_blame
from lagoonflow.gossip.messages import CrashEntry


def crash(number, at_ms, *parts, age_ms=100, proven=(), cleared=()):
    ages_ms = dict.fromkeys(parts, age_ms)
    return CrashEntry(f'i-{number}', 1, at_ms, ages_ms, {}, proven, cleared)


def blamed(crashes):
    return [sorted(one.parts) for one in find_blame(crashes)]


def test_a_part_is_blamed_for_its_third_crash():
    crashes = [crash(n, n * 1000, f'other-{n}', 'bad') for n in range(3)]
    assert blamed(crashes[:2]) == []
    assert blamed(crashes) == [['bad']]


def test_a_request_sent_in_the_ms_of_the_crash_before_counts_as_sent_after_it():
    crashes = [crash(n, n * 1000, 'bad', age_ms=1000) for n in range(3)]
    assert blamed(crashes) == [['bad']]
    assert (
        blamed([crash(n, n * 1000, 'bad', age_ms=1001) for n in range(3)]) == []
    )


def test_servers_that_are_killed_together_count_as_one_crash():
    crashes = [crash(n, 1000 + n * 5, 'hot') for n in range(8)]
    assert blamed(crashes) == []


def test_a_part_beside_the_crashing_one_is_not_blamed():
    crashes = [crash(n, n * 1000, 'bad', 'rare') for n in range(3)]
    crashes += [crash(n, n * 1000, 'bad') for n in range(3, 5)]
    assert blamed(crashes) == [['bad']]


def test_parts_that_always_crash_together_are_blamed_together():
    crashes = [crash(n, n * 1000, 'first', 'bad') for n in range(3)]
    assert blamed(crashes) == [['bad', 'first']]


def test_a_part_that_was_answered_since_is_not_blamed():
    crashes = [
        crash(n, n * 1000, 'first', 'bad', cleared=('first',)) for n in range(3)
    ]
    assert blamed(crashes) == [['bad']]


def test_a_part_that_was_answered_before_needs_more_crashes():
    crashes = [
        crash(n, n * 1000, 'hot', 'other', proven=('hot',), cleared=('other',))
        for n in range(6)
    ]
    assert blamed(crashes[:5]) == []
    assert blamed(crashes) == [['hot']]


def test_a_part_that_was_answered_before_is_not_blamed_if_none_is_answered():
    crashes = [crash(n, n * 1000, 'hot', proven=('hot',)) for n in range(9)]
    assert blamed(crashes) == []


def test_a_part_that_was_never_answered_is_blamed_while_servers_are_killed():
    crashes = [crash(n, n * 1000, f'other-{n}') for n in range(12)]
    crashes += [crash(20 + n, n * 3000 + 500, 'bad') for n in range(4)]
    assert blamed(crashes) == [['bad']]


def test_a_part_is_not_blamed_while_most_servers_crash_without_it():
    crashes = [crash(n, n * 1000, f'other-{n}') for n in range(12)]
    crashes += [crash(20 + n, n * 4000, 'rare') for n in range(3)]
    assert blamed(crashes) == []


def test_two_crashing_parts_are_both_blamed():
    crashes = [crash(n, n * 1000, 'bad-1') for n in range(4)]
    crashes += [crash(n, n * 1000, 'bad-2') for n in range(4, 8)]
    assert sorted(blamed(crashes)) == [['bad-1'], ['bad-2']]
