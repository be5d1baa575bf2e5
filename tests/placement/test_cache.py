"""Tests of the router's cache of places."""

from random import Random

from lagoonflow.placement.cache import LIFETIME_MS, LocationCache
from lagoonflow.placement.messages import LocateReply, Place
from lagoonflow.streams.messages import Versions


def cache_with(*places, now_ms=0):
    cache = LocationCache()
    cache.store_reply(now_ms, 'a', LocateReply(Versions(), places))
    return cache


def test_no_place_is_picked_if_unknown_expired_or_removed():
    cache = cache_with(Place('one', '', 0))
    assert cache.pick(0, 'b', Random(1)) is None
    assert cache.pick(0, 'a', Random(1)).agent == 'one'
    assert cache.pick(LIFETIME_MS, 'a', Random(1)) is None
    cache.remove('a', 'one')
    assert cache.pick(0, 'a', Random(1)) is None


def test_excluded_and_unreachable_agents_are_avoided():
    cache = cache_with(Place('one', '', 0), Place('two', '', 0))
    picked = cache.pick(0, 'a', Random(1), excluded=('one',))
    assert picked.agent == 'two'
    cache.on_unreachable(0, 'two')
    assert cache.pick(0, 'a', Random(1)).agent == 'one'
    assert cache.homes_to_ask(0, ('two', 'one')) == ('one',)


def test_requests_are_spread_by_predicted_wait():
    cache = cache_with(Place('one', '', 0), Place('two', '', 0, queued_ms=100))
    picked = []
    for _ in range(12):
        place = cache.pick(0, 'a', Random(1))
        cache.on_sent('a', place.agent)
        picked.append(place.agent)
    assert picked[0] == 'one'
    assert 4 <= picked.count('two') <= 6


def test_busy_place_expires_sooner():
    cache = cache_with(Place('one', '', 0, queued_ms=2_000))
    assert cache.pick(100, 'a', Random(1)) is not None
    assert cache.pick(600, 'a', Random(1)) is None


def test_predicted_load_time_shrinks_as_time_passes():
    cache = cache_with(Place('one', '', 3_000), Place('two', '', 0, 1_000))
    assert cache.pick(100, 'a', Random(1)).agent == 'two'
    late = cache_with(Place('one', '', 3_000), Place('two', '', 0, 400))
    late.on_unreachable(2_800, 'two')
    assert late.pick(2_900, 'a', Random(1)).agent == 'one'
