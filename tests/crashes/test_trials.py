"""Tests of which router may try a suspected request."""

from lagoonflow.crashes.calls import TRIAL_DELAY_MS, CallSuspicion
from lagoonflow.crashes.trials import TURN_MS, TrialTurns

NAMES = [f'r{number}' for number in range(12)]
# The begin of a turn.
NOW_MS = 2000 * TURN_MS
CRASHED_MS = NOW_MS - TRIAL_DELAY_MS


def suspicion(name='bad', crashed_at_ms=CRASHED_MS):
    return CallSuspicion(name, frozenset(), 0, crashed_at_ms, 0)


def make_turns():
    return [
        TrialTurns(name, [one for one in NAMES if one != name].copy, 0)
        for name in NAMES
    ]


def allowed(routers, now_ms, name='bad'):
    return [one for one in routers if not one.wait_ms(suspicion(name), now_ms)]


def test_one_router_at_a_time_may_try():
    routers = make_turns()
    chosen = [allowed(routers, NOW_MS + turn * TURN_MS) for turn in range(60)]
    assert all(len(one) == 1 for one in chosen)
    assert len({one[0]._own_name for one in chosen}) > len(NAMES) / 2


def test_each_request_has_turns_of_its_own():
    routers = make_turns()
    chosen = {allowed(routers, NOW_MS, f'b{one}')[0] for one in range(40)}
    assert len(chosen) > len(NAMES) / 2


def test_a_request_is_tried_once_in_a_turn_until_it_is_answered():
    (router,) = allowed(make_turns(), NOW_MS)
    router.take('bad', NOW_MS)
    assert router.wait_ms(suspicion(), NOW_MS + 1) == TRIAL_DELAY_MS
    router.give_back('bad')
    assert router.wait_ms(suspicion(), NOW_MS + 1) == 0


def test_no_request_is_tried_right_after_a_crash():
    router = TrialTurns('alone', tuple, 0)
    crashed = suspicion(crashed_at_ms=NOW_MS)
    assert router.wait_ms(crashed, NOW_MS + 100) == TRIAL_DELAY_MS - 100
    assert router.wait_ms(crashed, NOW_MS + TRIAL_DELAY_MS) == 0


def test_trials_of_earlier_turns_are_forgotten():
    router = TrialTurns('alone', tuple, 0)
    for turn in range(50):
        router.take(f'b{turn}', NOW_MS + turn * TURN_MS)
    assert len(router._taken) == 1


def test_a_restarted_router_leaves_the_turn_that_it_may_have_used():
    router = TrialTurns('alone', tuple, NOW_MS + 10)
    assert router.wait_ms(suspicion(), NOW_MS + 20) == TRIAL_DELAY_MS
    assert router.wait_ms(suspicion(), NOW_MS + TURN_MS) == 0
    later = suspicion(crashed_at_ms=NOW_MS + 20)
    assert router.wait_ms(later, NOW_MS + 20 + TRIAL_DELAY_MS) == 0
