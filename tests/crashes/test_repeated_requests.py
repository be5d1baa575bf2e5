"""Repeats of a request that crashes servers, and of sound ones beside it."""

import os

import pytest

from tests.crashes.repeats import RepeatingFleet

# Seeds of each case; a longer run is started by hand.
SEEDS = int(os.environ.get('LAGOONFLOW_CRASH_SEEDS', '3'))
CRASHES_BEFORE_LIMIT = 3
STABLE_WINDOW_MS = 3000
MAX_MORE = 3
MIN_SOUND_SHARE = 0.95
CLOCK_SPREAD_MS = 2400
# Routers, servers, requests per second.
SIZES = ((1, 3, 6), (3, 3, 6), (4, 8, 40), (12, 8, 40), (26, 24, 80))
BAD_PER_S = (0.3, 1, 4, 12)


def disturbance(fleet):
    """Return what happens beside the crashes, chosen by the seed."""
    kill_interval_ms = fleet.random.choice((0, 0, 5000, 2500))
    restart_interval_ms = fleet.random.choice((0, 0, 4000, 9000))
    restarts_all = fleet.random.random() < 0.5

    def disturb(running):
        now_ms, up = running.now_ms, running.up()
        if kill_interval_ms and up and now_ms % kill_interval_ms == 0:
            running.kill(running.random.choice(up))
        if restart_interval_ms and now_ms % restart_interval_ms == 0:
            routers = running.routers
            running.restart(
                *(routers if restarts_all else [running.random.choice(routers)])
            )

    return disturb


@pytest.mark.parametrize('work_ms', [100, 2500])
@pytest.mark.parametrize('size', SIZES)
def test_a_crashing_request_stops_at_all_routers_and_sound_ones_go_on(
    size, work_ms
):
    for seed in range(SEEDS):
        check(RepeatingFleet(seed, *size, work_ms), seed)


@pytest.mark.parametrize('size', SIZES)
def test_clocks_that_differ_let_a_crashing_request_end_no_more_servers(size):
    for seed in range(SEEDS):
        fleet = RepeatingFleet(seed, *size, clock_spread_ms=CLOCK_SPREAD_MS)
        check(fleet, seed)


def check(fleet, seed):
    fleet.run(4000)
    fleet.per_s['bad'] = fleet.random.choice(BAD_PER_S)
    disturb = disturbance(fleet)
    while len(fleet.bad_crashes_ms) < CRASHES_BEFORE_LIMIT:
        fleet.run(100, disturb)
        if fleet.now_ms > 60_000:
            break
    fleet.run(STABLE_WINDOW_MS, disturb)
    before, began_ms = len(fleet.bad_sent_ms), fleet.now_ms
    fleet.run(40_000, disturb)
    story = (seed, fleet.bad_crashes_ms, fleet.per_s)
    assert len(fleet.bad_sent_ms) - before <= MAX_MORE, story
    sent, refused = fleet.refused(began_ms)
    assert refused <= (1 - MIN_SOUND_SHARE) * sent, (*story, sent, refused)


def kill_all_together(fleet):
    if fleet.now_ms % 6000 == 0:
        fleet.kill(*fleet.up())


def kill_one_after_the_other(fleet):
    up = fleet.up()
    if up and fleet.now_ms % 700 == 0:
        fleet.kill(fleet.random.choice(up))


def kill_in_series(fleet):
    up = fleet.up()
    if up and fleet.now_ms % 10_000 < 2000 and fleet.now_ms % 100 == 0:
        fleet.kill(up[0])


KILLS = (kill_all_together, kill_one_after_the_other, kill_in_series)


@pytest.mark.parametrize('clock_spread_ms', [0, CLOCK_SPREAD_MS])
@pytest.mark.parametrize('kill', KILLS)
@pytest.mark.parametrize('size', SIZES)
def test_sound_requests_that_all_repeat_are_served_while_servers_are_killed(
    size, kill, clock_spread_ms
):
    for seed in range(SEEDS):
        fleet = RepeatingFleet(seed, *size, clock_spread_ms=clock_spread_ms)
        # Nothing is answered before the first kill.
        fleet.kill(*fleet.servers)
        fleet.run(60_000, kill)
        sent, refused = fleet.refused(0)
        assert refused <= (1 - MIN_SOUND_SHARE) * sent, (seed, sent, refused)
        assert not any(
            one.is_blamed
            for router in fleet.routers
            for one in router.evidence.suspicions()
        )
