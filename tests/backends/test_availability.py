"""Tests of servers that are leaving or asked for a pause."""

from lagoonflow.backends import availability as module
from lagoonflow.backends.availability import Availability


def test_a_leaving_server_stays_so_until_it_is_started_anew():
    availability = Availability()
    assert availability.note_leaving('i-1', 5)
    assert not availability.note_leaving('i-1', 5)
    assert availability.is_leaving('i-1', 5)
    assert not availability.is_leaving('i-1', 6)


def test_a_pause_ends_on_its_last_millisecond():
    availability = Availability()
    availability.note_pause('i-1', 5, 700, now_ms=1000)
    assert availability.pause_left_ms('i-1', 5, 1699) == 1
    assert not availability.pause_left_ms('i-1', 5, 1700)
    assert not availability.pause_left_ms('i-1', 6, 1001)


def test_a_shorter_pause_does_not_end_a_longer_one():
    availability = Availability()
    availability.note_pause('i-1', 5, 700, now_ms=1000)
    availability.note_pause('i-1', 5, 10, now_ms=1100)
    assert availability.pause_left_ms('i-1', 5, 1100) == 600


def test_the_number_of_remembered_servers_is_bounded(monkeypatch):
    monkeypatch.setattr(module, 'MAX_SERVERS', 1)
    availability = Availability()
    availability.note_leaving('i-1', 5)
    availability.note_leaving('i-2', 5)
    assert not availability.is_leaving('i-1', 5)
    assert availability.is_leaving('i-2', 5)
