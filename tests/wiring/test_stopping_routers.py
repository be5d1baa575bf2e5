"""A router process that is stopped while callers keep using connections."""

import asyncio
import contextlib
import dataclasses
import random
import re
import signal
import socket

import pytest

from loopback.platform_fleet import (
    CALLER_PORT,
    KEY,
    RUNNER_PORT,
    PlatformFleet,
)
from loopback.processes import ProcessSet

pytestmark = pytest.mark.process

CONNECTIONS = 40
WORK_MS = 500
# Slow callers take an answer of this length in about four seconds.
LARGE_BODY = b'x' * 2_000_000
SLOW_READ_BYTES = 50_000
SLOW_PAUSE_S = 0.1
SLOW_RECEIVE_BUFFER_BYTES = 16_384
BEFORE_S = 1.5
RECONNECT_PAUSE_S = 0.05
# Callers use open connections until the process is gone.
LONGEST_S = 12


@dataclasses.dataclass(slots=True)
class Sent:
    """A call, and what its caller got; ``None`` for no answer."""

    request_id: str
    path: str
    status: int | None = None
    is_complete: bool = False


class Caller:
    """Sends pairs of pipelined calls on one connection until it ends.

    :param is_done: set when no more calls are to be sent.
    """

    def __init__(self, address, number, is_done):
        self.sent = []
        self._is_done = is_done
        self._address = address
        self._is_slow = number % 10 == 0
        self._path = ('/read/x', '/book/x')[number % 2]

    async def run(self):
        """Send calls until the connection ends."""
        sock = socket.create_connection(self._address)
        if self._is_slow:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
            )
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
        with contextlib.suppress(OSError, EOFError):
            while await self._send_pair(reader, writer):
                if self._is_done.is_set():
                    break
        writer.transport.abort()

    async def _send_pair(self, reader, writer):
        calls = [
            Sent(f'{random.getrandbits(64):016x}', self._path) for _ in range(2)
        ]
        self.sent += calls
        for call in calls:
            writer.write(_encode(call, LARGE_BODY if self._is_slow else b''))
        await writer.drain()
        for call in calls:
            if await _read_answer(reader, call):
                return False
        return True


async def _read_answer(reader, call):
    """Read the answer to a call; return whether the connection is closed."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    call.status = int(head.split(' ')[1])
    left_bytes = int(re.search(r'content-length: (\d+)', head)[1])
    while left_bytes:
        part = await reader.readexactly(min(left_bytes, SLOW_READ_BYTES))
        left_bytes -= len(part)
        if left_bytes:
            await asyncio.sleep(SLOW_PAUSE_S)
    call.is_complete = True
    return 'connection: close' in head


def _encode(call, body):
    return (
        f'POST {call.path} HTTP/1.1\r\nHost: desk.example\r\n'
        f'Attempt-Id: {call.request_id}\r\nDeadline-Ms: 4000\r\n'
        f'Authorization: Token {KEY}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    try:
        running_fleet.start(plain_servers=3)
        yield running_fleet
    finally:
        processes.end_all()


async def stop_beside_callers(router, signals, before_s=BEFORE_S):
    """Send signals to a router while callers use it; return their calls.

    :param signals: numbers of signals and the pauses before them, in s.
    """
    callers = [
        Caller((router.ip, CALLER_PORT), number, asyncio.Event())
        for number in range(CONNECTIONS)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(before_s)
    for pause_s, number in signals:
        await asyncio.sleep(pause_s)
        router.program.popen.send_signal(number)
    async with asyncio.timeout(LONGEST_S):
        await asyncio.gather(*tasks)
    return [call for caller in callers for call in caller.sent]


@pytest.mark.parametrize(
    'signals',
    [
        [(0, signal.SIGTERM)],
        [(0, signal.SIGTERM), (1, signal.SIGTERM)],
        [(0, signal.SIGHUP), (0.1, signal.SIGTERM), (0.5, signal.SIGHUP)],
    ],
    ids=['once', 'twice', 'beside a reload'],
)
def test_no_call_that_ran_is_cut_by_a_stop(fleet, signals):
    for host in fleet.plain_servers:
        fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', delay_ms=WORK_MS)
    router = fleet.routers[0]
    calls = asyncio.run(stop_beside_callers(router, signals))
    check(fleet, calls)
    assert router.program.wait() == 0


def test_no_answer_is_cut_while_its_caller_sends_the_next_call(fleet):
    """The first answers begin after the stop, and the slow callers still send."""
    for host in fleet.plain_servers:
        fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', delay_ms=WORK_MS)
    stop = [(0, signal.SIGTERM)]
    calls = asyncio.run(
        stop_beside_callers(fleet.routers[0], stop, before_s=WORK_MS / 2000)
    )
    check(fleet, calls, served=CONNECTIONS)


async def call_until_done(fleet, number, is_done):
    """Use one connection after the other, of whichever router accepts."""
    calls = []
    while not is_done.is_set():
        router = fleet.routers[number % len(fleet.routers)]
        caller = Caller((router.ip, CALLER_PORT), number, is_done)
        try:
            await caller.run()
        except ConnectionRefusedError:
            number += 1
            await asyncio.sleep(RECONNECT_PAUSE_S)
        calls += caller.sent
    return calls


def replace_routers(fleet):
    """Stop and start each router in turn, and add a server meanwhile."""
    for router in fleet.routers:
        router.program.popen.send_signal(signal.SIGTERM)
        server = fleet.add_plain_server()
        fleet.set_faults(f'{server.ip}:{RUNNER_PORT}', delay_ms=WORK_MS)
        fleet.plain_servers.append(server)
        assert router.program.wait() == 0
        fleet.start_router(router)
        fleet.wait_ready(router)


async def release_beside_callers(fleet):
    """Replace all routers while callers use them; return their calls."""
    is_done = asyncio.Event()
    tasks = [
        asyncio.create_task(call_until_done(fleet, number, is_done))
        for number in range(CONNECTIONS)
    ]
    await asyncio.sleep(BEFORE_S)
    await asyncio.to_thread(replace_routers, fleet)
    is_done.set()
    async with asyncio.timeout(LONGEST_S):
        return [
            call for calls in await asyncio.gather(*tasks) for call in calls
        ]


def test_no_call_that_ran_is_cut_by_a_release(fleet):
    for host in fleet.plain_servers:
        fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', delay_ms=WORK_MS)
    check(fleet, asyncio.run(release_beside_callers(fleet)))


def check(fleet, calls, served=CONNECTIONS + 1):
    """Check that calls that ran got whole answers, and the others no error.

    :param served: least number of calls that were served.
    """
    ran = set()
    for host in fleet.plain_servers:
        ran |= fleet.counts(host)['ran'].keys()
    assert sum(call.status == 200 for call in calls) >= served
    unanswered = {call.request_id for call in calls if not call.is_complete}
    assert not unanswered & ran
    refused = {call.request_id for call in calls if call.status == 503}
    assert not refused & ran
    assert not [call for call in calls if call.status in {502, 504}]
