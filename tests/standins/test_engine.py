"""Tests of the model engine: speed, prefix cache, adapters, unloading."""

import functools
import json
import time

import pytest

from loopback.http import counts, request
from standins.tokens import expected_text
from tests.support.steps import within

FLAGS = ('--local-checkpoints', 'm@1:memory', '--memory-load-ms', '1')
PROMPT = 'word ' * 1600


def order(address, order_id, kind='load', **fields):
    body = {
        'order_id': order_id,
        'fence': 1,
        'kind': kind,
        'model': 'm',
        'version': '1',
        'memory_mb': 10,
        **fields,
    }
    assert request(address, 'POST', '/orders', body).status == 202


def replica(address):
    return request(address, 'GET', '/listing').json()['replicas'][0]


def generate(address, prompt='p', max_tokens=1, **fields):
    body = {
        'request_id': 'r',
        'model': 'm',
        'version': '1',
        'prompt': prompt,
        'max_tokens': max_tokens,
        **fields,
    }
    reply = request(address, 'POST', '/generate', body)
    assert reply.status == 200, reply.body
    return [json.loads(line) for line in reply.body.splitlines()]


@pytest.fixture
def engine(standin):
    """Return a function that starts an engine with a ready replica."""

    def start(*flags):
        address = standin('engine', *FLAGS, *flags)
        order(address, 'o-1')
        within(5, lambda: replica(address)['state'] == 'ready')
        return address

    return start


def test_cached_prefix_shortens_the_first_token(engine, timed):
    address = engine('--prefill-us-per-token', '300')
    first_s = timed([functools.partial(generate, address, PROMPT)])
    again_s = timed([functools.partial(generate, address, f'{PROMPT}?')])
    assert first_s > 0.6
    assert again_s < first_s / 2


def test_cache_events_are_late_and_have_gaps(engine):
    address = engine('--report-lag-ms', '400')
    generate(address, PROMPT)
    path = '/cache-events?after='
    assert request(address, 'GET', f'{path}0').json()['events'] == []
    time.sleep(0.5)
    events = request(address, 'GET', f'{path}0').json()['events']
    numbers = [event['number'] for event in events]
    assert numbers[:7] == [1, 2, 3, 4, 5, 6, 8]
    later = request(address, 'GET', f'{path}{numbers[-2]}').json()['events']
    assert [event['number'] for event in later] == numbers[-1:]


def test_cache_evicts_the_oldest_blocks(engine):
    address = engine('--cache-blocks', '4', '--report-lag-ms', '0')
    generate(address, 'a' * 64 * 10)
    events = request(address, 'GET', '/cache-events?after=0').json()['events']
    assert {event['kind'] for event in events} == {'stored', 'removed'}


def test_time_scale_divides_durations(engine, timed):
    address = engine('--time-scale', '10', '--tokens-per-s', '10')
    calls = [functools.partial(generate, address, 'p', 50)]
    assert timed(calls) < 1.5


def test_more_than_thirty_adapters_load_more_slowly(engine):
    def load_time_s(address, count):
        for number in range(count):
            adapter = {'adapter': f'a{count}-{number}', 'adapter_version': '1'}
            kind = 'load_adapter'
            order(address, f'{count}-{number}', kind, **adapter, memory_mb=1)
        start_s = time.monotonic()
        within(10, lambda: all_ready(address))
        return time.monotonic() - start_s

    def all_ready(address):
        states = {one['state'] for one in replica(address)['adapters']}
        return states == {'ready'}

    address = engine('--adapter-load-ms', '1000')
    assert load_time_s(address, 20) < 1.3
    assert load_time_s(address, 60) > 1.5


def test_adapter_changes_the_text(engine):
    address = engine()
    adapter = {'adapter': 'a', 'adapter_version': '7'}
    order(address, 'o-2', 'load_adapter', **adapter)
    within(2, lambda: replica(address)['adapters'][0]['state'] == 'ready')
    lines = generate(address, 'p', 3, **adapter)
    text = ''.join(line.get('text', '') for line in lines)
    assert text == expected_text('m', '1', 'a', '7', 'p', 3)
    assert text != expected_text('m', '1', '', '', 'p', 3)


def test_unload_cancels_running_requests(engine, timed):
    address = engine()
    ends = []

    def run():
        ends.append(generate(address, 'p', 5000)[-1]['finish_reason'])

    def unload():
        time.sleep(0.3)
        order(address, 'o-2', 'unload')

    assert timed([run, unload]) < 3
    assert ends == ['cancelled']


def test_credentials_and_queries_are_recorded(engine):
    address = engine()
    headers = {'X-Api-Key': 'k-1', 'Idempotency-Key': 'i-1', 'Cookie': 'c=2'}
    request(address, 'GET', '/listing?key=q-1', headers=headers)
    seen = counts(address)
    assert seen['headers_seen'] == [
        {'name': 'cookie', 'value': 'c=2'},
        {'name': 'x-api-key', 'value': 'k-1'},
    ]
    assert seen['queries_seen'] == ['key=q-1']
