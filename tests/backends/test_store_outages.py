"""Which servers are used after their entries were removed from the store."""

import msgspec
import pytest

from lagoonflow.backends.candidates import may_send, usable_servers
from lagoonflow.backends.fleet import Fleet
from lagoonflow.declared.records import KeyedRecord, RecordPage, StoreFailure
from lagoonflow.resumption.versions import VersionHistory
from lagoonflow.wiring import platform_feeds
from tests.support.positions import at

DRAIN_MS = 2000
RESTORE_MS = 2000
NAMES = ('i-a', 'i-b', 'i-c', 'i-d', 'i-e')


def entry(name, **fields):
    number = NAMES.index(name)
    body = {
        'service': 'app',
        'address': f'10.0.0.{number}:80',
        'zone': 'z',
        'version': 'v1',
        'state': 'ready',
        'cold_left_ms': 0,
        'sequence': 0,
        'slots': 8,
        'born': 1000,
    }
    return KeyedRecord(f'servers/{name}', msgspec.json.encode(body | fields))


def removal(name):
    return KeyedRecord(f'servers/{name}', None)


class Router:
    """Reads pages at times that the test sets."""

    def __init__(self, monkeypatch):
        self.fleet = Fleet()
        self.now_ms = 10_000
        monkeypatch.setattr(platform_feeds, 'boottime_ms', lambda: self.now_ms)
        self._servers = platform_feeds.ServersFeed(
            self.fleet, VersionHistory(), lambda: None
        )
        self._zones = platform_feeds.EvacuationsFeed(self.fleet, lambda: None)
        page = RecordPage(tuple(entry(name) for name in NAMES), at(5))
        self._servers.on_page(page, True, self.now_ms)

    def read(self, at_ms, *records, asked_ms=None):
        self.now_ms = at_ms
        page = RecordPage(records, at(9))
        current_at_ms = at_ms if asked_ms is None else asked_ms
        self._servers.on_page(page, False, current_at_ms)

    def read_every_500_ms(self, from_ms, to_ms):
        for at_ms in range(from_ms, to_ms + 1, 500):
            self.read(at_ms)

    def read_configuration(self, at_ms):
        self.now_ms = at_ms
        self._zones.on_page(RecordPage((), at(1)), False, at_ms)

    def fail(self, at_ms):
        self.now_ms = at_ms
        self._servers.on_failure(StoreFailure('reset'))

    def used(self, at_ms):
        self.fleet.roster.remove_expired(at_ms)
        return {
            server.instance
            for server in usable_servers(self.fleet, 'app', at_ms)
            if may_send(self.fleet, server, at_ms)
        }


@pytest.fixture
def router(monkeypatch):
    return Router(monkeypatch)


def test_servers_removed_together_from_a_stable_store_are_not_used(router):
    router.read_every_500_ms(10_000, 14_000)
    router.read(14_200, *map(removal, NAMES[:3]))
    assert router.used(14_200) == {'i-d', 'i-e'}


def test_a_failed_read_does_not_keep_a_server_until_it_exits(router):
    """The entry may have been removed right after the last listing."""
    router.read_every_500_ms(10_000, 14_000)
    router.fail(14_400)
    router.read(14_800, removal('i-a'))
    assert 'i-a' in router.used(14_800)
    assert 'i-a' not in router.used(14_000 + DRAIN_MS - 150)


def test_a_removal_after_an_outage_does_not_last_beyond_the_restoration(router):
    router.fail(11_400)
    router.fail(13_200)
    router.read_every_500_ms(14_000, 15_500)
    router.read(15_700, removal('i-a'))
    assert 'i-a' in router.used(15_900)
    assert 'i-a' not in router.used(14_000 + RESTORE_MS)
    router.read(16_800, removal('i-b'))
    assert router.used(16_800) == {'i-c', 'i-d', 'i-e'}


def test_servers_that_expired_during_an_outage_are_used_until_restored(router):
    """Planned removals beside them, later, count as removals."""
    router.fail(11_400)
    router.fail(13_200)
    router.read(14_500, *map(removal, NAMES[:3]))
    assert router.used(14_500) == set(NAMES)
    router.read(15_000, entry('i-a'), removal('i-d'))
    assert router.used(16_200) == set(NAMES)
    router.read(16_250, entry('i-b'), entry('i-d'))
    assert router.used(16_500) == {'i-a', 'i-b', 'i-d', 'i-e'}
    router.read_every_500_ms(16_500, 17_500)
    router.read(17_600, removal('i-a'), removal('i-b'), removal('i-d'))
    assert router.used(17_600) == {'i-e'}


def test_a_read_that_hangs_after_an_outage_does_not_delay_the_return(router):
    """Other topics tell earlier that the store is back."""
    router.fail(11_400)
    router.read_configuration(14_300)
    for at_ms in range(15_000, 17_700, 900):
        router.read_configuration(at_ms)
    router.fail(17_400)
    router.read(17_600, removal('i-a'))
    assert 'i-a' not in router.used(17_600)


def test_a_known_listing_limits_how_long_the_next_removal_is_doubted(router):
    router.read(10_500)
    router.fail(12_000)
    router.read(12_200, removal('i-a'))
    assert 'i-a' in router.used(12_250)
    assert 'i-a' not in router.used(12_350)


def stall(router, from_ms, until_ms):
    """Let the router stand still after it has run until a time."""
    absences = router.fleet.roster.outages.absences
    for at_ms in range(10_000, from_ms + 1, 50):
        absences.note_running(at_ms)
    absences.note_running(until_ms)


def test_servers_removed_during_a_stall_are_not_used(router):
    """What was not read during the stall was no outage of the store."""
    router.read_every_500_ms(10_000, 14_000)
    stall(router, 14_100, 17_000)
    router.read(17_000, removal('i-a'), asked_ms=14_050)
    router.read(17_200, removal('i-b'))
    assert router.used(17_200) == {'i-c', 'i-d', 'i-e'}


def test_no_server_is_used_before_the_list_is_read_after_a_stall(router):
    router.read_every_500_ms(10_000, 14_000)
    stall(router, 14_100, 16_500)
    assert not router.used(16_500)
    router.read(16_510, removal('i-a'), asked_ms=14_050)
    assert not router.used(16_510)
    router.read(16_520, removal('i-b'))
    assert router.used(16_520) == {'i-c', 'i-d', 'i-e'}


def test_a_stall_that_leaves_time_for_the_next_read_holds_up_no_call(router):
    router.read_every_500_ms(10_000, 14_000)
    stall(router, 14_100, 14_900)
    assert router.used(14_900) == set(NAMES)


def test_a_store_that_is_away_after_a_stall_holds_up_calls_for_a_short_time(
    router,
):
    router.read_every_500_ms(10_000, 14_000)
    stall(router, 14_100, 16_500)
    assert not router.used(16_700)
    for at_ms in range(16_500, 17_301, 50):
        router.fleet.roster.outages.absences.note_running(at_ms)
    assert router.used(17_300) == set(NAMES)


def test_a_store_that_is_away_holds_up_no_call_without_a_stall(router):
    router.read_every_500_ms(10_000, 14_000)
    stall(router, 17_000, 17_050)
    assert router.used(17_050) == set(NAMES)


def test_an_outage_that_a_stall_is_part_of_is_still_one(router):
    router.read_every_500_ms(10_000, 12_000)
    stall(router, 14_500, 15_000)
    router.read(15_100, removal('i-a'))
    assert 'i-a' in router.used(15_150)
