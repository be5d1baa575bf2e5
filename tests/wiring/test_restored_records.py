"""What a router makes of records that may be older than those before."""

import dataclasses

import msgspec
import pytest

from lagoonflow.backends.candidates import usable_servers
from lagoonflow.backends.evacuations import ZoneEvacuations
from lagoonflow.backends.fleet import Fleet
from lagoonflow.clock import wall_clock_ms
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.declared.messages import DeclaredState
from lagoonflow.declared.records import KeyedRecord, RecordPage
from lagoonflow.declared.view import KNOWN_ELSEWHERE_MS, DeclaredView
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import CrashEntry
from lagoonflow.resumption.versions import VersionHistory
from lagoonflow.wiring import platform_feeds
from lagoonflow.wiring.platform_crashes import CrashesFeed
from lagoonflow.wiring.platform_feeds import (
    LOST_EVACUATION_MS,
    EvacuationsFeed,
    MemberRecord,
    MembersFeed,
    ServersFeed,
)
from tests.support.positions import at

WINDOW_MS = 10_000


def page(*records, is_restored=False):
    return RecordPage(records, at(9), may_be_older=is_restored)


def entry(instance='i-a', **fields):
    body = {
        'service': 'app',
        'address': f'10.0.0.{ord(instance[-1])}:80',
        'zone': 'z',
        'version': 'v1',
        'state': 'ready',
        'slots': 8,
        'cold_left_ms': 0,
        'sequence': 0,
        'born': 7,
    }
    return KeyedRecord(
        f'servers/{instance}', msgspec.json.encode(body | fields)
    )


class Servers:
    """The servers that a router knows."""

    def __init__(self, monkeypatch):
        self.now_ms = 1000.0
        monkeypatch.setattr(platform_feeds, 'boottime_ms', lambda: self.now_ms)
        self.fleet = Fleet()
        self.history = VersionHistory()
        self._feed = ServersFeed(self.fleet, self.history, lambda: None)

    def read(self, *records, is_restored=False, is_snapshot=False):
        records_page = page(*records, is_restored=is_restored)
        self._feed.on_page(records_page, is_snapshot, self.now_ms)
        self.fleet.roster.remove_expired(self.now_ms)

    def restore(self, *records):
        self.read(*records, is_restored=True, is_snapshot=True)

    def usable(self):
        return {
            one.instance
            for one in usable_servers(self.fleet, 'app', self.now_ms)
        }


@pytest.fixture
def servers(monkeypatch):
    return Servers(monkeypatch)


def test_a_server_that_leaves_is_not_used_again_by_an_older_entry(servers):
    servers.read(entry(), is_snapshot=True)
    servers.read(entry(state='draining'))
    servers.restore(entry())
    assert not servers.usable()


def test_a_server_that_is_gone_is_not_used_again_by_an_older_entry(servers):
    servers.read(entry(), entry('i-b'), is_snapshot=True)
    servers.read(KeyedRecord('servers/i-a', None))
    servers.restore(entry(), entry('i-b'))
    assert servers.usable() == {'i-b'}


@pytest.mark.parametrize('last', [entry(state='draining'), None])
def test_a_server_is_used_again_once_it_writes_that_it_is_ready(servers, last):
    servers.read(entry(), is_snapshot=True)
    servers.read(last or KeyedRecord('servers/i-a', None))
    servers.restore(entry())
    servers.read(entry(sequence=1))
    assert servers.usable() == {'i-a'}


def test_another_start_of_a_server_that_was_gone_is_used(servers):
    servers.read(entry(), is_snapshot=True)
    servers.read(KeyedRecord('servers/i-a', None))
    servers.restore(entry(born=8))
    assert servers.usable() == {'i-a'}


def test_a_server_whose_entry_was_lost_is_used_until_it_had_time_to_write_it(
    servers,
):
    servers.read(entry(), entry('i-b'), is_snapshot=True)
    servers.restore(entry('i-b'))
    assert servers.usable() == {'i-a', 'i-b'}
    servers.now_ms += 1500
    servers.read(entry('i-b', sequence=1))
    assert servers.usable() == {'i-a', 'i-b'}
    servers.now_ms += 600
    servers.read(entry('i-b', sequence=2))
    assert servers.usable() == {'i-b'}


