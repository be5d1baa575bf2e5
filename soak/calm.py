"""Checks after the faults: what the fleet has learnt must hold everywhere."""

import itertools
import threading
import time
from http.client import HTTPException

from loopback.platform_fleet import RUNNER_PORT, Host, PlatformFleet
from soak.invariants import InvariantChecker

CRASHING_PART = 'bad'
# Crashes after which requests with the part must stop, and more that may come
# from the time after the last of them on.
CRASHES_BEFORE_LIMIT = 5
MAX_MORE_CRASHES = 3
STABLE_WINDOW_S = 3
REQUESTS_PER_ROUTER = 3
LIMIT_PER_S = 1
FLOOD_S = 8
WINDOW_S = 4
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
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


def check_limit(fleet: PlatformFleet, checker: InvariantChecker) -> None:
    """Check that all routers together keep a limit, and use it when lifted."""
    host = fleet.plain_servers[0]
    _set_limit(fleet, host, LIMIT_PER_S)
    from_s = time.monotonic() + STABLE_WINDOW_S
    _flood(fleet, FLOOD_S)
    _set_limit(fleet, host, 0)
    lifted_s = time.monotonic()
    arrived_s = fleet.counts(host)['arrived_s']
    limited = [one for one in arrived_s if from_s < one < lifted_s]
    most = max(
        (
            sum(start <= one < start + WINDOW_S for one in limited)
            for start in limited
        ),
        default=0,
    )
    if most > MAX_IN_WINDOW:
        checker.add_violation('a limit was not kept', f'{most} requests')
    _flood(fleet, STABLE_WINDOW_S)
    arrived_s = fleet.counts(host)['arrived_s']
    after = sum(one > lifted_s for one in arrived_s)
    if after <= LIMIT_PER_S * STABLE_WINDOW_S:
        checker.add_violation('a lifted limit still held', f'{after} requests')


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


def _flood(fleet: PlatformFleet, for_s: float) -> None:
    end_s = time.monotonic() + for_s

    def send_until_end(router: Host) -> None:
        while time.monotonic() < end_s:
            _send(fleet, router, '/read/x', {})
            time.sleep(0.02)

    threads = [
        threading.Thread(target=send_until_end, args=(router,))
        for router in fleet.routers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _set_limit(fleet: PlatformFleet, host: Host, limit_per_s: float) -> None:
    address = f'{host.ip}:{RUNNER_PORT}'
    fleet.set_faults(address, limit_per_s=limit_per_s)
