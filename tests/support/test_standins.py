"""Tests of what tests rely on: stand-ins, faults, signals, relays, cleanup."""

import os
import threading

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from loopback import http
from loopback.processes import ProcessSet, StartError
from tests.support.steps import within

scenarios('test_standins.feature')

RECORDS = '/streams/s/records'


class OpenRead:
    """A long poll of the log service, running in a thread."""

    def __init__(self, address):
        self.reply = None
        self._address = address
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        path = f'{RECORDS}?offset=0&wait_ms=5000'
        try:
            self.reply = http.request(self._address, 'GET', path)
        except OSError:
            return

    def is_answered_within(self, limit_s):
        self._thread.join(limit_s)
        return self.reply is not None


@given(
    'an open read of the log service through the relay',
    target_fixture='open_read',
)
def open_read(cluster):
    relay = cluster.relay_to('log service')
    read = OpenRead(relay.address)
    address = cluster.address('log service')
    within(2, lambda: http.counts(address).get('reads', 0) == 1)
    return read


@when('a record is appended to the log service through the relay')
def append(cluster):
    address = cluster.relay_to('log service').address
    reply = http.request(address, 'POST', RECORDS, {'records': ['a']})
    assert reply.json() == {'first_offset': 0}


@then(parsers.parse('the open read gets no answer within {limit_s:d} s'))
def no_answer(open_read, limit_s):
    assert not open_read.is_answered_within(limit_s)


@then('a new read of the log service through the relay is answered')
def read_again(cluster):
    address = cluster.relay_to('log service').address
    reply = http.request(address, 'GET', f'{RECORDS}?offset=0')
    assert [one['value'] for one in reply.json()['records']] == ['a']


@then('a new read of the log service through the relay fails')
def read_fails(cluster):
    address = cluster.relay_to('log service').address
    with pytest.raises(OSError):
        http.request(address, 'GET', RECORDS)


def is_alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_process_set_ends_also_paused_processes(tmp_path):
    process_set = ProcessSet(tmp_path)
    started = [
        process_set.start(f'log {number}', 'standins.log')
        for number in range(3)
    ]
    for process in started:
        process.wait_listening()
    started[1].pause()
    started[2].kill()
    process_set.end_all()
    assert not any(is_alive(process.pid) for process in started)


def test_program_that_ends_early_is_reported(processes):
    process = processes.start('log', 'standins.log', '--no-such-flag')
    with pytest.raises(StartError, match='no-such-flag'):
        process.wait_listening()


def test_sse_events_are_joined(processes):
    """The client joins the text of OpenAI-style events."""
    process = processes.start('server', 'tests.support.sse_server')
    process.wait_listening()
    answer = http.complete(process.address, 'key-1', {'prompt': 'p'})
    assert (answer.status, answer.text) == (200, ' one two')
    assert answer.finish_reason == 'length'
    assert 0 <= answer.first_token_ms <= answer.end_ms
    refused = http.complete(process.address, '', {'prompt': 'p'})
    assert refused.status == 401
    assert refused.error['code'] == 201
    assert refused.headers['retry-after'] == '2'
