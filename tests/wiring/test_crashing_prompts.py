"""Processes of a fleet under a prompt part that crashes model runners."""

import itertools
import time
from http.client import HTTPException

import pytest

from loopback.platform_fleet import RUNNER_PORT, PlatformFleet
from loopback.processes import ProcessSet

pytestmark = [pytest.mark.process, pytest.mark.timeout(180)]

CRASHES_BEFORE_LIMIT = 5
# Time after the fifth crash from which requests are counted, in s.
STABLE_WINDOW_S = 3
# Requests with a crashing part that may still reach runners.
MAX_MORE = 3
_OWN_PARTS = itertools.count()


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    try:
        running_fleet.start(routers=3, runners=4, plain_servers=1)
        yield running_fleet
    finally:
        processes.end_all()


def ask(fleet, router, part):
    """Send a stream with a prompt; return its status, 0 if it broke off."""
    prompt = f'common:9,{part}:4,own{next(_OWN_PARTS)}:1'
    headers = {'Model': 'm1', 'Prompt-Prefix': prompt}
    try:
        return fleet.send_request(router, '/draft/x', headers).status
    except (OSError, HTTPException):
        return 0


def crash_on(fleet, part):
    for host in fleet.runners:
        set_crashing_part(fleet, host, part)


def set_crashing_part(fleet, host, part):
    fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', crash_on_part=part)


def restart_crashed(fleet, part):
    """Start runners that have crashed; return how many there were."""
    time.sleep(0.1)
    crashed = [host for host in fleet.runners if not host.runner.is_running]
    for host in crashed:
        fleet.start_runner(host, 'm1')
        set_crashing_part(fleet, host, part)
    return len(crashed)


def count_more_crashes(fleet, part, routers, each=3):
    crashes = 0
    for router in routers:
        for _ in range(each):
            ask(fleet, router, part)
            crashes += restart_crashed(fleet, part)
    return crashes


def test_routers_that_saw_no_crash_or_restarted_send_no_crashing_part(fleet):
    crash_on(fleet, 'bad')
    crashes = 0
    for _ in range(3 * CRASHES_BEFORE_LIMIT):
        ask(fleet, fleet.routers[0], 'bad')
        crashes += restart_crashed(fleet, 'bad')
        if crashes >= CRASHES_BEFORE_LIMIT:
            break
    time.sleep(STABLE_WINDOW_S)
    more = count_more_crashes(fleet, 'bad', fleet.routers)
    for router in fleet.routers:
        router.program.kill()
        fleet.start_router(router)
    for router in fleet.routers:
        fleet.wait_ready(router)
    more += count_more_crashes(fleet, 'bad', fleet.routers)
    assert more <= MAX_MORE
    for router in fleet.routers:
        assert ask(fleet, router, 'good') == 200
