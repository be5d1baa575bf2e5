"""A router process that runs out of file descriptors."""

import asyncio
import os
import random
import resource

import pytest

from loopback.platform_fleet import CALLER_PORT, KEY, PlatformFleet
from loopback.processes import ProcessSet

pytestmark = pytest.mark.process

ANSWER_S = 6
MAX_LOG_LINES = 50


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
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
        self.statuses = []

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(
            *self._address
        )

    async def send(self, path='/read/x'):
        """Send a request; return the status, or None for a closed connection."""
        self._writer.write(
            f'POST {path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'Attempt-Id: {random.getrandbits(64):016x}\r\n'
            f'Deadline-Ms: 4000\r\nAuthorization: Token {KEY}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
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


async def call_once(router, path='/read/x'):
    caller = Caller(router)
    await caller.open()
    try:
        return await caller.send(path)
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
