"""Tests of the weight store: rate of starts and shared speed."""

import functools

from loopback.http import counts, request, set_faults


def fetch(address, name='c'):
    body = {'checkpoint': name, 'size_mb': 10, 'caller': 'engine-1'}
    assert request(address, 'POST', '/fetch', body).status == 200


def fetches(address, count):
    return [functools.partial(fetch, address, f'c{n}') for n in range(count)]


def test_four_concurrent_fetches_run_at_full_speed(standin, timed):
    address = standin('store', '--fetch-ms', '1200', '--loads-per-s', '100')
    assert 1.2 <= timed(fetches(address, 4)) < 2.3
    assert counts(address)['most_at_once'] == 4


def test_more_concurrent_fetches_share_the_speed(standin, timed):
    address = standin('store', '--fetch-ms', '1200', '--loads-per-s', '100')
    assert 2.3 <= timed(fetches(address, 8)) < 4.6
    assert counts(address)['fetches'] == {f'c{n}': 1 for n in range(8)}


def test_starts_are_rate_limited(standin, timed):
    address = standin('store', '--fetch-ms', '10', '--loads-per-s', '10')
    assert 0.5 <= timed(fetches(address, 10)) < 2


def test_slowdown_applies_to_running_fetches(standin, timed):
    address = standin('store', '--fetch-ms', '200')
    set_faults(address, slowdown=3)
    assert 0.6 <= timed(fetches(address, 1)) < 1.5
    set_faults(address, slowdown=1)
    assert timed(fetches(address, 1)) < 0.5
