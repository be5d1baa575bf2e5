"""Checks after the faults: what the fleet has learnt must hold everywhere."""

import itertools
import time
from http.client import HTTPException

from loopback.platform_fleet import Host, PlatformFleet
from soak.invariants import InvariantChecker

CRASHING_PART = 'bad'
# Crashes after which requests with the part must stop, and more that may come
# from the time after the last of them on.
CRASHES_BEFORE_LIMIT = 5
MAX_MORE_CRASHES = 3
STABLE_WINDOW_S = 3
REQUESTS_PER_ROUTER = 3
_OWN_PARTS = itertools.count()


def check_crashing_part(
    fleet: PlatformFleet, checker: InvariantChecker
) -> None:
    """Check that no router sends a part that has crashed enough runners."""
    crashes = 0
    for _ in range(2 * CRASHES_BEFORE_LIMIT):
        for router in fleet.routers:
            crashes += _send_crashing(fleet, router)
        if crashes >= CRASHES_BEFORE_LIMIT:
            break
    time.sleep(STABLE_WINDOW_S)
    more = sum(
        _send_crashing(fleet, router)
        for router in fleet.routers
        for _ in range(REQUESTS_PER_ROUTER)
    )
    if more > MAX_MORE_CRASHES:
        checker.add_violation('a part went on crashing runners', str(more))


def _send_crashing(fleet: PlatformFleet, router: Host) -> int:
    """Send a request with the part; return how many runners crashed."""
    headers = {
        'Model': 'm1',
        'Prompt-Prefix': f'common:9,{CRASHING_PART}:4,c{next(_OWN_PARTS)}:1',
    }
    _send(fleet, router, '/draft/x', headers)
    time.sleep(0.1)
    crashed = [host for host in fleet.runners if not host.runner.is_running]
    for host in crashed:
        fleet.start_runner(host, 'm1')
    return len(crashed)


def _send(
    fleet: PlatformFleet, router: Host, path: str, headers: dict[str, str]
) -> None:
    try:
        fleet.send_request(router, path, headers)
    except (OSError, HTTPException):
        # The caller of a crashing part may get no answer.
        return
