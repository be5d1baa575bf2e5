"""What agents learn of the weight store."""

from lagoonflow.waking.store_concurrency import StoreConcurrencyEstimator


def load(speed, took_ms, loads):
    speed.begin(6000, 0)
    speed.record_concurrent_loads(9, 100)
    speed.record_concurrent_loads(loads, 500)
    speed.record_concurrent_loads(1, 1000)
    speed.end(took_ms)


def test_slowed_loads_show_how_many_run_at_full_speed():
    speed = StoreConcurrencyEstimator()
    load(speed, 12_000, 4)
    assert speed.estimate == 2


def test_loads_at_full_speed_raise_a_limit_that_was_learnt():
    speed = StoreConcurrencyEstimator()
    load(speed, 6100, 3)
    assert speed.estimate == 0
    load(speed, 12_000, 4)
    load(speed, 6100, 3)
    assert speed.estimate == 3


def test_a_single_slow_load_shows_nothing():
    speed = StoreConcurrencyEstimator()
    load(speed, 20_000, 1)
    assert speed.estimate == 0


def test_a_load_of_a_runner_that_ended_shows_nothing():
    speed = StoreConcurrencyEstimator()
    speed.begin(6000, 0)
    speed.record_concurrent_loads(4, 500)
    speed.forget()
    speed.end(12_000)
    assert speed.estimate == 0
