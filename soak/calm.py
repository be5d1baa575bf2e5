"""Checks after the faults: what the fleet has learnt must hold everywhere."""

import functools
import itertools
import threading
import time
from collections.abc import Callable
from http.client import HTTPException

from loopback.platform_fleet import RUNNER_PORT, Host, PlatformFleet
from soak.invariants import InvariantChecker

CRASHING_PART = 'bad'
CRASHING_BODY = 'crashing'
POPULAR_BODY = 'popular'
# Crashes after which requests with the part, or repeats of a request, must stop,
# and more that may come from the time after the last of them on.
CRASHES_BEFORE_LIMIT = 5
CRASHES_BEFORE_REPEAT_LIMIT = 3
MAX_MORE_CRASHES = 3
STABLE_WINDOW_S = 3
REQUESTS_PER_ROUTER = 3
LIMIT_PER_S = 1
FLOOD_S = 8
WINDOW_S = 4
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
_OWN_PARTS = itertools.count()
# Requests that are repeated, on a plain server and on runners.
REPEATED = (('/read/x', {}), ('/book/x', {}), ('/draft/x', {'Model': 'm1'}))
# Time for popular requests to be served again, in s: the turns of two trials.
POPULAR_WITHIN_S = 12
OK = 200


def check_crashing_part(
    fleet: PlatformFleet, checker: InvariantChecker
) -> None:
    """Check that no router sends a part that has crashed enough runners."""
    more = _count_more_crashes(fleet, CRASHES_BEFORE_LIMIT, _send_crashing_part)
    if more > MAX_MORE_CRASHES:
        checker.add_violation('a part went on crashing runners', str(more))


def check_crashing_request(
    fleet: PlatformFleet, checker: InvariantChecker
) -> None:
    """Check that no router sends a request that has crashed enough servers."""
    for request in REPEATED:
        more = _count_more_crashes(
            fleet,
            CRASHES_BEFORE_REPEAT_LIMIT,
            functools.partial(_send_crashing_request, request),
        )
        if more > MAX_MORE_CRASHES:
            checker.add_violation(
                'a request went on crashing servers', f'{request[0]}: {more}'
            )


def check_popular_request(
    fleet: PlatformFleet, checker: InvariantChecker
) -> None:
    """Check that requests that all callers repeated are not refused."""
    deadline_s = time.monotonic() + POPULAR_WITHIN_S
    pending = list(itertools.product(fleet.routers, REPEATED))
    while pending and time.monotonic() < deadline_s:
        pending = [
            (router, request)
            for router, request in pending
            if _send(fleet, router, *request, POPULAR_BODY) != OK
        ]
    for router, request in pending:
        checker.add_violation(
            'a popular request is not served', f'{router.ip} {request[0]}'
        )


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


def _count_more_crashes(
    fleet: PlatformFleet,
    limit: int,
    send: Callable[[PlatformFleet, Host], int],
) -> int:
    """Return the crashes that follow once there were as many as a limit."""
    crashes = 0
    for _ in range(2 * limit):
        for router in fleet.routers:
            crashes += send(fleet, router)
        if crashes >= limit:
            break
    time.sleep(STABLE_WINDOW_S)
    return sum(
        send(fleet, router)
        for router in fleet.routers
        for _ in range(REQUESTS_PER_ROUTER)
    )


def _send_crashing_part(fleet: PlatformFleet, router: Host) -> int:
    """Send a request with the part; return how many runners crashed."""
    headers = {
        'Model': 'm1',
        'Prompt-Prefix': f'common:9,{CRASHING_PART}:4,c{next(_OWN_PARTS)}:1',
    }
    _send(fleet, router, '/draft/x', headers)
    return _restart_crashed(fleet)


def _send_crashing_request(
    request: tuple[str, dict[str, str]], fleet: PlatformFleet, router: Host
) -> int:
    """Send a request that crashes servers; return how many crashed."""
    _send(fleet, router, *request, CRASHING_BODY)
    return _restart_crashed(fleet)


def _restart_crashed(fleet: PlatformFleet) -> int:
    """Start servers that have crashed; return how many there were."""
    time.sleep(0.1)
    crashed = 0
    for host in (*fleet.runners, *fleet.plain_servers):
        if host.runner.is_running:
            continue
        crashed += 1
        if host in fleet.runners:
            fleet.start_runner(host, 'm1')
        else:
            fleet.start_plain_server(host)
    return crashed


def _send(
    fleet: PlatformFleet,
    router: Host,
    path: str,
    headers: dict[str, str],
    body: str | None = None,
) -> int:
    """Send a request; return its status, 0 when it got no answer."""
    try:
        return fleet.send_request(router, path, headers, body=body).status
    except (OSError, HTTPException):
        # The caller of a request that crashes its server may get no answer.
        return 0


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
