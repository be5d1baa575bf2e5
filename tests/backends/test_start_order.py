"""Starts of a server are ordered by the store, whatever the clocks say."""

import msgspec
import pytest

from lagoonflow.backends.availability import Availability
from lagoonflow.backends.candidates import usable_servers
from lagoonflow.backends.cold import ColdServers
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.limits import LimitStatement, RequestLimits
from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.speeds import ServerSpeeds
from lagoonflow.declared.messages import Service
from lagoonflow.declared.records import KeyedRecord, RecordPage
from lagoonflow.resumption.versions import VersionHistory
from lagoonflow.wiring.platform_feeds import ServersFeed
from lagoonflow.wiring.platform_shared_reads import ChangedServers
from tests.support.positions import at

FIRST_MS = 1_000_000
SECOND_MS = [FIRST_MS - 2400, FIRST_MS + 2400]


def entry(born, instance='i-a', **fields):
    body = {
        'service': 'app',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'state': 'ready',
        'cold_left_ms': 0,
        'sequence': 0,
        'slots': 8,
        'born': born,
    }
    return KeyedRecord(
        f'servers/{instance}', msgspec.json.encode(body | fields)
    )


def server(started_ms):
    return BackendServer(
        'i-a', 'app', '10.0.0.1:80', 'z', 8, started_ms=started_ms
    )


def read(*pages, is_snapshot=False):
    fleet = Fleet()
    feed = ServersFeed(fleet, VersionHistory(), lambda: None)
    for page in pages:
        feed.on_page(RecordPage(page, at(9)), is_snapshot, 0)
    return fleet


def used(fleet):
    return [
        (one.instance, one.started_ms)
        for one in usable_servers(fleet, 'app', 0)
    ]


@pytest.mark.parametrize('second_ms', SECOND_MS)
def test_a_server_that_starts_again_with_a_clock_that_was_set_can_leave(
    second_ms,
):
    fleet = read((entry(FIRST_MS),), (entry(second_ms),))
    assert used(fleet) == [('i-a', second_ms)]
    leaving = (entry(second_ms, state='draining'),)
    assert used(read((entry(FIRST_MS),), (entry(second_ms),), leaving)) == []
    assert used(read((entry(FIRST_MS),), leaving)) == []


@pytest.mark.parametrize('second_ms', SECOND_MS)
def test_a_removal_does_not_undo_a_later_entry_of_its_page(second_ms):
    page = (
        entry(FIRST_MS),
        KeyedRecord('servers/i-a', None),
        entry(second_ms),
    )
    assert used(read(page)) == [('i-a', second_ms)]
    assert used(read((entry(FIRST_MS),), page[1:])) == [('i-a', second_ms)]
    assert used(read((*page, page[1]))) == []


def test_a_record_that_arrives_twice_changes_nothing():
    fleet = read((entry(FIRST_MS),), (entry(SECOND_MS[0], state='draining'),))
    feed = ServersFeed(fleet, VersionHistory(), lambda: None)
    again = (entry(FIRST_MS), entry(SECOND_MS[0], state='draining'))
    feed.on_page(RecordPage(again, at(9)), False, 0)
    assert used(fleet) == []


@pytest.mark.parametrize('second_ms', SECOND_MS)
def test_an_address_belongs_to_the_server_that_wrote_its_entry_last(second_ms):
    page = (entry(FIRST_MS, 'i-b'), entry(second_ms, 'i-a'))
    assert used(read(page)) == [('i-a', second_ms)]
    assert used(read(page, is_snapshot=True)) == [('i-a', second_ms)]


@pytest.mark.parametrize('second_ms', SECOND_MS)
def test_a_late_statement_of_the_start_before_does_not_revive_a_server(
    second_ms,
):
    availability = Availability()
    availability.note_leaving('i-a', second_ms)
    availability.note_pause('i-a', second_ms, 5000, 0)
    availability.note_leaving('i-a', FIRST_MS)
    availability.note_pause('i-a', FIRST_MS, 10, 1)
    assert availability.is_leaving('i-a', second_ms)
    assert availability.pause_left_ms('i-a', second_ms, 1000) == 4000


@pytest.mark.parametrize('second_ms', SECOND_MS)
def test_limits_of_a_start_replace_those_of_the_start_before(second_ms):
    limits = RequestLimits()
    limits.learn(LimitStatement('i-a', FIRST_MS, 5, 1000))
    assert limits.learn(LimitStatement('i-a', second_ms, 0.5, 2000))
    assert not limits.learn(LimitStatement('i-a', FIRST_MS, 5, 1500))
    limits.take('i-a', 1, 2000)
    assert limits.wait_ms('i-a', second_ms, 2, 2000) == 2000


@pytest.mark.parametrize('second_ms', SECOND_MS)
def test_speeds_of_a_start_replace_those_of_the_start_before(second_ms):
    speeds = ServerSpeeds()
    speeds.note_work_time(server(FIRST_MS), 100, 0)
    speeds.note_work_time(server(second_ms), 400, 1000)
    assert speeds.time_factor(server(second_ms), 1000) > 1
    assert speeds.time_factor(server(FIRST_MS), 1000) == 1


@pytest.mark.parametrize('second_ms', SECOND_MS)
def test_a_new_start_is_cold_and_late_records_of_the_one_before_are_not(
    second_ms,
):
    cold = ColdServers()
    cold.use_services({'app': Service('app', 10, cold_per_s=1)})
    cold.note_listed([server(FIRST_MS)], 0)
    assert not cold.is_cold('i-a', 60_000)
    cold.note_start('i-a', second_ms, 60_000)
    cold.note_listed([server(FIRST_MS)], 60_100, FIRST_MS + 60_100)
    assert cold.is_cold('i-a', 60_200)
    cold.note_start('i-a', FIRST_MS, 90_000)
    assert not cold.is_cold('i-a', 90_100)
    cold.note_listed([server(second_ms + 1)], 90_200, second_ms + 90_200)
    assert cold.is_cold('i-a', 90_300)


def odd_entry(instance='i-a'):
    return KeyedRecord(f'servers/{instance}', b'{"service":"other"}')


@pytest.mark.parametrize('is_snapshot', [False, True])
def test_what_is_known_of_a_server_holds_beside_an_entry_of_another_writer(
    is_snapshot,
):
    fleet = Fleet()
    feed = ServersFeed(fleet, VersionHistory(), lambda: None)
    feed.on_page(RecordPage((entry(FIRST_MS),), at(1)), True, 0)
    page = RecordPage((odd_entry(), odd_entry('i-b')), at(9))
    feed.on_page(page, is_snapshot, 0)
    assert used(fleet) == [('i-a', FIRST_MS)]
    feed.on_page(RecordPage((), at(9)), True, 0)
    assert used(fleet) == []


def test_an_entry_of_another_writer_hides_no_news_of_its_page():
    news = entry(SECOND_MS[0])
    fleet = read([entry(FIRST_MS), odd_entry(), news, odd_entry()])
    assert used(fleet) == [('i-a', SECOND_MS[0])]


def test_routers_that_read_for_others_pass_on_no_entry_of_another_writer():
    changes = ChangedServers()
    first, odd = entry(FIRST_MS), odd_entry()
    assert changes.select((first, odd)) == (first,)
    assert changes.select((odd, first)) == ()
