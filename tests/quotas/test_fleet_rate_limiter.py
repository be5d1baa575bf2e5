"""The fleet's token buckets."""

import random

import pytest

from lagoonflow.quotas.fleet_rate_limiter import (
    SILENT_AFTER_MS,
    ChargeReport,
    FleetRateLimiter,
    Limit,
)

ORG = 'water'
LIMIT = Limit(rate_tokens_per_s=100, burst_tokens=500)
FULL_MS = 5000


def apply_report(
    one, name, incarnation, charged, now_ms, age_ms=0, levels=None
):
    report = ChargeReport(incarnation, age_ms, charged, levels or {})
    one.apply_report(name, report, now_ms)


def meter(others=(), limit=LIMIT, now_ms=0):
    made = FleetRateLimiter(now_ms)
    made.update_members(frozenset(others), now_ms)
    made.set_limits({ORG: limit}, now_ms)
    return made


def empty(one, now_ms=0):
    one.charge(ORG, 500, now_ms)
    return one


def test_accrues_at_the_rate():
    one = empty(meter())
    assert one.wait_ms(ORG, 100, 0) == 1000
    assert one.wait_ms(ORG, 100, 1000) == 0


def test_a_restart_of_all_routers_refuses_nothing_within_the_burst():
    """Requests were refused for a second after all hosts lost power."""
    one = meter(['r2'])
    apply_report(one, 'r2', 1, {}, 100, age_ms=100, levels={ORG: 250})
    assert one.wait_ms(ORG, 400, 100) == 0


def test_a_router_that_starts_alone_takes_the_level_of_older_ones():
    one = meter(['r2'])
    apply_report(one, 'r2', 1, {}, 100, age_ms=60_000, levels={ORG: -50})
    assert one.wait_ms(ORG, 50, 100) == 1000


def test_a_router_that_has_heard_no_other_gives_out_its_part():
    one = meter(['r2', 'r3', 'r4', 'r5'])
    assert one.wait_ms(ORG, 101, 0) > 0
    assert one.wait_ms(ORG, 100, 0) == 0


def test_others_that_become_known_take_their_part():
    one = meter()
    one.update_members(frozenset(['r2', 'r3', 'r4', 'r5']), 100)
    assert one.level(ORG) == 100


def test_levels_are_taken_over_for_a_short_time_only():
    one = meter(['r2'])
    apply_report(one, 'r2', 1, {}, FULL_MS, age_ms=60_000, levels={ORG: -50})
    assert one.level(ORG) > 0


def test_a_charge_counts_for_the_next_request():
    one = meter()
    one.wait_ms(ORG, 500, FULL_MS)
    one.charge(ORG, 500, FULL_MS)
    one.charge(ORG, 50, FULL_MS)
    assert one.wait_ms(ORG, 50, FULL_MS) == 1000


def test_small_requests_may_overdraw_a_little():
    one = meter()
    one.wait_ms(ORG, 500, FULL_MS)
    one.charge(ORG, 500, FULL_MS)
    assert one.wait_ms(ORG, 25, FULL_MS) == 0
    one.charge(ORG, 50, FULL_MS)
    assert one.wait_ms(ORG, 10, FULL_MS) == 100


def test_a_large_request_leaves_room_for_what_others_spend():
    """Two routers that see the same tokens must not both spend them."""
    one = meter(['r2'])
    for now_ms in range(0, FULL_MS + 1, 50):
        apply_report(one, 'r2', 1, {ORG: now_ms / 20}, now_ms)
    level = one.level(ORG)
    assert level > 200
    assert one.wait_ms(ORG, level * 0.9, FULL_MS) == 0
    assert 50 < one.wait_ms(ORG, level, FULL_MS) < 150


def flood(rng, routers, deciding):
    """Admit a flood of one organisation at several routers."""
    fleet = Limit(rate_tokens_per_s=10_000, burst_tokens=10_000)
    names = [f'r{number}' for number in range(routers)]
    made = {
        name: meter([one for one in names if one != name], fleet)
        for name in names
    }
    admitted = []
    for now_ms in range(0, 20_000, 5):
        if now_ms % 150 == 0:
            told = {name: one.report(now_ms) for name, one in made.items()}
            for sender in names:
                for receiver in names:
                    if sender != receiver:
                        made[receiver].apply_report(
                            sender, told[sender], now_ms
                        )
        if now_ms < 5000 or rng.random() > 0.3:
            continue
        one = made[rng.choice(names)]
        tokens = rng.choice((30, 200, 300, 1500, 2500))
        if not deciding(one, tokens, now_ms):
            one.charge(ORG, tokens, now_ms)
            admitted.append(tokens)
    return admitted


