"""Tests of the permits for loads from the weight store."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.placement.messages import LoadFinished, PermitRequest
from lagoonflow.placement.permits import (
    PERMIT_LIFETIME_MS,
    StorePermits,
    StoreSettings,
)
from lagoonflow.streams.messages import Versions


def ask(permits, now_ms, name, waiting=1, deadline_in_ms=10_000, ratio=1.0):
    request = PermitRequest(
        name, 'agent', 'a', waiting, deadline_in_ms, ratio, Versions()
    )
    permits.enqueue(now_ms, request)


def finish(permits, now_ms, name, took_ms=1_000):
    message = LoadFinished(name, 'agent', took_ms, True, Versions())
    permits.on_finished(now_ms, message)


def granted(permits, now_ms):
    return [reply.permit_id for reply in permits.grant_due(now_ms)]


def test_most_urgent_load_is_granted_first():
    permits = StorePermits(StoreSettings(1, 1))
    ask(permits, 0, 'one')
    ask(permits, 0, 'many', waiting=10)
    ask(permits, 0, 'urgent', deadline_in_ms=1_000)
    ask(permits, 0, 'unfair', ratio=0)
    order = []
    for now_ms in range(0, 4_000, 1_000):
        for name in granted(permits, now_ms):
            order.append(name)
            finish(permits, now_ms, name)
    assert order == ['unfair', 'urgent', 'many', 'one']


def test_permit_is_granted_again_after_a_lost_reply():
    permits = StorePermits(StoreSettings(1, 1))
    ask(permits, 0, 'one')
    assert granted(permits, 0) == ['one']
    ask(permits, 10, 'one')
    assert granted(permits, 10) == ['one']


def test_permit_of_a_dead_agent_expires():
    permits = StorePermits(StoreSettings(1, 1))
    ask(permits, 0, 'dead')
    assert granted(permits, 0) == ['dead']
    ask(permits, PERMIT_LIFETIME_MS, 'next')
    assert granted(permits, PERMIT_LIFETIME_MS) == ['next']


def test_parallel_loads_drop_while_loads_are_slow_and_recover():
    permits = StorePermits(StoreSettings(10, 4))
    for number in range(5):
        finish(permits, number, f'fast{number}')
    finish(permits, 10, 'slow', took_ms=4_000)
    finish(permits, 11, 'slower', took_ms=9_000)
    assert permits.parallel == 2
    for number in range(20):
        finish(permits, 20 + number, f'again{number}')
    assert permits.parallel == 4


@given(
    st.floats(0.5, 10),
    st.integers(1, 6),
    st.lists(st.integers(0, 400), min_size=1, max_size=80),
)
def test_rate_and_parallel_loads_stay_within_the_limits(
    rate_per_s, parallel, gaps_ms
):
    permits = StorePermits(StoreSettings(rate_per_s, parallel))
    now_ms = 10_000
    running = []
    starts = []
    for number, gap_ms in enumerate(gaps_ms):
        now_ms += gap_ms
        ask(permits, now_ms, str(number))
        if running and gap_ms % 3 == 0:
            finish(permits, now_ms, running.pop(0))
        for name in granted(permits, now_ms):
            running.append(name)
            starts.append(now_ms)
        assert len(running) <= parallel
    for first, start_ms in enumerate(starts):
        for last in range(first, len(starts)):
            window_s = (starts[last] - start_ms) / 1_000
            assert last - first + 1 <= window_s * rate_per_s + 2
