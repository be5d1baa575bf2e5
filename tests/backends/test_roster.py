"""Tests of which backend servers are listed and may receive requests."""

import dataclasses

from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.roster import BackendRoster

A = BackendServer('i-a', 'app', '10.0.0.1:80', 'z', 8, started_ms=10)
B = BackendServer('i-b', 'app', '10.0.0.2:80', 'z', 8, started_ms=10)


def usable_names(roster, service='app'):
    return sorted(server.instance for server in roster.usable(service))


def make_roster(*servers):
    roster = BackendRoster()
    for server in servers:
        roster.put(server, 0)
    return roster


def test_a_draining_server_gets_no_new_requests():
    roster = make_roster(A, dataclasses.replace(B, is_draining=True))
    assert usable_names(roster) == ['i-a']


def test_a_server_is_removed_at_once_while_the_store_is_stable():
    roster = make_roster(A, B)
    roster.remove('i-a', 10_000)
    assert usable_names(roster) == ['i-b']


def test_entries_missing_after_a_store_failure_are_kept_when_restored():
    roster = make_roster(A, B)
    roster.note_store_failure(10_000)
    roster.remove('i-a', 10_100)
    assert usable_names(roster) == ['i-a', 'i-b']
    roster.put(A, 11_000)
    assert not roster.remove_expired(20_000)
    assert usable_names(roster) == ['i-a', 'i-b']


def test_entries_not_restored_within_the_grace_period_are_removed():
    roster = make_roster(A, B)
    roster.note_store_failure(10_000)
    roster.remove('i-a', 10_100)
    assert not roster.has_due_removals(12_000)
    assert roster.has_due_removals(12_100)
    assert roster.remove_expired(12_100) == [A]
    assert usable_names(roster) == ['i-b']


def test_many_simultaneous_removals_count_as_a_store_failure():
    servers = [
        dataclasses.replace(A, instance=f'i-{one}', address=f'10.0.0.{one}:80')
        for one in range(5)
    ]
    roster = make_roster(*servers)
    roster.remove_together([server.instance for server in servers], 10_000)
    assert len(usable_names(roster)) == 5


def test_an_entry_of_an_earlier_start_is_ignored():
    roster = make_roster(A)
    assert not roster.put(dataclasses.replace(A, started_ms=5), 1)
    assert roster.get('i-a').started_ms == 10


def test_an_address_belongs_to_the_server_that_started_last():
    newer = dataclasses.replace(B, address=A.address, started_ms=20)
    assert usable_names(make_roster(A, newer)) == ['i-b']


def test_a_listing_replaces_all_entries():
    roster = make_roster(A)
    roster.replace([B], 10_000)
    assert usable_names(roster) == ['i-b']
