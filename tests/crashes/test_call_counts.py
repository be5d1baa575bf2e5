"""Tests of the counts of requests that crashes have in common."""

import random

from lagoonflow.crashes.call_counts import CallCounts
from lagoonflow.gossip.messages import CrashEntry

NAMES = [f'c{number}.{prompt}' for number in range(6) for prompt in 'ab']


def entry(number, names, cleared=()):
    return CrashEntry(
        f'i-{number}',
        1,
        number,
        {},
        cleared=cleared,
        call_ages_ms=dict.fromkeys(names, 1),
    )


def test_requests_of_several_crashes_are_found_with_and_without_prompt():
    counts = CallCounts()
    counts.replace(None, entry(1, ['x.a', 'y.a']))
    counts.replace(None, entry(2, ['x.b', 'y.a']))
    assert set(counts.repeated()) == {'x', 'y', 'y.a'}


def test_counts_after_changes_are_those_of_the_entries_left():
    generator = random.Random(3)
    counts, entries = CallCounts(), {}
    for _ in range(300):
        number = generator.randrange(9)
        changed = None
        if generator.random() < 0.7:
            changed = entry(number, generator.sample(NAMES, 3))
        counts.replace(entries.pop(number, None), changed)
        if changed is not None:
            entries[number] = changed
    fresh = CallCounts()
    for one in entries.values():
        fresh.replace(None, one)
    assert set(counts.repeated()) == set(fresh.repeated())
    assert counts._counts == fresh._counts
    for one in entries.values():
        counts.replace(one, None)
    assert not counts._counts
    assert not counts._uncleared


def test_an_answered_request_is_to_be_cleared_once():
    counts = CallCounts()
    for number in range(2):
        counts.replace(None, entry(number, ['x.a']))
    assert counts.take_uncleared('x.a') == {'x', 'x.a'}
    assert not counts.take_uncleared('x.a')
    counts.replace(None, entry(3, ['x.a']))
    assert counts.take_uncleared('x.b') == {'x'}
