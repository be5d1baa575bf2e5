"""Predicted times, keep-alive times and the choice of evictions."""

import pytest

from lagoonflow.placement.messages import Tier
from lagoonflow.runners.eviction import Candidate, choose_eviction
from lagoonflow.runners.keepalive import KeepAlive
from lagoonflow.runners.messages import ReplicaKey
from lagoonflow.runners.predictor import Predictor


def test_load_time_is_averaged_per_model_and_tier():
    predictor = Predictor()
    for _ in range(20):
        predictor.record_load('a', Tier.DISK, 100, 5_000)
    assert predictor.load_ms('a', Tier.DISK, 100) == pytest.approx(5_000)
    assert predictor.load_ms('b', Tier.DISK, 200) == pytest.approx(10_000)
    assert predictor.load_ms('a', Tier.REMOTE, 100) != 5_000
    assert predictor.load_error.mean < 0.3


def test_service_time_and_its_error_are_averaged():
    predictor = Predictor()
    for _ in range(50):
        predictor.record_generation('a', 100, 200, 50, 200 + 49 * 20)
    assert predictor.service_ms('a', 100) == pytest.approx(1_200, rel=0.05)
    assert predictor.service_error.mean < 0.05


def test_replica_is_kept_over_short_gaps_but_not_over_long_ones():
    keep_alive = KeepAlive(reload_weight=10)
    for number in range(50):
        keep_alive.record_request(number * 5_000, 'regular')
        keep_alive.record_request(number * 600_000, 'rare')
    assert keep_alive.keep_alive_ms('regular', 2_000) >= 5_000
    assert keep_alive.keep_alive_ms('rare', 2_000) < 5_000


def test_model_without_gaps_is_kept_for_its_reload_cost():
    keep_alive = KeepAlive(reload_weight=10)
    kept_ms = keep_alive.keep_alive_ms('new', 2_000)
    assert 10_000 <= kept_ms <= 60_000


def make_candidate(
    name, memory_mb, reload_ms=1_000, next_use_ms=1_000, drain_ms=0
):
    key = ReplicaKey(name, '1')
    return Candidate(key, memory_mb, reload_ms, next_use_ms, drain_ms)


def victim_models(eviction):
    return [key.model for key in eviction.victims]


def test_least_cost_goes_first_and_busy_ones_last():
    candidates = (
        make_candidate('soon', 100, next_use_ms=10),
        make_candidate('later', 100, next_use_ms=1_000_000),
        make_candidate('busy', 100, next_use_ms=1_000_000, drain_ms=5),
    )
    assert victim_models(choose_eviction(50, candidates, 60_000)) == ['later']
    eviction = choose_eviction(250, candidates, 60_000)
    assert victim_models(eviction) == ['later', 'soon', 'busy']
    assert eviction.drain_ms == 5
    assert choose_eviction(301, candidates, 60_000) is None


def test_no_more_is_evicted_than_needed():
    candidates = (
        make_candidate('small', 50, reload_ms=1),
        make_candidate('large', 200, reload_ms=2),
    )
    assert victim_models(choose_eviction(200, candidates, 60_000)) == ['large']
