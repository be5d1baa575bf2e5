"""Streams that are resumed at router processes that stood still."""

import concurrent.futures
import re
import time

import pytest

from lagoonflow.resumption.decision import MIN_WINDOW_MS
from lagoonflow.resumption.versions import MAX_LIST_AGE_MS
from loopback import http
from loopback.platform_fleet import CALLER_PORT, KEY, RUNNER_PORT, PlatformFleet
from loopback.processes import ProcessSet

pytestmark = [pytest.mark.process, pytest.mark.timeout(180)]

# A router then knows that all servers have had one version.
FOLLOWED_S = (MIN_WINDOW_MS + MAX_LIST_AGE_MS) / 1000 + 2
# The list of servers may be as old as this, in s.
PAUSES_S = (1.2, 1.7, 2.2, 2.7)


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    try:
        running_fleet.start(routers=len(PAUSES_S) + 1, runners=1)
        yield running_fleet
    finally:
        processes.end_all()


def set_runner_faults(fleet, host, **faults):
    fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', **faults)


def resume(router):
    """Resume a stream of unknown origin; return the versions of its events."""
    headers = {
        'Host': 'desk.example',
        'Attempt-Id': f'{time.monotonic_ns():016x}',
        'Deadline-Ms': '4000',
        'Authorization': f'Token {KEY}',
        'Model': 'm1',
        'Last-Event-Id': '2',
    }
    address = f'{router.ip}:{CALLER_PORT}'
    reply = http.request(
        address, 'POST', '/resume/x', None, headers, timeout_s=10
    )
    found = re.findall(rb'data: piece \d+ (\w+)', reply.body)
    return reply.status, {version.decode() for version in found}


def resume_after(router, until_s):
    """Send a call to a paused router, and let the router go on at a time."""
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(resume, router)
        time.sleep(max(until_s - time.monotonic(), 0))
        router.program.resume()
        return answer.result()


def test_a_paused_router_resumes_no_stream_at_a_version_before_it(fleet):
    """Guards against lists of servers that were complete before the pause."""
    *paused, awake = fleet.routers
    (old,) = fleet.runners
    new = fleet.add_unregistered_runner('m1', 'v2')
    time.sleep(FOLLOWED_S)
    assert resume(awake) == (200, {'v1'})
    paused_at_s = time.monotonic()
    for router in paused:
        router.program.pause()
    fleet.register(new)
    set_runner_faults(fleet, old, reject=True)
    while not fleet.counts(new)['ran']:
        assert time.monotonic() < paused_at_s + MAX_LIST_AGE_MS / 1000
        fleet.send_request(awake, '/resume/x', {'Model': 'm1'})
    set_runner_faults(fleet, old, reject=False)
    until_s = [paused_at_s + pause_s for pause_s in PAUSES_S]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answers = list(pool.map(resume_after, paused, until_s))
    assert [versions - {'v2'} for _, versions in answers] == [set()] * len(
        paused
    )
