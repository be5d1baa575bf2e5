"""Processes of a fleet under a request that crashes backend servers."""

import time
from http.client import HTTPException

import pytest

from loopback.platform_fleet import PlatformFleet
from loopback.processes import ProcessSet

pytestmark = [pytest.mark.process, pytest.mark.timeout(180)]

CRASHES_BEFORE_LIMIT = 3
# Time after the third crash from which requests are counted, in s.
STABLE_WINDOW_S = 3
# Repeats of the request that may still reach servers.
MAX_MORE = 3
BAD_BODY = 'crashing'
BAD_REQUESTS = {
    'plain server, repeatable': ('/read/x', {}),
    'plain server, at most once': ('/book/x', {}),
    'model runner': ('/draft/x', {'Model': 'm1'}),
    'model runner, resumable': ('/resume/x', {'Model': 'm1'}),
}


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    try:
        running_fleet.crashing_body = BAD_BODY
        running_fleet.start(routers=3, runners=2, plain_servers=3)
        yield running_fleet
    finally:
        processes.end_all()


def ask(fleet, router, request, body=BAD_BODY):
    """Send a request; return its status, 0 if it broke off."""
    path, headers = request
    try:
        return fleet.send_request(router, path, headers, body=body).status
    except (OSError, HTTPException):
        return 0


def restart_crashed(fleet):
    """Start servers that have crashed; return how many there were."""
    time.sleep(0.1)
    crashes = 0
    for host in fleet.runners:
        if not host.runner.is_running:
            fleet.start_runner(host, 'm1')
            crashes += 1
    for host in fleet.plain_servers:
        if not host.runner.is_running:
            fleet.start_plain_server(host)
            crashes += 1
    return crashes


def count_more_crashes(fleet, request):
    crashes = 0
    for _ in range(3):
        for router in fleet.routers:
            ask(fleet, router, request)
            crashes += restart_crashed(fleet)
    return crashes


@pytest.mark.parametrize('request_kind', BAD_REQUESTS)
def test_routers_that_saw_no_crash_or_restarted_repeat_no_crashing_request(
    fleet, request_kind
):
    request = BAD_REQUESTS[request_kind]
    crashes = 0
    for _ in range(10 * CRASHES_BEFORE_LIMIT):
        ask(fleet, fleet.routers[0], request)
        crashes += restart_crashed(fleet)
        if crashes >= CRASHES_BEFORE_LIMIT:
            break
    assert crashes >= CRASHES_BEFORE_LIMIT
    time.sleep(STABLE_WINDOW_S)
    more = count_more_crashes(fleet, request)
    for router in fleet.routers:
        router.program.kill()
        fleet.start_router(router)
    for router in fleet.routers:
        fleet.wait_ready(router)
    time.sleep(STABLE_WINDOW_S)
    more += count_more_crashes(fleet, request)
    assert more <= MAX_MORE
    for router in fleet.routers:
        assert ask(fleet, router, request, body='sound') == 200