def one_bucket(rng):
    single = meter((), Limit(10_000, 10_000))

    def decide(_one, tokens, now_ms):
        single.wait_ms(ORG, tokens, now_ms)
        is_in = single.level(ORG) >= tokens
        if is_in:
            single.charge(ORG, tokens, now_ms)
        return not is_in

    return flood(rng, 1, decide)


def wait(one, tokens, now_ms):
    return one.wait_ms(ORG, tokens, now_ms)


@pytest.mark.parametrize('seed', range(5))
def test_in_a_flood_many_routers_serve_nearly_as_many_as_one(seed):
    """The load: one organisation at six times its rate, at 26 routers."""
    single = one_bucket(random.Random(seed))
    fleet = flood(random.Random(seed), 26, wait)
    assert len(fleet) > 0.8 * len(single)
    assert sum(fleet) <= 1.1 * sum(single) + 10_000


def test_a_request_above_the_burst_starts_from_a_full_bucket():
    one = meter()
    assert one.wait_ms(ORG, 900, FULL_MS) == 0
    one.charge(ORG, 900, FULL_MS)
    assert one.level(ORG) == -400


def test_charges_of_others_count():
    one = meter(['r2'])
    apply_report(one, 'r2', 1, {ORG: 1000}, 0)
    for now_ms in range(0, FULL_MS + 1, 500):
        apply_report(one, 'r2', 1, {ORG: 1000}, now_ms)
    assert one.wait_ms(ORG, 500, FULL_MS) == 0
    apply_report(one, 'r2', 1, {ORG: 1400}, FULL_MS)
    assert one.level(ORG) == 100


def test_a_restarted_router_counts_from_zero():
    one = meter(['r2'])
    for now_ms in range(0, FULL_MS + 1, 500):
        apply_report(one, 'r2', 1, {ORG: 1000}, now_ms)
    apply_report(one, 'r2', 2, {ORG: 10}, FULL_MS)
    assert one.level(ORG) == 500


def test_silent_routers_keep_their_share():
    one = meter(['r2', 'r3', 'r4'])
    later_ms = 100_000 + SILENT_AFTER_MS
    one.wait_ms(ORG, 1, later_ms)
    assert one.level(ORG) == pytest.approx(500 / 4)


def test_a_lower_limit_binds_at_once():
    one = meter()
    one.wait_ms(ORG, 1, FULL_MS)
    one.set_limits({ORG: Limit(10, 50)}, FULL_MS)
    assert one.level(ORG) == 50


def test_a_refund_does_not_pass_the_burst():
    one = meter()
    one.wait_ms(ORG, 1, FULL_MS)
    one.charge(ORG, 100, FULL_MS)
    one.wait_ms(ORG, 1, FULL_MS + 900)
    one.refund(ORG, 100)
    assert one.level(ORG) == 500


def test_no_limit_means_no_wait():
    one = meter(limit=Limit(0, 0))
    one.charge(ORG, 10**9, 0)
    assert one.wait_ms(ORG, 10**9, 0) == 0


@pytest.mark.parametrize('seed', range(20))
def test_split_routers_together_keep_to_the_rate(seed):
    """Admitted tokens stay within rate and burst, split or not."""
    rng = random.Random(seed)
    names = ['r1', 'r2', 'r3', 'r4']
    routers = {
        name: meter([other for other in names if other != name])
        for name in names
    }
    admitted: list[tuple[int, float]] = []
    split = {name: rng.random() < 0.5 for name in names}
    split_ms = (10_000, 10_000 + rng.randrange(2000, 15_000))
    for now_ms in range(0, 40_000, 50):
        is_split = split_ms[0] <= now_ms < split_ms[1]
        if now_ms % 200 == 0:
            for sender in names:
                for receiver in names:
                    parted = is_split and split[sender] != split[receiver]
                    if sender != receiver and not parted:
                        report = routers[sender].report(now_ms)
                        routers[receiver].apply_report(sender, report, now_ms)
        for name in names:
            tokens = rng.choice((5, 20, 60))
            if rng.random() < 0.3 and not routers[name].wait_ms(
                ORG, tokens, now_ms
            ):
                routers[name].charge(ORG, tokens, now_ms)
                admitted.append((now_ms, tokens))
    window_ms = 8000
    # What four routers can admit before they hear of each other.
    slack = 4 * 60 * 2 + LIMIT.burst_tokens
    bound = LIMIT.rate_tokens_per_s * 8 + LIMIT.burst_tokens + slack
    for start_ms in range(0, 32_000, 1000):
        total = sum(
            tokens
            for at_ms, tokens in admitted
            if start_ms <= at_ms < start_ms + window_ms
        )
        assert total <= bound
