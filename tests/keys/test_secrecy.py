"""Keys of callers do not leave the routers in a fleet of real processes."""

import json
import pathlib

from pytest_bdd import parsers, scenarios, then, when

from loopback import http
from loopback.program_flags import ADMIN_PATHS
from tests.support.fleet_steps import key_of, running_programs, split_names
from tests.support.steps import step

scenarios('test_secrecy.feature')

STREAMS = ('releases', 'roster', 'claims')
BODY = {'model': 'news', 'prompt': 'p', 'max_tokens': 2}
CHAT = {**BODY, 'messages': [{'role': 'user', 'content': 'p'}]}
CHAT.pop('prompt')


def place_key(path, places, token):
    """Return a path and headers that carry a key in the given places."""
    headers = {'idempotency-key': path}
    for place in places:
        if place == 'authorization':
            headers[place] = f'Bearer {token}'
        elif place.startswith('?'):
            path += f'{"&" if "?" in path else "?"}{place[1:]}={token}'
        else:
            headers[place] = token
    return path, headers


@when(
    parsers.re(
        r'a caller of (?P<name>\w+) passes its key in (?P<places>.+) to$'
    )
)
def pass_key(cluster, name, places, datatable):
    for router, method, path, status in datatable[1:]:
        target, headers = place_key(path, split_names(places), key_of(name))
        body = CHAT if 'chat' in path else BODY
        if method == 'GET':
            body = None
        reply = http.request(
            cluster.address(router, path), method, target, body, headers
        )
        assert reply.status == int(status), (path, reply)
        assert key_of(name).encode() not in reply.body
        assert key_of(name) not in str(reply.headers)


@then(
    parsers.re(
        r'the key of (?P<name>\w+) is in no header and no query'
        r' that a stand-in received$'
    )
)
def check_backends(cluster, name):
    standins = set(cluster.running_names()) - set(running_programs(cluster))
    assert 'plain service 1' in standins
    for standin in standins:
        counts = http.counts(cluster.address(standin))
        assert counts['headers_seen'] == [], standin
        assert key_of(name) not in json.dumps(counts), standin
    services = http.counts(cluster.address('plain service 1'))
    assert services['executions'] > 0


@then(
    parsers.re(
        r'the key of (?P<name>\w+) is in no output, time line, status,'
        r' metric or record$'
    )
)
def check_outputs(cluster, processes, name):
    token = key_of(name).encode()
    for process in processes.all():
        assert token not in process.logs().encode(), process.name
    for program in running_programs(cluster):
        for path in ADMIN_PATHS:
            address = cluster.address(program, path)
            reply = http.request(address, 'GET', path)
            assert token not in reply.body, (program, path)
    for stream in STREAMS:
        path = f'/streams/{stream}/records?offset=0'
        reply = http.request(cluster.address('log service'), 'GET', path)
        assert reply.json()['records'] or stream == 'claims'
        assert token not in reply.body, stream


@then(step(r'the key of (?P<name>\w+) is not in the memory of PART'))
def check_memory(cluster, name, part):
    folder = pathlib.Path(f'/proc/{cluster.process(part).pid}')
    token = key_of(name).encode()
    areas = [
        line.split()
        for line in (folder / 'maps').read_text().splitlines()
        if ' rw' in line and '[v' not in line
    ]
    assert areas
    with (folder / 'mem').open('rb', buffering=0) as memory:
        for bounds, *_ in areas:
            first, last = (int(one, 16) for one in bounds.split('-'))
            memory.seek(first)
            assert token not in memory.read(last - first), bounds
