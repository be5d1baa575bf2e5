"""Routers and agents beside odd entries that another writer left."""

import pytest

from loopback.platform_fleet import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    RUNNER_PORT,
    PlatformFleet,
)
from loopback.processes import ProcessSet

pytestmark = pytest.mark.process

CHANGES = (
    {'born': 2**64 + 5},
    {'sequence': 10**30},
    {'address': '127.0.0.1:99999'},
    {'address': f'127.0.0.1:{"9" * 400}'},
    {'address': '127.0.0.1\0:80'},
    {'address': f'{"a" * 300}:80'},
)
CALLS = 10


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    try:
        running_fleet.start(routers=1)
        yield running_fleet
    finally:
        processes.end_all()


def put_odd_entries(fleet):
    for service in (PLAIN_SERVICE, MODEL_SERVICE):
        for number, change in enumerate(CHANGES):
            entry = {
                'service': service,
                'address': '127.0.0.1:9',
                'zone': 'zone-a',
                'version': 'v1',
                'state': 'ready',
                'slots': 64,
                'cold_left_ms': 0,
                'sequence': 0,
                'born': 7,
                'models': [{'name': 'm1', 'version': 1, 'adapters': []}],
                **change,
            }
            fleet.put('keyed.servers', f'odd-{service}-{number}', entry)


def test_an_incomplete_entry_moves_no_server_to_another_service(fleet):
    """Requests that may run once ran at, and were answered by, the wrong one."""
    (router,) = fleet.routers
    runner = fleet.runners[0]
    entry = {
        'service': PLAIN_SERVICE,
        'address': f'{runner.ip}:{RUNNER_PORT}',
        'zone': 'zone-a',
        'state': 'ready',
        'slots': 64,
        'cold_left_ms': 0,
        'sequence': 0,
    }
    ran_before = len(fleet.counts(runner)['ran'])
    key = fleet.server_key(runner)
    for _ in range(4 * CALLS):
        fleet.put('keyed.servers', key, entry)
        assert fleet.send_request(router, '/book/x').status == 200
    assert len(fleet.counts(runner)['ran']) == ran_before


def test_odd_entries_end_no_process_and_fail_no_call(fleet):
    put_odd_entries(fleet)
    fleet.runners[0].program.kill()
    fleet.runners[0].program.wait()
    fleet.start_agent(fleet.runners[0])
    fleet.routers.append(fleet.add_router())
    for router in fleet.routers:
        fleet.wait_ready(router)
    fleet.wait_until_served()
    for router in fleet.routers:
        for _ in range(CALLS):
            assert fleet.send_request(router, '/read/x').status == 200
            reply = fleet.send_request(router, '/draft/x', {'Model': 'm1'})
            assert reply.status == 200
        assert router.program.is_running
