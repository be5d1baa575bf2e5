"""Tests the estimate of how many loads the store serves at full speed."""

from lagoonflow.waking.store_concurrency import StoreConcurrencyEstimator


def load(speed, took_ms, loads):
    speed.begin(6000, 0)
    speed.record_concurrent_loads(9, 100)
    speed.record_concurrent_loads(loads, 500)
    speed.record_concurrent_loads(1, 1000)
    speed.end(took_ms)


def test_slowed_loads_show_the_concurrency():
    speed = StoreConcurrencyEstimator()
    load(speed, 12_000, 4)
    assert speed.estimate == 2


def test_loads_at_full_speed_raise_a_known_estimate():
    speed = StoreConcurrencyEstimator()
    load(speed, 6100, 3)
    assert speed.estimate == 0
    load(speed, 12_000, 4)
    load(speed, 6100, 3)
    assert speed.estimate == 3


def test_a_single_slow_load_changes_no_estimate():
    speed = StoreConcurrencyEstimator()
    load(speed, 20_000, 1)
    assert speed.estimate == 0


def test_a_load_of_a_restarted_runner_changes_no_estimate():
    speed = StoreConcurrencyEstimator()
    speed.begin(6000, 0)
    speed.record_concurrent_loads(4, 500)
    speed.forget()
    speed.end(12_000)
    assert speed.estimate == 0
