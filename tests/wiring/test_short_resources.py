"""A router process that runs out of file descriptors or memory."""

import asyncio
import os
import pathlib
import random
import re
import resource
import signal
import time

import pytest

from loopback.platform_fleet import (
    CALLER_PORT,
    KEY,
    RUNNER_PORT,
    PlatformFleet,
    configuration,
)
from loopback.processes import ProcessSet

pytestmark = pytest.mark.process

ANSWER_S = 6
FEW_DESCRIPTORS = 90
WORK_MS = 1500
IN_FORCE_S = 4
FREE_MEMORY_MB = 40
LARGE_BODY = b'x' * 4_000_000
UNANSWERED = 'connection closed without an answer'
MAX_LOG_LINES = 50


@pytest.fixture(params=[0])
def fleet(tmp_path, request):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    running_fleet.max_descriptors = request.param
    try:
        running_fleet.start(routers=1)
        yield running_fleet
    finally:
        processes.end_all()


def limit_descriptors(router, limit):
    pid = router.program.pid
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))


def open_descriptors(router):
    return len(os.listdir(f'/proc/{router.program.pid}/fd'))


class Caller:
    """A connection to a router."""

    def __init__(self, router):
        self._address = (router.ip, CALLER_PORT)
        self.request_id = ''

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(
            *self._address
        )

    async def send(self, path='/read/x', body=b''):
        """Send a request; return the status, or None for a closed connection."""
        self.request_id = f'{random.getrandbits(64):016x}'
        self._writer.write(
            f'POST {path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'Attempt-Id: {self.request_id}\r\n'
            f'Deadline-Ms: 4000\r\nAuthorization: Token {KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        try:
            async with asyncio.timeout(ANSWER_S):
                head = await self._reader.readuntil(b'\r\n\r\n')
                length = head.lower().split(b'content-length: ')[1]
                await self._reader.readexactly(int(length.split(b'\r')[0]))
        except (OSError, EOFError):
            return None
        return int(head.split(b' ')[1])

    def close(self):
        self._writer.transport.abort()


async def call_once(router, path='/read/x', body=b''):
    caller = Caller(router)
    await caller.open()
    try:
        return await caller.send(path, body)
    finally:
        caller.close()


async def test_failed_accepts_hold_up_neither_the_loop_nor_the_log(fleet):
    """The limit falls below what the router has read at its start."""
    router = fleet.routers[0]
    limit_descriptors(router, open_descriptors(router) + 20)
    statuses = await asyncio.gather(*(call_once(router) for _ in range(100)))
    assert set(statuses) <= {200, 503}
    assert 200 in statuses
    assert fleet.router_logs().count('\n') < MAX_LOG_LINES + len(statuses)


def publish_route(fleet, name):
    body = configuration(fleet.version + 1)
    route = {**body['routes'][0], 'name': name, 'path_prefix': f'/{name}/'}
    body['routes'].append(route)
    fleet.publish(body)


async def open_callers(router, count):
    callers = [Caller(router) for _ in range(count)]
    await asyncio.gather(*(caller.open() for caller in callers))
    return callers


async def wait_until_known(caller, path):
    """Return after how many seconds a route is known."""
    began_s = time.monotonic()
    while True:
        if await caller.send(path) != 404:
            return time.monotonic() - began_s
        await asyncio.sleep(0.05)


@pytest.mark.parametrize('fleet', [FEW_DESCRIPTORS], indirect=True)
async def test_a_configuration_comes_into_force_while_descriptors_are_short(
    fleet,
):
    router = fleet.routers[0]
    for host in fleet.plain_servers:
        fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', delay_ms=WORK_MS)
    idle = await open_callers(router, 60)
    await asyncio.sleep(0.4)
    asking, *busy = await open_callers(router, 41)
    sends = [asyncio.create_task(one.send('/book/x')) for one in busy]
    await asyncio.sleep(0.2)
    publish_route(fleet, 'new')
    router.program.popen.send_signal(signal.SIGHUP)
    assert await wait_until_known(asking, '/new/x') < IN_FORCE_S
    assert not all(send.done() for send in sends)
    assert await asyncio.to_thread(fleet.is_ready, router)
    statuses = await asyncio.gather(*sends)
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= 5
    ran = set()
    for host in fleet.plain_servers:
        ran |= fleet.counts(host)['ran'].keys()
    for caller, status in zip(busy, statuses, strict=True):
        assert (caller.request_id in ran) == (status == 200)
    for caller in (asking, *idle, *busy):
        caller.close()
    assert await call_once(router, '/new/x') == 200


def limit_memory(router, free_mb):
    pid = router.program.pid
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    used_kb = int(re.search(r'VmSize:\s+(\d+)', status)[1])
    limit = (used_kb + free_mb * 1024) * 1024
    resource.prlimit(pid, resource.RLIMIT_AS, (limit, limit))


async def test_calls_for_which_no_memory_is_left_end_alone(fleet):
    router = fleet.routers[0]
    limit_memory(router, FREE_MEMORY_MB)
    paths = ('/read/x', '/book/x')
    large = [
        asyncio.create_task(call_once(router, paths[one % 2], LARGE_BODY))
        for one in range(24)
    ]
    await asyncio.sleep(0.3)
    await asyncio.to_thread(fleet.change_limits, 15_000, 3000)
    router.program.popen.send_signal(signal.SIGHUP)
    small = []
    for _ in range(40):
        small.append(asyncio.create_task(call_once(router)))
        await asyncio.sleep(0.03)
    assert None not in await asyncio.gather(*small)
    # Bodies that weren't read whole may end with their connections.
    statuses = set(await asyncio.gather(*large))
    assert statuses <= {200, 500, 502, 503, None}
    assert statuses != {200}
    assert await call_once(router, '/extra-2999/x') == 200
    assert {await call_once(router) for _ in range(20)} == {200}
    assert UNANSWERED not in fleet.router_logs()