def test_software_versions_of_a_list_that_lost_some_are_not_the_only_ones(
    servers,
):
    """A stream of unknown origin would go on at the wrong version."""
    for _ in range(12):
        servers.read(entry())
        servers.now_ms += 1000
    known = servers.history.only_version
    assert known('app', WINDOW_MS, servers.now_ms - 1000) == 'v1'
    servers.restore(entry())
    assert known('app', WINDOW_MS, servers.now_ms) is None


def test_an_evacuated_zone_stays_so_until_its_lost_key_is_written_again(
    monkeypatch,
):
    now_ms = 1000.0
    monkeypatch.setattr(platform_feeds, 'boottime_ms', lambda: now_ms)
    fleet = Fleet(evacuations=ZoneEvacuations(5000))
    feed = EvacuationsFeed(fleet, lambda: None)
    keys = [KeyedRecord(f'evacuate/{zone}', b'{}') for zone in 'abc']
    feed.on_page(page(*keys), True, now_ms)
    feed.on_page(page(keys[0], is_restored=True), True, now_ms)
    assert fleet.evacuations.zones == {'a', 'b', 'c'}
    feed.on_page(page(KeyedRecord('evacuate/b', None), keys[2]), False, now_ms)
    now_ms += LOST_EVACUATION_MS
    feed.on_page(page(), False, now_ms)
    assert fleet.evacuations.zones == {'a', 'c'}


def test_a_zone_that_the_operator_took_back_meanwhile_is_used_in_the_end(
    monkeypatch,
):
    now_ms = 1000.0
    monkeypatch.setattr(platform_feeds, 'boottime_ms', lambda: now_ms)
    fleet = Fleet(evacuations=ZoneEvacuations(5000))
    feed = EvacuationsFeed(fleet, lambda: None)
    feed.on_page(page(KeyedRecord('evacuate/a', b'{}')), True, now_ms)
    feed.on_page(page(is_restored=True), True, now_ms)
    now_ms += LOST_EVACUATION_MS
    feed.on_page(page(), False, now_ms)
    assert not fleet.evacuations.zones


@pytest.mark.parametrize('has_own_key', [True, False])
def test_a_router_registers_again_after_the_store_was_restored(has_own_key):
    """The registration in the copy may be one from before."""
    feed = MembersFeed(Members('r1'), 'router')
    own = KeyedRecord(
        'r1', msgspec.json.encode(MemberRecord('router', '127.0.0.1:7'))
    )
    feed.on_page(page(own), True, 0)
    assert not feed.own_removed.is_set()
    copied = (own,) if has_own_key else ()
    feed.on_page(page(*copied, is_restored=True), True, 0)
    assert feed.own_removed.is_set()


def test_known_crashes_are_written_again_after_the_store_was_restored():
    evidence = CrashEvidence()
    evidence.learn(
        CrashEntry('i-a', 1, wall_clock_ms(), {'p': 5}), wall_clock_ms()
    )
    evidence.has_unsaved = False
    feed = CrashesFeed(evidence)
    feed.on_page(page(), True, 0)
    assert not evidence.has_unsaved
    feed.on_page(page(is_restored=True), True, 0)
    assert evidence.has_unsaved


def view_with(version):
    view = DeclaredView()
    view.apply(DeclaredState(version, (), {}, ()))
    return view


def test_a_version_that_another_router_has_refutes_proofs_from_then_on():
    view = view_with(3)
    view.confirm(900)
    view.note_version_elsewhere(5, since_ms=700, now_ms=1000)
    assert view.confirmed_at_ms == 700
    view.confirm(1100)
    assert view.confirmed_at_ms == 700


@pytest.mark.parametrize('version', [2, 3, -1])
def test_versions_that_are_known_here_refute_nothing(version):
    view = view_with(3)
    view.confirm(900)
    view.note_version_elsewhere(version, since_ms=700, now_ms=1000)
    assert view.confirmed_at_ms == 900


def test_a_version_elsewhere_that_has_arrived_refutes_nothing_more():
    view = view_with(3)
    view.note_version_elsewhere(5, since_ms=700, now_ms=1000)
    view.apply(dataclasses.replace(view.state, version=5))
    view.confirm(1100)
    assert view.confirmed_at_ms == 1100


def test_a_version_that_nobody_has_any_more_refutes_nothing_for_good():
    view = view_with(3)
    view.note_version_elsewhere(5, since_ms=700, now_ms=1000)
    now_ms = 1001 + KNOWN_ELSEWHERE_MS
    view.note_version_elsewhere(3, since_ms=0, now_ms=now_ms)
    view.confirm(now_ms)
    assert view.confirmed_at_ms == now_ms
