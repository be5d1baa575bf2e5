"""Processes of a fleet whose servers name limits."""

import itertools
import threading
import time
from http.client import HTTPException

import pytest

from loopback.platform_fleet import RUNNER_PORT, PlatformFleet
from loopback.processes import ProcessSet

pytestmark = [pytest.mark.process, pytest.mark.timeout(180)]

ROUTERS = 4
LIMIT_PER_S = 1
# The rule holds from this time after a limit was first named, in s.
STABLE_WINDOW_S = 3
WINDOW_S = 4
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    try:
        running_fleet.start(routers=ROUTERS, runners=2, plain_servers=2)
        yield running_fleet
    finally:
        processes.end_all()


class Flood:
    """Sends requests to all routers until it is stopped."""

    def __init__(self, fleet) -> None:
        self.statuses = []
        self._fleet = fleet
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(router,))
            for router in fleet.routers
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, router) -> None:
        while not self._stop.wait(0.02):
            try:
                reply = self._fleet.send_request(router, '/read/x')
            except (OSError, HTTPException):
                continue
            self.statuses.append(reply.status)


def set_limit(fleet, host, limit_per_s):
    fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', limit_per_s=limit_per_s)


def most_in_window(times_s):
    return max(
        sum(start <= one < start + WINDOW_S for one in times_s)
        for start in times_s
    )


def arrivals_since(fleet, host, since_s):
    return [one for one in fleet.counts(host)['arrived_s'] if one > since_s]


def test_all_routers_together_keep_a_limit_also_when_some_restart(fleet):
    limited, _ = fleet.plain_servers
    set_limit(fleet, limited, LIMIT_PER_S)
    named_s = time.monotonic()
    with Flood(fleet) as flood:
        time.sleep(STABLE_WINDOW_S + 3)
        for router in itertools.islice(fleet.routers, 2):
            router.program.kill()
            fleet.start_router(router)
        time.sleep(8)
    arrived_s = arrivals_since(fleet, limited, named_s + STABLE_WINDOW_S)
    assert most_in_window(arrived_s) <= MAX_IN_WINDOW
    assert flood.statuses.count(200) > 0.95 * len(flood.statuses)


def test_a_server_is_used_again_by_all_once_its_limit_is_lifted(fleet):
    limited, other = fleet.plain_servers
    for host in (limited, other):
        set_limit(fleet, host, LIMIT_PER_S)
    with Flood(fleet) as flood:
        time.sleep(STABLE_WINDOW_S)
        for host in (limited, other):
            set_limit(fleet, host, 0)
        time.sleep(STABLE_WINDOW_S)
        lifted_s = time.monotonic()
        flood.statuses.clear()
        time.sleep(2)
    for host in (limited, other):
        assert len(arrivals_since(fleet, host, lifted_s)) > 10 * LIMIT_PER_S
    assert set(flood.statuses) == {200}
