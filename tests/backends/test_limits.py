"""Tests of limits of servers that several routers share."""

import random

import pytest

from lagoonflow.backends.limits import LimitStatement, RequestLimits

NOW_MS = 100_000.0
WINDOW_MS = 4000
SERVER = ('i-1', 7)
CALL = 1


def named(limit_per_s, at_ms=NOW_MS, started_ms=7):
    return LimitStatement('i-1', started_ms, limit_per_s, at_ms)


def wait_ms(limits, now_ms=NOW_MS, call_id=CALL):
    return limits.wait_ms(*SERVER, call_id, now_ms)


def test_a_server_without_a_limit_may_be_sent_anything():
    assert wait_ms(RequestLimits()) == 0


def test_a_limited_server_is_sent_requests_at_even_intervals():
    limits = RequestLimits()
    limits.hear(named(2))
    assert wait_ms(limits) == 500
    limits.take('i-1', CALL, NOW_MS + 500)
    assert wait_ms(limits, NOW_MS + 500) == 500


def test_waiting_calls_are_sent_in_order_and_move_up():
    limits = RequestLimits()
    limits.hear(named(2))
    for call_id in (1, 2, 3):
        limits.book('i-1', call_id, NOW_MS)
    assert [wait_ms(limits, call_id=one) for one in (1, 2, 3, 4)] == [
        500,
        1000,
        1500,
        2000,
    ]
    limits.release(2)
    assert [wait_ms(limits, call_id=one) for one in (1, 3, 4)] == [
        500,
        1000,
        1500,
    ]


def test_refused_callers_are_told_different_times_to_return():
    limits = RequestLimits()
    limits.hear(named(2))
    returns = [limits.promise_return('i-1', NOW_MS) for _ in range(3)]
    assert returns == [500, 1000, 1500]


def test_a_lifted_limit_ends_at_once():
    limits = RequestLimits()
    limits.hear(named(1))
    limits.hear(named(None, NOW_MS + 10))
    assert wait_ms(limits, NOW_MS + 10) == 0


def test_an_older_answer_without_a_limit_does_not_lift_it():
    limits = RequestLimits()
    limits.hear(named(1))
    limits.hear(named(None, NOW_MS - 10))
    assert wait_ms(limits) > 0


def test_a_limit_does_not_hold_for_another_start_of_the_server():
    limits = RequestLimits()
    limits.hear(named(1))
    assert limits.wait_ms('i-1', 8, CALL, NOW_MS) == 0


@pytest.mark.parametrize('limit_per_s', [0, 1e-9, 1e9])
def test_extreme_limits_neither_stop_a_server_nor_fail(limit_per_s):
    limits = RequestLimits()
    limits.hear(named(limit_per_s))
    assert 0 <= wait_ms(limits) <= 5000


def test_another_router_learns_a_limit_and_its_end():
    first, second = RequestLimits(), RequestLimits()
    first.hear(named(2))
    for statement in first.take_due(NOW_MS):
        second.learn(statement)
    assert wait_ms(second) > 0
    first.hear(named(None, NOW_MS + 1))
    for statement in first.take_due(NOW_MS + 1):
        second.learn(statement)
    assert wait_ms(second, NOW_MS + 1) == 0


def test_the_end_of_a_limit_is_not_repeated_for_ever():
    limits = RequestLimits()
    limits.hear(named(2))
    limits.hear(named(None, NOW_MS + 1))
    sent = 0
    for at_ms in range(0, 60_000, 100):
        limits.hear(named(None, NOW_MS + 2 + at_ms))
        sent += bool(limits.take_due(NOW_MS + 2 + at_ms))
    assert 5 < sent < 15


def test_a_router_that_missed_the_end_of_a_limit_uses_the_server_again():
    names = [f'r{number}' for number in range(26)]
    unused = []
    for name in names:
        limits = RequestLimits()
        limits.update_routers(name, names)
        limits.learn(named(1))
        if wait_ms(limits) == float('inf'):
            unused.append(limits)
    assert unused
    assert {wait_ms(limits, NOW_MS + 14_000) for limits in unused} == {
        float('inf')
    }
    assert {wait_ms(limits, NOW_MS + 16_000) for limits in unused} == {0}


def test_routers_without_a_share_leave_a_limited_server_alone():
    names = [f'r{number}' for number in range(26)]
    users = 0
    for name in names:
        limits = RequestLimits()
        limits.update_routers(name, names)
        limits.hear(named(1))
        users += wait_ms(limits) < float('inf')
    assert users == 6


def test_a_router_that_gets_a_share_again_uses_the_server():
    names = [f'r{number}' for number in range(26)]
    limits = RequestLimits()
    limits.update_routers('alone', [])
    limits.hear(named(1))
    limits.update_routers('alone', names)
    limits.update_routers('alone', [])
    assert wait_ms(limits) <= 1000


def _simulate(seed, limit_per_s, router_count, for_ms):
    """Let all routers send as much as they may; return when requests come."""
    chance = random.Random(seed)
    names = [f'r{number}' for number in range(router_count)]
    routers = {name: RequestLimits() for name in names}
    arrivals_ms = []
    now_ms = NOW_MS
    while now_ms < NOW_MS + for_ms:
        now_ms += 10
        if chance.random() < 0.002:
            routers[chance.choice(names)] = RequestLimits()
        for name, limits in routers.items():
            limits.update_routers(name, names)
            if not wait_ms(limits, now_ms):
                limits.take('i-1', CALL, now_ms)
                arrivals_ms.append(now_ms)
                limits.hear(named(limit_per_s, now_ms))
            for statement in limits.take_due(now_ms):
                for other in routers.values():
                    if other is not limits and chance.random() > 0.1:
                        other.learn(statement)
    return [one for one in arrivals_ms if one > NOW_MS + 3000]


@pytest.mark.parametrize('router_count', [1, 3, 4, 26])
@pytest.mark.parametrize('limit_per_s', [0.3, 1, 2.5, 12])
@pytest.mark.parametrize('seed', range(3))
def test_all_routers_together_keep_the_limit_and_use_it(
    seed, limit_per_s, router_count
):
    for_ms = 20_000
    arrivals_ms = _simulate(seed, limit_per_s, router_count, for_ms)
    most = max(
        sum(start <= one < start + WINDOW_MS for one in arrivals_ms)
        for start in arrivals_ms
    )
    assert most <= 1.5 * limit_per_s * WINDOW_MS / 1000 + 5
    assert len(arrivals_ms) >= 0.6 * limit_per_s * (for_ms - 3000) / 1000
