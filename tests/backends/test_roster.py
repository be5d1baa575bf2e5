"""Which backend servers may get requests."""

import dataclasses

from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.roster import BackendRoster

A = BackendServer('i-a', 'app', '10.0.0.1:80', 'z', 8, started_ms=10)
B = BackendServer('i-b', 'app', '10.0.0.2:80', 'z', 8, started_ms=10)


def names(roster, service='app'):
    return sorted(server.instance for server in roster.usable(service))


def roster(*servers):
    made = BackendRoster()
    for server in servers:
        made.put(server, 0)
    return made


def test_a_leaving_server_gets_no_new_requests():
    made = roster(A, dataclasses.replace(B, is_draining=True))
    assert names(made) == ['i-a']


def test_a_removed_server_is_gone_at_once():
    made = roster(A, B)
    made.remove('i-a', 10_000)
    assert names(made) == ['i-b']


def test_entries_that_lapse_during_an_outage_may_come_back():
    made = roster(A, B)
    made.note_store_failure(10_000)
    made.remove('i-a', 10_100)
    assert names(made) == ['i-a', 'i-b']
    made.put(A, 11_000)
    assert not made.remove_expired(20_000)
    assert names(made) == ['i-a', 'i-b']


def test_entries_that_do_not_come_back_are_gone():
    made = roster(A, B)
    made.note_store_failure(10_000)
    made.remove('i-a', 10_100)
    assert not made.has_due_removals(12_000)
    assert made.has_due_removals(12_100)
    assert made.remove_expired(12_100) == [A]
    assert names(made) == ['i-b']


def test_many_entries_that_vanish_together_have_lapsed():
    servers = [
        dataclasses.replace(A, instance=f'i-{one}', address=f'10.0.0.{one}:80')
        for one in range(5)
    ]
    made = roster(*servers)
    made.remove_together([server.instance for server in servers], 10_000)
    assert len(names(made)) == 5


def test_an_old_report_does_not_bring_an_earlier_start_back():
    made = roster(A)
    assert not made.put(dataclasses.replace(A, started_ms=5), 1)
    assert made.get('i-a').started_ms == 10


def test_an_address_belongs_to_the_server_that_started_last():
    newer = dataclasses.replace(B, address=A.address, started_ms=20)
    assert names(roster(A, newer)) == ['i-b']


def test_a_listing_replaces_what_is_known():
    made = roster(A)
    made.replace([B], 10_000)
    assert names(made) == ['i-b']
