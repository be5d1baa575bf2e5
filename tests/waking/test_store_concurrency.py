"""Tests the estimate of how many loads the store serves at full speed."""

from lagoonflow.waking.store_concurrency import StoreConcurrencyEstimator


def load(estimator, took_ms, loads):
    estimator.begin(6000, 0)
    estimator.record_concurrent_loads(9, 100)
    estimator.record_concurrent_loads(loads, 500)
    estimator.record_concurrent_loads(1, 1000)
    estimator.end(took_ms)


def test_slowed_loads_show_the_concurrency():
    estimator = StoreConcurrencyEstimator()
    load(estimator, 12_000, 4)
    assert estimator.estimate == 2


def test_loads_at_full_speed_raise_a_known_estimate():
    estimator = StoreConcurrencyEstimator()
    load(estimator, 6100, 3)
    assert estimator.estimate == 0
    load(estimator, 12_000, 4)
    load(estimator, 6100, 3)
    assert estimator.estimate == 3


def test_a_single_slow_load_changes_no_estimate():
    estimator = StoreConcurrencyEstimator()
    load(estimator, 20_000, 1)
    assert estimator.estimate == 0


def test_a_load_of_a_restarted_runner_changes_no_estimate():
    estimator = StoreConcurrencyEstimator()
    estimator.begin(6000, 0)
    estimator.record_concurrent_loads(4, 500)
    estimator.forget()
    estimator.end(12_000)
    assert estimator.estimate == 0


def test_a_load_is_predicted_to_be_slowed_by_those_it_began_beside():
    estimator = StoreConcurrencyEstimator()
    estimator.begin(6000, 0, others=2)
    assert estimator.slowdown(0, 100) == 1
    assert estimator.slowdown(2, 100) == 1.5
    assert estimator.slowdown(4, 100) == 1


def test_an_overdue_load_is_predicted_to_take_longer():
    estimator = StoreConcurrencyEstimator()
    estimator.begin(6000, 0, others=1)
    assert estimator.slowdown(2, 6100) == 1
    assert estimator.slowdown(2, 6500) == 1.5
    assert estimator.slowdown(2, 9500) == 2
